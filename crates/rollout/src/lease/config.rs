//! The timing of leases.

use serde::{Deserialize, Serialize};

use crate::monotonic::Nanos;

/// The largest clock drift that is accepted: far beyond that of any working clock.
const MAX_CLOCK_DRIFT: f64 = 0.1;

/// The timing of leases, which must be the same at all schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseConfig {
    /// How long a lease lasts from the time at which its holder asked for it.
    pub duration: Nanos,
    /// The time from one request of a holder to its next.
    pub renewal_interval: Nanos,
    /// The largest fraction by which a clock may run faster or slower than true time.
    pub max_clock_drift: f64,
}

impl LeaseConfig {
    /// Creates a configuration. Returns `None` if the renewal interval is not between zero and the duration or the drift
    /// is not from 0 to 0.1.
    pub fn new(duration: Nanos, renewal_interval: Nanos, max_clock_drift: f64) -> Option<LeaseConfig> {
        let renews_in_time = 0 < renewal_interval && renewal_interval < duration;
        let valid = renews_in_time && (0.0..=MAX_CLOCK_DRIFT).contains(&max_clock_drift);
        valid.then_some(LeaseConfig { duration, renewal_interval, max_clock_drift })
    }

    /// The longest time for which a scheduler may act on a version after the next one was decided, measured by a true
    /// clock; the documentation calls it T. The last lease on the version was requested before the decision and
    /// lasts this long by the slowest clock. If a process is suspended between its check of the lease and the write,
    /// that time is added.
    pub fn max_overlap(&self) -> Nanos {
        (self.duration as f64 / (1.0 - self.max_clock_drift)).ceil() as Nanos
    }

    /// The time after a grant, by the clock of the leader that granted, at which the lease has expired for certain.
    pub fn safe_expiry(&self) -> Nanos {
        (self.max_overlap() as f64 * (1.0 + self.max_clock_drift)).ceil() as Nanos
    }
}
