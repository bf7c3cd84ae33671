//! Why a process has not done what it was asked for.

use nickelflow_rollout::CommandError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a proposed document in postcard, at most.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// The reason that a peer gives for not serving a request.
///
/// It travels between processes as postcard: the order and the types of the variants must not change.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum PeerError {
    /// It is not the leader; it names the voter that is, as far as it knows.
    #[error("{}", not_leader(.0))]
    NotLeader(Option<u64>),
    /// It has no log: it is not a voter, or its data folder cannot be used.
    #[error("it does not vote: {0}")]
    NotVoter(String),
    /// The rules do not allow the command.
    #[error("{0}")]
    Rejected(CommandError),
    /// There are no rules yet.
    #[error("no rules have been founded yet")]
    NotBootstrapped,
    /// There are rules already.
    #[error("rules have been founded already")]
    AlreadyBootstrapped,
    /// Another process has taken the name of the one that asks.
    #[error("another process has taken this one's name")]
    NameTaken,
    /// The document has more than `MAX_DOCUMENT_BYTES`.
    #[error("the document is larger than {MAX_DOCUMENT_BYTES} bytes")]
    DocumentTooLarge,
    /// The lease duration of the one that asks is not this one's, which is given in milliseconds.
    #[error("a lease lasts {0} ms here, and must at all")]
    LeaseMismatch(u64),
    /// No quorum of the voters has answered in time.
    #[error("no majority of the voters answers: {0}")]
    NoQuorum(String),
}

fn not_leader(leader: &Option<u64>) -> String {
    match leader {
        Some(id) => format!("voter {id} leads, not this one"),
        None => "no voter leads".to_owned(),
    }
}
