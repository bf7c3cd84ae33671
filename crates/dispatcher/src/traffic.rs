//! What a dispatcher measures of its traffic: how much comes, and which of it is within its tenant's quota.

use crate::settings::{Class, Settings, Tenant};
use crate::time::{Nanos, NANOS_PER_SECOND};

/// Slots of a worker that has not reported them.
pub const DEFAULT_SLOTS: f64 = 4.0;
/// The share of a worker's slots that is in use on an ordinary day.
pub const TYPICAL_UTILIZATION: f64 = 0.5;
/// Memory (s) of the tenants' arrival rates.
const RATE_MEMORY_S: f64 = 12.0;
/// Burst (s of quota) that counts as within a quota.
const QUOTA_BURST_S: f64 = 3.0;
/// So many requests are within a quota at once at least: where a tenant's share is less than one a second,
/// two or three come together by chance every few seconds.
const MIN_QUOTA_BURST: f64 = 4.0;
/// Quota over use of the median tenant.
const QUOTA_MARGIN: f64 = 1.4;
/// How long (s) the arrival rate that quotas make likely counts beside the one seen.
const PRIOR_MEMORY_S: f64 = 5.0;
/// How far the measured share of the traffic may be from an even one, as multiples of that. Few tenants or a
/// short time measure it badly.
const MIN_SHARE_FACTOR: f64 = 0.3;
const MAX_SHARE_FACTOR: f64 = 4.0;
/// Tenants with a quota from which their median shows the traffic.
const MIN_TENANTS_FOR_MEDIAN: usize = 3;
/// An attempt is taken to run for so many times its class's latency objective until some have been measured.
const INITIAL_RUN_FACTOR: f64 = 2.0;
/// Weight of one more attempt in the mean run of a class.
const RUN_WEIGHT: f64 = 0.05;

/// Requests a second that come to this dispatcher: at first what the tenants' quotas or else the workers make
/// likely, then what came since the first request; infinite as long as nothing is known.
pub struct ArrivalRate {
    per_s: f64,
    /// The rate that the quotas make likely; 0 where there are none.
    expected_per_s: f64,
    /// The rate that each worker makes likely, where there are no quotas.
    expected_per_worker: Option<f64>,
    first_arrival: Option<Nanos>,
    arrivals: f64,
}

impl ArrivalRate {
    /// Creates the rate that the settings make likely.
    pub fn new(settings: &Settings) -> Self {
        let quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let expected_per_s = quotas / QUOTA_MARGIN / f64::from(settings.dispatchers);
        let per_s = if expected_per_s > 0.0 { expected_per_s } else { f64::INFINITY };
        // A run is taken for a second at most: a few dispatchers with long jobs are not many with little
        // traffic.
        let runs = settings
            .classes
            .iter()
            .map(|class| INITIAL_RUN_FACTOR * class.latency_objective as f64 / NANOS_PER_SECOND);
        let mean_run = (runs.sum::<f64>() / settings.classes.len().max(1) as f64).min(1.0);
        let per_worker = DEFAULT_SLOTS * TYPICAL_UTILIZATION / mean_run / f64::from(settings.dispatchers);
        let has_no_quotas = expected_per_s <= 0.0;
        let expected_per_worker = Some(per_worker).filter(|rate| has_no_quotas && rate.is_finite());
        ArrivalRate { per_s, expected_per_s, expected_per_worker, first_arrival: None, arrivals: 0.0 }
    }

    /// Notes how many workers are listed. Where there are no quotas, they are taken to be there for the
    /// traffic that fills them: without that, each of hundreds of dispatchers takes itself for one with much
    /// traffic until it has seen jobs for a while, and keeps probing every worker.
    pub fn record_worker_count(&mut self, workers: usize) {
        if let Some(rate) = self.expected_per_worker.filter(|_| self.arrivals < 1.0 && workers > 0) {
            self.per_s = rate * workers as f64;
        }
    }

    /// Counts a request.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.arrivals += 1.0;
        let elapsed_s = (now - *self.first_arrival.get_or_insert(now)) as f64 / NANOS_PER_SECOND;
        if self.expected_per_s > 0.0 {
            let arrivals = self.expected_per_s * PRIOR_MEMORY_S + self.arrivals;
            self.per_s = arrivals / (PRIOR_MEMORY_S + elapsed_s);
        } else if elapsed_s > 1.0 {
            self.per_s = self.arrivals / elapsed_s;
        }
    }

    /// Returns the rate.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }
}

