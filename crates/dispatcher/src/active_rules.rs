//! The rules on which all dispatchers agree, as this one may act on them: in full until they lapse, and in
//! their degraded form after that.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::rules::{Rules, WorkerRestriction};
use crate::time::{Nanos, NANOS_PER_SECOND};

/// How long (s) a tenant's unused rate accumulates; one request always does.
const BURST_S: f64 = 0.25;
/// Wait (s) of a request for which there is no rate while the rules have lapsed.
const DEGRADED_WAIT_S: f64 = 1.0;
/// Longest wait (s) that is returned for a tenant over its rate.
const MAX_WAIT_S: f64 = 3_600.0;
/// Lowest rate by which a wait is divided.
const MIN_RATE_PER_S: f64 = 1e-6;

/// Whether anything may be different once rules have been taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RulesUpdate {
    /// The rules are new, or had lapsed.
    Changed,
    /// The validity of the same rules was extended.
    Extended,
}

/// Requests that a tenant may still send, as counted at a moment.
#[derive(Clone, Copy)]
struct TenantTokens {
    tokens: f64,
    counted_at: Nanos,
}

/// The rules that were last received. Everything is allowed where none ever were.
#[derive(Default)]
pub(crate) struct ActiveRules {
    rules: Option<Arc<Rules>>,
    valid_until: Nanos,
    /// Tokens of the tenants with a rate. They begin without any: a dispatcher that restarts must not have
    /// its share twice.
    tokens: BTreeMap<u32, TenantTokens>,
}

impl ActiveRules {
    /// Takes in rules, and returns whether anything may be different from now on.
    pub(crate) fn update(&mut self, rules: Arc<Rules>, valid_until: Nanos, now: Nanos) -> RulesUpdate {
        let had_lapsed = self.has_lapsed(now);
        let is_same = self.rules.as_ref().is_some_and(|old| Arc::ptr_eq(old, &rules));
        self.valid_until = valid_until;
        self.tokens.retain(|tenant, _| rules.tenant_rates_per_s.contains_key(tenant));
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

    /// Returns whether a tenant's new work may go to a worker.
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

    /// Returns whether a worker must not even be probed.
    pub(crate) fn excludes(&self, address_hash: u64) -> bool {
        self.restriction(address_hash) == Some(&WorkerRestriction::Excluded)
    }

    /// Returns whether attempts that have not started at a worker are to be cancelled.
    pub(crate) fn drains(&self, address_hash: u64) -> bool {
        let restriction = self.restriction(address_hash);
        matches!(restriction, Some(WorkerRestriction::Drained | WorkerRestriction::Excluded))
    }

    /// Counts a tenant's request. If it exceeds this dispatcher's share of the tenant's rate, returns how
    /// long (ns) it takes until one more is allowed.
    pub(crate) fn charge(&mut self, tenant: Option<u32>, now: Nanos) -> Option<Nanos> {
        let rules = self.rules.clone()?;
        let has_lapsed = self.has_lapsed(now);
        let rate = |tenant: u32| Some((tenant, *rules.tenant_rates_per_s.get(&tenant)?));
        let Some((tenant, total_rate)) = tenant.and_then(rate) else {
            let is_rejected = has_lapsed && !rules.degraded.allows_unlimited_tenants;
            return is_rejected.then_some((DEGRADED_WAIT_S * NANOS_PER_SECOND) as Nanos);
        };
        let validity_factor = if has_lapsed { rules.degraded.quota_share } else { 1.0 };
        let rate = total_rate / f64::from(rules.quota_shares.max(1)) * validity_factor;
        let unused = TenantTokens { tokens: 0.0, counted_at: now };
        let old = self.tokens.get(&tenant).copied().unwrap_or(unused);
        let elapsed = now.saturating_sub(old.counted_at) as f64;
        let tokens = old.tokens + rate * elapsed / NANOS_PER_SECOND;
        let tokens = tokens.min((rate * BURST_S).max(1.0));
        if tokens >= 1.0 {
            self.tokens.insert(tenant, TenantTokens { tokens: tokens - 1.0, counted_at: now });
            return None;
        }
        self.tokens.insert(tenant, TenantTokens { tokens, counted_at: now });
        let wait_s = ((1.0 - tokens) / rate.max(MIN_RATE_PER_S)).min(MAX_WAIT_S);
        Some((wait_s * NANOS_PER_SECOND) as Nanos)
    }

    /// Returns the attempts that a request may have at most.
    pub(crate) fn max_attempts(&self) -> u32 {
        self.rules.as_ref().map_or(u32::MAX, |rules| rules.max_attempts)
    }

    /// Returns a Retry-After (ns) within the bounds of the rules.
    pub(crate) fn bounded_retry_after(&self, wanted: Nanos) -> Nanos {
        self.rules
            .as_ref()
            .map_or(wanted, |rules| wanted.max(rules.retry_after.shortest).min(rules.retry_after.longest))
    }
}
