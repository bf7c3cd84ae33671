//! Versioned rules that all schedulers of a fleet agree on, so that no two of them act on contradictory rules for longer
//! than a stated time.
//!
//! The crate consists of pure state machines: no I/O, no clock and no tasks; every time is an argument.
//!
//! - A [`RulesDocument`] is what an operator writes: quotas, restrictions on workers, and what a scheduler without a
//!   valid lease may do.
//! - A change from one document to another is rolled out in [`RulesStep`]s ([`plan_steps`]). Two neighbouring steps may be
//!   in force at the same time, because [`RulesStep::contradiction_with`] finds no contradiction between them; never three.
//! - A scheduler acts on a step only under a lease ([`LeaseHolder`]). While its lease has lapsed it acts on the step's
//!   [`DegradedRules`].
//! - The leader ([`LeaseTable`]) advances the replicated [`RolloutState`] to the next step once every member has
//!   acknowledged the active step or can hold no lease on an earlier one, and no member's degraded rules contradict it.
//!
//! `docs/design/accord.md` derives the bound on the overlap and compares the alternatives.

mod contradiction;
mod document;
mod document_format;
mod key_placement;
mod lease;
mod monotonic;
mod rollout_plan;
mod rollout_state;
mod step;
mod toml_reader;
mod version;

pub use contradiction::Contradiction;
pub use document::{DegradedRules, RetryAfterRange, RulesDocument, WorkerState, MAX_TENANTS, MAX_WORKERS};
pub use key_placement::{KeyPlacement, PlacementInputs};
pub use lease::{
    LeaseConfig, LeaseGrant, LeaseHolder, LeaseRequest, LeaseState, LeaseTable, OutstandingLease, PriorLease,
};
pub use monotonic::Nanos;
pub use rollout_plan::plan_steps;
pub use rollout_state::{BlockedBy, CommandError, Proposal, RolloutState};
pub use step::{RulesStep, VersionedStep, WorkerAccess};
pub use toml_reader::{DocumentError, InvalidDocument, TomlReader, TomlTable};
pub use version::Version;
