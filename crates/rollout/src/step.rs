//! What schedulers act on at a time, and when two of them contradict each other.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{DegradedRules, RulesDocument, WorkerState};

/// Whom a worker may be sent new work of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAccess {
    /// Nobody; see the [`WorkerState`].
    Closed(WorkerState),
    /// Only this tenant, which still goes to others too: a step on the way to or from [`WorkerAccess::Exclusive`].
    Reserved(String),
    /// Only this tenant, which goes to no other worker.
    Exclusive(String),
}

/// What keys are placed by: the list of workers and those that are not open to all. Who has another set places some
/// keys at other racks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementInputs {
    pub list_version: u64,
    pub excluded_workers: BTreeSet<String>,
}

/// How keyed jobs find their rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyPlacement {
    Single(PlacementInputs),
    /// Only where both sets place a key at the same rack; other keyed jobs wait for the next step.
    Transition(PlacementInputs, PlacementInputs),
}

/// Rules as they are acted on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RulesStep {
    /// Schedulers that may hold a part at a time ...
    pub max_members: u32,
    /// ... and into how many parts each limit is divided: never fewer.
    pub quota_shares: u32,
    pub max_attempts: u32,
    pub retry_after_ms: (u32, u32),
    /// Requests a second at all schedulers together.
    pub quotas: BTreeMap<String, f64>,
    /// Workers that are not open to all.
    pub worker_access: BTreeMap<String, WorkerAccess>,
    pub key_placement: KeyPlacement,
    pub degraded: DegradedRules,
}

/// Why two steps may not be in force at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Contradiction {
    /// All parts of a tenant's limit together could pass the whole.
    QuotaExceeded(String),
    /// One keeps this worker for a tenant, and the other sends it another's work.
    ReservedWorker(String),
    /// A key could be sent to two racks.
    KeyPlacement,
}

impl std::fmt::Display for Contradiction {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Contradiction::QuotaExceeded(tenant) => {
                write!(f, "the parts of {tenant}'s limit could pass the whole")
            }
            Contradiction::ReservedWorker(worker) => write!(f, "{worker} could get another tenant's work"),
            Contradiction::KeyPlacement => write!(f, "keys could be sent to two racks"),
        }
    }
}

/// Sums of parts are rounded.
const ROUNDING: f64 = 1e-9;

impl RulesStep {
    /// The one step of a document that nothing went before.
    pub fn from_document(document: &RulesDocument) -> RulesStep {
        let uses = document.workers.iter().map(|(worker, standing)| {
            let put = match standing {
                WorkerState::Pinned(tenant) => WorkerAccess::Exclusive(tenant.clone()),
                closed => WorkerAccess::Closed(closed.clone()),
            };
            (worker.clone(), put)
        });
        RulesStep {
            max_members: document.schedulers,
            quota_shares: document.schedulers,
            max_attempts: document.max_attempts,
            retry_after_ms: document.retry_after_ms,
            quotas: document.quotas.clone(),
            worker_access: uses.collect(),
            key_placement: KeyPlacement::Single(PlacementInputs {
                list_version: document.list_version,
                excluded_workers: document.workers.keys().cloned().collect(),
            }),
            degraded: DegradedRules {
                allows_unlisted_workers: document.degraded.allows_unlisted_workers,
                allows_unlimited_tenants: document.degraded.allows_unlimited_tenants,
                quota_share: document.degraded.quota_share,
                allowed_workers: (document.degraded.allowed_workers.iter())
                    .filter(|worker| !document.workers.contains_key(*worker))
                    .cloned()
                    .collect(),
            },
        }
    }

    /// A scheduler's part of a tenant's limit, with a lease; infinite for a tenant that has none.
    pub fn member_quota(&self, tenant: &str) -> f64 {
        self.quotas.get(tenant).map_or(f64::INFINITY, |quota| quota / f64::from(self.quota_shares))
    }

    /// Its part while it is cut off.
    pub fn degraded_member_quota(&self, tenant: &str) -> f64 {
        let without = if self.degraded.allows_unlimited_tenants { f64::INFINITY } else { 0.0 };
        self.quotas
            .get(tenant)
            .map_or(without, |quota| quota / f64::from(self.quota_shares) * self.degraded.quota_share)
    }

    /// Whether a tenant's new work may go to a worker.
    pub fn allows(&self, worker: &str, tenant: &str) -> bool {
        let owned = self.worker_access.values().any(|put| *put == WorkerAccess::Exclusive(tenant.to_owned()));
        match self.worker_access.get(worker) {
            None => !owned,
            Some(WorkerAccess::Closed(_)) => false,
            Some(WorkerAccess::Reserved(of) | WorkerAccess::Exclusive(of)) => of == tenant,
        }
    }

