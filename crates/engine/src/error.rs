//! The errors of an [`Engine`](crate::Engine).

use thiserror::Error;

/// An input that is impossible in the engine's state. It is a fault of the host; the engine ignores the
/// input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The id of a new job belongs to a job that is not answered yet or has attempts in flight.
    #[error("job id is already in use")]
    DuplicateJob,
    /// The attempt whose end is reported has already ended or was never started.
    #[error("ended attempt is not in flight")]
    AttemptNotInFlight,
    /// The worker of a probe result was never listed.
    #[error("probed worker was never listed")]
    UnknownWorker,
}
