//! Rules on which all dispatchers agree: who may be sent what, while they apply and once they have lapsed.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::*;
use nickelflow_dispatcher::*;
use rstest::rstest;

const TENANT: u32 = 0;
const OTHER: u32 = 1;

fn hash(worker: u32) -> u64 {
    entry(worker).address_hash
}

fn open_rules() -> Rules {
    let degraded = DegradedRules {
        quota_share: 1.0,
        allowed_workers: BTreeSet::new(),
        allows_unlisted_workers: true,
        allows_unlimited_tenants: true,
    };
    Rules {
        quota_shares: 1,
        max_attempts: 4,
        retry_after: RetryAfterBounds { shortest: 0, longest: 600 * S },
        tenant_rates_per_s: BTreeMap::new(),
        worker_restrictions: BTreeMap::new(),
        tenants_with_reserved_workers: BTreeSet::new(),
        degraded,
    }
}

fn tenants() -> Settings {
    let quota = |quota_per_s| Tenant { quota_per_s };
    Settings { tenants: vec![quota(1e6), quota(1e6)], ..settings(vec![class(Idempotency::Idempotent)]) }
}

fn harness_with(workers: u32, slots: f64) -> Harness {
    Harness::with_open_workers(tenants(), (0..workers).map(entry).collect(), slots)
}

fn apply_rules(harness: &mut Harness, rules: &Arc<Rules>, lease: Nanos) {
    let until = harness.now + lease;
    harness.handle(Event::Rules { rules: rules.clone(), valid_until: until });
}

fn submit(harness: &mut Harness, id: u64, tenant: u32) {
    harness.handle(Event::Request(Request { tenant: Some(tenant), ..request(id) }));
}

#[rstest]
#[case::cordoned(WorkerRestriction::Cordoned)]
#[case::drained(WorkerRestriction::Drained)]
#[case::excluded(WorkerRestriction::Excluded)]
#[case::reserved_for_another(WorkerRestriction::ReservedFor(OTHER))]
fn a_restricted_worker_gets_nothing_new(#[case] restriction: WorkerRestriction) {
    let mut harness = harness_with(2, 9.0);
    let rules = Arc::new(Rules { worker_restrictions: [(hash(0), restriction)].into(), ..open_rules() });
    apply_rules(&mut harness, &rules, S);
    for id in 0..6 {
        submit(&mut harness, id, TENANT);
        assert_eq!(harness.workers_tried(id), [1]);
    }
}

#[rstest]
#[case::plain(None)]
#[case::keyed(Some(7))]
fn a_reserved_worker_gets_the_requests_of_its_tenant_only(#[case] key: Option<u64>) {
    let mut harness = harness_with(40, 9.0);
    let rules = Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::ReservedFor(TENANT))].into(),
        ..open_rules()
    };
    apply_rules(
        &mut harness,
        &Arc::new(Rules { tenants_with_reserved_workers: [TENANT].into(), ..rules }),
        S,
    );
    for id in 0..4 {
        harness.handle(Event::Request(Request { tenant: Some(TENANT), key, ..request(id) }));
        assert_eq!(harness.workers_tried(id), [0]);
        harness.handle(Event::Request(Request { tenant: Some(OTHER), key, ..request(id + 10) }));
        assert_ne!(harness.workers_tried(id + 10), [0]);
    }
}

#[test]
fn attempts_that_a_drained_worker_has_not_started_are_cancelled() {
    let mut harness = harness_with(1, 9.0);
    submit(&mut harness, 0, TENANT);
    submit(&mut harness, 1, TENANT);
    harness.handle(Event::Progress { request: RequestId(0), attempt: 0 });
    let rules = Arc::new(Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::Drained)].into(),
        ..open_rules()
    });
    apply_rules(&mut harness, &rules, S);
    let cancels = |id| harness.actions.contains(&Action::Cancel { request: RequestId(id), attempt: 0 });
    assert!(!cancels(0) && cancels(1));
}

#[test]
fn non_idempotent_attempts_are_left_to_a_drained_worker() {
    // Cancelled, it may have run: it could only be answered as failed, where the worker would have served it.
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 9.0);
    harness.submit(0);
    let rules = Arc::new(Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::Drained)].into(),
        ..open_rules()
    });
    apply_rules(&mut harness, &rules, S);
    assert!(!harness.actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
}

#[test]
fn an_excluded_worker_is_not_probed_until_it_is_open_again() {
    let mut harness = harness_with(1, 1.0);
    let rules = Arc::new(Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::Excluded)].into(),
        ..open_rules()
    });
    submit(&mut harness, 0, TENANT);
    apply_rules(&mut harness, &rules, 20 * S);
    harness.advance(3 * S);
    assert_eq!(harness.probe_count(0), 0);
    apply_rules(&mut harness, &Arc::new(open_rules()), S);
    harness.advance(3 * S);
    assert!(harness.probe_count(0) > 0);
}

#[test]
fn a_held_request_is_sent_to_a_worker_that_is_no_longer_cordoned() {
    let mut harness = harness_with(1, 9.0);
    let rules = Arc::new(Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::Cordoned)].into(),
        ..open_rules()
    });
    apply_rules(&mut harness, &rules, 20 * S);
    submit(&mut harness, 0, TENANT);
    assert!(harness.workers_tried(0).is_empty());
    apply_rules(&mut harness, &Arc::new(open_rules()), S);
    assert_eq!(harness.workers_tried(0), [0]);
}

/// Returns how many requests of a tenant are accepted in so long (ns), of one each 2 ms.
fn accepted_requests(harness: &mut Harness, from: u64, tenant: u32, time: Nanos) -> usize {
    let mut sent = 0;
    for id in from..from + time / (2 * MS) {
        submit(harness, id, tenant);
        sent += harness.workers_tried(id).len();
        harness.end_attempt(id, 0, Outcome::Ok);
        harness.advance(2 * MS);
    }
    sent
}

