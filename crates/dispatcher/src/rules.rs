//! Rules that all dispatchers agree on.

use std::collections::{BTreeMap, BTreeSet};

use crate::time::Nanos;

/// Rules that all dispatchers agree on. They identify workers by
/// [`address_hash`](crate::WorkerEntry::address_hash) and tenants by their index in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Number of even shares into which the tenants' rates and the budget of a warming worker are divided. It
    /// replaces `dispatchers` of the settings.
    pub quota_shares: u32,
    /// Maximum number of attempts of a request, in addition to the limit in the settings.
    pub max_attempts: u32,
    /// Bounds of a Retry-After.
    pub retry_after: RetryAfterBounds,
    /// Requests a second that all dispatchers together accept from each tenant. A tenant without an entry has
    /// no limit.
    pub tenant_rates_per_s: BTreeMap<u32, f64>,
    /// Workers that are not open to all tenants.
    pub worker_restrictions: BTreeMap<u64, WorkerRestriction>,
    /// Tenants that use only the workers that are reserved for them.
    pub tenants_with_reserved_workers: BTreeSet<u32>,
    /// What applies once the rules have lapsed.
    pub degraded: DegradedRules,
}

/// Bounds of a Retry-After.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterBounds {
    /// Shortest Retry-After (ns).
    pub shortest: Nanos,
    /// Longest Retry-After (ns).
    pub longest: Nanos,
}

/// What a dispatcher may do after its rules have lapsed, while it does not know whether they still apply.
#[derive(Clone, Debug, PartialEq)]
pub struct DegradedRules {
    /// The part of the dispatcher's share of each tenant's rate that it still accepts, from 0 to 1.
    pub quota_share: f64,
    /// Workers that may be sent new work.
    pub allowed_workers: BTreeSet<u64>,
    /// Whether workers without a restriction may be sent new work as well.
    pub allows_unlisted_workers: bool,
    /// Whether tenants without a rate are accepted.
    pub allows_unlimited_tenants: bool,
}

/// Restricts which new work a worker may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRestriction {
    /// The worker is sent no new work.
    Cordoned,
    /// The worker is sent no new work, and its attempts that have not started are cancelled.
    Drained,
    /// The worker is sent no new work, its attempts that have not started are cancelled, and it is not
    /// probed.
    Excluded,
    /// The worker is sent new work of this tenant only.
    ReservedFor(u32),
}

impl Rules {
    /// Returns the rules of a dispatcher that expects rules and has not received any yet: it has no share of
    /// any quota.
    pub fn initial(max_attempts: u32, retry_after: RetryAfterBounds) -> Rules {
        let degraded = DegradedRules {
            quota_share: 0.0,
            allowed_workers: BTreeSet::new(),
            allows_unlisted_workers: false,
            allows_unlimited_tenants: false,
        };
        Rules {
            quota_shares: 1,
            max_attempts,
            retry_after,
            tenant_rates_per_s: BTreeMap::new(),
            worker_restrictions: BTreeMap::new(),
            tenants_with_reserved_workers: BTreeSet::new(),
            degraded,
        }
    }
}
