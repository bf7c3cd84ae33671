//! The state machine between the decisions of [`nickelflow_dispatcher`] and a host: the open jobs, their attempts, the
//! single final answer to each job, and the numbers of the workers. It does no I/O and has no clock, tasks or threads; the
//! host around it sends and receives.
//!
//! # How a host uses it
//!
//! 1. Create an [`Engine`] from settings and a seed, and pass it the workers with [`Input::WorkerList`].
//! 2. Pass everything that happens to [`Engine::handle`], with its time and in the order in which it happened. Times are
//!    [`Nanos`] of a monotonic clock of the host's choice, against which [`Endpoint::started_at`] can be compared; a time
//!    that is earlier than the last counts as the last.
//! 3. Carry out the [`Output`]s that it appends, in order. An output may be carried out at any later time; the result
//!    is a further input.
//! 4. Pass [`Input::Wake`] whenever the time of [`Engine::next_wake`] has come. A late wake delays decisions, a
//!    superfluous one does nothing.
//!
//! # Guarantees
//!
//! - Every job that [`Input::Job`] opened gets exactly one [`Output::FinalAnswer`], unless
//!   [`Input::ClientDisconnected`] came first: then it gets none. The answer comes before the job's deadline as long as
//!   wakes come in time.
//! - Attempts of a job are numbered 0, 1, 2, ...; every [`Output::StartAttempt`] requires one [`Input::AttemptEnded`],
//!   soon after [`StartAttempt::deadline`] at the latest. A second end of the same attempt changes nothing.
//! - [`Output::Cancel`] names only an attempt that is in flight, and each at most once. The attempt's end must still be
//!   reported and may have any outcome, for it may have crossed the cancellation.
//! - [`Output::CancelUnstarted`] names an attempt in flight whose worker drains or whose client has disconnected. The
//!   attempt must not start; one that has started ends as it would otherwise.
//! - After the answer to a job its only outputs are [`Output::Cancel`] and [`Output::CancelUnstarted`].
//! - The same inputs at the same times, with the same seed, give the same outputs in any process.
//! - A job is removed once it is answered (or its client has disconnected) and all its attempts have ended: memory is
//!   proportional to the open jobs and attempts.
//!
//! Inputs that can cross an output ([`Input::ClientDisconnected`], [`Input::Progress`], [`Input::Streaming`]) may name a
//! job or attempt that has ended, and are ignored then. For other inputs that is a fault of the host, for which
//! [`Engine::handle`] returns an [`EngineError`] and changes nothing.
//!
//! # Type parameters
//!
//! `J` is the host's id of a job, unique among the open jobs. `A` is how the host reaches a worker; the engine only
//! stores it. `R` is the result of a job, which the engine passes on from the attempt to the answer.

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

/// Returns the 64-bit FNV-1a hash of some bytes. It is the same for every scheduler and build, so that all rank the
/// workers for a key alike; [`Job::key`] is computed with it.
pub fn fnv1a_hash(bytes: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
