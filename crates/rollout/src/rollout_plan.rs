//! The way from one step to what a document wants, such that no step contradicts the one before it: as the online
//! change of a schema goes through states that agree with both neighbours (Rae et al., F1, VLDB 2013).

use crate::document::{DegradedRules, RulesDocument, WorkerState};
use crate::step::{KeyPlacement, RulesStep, WorkerAccess};

/// The steps that lead from the one in force to what a document wants, the last of which does; none if nothing changes.
/// Each agrees with the one before.
pub fn plan_steps(from: &RulesStep, to: &RulesDocument) -> Vec<RulesStep> {
    let wanted = RulesStep::from_document(to);
    let mut steps = vec![from.clone()];
    let mut go = |change: &dyn Fn(&mut RulesStep)| {
        let mut next = steps[steps.len() - 1].clone();
        change(&mut next);
        if next != steps[steps.len() - 1] {
            steps.push(next);
        }
    };
    // First of all, what the cut off may do becomes what is allowed all the way: who is cut off from here on does
    // no more than that.
    let careful = meet(from, &wanted);
    go(&|step| step.degraded = careful.clone());
    // Workers are closed to those who lose them ...
    go(&|step| {
        for (worker, put) in &mut step.worker_access {
            if let WorkerAccess::Exclusive(tenant) = put {
                *put = match wanted.worker_access.get(worker) {
                    Some(WorkerAccess::Exclusive(new)) if new == tenant => continue,
                    // Another's next: nobody's in between.
                    Some(WorkerAccess::Exclusive(_) | WorkerAccess::Reserved(_)) => {
                        WorkerAccess::Closed(WorkerState::Cordoned)
                    }
                    Some(WorkerAccess::Closed(standing)) => WorkerAccess::Closed(standing.clone()),
                    None => WorkerAccess::Reserved(tenant.clone()),
                };
            }
        }
    });
    // ... while places go through both sets, for the keys that move are sent by nobody in between ...
    let (
        KeyPlacement::Single(old) | KeyPlacement::Transition(_, old),
        KeyPlacement::Single(new) | KeyPlacement::Transition(_, new),
    ) = (&from.key_placement, &wanted.key_placement);
    let moving = if old == new {
        wanted.key_placement.clone()
    } else {
        KeyPlacement::Transition(old.clone(), new.clone())
    };
    go(&|step| {
        step.key_placement = moving.clone();
        step.worker_access = (wanted.worker_access.iter())
            .map(|(worker, put)| {
                let reserved = match (step.worker_access.get(worker), put) {
                    (Some(WorkerAccess::Exclusive(a)), WorkerAccess::Exclusive(b)) if a == b => put.clone(),
                    (_, WorkerAccess::Exclusive(tenant)) => WorkerAccess::Reserved(tenant.clone()),
                    _ => put.clone(),
                };
                (worker.clone(), reserved)
            })
            .collect();
        // Limits and the rest change at once: with the same parts, any mix of old and new stays below the larger.
        step.quotas = wanted.quotas.clone();
        (step.max_attempts, step.retry_after_ms) = (wanted.max_attempts, wanted.retry_after_ms);
    });
    // ... and only then kept for those who have them from now on.
    go(&|step| {
        (step.worker_access, step.key_placement) =
            (wanted.worker_access.clone(), wanted.key_placement.clone())
    });
    // Parts become smaller before there are more seats, and seats fewer before parts become larger.
    go(&|step| step.quota_shares = step.quota_shares.max(wanted.quota_shares));
    go(&|step| step.max_members = wanted.max_members);
    go(&|step| step.quota_shares = wanted.quota_shares);
    go(&|step| step.degraded = wanted.degraded.clone());
    steps.split_off(1)
}

/// What a cut off scheduler may do that no step from one to the other forbids.
fn meet(from: &RulesStep, to: &RulesStep) -> DegradedRules {
    let places = |step: &RulesStep| match &step.key_placement {
        KeyPlacement::Single(set) | KeyPlacement::Transition(_, set) => set.clone(),
    };
    let (old, new) = (places(from), places(to));
    let keeps_places =
        old.list_version == new.list_version && new.excluded_workers.is_superset(&old.excluded_workers);
    let workers = from
        .degraded
        .allowed_workers
        .iter()
        .filter(|worker| keeps_places && !to.worker_access.contains_key(*worker));
    // A part becomes smaller by there being more of them, and by its limit becoming lower.
    let fewer = f64::from(from.quota_shares) / f64::from(from.quota_shares.max(to.quota_shares));
    let lower = |(tenant, quota): (&String, &f64)| match to.quotas.get(tenant) {
        Some(new) if new < quota => new / quota,
        _ => 1.0,
    };
    let share = from.quotas.iter().map(lower).fold(1.0, f64::min) * fewer;
    let share = share.min(from.degraded.quota_share);
    let others =
        keeps_places && to.worker_access.keys().all(|worker| from.worker_access.contains_key(worker));
    let unlimited = to.quotas.keys().all(|tenant| from.quotas.contains_key(tenant));
    DegradedRules {
        quota_share: share,
        allowed_workers: workers.cloned().collect(),
        allows_unlisted_workers: from.degraded.allows_unlisted_workers && others,
        allows_unlimited_tenants: from.degraded.allows_unlimited_tenants && unlimited,
    }
}
