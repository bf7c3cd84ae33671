//! The consensus library's types, with ours filled in.

use std::io::Cursor;

use openraft::error::{InstallSnapshotError, RaftError};

use crate::messages::Command;
use crate::state::Applied;

openraft::declare_raft_types!(
    pub Types:
        D = Command,
        R = Applied,
        NodeId = u64,
        Node = openraft::EmptyNode,
        SnapshotData = Cursor<Vec<u8>>,
);

pub type Raft = openraft::Raft<Types>;
pub type Failed = RaftError<u64>;
pub type SnapshotFailed = RaftError<u64, InstallSnapshotError>;
pub type StoreFailed = openraft::StorageError<u64>;
pub type LogId = openraft::LogId<u64>;
pub type Entry = openraft::Entry<Types>;
pub type Membership = openraft::StoredMembership<u64, openraft::EmptyNode>;
pub type SnapshotMeta = openraft::SnapshotMeta<u64, openraft::EmptyNode>;
