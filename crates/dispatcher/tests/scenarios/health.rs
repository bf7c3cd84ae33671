//! Workers that fail, hang or report errors.

use nickelflow_dispatcher::*;

use crate::common::*;

#[test]
fn a_failure_ejects_a_worker_until_its_next_probe() {
    for outcome in
        [Outcome::Error, Outcome::Timeout, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset]
    {
        let mut harness = Harness::with_open_workers(
            settings(vec![class(Idempotency::NonIdempotent)]),
            vec![entry(0)],
            4.0,
        );
        harness.submit(0);
        harness.end_attempt(0, 0, outcome);
        harness.take_actions();
        harness.submit(1);
        assert!(harness.workers_tried(1).is_empty(), "{outcome:?}");
        harness.report = Some(free(4.0));
        harness.advance(4 * S);
        assert!(harness.probe_count(0) >= 1, "{outcome:?}");
    }
}

#[test]
fn a_worker_that_keeps_failing_is_probed_ever_more_rarely() {
    let mut harness = Harness::with_open_workers(
        settings(vec![class(Idempotency::Idempotent)]),
        (0..4).map(entry).collect(),
        4.0,
    );
    let probes = |harness: &mut Harness, rounds: usize| {
        harness.take_actions();
        for _ in 0..rounds {
            harness.advance(20 * MS);
            let asked: Vec<u32> = (0..4).filter(|w| harness.probe_count(*w) > 0).collect();
            harness.actions.retain(|a| !matches!(a, Action::Probe { .. }));
            for w in asked {
                let outcome = if w == 0 { Outcome::Timeout } else { Outcome::Ok };
                harness.handle(Event::ProbeCompleted {
                    worker: WorkerId(w),
                    outcome,
                    report: Some(free(0.0)),
                });
            }
        }
    };
    harness.handle(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::Timeout, report: None });
    probes(&mut harness, 400);
    let mut early = 0;
    for _ in 0..100 {
        harness.advance(20 * MS);
        early += harness.probe_count(0);
        harness.take_actions();
    }
    assert!(early <= 1, "{early} probes in two seconds after a minute of failures");
}

#[test]
fn a_worker_that_takes_work_and_stays_silent_gets_no_more() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 8.0);
    harness.submit(0);
    harness.advance(2 * S);
    harness.take_actions();
    harness.submit(1);
    assert!(harness.workers_tried(1).is_empty(), "a silent worker was sent more");
}

#[test]
fn a_worker_that_reports_mostly_errors_stays_closed() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Idempotent)]));
    let failing = LoadReport { errors_per_s: Some(20.0), served_per_s: Some(10.0), ..free(8.0) };
    harness.report = Some(failing);
    harness.apply_list(ListKind::Complete, vec![entry(0), entry(1), entry(2)]);
    harness.advance(S);
    harness.submit(0);
    assert!(harness.workers_tried(0).is_empty());
}

/// A worker that aborts all its attempts has failed once: counted one by one, four attempts kept it ejected
/// for seconds.
#[test]
fn attempts_that_fail_together_count_as_one_failure() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 4.0);
    (0..4).for_each(|id| harness.submit(id));
    (0..4).for_each(|id| harness.end_attempt(id, 0, Outcome::Error));
    harness.take_actions();
    harness.advance(700 * MS);
    assert_eq!(harness.probe_count(0), 1);
}

/// Where a network breaks one connection in ten, each broken one must not eject its worker for longer.
#[test]
fn a_broken_connection_ejects_a_worker_only_until_its_next_probe() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 4.0);
    harness.report = Some(free(4.0));
    for id in 0..6 {
        harness.submit(id);
        assert_eq!(harness.workers_tried(id), [0]);
        harness.end_attempt(id, 0, if id % 2 == 0 { Outcome::Reset } else { Outcome::ConnectFailed });
        harness.advance(700 * MS);
    }
}
