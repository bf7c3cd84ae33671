//! The errors that a process returns for requests that it does not serve.

use nickelflow_rollout::CommandError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum size of a proposed document, encoded as postcard.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// The reason why a peer did not serve a request.
///
/// It is sent between processes as postcard, so the order and types of its variants must not change.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum PeerError {
    /// The peer is not the leader. Holds the id of the leader, if the peer knows it.
    #[error("{}", not_leader(.0))]
    NotLeader(Option<u64>),
    /// The peer has no log: it is not a voter, its data folder cannot be used, or it is shutting down. Holds
    /// the reason.
    #[error("it does not vote: {0}")]
    NotVoter(String),
    /// The current state of the rollout does not allow the command.
    #[error("{0}")]
    Rejected(CommandError),
    /// No rules have been bootstrapped.
    #[error("no rules have been founded yet")]
    NotBootstrapped,
    /// The rules have already been bootstrapped.
    #[error("rules have been founded already")]
    AlreadyBootstrapped,
    /// Another process has taken over the name of the requesting process.
    #[error("another process has taken this one's name")]
    NameTaken,
    /// The document is larger than `MAX_DOCUMENT_BYTES`.
    #[error("the document is larger than {MAX_DOCUMENT_BYTES} bytes")]
    DocumentTooLarge,
    /// The requesting process has another lease duration than the peer. Holds the peer's duration (ms).
    #[error("a lease lasts {0} ms here, and must at all")]
    LeaseMismatch(u64),
    /// No quorum of the voters confirmed the request in time. Holds the reason.
    #[error("no majority of the voters answers: {0}")]
    NoQuorum(String),
}

fn not_leader(leader: &Option<u64>) -> String {
    match leader {
        Some(id) => format!("voter {id} leads, not this one"),
        None => "no voter leads".to_owned(),
    }
}
