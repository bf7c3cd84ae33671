//! Plans between any two documents: no step contradicts the one before it, by its full rules or by the degraded rules of
//! a disconnected member; and whatever conflicts when it is evaluated independently is reported as a contradiction.

use std::collections::{BTreeMap, BTreeSet};

use nickelflow_rollout::{plan_steps, DegradedRules, KeyPlacement, RulesDocument, RulesStep, WorkerState};
use proptest::prelude::*;

const TENANTS: [&str; 3] = ["bern", "emmental", "seeland"];
const WORKERS: [&str; 5] = ["w1", "w2", "w3", "w4", "w5"];

fn tenant() -> impl Strategy<Value = String> {
    prop::sample::select(&TENANTS[..]).prop_map(str::to_owned)
}

fn worker() -> impl Strategy<Value = String> {
    prop::sample::select(&WORKERS[..]).prop_map(str::to_owned)
}

fn worker_state() -> impl Strategy<Value = WorkerState> {
    prop_oneof![
        Just(WorkerState::Cordoned),
        Just(WorkerState::Drained),
        Just(WorkerState::Excluded),
        tenant().prop_map(WorkerState::Pinned)
    ]
}

prop_compose! {
    fn document()(
        schedulers in 1u32..6,
        quotas in prop::collection::btree_map(tenant(), 0.0..100.0, 0..3),
        workers in prop::collection::btree_map(worker(), worker_state(), 0..5),
        quota_share in 0.0..=1.0,
        allowed_workers in prop::collection::btree_set(worker(), 0..4),
        (others, unlimited) in prop::bool::ANY.prop_flat_map(|a| prop::bool::ANY.prop_map(move |b| (a, b))),
        list_version in 0u64..3,
    ) -> RulesDocument {
        let allowed_workers = allowed_workers.into_iter().filter(|w| !workers.contains_key(w)).collect();
        let degraded = DegradedRules { quota_share, allowed_workers, allows_unlisted_workers: others, allows_unlimited_tenants: unlimited };
        RulesDocument { schedulers, quotas, workers, degraded, list_version, ..RulesDocument::default() }
    }
}

/// What a scheduler may do by a step, evaluated from the step itself and not from the tested relation.
struct Permissions {
    quotas: BTreeMap<String, f64>,
    /// Worker and tenant of new work that it may send.
    sends: BTreeSet<(String, String)>,
}

fn permissions(step: &RulesStep) -> Permissions {
    let sends = |w: &&'static str| {
        TENANTS
            .iter()
            .filter(|t| step.allows(w, t))
            .map(|t| ((*w).to_owned(), (*t).to_owned()))
            .collect::<Vec<_>>()
    };
    Permissions {
        quotas: step.quotas.keys().map(|t| (t.clone(), step.member_quota(t))).collect(),
        sends: WORKERS.iter().flat_map(sends).collect(),
    }
}

/// The workers that are exclusive to a tenant, with that tenant.
fn exclusive_workers(step: &RulesStep) -> BTreeMap<String, String> {
    let only = |w: &&'static str| {
        let tenant = TENANTS.iter().find(|t| {
            step.allows(w, t) && WORKERS.iter().all(|o| o == w || !step.allows(o, t) || pinned(step, o, t))
        });
        tenant.filter(|t| pinned(step, w, t)).map(|t| ((*w).to_owned(), (*t).to_owned()))
    };
    WORKERS.iter().filter_map(only).collect()
}

fn pinned(step: &RulesStep, worker: &str, tenant: &str) -> bool {
    step.worker_access.get(worker) == Some(&nickelflow_rollout::WorkerAccess::Exclusive(tenant.to_owned()))
}

/// What schedulers that act on two steps at the same time do that one of the steps forbids.
fn conflict(a: &RulesStep, b: &RulesStep) -> Option<String> {
    let (x, y) = (permissions(a), permissions(b));
    for (keeper, other) in [(a, &y), (b, &x)] {
        for (worker, tenant) in exclusive_workers(keeper) {
            if let Some(foreign) = other.sends.iter().find(|(w, t)| *w == worker && *t != tenant) {
                return Some(format!("{worker} is exclusive to {tenant} and gets work of {}", foreign.1));
            }
        }
    }
    // Every number of members on either step, within the limits of both.
    for on_a in 0..=a.max_members {
        for on_b in 0..=b.max_members.min(a.max_members.max(b.max_members) - on_a) {
            for tenant in x.quotas.keys().filter(|t| y.quotas.contains_key(*t)) {
                let sum = f64::from(on_a) * x.quotas[tenant] + f64::from(on_b) * y.quotas[tenant];
                let whole = a.quotas[tenant].max(b.quotas[tenant]);
                if sum > whole * (1.0 + 1e-6) {
                    return Some(format!("{on_a} and {on_b} schedulers take {sum} of {tenant}'s {whole}"));
                }
            }
        }
    }
    None
}

