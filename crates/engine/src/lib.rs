//! A state machine between the decisions of [`nickelflow_dispatcher`] and a host. It keeps the open jobs,
//! their attempts and the numbers of the workers, and gives each job a single final answer. It does no I/O
//! and has no clock, tasks or threads; the host sends and receives.
//!
//! # How a host uses it
//!
//! 1. Create an [`Engine`] from settings and a seed, and pass it the workers with [`Input::WorkerList`].
//! 2. Pass every event to [`Engine::handle`], with its time and in the order in which the events happened.
//!    Times are [`Nanos`] of a monotonic clock that the host chooses; [`Endpoint::started_at`] is a time on
//!    the same clock. A time that is earlier than that of the previous input counts as that time.
//! 3. Carry out the [`Output`]s that [`Engine::handle`] appends, in order. An output may be carried out at
//!    any later time; its result is a further input.
//! 4. Pass [`Input::Wake`] whenever the time of [`Engine::next_wake`] has come. A late wake delays decisions;
//!    a superfluous one has no effect.
//!
//! # Guarantees
//!
//! - Every job that [`Input::Job`] opened gets exactly one [`Output::FinalAnswer`], unless
//!   [`Input::ClientDisconnected`] came first: then it gets none. The answer comes before the job's deadline
//!   as long as wakes come in time.
//! - Attempts of a job are numbered 0, 1, 2, ...; every [`Output::StartAttempt`] requires one
//!   [`Input::AttemptEnded`], soon after [`StartAttempt::deadline`] at the latest. A second end of the same
//!   attempt changes nothing.
//! - [`Output::Cancel`] names only attempts that are in flight, and each at most once. The attempt's end must
//!   still be reported and may have any outcome, because it may have crossed the cancellation.
//! - [`Output::CancelUnstarted`] names an attempt in flight whose worker drains or has been removed, whose
//!   endpoint list has become stale, or whose client has disconnected. The attempt must not start; one that
//!   has already started continues unaffected.
//! - After the answer to a job its only outputs are [`Output::Cancel`] and [`Output::CancelUnstarted`].
//! - The same inputs at the same times, with the same seed, produce the same outputs in every process.
//! - A job is removed once it is answered (or its client has disconnected) and all its attempts have ended:
//!   memory is proportional to the number of open jobs and attempts.
//!
//! Inputs that can cross an output ([`Input::ClientDisconnected`], [`Input::Progress`], [`Input::Streaming`])
//! may name a job or attempt that has ended, and are ignored then. Any other input that is impossible in the
//! engine's state is a fault of the host: [`Engine::handle`] returns an [`EngineError`] and changes nothing.
//!
//! # Type parameters
//!
//! `J` is the host's id of a job, unique among the open jobs. `A` is the address by which the host reaches a
//! worker; the engine only stores it. `R` is the result of a job, which the engine passes from the attempt to
//! the answer.

mod engine;
mod error;
mod input;
mod open_job;
mod output;
pub mod permits;
mod worker_registry;

pub use engine::{Engine, JobViolation};
pub use error::EngineError;
pub use input::{AttemptResult, Endpoint, Input, Job};
pub use nickelflow_dispatcher::{
    DegradedRules, ListKind, LoadReport, Nanos, Outcome, RetryAfterBounds, Rules, Settings, SettingsError,
    WorkerRestriction, WorkerStatus,
};
pub use output::{FinalAnswer, Output, StartAttempt};
pub use worker_registry::KnownWorker;

/// Returns the 64-bit FNV-1a hash of `bytes`. It is used for [`Job::key`] and for the names of workers, and
/// is the same in every scheduler and build, so that all schedulers rank the workers for a key alike.
pub fn fnv1a_hash(bytes: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
