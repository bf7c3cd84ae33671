//! Ages of workers from starts in Unix time, whatever the wall clock says.

use std::time::Duration;

use nickelflow_daemon::start_times::{StartTimes, WALL_CLOCK_TOLERANCE};
use rstest::rstest;

const S: u64 = 1_000_000_000;
/// A time on the scheduler's clock, and the true Unix time then.
const NOW: u64 = 1_000_000 * S;
const UNIX: u64 = 1_700_000_000 * S;

/// A scheduler that starts while its wall clock is off by so much (s).
fn starts(off_s: i64) -> StartTimes {
    StartTimes::new(NOW, Duration::from_nanos(UNIX.saturating_add_signed(off_s * S as i64)))
}

/// The age (s) that a worker has by then, of which this start has been told.
fn age(times: &mut StartTimes, now: u64, name: &str, unix: u64) -> u64 {
    times.observe(now, [unix].into_iter());
    (now - times.convert(name, unix)) / S
}

#[rstest]
fn an_age_is_never_more_than_it_is(#[values(-7_200, -3_600, -5, 0, 5, 3_600, 7_200)] off_s: i64) {
    let mut times = starts(off_s);
    for true_age in [0, 1, 60, 3_600] {
        let told = age(&mut times, NOW, &true_age.to_string(), UNIX - true_age * S);
        assert!(told <= true_age, "{told} s for one that started {true_age} s ago");
    }
}

#[rstest]
fn real_time_runs_from_when_a_start_was_heard_of(#[values(-3_600, 0, 3_600)] off_s: i64) {
    let mut times = starts(off_s);
    assert_eq!(age(&mut times, NOW, "w", UNIX), 0);
    // The same line comes again, by another list.
    assert_eq!(age(&mut times, NOW + 30 * S, "w", UNIX), 30);
}

#[test]
fn of_two_starts_the_earlier_is_older_by_the_difference() {
    let mut times = starts(3_600);
    times.observe(NOW, [UNIX - 100 * S, UNIX].into_iter());
    let (old, young) = (times.convert("old", UNIX - 100 * S), times.convert("young", UNIX));
    assert_eq!((young - old) / S, 100);
    assert!(young <= NOW);
}

#[test]
fn what_started_long_ago_is_old_at_once() {
    let long_ago = WALL_CLOCK_TOLERANCE.as_secs() + 3_600;
    for off_s in [0, 3_600] {
        assert!(age(&mut starts(off_s), NOW, "w", UNIX - long_ago * S) >= 3_600);
    }
    // Behind by an hour, what is sure is an hour less.
    assert_eq!(age(&mut starts(-3_600), NOW, "w", UNIX - (long_ago + 3_600) * S), 3_600);
}

#[test]
fn a_later_start_is_later_also_where_the_clock_became_surer_in_between() {
    let mut times = starts(-3_600);
    times.observe(NOW, [UNIX - 50 * S].into_iter());
    let before = times.convert("w", UNIX - 50 * S);
    assert_eq!(before, NOW);
    // Another one tells that discovery's clock is further.
    times.observe(NOW + S, [UNIX + S].into_iter());
    let after = times.convert("w", UNIX - 49 * S);
    assert!(after > before);
    // Told again, the first start is by now known to be older.
    assert!(times.convert("x", UNIX - 50 * S) < before);
}

#[test]
fn a_wall_clock_before_its_epoch_is_no_harm() {
    let mut times = StartTimes::new(NOW, Duration::ZERO);
    assert_eq!(age(&mut times, NOW, "w", UNIX), 0);
    assert_eq!(age(&mut times, NOW + 9 * S, "w", UNIX), 9);
}
