//! The monotonic clock that measures leases.

use std::time::{Duration, Instant};

use nickelflow_rollout::Nanos;

/// Nanoseconds per millisecond, the unit of the times that are shown to operators.
pub const NANOS_PER_MS: Nanos = 1_000_000;

/// A monotonic clock that counts nanoseconds from its start. It keeps running while the process is stopped
/// by a signal.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// Returns the time since the clock was started (ns).
    pub fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Converts a time of this clock (ns) to an [`Instant`].
    pub fn instant(&self, time: Nanos) -> Instant {
        self.started + Duration::from_nanos(time)
    }
}
