//! What schedulers say to each other and what an operator asks of them: postcard in the body of an HTTP request.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use nickelflow_rollout::{Document, Grant, Refused, Request, Version};
use serde::{Deserialize, Serialize};

use crate::raft::{self, Types};

/// Bytes of a message, at most: some entries of the log, each with a document of 20,000 workers.
pub const MOST_BYTES: usize = 32 << 20;
/// Bytes of a proposed document, at most.
pub const MOST_DOCUMENT: usize = 4 << 20;
/// The format of messages: a process of another one is told so.
pub const FORMAT: &str = "1";

#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    Append(openraft::raft::AppendEntriesRequest<Types>),
    Vote(openraft::raft::VoteRequest<u64>),
    Snapshot(openraft::raft::InstallSnapshotRequest<Types>),
    /// A holder asks for its lease.
    Ask {
        holder: String,
        /// For how long it takes a lease to hold (ns): all must have the same.
        lease: u64,
        request: Request,
    },
    /// For the log, at the voter that leads.
    Command(Command),
    /// Begin with this document: once, by the operator.
    Found(Document),
    /// Other voters from now on.
    Voters(BTreeSet<u64>),
    /// Proposals that are kept, the newest last.
    History,
    Status,
}

/// Where a message goes: those between voters must not wait behind holders that ask while there is no majority.
pub const BETWEEN_VOTERS: &str = "/voters";
pub const ALL_ELSE: &str = "/rules";

impl Call {
    pub fn path(&self) -> &'static str {
        match self {
            Call::Append(_) | Call::Vote(_) | Call::Snapshot(_) => BETWEEN_VOTERS,
            _ => ALL_ELSE,
        }
    }
}

/// What is decided by being in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing: once it is decided, so is all before it.
    Mark,
    Found(Document),
    Propose {
        base: u64,
        document: Document,
    },
    RollBack {
        base: u64,
        to: u64,
    },
    Sit(String),
    Leave(String),
    /// The next step, if this one is still in force; what holders have told that they have.
    Advance {
        from: Version,
        has: BTreeMap<String, Version>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    Append(Result<openraft::raft::AppendEntriesResponse<u64>, raft::Failed>),
    Vote(Result<openraft::raft::VoteResponse<u64>, raft::Failed>),
    Snapshot(Result<openraft::raft::InstallSnapshotResponse<u64>, raft::SnapshotFailed>),
    Granted(Box<Grant>),
    /// The number of the proposal that a command has led to, or the newest.
    Done(u64),
    History(Vec<(u64, Document)>),
    Status(Box<Status>),
    No(Unanswered),
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unanswered {
    /// It does not lead; this one does, as far as it knows.
    NotLeading(Option<u64>),
    /// It has no log: not a voter, or its data folder cannot be used.
    NotVoting(String),
    /// The rules say no.
    Refused(Refused),
    /// Nothing has been founded yet, or all has been long since.
    NotFounded,
    Founded,
    /// Another process has taken this one's name.
    NameTaken,
    /// A document that is too large.
    TooLarge,
    /// Here a lease lasts so long (ms), there not.
    OtherTerms(u64),
    /// No majority answers.
    NoMajority(String),
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unanswered::NotLeading(Some(id)) => write!(f, "voter {id} leads, not this one"),
            Unanswered::NotLeading(None) => write!(f, "no voter leads"),
            Unanswered::NotVoting(why) => write!(f, "it does not vote: {why}"),
            Unanswered::Refused(why) => write!(f, "{why}"),
            Unanswered::NotFounded => write!(f, "no rules have been founded yet"),
            Unanswered::Founded => write!(f, "rules have been founded already"),
            Unanswered::NameTaken => write!(f, "another process has taken this one's name"),
            Unanswered::TooLarge => write!(f, "the document is larger than {MOST_DOCUMENT} bytes"),
            Unanswered::OtherTerms(ms) => write!(f, "a lease lasts {ms} ms here, and must at all"),
            Unanswered::NoMajority(why) => write!(f, "no majority of the voters answers: {why}"),
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
    pub careful_ms: u64,
    /// T: how long after a version was decided somebody may still act on the one before (ms).
    pub bound_ms: u64,
    /// Why it does not vote; `None` if it does.
    pub not_voting: Option<String>,
    pub voter: Option<u64>,
    pub leader: Option<u64>,
    /// At the voter that leads.
    pub leads: Option<Lead>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lead {
    pub in_force: Version,
    /// The newest proposal, and steps still to come.
    pub newest: u64,
    pub coming: u64,
    /// What the next step waits for.
    pub waits: Option<String>,
    pub holders: Vec<HolderStatus>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderStatus {
    pub name: String,
    /// What it has told that it has, and the earliest that it may still act on.
    pub has: Option<Version>,
    pub earliest: Version,
    /// Until its lease is surely over (ms); 0 if it is.
    pub left_ms: u64,
}