/// The worker of a key by rendezvous hashing.
fn place(inputs: &nickelflow_rollout::PlacementInputs, key: u64) -> Option<&'static str> {
    let hash = |w: &str| {
        let mut x = key ^ inputs.list_version.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        w.bytes().for_each(|b| x = (x ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3));
        x ^ (x >> 29)
    };
    WORKERS.into_iter().filter(|w| !inputs.excluded_workers.contains(*w)).max_by_key(|w| hash(w))
}

/// Where a step sends a key, if it does.
fn worker_of(step: &RulesStep, key: u64) -> Option<&'static str> {
    match &step.key_placement {
        KeyPlacement::Single(inputs) => place(inputs, key),
        KeyPlacement::Transition(old, new) => place(old, key).filter(|w| place(new, key) == Some(w)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_step_contradicts_its_neighbours(from in document(), to in document()) {
        let first = RulesStep::from_document(&from);
        let steps = plan_steps(&first, &to);
        let mut last = &first;
        for step in &steps {
            prop_assert_eq!(last.contradiction_with(step), None, "{:#?} and {:#?}", last, step);
            prop_assert_eq!(conflict(last, step), None);
            for key in 0..40 {
                let (a, b) = (worker_of(last, key), worker_of(step, key));
                prop_assert!(a.is_none() || b.is_none() || a == b, "key {} goes to {:?} and {:?}", key, a, b);
            }
            last = step;
        }
        prop_assert_eq!(last, &RulesStep::from_document(&to));
        prop_assert!(steps.len() <= 8, "{} steps", steps.len());
    }

    #[test]
    fn degraded_rules_during_a_rollout_allow_nothing_that_a_later_step_forbids(from in document(), to in document()) {
        let first = RulesStep::from_document(&from);
        let steps: Vec<RulesStep> = std::iter::once(first.clone()).chain(plan_steps(&first, &to)).collect();
        // The degraded rules shrink after the first step, which all members must have replaced before the third.
        for pair in steps.windows(2).skip(1) {
            prop_assert_eq!(pair[0].degraded_contradiction_with(&pair[1]), None, "{:#?} and {:#?}", &pair[0], &pair[1]);
        }
        prop_assert_eq!(first.degraded_contradiction_with(&steps[steps.len().min(2) - 1]), None);
        for (now, later) in steps.iter().enumerate().flat_map(|(n, now)| steps[n + 1..].iter().map(move |l| (now, l))) {
            if now.degraded_contradiction_with(later).is_none() {
                for worker in WORKERS {
                    for tenant in TENANTS {
                        let may = now.degraded_allows(worker, tenant);
                        prop_assert!(!may || !later.worker_access.contains_key(worker), "{} to {}", tenant, worker);
                    }
                }
                for tenant in later.quotas.keys() {
                    prop_assert!(now.degraded_member_quota(tenant) <= later.member_quota(tenant) * (1.0 + 1e-6));
                }
                for key in 0..40 {
                    let degraded = worker_of(now, key).filter(|w| now.degraded_allows(w, ""));
                    let later_worker = worker_of(later, key);
                    prop_assert!(degraded.is_none() || later_worker.is_none() || degraded == later_worker);
                }
            }
        }
    }

    #[test]
    fn a_written_document_reads_back_to_the_same(mut document in document()) {
        // A document that parses: the tenant of a pinned worker has a quota.
        let quotas = document.quotas.clone();
        document.workers.retain(|_, s| !matches!(s, WorkerState::Pinned(t) if !quotas.contains_key(t)));
        prop_assert_eq!(RulesDocument::parse(&document.to_toml()), Ok(document));
    }

    #[test]
    fn every_conflict_is_reported_as_a_contradiction(a in document(), b in document()) {
        let (a, b) = (RulesStep::from_document(&a), RulesStep::from_document(&b));
        if let Some(why) = conflict(&a, &b) {
            prop_assert!(a.contradiction_with(&b).is_some(), "{}", why);
            prop_assert!(b.contradiction_with(&a).is_some(), "{}", why);
        }
        prop_assert_eq!(a.contradiction_with(&a), None);
    }
}
