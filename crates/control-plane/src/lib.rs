//! Schedulers that agree on rules: the processes round the pure machines of `nickelflow-rollout`.
//!
//! Three or five **voters** keep one log on disk (`openraft`) of what is proposed and decided. The one that leads them
//! grants leases on the version in force, each only after a majority has confirmed that it still leads, and goes on to
//! the next step when all leases on the one before are surely over. Every scheduler, voter or not, is a **holder**: it
//! asks a voter for its lease, and publishes what it may act on ([`ActiveRules`]).
//!
//! All of it runs on a thread of its own with its own runtime, for a log is flushed to disk before it is answered for,
//! and no request may wait for that. `docs/design/accord.md` has the ways weighed.
// Left over: not yet documented and split (see DEVELOPERS.md, "Lints").
#![allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines, clippy::type_complexity)]

mod chamber;
mod holding;
mod messages;
mod node;
mod peers;
mod raft;
mod state;
mod store;

pub use messages::{Command, HolderStatus, LeaderStatus, PeerError, PeerRequest, PeerResponse, Status};
pub use node::{start, ControlPlane, ControlPlaneConfig, VoterConfig};
pub use peers::{Address, Peers};
pub use store::prepare;

use std::sync::Arc;
use std::time::Instant;

use nickelflow_rollout::{RulesStep, Version};

/// What a scheduler was last granted: in full until then, and after that only by its careful rules.
#[derive(Clone, Debug)]
pub struct ActiveRules {
    pub version: Version,
    pub step: Arc<RulesStep>,
    pub lease_expiry: Instant,
}

/// Nanoseconds of this process's monotonic clock, which goes on while the process is stopped.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> nickelflow_rollout::Nanos {
        self.0.elapsed().as_nanos() as u64
    }

    pub fn instant(&self, at: nickelflow_rollout::Nanos) -> Instant {
        self.0 + std::time::Duration::from_nanos(at)
    }
}
