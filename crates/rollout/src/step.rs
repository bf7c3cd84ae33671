//! Rules in the form that schedulers apply.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::document::{DegradedRules, RetryAfterRange, RulesDocument, WorkerState};
use crate::key_placement::{KeyPlacement, PlacementInputs};
use crate::version::Version;

/// Which tenants' new work may be sent to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAccess {
    /// No new work. The [`WorkerState`] determines what happens to the work that the worker already has.
    Closed(WorkerState),
    /// Only this tenant's work, which may also go to other workers. This is the state before and after
    /// [`WorkerAccess::Exclusive`].
    Reserved(String),
    /// Only this tenant's work, which goes only to workers that are exclusive to it.
    Exclusive(String),
}

/// One step of a rollout: a complete set of rules.
///
/// Voters store this type and send it to lease holders, so the order and types of its fields are part of the
/// storage format and of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RulesStep {
    /// The maximum number of members.
    pub max_members: u32,
    /// The number of equal shares into which each quota is divided; at least `max_members`.
    pub quota_shares: u32,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The bounds of the Retry-After value in a rejection.
    pub retry_after: RetryAfterRange,
    /// The quota of each limited tenant over all schedulers, in requests per second.
    pub quotas: BTreeMap<String, f64>,
    /// The workers that are not open to all tenants.
    pub worker_access: BTreeMap<String, WorkerAccess>,
    /// How keyed jobs are placed.
    pub key_placement: KeyPlacement,
    /// What a scheduler may do after its lease has expired.
    pub degraded: DegradedRules,
}

/// A step with the version under which it was activated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedStep {
    /// The version of the step.
    pub version: Version,
    /// The rules of the step.
    pub step: RulesStep,
}

impl RulesStep {
    /// Converts a document to the step that contains its rules, regardless of the steps before it.
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
            degraded: degraded_rules_on_open_workers(document),
        }
    }

    /// Returns the share of a tenant's quota that one member may use while its lease is valid; infinite for a
    /// tenant without a quota.
    pub fn member_quota(&self, tenant: &str) -> f64 {
        self.quotas.get(tenant).map_or(f64::INFINITY, |quota| quota / f64::from(self.quota_shares))
    }

    /// Returns the share of a tenant's quota that one member may use after its lease has expired. For a
    /// tenant without a quota it is infinite or zero.
    pub fn degraded_member_quota(&self, tenant: &str) -> f64 {
        match self.quotas.get(tenant) {
            Some(quota) => quota / f64::from(self.quota_shares) * self.degraded.quota_share,
            None if self.degraded.allows_unlimited_tenants => f64::INFINITY,
            None => 0.0,
        }
    }

    /// Returns whether a tenant's new work may be sent to a worker.
    pub fn allows(&self, worker: &str, tenant: &str) -> bool {
        match self.worker_access.get(worker) {
            None => !self.has_exclusive_worker(tenant),
            Some(WorkerAccess::Closed(_)) => false,
            Some(WorkerAccess::Reserved(reserved_for) | WorkerAccess::Exclusive(reserved_for)) => {
                reserved_for == tenant
            }
        }
    }

    /// Returns whether any worker is exclusive to a tenant.
    fn has_exclusive_worker(&self, tenant: &str) -> bool {
        let exclusive = WorkerAccess::Exclusive(tenant.to_owned());
        self.worker_access.values().any(|access| *access == exclusive)
    }

    /// Returns whether a tenant's new work may be sent to a worker after the lease has expired.
    pub fn degraded_allows(&self, worker: &str, tenant: &str) -> bool {
        self.degraded_allows_worker(worker) && self.allows(worker, tenant)
    }

    /// Returns whether the degraded rules allow the use of a worker, regardless of the tenant.
    pub(crate) fn degraded_allows_worker(&self, worker: &str) -> bool {
        self.degraded.allowed_workers.contains(worker)
            || self.degraded.allows_unlisted_workers && !self.worker_access.contains_key(worker)
    }
}

impl WorkerAccess {
    /// Converts the state of a worker in a document to the access in a step.
    fn from_state(state: &WorkerState) -> WorkerAccess {
        match state {
            WorkerState::Pinned(tenant) => WorkerAccess::Exclusive(tenant.clone()),
            closed => WorkerAccess::Closed(closed.clone()),
        }
    }
}

/// Returns the degraded rules of a document without the allowed workers that are not open to all tenants.
fn degraded_rules_on_open_workers(document: &RulesDocument) -> DegradedRules {
    let mut degraded = document.degraded.clone();
    degraded.allowed_workers.retain(|worker| !document.workers.contains_key(worker));
    degraded
}
