//! The type parameters of the Raft library, filled in for this program.

use std::io::Cursor;

use openraft::error::{InstallSnapshotError, RaftError};

use crate::command::{Command, CommandOutcome};

openraft::declare_raft_types!(
    /// The types that the replicated log, its state machine and its snapshots are made of.
    pub TypeConfig:
        D = Command,
        R = CommandOutcome,
        NodeId = u64,
        Node = openraft::EmptyNode,
        SnapshotData = Cursor<Vec<u8>>,
);

/// A voter's handle of the Raft library.
pub type Raft = openraft::Raft<TypeConfig>;
/// Why a voter has not answered an `AppendEntries` or a `Vote` request.
pub type RaftRpcError = RaftError<u64>;
/// Why a voter has not answered an `InstallSnapshot` request.
pub type InstallSnapshotRpcError = RaftError<u64, InstallSnapshotError>;
/// A fault of the storage, which the Raft library does not survive.
pub type RaftStorageError = openraft::StorageError<u64>;
/// The leader's term and the index of an entry of the log.
pub type LogId = openraft::LogId<u64>;
/// An entry of the log.
pub type Entry = openraft::Entry<TypeConfig>;
/// The voters and learners, and the entry of the log that made them so.
pub type Membership = openraft::StoredMembership<u64, openraft::EmptyNode>;
/// What a snapshot contains, beside its data.
pub type SnapshotMeta = openraft::SnapshotMeta<u64, openraft::EmptyNode>;