    /// The same while the scheduler is cut off.
    pub fn degraded_allows(&self, worker: &str, tenant: &str) -> bool {
        self.degraded_covers(worker) && self.allows(worker, tenant)
    }

    fn degraded_covers(&self, worker: &str) -> bool {
        self.degraded.allowed_workers.contains(worker)
            || self.degraded.allows_unlisted_workers && !self.worker_access.contains_key(worker)
    }

    /// Whether a scheduler that acts on this one and others that act on `other` may together do what neither allows.
    pub fn contradiction_with(&self, other: &RulesStep) -> Option<Contradiction> {
        let tenants: BTreeSet<&String> = self.quotas.keys().chain(other.quotas.keys()).collect();
        for tenant in tenants {
            let (Some(a), Some(b)) = (self.quotas.get(tenant), other.quotas.get(tenant)) else { continue };
            if self.max_combined_quota(other, tenant) > a.max(*b) * (1.0 + ROUNDING) {
                return Some(Contradiction::QuotaExceeded(tenant.clone()));
            }
        }
        let workers: BTreeSet<&String> =
            self.worker_access.keys().chain(other.worker_access.keys()).collect();
        for worker in workers {
            if foreign(self.worker_access.get(worker), other.worker_access.get(worker))
                || foreign(other.worker_access.get(worker), self.worker_access.get(worker))
            {
                return Some(Contradiction::ReservedWorker(worker.clone()));
            }
        }
        (!self.key_placement.agrees(&other.key_placement)).then_some(Contradiction::KeyPlacement)
    }

    /// The most that all who sit at the table come to, some acting on this and some on the other.
    fn max_combined_quota(&self, other: &RulesStep, tenant: &str) -> f64 {
        let (mine, theirs) = (self.member_quota(tenant), other.member_quota(tenant));
        let ((large, many), (small, few)) = match mine >= theirs {
            true => ((mine, self.max_members), (theirs, other.max_members)),
            false => ((theirs, other.max_members), (mine, self.max_members)),
        };
        let all = many.max(few);
        f64::from(many) * large + f64::from(all - many) * small
    }

    /// Whether a scheduler that is cut off, and acts on this one's careful rules, may do what `now` does not allow.
    pub fn degraded_contradiction_with(&self, now: &RulesStep) -> Option<Contradiction> {
        for (tenant, quota) in &now.quotas {
            // Its seat is its own: it must not take more than the part that goes with that.
            if self.degraded_member_quota(tenant) > quota / f64::from(now.quota_shares) * (1.0 + ROUNDING) {
                return Some(Contradiction::QuotaExceeded(tenant.clone()));
            }
        }
        for worker in now.worker_access.keys() {
            if self.degraded_covers(worker) {
                return Some(Contradiction::ReservedWorker(worker.clone()));
            }
        }
        // Keys are placed by the hash that ranks highest: one that is taken out moves its own keys and no other, and
        // the cut off send keys only where their careful workers rank first.
        let kept = |mine: &PlacementInputs| {
            now.key_placement.sets().any(|set| {
                set.list_version == mine.list_version
                    && set.excluded_workers.is_superset(&mine.excluded_workers)
            })
        };
        let sends = self.degraded.allows_unlisted_workers || !self.degraded.allowed_workers.is_empty();
        (sends && !self.key_placement.sets().any(kept)).then_some(Contradiction::KeyPlacement)
    }
}

/// Whether one keeps a worker for a tenant to which the other sends somebody else's work.
fn foreign(kept: Option<&WorkerAccess>, other: Option<&WorkerAccess>) -> bool {
    let Some(WorkerAccess::Exclusive(tenant)) = kept else { return false };
    match other {
        None => true,
        Some(WorkerAccess::Closed(_)) => false,
        Some(WorkerAccess::Reserved(of) | WorkerAccess::Exclusive(of)) => of != tenant,
    }
}

impl KeyPlacement {
    fn sets(&self) -> impl Iterator<Item = &PlacementInputs> {
        let (first, second) = match self {
            KeyPlacement::Single(set) => (set, None),
            KeyPlacement::Transition(old, new) => (old, Some(new)),
        };
        std::iter::once(first).chain(second)
    }

    /// Whether no key is sent to two racks: both place by one set, or each key that one sends the other would send to
    /// the same rack or not at all.
    fn agrees(&self, other: &KeyPlacement) -> bool {
        match (self, other) {
            (KeyPlacement::Single(a), KeyPlacement::Single(b)) => a == b,
            (KeyPlacement::Single(set), KeyPlacement::Transition(old, new))
            | (KeyPlacement::Transition(old, new), KeyPlacement::Single(set)) => set == old || set == new,
            (KeyPlacement::Transition(a, b), KeyPlacement::Transition(c, d)) => {
                a == c || a == d || b == c || b == d
            }
        }
    }
}
