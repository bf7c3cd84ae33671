//! No request runs twice that must not, and attempts stay within their limits.

use nickelflow_dispatcher::*;

use crate::common::*;

/// What follows an attempt.
struct Aftermath {
    /// The workers of further attempts.
    retried_at: Vec<u32>,
    was_rejected: bool,
    has_failed: bool,
}

/// Returns what follows an attempt with an outcome, where a second worker in another zone and cell is open
/// too.
fn after_attempt(idempotency: Idempotency, outcome: Outcome) -> Aftermath {
    let far = WorkerEntry { zone: 1, cell: 1, ..entry(1) };
    let mut harness = Harness::with_open_workers(settings(vec![class(idempotency)]), vec![entry(0)], 4.0);
    harness.submit(0);
    harness.report = Some(free(4.0));
    harness.apply_list(ListKind::Changes, vec![far]);
    harness.advance(40 * MS);
    harness.report = None;
    harness.end_attempt(0, 0, outcome);
    harness.advance(4 * S);
    Aftermath {
        retried_at: harness.workers_tried(0)[1..].to_vec(),
        was_rejected: harness.was_rejected(0),
        has_failed: harness.has_failed(0),
    }
}

#[test]
fn non_idempotent_requests_get_another_attempt_only_if_the_first_never_ran() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let after = after_attempt(Idempotency::NonIdempotent, outcome);
        assert!(after.retried_at.is_empty() && !after.was_rejected && after.has_failed, "{outcome:?}");
    }
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let after = after_attempt(Idempotency::NonIdempotent, outcome);
        assert!(!after.retried_at.is_empty() && !after.has_failed, "{outcome:?}");
    }
}

#[test]
fn keyed_requests_that_may_have_run_stay_in_their_deduplication_scope() {
    for scope in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let idempotency = Idempotency::IdempotentWithKey(scope);
        for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
            let after = after_attempt(idempotency, outcome);
            assert!(!after.retried_at.contains(&1) && !after.was_rejected, "{outcome:?} {scope:?}");
        }
        assert!(after_attempt(idempotency, Outcome::Rejected).retried_at.contains(&1));
    }
    let everywhere = Idempotency::IdempotentWithKey(DeduplicationScope::All);
    assert!(after_attempt(everywhere, Outcome::Error).retried_at.contains(&1));
}

#[test]
fn idempotent_requests_are_retried() {
    assert!(after_attempt(Idempotency::Idempotent, Outcome::Error).retried_at.contains(&1));
}

#[test]
fn a_keyed_request_is_not_sent_again_after_its_window() {
    let mut class = class(Idempotency::IdempotentWithKey(DeduplicationScope::Zone));
    class.deduplication_window = 50 * MS;
    class.late_weight_share = 0.5;
    let mut harness = Harness::with_open_workers(settings(vec![class]), vec![entry(0), entry(1)], 4.0);
    harness.submit(0);
    harness.advance(60 * MS);
    harness.end_attempt(0, 0, Outcome::Error);
    harness.advance(5 * S);
    assert_eq!(harness.workers_tried(0).len(), 1);
    assert!(harness.has_failed(0));
}

#[test]
fn a_repeat_must_be_written_a_connect_timeout_before_the_end_of_the_window() {
    for (window, margin) in [(10 * S, 200 * MS), (400 * MS, 100 * MS)] {
        let mut class = class(Idempotency::IdempotentWithKey(DeduplicationScope::Cell));
        class.deduplication_window = window;
        let mut harness = Harness::with_open_workers(settings(vec![class]), vec![entry(0), entry(1)], 4.0);
        harness.submit(0);
        harness.advance(50 * MS);
        harness.end_attempt(0, 0, Outcome::Reset);
        let by = |a: &Action| if let Action::Send { send_by: by, .. } = a { Some(*by) } else { None };
        let bounds: Vec<_> = harness.actions.iter().filter_map(by).collect();
        assert_eq!(bounds, [Nanos::MAX, harness.now - 50 * MS + window - margin]);
    }
}

#[test]
fn a_held_request_that_may_have_run_fails_once_its_window_is_over() {
    let mut class = class(Idempotency::IdempotentWithKey(DeduplicationScope::Cell));
    (class.deduplication_window, class.latency_objective, class.late_weight_share) = (S, 4 * S, 0.5);
    let mut harness = Harness::with_open_workers(settings(vec![class]), vec![entry(0)], 4.0);
    harness.submit(0);
    harness.end_attempt(0, 0, Outcome::Reset);
    harness.advance(700 * MS);
    assert!(!harness.has_failed(0), "it could still be sent again");
    harness.advance(200 * MS);
    assert!(harness.has_failed(0), "it can no longer be sent again");
}

#[test]
fn a_worker_that_has_changed_its_cell_since_an_attempt_gets_no_repeat_in_either_cell() {
    // Its name has been taken over, or the earlier list was out of date: which of the two cells ran it is not
    // known.
    let class = class(Idempotency::IdempotentWithKey(DeduplicationScope::Cell));
    let at = |worker: u32, cell: u32| WorkerEntry { cell, ..entry(worker) };
    let mut harness = Harness::with_open_workers(settings(vec![class]), vec![at(0, 1)], 4.0);
    harness.submit(0);
    harness.report = Some(free(4.0));
    harness.apply_list(ListKind::Complete, vec![at(0, 2), at(1, 1), at(2, 2)]);
    harness.advance(100 * MS);
    harness.end_attempt(0, 0, Outcome::Reset);
    harness.advance(2 * S);
    assert_eq!(harness.workers_tried(0).len(), 1);
}

#[test]
fn attempts_stay_within_the_limit_and_never_overlap_where_that_is_not_allowed() {
    let mut settings = settings(vec![class(Idempotency::Idempotent)]);
    settings.allows_hedging = false;
    settings.max_attempts = 2;
    let mut harness = Harness::with_open_workers(settings, (0..6).map(entry).collect(), 4.0);
    harness.submit(0);
    harness.end_attempt(0, 0, Outcome::Rejected);
    harness.end_attempt(0, 1, Outcome::Rejected);
    assert_eq!(harness.workers_tried(0).len(), 2);
    assert!(harness.was_rejected(0));
}
