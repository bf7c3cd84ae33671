//! The configuration of a process's control plane.

use std::collections::BTreeMap;
use std::path::PathBuf;

use nickelflow_rollout::LeaseConfig;

use crate::peer_client::Address;

/// The configuration of a scheduler process.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    /// The name of the fleet. Processes of other fleets reject messages from this process.
    pub fleet: String,
    /// The name of this scheduler, by which the membership identifies it.
    pub name: String,
    /// The addresses at which this process reaches the voters, by voter id.
    pub voters: BTreeMap<u64, Address>,
    /// Set if this process is a voter.
    pub voter: Option<VoterConfig>,
    /// The lease timing. It must be the same in all processes.
    pub lease: LeaseConfig,
    /// The lease timing that this process applies to its own leases. It differs from `lease` only in fault
    /// injection, which demonstrates that a difference is unsafe.
    pub local_lease: LeaseConfig,
    /// The version of the program, as reported in the status.
    pub program_version: String,
}

/// The configuration of a voter.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// The voter id.
    pub id: u64,
    /// The voter's data folder, as created by [`prepare_data_dir`](crate::prepare_data_dir).
    pub data_dir: PathBuf,
}
