//! Rules in the form in which schedulers act on them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::document::{DegradedRules, RetryAfterRange, RulesDocument, WorkerState};
use crate::key_placement::{KeyPlacement, PlacementInputs};
use crate::version::Version;

/// Which tenants' new work a worker may be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAccess {
    /// No tenant's; the [`WorkerState`] says what becomes of work that it already has.
    Closed(WorkerState),
    /// Only this tenant's, which may also go to other workers: the state before and after [`WorkerAccess::Exclusive`].
    Reserved(String),
    /// Only this tenant's, which goes to no other workers.
    Exclusive(String),
}

/// One step of a rollout: a complete set of rules.
///
/// Voters store this type and send it to lease holders: the order and types of its fields are part of both formats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RulesStep {
    /// The largest number of schedulers that may be members.
    pub max_members: u32,
    /// The number of equal shares into which each quota is divided; never fewer than there may be members.
    pub quota_shares: u32,
    /// The largest number of attempts for one request.
    pub max_attempts: u32,
    /// The bounds of the Retry-After that a rejection names.
    pub retry_after: RetryAfterRange,
    /// The quota of each limited tenant at all schedulers together, in requests per second.
    pub quotas: BTreeMap<String, f64>,
    /// The workers that are not open to all tenants.
    pub worker_access: BTreeMap<String, WorkerAccess>,
    /// How keyed jobs are placed.
    pub key_placement: KeyPlacement,
    /// What a scheduler may do whose lease has lapsed.
    pub degraded: DegradedRules,
}

/// A step with the version under which it was put in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedStep {
    /// The version of the step.
    pub version: Version,
    /// The rules of the step.
    pub step: RulesStep,
}

impl RulesStep {
    /// The rules of a document without regard to any step before it.
    pub fn from_document(document: &RulesDocument) -> RulesStep {
        let access =
            |(worker, state): (&String, &WorkerState)| (worker.clone(), WorkerAccess::from_state(state));
        RulesStep {
            max_members: document.schedulers,
            quota_shares: document.schedulers,
            max_attempts: document.max_attempts,
            retry_after: document.retry_after,
            quotas: document.quotas.clone(),
            worker_access: document.workers.iter().map(access).collect(),
            key_placement: KeyPlacement::Single(PlacementInputs {
                list_version: document.list_version,
                excluded_workers: document.workers.keys().cloned().collect(),
            }),
            degraded: open_degraded_rules(document),
        }
    }

    /// One member's share of a tenant's quota while its lease is valid; infinite for a tenant without a quota.
    pub fn member_quota(&self, tenant: &str) -> f64 {
        self.quotas.get(tenant).map_or(f64::INFINITY, |quota| quota / f64::from(self.quota_shares))
    }

    /// One member's share of a tenant's quota while its lease has lapsed; for a tenant without a quota infinite or zero.
    pub fn degraded_member_quota(&self, tenant: &str) -> f64 {
        match self.quotas.get(tenant) {
            Some(quota) => quota / f64::from(self.quota_shares) * self.degraded.quota_share,
            None if self.degraded.allows_unlimited_tenants => f64::INFINITY,
            None => 0.0,
        }
    }

    /// Whether a tenant's new work may be sent to a worker.
    pub fn allows(&self, worker: &str, tenant: &str) -> bool {
        match self.worker_access.get(worker) {
            None => !self.has_exclusive_worker(tenant),
            Some(WorkerAccess::Closed(_)) => false,
            Some(WorkerAccess::Reserved(reserved_for) | WorkerAccess::Exclusive(reserved_for)) => {
                reserved_for == tenant
            }
        }
    }

    /// Whether some worker is exclusive to a tenant.
    fn has_exclusive_worker(&self, tenant: &str) -> bool {
        let exclusive = WorkerAccess::Exclusive(tenant.to_owned());
        self.worker_access.values().any(|access| *access == exclusive)
    }

    /// Whether a tenant's new work may be sent to a worker while the lease has lapsed.
    pub fn degraded_allows(&self, worker: &str, tenant: &str) -> bool {
        self.degraded_covers(worker) && self.allows(worker, tenant)
    }

    /// Whether the degraded rules permit the use of a worker at all.
    pub(crate) fn degraded_covers(&self, worker: &str) -> bool {
        self.degraded.allowed_workers.contains(worker)
            || self.degraded.allows_unlisted_workers && !self.worker_access.contains_key(worker)
    }
}

impl WorkerAccess {
    /// The access to a worker that a document gives a state.
    fn from_state(state: &WorkerState) -> WorkerAccess {
        match state {
            WorkerState::Pinned(tenant) => WorkerAccess::Exclusive(tenant.clone()),
            closed => WorkerAccess::Closed(closed.clone()),
        }
    }
}

/// A document's degraded rules without the workers that are not open to all tenants.
fn open_degraded_rules(document: &RulesDocument) -> DegradedRules {
    let mut degraded = document.degraded.clone();
    degraded.allowed_workers.retain(|worker| !document.workers.contains_key(worker));
    degraded
}