/// A tenant's quota and its use at this dispatcher.
struct TenantQuota {
    quota_per_s: f64,
    rate_per_s: f64,
    last_request: Nanos,
    tokens: f64,
}

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUse {
    /// It is, or its tenant has none.
    WithinQuota,
    /// It exceeds the quota.
    OverQuota,
}

/// The tenants' quotas, of which this dispatcher grants its own share.
pub struct Quotas {
    even_share: f64,
    tenants: Vec<TenantQuota>,
}

impl Quotas {
    /// Creates the quotas with a full burst for each tenant.
    pub fn new(settings: &Settings) -> Self {
        let even_share = 1.0 / f64::from(settings.dispatchers);
        let unused = |tenant: &Tenant| TenantQuota {
            quota_per_s: tenant.quota_per_s,
            rate_per_s: tenant.quota_per_s * even_share / QUOTA_MARGIN,
            last_request: 0,
            tokens: (QUOTA_BURST_S * even_share * tenant.quota_per_s).max(MIN_QUOTA_BURST),
        };
        Quotas { even_share, tenants: settings.tenants.iter().map(unused).collect() }
    }

    /// Counts a tenant's request, and returns whether it is within the quota.
    pub fn charge(&mut self, tenant: Option<u32>, now: Nanos) -> QuotaUse {
        let own_share = self.own_share();
        let Some(tenant) = tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize)) else {
            return QuotaUse::WithinQuota;
        };
        let quota_per_s = tenant.quota_per_s * own_share;
        let elapsed_s = (now - tenant.last_request.min(now)) as f64 / NANOS_PER_SECOND;
        let elapsed_s = if tenant.last_request == 0 { 0.0 } else { elapsed_s };
        let decay = (-elapsed_s / RATE_MEMORY_S).exp();
        tenant.rate_per_s = tenant.rate_per_s * decay + 1.0 / RATE_MEMORY_S;
        let burst = (quota_per_s * QUOTA_BURST_S).max(MIN_QUOTA_BURST);
        tenant.tokens = (tenant.tokens + elapsed_s * quota_per_s).min(burst);
        tenant.last_request = now;
        if tenant.tokens < 1.0 {
            return QuotaUse::OverQuota;
        }
        tenant.tokens -= 1.0;
        QuotaUse::WithinQuota
    }

    /// Takes back the charge of a request within the quota that no worker could run.
    pub fn refund(&mut self, tenant: Option<u32>) {
        if let Some(tenant) = tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize)) {
            tenant.tokens += 1.0;
        }
    }

    /// Returns this dispatcher's share of the traffic. Most tenants stay within their quotas, so the median
    /// tenant shows it; a single tenant far over its quota does not move the median.
    fn own_share(&self) -> f64 {
        let with_quota = self.tenants.iter().filter(|tenant| tenant.quota_per_s > 0.0);
        let mut ratios: Vec<f64> = with_quota.map(|tenant| tenant.rate_per_s / tenant.quota_per_s).collect();
        if ratios.len() < MIN_TENANTS_FOR_MEDIAN {
            return self.even_share;
        }
        ratios.sort_by(f64::total_cmp);
        let measured = QUOTA_MARGIN * ratios[ratios.len() / 2];
        let (least, most) = (MIN_SHARE_FACTOR * self.even_share, MAX_SHARE_FACTOR * self.even_share);
        measured.clamp(least, most).min(1.0)
    }
}

/// What is measured of a class's requests.
pub(crate) struct ClassStats {
    /// Mean time (ns) of an attempt.
    mean_run_ns: f64,
    /// Longest time (ns) that a client waits.
    deadline: Nanos,
}

impl ClassStats {
    /// Creates the statistics with nothing measured.
    pub(crate) fn new(class: &Class) -> Self {
        let mean_run_ns = INITIAL_RUN_FACTOR * class.latency_objective as f64;
        ClassStats { mean_run_ns, deadline: class.deadline }
    }

    /// Takes in the time (ns) of an attempt that has run.
    pub(crate) fn record_run(&mut self, run_ns: f64) {
        self.mean_run_ns += RUN_WEIGHT * (run_ns - self.mean_run_ns);
    }

    /// Returns the mean time (ns) of an attempt.
    pub(crate) fn mean_run_ns(&self) -> f64 {
        self.mean_run_ns
    }

    /// Returns the longest time (ns) that a client waits.
    pub(crate) fn deadline(&self) -> Nanos {
        self.deadline
    }
}
