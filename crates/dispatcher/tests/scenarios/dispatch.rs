//! Which workers count as open, and which requests they get.

use nickelflow_dispatcher::*;

use crate::common::*;

#[test]
fn a_worker_takes_what_its_free_slots_cover_and_is_then_closed_and_probed() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 2.0);
    for id in 0..4 {
        harness.submit(id);
    }
    assert_eq!(harness.workers_tried(0).len() + harness.workers_tried(1).len(), 2);
    assert!(harness.workers_tried(3).is_empty(), "a closed worker was sent a job");
    assert_eq!(harness.probe_count(0), 0, "probed too early");
    harness.advance(S);
    assert!(harness.probe_count(0) >= 1, "a closed worker was not probed");
}

#[test]
fn open_workers_are_not_probed() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 4.0);
    harness.submit(0);
    harness.advance(4 * S);
    assert_eq!(harness.probe_count(0), 0);
}

#[test]
fn a_completed_job_reopens_its_worker_and_cancels_the_pending_probe() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    harness.submit(0);
    harness.submit(1);
    assert!(harness.workers_tried(1).is_empty());
    harness.advance(20 * MS);
    harness.handle(Event::Progress { request: RequestId(0), attempt: 0 });
    harness.end_attempt(0, 0, Outcome::Ok);
    assert_eq!(harness.workers_tried(1), [0], "a held job did not go to the reopened worker");
    harness.handle(Event::Progress { request: RequestId(1), attempt: 0 });
    harness.end_attempt(1, 0, Outcome::Ok);
    harness.advance(2 * S);
    assert_eq!(harness.probe_count(0), 0, "the pending probe was not cancelled");
}

#[test]
fn held_requests_are_sent_in_arrival_order() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    for id in 0..3 {
        harness.submit(id);
    }
    harness.end_attempt(0, 0, Outcome::Ok);
    assert_eq!(harness.workers_tried(1), [0]);
    assert!(harness.workers_tried(2).is_empty());
    harness.end_attempt(1, 0, Outcome::Ok);
    assert_eq!(harness.workers_tried(2), [0]);
}

#[test]
fn a_job_is_sent_only_to_the_kind_of_worker_its_class_requires() {
    let mut class = class(Idempotency::Idempotent);
    class.required_kind = Some(1);
    let other = WorkerEntry { kind: 1, ..entry(1) };
    let mut harness = Harness::with_open_workers(settings(vec![class]), vec![entry(0), other], 4.0);
    for id in 0..4 {
        harness.submit(id);
        assert_eq!(harness.workers_tried(id), [1]);
    }
}

#[test]
fn wide_jobs_are_sent_only_where_all_their_slots_are_free() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 3.0);
    harness.handle(Event::Request(Request { slots: 4.0, ..request(0) }));
    assert!(harness.workers_tried(0).is_empty());
    harness.submit(1);
    assert_eq!(harness.workers_tried(1), [0]);
}

#[test]
fn each_wake_up_is_requested_once() {
    let mut dispatcher = Dispatcher::new(settings(vec![class(Idempotency::Idempotent)]), 1).unwrap();
    let mut out = vec![];
    for id in 0..100 {
        dispatcher.handle(S + id * MS, Event::Request(request(id)), &mut out);
        dispatcher.handle(S + id * MS, Event::Wake, &mut out);
    }
    let wakes = out.iter().filter(|a| matches!(a, Action::Wake { .. })).count();
    assert!(wakes < 150, "{wakes} wakes for 100 requests");
}

#[test]
fn with_many_dispatchers_each_takes_only_its_share_of_the_free_slots() {
    // 38 dispatchers saw the same eight free slots and filled them all (ia39c7e).
    let mut sent = 0;
    for seed in 0..20 {
        let mut settings = settings(vec![class(Idempotency::Idempotent)]);
        settings.dispatchers = 40;
        let mut harness = Harness::with_seed(settings, seed);
        harness.report = Some(free(8.0));
        harness.apply_list(ListKind::Complete, vec![entry(0)]);
        harness.advance(500 * MS);
        harness.report = None;
        for id in 0..8 {
            harness.submit(id);
            sent += harness.workers_tried(id).len();
        }
    }
    assert!(sent <= 30, "20 of 40 dispatchers sent {sent} jobs to eight free slots");
}

#[test]
fn a_reported_queue_counts_against_the_free_slots() {
    // A worker with a queue was reopened by a single completed job, and its queue never emptied.
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    harness.submit(0);
    let report = Some(LoadReport { queued: Some(5.0), ..free(0.0) });
    harness.advance(2 * S);
    harness.handle(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::Ok, report });
    harness.submit(1);
    harness.end_attempt(0, 0, Outcome::Ok);
    assert!(harness.workers_tried(1).is_empty());
}

#[test]
fn the_same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::with_open_workers(
            settings(vec![class(Idempotency::Idempotent)]),
            (0..5).map(entry).collect(),
            2.0,
        );
        for id in 0..40 {
            harness.submit(id);
            harness.advance(3 * MS);
            harness.end_attempt(id / 2, 0, if id % 3 == 0 { Outcome::Rejected } else { Outcome::Ok });
        }
        harness.take_actions()
    };
    assert_eq!(run(), run());
}

/// With free slots and no memory a worker takes nothing, so that no job of its own completes. Left open, it
/// was not probed again, and got no work for good.
#[test]
fn a_worker_short_of_memory_is_probed_and_completed_jobs_free_their_memory() {
    let report = |memory| Some(LoadReport { free_memory: Some(memory), ..free(4.0) });
    let mut harness =
        Harness::new(settings(vec![Class { latency_objective: 3 * S, ..class(Idempotency::Idempotent) }]));
    harness.report = report(1.0);
    harness.apply_list(ListKind::Complete, vec![entry(0)]);
    harness.advance(100 * MS);
    harness.report = None;
    let hungry = |id| Event::Request(Request { memory: 0.8, ..request(id) });
    harness.handle(hungry(0));
    harness.handle(hungry(1));
    assert_eq!(harness.workers_tried(0), [0]);
    assert!(harness.workers_tried(1).is_empty(), "sent what its memory does not hold");
    harness.end_attempt(0, 0, Outcome::Ok);
    assert_eq!(harness.workers_tried(1), [0], "the memory did not come back");
    harness.handle(Event::Progress { request: RequestId(1), attempt: 0 });
    harness.report = report(0.1);
    harness.handle(hungry(2));
    harness.advance(500 * MS);
    assert!(harness.probe_count(0) > 0 && harness.workers_tried(2).is_empty());
    harness.report = report(2.0);
    harness.advance(500 * MS);
    assert_eq!(harness.workers_tried(2), [0]);
}
