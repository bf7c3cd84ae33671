//! Rate limiting of repeated log lines: the first event is logged at once, and after that at most one per
//! second, together with the number of events suppressed in between.

use std::time::{Duration, Instant};

/// The minimum time between two logged events.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which of many similar events are logged.
#[derive(Default)]
pub struct Throttle {
    last_logged: Option<Instant>,
    suppressed: u64,
}

impl Throttle {
    /// Records an event. Returns `None` if the event must not be logged, and otherwise the number of events
    /// suppressed since the last logged one.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        if self.last_logged.is_some_and(|last| now.saturating_duration_since(last) < MIN_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_logged = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
