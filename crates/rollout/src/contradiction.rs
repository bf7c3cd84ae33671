//! The relation that says which steps may be in force at the same time.

use std::collections::BTreeSet;

use serde::Serialize;
use thiserror::Error;

use crate::key_placement::PlacementInputs;
use crate::step::{RulesStep, WorkerAccess};

/// Relative tolerance of comparisons with a quota, because sums of shares are rounded.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The reason why two steps may not be in force at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum Contradiction {
    /// The shares of this tenant's quota could add up to more than the quota.
    #[error("the parts of {0}'s limit could pass the whole")]
    QuotaExceeded(String),
    /// One step makes this worker exclusive to a tenant, and the other permits other tenants' work on it.
    #[error("{0} could get another tenant's work")]
    ReservedWorker(String),
    /// A key could be sent to two racks.
    #[error("keys could be sent to two racks")]
    KeyPlacement,
}

impl RulesStep {
    /// What schedulers that act on this step and others that act on `other` could do together that neither step allows;
    /// `None` if the two may be in force at the same time.
    pub fn contradiction_with(&self, other: &RulesStep) -> Option<Contradiction> {
        if let Some(tenant) = self.exceeded_quota(other) {
            return Some(Contradiction::QuotaExceeded(tenant.clone()));
        }
        if let Some(worker) = self.wrongly_shared_worker(other) {
            return Some(Contradiction::ReservedWorker(worker.clone()));
        }
        if !self.key_placement.is_compatible_with(&other.key_placement) {
            return Some(Contradiction::KeyPlacement);
        }
        None
    }

    /// The first tenant whose quota could be exceeded. A tenant without a quota in one of the steps has no limit.
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

    /// The first worker that is exclusive in one of the steps and open to another tenant in the other.
    fn wrongly_shared_worker<'a>(&'a self, other: &'a RulesStep) -> Option<&'a String> {
        let workers: BTreeSet<&String> =
            self.worker_access.keys().chain(other.worker_access.keys()).collect();
        workers.into_iter().find(|worker| {
            let (access, other_access) = (self.worker_access.get(*worker), other.worker_access.get(*worker));
            violates_exclusive_access(access, other_access) || violates_exclusive_access(other_access, access)
        })
    }

    /// The largest sum of the shares of all members, of which some act on this step and some on the other. As many as
    /// permitted act on the step with the larger shares.
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

    /// What a disconnected scheduler that acts on this step's degraded rules could do that the `active` step does not
    /// allow; `None` if the active step allows it all.
    pub fn degraded_contradiction_with(&self, active: &RulesStep) -> Option<Contradiction> {
        for (tenant, quota) in &active.quotas {
            // The scheduler is still counted as a member and must not take more than one member's share.
            let member_quota = quota / f64::from(active.quota_shares);
            if self.degraded_member_quota(tenant) > member_quota * (1.0 + ROUNDING_TOLERANCE) {
                return Some(Contradiction::QuotaExceeded(tenant.clone()));
            }
        }
        for worker in active.worker_access.keys() {
            if self.degraded_covers(worker) {
                return Some(Contradiction::ReservedWorker(worker.clone()));
            }
        }
        let sends = self.degraded.allows_unlisted_workers || !self.degraded.allowed_workers.is_empty();
        if sends && !self.key_placement.inputs().any(|inputs| is_kept_by(inputs, active)) {
            return Some(Contradiction::KeyPlacement);
        }
        None
    }
}

/// Whether the active step sends every key of the workers that stay open where these inputs place it. Rendezvous hashing
/// places a key at the worker of the highest hash: excluding a worker moves that worker's keys and no others, and a
/// disconnected scheduler sends a key only if one of its allowed workers ranks first.
fn is_kept_by(inputs: &PlacementInputs, active: &RulesStep) -> bool {
    active.key_placement.inputs().any(|active_inputs| {
        active_inputs.list_version == inputs.list_version
            && active_inputs.excluded_workers.is_superset(&inputs.excluded_workers)
    })
}

/// Whether one access makes a worker exclusive to a tenant and the other permits another tenant's work on it.
fn violates_exclusive_access(access: Option<&WorkerAccess>, other: Option<&WorkerAccess>) -> bool {
    let Some(WorkerAccess::Exclusive(tenant)) = access else { return false };
    match other {
        None => true,
        Some(WorkerAccess::Closed(_)) => false,
        Some(WorkerAccess::Reserved(other_tenant) | WorkerAccess::Exclusive(other_tenant)) => {
            other_tenant != tenant
        }
    }
}
