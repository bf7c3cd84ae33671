//! A list of workers that may be stale.

use nickelflow_dispatcher::*;
use rstest::rstest;

use crate::common::*;

#[test]
fn with_a_stale_list_a_worker_is_open_only_by_its_own_recent_confirmation() {
    let patient = Class { latency_objective: 4 * S, ..class(Idempotency::Idempotent) };
    let mut harness = Harness::with_open_workers(settings(vec![patient]), vec![entry(0), entry(1)], 9.0);
    harness.advance(2 * S);
    harness.apply_list(ListKind::Stale, vec![]);
    harness.submit(0);
    assert!(harness.workers_tried(0).is_empty(), "sent by a list that may be stale");
    harness.advance(400 * MS);
    assert!(harness.probe_count(0) >= 1 && harness.probe_count(1) >= 1, "not probed");
    // A draining worker answers probes with an error.
    harness.handle(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::Error, report: None });
    assert!(harness.workers_tried(0).is_empty());
    harness.handle(Event::ProbeCompleted {
        worker: WorkerId(1),
        outcome: Outcome::Ok,
        report: Some(free(9.0)),
    });
    assert_eq!(harness.workers_tried(0), [1]);
    // Its confirmation is soon too old.
    harness.advance(1_100 * MS);
    harness.submit(1);
    assert!(harness.workers_tried(1).is_empty(), "sent by a confirmation that is too old");
}

#[test]
fn a_probe_that_was_never_sent_confirms_nothing() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 9.0);
    harness.advance(2 * S);
    harness.apply_list(ListKind::Stale, vec![]);
    harness.advance(400 * MS);
    harness.handle(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::NotSent, report: None });
    harness.submit(0);
    assert!(harness.workers_tried(0).is_empty());
}

#[rstest]
#[case(ListKind::Changes, vec![], 1)]
#[case(ListKind::Complete, vec![entry(0)], 1)]
#[case(ListKind::Cached, vec![entry(0)], 0)]
#[case(ListKind::Failed, vec![], 0)]
fn a_watch_event_ends_the_staleness(
    #[case] kind: ListKind,
    #[case] entries: Vec<WorkerEntry>,
    #[case] sends: usize,
) {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 9.0);
    harness.advance(2 * S);
    harness.apply_list(ListKind::Stale, vec![]);
    harness.submit(0);
    harness.apply_list(kind, entries);
    assert_eq!(harness.workers_tried(0).len(), sends, "{kind:?}");
    harness.submit(1);
    assert_eq!(harness.workers_tried(1).len(), sends, "{kind:?}");
}

#[test]
fn one_of_many_dispatchers_loses_next_to_nothing_to_a_stale_list() {
    // It sends only right after a report anyhow. Some workers are full, and some are draining.
    let play = |seed, stale: bool| {
        let mut harness = one_of_a_hundred(seed);
        harness.apply_list(ListKind::Complete, (0..60).map(entry).collect());
        harness.advance(2 * S);
        if stale {
            harness.apply_list(ListKind::Stale, vec![]);
        }
        let (mut sent, mut probes) = (0, 0);
        for id in 0..200 {
            harness.take_actions();
            harness.handle(keyed(id, id % 40 + 1_000 * seed));
            let mut read = 0;
            while let Some(Action::Probe { worker }) = harness.actions.get(read).cloned() {
                let outcome = if worker.0 % 4 == 0 { Outcome::Error } else { Outcome::Ok };
                let report = (outcome == Outcome::Ok).then(|| free(f64::from(worker.0 % 3) * 3.0));
                harness.handle(Event::ProbeCompleted { worker, outcome, report });
                read += 1;
            }
            probes += read;
            sent += harness.workers_tried(id).len();
            if !harness.workers_tried(id).is_empty() {
                harness.handle(Event::Progress { request: RequestId(id), attempt: 0 });
                harness.end_attempt(id, 0, Outcome::Ok);
            }
            harness.advance(60 * MS);
        }
        (sent, probes)
    };
    for seed in 0..20 {
        let (current, stale) = (play(seed, false), play(seed, true));
        println!("seed {seed}: (sent, probes) {current:?}, stale {stale:?}");
        assert_eq!(current, stale);
        assert!(current.0 > 100, "{current:?}");
    }
}

#[test]
fn one_of_few_dispatchers_serves_on_by_the_confirmations_of_its_workers() {
    let play = |seed, stale: bool| {
        let mut harness = Harness::with_seed(settings(vec![class(Idempotency::Idempotent)]), seed);
        harness.report = Some(free(9.0));
        harness.apply_list(ListKind::Complete, (0..8).map(entry).collect());
        harness.advance(S);
        harness.take_actions();
        if stale {
            harness.apply_list(ListKind::Stale, vec![]);
        }
        for id in 0..500 {
            harness.submit(id);
            harness.advance(10 * MS);
            if !harness.workers_tried(id).is_empty() {
                harness.handle(Event::Progress { request: RequestId(id), attempt: 0 });
                harness.end_attempt(id, 0, Outcome::Ok);
            }
        }
        let sent = (0..500).filter(|id| !harness.workers_tried(*id).is_empty()).count();
        (sent, (0..8).map(|worker| harness.probe_count(worker)).sum::<usize>())
    };
    for seed in 0..20 {
        let (current, stale) = (play(seed, false), play(seed, true));
        println!("seed {seed}: (sent, probes) {current:?}, stale {stale:?}");
        assert_eq!(current.0, 500);
        assert!(stale.0 >= 490, "{stale:?}");
    }
}

#[test]
fn with_a_stale_list_and_no_probes_nothing_is_sent() {
    let mut settings = settings(vec![class(Idempotency::Idempotent)]);
    settings.can_probe = false;
    let mut harness = Harness::new(settings);
    harness.apply_list(ListKind::Complete, vec![entry(0)]);
    harness.apply_list(ListKind::Stale, vec![]);
    harness.submit(0);
    harness.advance(5 * S);
    assert!(harness.workers_tried(0).is_empty() && harness.was_rejected(0));
    harness.apply_list(ListKind::Changes, vec![]);
    harness.submit(1);
    assert_eq!(harness.workers_tried(1), [0]);
}
