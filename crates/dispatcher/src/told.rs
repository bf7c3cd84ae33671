//! Rules on which dispatchers have agreed, as one of them may act on them: in full until a moment, and after that only
//! carefully. Looked up here; what follows from them is in `rules.rs`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::interface::{Nanos, Rules, WorkerRestriction};
use crate::SECOND;

/// A tenant's unused part is saved up for so long (s), or up to one request.
const SAVED: f64 = 0.25;

/// What a dispatcher was told last; all is allowed where it never was.
#[derive(Default)]
pub struct Told {
    rules: Option<Arc<Rules>>,
    until: Nanos,
    /// What each tenant may still send, and when that was counted. Nothing at the start: a dispatcher that starts again
    /// must not have its part twice.
    saved: BTreeMap<u32, (f64, Nanos)>,
}

impl Told {
    /// Tells whether anything may be different from now on.
    pub fn tell(&mut self, rules: Arc<Rules>, until: Nanos, now: Nanos) -> bool {
        let lapsed = self.until <= now;
        let same = self.rules.as_ref().is_some_and(|old| Arc::ptr_eq(old, &rules));
        self.until = until;
        self.rules = Some(rules);
        self.saved.retain(|tenant, _| {
            self.rules.as_ref().is_some_and(|rules| rules.tenant_rates_per_s.contains_key(tenant))
        });
        lapsed || !same
    }

    fn careful(&self, now: Nanos) -> bool {
        self.until <= now
    }

    /// Whether a tenant's new work may go to the worker of this name's hash.
    pub fn allows(&self, worker: u64, tenant: Option<u32>, now: Nanos) -> bool {
        let Some(rules) = &self.rules else { return true };
        let named = rules.worker_restrictions.get(&worker);
        let allowed = match named {
            None => tenant.is_none_or(|tenant| !rules.tenants_with_reserved_workers.contains(&tenant)),
            Some(WorkerRestriction::ReservedFor(of)) => tenant == Some(*of),
            Some(_) => false,
        };
        let careful = &rules.degraded;
        let covered = || {
            careful.allowed_workers.contains(&worker) || careful.allows_unlisted_workers && named.is_none()
        };
        allowed && (!self.careful(now) || covered())
    }

    /// Whether a worker is not even to be asked for its load.
    pub fn never(&self, worker: u64) -> bool {
        let put = self.rules.as_ref().and_then(|rules| rules.worker_restrictions.get(&worker));
        put == Some(&WorkerRestriction::Excluded)
    }

    /// Whether what has not started there is to be called back.
    pub fn drained(&self, worker: u64) -> bool {
        let put = self.rules.as_ref().and_then(|rules| rules.worker_restrictions.get(&worker));
        matches!(put, Some(WorkerRestriction::Drained | WorkerRestriction::Excluded))
    }

    /// Counts a request of a tenant; `Some` if it is beyond this dispatcher's part, with the time (ns) in which one more
    /// is saved up.
    pub fn beyond(&mut self, tenant: Option<u32>, now: Nanos) -> Option<Nanos> {
        let rules = self.rules.clone()?;
        let careful = self.careful(now);
        let limit = tenant.and_then(|tenant| Some((tenant, *rules.tenant_rates_per_s.get(&tenant)?)));
        let Some((tenant, whole)) = limit else {
            return (careful && !rules.degraded.allows_unlimited_tenants).then_some(SECOND as Nanos);
        };
        let rate = whole / f64::from(rules.quota_shares.max(1))
            * if careful { rules.degraded.quota_share } else { 1.0 };
        let (saved, at) = self.saved.get(&tenant).copied().unwrap_or((0.0, now));
        let saved = saved + rate * now.saturating_sub(at) as f64 / SECOND;
        let saved = saved.min((rate * SAVED).max(1.0));
        let takes = saved >= 1.0;
        self.saved.insert(tenant, (if takes { saved - 1.0 } else { saved }, now));
        let wait = ((1.0 - saved) / rate.max(1e-6)).min(3_600.0);
        (!takes).then_some((wait * SECOND) as Nanos)
    }

    /// Attempts that a request may have at most.
    pub fn attempts(&self) -> u32 {
        self.rules.as_ref().map_or(u32::MAX, |rules| rules.max_attempts)
    }

    /// A Retry-After within its bounds.
    pub fn retry_after(&self, wanted: Nanos) -> Nanos {
        self.rules.as_ref().map_or(wanted, |rules| wanted.max(rules.retry_after.0).min(rules.retry_after.1))
    }
}

impl Rules {
    /// Those of a dispatcher that knows of rules and has never had any: it has no part of anything.
    pub fn none(attempts: u32, retry_after: (Nanos, Nanos)) -> Rules {
        let careful = crate::interface::DegradedRules {
            quota_share: 0.0,
            allowed_workers: BTreeSet::new(),
            allows_unlisted_workers: false,
            allows_unlimited_tenants: false,
        };
        Rules {
            quota_shares: 1,
            max_attempts: attempts,
            retry_after,
            tenant_rates_per_s: BTreeMap::new(),
            worker_restrictions: BTreeMap::new(),
            tenants_with_reserved_workers: BTreeSet::new(),
            degraded: careful,
        }
    }
}
