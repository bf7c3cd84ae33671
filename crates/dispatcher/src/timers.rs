//! The dispatcher's timers, and the wake-up that is requested from the caller for the earliest one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::ids::{AttemptId, RequestId};
use crate::time::Nanos;

/// What happens when a timer expires. Timers of the same time fire in the order of the variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The request must be answered now.
    Deadline(RequestId),
    /// The request may no longer be held for an answer in time.
    HoldTimeout(RequestId),
    /// No signal of the attempt has arrived in time: the attempt may be cancelled, and another one takes its
    /// place.
    SignalTimeout(AttemptId),
    /// The worker must be probed, or its probe has timed out; timers of earlier generations are ignored.
    Probe { worker: usize, generation: u32 },
    /// A warming worker's token bucket may hold enough for another job.
    DrainHoldQueue { worker: usize },
    /// The next candidate of the held request must be probed; timers of earlier searches are ignored.
    ProbeNextCandidate { request: RequestId, search: u32 },
    /// Membership changes must be subscribed to again.
    Subscribe,
}

/// A queue with fewer timers than this is not searched for obsolete ones.
const MIN_COMPACTION_LEN: usize = 1_024;

/// Timers ordered by time, with the wake-up that has been requested for them.
///
/// A timer that has become obsolete stays in the queue until its time, or until [`TimerQueue::compact`].
pub struct TimerQueue<T> {
    timers: BinaryHeap<Reverse<(Nanos, T)>>,
    /// The length at which the queue is compacted next.
    compaction_len: usize,
    /// Time of the requested wake-up; `Nanos::MAX` if none is pending.
    requested_wake: Nanos,
}

impl<T: Ord> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue {
            timers: BinaryHeap::new(),
            compaction_len: MIN_COMPACTION_LEN,
            requested_wake: Nanos::MAX,
        }
    }
}

impl<T: Ord> TimerQueue<T> {
    /// Starts a timer. A timer at `Nanos::MAX` never fires.
    pub fn start(&mut self, at: Nanos, timer: T) {
        if at < Nanos::MAX {
            self.timers.push(Reverse((at, timer)));
        }
    }

    /// Returns the number of timers, obsolete ones included.
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    /// Returns whether there is no timer.
    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }

    /// Returns whether the queue has grown so much since it was last compacted that it should be compacted.
    pub fn needs_compaction(&self) -> bool {
        self.timers.len() >= self.compaction_len
    }

    /// Removes the obsolete timers. Compacted whenever it needs to be, a queue has at most twice as many
    /// timers as are not obsolete, or 1,024, and the work for each timer is constant on average.
    pub fn compact(&mut self, is_obsolete: impl Fn(&T) -> bool) {
        self.timers.retain(|Reverse((_, timer))| !is_obsolete(timer));
        self.compaction_len = MIN_COMPACTION_LEN.max(2 * self.timers.len());
        self.timers.shrink_to(self.compaction_len);
    }

    /// Removes the earliest timer if it has expired, and returns it.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<T> {
        if self.timers.peek().is_none_or(|Reverse((at, _))| *at > now) {
            return None;
        }
        self.timers.pop().map(|Reverse((_, timer))| timer)
    }

    /// Records that a wake-up arrived. A wake-up before the requested time changes nothing.
    pub fn record_wake(&mut self, now: Nanos) {
        if self.requested_wake <= now {
            self.requested_wake = Nanos::MAX;
        }
    }

    /// Returns the time of the next wake-up if it must be requested, because no wake-up that early is
    /// pending.
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
