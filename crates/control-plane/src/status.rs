//! What a process reports of itself to operators.
//!
//! These types travel as postcard: the order and the types of their fields must not change.

use nickelflow_rollout::Version;
use serde::{Deserialize, Serialize};

/// The state of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SchedulerStatus {
    /// The scheduler's name, under which it is a member.
    pub name: String,
    /// The version of the program.
    pub program_version: String,
    /// The version that it was last granted a lease on.
    pub version: Option<Version>,
    /// How long that lease still lasts (ms).
    pub lease_remaining_ms: u64,
    /// For how long it has acted on degraded rules (ms); 0 while it has a lease.
    pub degraded_ms: u64,
    /// T: how long after a version became active a scheduler may still act on the one before, at most (ms).
    pub max_overlap_ms: u64,
    /// Why it does not vote, or what is wrong with its data folder; `None` if it votes.
    pub not_voting_reason: Option<String>,
    /// Its number as a voter, if it is configured as one.
    pub voter_id: Option<u64>,
    /// The number of the leader, as far as it knows.
    pub leader_id: Option<u64>,
    /// The state of the rollout; only the leader reports it.
    pub rollout: Option<RolloutStatus>,
}

/// The state of the rollout, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The active version.
    pub active_version: Version,
    /// The number of the newest proposal.
    pub newest_proposal: u64,
    /// Steps between the active one and the newest proposal.
    pub pending_steps: u64,
    /// What the next step waits for.
    pub blocked_by: Option<String>,
    /// All members.
    pub members: Vec<MemberStatus>,
}

/// A member's lease, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The scheduler's name.
    pub name: String,
    /// The version that it has acknowledged to this leader.
    pub acknowledged_version: Option<Version>,
    /// The earliest version that it may still act on, if only on its degraded rules.
    pub earliest_version: Version,
    /// How long until its lease has surely expired (ms); 0 if it has.
    pub lease_remaining_ms: u64,
}
