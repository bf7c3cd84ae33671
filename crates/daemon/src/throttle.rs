//! Log lines that may come again and again: the first is written at once, and then one each second that counts the others.

use std::time::{Duration, Instant};

const GAP: Duration = Duration::from_secs(1);

/// Decides which of many like events are written.
#[derive(Default)]
pub struct Throttle {
    last: Option<Instant>,
    left_out: u64,
}

impl Throttle {
    /// An event: `None` where it is only counted, else how many were left out since the last that was written.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        if self.last.is_some_and(|last| now.saturating_duration_since(last) < GAP) {
            self.left_out += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.left_out))
    }
}
