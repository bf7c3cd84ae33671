//! The messages between schedulers, and between operators and schedulers: postcard in the bodies of HTTP
//! requests and responses.
//!
//! The encoding depends on the order, number and types of fields and variants. These must not change, or two
//! versions of the program would misread each other's messages.

use std::collections::BTreeSet;

use nickelflow_rollout::{LeaseGrant, LeaseRequest, Proposal, RulesDocument};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::peer_error::PeerError;
use crate::raft_types::{InstallSnapshotRpcError, RaftRpcError, TypeConfig};
use crate::status::SchedulerStatus;

/// The maximum size of a message. Several log entries fit into it, each with a document of 20,000 workers.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// The message format, sent in [`FORMAT_HEADER`]. A process that uses another format rejects the message.
pub const FORMAT: &str = "1";
/// The HTTP header that holds the message format.
pub const FORMAT_HEADER: &str = "nickelflow-format";
/// The HTTP header that holds the name of the sender's fleet.
pub const FLEET_HEADER: &str = "nickelflow-fleet";

/// The path of the Raft library's requests. It is separate so that these requests don't queue behind lease
/// requests while there is no quorum.
pub const RAFT_PATH: &str = "/voters";
/// The path of all other requests.
pub const RULES_PATH: &str = "/rules";

/// A request to another process.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Raft's `AppendEntries` request, which is also the heartbeat.
    AppendEntries(AppendEntriesRequest<TypeConfig>),
    /// Raft's `RequestVote` request.
    Vote(VoteRequest<u64>),
    /// Raft's request to install a chunk of a snapshot.
    InstallSnapshot(InstallSnapshotRequest<TypeConfig>),
    /// A scheduler's request for a lease, served by the leader.
    RequestLease {
        /// The name of the scheduler.
        holder: String,
        /// The lease duration that the scheduler is configured with (ns). The leader's must be the same.
        lease_duration: u64,
        /// The requesting process, and the version that it acts on.
        request: LeaseRequest,
    },
    /// A command for the log, accepted only by the leader.
    Command(Command),
    /// The operator's request to bootstrap the fleet with this document. It succeeds once.
    Bootstrap(RulesDocument),
    /// The operator's request to replace the set of voters.
    ChangeVoters(BTreeSet<u64>),
    /// A request for the cached proposals, served by the leader.
    History,
    /// A request for the status of the process that receives it.
    Status,
}

impl PeerRequest {
    /// Returns the path of the HTTP request that carries this message.
    pub fn path(&self) -> &'static str {
        match self {
            PeerRequest::AppendEntries(_) | PeerRequest::Vote(_) | PeerRequest::InstallSnapshot(_) => {
                RAFT_PATH
            }
            _ => RULES_PATH,
        }
    }
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The response to [`PeerRequest::AppendEntries`].
    AppendEntries(Result<AppendEntriesResponse<u64>, RaftRpcError>),
    /// The response to [`PeerRequest::Vote`].
    Vote(Result<VoteResponse<u64>, RaftRpcError>),
    /// The response to [`PeerRequest::InstallSnapshot`].
    InstallSnapshot(Result<InstallSnapshotResponse<u64>, InstallSnapshotRpcError>),
    /// The response to [`PeerRequest::RequestLease`].
    LeaseGranted(Box<LeaseGrant>),
    /// The response to a request that was applied: the number of the proposal or version that it created, or
    /// 0.
    Applied(u64),
    /// The response to [`PeerRequest::History`]: the cached proposals, newest last.
    History(Vec<Proposal>),
    /// The response to [`PeerRequest::Status`].
    Status(Box<SchedulerStatus>),
    /// The reason why the request was not served.
    Error(PeerError),
}
