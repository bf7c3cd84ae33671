//! Rules that dispatchers have agreed on: who may be sent what, in full and carefully.

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
    let careful = DegradedRules {
        quota_share: 1.0,
        allowed_workers: BTreeSet::new(),
        allows_unlisted_workers: true,
        allows_unlimited_tenants: true,
    };
    Rules {
        quota_shares: 1,
        max_attempts: 4,
        retry_after: (0, 600 * S),
        tenant_rates_per_s: BTreeMap::new(),
        worker_restrictions: BTreeMap::new(),
        tenants_with_reserved_workers: BTreeSet::new(),
        degraded: careful,
    }
}

fn tenants() -> Settings {
    let quota = |quota_per_s| Tenant { quota_per_s };
    Settings { tenants: vec![quota(1e6), quota(1e6)], ..settings(vec![class(Idempotency::Idempotent)]) }
}

fn bench(workers: u32, slots: f64) -> Bench {
    Bench::open(tenants(), (0..workers).map(entry).collect(), slots)
}

fn tell(b: &mut Bench, rules: &Arc<Rules>, lease: Nanos) {
    let until = b.now + lease;
    b.event(Event::Rules { rules: rules.clone(), valid_until: until });
}

fn ask(b: &mut Bench, id: u64, tenant: u32) {
    b.event(Event::Request(Request { tenant: Some(tenant), ..request(id) }));
}

#[rstest]
#[case::cordoned(WorkerRestriction::Cordoned)]
#[case::drained(WorkerRestriction::Drained)]
#[case::never(WorkerRestriction::Excluded)]
#[case::anothers(WorkerRestriction::ReservedFor(OTHER))]
fn a_worker_that_is_set_apart_gets_nothing_new(#[case] put: WorkerRestriction) {
    let mut b = bench(2, 9.0);
    let rules = Arc::new(Rules { worker_restrictions: [(hash(0), put)].into(), ..open_rules() });
    tell(&mut b, &rules, S);
    for id in 0..6 {
        ask(&mut b, id, TENANT);
        assert_eq!(b.sends(id), [1]);
    }
}

#[rstest]
#[case::plain(None)]
#[case::keyed(Some(7))]
fn a_tenants_own_worker_gets_its_jobs_and_nobody_elses(#[case] key: Option<u64>) {
    let mut b = bench(40, 9.0);
    let rules = Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::ReservedFor(TENANT))].into(),
        ..open_rules()
    };
    tell(&mut b, &Arc::new(Rules { tenants_with_reserved_workers: [TENANT].into(), ..rules }), S);
    for id in 0..4 {
        b.event(Event::Request(Request { tenant: Some(TENANT), key, ..request(id) }));
        assert_eq!(b.sends(id), [0]);
        b.event(Event::Request(Request { tenant: Some(OTHER), key, ..request(id + 10) }));
        assert_ne!(b.sends(id + 10), [0]);
    }
}

#[test]
fn a_drained_worker_is_called_back_what_it_has_not_started() {
    let mut b = bench(1, 9.0);
    ask(&mut b, 0, TENANT);
    ask(&mut b, 1, TENANT);
    b.event(Event::Progress { request: RequestId(0), attempt: 0 });
    let rules = Arc::new(Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::Drained)].into(),
        ..open_rules()
    });
    tell(&mut b, &rules, S);
    let cancels = |id| b.actions.contains(&Action::Cancel { request: RequestId(id), attempt: 0 });
    assert!(!cancels(0) && cancels(1));
}

#[test]
fn what_must_not_run_twice_is_left_to_a_drained_worker() {
    // Called back, it may have run: it could only be answered as failed, where the worker would have done it.
    let mut b = Bench::open(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 9.0);
    b.ask(0);
    let rules = Arc::new(Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::Drained)].into(),
        ..open_rules()
    });
    tell(&mut b, &rules, S);
    assert!(!b.actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
}

#[test]
fn a_worker_that_is_never_to_be_used_is_not_probed_until_it_is_open_again() {
    let mut b = bench(1, 1.0);
    let rules = Arc::new(Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::Excluded)].into(),
        ..open_rules()
    });
    ask(&mut b, 0, TENANT);
    tell(&mut b, &rules, 20 * S);
    b.pass(3 * S);
    assert_eq!(b.probes(0), 0);
    tell(&mut b, &Arc::new(open_rules()), S);
    b.pass(3 * S);
    assert!(b.probes(0) > 0);
}

#[test]
fn a_held_job_goes_to_a_worker_that_is_opened_to_it() {
    let mut b = bench(1, 9.0);
    let rules = Arc::new(Rules {
        worker_restrictions: [(hash(0), WorkerRestriction::Cordoned)].into(),
        ..open_rules()
    });
    tell(&mut b, &rules, 20 * S);
    ask(&mut b, 0, TENANT);
    assert!(b.sends(0).is_empty());
    tell(&mut b, &Arc::new(open_rules()), S);
    assert_eq!(b.sends(0), [0]);
}

/// Requests of a tenant that go through in so long, of one each 2 ms.
fn goes_through(b: &mut Bench, from: u64, tenant: u32, time: Nanos) -> usize {
    let mut sent = 0;
    for id in from..from + time / (2 * MS) {
        ask(b, id, tenant);
        sent += b.sends(id).len();
        b.outcome(id, 0, Outcome::Ok);
        b.pass(2 * MS);
    }
    sent
}

