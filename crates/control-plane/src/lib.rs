//! The control plane: replicates the rules among schedulers and grants leases on them. The state machines
//! without I/O are in `nickelflow-rollout`.
//!
//! Three or five **voters** replicate a log of proposals and steps with Raft (`openraft`). The **leader**
//! grants leases on the active version and activates the next step. It grants a lease only after a quorum has
//! confirmed its leadership, and activates a step only after every lease on an earlier version has expired on
//! its holder's clock as well. Every scheduler, voter or not, is a **lease holder**: it requests a lease from
//! a voter and publishes the rules that it may act on ([`ActiveRules`]).
//!
//! The control plane runs on a separate thread with its own runtime, because the log is flushed to disk
//! before a request is answered and client requests must not wait for the flush. `docs/design/accord.md`
//! compares this design with the alternatives.

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
