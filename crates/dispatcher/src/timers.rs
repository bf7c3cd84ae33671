//! The dispatcher's timers, and the one wake-up that the caller is asked for at a time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::ids::{AttemptId, RequestId};
use crate::time::Nanos;

/// What a timer stands for. Timers of the same time fire in the order of the variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The request must be answered now.
    Deadline(RequestId),
    /// The request may no longer be held as one that can be answered in time.
    HoldTimeout(RequestId),
    /// The attempt has given no sign of life: another may be started in its place.
    Hedge(AttemptId),
    /// The worker is to be probed, or its probe has been lost; a timer of an earlier number is void.
    Probe { worker: usize, number: u32 },
    /// A warming worker's token bucket may hold enough for another job.
    DrainHoldQueue { worker: usize },
    /// The held request's next candidate is to be probed; a search of an earlier number is void.
    ProbeNextCandidate { request: RequestId, search: u32 },
    /// Membership changes are to be subscribed to again.
    Subscribe,
}

/// Timers, earliest first, with the one wake-up that has been requested for them.
pub struct TimerQueue<T> {
    timers: BinaryHeap<Reverse<(Nanos, T)>>,
    /// When the requested wake-up comes; `Nanos::MAX` if none has been requested.
    requested_wake: Nanos,
}

impl<T: Ord> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { timers: BinaryHeap::new(), requested_wake: Nanos::MAX }
    }
}

impl<T: Ord> TimerQueue<T> {
    /// Starts a timer; one at `Nanos::MAX` never fires.
    pub fn start(&mut self, at: Nanos, timer: T) {
        if at < Nanos::MAX {
            self.timers.push(Reverse((at, timer)));
        }
    }

    /// Removes and returns the earliest timer that has expired by now.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<T> {
        if self.timers.peek().is_none_or(|Reverse((at, _))| *at > now) {
            return None;
        }
        self.timers.pop().map(|Reverse((_, timer))| timer)
    }

    /// Notes that a wake-up has come; one that was not requested changes nothing.
    pub fn record_wake(&mut self, now: Nanos) {
        if self.requested_wake <= now {
            self.requested_wake = Nanos::MAX;
        }
    }

    /// Returns the moment of the next wake-up if it must be requested: none as early has been.
    pub fn request_wake(&mut self, now: Nanos) -> Option<Nanos> {
        self.record_wake(now);
        let Reverse((at, _)) = self.timers.peek()?;
        if *at >= self.requested_wake {
            return None;
        }
        self.requested_wake = *at;
        Some(*at)
    }
}
