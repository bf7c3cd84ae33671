//! Versioned rules that all schedulers of a fleet agree on. No two schedulers apply contradictory rules for
//! longer than a stated time.
//!
//! The crate consists of pure state machines without I/O, clocks or tasks. Every time is an argument.
//!
//! - An operator writes a [`RulesDocument`]: quotas, restrictions on workers, and the [`DegradedRules`] for a
//!   scheduler without a valid lease.
//! - [`plan_steps`] divides the change from one document to another into [`RulesStep`]s. Two consecutive
//!   steps may be in effect at the same time, because [`RulesStep::contradiction_with`] finds no
//!   contradiction between them; three steps never are.
//! - A scheduler applies a step only while it holds a lease on the step ([`LeaseHolder`]). After the lease
//!   has expired, the scheduler applies the step's [`DegradedRules`].
//! - The leader ([`LeaseTable`]) advances the replicated [`RolloutState`] to the next step when two
//!   conditions hold: every member has acknowledged the active step or can hold no lease on an earlier one,
//!   and the next step contradicts no member's degraded rules.
//!
//! `docs/design/accord.md` derives the bound on the overlap and compares the alternatives.

mod contradiction;
mod document;
mod document_format;
mod key_placement;
mod lease;
mod rollout_plan;
mod rollout_state;
mod step;
mod time;
mod toml_reader;
mod version;

pub use contradiction::Contradiction;
pub use document::{DegradedRules, RetryAfterRange, RulesDocument, WorkerState, MAX_TENANTS, MAX_WORKERS};
pub use key_placement::{KeyPlacement, PlacementInputs};
pub use lease::{
    LeaseConfig, LeaseGrant, LeaseHolder, LeaseRequest, LeaseState, LeaseTable, OutstandingLease, PriorLease,
};
pub use rollout_plan::plan_steps;
pub use rollout_state::{BlockedBy, CommandError, Proposal, RolloutState};
pub use step::{RulesStep, VersionedStep, WorkerAccess};
pub use time::Nanos;
pub use toml_reader::{DocumentError, InvalidDocument, TomlReader, TomlTable};
pub use version::Version;
