//! Property tests of plans between random documents. No step contradicts the one before it, neither by its full rules nor
//! by the degraded rules of a disconnected member. Every conflict that an independent evaluation of two steps finds is
//! also reported as a contradiction.

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
        (allows_unlisted_workers, allows_unlimited_tenants) in
            prop::bool::ANY.prop_flat_map(|a| prop::bool::ANY.prop_map(move |b| (a, b))),
        list_version in 0u64..3,
    ) -> RulesDocument {
        let allowed_workers = allowed_workers.into_iter().filter(|w| !workers.contains_key(w)).collect();
        let degraded = DegradedRules {
            quota_share,
            allowed_workers,
            allows_unlisted_workers,
            allows_unlimited_tenants,
        };
        RulesDocument { schedulers, quotas, workers, degraded, list_version, ..RulesDocument::default() }
    }
}

/// What a step allows a scheduler to do, evaluated without the contradiction check under test.
struct Permissions {
    quotas: BTreeMap<String, f64>,
    /// The pairs of worker and tenant for which the scheduler may send new work.
    allowed_sends: BTreeSet<(String, String)>,
}

fn permissions(step: &RulesStep) -> Permissions {
    let allowed_sends = |w: &&'static str| {
        TENANTS
            .iter()
            .filter(|t| step.allows(w, t))
            .map(|t| ((*w).to_owned(), (*t).to_owned()))
            .collect::<Vec<_>>()
    };
    Permissions {
        quotas: step.quotas.keys().map(|t| (t.clone(), step.member_quota(t))).collect(),
        allowed_sends: WORKERS.iter().flat_map(allowed_sends).collect(),
    }
}

/// Returns the workers that are exclusive to a tenant, each with the tenant.
fn exclusive_workers(step: &RulesStep) -> BTreeMap<String, String> {
    let exclusive_tenant = |w: &&'static str| {
        let tenant = TENANTS.iter().find(|t| {
            step.allows(w, t) && WORKERS.iter().all(|o| o == w || !step.allows(o, t) || pinned(step, o, t))
        });
        tenant.filter(|t| pinned(step, w, t)).map(|t| ((*w).to_owned(), (*t).to_owned()))
    };
    WORKERS.iter().filter_map(exclusive_tenant).collect()
}

fn pinned(step: &RulesStep, worker: &str, tenant: &str) -> bool {
    step.worker_access.get(worker) == Some(&nickelflow_rollout::WorkerAccess::Exclusive(tenant.to_owned()))
}

/// Describes something that schedulers on two steps may do at the same time although one of the steps forbids it.
fn conflict(a: &RulesStep, b: &RulesStep) -> Option<String> {
    let (permissions_a, permissions_b) = (permissions(a), permissions(b));
    for (exclusive_step, other) in [(a, &permissions_b), (b, &permissions_a)] {
        for (worker, tenant) in exclusive_workers(exclusive_step) {
            if let Some(conflicting) = other.allowed_sends.iter().find(|(w, t)| *w == worker && *t != tenant)
            {
                return Some(format!("{worker} is exclusive to {tenant} and gets work of {}", conflicting.1));
            }
        }
    }
    // Checks all combinations of the numbers of members on each step, within the limits of both.
    for on_a in 0..=a.max_members {
        for on_b in 0..=b.max_members.min(a.max_members.max(b.max_members) - on_a) {
            for tenant in permissions_a.quotas.keys().filter(|t| permissions_b.quotas.contains_key(*t)) {
                let sum = f64::from(on_a) * permissions_a.quotas[tenant]
                    + f64::from(on_b) * permissions_b.quotas[tenant];
                let quota = a.quotas[tenant].max(b.quotas[tenant]);
                if sum > quota * (1.0 + 1e-6) {
                    return Some(format!(
                        "{on_a} and {on_b} schedulers use {sum} of {tenant}'s quota of {quota}"
                    ));
                }
            }
        }
    }
    None
}

/// Returns the worker of a key by rendezvous hashing.
fn rendezvous_worker(inputs: &nickelflow_rollout::PlacementInputs, key: u64) -> Option<&'static str> {
    let hash = |w: &str| {
        let mut x = key ^ inputs.list_version.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        w.bytes().for_each(|b| x = (x ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3));
        x ^ (x >> 29)
    };
    WORKERS.into_iter().filter(|w| !inputs.excluded_workers.contains(*w)).max_by_key(|w| hash(w))
}

/// Returns the worker to which a step sends a key, if it sends the key.
fn worker_for_key(step: &RulesStep, key: u64) -> Option<&'static str> {
    match &step.key_placement {
        KeyPlacement::Single(inputs) => rendezvous_worker(inputs, key),
        KeyPlacement::Transition(old, new) => {
            rendezvous_worker(old, key).filter(|w| rendezvous_worker(new, key) == Some(w))
        }
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
                let (a, b) = (worker_for_key(last, key), worker_for_key(step, key));
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
        // The degraded rules are restricted in the second step. All members must have replaced the first step before the
        // third is activated.
        for pair in steps.windows(2).skip(1) {
            prop_assert_eq!(pair[0].degraded_contradiction_with(&pair[1]), None, "{:#?} and {:#?}", &pair[0], &pair[1]);
        }
        prop_assert_eq!(first.degraded_contradiction_with(&steps[steps.len().min(2) - 1]), None);
        for (earlier, later) in
            steps.iter().enumerate().flat_map(|(n, earlier)| steps[n + 1..].iter().map(move |l| (earlier, l)))
        {
            if earlier.degraded_contradiction_with(later).is_none() {
                for worker in WORKERS {
                    for tenant in TENANTS {
                        let may = earlier.degraded_allows(worker, tenant);
                        prop_assert!(!may || !later.worker_access.contains_key(worker), "{} to {}", tenant, worker);
                    }
                }
                for tenant in later.quotas.keys() {
                    prop_assert!(earlier.degraded_member_quota(tenant) <= later.member_quota(tenant) * (1.0 + 1e-6));
                }
                for key in 0..40 {
                    let degraded = worker_for_key(earlier, key).filter(|w| earlier.degraded_allows(w, ""));
                    let later_worker = worker_for_key(later, key);
                    prop_assert!(degraded.is_none() || later_worker.is_none() || degraded == later_worker);
                }
            }
        }
    }

    #[test]
    fn a_written_document_reads_back_to_the_same(mut document in document()) {
        // In a valid document the tenant of each pinned worker has a quota.
        let quotas = document.quotas.clone();
        document.workers.retain(|_, s| !matches!(s, WorkerState::Pinned(t) if !quotas.contains_key(t)));
        prop_assert_eq!(RulesDocument::parse(&document.to_toml()), Ok(document));
    }

    #[test]
    fn every_conflict_is_reported_as_a_contradiction(a in document(), b in document()) {
        let (a, b) = (RulesStep::from_document(&a), RulesStep::from_document(&b));
        if let Some(description) = conflict(&a, &b) {
            prop_assert!(a.contradiction_with(&b).is_some(), "{}", description);
            prop_assert!(b.contradiction_with(&a).is_some(), "{}", description);
        }
        prop_assert_eq!(a.contradiction_with(&a), None);
    }
}
