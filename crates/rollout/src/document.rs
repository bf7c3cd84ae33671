//! The rules as an operator writes them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The largest number of tenants that a document may name.
pub const MAX_TENANTS: usize = 10_000;
/// The largest number of workers that a document may name.
pub const MAX_WORKERS: usize = 20_000;

/// How the operator restricts the use of a worker; one without a state is open to all tenants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker finishes the work that it has and gets no new work.
    Cordoned,
    /// As cordoned, and attempts that have not started are cancelled.
    Drained,
    /// As cordoned, and the worker is not probed either.
    Excluded,
    /// The worker gets new work of this tenant only, and the tenant's new work goes to no other worker.
    Pinned(String),
}

/// What a scheduler may do while its lease has lapsed. A change of the rules that would take any of it away waits until no
/// scheduler without a lease may still do it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DegradedRules {
    /// The fraction of its quota shares that the scheduler may use, from 0 to 1.
    pub quota_share: f64,
    /// The workers to which it may send new work.
    pub allowed_workers: BTreeSet<String>,
    /// Whether it may also use all workers that the rules do not name.
    pub allows_unlisted_workers: bool,
    /// Whether it may serve tenants that have no quota.
    pub allows_unlimited_tenants: bool,
}

impl Default for DegradedRules {
    /// Allows everything that the full rules allow: the scheduler keeps serving, and changes wait for it.
    fn default() -> Self {
        DegradedRules {
            quota_share: 1.0,
            allowed_workers: BTreeSet::new(),
            allows_unlisted_workers: true,
            allows_unlimited_tenants: true,
        }
    }
}

/// The bounds of the Retry-After that a rejection names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryAfterRange {
    /// The shortest, in milliseconds.
    pub min_ms: u32,
    /// The longest, in milliseconds.
    pub max_ms: u32,
}

/// The rules that an operator wants in force.
///
/// Voters store this type: the order and types of its fields are part of the storage format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RulesDocument {
    /// The number of schedulers, each of which gets an equal share of each quota.
    pub schedulers: u32,
    /// The largest number of attempts for one request.
    pub max_attempts: u32,
    /// The bounds of the Retry-After that a rejection names.
    pub retry_after: RetryAfterRange,
    /// The quota of each limited tenant at all schedulers together, in requests per second.
    pub quotas: BTreeMap<String, f64>,
    /// The workers that are not open to all tenants.
    pub workers: BTreeMap<String, WorkerState>,
    /// What a scheduler may do whose lease has lapsed.
    pub degraded: DegradedRules,
    /// The version of the worker list by which keys are placed.
    pub list_version: u64,
}

impl Default for RulesDocument {
    /// One scheduler, no quotas, all workers open to all tenants.
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
