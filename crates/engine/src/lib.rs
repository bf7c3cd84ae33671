//! What stands between the decisions of [`nickelflow_dispatcher`] and any outside: the jobs that are open, their
//! attempts, the single final answer of each, and the names of the instances. A state machine without I/O,
//! clock, tasks or threads; a host round it does the sending.
//!
//! # How a host uses it
//!
//! 1. Make an [`Engine`] from settings and a seed, and tell it the instances with [`Input::WorkerList`].
//! 2. Give it everything that happens with [`Engine::handle`], each with its time, in the order in which it
//!    happened. Times are [`Nanos`] of a clock of the host's choice that never runs backwards and against
//!    which [`Endpoint::started`] can be compared; a time that is earlier than the last counts as the last.
//! 3. Carry out the [`Output`]s that it appends, in their order. An order may be carried out at any later
//!    time; whatever comes of it goes in as a further input.
//! 4. Whenever [`Engine::next_wake`] has come, give it [`Input::Wake`]. A wake that is late delays decisions,
//!    one too many does nothing.
//!
//! # What it promises
//!
//! - Every job that [`Input::Job`] took gets exactly one [`Output::FinalAnswer`], unless [`Input::ClientDisconnected`] came first;
//!   none comes after that one, whatever else happens. It comes before the job's deadline as long as wakes
//!   come in time.
//! - Attempts of a job are numbered 0, 1, 2 ...; every [`Output::StartAttempt`] asks for one [`Input::AttemptEnded`], at
//!   the latest soon after [`StartAttempt::deadline`]. A second end of the same attempt changes nothing.
//! - [`Output::Cancel`] names only an attempt that is out, at most once. It still wants its end, which may be
//!   any outcome, for the cancel may have crossed it.
//! - [`Output::CancelUnstarted`] names an attempt that is out when its instance is told to leave, or its client has
//!   gone: it must not begin, and ends as it otherwise would if it has begun already.
//! - Nothing is ordered for a job after its answer but cancels and withdrawals.
//! - The same inputs at the same times, and the same seed, give the same orders, in any process.
//! - A job is forgotten once it is answered (or its client gone) and all its attempts have ended: memory
//!   follows the jobs and attempts that are open.
//!
//! Inputs that can cross an order ([`Input::ClientDisconnected`], [`Input::Progress`], [`Input::Streaming`]) may name what
//! is over and are then passed over. Those that cannot are a host's mistake; [`Engine::handle`] says so with a
//! [`EngineError`] and changes nothing.
//!
//! # Types
//!
//! `J` is the host's name of a job, unique among those that are open. `A` is how the host reaches an
//! instance; the engine only keeps it. `R` is the result of a job; the engine passes it on from the attempt
//! to the answer.
// Left over: not yet documented and split (see DEVELOPERS.md, "Lints").
#![allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines, clippy::type_complexity)]

mod engine;
mod instances;
mod interface;
mod open_job;
pub mod permits;

pub use engine::Engine;
pub use instances::{Endpoint, KnownWorker};
pub use interface::{AttemptResult, EngineError, FinalAnswer, Input, Job, Output, StartAttempt};
pub use nickelflow_dispatcher::{DegradedRules, Rules, WorkerRestriction};
pub use nickelflow_dispatcher::{
    ListKind, LoadReport, Nanos, Outcome, Settings, SettingsError, WorkerStatus,
};

/// FNV-1a, 64 bits: the same for every scheduler and build, so that all rank the instances for a key alike.
/// Use it for [`Job::key`].
pub fn hash(bytes: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
