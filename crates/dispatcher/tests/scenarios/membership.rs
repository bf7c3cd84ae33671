//! The list of workers: draining, gone and subscribed.

use nickelflow_dispatcher::*;

use crate::common::*;

#[test]
fn neither_new_nor_held_requests_are_sent_to_a_draining_or_gone_worker() {
    for status in [WorkerStatus::Draining, WorkerStatus::Gone] {
        let mut harness =
            Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
        harness.submit(0);
        harness.submit(1);
        harness.apply_list(ListKind::Changes, vec![WorkerEntry { status, ..entry(0) }]);
        harness.end_attempt(0, 0, Outcome::Ok);
        harness.submit(2);
        harness.report = Some(free(4.0));
        harness.advance(6 * S);
        assert!(harness.workers_tried(1).is_empty() && harness.workers_tried(2).is_empty());
        assert_eq!(harness.probe_count(0), 0);
    }
}

#[test]
fn a_worker_missing_from_a_complete_list_is_gone() {
    let mut harness = Harness::with_open_workers(
        settings(vec![class(Idempotency::Idempotent)]),
        vec![entry(0), entry(1)],
        4.0,
    );
    harness.apply_list(ListKind::Complete, vec![entry(1)]);
    for id in 0..4 {
        harness.submit(id);
        assert_eq!(harness.workers_tried(id), [1]);
    }
}

#[test]
fn it_subscribes_at_its_start_where_that_is_required_and_again_after_a_failure() {
    let mut settings = settings(vec![class(Idempotency::Idempotent)]);
    settings.requires_subscription = true;
    let mut harness = Harness::new(settings);
    harness.apply_list(ListKind::Cached, vec![entry(0)]);
    assert!(harness.take_actions().contains(&Action::Subscribe));
    for _ in 0..8 {
        harness.apply_list(ListKind::Failed, vec![]);
        assert!(!harness.actions.contains(&Action::Subscribe), "subscribed again at once");
        harness.advance(10 * S);
        assert_eq!(harness.take_actions().iter().filter(|a| **a == Action::Subscribe).count(), 1);
    }
}

#[test]
fn after_a_failure_it_subscribes_again_soon_however_often_that_failed() {
    // A dispatcher must act on a change within 6 s of when the list service had it and could be reached; the
    // backoff is a part of that.
    for (dispatchers, most) in [(2, 780 * MS), (30, 1_200 * MS), (80, 1_950 * MS)] {
        let mut settings = Settings { dispatchers, ..settings(vec![class(Idempotency::Idempotent)]) };
        (settings.requires_subscription, settings.limits.unsubscribed_list_validity) = (true, 40 * S);
        let mut harness = Harness::new(settings);
        harness.apply_list(ListKind::Cached, vec![entry(0)]);
        for _ in 0..40 {
            harness.take_actions();
            harness.apply_list(ListKind::Failed, vec![]);
            harness.advance(most);
            let subscriptions = harness.actions.iter().filter(|a| **a == Action::Subscribe).count();
            assert_eq!(subscriptions, 1, "{dispatchers} dispatchers: still waiting");
        }
    }
}
