//! Any two documents: each step of the way agrees with the one before, at the full rules and for whoever is cut off on
//! the way; and what agrees by the relation does so when it is played out.

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

fn standing() -> impl Strategy<Value = WorkerState> {
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
        workers in prop::collection::btree_map(worker(), standing(), 0..5),
        share in 0.0..=1.0,
        core in prop::collection::btree_set(worker(), 0..4),
        (others, unlimited) in prop::bool::ANY.prop_flat_map(|a| prop::bool::ANY.prop_map(move |b| (a, b))),
        list in 0u64..3,
    ) -> RulesDocument {
        let core = core.into_iter().filter(|w| !workers.contains_key(w)).collect();
        let careful = DegradedRules { quota_share: share, allowed_workers: core, allows_unlisted_workers: others, allows_unlimited_tenants: unlimited };
        RulesDocument { schedulers, quotas, workers, degraded: careful, list_version: list, ..RulesDocument::default() }
    }
}

/// What a scheduler may do by a step, worked out from what the step says and not from the relation.
struct Acts {
    parts: BTreeMap<String, f64>,
    /// Worker and tenant of new work that it may send.
    sends: BTreeSet<(String, String)>,
}

fn full(step: &RulesStep) -> Acts {
    let sends = |w: &&'static str| {
        TENANTS
            .iter()
            .filter(|t| step.allows(w, t))
            .map(|t| ((*w).to_owned(), (*t).to_owned()))
            .collect::<Vec<_>>()
    };
    Acts {
        parts: step.quotas.keys().map(|t| (t.clone(), step.member_quota(t))).collect(),
        sends: WORKERS.iter().flat_map(sends).collect(),
    }
}

/// Workers that a step keeps for one tenant.
fn kept(step: &RulesStep) -> BTreeMap<String, String> {
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

/// Whether two who act side by side break what one of them relies on.
fn collide(a: &RulesStep, b: &RulesStep) -> Option<String> {
    let (x, y) = (full(a), full(b));
    for (keeper, other) in [(a, &y), (b, &x)] {
        for (worker, tenant) in kept(keeper) {
            if let Some(foreign) = other.sends.iter().find(|(w, t)| *w == worker && *t != tenant) {
                return Some(format!("{worker} is kept for {tenant} and gets work of {}", foreign.1));
            }
        }
    }
    // Every number of them on either side, no more than there are seats for each.
    for on_a in 0..=a.max_members {
        for on_b in 0..=b.max_members.min(a.max_members.max(b.max_members) - on_a) {
            for tenant in x.parts.keys().filter(|t| y.parts.contains_key(*t)) {
                let sum = f64::from(on_a) * x.parts[tenant] + f64::from(on_b) * y.parts[tenant];
                let whole = a.quotas[tenant].max(b.quotas[tenant]);
                if sum > whole * (1.0 + 1e-6) {
                    return Some(format!("{on_a} and {on_b} schedulers take {sum} of {tenant}'s {whole}"));
                }
            }
        }
    }
    None
}

/// The rack of a key by a set, as rendezvous hashing has it.
fn place(set: &nickelflow_rollout::PlacementInputs, key: u64) -> Option<&'static str> {
    let hash = |w: &str| {
        let mut x = key ^ set.list_version.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        w.bytes().for_each(|b| x = (x ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3));
        x ^ (x >> 29)
    };
    WORKERS.into_iter().filter(|w| !set.excluded_workers.contains(*w)).max_by_key(|w| hash(w))
}

fn sent(step: &RulesStep, key: u64) -> Option<&'static str> {
    match &step.key_placement {
        KeyPlacement::Single(set) => place(set, key),
        KeyPlacement::Transition(old, new) => place(old, key).filter(|w| place(new, key) == Some(w)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_step_agrees_with_its_neighbours(from in document(), to in document()) {
        let first = RulesStep::from_document(&from);
        let steps = plan_steps(&first, &to);
        let mut last = &first;
        for step in &steps {
            prop_assert_eq!(last.contradiction_with(step), None, "{:#?} and {:#?}", last, step);
            prop_assert_eq!(collide(last, step), None);
            for key in 0..40 {
                let (a, b) = (sent(last, key), sent(step, key));
                prop_assert!(a.is_none() || b.is_none() || a == b, "key {} goes to {:?} and {:?}", key, a, b);
            }
            last = step;
        }
        prop_assert_eq!(last, &RulesStep::from_document(&to));
        prop_assert!(steps.len() <= 8, "{} steps", steps.len());
    }

    #[test]
    fn who_is_cut_off_on_the_way_does_nothing_that_a_later_step_forbids(from in document(), to in document()) {
        let first = RulesStep::from_document(&from);
        let steps: Vec<RulesStep> = std::iter::once(first.clone()).chain(plan_steps(&first, &to)).collect();
        // But for the first step, after which all must have told that they know: what they may do carefully shrinks.
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
                    let careful = sent(now, key).filter(|w| now.degraded_allows(w, ""));
                    let there = sent(later, key);
                    prop_assert!(careful.is_none() || there.is_none() || careful == there);
                }
            }
        }
    }

    #[test]
    fn a_written_document_reads_back_to_the_same(mut document in document()) {
        // Only what can be written by hand: a pinned worker's tenant has a limit.
        let quotas = document.quotas.clone();
        document.workers.retain(|_, s| !matches!(s, WorkerState::Pinned(t) if !quotas.contains_key(t)));
        prop_assert_eq!(RulesDocument::parse(&document.to_toml()), Ok(document));
    }

    #[test]
    fn what_does_not_agree_is_found(a in document(), b in document()) {
        let (a, b) = (RulesStep::from_document(&a), RulesStep::from_document(&b));
        if let Some(why) = collide(&a, &b) {
            prop_assert!(a.contradiction_with(&b).is_some(), "{}", why);
            prop_assert!(b.contradiction_with(&a).is_some(), "{}", why);
        }
        prop_assert_eq!(a.contradiction_with(&a), None);
    }
}
