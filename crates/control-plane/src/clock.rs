//! The clock that leases are measured by.

use std::time::{Duration, Instant};

use nickelflow_rollout::Nanos;

/// Nanoseconds in a millisecond, in which operators are shown times.
pub const NANOS_PER_MS: Nanos = 1_000_000;

/// The monotonic clock of this process, in nanoseconds from when it was started. It goes on while the process
/// is stopped.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// Returns the time since the start (ns).
    pub fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Returns the moment at which this clock shows `time` (ns).
    pub fn instant(&self, time: Nanos) -> Instant {
        self.started + Duration::from_nanos(time)
    }
}
