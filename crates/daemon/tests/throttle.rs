//! Which of many like events are written to the log.

use std::time::{Duration, Instant};

use nickelflow_daemon::throttle::Throttle;

#[test]
fn one_event_in_a_second_is_written_and_counts_the_others() {
    let (mut throttle, begin) = (Throttle::default(), Instant::now());
    let at = |ms| begin + Duration::from_millis(ms);
    let written: Vec<_> = [0, 20, 40, 999, 1_000, 1_500, 9_000].map(|ms| throttle.record(at(ms))).into();
    assert_eq!(written, [Some(0), None, None, None, Some(3), None, Some(1)]);
}
