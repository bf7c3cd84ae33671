//! Workers that have just started.

use nickelflow_dispatcher::*;
use rstest::rstest;

use crate::common::*;

#[test]
fn a_warming_worker_gets_no_more_than_its_budget_in_any_window() {
    let warming = WorkerEntry { started_at: Some(S), ..entry(0) };
    let mut harness = Harness::new(settings(vec![class(Idempotency::Idempotent)]));
    harness.report = Some(free(4.0));
    harness.apply_list(ListKind::Complete, vec![warming]);
    let mut sent = vec![];
    for id in 0..2000 {
        harness.submit(id);
        harness.advance(MS);
        // These include attempts of requests that were held.
        for action in harness.take_actions() {
            if let Action::Send { request, .. } = action {
                sent.push(harness.now);
                harness.end_attempt(request.0, 0, Outcome::Rejected);
            }
        }
    }
    // Were each of them 200 ms of work: four cores at a fifth, three times over, for a second.
    let most = sent.iter().map(|t| sent.iter().filter(|u| **u >= *t && **u < *t + S).count()).max();
    assert!(most.unwrap_or(0) as f64 * 0.2 <= 3.0 * 0.2 * 1.3 * 4.0, "{most:?} jobs in a second");
    assert!(!sent.is_empty(), "a warming worker must still get work");
}

#[test]
fn a_restarted_worker_is_closed_again() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 4.0);
    harness.apply_list(ListKind::Changes, vec![WorkerEntry { started_at: Some(harness.now), ..entry(0) }]);
    harness.submit(0);
    assert!(harness.workers_tried(0).is_empty());
}

#[rstest]
fn a_hundred_dispatchers_use_a_warming_worker_and_do_not_overload_it(#[values(0, 100, 200, 300)] from: u64) {
    assert_a_hundred_dispatchers_use_a_warming_worker(from, true);
}

#[test]
fn a_hundred_dispatchers_use_a_warming_worker_also_where_no_worker_was_seen_busy() {
    [0, 100, 200, 300]
        .into_iter()
        .for_each(|from| assert_a_hundred_dispatchers_use_a_warming_worker(from, false));
}

fn assert_a_hundred_dispatchers_use_a_warming_worker(from: u64, seen_busy: bool) {
    // It has 5 slots, and at 20% does a job of 0.2 s in each every second; with over 3 times that for a
    // second it fails. All others are full, and each dispatcher has requests for it all the time.
    let mut sends = vec![];
    for seed in from..from + 100 {
        let mut harness = one_of_a_hundred(seed);
        harness.report = Some(free(5.0));
        harness.apply_list(ListKind::Complete, (1..60).map(entry).collect());
        for id in 0..40 {
            // Seen idle at first, and then busy: that shows what a slot completes.
            harness.report = Some(free(if seen_busy && id >= 10 { 1.0 } else { 5.0 }));
            harness.handle(keyed(id, id));
            harness.handle(Event::Progress { request: RequestId(id), attempt: 0 });
            harness.advance(60 * MS);
            // Each has run for 0.2 s: jobs that never end would count as endless.
            if id >= 3 {
                harness.advance(20 * MS);
                harness.end_attempt(id - 3, 0, Outcome::Ok);
            }
        }
        harness.report = None;
        let at = harness.now;
        harness.apply_list(ListKind::Changes, vec![WorkerEntry { started_at: Some(at), ..entry(0) }]);
        for id in 100..200 {
            harness.handle(keyed(id, seed * 1_000 + id));
            while let Some(n) = harness.actions.iter().position(|a| matches!(a, Action::Probe { .. })) {
                let Action::Probe { worker } = harness.actions.remove(n) else { unreachable!() };
                let full = LoadReport { queued: Some(60.0), ..free(0.0) };
                let report = Some(if worker == WorkerId(0) { free(5.0) } else { full });
                harness.handle(Event::ProbeCompleted { worker, outcome: Outcome::Ok, report });
            }
            let is_to_warming = |a: &&Action| matches!(a, Action::Send { worker: WorkerId(0), .. });
            let count = harness.take_actions().iter().filter(is_to_warming).count();
            sends.extend(std::iter::repeat_n((harness.now - at) as f64 / 1e9, count));
            harness.advance(60 * MS);
        }
    }
    for n in 0..50 {
        let from = f64::from(n) / 10.0;
        let sent = sends.iter().filter(|s| (from..from + 1.0).contains(*s)).count();
        let most = 3.0 * 5.0 / 0.2 * (0.2 + 0.8 * from / 10.0);
        assert!((sent as f64) < most, "{sent} jobs in the second from {from} s, {most} overload it");
    }
    assert!(sends.len() > 20, "{} jobs in six seconds: it is left idle", sends.len());
}
