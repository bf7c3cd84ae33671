//! What the Raft library needs to know of this program: its types and its network.

pub mod network;
pub mod types;
