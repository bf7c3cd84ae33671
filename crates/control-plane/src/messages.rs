//! What schedulers say to each other and what an operator asks of them: postcard in the body of an HTTP request.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use nickelflow_rollout::{CommandError, LeaseGrant, LeaseRequest, RulesDocument, Version};
use serde::{Deserialize, Serialize};

use crate::raft::{self, Types};

/// Bytes of a message, at most: some entries of the log, each with a document of 20,000 workers.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Bytes of a proposed document, at most.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;
/// The format of messages: a process of another one is told so.
pub const FORMAT: &str = "1";

#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    AppendEntries(openraft::raft::AppendEntriesRequest<Types>),
    Vote(openraft::raft::VoteRequest<u64>),
    InstallSnapshot(openraft::raft::InstallSnapshotRequest<Types>),
    /// A holder asks for its lease.
    RequestLease {
        holder: String,
        /// For how long it takes a lease to hold (ns): all must have the same.
        lease_duration: u64,
        request: LeaseRequest,
    },
    /// For the log, at the voter that leads.
    Command(Command),
    /// Begin with this document: once, by the operator.
    Bootstrap(RulesDocument),
    /// Other voters from now on.
    ChangeVoters(BTreeSet<u64>),
    /// Proposals that are kept, the newest last.
    History,
    Status,
}

/// Where a message goes: those between voters must not wait behind holders that ask while there is no majority.
pub const BETWEEN_VOTERS: &str = "/voters";
pub const ALL_ELSE: &str = "/rules";

impl PeerRequest {
    pub fn path(&self) -> &'static str {
        match self {
            PeerRequest::AppendEntries(_) | PeerRequest::Vote(_) | PeerRequest::InstallSnapshot(_) => {
                BETWEEN_VOTERS
            }
            _ => ALL_ELSE,
        }
    }
}

/// What is decided by being in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing: once it is decided, so is all before it.
    ReadBarrier,
    Bootstrap(RulesDocument),
    Propose {
        base: u64,
        document: RulesDocument,
    },
    RollBack {
        base: u64,
        to: u64,
    },
    Join(String),
    Leave(String),
    /// The next step, if this one is still in force; what holders have told that they have.
    Advance {
        from: Version,
        acknowledged: BTreeMap<String, Version>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    AppendEntries(Result<openraft::raft::AppendEntriesResponse<u64>, raft::Failed>),
    Vote(Result<openraft::raft::VoteResponse<u64>, raft::Failed>),
    InstallSnapshot(Result<openraft::raft::InstallSnapshotResponse<u64>, raft::SnapshotFailed>),
    LeaseGranted(Box<LeaseGrant>),
    /// The number of the proposal that a command has led to, or the newest.
    Applied(u64),
    History(Vec<(u64, RulesDocument)>),
    Status(Box<Status>),
    Error(PeerError),
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerError {
    /// It does not lead; this one does, as far as it knows.
    NotLeader(Option<u64>),
    /// It has no log: not a voter, or its data folder cannot be used.
    NotVoter(String),
    /// The rules say no.
    Rejected(CommandError),
    /// Nothing has been founded yet, or all has been long since.
    NotBootstrapped,
    AlreadyBootstrapped,
    /// Another process has taken this one's name.
    NameTaken,
    /// A document that is too large.
    DocumentTooLarge,
    /// Here a lease lasts so long (ms), there not.
    LeaseMismatch(u64),
    /// No majority answers.
    NoQuorum(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::NotLeader(Some(id)) => write!(f, "voter {id} leads, not this one"),
            PeerError::NotLeader(None) => write!(f, "no voter leads"),
            PeerError::NotVoter(why) => write!(f, "it does not vote: {why}"),
            PeerError::Rejected(why) => write!(f, "{why}"),
            PeerError::NotBootstrapped => write!(f, "no rules have been founded yet"),
            PeerError::AlreadyBootstrapped => write!(f, "rules have been founded already"),
            PeerError::NameTaken => write!(f, "another process has taken this one's name"),
            PeerError::DocumentTooLarge => {
                write!(f, "the document is larger than {MAX_DOCUMENT_BYTES} bytes")
            }
            PeerError::LeaseMismatch(ms) => write!(f, "a lease lasts {ms} ms here, and must at all"),
            PeerError::NoQuorum(why) => write!(f, "no majority of the voters answers: {why}"),
        }
    }
}

/// How a scheduler stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub build: String,
    /// What it was granted last, and how much of the lease is left (ms); careful for so long (ms) if nothing is.
    pub version: Option<Version>,
    pub left_ms: u64,
    pub degraded_ms: u64,
    /// T: how long after a version was decided somebody may still act on the one before (ms).
    pub max_overlap_ms: u64,
    /// Why it does not vote; `None` if it does.
    pub not_voting_reason: Option<String>,
    pub voter: Option<u64>,
    pub leader: Option<u64>,
    /// At the voter that leads.
    pub leader_status: Option<LeaderStatus>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderStatus {
    pub active: Version,
    /// The newest proposal, and steps still to come.
    pub newest: u64,
    pub pending_steps: u64,
    /// What the next step waits for.
    pub blocked_by: Option<String>,
    pub holders: Vec<HolderStatus>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderStatus {
    pub name: String,
    /// What it has told that it has, and the earliest that it may still act on.
    pub acknowledged: Option<Version>,
    pub earliest: Version,
    /// Until its lease is surely over (ms); 0 if it is.
    pub left_ms: u64,
}
