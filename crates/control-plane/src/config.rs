//! The settings of a process.

use std::collections::BTreeMap;
use std::path::PathBuf;

use nickelflow_rollout::LeaseConfig;

use crate::peer_client::Address;

/// What a process is configured with.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    /// The name of the fleet. Processes of another one reject its messages.
    pub fleet: String,
    /// The name of this scheduler, under which it is a member.
    pub name: String,
    /// The addresses of all voters by number, as this process reaches them.
    pub voters: BTreeMap<u64, Address>,
    /// Set if this process is a voter itself.
    pub voter: Option<VoterConfig>,
    /// The times of leases; all processes must have the same.
    pub lease: LeaseConfig,
    /// The times by which this process takes its own leases to last. They differ from `lease` only in fault
    /// injection, which shows that they must not.
    pub local_lease: LeaseConfig,
    /// The version of the program, for the status.
    pub program_version: String,
}

/// What a voter is configured with.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Its number.
    pub id: u64,
    /// Its data folder, which was made by [`prepare_data_dir`](crate::prepare_data_dir).
    pub data_dir: PathBuf,
}
