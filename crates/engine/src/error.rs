//! The errors of an [`Engine`](crate::Engine).

use thiserror::Error;

/// An input that is impossible in the engine's state: a fault of the host. The engine ignores the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// A job whose id is that of another job that is not answered yet or has attempts in flight.
    #[error("a job with an id that is already in use")]
    DuplicateJob,
    /// The end of an attempt that has ended before or was never ordered.
    #[error("the end of an attempt that is not in flight")]
    AttemptNotInFlight,
    /// The result of a probe of a worker that was never listed.
    #[error("a probe result for a worker that was never listed")]
    UnknownWorker,
}
