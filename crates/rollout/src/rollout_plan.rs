//! Planning of the steps from the active rules to those of a document, such that no step contradicts the one
//! before it.
//!
//! The method follows online schema changes, whose intermediate states are compatible with both neighbours
//! (Rae et al., Online, Asynchronous Schema Change in F1, VLDB 2013).

use std::collections::BTreeMap;

use crate::document::{DegradedRules, RulesDocument, WorkerState};
use crate::key_placement::KeyPlacement;
use crate::step::{RulesStep, WorkerAccess};

/// Plans the steps that lead from the active step to the rules of a document. No step contradicts the one
/// before it, and the last one equals the document's rules. Returns no steps if nothing changes.
pub fn plan_steps(from: &RulesStep, document: &RulesDocument) -> Vec<RulesStep> {
    let target = RulesStep::from_document(document);
    let mut plan = Plan::starting_at(from);
    // A member that is disconnected from this step on is limited to what all later steps allow.
    plan.add_step(|step| step.degraded = common_degraded_rules(from, &target));
    plan.add_step(|step| revoke_exclusive_access(step, &target));
    plan.add_step(|step| enter_transition(step, &target));
    // A worker becomes exclusive only after every member has stopped sending other tenants' work to it.
    plan.add_step(|step| {
        step.worker_access = target.worker_access.clone();
        step.key_placement = target.key_placement.clone();
    });
    // Shares shrink before members are added, and members are removed before shares grow, so that the sum of
    // the shares never exceeds a quota.
    plan.add_step(|step| step.quota_shares = step.quota_shares.max(target.quota_shares));
    plan.add_step(|step| step.max_members = target.max_members);
    plan.add_step(|step| step.quota_shares = target.quota_shares);
    plan.add_step(|step| step.degraded = target.degraded.clone());
    plan.into_steps()
}

/// A plan under construction.
struct Plan {
    /// The step that the plan starts at, followed by the planned steps.
    steps: Vec<RulesStep>,
}

impl Plan {
    /// Creates a plan without steps.
    fn starting_at(from: &RulesStep) -> Plan {
        Plan { steps: vec![from.clone()] }
    }

    /// Adds a copy of the last step with a change applied, unless the change has no effect.
    fn add_step(&mut self, change: impl FnOnce(&mut RulesStep)) {
        let last = &self.steps[self.steps.len() - 1];
        let mut next = last.clone();
        change(&mut next);
        if next != *last {
            self.steps.push(next);
        }
    }

    /// Returns the planned steps without the one that the plan starts at.
    fn into_steps(mut self) -> Vec<RulesStep> {
        self.steps.split_off(1)
    }
}

/// Ends the exclusive access of tenants to workers that are not exclusive to them in the target.
fn revoke_exclusive_access(step: &mut RulesStep, target: &RulesStep) {
    for (worker, access) in &mut step.worker_access {
        let WorkerAccess::Exclusive(tenant) = access else { continue };
        let revoked = match target.worker_access.get(worker) {
            Some(WorkerAccess::Exclusive(next_tenant)) if next_tenant == tenant => continue,
            // While the worker changes from one tenant to another, it is closed to both.
            Some(WorkerAccess::Exclusive(_) | WorkerAccess::Reserved(_)) => {
                WorkerAccess::Closed(WorkerState::Cordoned)
            }
            Some(WorkerAccess::Closed(state)) => WorkerAccess::Closed(state.clone()),
            None => WorkerAccess::Reserved(tenant.clone()),
        };
        *access = revoked;
    }
}

/// Changes the key placement to the transition between both sets of inputs, in which no member sends the keys
/// that move. Also reserves the workers that become exclusive, and applies all new limits.
fn enter_transition(step: &mut RulesStep, target: &RulesStep) {
    step.key_placement = transition(&step.key_placement, &target.key_placement);
    step.worker_access = reserve_exclusive_workers(step, target);
    // The number of shares does not change in this step, so the members' shares never add up to more than the
    // larger of the old and the new quota.
    step.quotas = target.quotas.clone();
    step.max_attempts = target.max_attempts;
    step.retry_after = target.retry_after;
}

/// Returns the placement between `from` and `to` that is compatible with both.
fn transition(from: &KeyPlacement, to: &KeyPlacement) -> KeyPlacement {
    let (old, new) = (from.latest_inputs(), to.latest_inputs());
    if old == new {
        to.clone()
    } else {
        KeyPlacement::Transition(old.clone(), new.clone())
    }
}

/// Returns the target's access to workers, except that workers which become exclusive are only reserved.
fn reserve_exclusive_workers(step: &RulesStep, target: &RulesStep) -> BTreeMap<String, WorkerAccess> {
    let reserved = |(worker, access): (&String, &WorkerAccess)| {
        let access = match (step.worker_access.get(worker), access) {
            (Some(WorkerAccess::Exclusive(old)), WorkerAccess::Exclusive(new)) if old == new => {
                access.clone()
            }
            (_, WorkerAccess::Exclusive(tenant)) => WorkerAccess::Reserved(tenant.clone()),
            _ => access.clone(),
        };
        (worker.clone(), access)
    };
    target.worker_access.iter().map(reserved).collect()
}

/// Returns the part of the degraded rules of `from` that no later step of the plan forbids.
fn common_degraded_rules(from: &RulesStep, to: &RulesStep) -> DegradedRules {
    let keeps_placement = keeps_placement_of_open_workers(from, to);
    let allowed_workers = from
        .degraded
        .allowed_workers
        .iter()
        .filter(|worker| keeps_placement && !to.worker_access.contains_key(*worker));
    let restricts_no_worker = to.worker_access.keys().all(|worker| from.worker_access.contains_key(worker));
    let limits_no_tenant = to.quotas.keys().all(|tenant| from.quotas.contains_key(tenant));
    DegradedRules {
        quota_share: common_quota_share(from, to),
        allowed_workers: allowed_workers.cloned().collect(),
        allows_unlisted_workers: from.degraded.allows_unlisted_workers
            && keeps_placement
            && restricts_no_worker,
        allows_unlimited_tenants: from.degraded.allows_unlimited_tenants && limits_no_tenant,
    }
}

/// Returns whether every key that `from` places at a worker which stays open is still placed there by `to`.
fn keeps_placement_of_open_workers(from: &RulesStep, to: &RulesStep) -> bool {
    let (old, new) = (from.key_placement.latest_inputs(), to.key_placement.latest_inputs());
    old.list_version == new.list_version && new.excluded_workers.is_superset(&old.excluded_workers)
}

/// Returns the fraction of its share of each quota that a disconnected member may use without exceeding its
/// share in any step. A share shrinks when the number of shares grows or when the quota is lowered.
fn common_quota_share(from: &RulesStep, to: &RulesStep) -> f64 {
    let division = f64::from(from.quota_shares) / f64::from(from.quota_shares.max(to.quota_shares));
    let reduction = |(tenant, quota): (&String, &f64)| match to.quotas.get(tenant) {
        Some(new_quota) if new_quota < quota => new_quota / quota,
        _ => 1.0,
    };
    let share = from.quotas.iter().map(reduction).fold(1.0, f64::min) * division;
    share.min(from.degraded.quota_share)
}
