//! Rules on which all dispatchers agree.

use std::collections::{BTreeMap, BTreeSet};

use crate::time::Nanos;

/// Rules on which all dispatchers agree. They name workers by
/// [`address_hash`](crate::WorkerEntry::address_hash) and tenants by their index in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Into how many even shares the tenants' rates, and what a warming worker may be sent, are divided. It
    /// takes the place of the settings' `dispatchers`.
    pub quota_shares: u32,
    /// Attempts that a request may have at most, beside the limit in the settings.
    pub max_attempts: u32,
    /// Bounds of a Retry-After.
    pub retry_after: RetryAfterBounds,
    /// Requests a second that all dispatchers together accept from a tenant.
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
    /// The shortest (ns).
    pub shortest: Nanos,
    /// The longest (ns).
    pub longest: Nanos,
}

/// What a dispatcher may do while it cannot know whether its rules still apply.
#[derive(Clone, Debug, PartialEq)]
pub struct DegradedRules {
    /// The part of its share of each tenant's rate that the dispatcher still accepts, from 0 to 1.
    pub quota_share: f64,
    /// Workers that may be sent new work.
    pub allowed_workers: BTreeSet<u64>,
    /// Whether workers without a restriction may be sent new work too.
    pub allows_unlisted_workers: bool,
    /// Whether tenants without a rate are accepted.
    pub allows_unlimited_tenants: bool,
}

/// Whose new work a worker may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRestriction {
    /// Nobody's.
    Cordoned,
    /// Nobody's, and attempts that have not started are cancelled.
    Drained,
    /// Nobody's, attempts that have not started are cancelled, and the worker is not probed.
    Excluded,
    /// Only this tenant's.
    ReservedFor(u32),
}

impl Rules {
    /// Returns the rules of a dispatcher that knows that there are rules and has never had any: it has no
    /// share of anything.
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
