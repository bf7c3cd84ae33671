//! The control plane: schedulers that agree on rules, around the pure state machines of `nickelflow-rollout`.
//!
//! Three or five **voters** replicate a log of proposals and steps by Raft (`openraft`). The **leader**
//! grants leases on the active version, each only after a quorum has confirmed that it still leads, and
//! activates the next step once all leases on earlier versions have surely expired. Every scheduler, voter or
//! not, is a **lease holder**: it asks a voter for its lease, and publishes the rules that it may act on
//! ([`ActiveRules`]).
//!
//! All of this runs on a thread of its own with its own runtime, for the log is flushed to disk before a
//! request is answered, and no client's request may wait for that. `docs/design/accord.md` weighs the
//! alternatives.

mod active_rules;
mod clock;
mod command;
mod config;
mod control_plane;
mod http_server;
mod leader_service;
mod lease_client;
mod messages;
mod peer_client;
mod peer_error;
mod raft_network;
mod raft_types;
mod read_index;
mod request_handler;
mod state_machine;
mod status;
mod store;
mod voter;

pub use active_rules::ActiveRules;
pub use command::Command;
pub use config::{ControlPlaneConfig, VoterConfig};
pub use control_plane::{start, ControlPlane, StartError};
pub use messages::{PeerRequest, PeerResponse};
pub use nickelflow_rollout::Proposal;
pub use peer_client::{Address, PeerClient, TransportError};
pub use peer_error::PeerError;
pub use status::{MemberStatus, RolloutStatus, SchedulerStatus};
pub use store::{prepare_data_dir, PrepareError, StoreError};
