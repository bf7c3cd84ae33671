//! The types of the Raft library with this program's type parameters.

use std::io::Cursor;

use openraft::error::{InstallSnapshotError, RaftError};

use crate::command::{Command, CommandOutcome};

openraft::declare_raft_types!(
    /// The types of the replicated log, its state machine and its snapshots.
    pub TypeConfig:
        D = Command,
        R = CommandOutcome,
        NodeId = u64,
        Node = openraft::EmptyNode,
        SnapshotData = Cursor<Vec<u8>>,
);

/// A voter's handle of the Raft library.
pub type Raft = openraft::Raft<TypeConfig>;
/// The error of an `AppendEntries` or a `Vote` request.
pub type RaftRpcError = RaftError<u64>;
/// The error of an `InstallSnapshot` request.
pub type InstallSnapshotRpcError = RaftError<u64, InstallSnapshotError>;
/// A storage error. The Raft library stops when it gets one.
pub type RaftStorageError = openraft::StorageError<u64>;
/// The id of a log entry: the leader's term and the entry's index.
pub type LogId = openraft::LogId<u64>;
/// An entry of the log.
pub type Entry = openraft::Entry<TypeConfig>;
/// The voters and learners, and the log entry that set them.
pub type Membership = openraft::StoredMembership<u64, openraft::EmptyNode>;
/// The metadata of a snapshot.
pub type SnapshotMeta = openraft::SnapshotMeta<u64, openraft::EmptyNode>;