#[test]
fn a_tenant_gets_its_share_of_the_rate_and_less_once_the_rules_have_lapsed() {
    let mut harness = harness_with(1, 9.0);
    let degraded = DegradedRules { quota_share: 0.5, ..open_rules().degraded };
    let rules =
        Rules { quota_shares: 4, tenant_rates_per_s: [(TENANT, 400.0)].into(), degraded, ..open_rules() };
    apply_rules(&mut harness, &Arc::new(rules), 2 * S);
    let full = accepted_requests(&mut harness, 0, TENANT, 2 * S);
    assert!((190..=201).contains(&full), "{full} in 2 s at 100 a second");
    let degraded = accepted_requests(&mut harness, 10_000, TENANT, 2 * S);
    assert!((95..=130).contains(&degraded), "{degraded} in 2 s at 50 a second, and the burst");
    assert_eq!(accepted_requests(&mut harness, 20_000, OTHER, S), 500, "without a limit");
}

#[test]
fn a_dispatcher_that_restarts_does_not_have_its_share_twice() {
    let rules = Arc::new(Rules { tenant_rates_per_s: [(TENANT, 100.0)].into(), ..open_rules() });
    let started = |_| {
        let mut harness = harness_with(1, 9.0);
        apply_rules(&mut harness, &rules, S);
        accepted_requests(&mut harness, 0, TENANT, 100 * MS)
    };
    let sent: usize = (0..10).map(started).sum();
    assert!(sent <= 100, "{sent} in ten incarnations of 0.1 s, at 100 a second");
}

#[test]
fn over_its_rate_a_tenant_is_rejected_at_once_with_a_bounded_retry_after() {
    let mut harness = harness_with(1, 9.0);
    let retry_after = RetryAfterBounds { shortest: 700 * MS, longest: 900 * MS };
    let rules = Rules { tenant_rates_per_s: [(TENANT, 0.001)].into(), retry_after, ..open_rules() };
    apply_rules(&mut harness, &Arc::new(rules), 100 * S);
    submit(&mut harness, 0, TENANT);
    let advised = harness.actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(advised.is_some_and(|wait| (700 * MS..=900 * MS).contains(&wait)), "{advised:?}");
}

#[test]
fn once_its_rules_have_lapsed_it_sends_only_where_they_allow_it_until_they_are_extended() {
    let mut harness = harness_with(3, 9.0);
    let degraded = DegradedRules {
        allows_unlisted_workers: false,
        allowed_workers: [hash(2)].into(),
        ..open_rules().degraded
    };
    let rules = Arc::new(Rules { degraded, ..open_rules() });
    apply_rules(&mut harness, &rules, S);
    harness.advance(S);
    for id in 0..5 {
        submit(&mut harness, id, TENANT);
        assert_eq!(harness.workers_tried(id), [2]);
    }
    apply_rules(&mut harness, &rules, S);
    let sent: BTreeSet<u32> = (5..30)
        .flat_map(|id| {
            submit(&mut harness, id, TENANT);
            harness.workers_tried(id)
        })
        .collect();
    assert_eq!(sent, [0, 1, 2].into());
}

#[test]
fn a_process_that_was_stopped_notices_the_lapse_before_its_next_send() {
    let mut harness = harness_with(1, 9.0);
    let degraded = DegradedRules { allows_unlisted_workers: false, ..open_rules().degraded };
    apply_rules(&mut harness, &Arc::new(Rules { degraded, ..open_rules() }), S);
    // Neither wake-up nor event came: the process was stopped.
    harness.now += 10 * S;
    submit(&mut harness, 0, TENANT);
    assert!(harness.workers_tried(0).is_empty());
}

#[test]
fn a_dispatcher_that_never_received_the_rules_has_no_share() {
    let mut harness = harness_with(1, 9.0);
    apply_rules(&mut harness, &Arc::new(Rules::initial(1, RetryAfterBounds { shortest: 0, longest: S })), 0);
    harness.submit(0);
    assert!(harness.workers_tried(0).is_empty() && harness.was_rejected(0));
}

#[test]
fn the_rules_limit_the_attempts_too() {
    let mut harness = harness_with(3, 9.0);
    apply_rules(&mut harness, &Arc::new(Rules { max_attempts: 2, ..open_rules() }), 100 * S);
    harness.submit(0);
    for attempt in 0..2 {
        harness.end_attempt(0, attempt, Outcome::Rejected);
    }
    assert_eq!(harness.workers_tried(0).len(), 2);
}

#[test]
fn rules_that_allow_all_change_nothing() {
    let play = |has_rules: bool| {
        let mut harness = Harness::new(Settings { dispatchers: 3, ..tenants() });
        harness.report = Some(free(3.0));
        if has_rules {
            apply_rules(&mut harness, &Arc::new(Rules { quota_shares: 3, ..open_rules() }), 1_000 * S);
        }
        harness.apply_list(ListKind::Complete, (0..50).map(entry).collect());
        let mut random = fastrand::Rng::with_seed(5);
        for id in 0..2_000 {
            let key = random.bool().then(|| random.u64(0..40));
            harness.handle(Event::Request(Request { tenant: Some(random.u32(0..2)), key, ..request(id) }));
            harness.advance(random.u64(0..5 * MS));
            let ended = random.u64(0..=id);
            if harness.workers_tried(ended).len() == 1 {
                harness.end_attempt(
                    ended,
                    0,
                    [Outcome::Ok, Outcome::Rejected, Outcome::Reset][random.usize(0..3)],
                );
            }
        }
        harness.take_actions()
    };
    assert_eq!(play(true), play(false));
}
