//! Contradictions between steps, which decide whether two steps may be in effect at the same time.

use std::collections::BTreeSet;

use serde::Serialize;
use thiserror::Error;

use crate::key_placement::PlacementInputs;
use crate::step::{RulesStep, WorkerAccess};

/// Relative tolerance of comparisons with a quota. Sums of shares are rounded.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The reason why two steps may not be in effect at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum Contradiction {
    /// The shares of this tenant's quota could add up to more than the quota.
    #[error("the parts of {0}'s limit could pass the whole")]
    QuotaExceeded(String),
    /// One step restricts this worker, and the other step allows work on it that the restriction forbids.
    #[error("{0} could get another tenant's work")]
    #[serde(rename = "reserved_worker")]
    RestrictedWorker(String),
    /// The same key could be sent to two racks.
    #[error("keys could be sent to two racks")]
    KeyPlacement,
}

impl RulesStep {
    /// Returns a contradiction between this step and `other`: something that schedulers on the two steps
    /// could do together although neither step allows it. Returns `None` if both steps may be in effect at
    /// the same time.
    pub fn contradiction_with(&self, other: &RulesStep) -> Option<Contradiction> {
        if let Some(tenant) = self.exceeded_quota(other) {
            return Some(Contradiction::QuotaExceeded(tenant.clone()));
        }
        if let Some(worker) = self.shared_exclusive_worker(other) {
            return Some(Contradiction::RestrictedWorker(worker.clone()));
        }
        if !self.key_placement.is_compatible_with(&other.key_placement) {
            return Some(Contradiction::KeyPlacement);
        }
        None
    }

    /// Returns the first tenant whose quota could be exceeded. A tenant without a quota in one of the steps
    /// is not limited while both steps are in effect.
    fn exceeded_quota<'a>(&'a self, other: &'a RulesStep) -> Option<&'a String> {
        let tenants: BTreeSet<&String> = self.quotas.keys().chain(other.quotas.keys()).collect();
        tenants.into_iter().find(|tenant| match (self.quotas.get(*tenant), other.quotas.get(*tenant)) {
            (Some(quota), Some(other_quota)) => {
                let limit = quota.max(*other_quota) * (1.0 + ROUNDING_TOLERANCE);
                self.max_combined_quota(other, tenant) > limit
            }
            _ => false,
        })
    }

    /// Returns the first worker that is exclusive to a tenant in one step and open to another tenant in the
    /// other.
    fn shared_exclusive_worker<'a>(&'a self, other: &'a RulesStep) -> Option<&'a String> {
        let workers: BTreeSet<&String> =
            self.worker_access.keys().chain(other.worker_access.keys()).collect();
        workers.into_iter().find(|worker| {
            let (access, other_access) = (self.worker_access.get(*worker), other.worker_access.get(*worker));
            violates_exclusivity(access, other_access) || violates_exclusivity(other_access, access)
        })
    }

    /// Returns the largest sum of the shares of all members, if some apply this step and the others apply
    /// `other`. The sum is largest when as many members as permitted apply the step with the larger share.
    fn max_combined_quota(&self, other: &RulesStep, tenant: &str) -> f64 {
        let (own_quota, other_quota) = (self.member_quota(tenant), other.member_quota(tenant));
        let ((larger, members_with_larger), (smaller, members_with_smaller)) = if own_quota >= other_quota {
            ((own_quota, self.max_members), (other_quota, other.max_members))
        } else {
            ((other_quota, other.max_members), (own_quota, self.max_members))
        };
        let members = members_with_larger.max(members_with_smaller);
        f64::from(members_with_larger) * larger + f64::from(members - members_with_larger) * smaller
    }

    /// Returns a contradiction between this step's degraded rules and the `active` step: something that a
    /// disconnected scheduler could do although the active step forbids it. Returns `None` if the active step
    /// allows all of it.
    pub fn degraded_contradiction_with(&self, active: &RulesStep) -> Option<Contradiction> {
        for (tenant, quota) in &active.quotas {
            // The scheduler still counts as a member, so it must not use more than one member's share.
            let member_quota = quota / f64::from(active.quota_shares);
            if self.degraded_member_quota(tenant) > member_quota * (1.0 + ROUNDING_TOLERANCE) {
                return Some(Contradiction::QuotaExceeded(tenant.clone()));
            }
        }
        for worker in active.worker_access.keys() {
            if self.degraded_allows_worker(worker) {
                return Some(Contradiction::RestrictedWorker(worker.clone()));
            }
        }
        let may_send = self.degraded.allows_unlisted_workers || !self.degraded.allowed_workers.is_empty();
        if may_send && !self.key_placement.inputs().any(|inputs| preserves_placement(inputs, active)) {
            return Some(Contradiction::KeyPlacement);
        }
        None
    }
}

/// Returns whether the active step preserves the placement by `inputs`: every key that `inputs` place at a
/// worker that stays open still goes to that worker.
///
/// Rendezvous hashing places a key at the worker with the highest hash. Excluding a worker therefore moves
/// the keys of that worker and no others. A disconnected scheduler sends a key only if one of its allowed
/// workers ranks first.
fn preserves_placement(inputs: &PlacementInputs, active: &RulesStep) -> bool {
    active.key_placement.inputs().any(|active_inputs| {
        active_inputs.list_version == inputs.list_version
            && active_inputs.excluded_workers.is_superset(&inputs.excluded_workers)
    })
}

/// Returns whether `access` makes a worker exclusive to a tenant and `other` allows another tenant's work on
/// it.
fn violates_exclusivity(access: Option<&WorkerAccess>, other: Option<&WorkerAccess>) -> bool {
    let Some(WorkerAccess::Exclusive(tenant)) = access else { return false };
    match other {
        None => true,
        Some(WorkerAccess::Closed(_)) => false,
        Some(WorkerAccess::Reserved(other_tenant) | WorkerAccess::Exclusive(other_tenant)) => {
            other_tenant != tenant
        }
    }
}
