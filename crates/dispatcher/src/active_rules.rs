//! The most recent rules that all dispatchers agree on, and how this dispatcher applies them: in full until
//! they lapse, and in their degraded form afterwards.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::rules::{Rules, WorkerRestriction};
use crate::time::{Nanos, NANOS_PER_SECOND};

/// Time (s) for which a tenant's unused rate accumulates. A bucket always has room for at least one request.
const BURST_S: f64 = 0.25;
/// Retry-After (s) of a request that is rejected because the rules have lapsed and its tenant has no rate.
const DEGRADED_RETRY_AFTER_S: f64 = 1.0;
/// Longest Retry-After (s) for a tenant that exceeds its rate.
const MAX_RETRY_AFTER_S: f64 = 3_600.0;
/// Lowest rate by which a wait is divided, so that the wait stays finite.
const MIN_RATE_PER_S: f64 = 1e-6;

/// The effect of received rules on decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RulesUpdate {
    /// The rules are new or had lapsed, so decisions may change.
    Changed,
    /// The validity of the same rules was extended, and decisions stay the same.
    Extended,
}

/// A tenant's token bucket, with its level at the time when it was last updated.
#[derive(Clone, Copy)]
struct TenantBucket {
    tokens: f64,
    updated_at: Nanos,
}

/// The rules that were last received. Until any are received, everything is allowed.
#[derive(Default)]
pub(crate) struct ActiveRules {
    rules: Option<Arc<Rules>>,
    valid_until: Nanos,
    /// Token buckets of the tenants with a rate. They start empty, because a dispatcher that restarts must
    /// not get its share twice.
    buckets: BTreeMap<u32, TenantBucket>,
}

impl ActiveRules {
    /// Replaces the rules or extends their validity, and returns the effect on decisions.
    pub(crate) fn update(&mut self, rules: Arc<Rules>, valid_until: Nanos, now: Nanos) -> RulesUpdate {
        let had_lapsed = self.has_lapsed(now);
        let is_same = self.rules.as_ref().is_some_and(|old| Arc::ptr_eq(old, &rules));
        self.valid_until = valid_until;
        self.buckets.retain(|tenant, _| rules.tenant_rates_per_s.contains_key(tenant));
        self.rules = Some(rules);
        if had_lapsed || !is_same {
            RulesUpdate::Changed
        } else {
            RulesUpdate::Extended
        }
    }

    fn has_lapsed(&self, now: Nanos) -> bool {
        self.valid_until <= now
    }

    /// Returns the restriction of a worker, if it has one.
    fn restriction(&self, address_hash: u64) -> Option<&WorkerRestriction> {
        self.rules.as_ref().and_then(|rules| rules.worker_restrictions.get(&address_hash))
    }

    /// Returns whether new work of a tenant may be sent to a worker.
    pub(crate) fn allows(&self, address_hash: u64, tenant: Option<u32>, now: Nanos) -> bool {
        let Some(rules) = &self.rules else { return true };
        let restriction = self.restriction(address_hash);
        let is_open_to_tenant = match restriction {
            None => tenant.is_none_or(|tenant| !rules.tenants_with_reserved_workers.contains(&tenant)),
            Some(WorkerRestriction::ReservedFor(owner)) => tenant == Some(*owner),
            Some(_) => false,
        };
        if !is_open_to_tenant || !self.has_lapsed(now) {
            return is_open_to_tenant;
        }
        let degraded = &rules.degraded;
        degraded.allowed_workers.contains(&address_hash)
            || degraded.allows_unlisted_workers && restriction.is_none()
    }

    /// Returns whether a worker is excluded, so that it must not be probed either.
    pub(crate) fn excludes(&self, address_hash: u64) -> bool {
        self.restriction(address_hash) == Some(&WorkerRestriction::Excluded)
    }

    /// Returns whether attempts that a worker has not started must be cancelled.
    pub(crate) fn drains(&self, address_hash: u64) -> bool {
        let restriction = self.restriction(address_hash);
        matches!(restriction, Some(WorkerRestriction::Drained | WorkerRestriction::Excluded))
    }

    /// Counts a request of a tenant. If the request exceeds this dispatcher's share of the tenant's rate,
    /// returns the time (ns) until another request is allowed.
    pub(crate) fn charge(&mut self, tenant: Option<u32>, now: Nanos) -> Option<Nanos> {
        let rules = self.rules.clone()?;
        let has_lapsed = self.has_lapsed(now);
        let tenant_rate = |tenant: u32| Some((tenant, *rules.tenant_rates_per_s.get(&tenant)?));
        let Some((tenant, total_rate)) = tenant.and_then(tenant_rate) else {
            let is_rejected = has_lapsed && !rules.degraded.allows_unlimited_tenants;
            return is_rejected.then_some((DEGRADED_RETRY_AFTER_S * NANOS_PER_SECOND) as Nanos);
        };
        let validity_factor = if has_lapsed { rules.degraded.quota_share } else { 1.0 };
        let rate = total_rate / f64::from(rules.quota_shares.max(1)) * validity_factor;
        let empty = TenantBucket { tokens: 0.0, updated_at: now };
        let bucket = self.buckets.get(&tenant).copied().unwrap_or(empty);
        let elapsed = now.saturating_sub(bucket.updated_at) as f64;
        let tokens = bucket.tokens + rate * elapsed / NANOS_PER_SECOND;
        let tokens = tokens.min((rate * BURST_S).max(1.0));
        if tokens >= 1.0 {
            self.buckets.insert(tenant, TenantBucket { tokens: tokens - 1.0, updated_at: now });
            return None;
        }
        self.buckets.insert(tenant, TenantBucket { tokens, updated_at: now });
        let wait_s = ((1.0 - tokens) / rate.max(MIN_RATE_PER_S)).min(MAX_RETRY_AFTER_S);
        Some((wait_s * NANOS_PER_SECOND) as Nanos)
    }

    /// Returns the maximum number of attempts of a request.
    pub(crate) fn max_attempts(&self) -> u32 {
        self.rules.as_ref().map_or(u32::MAX, |rules| rules.max_attempts)
    }

    /// Limits a Retry-After (ns) to the bounds of the rules.
    pub(crate) fn bounded_retry_after(&self, retry_after_ns: Nanos) -> Nanos {
        self.rules.as_ref().map_or(retry_after_ns, |rules| {
            retry_after_ns.max(rules.retry_after.shortest).min(rules.retry_after.longest)
        })
    }
}
