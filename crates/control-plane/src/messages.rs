//! The messages between schedulers, and from operators to them: postcard in the body of an HTTP request.
//!
//! Postcard stores the order, number and types of fields and variants, which must not change: programs of two
//! builds would read each other wrongly.

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

/// Bytes of a message, at most: some entries of the log, each with a document of 20,000 workers.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// The format of the messages, as [`FORMAT_HEADER`] states it. A process of another format rejects them.
pub const FORMAT: &str = "1";
/// The header with the format of the message.
pub const FORMAT_HEADER: &str = "nickelflow-format";
/// The header with the name of the fleet that the sender belongs to.
pub const FLEET_HEADER: &str = "nickelflow-fleet";

/// The path of requests of the Raft library. They have one of their own, for they must not queue behind lease
/// requests while there is no quorum.
pub const RAFT_PATH: &str = "/voters";
/// The path of all other requests.
pub const RULES_PATH: &str = "/rules";

/// A request to another process.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Raft's request to append entries to the log, or its heartbeat.
    AppendEntries(AppendEntriesRequest<TypeConfig>),
    /// Raft's request for a vote.
    Vote(VoteRequest<u64>),
    /// Raft's request to take over a chunk of a snapshot.
    InstallSnapshot(InstallSnapshotRequest<TypeConfig>),
    /// A scheduler asks the leader for its lease.
    RequestLease {
        /// The name of the scheduler.
        holder: String,
        /// The lease duration that it is configured with (ns). The leader must have the same.
        lease_duration: u64,
        /// The process that asks, and the version that it acts on.
        request: LeaseRequest,
    },
    /// A command for the log; only the leader takes it.
    Command(Command),
    /// The operator's request, made once, to begin with this document.
    Bootstrap(RulesDocument),
    /// The operator's request that these be the voters from now on.
    ChangeVoters(BTreeSet<u64>),
    /// Asks the leader for the cached proposals.
    History,
    /// Asks a process for its state.
    Status,
}

impl PeerRequest {
    /// Returns the path of the HTTP request.
    pub fn path(&self) -> &'static str {
        match self {
            PeerRequest::AppendEntries(_) | PeerRequest::Vote(_) | PeerRequest::InstallSnapshot(_) => {
                RAFT_PATH
            }
            _ => RULES_PATH,
        }
    }
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// To [`PeerRequest::AppendEntries`].
    AppendEntries(Result<AppendEntriesResponse<u64>, RaftRpcError>),
    /// To [`PeerRequest::Vote`].
    Vote(Result<VoteResponse<u64>, RaftRpcError>),
    /// To [`PeerRequest::InstallSnapshot`].
    InstallSnapshot(Result<InstallSnapshotResponse<u64>, InstallSnapshotRpcError>),
    /// To [`PeerRequest::RequestLease`].
    LeaseGranted(Box<LeaseGrant>),
    /// To a command that was applied: the number of the proposal or version that it has made, or 0.
    Applied(u64),
    /// To [`PeerRequest::History`]: the cached proposals, the newest last.
    History(Vec<Proposal>),
    /// To [`PeerRequest::Status`].
    Status(Box<SchedulerStatus>),
    /// The request was not served.
    Error(PeerError),
}