#[test]
fn a_tenant_gets_its_part_of_the_limit_and_no_more_and_less_when_cut_off() {
    let mut b = bench(1, 9.0);
    let careful = DegradedRules { quota_share: 0.5, ..open_rules().degraded };
    let rules = Rules {
        quota_shares: 4,
        tenant_rates_per_s: [(TENANT, 400.0)].into(),
        degraded: careful,
        ..open_rules()
    };
    tell(&mut b, &Arc::new(rules), 2 * S);
    let full = goes_through(&mut b, 0, TENANT, 2 * S);
    assert!((190..=201).contains(&full), "{full} in 2 s at 100 a second");
    let careful = goes_through(&mut b, 10_000, TENANT, 2 * S);
    assert!((95..=130).contains(&careful), "{careful} in 2 s at 50 a second, and what was saved up");
    assert_eq!(goes_through(&mut b, 20_000, OTHER, S), 500, "without a limit");
}

#[test]
fn one_that_starts_again_has_not_its_part_twice() {
    let rules = Arc::new(Rules { tenant_rates_per_s: [(TENANT, 100.0)].into(), ..open_rules() });
    let started = |_| {
        let mut b = bench(1, 9.0);
        tell(&mut b, &rules, S);
        goes_through(&mut b, 0, TENANT, 100 * MS)
    };
    let sent: usize = (0..10).map(started).sum();
    assert!(sent <= 100, "{sent} in ten lives of 0.1 s, at 100 a second");
}

#[test]
fn beyond_its_limit_a_tenant_is_refused_at_once_with_a_retry_after_in_its_bounds() {
    let mut b = bench(1, 9.0);
    let retry_after = (700 * MS, 900 * MS);
    let rules = Rules { tenant_rates_per_s: [(TENANT, 0.001)].into(), retry_after, ..open_rules() };
    tell(&mut b, &Arc::new(rules), 100 * S);
    ask(&mut b, 0, TENANT);
    let told = b.actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(told.is_some_and(|told| (700 * MS..=900 * MS).contains(&told)), "{told:?}");
}

#[test]
fn cut_off_it_sends_only_where_every_version_allows_it_and_goes_on_when_it_hears_again() {
    let mut b = bench(3, 9.0);
    let careful = DegradedRules {
        allows_unlisted_workers: false,
        allowed_workers: [hash(2)].into(),
        ..open_rules().degraded
    };
    let rules = Arc::new(Rules { degraded: careful, ..open_rules() });
    tell(&mut b, &rules, S);
    b.pass(S);
    for id in 0..5 {
        ask(&mut b, id, TENANT);
        assert_eq!(b.sends(id), [2]);
    }
    tell(&mut b, &rules, S);
    let sent: BTreeSet<u32> = (5..30)
        .flat_map(|id| {
            ask(&mut b, id, TENANT);
            b.sends(id)
        })
        .collect();
    assert_eq!(sent, [0, 1, 2].into());
}

#[test]
fn a_process_that_stood_still_sees_its_lapse_before_its_next_send() {
    let mut b = bench(1, 9.0);
    let careful = DegradedRules { allows_unlisted_workers: false, ..open_rules().degraded };
    tell(&mut b, &Arc::new(Rules { degraded: careful, ..open_rules() }), S);
    // No wake, no event: it was stopped.
    b.now += 10 * S;
    ask(&mut b, 0, TENANT);
    assert!(b.sends(0).is_empty());
}

#[test]
fn who_never_had_rules_but_knows_of_them_has_no_part_of_anything() {
    let mut b = bench(1, 9.0);
    tell(&mut b, &Arc::new(Rules::none(1, (0, S))), 0);
    b.ask(0);
    assert!(b.sends(0).is_empty() && b.refused(0));
}

#[test]
fn attempts_are_bounded_by_the_rules_too() {
    let mut b = bench(3, 9.0);
    tell(&mut b, &Arc::new(Rules { max_attempts: 2, ..open_rules() }), 100 * S);
    b.ask(0);
    for attempt in 0..2 {
        b.outcome(0, attempt, Outcome::Rejected);
    }
    assert_eq!(b.sends(0).len(), 2);
}

#[test]
fn rules_that_allow_all_change_nothing() {
    let play = |told: bool| {
        let mut b = Bench::new(Settings { dispatchers: 3, ..tenants() });
        b.report = Some(free(3.0));
        if told {
            tell(&mut b, &Arc::new(Rules { quota_shares: 3, ..open_rules() }), 1_000 * S);
        }
        b.workers(ListKind::Complete, (0..50).map(entry).collect());
        let mut random = fastrand::Rng::with_seed(5);
        for id in 0..2_000 {
            let key = random.bool().then(|| random.u64(0..40));
            b.event(Event::Request(Request { tenant: Some(random.u32(0..2)), key, ..request(id) }));
            b.pass(random.u64(0..5 * MS));
            let ended = random.u64(0..=id);
            if b.sends(ended).len() == 1 {
                b.outcome(ended, 0, [Outcome::Ok, Outcome::Rejected, Outcome::Reset][random.usize(0..3)]);
            }
        }
        b.take()
    };
    assert_eq!(play(true), play(false));
}
