//! Measures the dispatcher's traffic: its arrival rate, its runs, and which requests are within their
//! tenants' quotas.

use crate::settings::{Class, Settings, Tenant};
use crate::time::{Nanos, NANOS_PER_SECOND};

/// Slots that are assumed for a worker that has not reported them.
pub const DEFAULT_SLOTS: f64 = 4.0;
/// Share of a worker's slots that is assumed to be in use on an ordinary day.
pub const TYPICAL_UTILIZATION: f64 = 0.5;
/// Time constant (s) of the tenants' decaying arrival rates.
const RATE_TIME_CONSTANT_S: f64 = 12.0;
/// Burst that counts as within a quota, as the time (s) in which the quota grants as many requests.
const QUOTA_BURST_S: f64 = 3.0;
/// Smallest burst (requests) that counts as within a quota. Where a tenant's share is less than one request a
/// second, two or three requests arrive together by chance every few seconds.
const MIN_QUOTA_BURST: f64 = 4.0;
/// Assumed ratio of the median tenant's quota to its rate of requests.
const QUOTA_MARGIN: f64 = 1.4;
/// Weight of the arrival rate that is expected from the quotas, as a time (s) of observation.
const PRIOR_WEIGHT_S: f64 = 5.0;
/// Bounds of the measured share of the traffic, as multiples of an even share. With few tenants or after a
/// short time, the measurement is inaccurate.
const MIN_SHARE_FACTOR: f64 = 0.3;
const MAX_SHARE_FACTOR: f64 = 4.0;
/// Least number of tenants with a quota at which their median represents the traffic.
const MIN_TENANTS_FOR_MEDIAN: usize = 3;
/// Assumed run of an attempt until runs have been measured, as a multiple of its class's latency objective.
const INITIAL_RUN_FACTOR: f64 = 2.0;
/// Weight of a new attempt in the moving average of a class's runs.
const RUN_WEIGHT: f64 = 0.05;

/// The rate (requests a second) at which requests arrive at this dispatcher. At first it is the rate that the
/// tenants' quotas or else the number of workers make likely, and later the rate since the first request. It
/// is infinite while nothing is known.
pub struct ArrivalRate {
    per_s: f64,
    /// The rate that the quotas make likely; 0 without quotas.
    expected_per_s: f64,
    /// The rate that each worker makes likely; `None` where there are quotas.
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
        // A run is assumed to take at most a second, so that a few dispatchers with long jobs are not
        // mistaken for many dispatchers with low traffic.
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

    /// Records the number of listed workers. Without quotas, the workers are assumed to be there for traffic
    /// that fills them. Without this assumption, each of hundreds of dispatchers would assume high traffic
    /// until it had seen jobs for a while, and would keep probing every worker.
    pub fn record_worker_count(&mut self, worker_count: usize) {
        if let Some(rate) = self.expected_per_worker.filter(|_| self.arrivals < 1.0 && worker_count > 0) {
            self.per_s = rate * worker_count as f64;
        }
    }

    /// Counts an arriving request.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.arrivals += 1.0;
        let elapsed_s = (now - *self.first_arrival.get_or_insert(now)) as f64 / NANOS_PER_SECOND;
        if self.expected_per_s > 0.0 {
            let arrivals = self.expected_per_s * PRIOR_WEIGHT_S + self.arrivals;
            self.per_s = arrivals / (PRIOR_WEIGHT_S + elapsed_s);
        } else if elapsed_s > 1.0 {
            self.per_s = self.arrivals / elapsed_s;
        }
    }

    /// Returns the rate (requests a second).
    pub fn per_s(&self) -> f64 {
        self.per_s
    }
}

/// A tenant's quota, and its use at this dispatcher.
struct TenantQuota {
    quota_per_s: f64,
    rate_per_s: f64,
    last_request_at: Nanos,
    tokens: f64,
}

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUse {
    /// The request is within the quota, or its tenant has none.
    WithinQuota,
    /// The request exceeds the quota.
    OverQuota,
}

/// The tenants' quotas. This dispatcher grants its own share of each.
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
            last_request_at: 0,
            tokens: (QUOTA_BURST_S * even_share * tenant.quota_per_s).max(MIN_QUOTA_BURST),
        };
        Quotas { even_share, tenants: settings.tenants.iter().map(unused).collect() }
    }

    /// Counts a tenant's request, and returns whether the request is within the quota.
    pub fn charge(&mut self, tenant: Option<u32>, now: Nanos) -> QuotaUse {
        let own_share = self.own_share();
        let Some(tenant) = tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize)) else {
            return QuotaUse::WithinQuota;
        };
        let quota_per_s = tenant.quota_per_s * own_share;
        let elapsed_s = (now - tenant.last_request_at.min(now)) as f64 / NANOS_PER_SECOND;
        let elapsed_s = if tenant.last_request_at == 0 { 0.0 } else { elapsed_s };
        let decay = (-elapsed_s / RATE_TIME_CONSTANT_S).exp();
        tenant.rate_per_s = tenant.rate_per_s * decay + 1.0 / RATE_TIME_CONSTANT_S;
        let burst = (quota_per_s * QUOTA_BURST_S).max(MIN_QUOTA_BURST);
        tenant.tokens = (tenant.tokens + elapsed_s * quota_per_s).min(burst);
        tenant.last_request_at = now;
        if tenant.tokens < 1.0 {
            return QuotaUse::OverQuota;
        }
        tenant.tokens -= 1.0;
        QuotaUse::WithinQuota
    }

    /// Reverts the charge of a request within the quota that no worker could run.
    pub fn refund(&mut self, tenant: Option<u32>) {
        if let Some(tenant) = tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize)) {
            tenant.tokens += 1.0;
        }
    }

    /// Returns this dispatcher's share of the traffic, estimated from the median tenant. Most tenants stay
    /// within their quotas, and a single tenant far above its quota does not move the median.
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

/// Measurements of a class's requests.
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

    /// Records the time (ns) of an attempt that has run.
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
