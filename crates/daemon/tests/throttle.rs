//! Tests which of many similar events the throttle lets into the log.

use std::time::{Duration, Instant};

use nickelflow_daemon::throttle::Throttle;

#[test]
fn logs_one_event_per_second_with_the_number_suppressed() {
    let (mut throttle, start) = (Throttle::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let logged: Vec<_> = [0, 20, 40, 999, 1_000, 1_500, 9_000].map(|ms| throttle.record(at(ms))).into();
    assert_eq!(logged, [Some(0), None, None, None, Some(3), None, Some(1)]);
}
