//! When workers started, on the scheduler's monotonic clock.
//!
//! Starts are reported in Unix time, and this machine's wall clock may be wrong or stepped. So an age is never taken from it
//! alone, and never guessed to be more than it surely is:
//!
//! - a start lies before the moment at which it was first heard of, and from there real time runs;
//! - of two starts in one list the earlier one is older by the difference, whatever any clock says here;
//! - the wall clock at the start of the program is believed but for [`WALL_CLOCK_TOLERANCE`]: a worker that started longer ago than
//!   that is not taken for new by each scheduler that starts.
//!
//! From all of it follows a time that discovery's clock has surely passed, which only ever moves on.

use std::collections::HashMap;
use std::time::Duration;

use nickelflow_engine::Nanos;

/// By how much the wall clock may be ahead: it may be stepped by an hour, and by another before that is noticed.
pub const WALL_CLOCK_TOLERANCE: Duration = Duration::from_secs(2 * 3_600);

/// A worker's start as it was last reported, and as it was converted.
struct WorkerStart {
    unix: Nanos,
    clock: Nanos,
}

/// Converts starts from Unix time to the scheduler's clock.
pub struct StartTimes {
    /// What discovery's clock is ahead of the scheduler's, at least.
    ahead: i128,
    known: HashMap<String, WorkerStart>,
}

impl StartTimes {
    /// At `now` on the scheduler's clock, when the wall clock shows so much Unix time.
    pub fn new(now: Nanos, unix: Duration) -> StartTimes {
        let surely = unix.saturating_sub(WALL_CLOCK_TOLERANCE).as_nanos() as i128;
        StartTimes { ahead: surely - i128::from(now), known: HashMap::new() }
    }

    /// Records the starts (Unix time, ns) of a list that came at `now`. All starts of a list must be recorded before one is
    /// converted.
    pub fn observe(&mut self, now: Nanos, starts: impl Iterator<Item = Nanos>) {
        if let Some(last) = starts.max() {
            self.ahead = self.ahead.max(i128::from(last) - i128::from(now));
        }
    }

    /// Returns when a worker started at the latest, on the scheduler's clock. A later start that is reported for it is a later
    /// one here.
    pub fn convert(&mut self, name: &str, unix: Nanos) -> Nanos {
        let clock = (i128::from(unix) - self.ahead).max(1) as Nanos;
        let clock = match self.known.get(name) {
            Some(before) if before.unix == unix => clock.min(before.clock),
            Some(before) if before.unix < unix => clock.max(before.clock + 1),
            _ => clock,
        };
        self.known.insert(name.to_owned(), WorkerStart { unix, clock });
        clock
    }
}
