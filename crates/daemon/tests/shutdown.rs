//! The times of a planned end.

use std::time::Duration;

use nickelflow_daemon::shutdown::ShutdownSchedule;

#[test]
fn all_is_answered_before_the_soonest_kill_of_any_deadline() {
    for ms in [1, 50, 200, 300, 600, 1_100, 2_000, 3_000, 5_000, 25_000] {
        let longest = Duration::from_millis(ms);
        let ShutdownSchedule { stop_accepting_after: closing, answer_all_after: answered } =
            ShutdownSchedule::new(longest);
        let kill = longest.min(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(closing > Duration::from_millis(400), "{ms} ms: {closing:?} is within the crossing");
        assert!(closing < answered, "{ms} ms");
        assert!(answered + Duration::from_millis(200) <= kill, "{ms} ms: {answered:?} of {kill:?}");
    }
    let usual = ShutdownSchedule {
        stop_accepting_after: Duration::from_millis(2600),
        answer_all_after: Duration::from_millis(3300),
    };
    assert_eq!(ShutdownSchedule::new(Duration::from_secs(5)), usual);
}
