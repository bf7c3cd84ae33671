//! The timeouts and delays of the watch on discovery.

use std::time::Duration;

/// Discovery writes at least an empty line at this interval.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A scheduler counts as notified of a change this long after discovery had the change and could be reached,
/// whatever the outcome of its calls.
pub const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// The list counts as stale this much sooner, so that the scheduler loop is notified in time also on a busy
/// processor.
const STALE_MARGIN: Duration = Duration::from_millis(500);
/// A call without a response after this time may be lost. The timeout grows for each scheduler that may have
/// called before. Discovery handles calls in order, including abandoned ones, and takes
/// [`WatchTiming::CALL_SERVICE_TIME`] for each: it handles more calls in this time than all schedulers
/// repeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT_PER_SCHEDULER: Duration = Duration::from_millis(80);
/// While a call waits, a bare connection checks at this interval whether discovery can still be reached. The
/// check adds nothing to the calls that wait there. The interval grows for each scheduler that does the same.
/// With a few schedulers the response timeout is shorter, so that they repeat the call before the first
/// check.
const REACHABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(1500);
const CHECK_INTERVAL_PER_SCHEDULER: Duration = Duration::from_millis(5);
/// Schedulers that lost their watches together reconnect with a jitter of this much for each scheduler, up to
/// [`MAX_JITTER`].
const JITTER_PER_SCHEDULER: Duration = Duration::from_millis(10);
const MAX_JITTER: Duration = Duration::from_secs(1);
/// The shortest backoff after a call that failed at discovery, which is down or has too many callers. The
/// time that the call had waited there is added to the backoff.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// A scheduler counts as notified of changes this long after discovery has moved. It opens the watch at the
/// new address at once, and during this time it reopens the watch after a short delay, also after calls that
/// failed.
pub(crate) const MOVE_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);
/// How the scheduler receives lists, and the timeouts and delays that follow from it.
#[derive(Clone, Copy)]
pub struct WatchTiming {
    /// The scheduler watches an agent beside it, to which lists are pushed: it counts as notified of what the
    /// agent has at once, and calls to the agent cost nothing. Otherwise all schedulers call one service.
    pub uses_agent: bool,
    /// How many schedulers may call discovery at once.
    pub scheduler_count: u32,
    /// How long the scheduler may still send to a worker after it was notified that the worker drains.
    pub drain_grace: Duration,
}

impl WatchTiming {
    /// The time that discovery takes to handle a call: with many schedulers it handles 15 calls a second,
    /// including abandoned ones.
    pub const CALL_SERVICE_TIME: Duration = Duration::from_nanos(1_000_000_000 / 15);

    /// Returns how long a watch may be silent before it counts as dead. A quarter of the time that is left
    /// after a missed heartbeat allows for a late heartbeat; the rest is for the response to a new watch.
    pub fn silence_timeout(&self) -> Duration {
        HEARTBEAT_INTERVAL + (MAX_NOTIFICATION_DELAY - HEARTBEAT_INTERVAL) / 4
    }

    /// Returns the timeout for establishing a connection.
    pub fn connect_timeout(&self) -> Duration {
        (self.drain_grace / 2).clamp(Duration::from_millis(100), Duration::from_secs(1))
    }

    /// Returns how long the head of a response may take before the call is repeated.
    pub fn response_timeout(&self) -> Duration {
        match self.uses_agent {
            true => self.connect_timeout(),
            false => RESPONSE_TIMEOUT
                .saturating_add(RESPONSE_TIMEOUT_PER_SCHEDULER.saturating_mul(self.scheduler_count)),
        }
    }

    /// Returns the interval between checks whether discovery can be reached, while a call waits.
    pub fn reachability_check_interval(&self) -> Duration {
        REACHABILITY_CHECK_INTERVAL
            + CHECK_INTERVAL_PER_SCHEDULER.saturating_mul(self.scheduler_count).min(MAX_JITTER)
    }

    /// Returns how long after it was surely current a list may lack changes of which the scheduler counts as
    /// notified.
    pub fn max_list_age(&self) -> Duration {
        MAX_NOTIFICATION_DELAY - STALE_MARGIN
    }

    /// Returns the delay from the end of a watch to the next one.
    pub fn retry_delay(&self, end: WatchEnd, rng: &mut fastrand::Rng) -> Duration {
        let jitter = if self.uses_agent {
            Duration::ZERO
        } else {
            JITTER_PER_SCHEDULER.saturating_mul(self.scheduler_count)
        };
        match end {
            WatchEnd::Failed { waited } if !self.uses_agent => {
                MIN_FAILURE_BACKOFF
                    + (MIN_FAILURE_BACKOFF + jitter.min(4 * MAX_JITTER)).mul_f64(rng.f64())
                    + waited.min(self.response_timeout())
            }
            _ => {
                let min_delay =
                    (self.drain_grace / 8).clamp(Duration::from_millis(20), Duration::from_millis(250));
                min_delay + jitter.min(MAX_JITTER).mul_f64(rng.f64())
            }
        }
    }
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchEnd {
    /// No connection can be established: discovery has not received the call, or is cut off from it.
    Unreachable,
    /// Nothing was received any more, or ever; the scheduler still counts as notified of the changes that it
    /// misses.
    Silent,
    /// The watch was established and lasted for a while before it ended.
    Ended,
    /// The watch was not established, or did not last: discovery is down, or has too many callers.
    Failed {
        /// How long discovery had the call before it failed.
        waited: Duration,
    },
}
