//! Converts the start times of workers to the scheduler's monotonic clock.
//!
//! Starts are reported in Unix time, and the wall clock of the scheduler's machine may be wrong or stepped.
//! So the age of a worker is never derived from the wall clock alone, and never overestimated:
//!
//! - a worker started before the first report of the start, and the monotonic clock measures the age of the
//!   worker from the first report on;
//! - of two workers in one list, the worker with the earlier start is older by the difference of the starts,
//!   whatever the local clocks show;
//! - the wall clock at the start of the program is trusted within [`WALL_CLOCK_TOLERANCE`], so that a worker
//!   that started longer ago than [`WALL_CLOCK_TOLERANCE`] does not count as new for each scheduler that
//!   starts.
//!
//! The three rules give a lower bound for the clock of the discovery service, and the lower bound never
//! decreases.

use std::collections::HashMap;
use std::time::Duration;

use nickelflow_engine::Nanos;

/// The longest time by which the wall clock may be ahead of the clock of the discovery service. The tolerance
/// covers two steps of the wall clock by one hour each, where the second step comes before the first step is
/// noticed.
pub const WALL_CLOCK_TOLERANCE: Duration = Duration::from_secs(2 * 3_600);

/// The last reported start of a worker: in Unix time, and converted to the scheduler's clock.
struct WorkerStart {
    unix_time: Nanos,
    local_time: Nanos,
}

/// Converts starts from Unix time to the scheduler's clock.
pub struct StartTimes {
    /// The least time (ns) by which the clock of the discovery service is ahead of the scheduler's clock.
    min_clock_offset: i128,
    workers: HashMap<String, WorkerStart>,
}

impl StartTimes {
    /// Creates a converter at `now` on the scheduler's clock, when the wall clock shows the Unix time `unix`.
    pub fn new(now: Nanos, unix: Duration) -> StartTimes {
        let min_unix = unix.saturating_sub(WALL_CLOCK_TOLERANCE).as_nanos() as i128;
        StartTimes { min_clock_offset: min_unix - i128::from(now), workers: HashMap::new() }
    }

    /// Records the starts (Unix time, ns) of a list that arrived at `now`. All starts of a list must be
    /// recorded before any start of the list is converted.
    pub fn observe(&mut self, now: Nanos, starts: impl Iterator<Item = Nanos>) {
        if let Some(latest) = starts.max() {
            self.min_clock_offset = self.min_clock_offset.max(i128::from(latest) - i128::from(now));
        }
    }

    /// Returns the latest possible start of a worker on the scheduler's clock. If a later start is reported
    /// for a worker, the result is later too.
    pub fn convert(&mut self, name: &str, unix_time: Nanos) -> Nanos {
        let local_time = (i128::from(unix_time) - self.min_clock_offset).max(1) as Nanos;
        let local_time = match self.workers.get(name) {
            Some(previous) if previous.unix_time == unix_time => local_time.min(previous.local_time),
            Some(previous) if previous.unix_time < unix_time => local_time.max(previous.local_time + 1),
            _ => local_time,
        };
        self.workers.insert(name.to_owned(), WorkerStart { unix_time, local_time });
        local_time
    }
}
