//! Every request gets one final answer, in time.

use nickelflow_dispatcher::*;

use crate::common::*;

#[test]
fn a_held_request_is_rejected_with_a_retry_after_while_its_client_still_waits() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::NonIdempotent)]), vec![], 0.0);
    harness.submit(0);
    assert!(!harness.was_rejected(0), "rejected without waiting");
    harness.advance(4 * S);
    assert!(harness.was_rejected(0));
    assert!(harness.actions.iter().all(|a| !matches!(a, Action::Reject { retry_after: 0, .. })));
}

#[test]
fn an_attempt_without_an_outcome_is_answered_before_the_deadline() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 4.0);
    harness.submit(0);
    harness.advance(5 * S - 2 * MS);
    assert!(harness.has_failed(0), "no answer in time");
    harness.take_actions();
    harness.end_attempt(0, 0, Outcome::Timeout);
    harness.advance(5 * S);
    assert!(
        !harness.has_failed(0) && !harness.was_rejected(0) && harness.workers_tried(0).is_empty(),
        "more than one answer"
    );
}

#[test]
fn a_wake_up_that_comes_a_little_early_is_requested_again() {
    // A caller whose clock counts microseconds rounds the moment down; the answer was lost to that.
    let mut dispatcher = Dispatcher::new(settings(vec![class(Idempotency::Idempotent)]), 1).unwrap();
    let mut out = vec![];
    dispatcher.handle(S + 7, Event::Request(request(0)), &mut out);
    for _ in 0..10_000 {
        let Some(at) = out.iter().rev().find_map(|a| match a {
            Action::Wake { at } => Some(*at),
            _ => None,
        }) else {
            break;
        };
        let early = out.iter().any(|a| matches!(a, Action::Reject { .. }));
        out.clear();
        assert!(!early);
        dispatcher.handle(at / 1000 * 1000, Event::Wake, &mut out);
        if out.iter().any(|a| matches!(a, Action::Reject { .. })) {
            return;
        }
        if !out.iter().any(|a| matches!(a, Action::Wake { .. })) {
            break;
        }
        dispatcher.handle(at + 5, Event::Wake, &mut out);
        if out.iter().any(|a| matches!(a, Action::Reject { .. })) {
            return;
        }
    }
    panic!("the request was never answered");
}

#[test]
fn a_request_of_a_disconnected_client_gets_neither_attempt_nor_answer() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    harness.submit(0);
    harness.submit(1);
    harness.handle(Event::ClientDisconnected { request: RequestId(1) });
    harness.handle(Event::ClientDisconnected { request: RequestId(0) });
    harness.take_actions();
    harness.end_attempt(0, 0, Outcome::Error);
    harness.advance(6 * S);
    assert!(harness.workers_tried(1).is_empty() && harness.workers_tried(0).is_empty());
    assert!(!harness.was_rejected(0) && !harness.has_failed(0) && !harness.was_rejected(1));
}

#[test]
fn an_attempt_that_has_not_started_when_it_can_only_be_late_is_cancelled() {
    // Late jobs kept the workers' queues full, and all behind them were late too (i2e3120).
    let is_cancelled = |late_weight_share: f64, started: bool| {
        let class = Class { late_weight_share, ..class(Idempotency::NonIdempotent) };
        let mut harness = Harness::with_open_workers(settings(vec![class]), vec![entry(0), entry(1)], 4.0);
        harness.submit(0);
        if started {
            harness.handle(Event::Progress { request: RequestId(0), attempt: 0 });
        }
        harness.advance(90 * MS);
        assert!(harness.actions.iter().all(|a| !matches!(a, Action::Cancel { .. })), "cancelled too soon");
        harness.advance(2 * S);
        harness.actions.contains(&Action::Cancel { request: RequestId(0), attempt: 0 })
    };
    assert!(is_cancelled(0.0, false));
    assert!(!is_cancelled(0.0, true) && !is_cancelled(0.3, false));
}

/// A client that sends invalid requests must not eject the workers for all others, nor be sent to each of
/// them.
#[test]
fn an_invalid_request_fails_at_once_and_does_not_eject_the_worker() {
    let mut harness = Harness::with_open_workers(
        settings(vec![class(Idempotency::Idempotent)]),
        vec![entry(0), entry(1)],
        4.0,
    );
    for id in 0..20 {
        harness.submit(id);
        harness.end_attempt(id, 0, Outcome::InvalidJob);
        assert!(harness.has_failed(id) && !harness.was_rejected(id));
        assert_eq!(harness.workers_tried(id).len(), 1, "sent to another worker too");
    }
    harness.advance(S);
    assert_eq!(harness.probe_count(0) + harness.probe_count(1), 0, "ejected for the fault of a request");
}

/// Some clients set a short deadline for a first request. Taken for retries that have used up their time,
/// such requests were rejected at once though workers were idle.
#[test]
fn a_first_request_with_a_short_deadline_is_not_taken_for_a_late_retry() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    harness.submit(0);
    let given = |time_left| Event::Request(Request { id: RequestId(time_left), time_left, ..request(0) });
    harness.handle(given(600 * MS));
    harness.handle(given(2_500 * MS));
    assert!(!harness.was_rejected(600 * MS), "not held");
    assert!(harness.was_rejected(2_500 * MS), "a repeat that can only be late was held");
    harness.end_attempt(0, 0, Outcome::Ok);
    assert_eq!(harness.workers_tried(600 * MS), [0]);
}

#[test]
fn a_dispatcher_that_shuts_down_answers_all_by_the_deadline_and_serves_new_requests_until_then() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 1.0);
    harness.submit(0);
    let by = harness.now + 800 * MS;
    harness.handle(Event::Shutdown { deadline: by });
    // Its own time left counts, and not the dispatcher's: it is no late retry.
    harness.submit(1);
    assert!(!harness.was_rejected(1) && !harness.has_failed(1));
    harness.end_attempt(0, 0, Outcome::Ok);
    assert_eq!(harness.workers_tried(1), [0]);
    harness.submit(2);
    harness.advance(800 * MS);
    assert!(harness.has_failed(1), "it may have run");
    assert!(harness.was_rejected(2), "it has not run");
    harness.submit(3);
    assert!(harness.was_rejected(3) && harness.workers_tried(3).is_empty());
}

#[test]
fn attempts_of_a_disconnected_client_are_cancelled() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 1.0);
    harness.submit(0);
    harness.handle(Event::ClientDisconnected { request: RequestId(0) });
    assert!(harness.actions.contains(&Action::Cancel { request: RequestId(0), attempt: 0 }));
    harness.end_attempt(0, 0, Outcome::Cancelled);
    harness.submit(1);
    assert_eq!(harness.workers_tried(1), [0], "its slot did not come back");
}
