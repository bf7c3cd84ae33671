//! The timing of leases.

use serde::{Deserialize, Serialize};

use crate::time::Nanos;

/// Maximum clock drift of a configuration; far more than the drift of any working clock.
const MAX_CLOCK_DRIFT: f64 = 0.1;

/// The timing of leases. All schedulers must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseConfig {
    /// The duration of a lease from the time of its holder's request.
    pub duration: Nanos,
    /// The interval between two requests of a holder.
    pub renewal_interval: Nanos,
    /// The maximum fraction by which a clock may run faster or slower than true time.
    pub max_clock_drift: f64,
}

impl LeaseConfig {
    /// Creates a configuration. Returns `None` unless the renewal interval is above zero and below the
    /// duration and the drift is from 0 to 0.1.
    pub fn new(duration: Nanos, renewal_interval: Nanos, max_clock_drift: f64) -> Option<LeaseConfig> {
        let renews_in_time = 0 < renewal_interval && renewal_interval < duration;
        let valid = renews_in_time && (0.0..=MAX_CLOCK_DRIFT).contains(&max_clock_drift);
        valid.then_some(LeaseConfig { duration, renewal_interval, max_clock_drift })
    }

    /// Returns the longest time, by a clock without drift, for which a scheduler may apply a version after
    /// the next one was activated. The documentation calls it T.
    ///
    /// The last lease on the version was requested before the next version was activated, and lasts this long
    /// by the slowest clock. A process that is suspended between the check of its lease and the write exceeds
    /// this bound by the time for which it is suspended.
    pub fn max_overlap(&self) -> Nanos {
        (self.duration as f64 / (1.0 - self.max_clock_drift)).ceil() as Nanos
    }

    /// Returns how long after its grant a lease has certainly expired, by the clock of the granting leader.
    pub fn safe_expiry(&self) -> Nanos {
        (self.max_overlap() as f64 * (1.0 + self.max_clock_drift)).ceil() as Nanos
    }
}
