//! The rules document that an operator writes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The maximum number of tenants in a document.
pub const MAX_TENANTS: usize = 10_000;
/// The maximum number of workers in a document.
pub const MAX_WORKERS: usize = 20_000;

/// How the operator restricts the use of a worker. A worker without a state is open to all tenants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker finishes its current work and gets no new work.
    Cordoned,
    /// The worker gets no new work, and its attempts that have not started are cancelled.
    Drained,
    /// The worker finishes its current work, gets no new work and is not probed.
    Excluded,
    /// The worker gets new work of this tenant only. The tenant's new work goes only to workers that are
    /// pinned to it.
    Pinned(String),
}

/// What a scheduler may do after its lease has expired. A change that forbids any of it waits until no
/// scheduler without a lease can still do it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DegradedRules {
    /// The fraction of its share of each quota that the scheduler may use, from 0 to 1.
    pub quota_share: f64,
    /// The workers to which the scheduler may send new work.
    pub allowed_workers: BTreeSet<String>,
    /// Whether the scheduler may also use all workers that the rules do not name.
    pub allows_unlisted_workers: bool,
    /// Whether the scheduler may serve tenants that have no quota.
    pub allows_unlimited_tenants: bool,
}

impl Default for DegradedRules {
    /// Allows everything that the full rules allow: a disconnected scheduler keeps serving, and changes wait
    /// for it.
    fn default() -> Self {
        DegradedRules {
            quota_share: 1.0,
            allowed_workers: BTreeSet::new(),
            allows_unlisted_workers: true,
            allows_unlimited_tenants: true,
        }
    }
}

/// The bounds of the Retry-After value in a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryAfterRange {
    /// The lower bound in milliseconds.
    pub min_ms: u32,
    /// The upper bound in milliseconds.
    pub max_ms: u32,
}

/// The rules that an operator wants to be in effect.
///
/// Voters store this type, so the order and types of its fields are part of the storage format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RulesDocument {
    /// The number of schedulers. Each of them gets an equal share of each quota.
    pub schedulers: u32,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The bounds of the Retry-After value in a rejection.
    pub retry_after: RetryAfterRange,
    /// The quota of each limited tenant over all schedulers, in requests per second.
    pub quotas: BTreeMap<String, f64>,
    /// The workers that are not open to all tenants.
    pub workers: BTreeMap<String, WorkerState>,
    /// What a scheduler may do after its lease has expired.
    pub degraded: DegradedRules,
    /// The version of the worker list that determines the placement of keys.
    pub list_version: u64,
}

impl Default for RulesDocument {
    /// Returns a document for one scheduler without quotas, with all workers open to all tenants.
    fn default() -> Self {
        RulesDocument {
            schedulers: 1,
            max_attempts: 4,
            retry_after: RetryAfterRange { min_ms: 0, max_ms: 2_000 },
            quotas: BTreeMap::new(),
            workers: BTreeMap::new(),
            degraded: DegradedRules::default(),
            list_version: 0,
        }
    }
}
