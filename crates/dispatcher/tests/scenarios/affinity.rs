//! Requests with a key go to the workers that hold its data.

use std::collections::{BTreeMap, BTreeSet};

use nickelflow_dispatcher::*;

use crate::common::*;

#[test]
fn requests_of_one_key_are_sent_to_one_worker_by_every_dispatcher() {
    let workers: Vec<WorkerEntry> = (0..8).map(entry).collect();
    let mut chosen = vec![];
    for seed in 0..4 {
        let mut harness = Harness::with_seed(settings(vec![class(Idempotency::Idempotent)]), seed);
        harness.report = Some(free(8.0));
        harness.apply_list(ListKind::Complete, workers.clone());
        harness.advance(S);
        for id in 0..3 {
            harness.handle(Event::Request(Request { key: Some(77), ..request(id) }));
            chosen.push(harness.workers_tried(id)[0]);
        }
    }
    assert!(chosen.iter().all(|w| *w == chosen[0]), "{chosen:?}");
}

#[test]
fn a_request_with_a_key_waits_for_the_workers_of_its_affinity() {
    // Requests sent elsewhere fetched their key's data there, late, and evicted that of another key.
    let workers: Vec<WorkerEntry> = (0..8).map(entry).collect();
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), workers, 1.0);
    let mut used = BTreeSet::new();
    for id in 0..30 {
        harness.handle(Event::Request(Request { key: Some(77), ..request(id) }));
        used.extend(harness.workers_tried(id));
    }
    assert!(used.len() <= 4, "one key went to {} workers", used.len());
    harness.submit(100);
    assert_eq!(harness.workers_tried(100).len(), 1, "other workers must stay open");
}

#[test]
fn a_worker_known_to_be_open_does_not_take_the_keys_of_one_without_a_report() {
    // All 60 report in turn, so that at any time some of a key's later candidates are known to be open.
    let (mut elsewhere, mut first) = (0, BTreeMap::new());
    let mut harness = one_of_a_hundred(1);
    harness.report = Some(free(5.0));
    harness.apply_list(ListKind::Complete, (0..60).map(entry).collect());
    for id in 0..400 {
        let key = id % 200;
        harness.handle(keyed(id, key));
        let sent = harness.workers_tried(id)[0];
        elsewhere += usize::from(*first.entry(key).or_insert(sent) != sent);
        harness.handle(Event::Progress { request: RequestId(id), attempt: 0 });
        harness.advance(60 * MS);
        harness.end_attempt(id, 0, Outcome::Ok);
        harness.take_actions();
    }
    assert!(elsewhere < 60, "{elsewhere} of 400 jobs had their key fetched at one more worker");
}

#[test]
fn a_busy_worker_sheds_the_same_keys_at_every_dispatcher() {
    // At each dispatcher the same key meets the same half-busy fleet, on which it must go the same way: shed
    // by chance, it would be fetched at two workers and evict other keys from both.
    let place = |seed, key: u64, busy: LoadReport| {
        let mut harness = one_of_a_hundred(seed);
        harness.report = Some(free(5.0));
        harness.apply_list(ListKind::Complete, (0..60).map(entry).collect());
        (100..140).for_each(|id| harness.handle(keyed(id, id)));
        harness.advance(S);
        harness.report = Some(busy);
        harness.handle(keyed(0, key));
        harness.workers_tried(0)
    };
    let busy = LoadReport { queued: Some(9.0), ..free(0.0) };
    let mut stayed = 0;
    for key in 0..50 {
        let sent: BTreeSet<_> = (0..20).map(|seed| place(seed, key, busy)).collect();
        assert_eq!(sent.len(), 1, "key {key} goes several ways: {sent:?}");
        stayed += usize::from(sent.contains(&place(0, key, free(5.0))));
    }
    assert!((5..45).contains(&stayed), "{stayed} of 50 keys stay with half-busy workers");
}

#[test]
fn where_reports_show_no_capacity_a_key_stays_with_its_worker_for_longer() {
    let long = LoadReport { queued: Some(20.0), ..free(0.0) };
    // The reports of some seconds, before all workers have a long queue.
    let sent = |before: LoadReport| {
        let stays = |seed: &u64| {
            let mut harness = one_of_a_hundred(*seed);
            harness.report = Some(free(5.0));
            harness.apply_list(ListKind::Complete, (0..60).map(entry).collect());
            for id in 100..400 {
                harness.report = if id < 200 { harness.report } else { Some(before) };
                harness.handle(keyed(id, id));
                if !harness.workers_tried(id).is_empty() {
                    harness.handle(Event::Progress { request: RequestId(id), attempt: 0 });
                    harness.end_attempt(id, 0, Outcome::Ok);
                }
                harness.advance(60 * MS);
            }
            harness.advance(S);
            harness.report = Some(long);
            harness.handle(keyed(0, *seed));
            !harness.workers_tried(0).is_empty()
        };
        (0..20).filter(stays).count()
    };
    assert_eq!(sent(free(5.0)), 0, "where there is capacity, a long queue gets no more");
    assert!(
        sent(long) > 5,
        "{} of 20: all are busy, and keys are moved to other workers all the same",
        sent(long)
    );
}
