//! The status that a process reports to operators.
//!
//! These types are sent as postcard, so the order and types of their fields must not change.

use nickelflow_rollout::Version;
use serde::{Deserialize, Serialize};

/// The status of a scheduler process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SchedulerStatus {
    /// The scheduler's name, by which the membership identifies it.
    pub name: String,
    /// The version of the program.
    pub program_version: String,
    /// The version of the latest lease that it was granted.
    pub version: Option<Version>,
    /// The time until that lease expires (ms); 0 if it has expired.
    pub lease_remaining_ms: u64,
    /// How long it has been acting on degraded rules (ms); 0 while it has a lease.
    pub degraded_ms: u64,
    /// T: the maximum time for which a scheduler may still act on the previous version after a new version
    /// has become active (ms).
    pub max_overlap_ms: u64,
    /// The reason why it does not vote, or the fault of its data folder; `None` if it votes.
    pub not_voting_reason: Option<String>,
    /// Its voter id, if it is configured as a voter.
    pub voter_id: Option<u64>,
    /// The id of the leader, if it knows it.
    pub leader_id: Option<u64>,
    /// The status of the rollout, reported only by the leader.
    pub rollout: Option<RolloutStatus>,
}

/// The status of the rollout, as known to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The active version.
    pub active_version: Version,
    /// The number of the newest proposal.
    pub newest_proposal: u64,
    /// The number of steps from the active one to the newest proposal.
    pub pending_steps: u64,
    /// The reason why the next step cannot be activated yet.
    pub blocked_by: Option<String>,
    /// The status of each member.
    pub members: Vec<MemberStatus>,
}

/// The status of a member's lease, as known to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The scheduler's name.
    pub name: String,
    /// The latest version that the member has acknowledged to this leader.
    pub acknowledged_version: Option<Version>,
    /// The earliest version that the member may still act on, at least by its degraded rules.
    pub earliest_version: Version,
    /// The time until its lease has expired in any case, clock drift included (ms); 0 if it has expired.
    pub lease_remaining_ms: u64,
}
