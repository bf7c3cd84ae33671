//! Limits what a worker that has just started may be sent.
//!
//! A warming worker has only a part of its capacity, and fails when all dispatchers together send it too
//! much. Dispatchers do not communicate: each limits its own rate so that the sum stays within the limits
//! that the service guarantees. [`send_rate`] computes that rate from what a warm worker is measured to
//! complete ([`crate::service_rate`]). A dispatcher with high traffic keeps to it with a [`TokenBucket`], and
//! a dispatcher with low traffic with
//! [`SlowStartAdmission`](crate::slow_start_admission::SlowStartAdmission).

use crate::service_rate::ServiceRates;
use crate::settings::{ServiceLimits, Settings};
use crate::time::{Nanos, NANOS_PER_SECOND};
use crate::worker_entry::WorkerEntry;

/// Largest share of a warming worker's overload limit that dispatchers use. Its normal capacity is below that
/// limit.
const MAX_OVERLOAD_LIMIT_SHARE: f64 = 0.5;
/// Capacity of a token bucket, as a share of its refill in a window.
const BURST_SHARE: f64 = 0.5;
/// A window exceeds the overload limit of a warming worker with a probability below
/// exp(-`OVERLOAD_EXPONENT`).
const OVERLOAD_EXPONENT: f64 = 11.5;
/// Largest number of dispatchers with token buckets to which the Poisson bound is not applied. In simulation,
/// they stay below the limit when they may send half of the N allowed jobs in total. The bound would leave
/// warming workers with long jobs next to nothing.
const MAX_DISPATCHERS_WITHOUT_BOUND: f64 = 20.0;
/// Iterations for the mean of the Poisson distribution, after which it no longer changes much.
const POISSON_ITERATIONS: u32 = 4;
/// Shortest window (s), so that rates stay finite.
const MIN_WINDOW_S: f64 = 1e-3;
/// Rate (jobs a second) that replaces 0, so that the time until the next job stays finite.
const MIN_RATE_PER_S: f64 = 1e-9;
/// Jobs in a window that never overload a warming worker: the limit N + 2 * sqrt(N) + 2 is never lower,
/// however small the worker's capacity is.
const ALWAYS_SAFE_JOBS: u32 = 2;

impl ServiceLimits {
    /// Returns the least share of its capacity that a worker that started at `started_at` had `ago`
    /// nanoseconds before `now`; `None` if the worker is warm at `now`.
    pub fn slow_start_weight(&self, started_at: Option<Nanos>, now: Nanos, ago: Nanos) -> Option<f64> {
        let age = now.saturating_sub(started_at?);
        if age >= self.slow_start_duration {
            return None;
        }
        let progress = age.saturating_sub(ago) as f64 / self.slow_start_duration as f64;
        Some(self.slow_start_initial_share + (1.0 - self.slow_start_initial_share) * progress)
    }
}

/// How a dispatcher keeps to its rate.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Pacing {
    /// A token bucket, for dispatchers that send a worker several jobs in a window.
    TokenBucket,
    /// A random draw for each job, for dispatchers that send a worker less than one job in a window.
    RandomDraw,
}

/// Returns the rate (jobs a second) at which this dispatcher may send jobs to a warming worker that can
/// currently complete `jobs_per_s`. It is an even share of what all dispatchers together may send, because no
/// dispatcher knows what the others send.
///
/// In a window in which N jobs are allowed, all dispatchers together must stay below N + 2 * sqrt(N) + 2. A
/// dispatcher with a token bucket sends at most one job beyond its rate and its burst. With random draws, or
/// with too many dispatchers for that guarantee, the jobs of all dispatchers are treated as independent
/// arrivals, and the tail of a Poisson distribution limits them. For a few dispatchers with token buckets,
/// simulation confirms the limit (`MAX_DISPATCHERS_WITHOUT_BOUND`).
pub fn send_rate(settings: &Settings, jobs_per_s: f64, pacing: Pacing) -> f64 {
    let limits = &settings.limits;
    let window_s = limits.overload_duration as f64 / NANOS_PER_SECOND;
    let dispatchers = f64::from(settings.dispatchers);
    let allowed_jobs = limits.overload_multiple * jobs_per_s * window_s;
    let max_jobs = (allowed_jobs + 2.0 * allowed_jobs.sqrt() + 2.0).floor();
    let poisson_mean = poisson_mean_below(max_jobs);
    let mean_jobs = match pacing {
        Pacing::TokenBucket if dispatchers <= MAX_DISPATCHERS_WITHOUT_BOUND => allowed_jobs,
        Pacing::TokenBucket => poisson_mean.max(max_jobs - dispatchers) / (1.0 + BURST_SHARE),
        Pacing::RandomDraw => poisson_mean,
    };
    mean_jobs.min(MAX_OVERLOAD_LIMIT_SHARE * allowed_jobs) / dispatchers / window_s.max(MIN_WINDOW_S)
}

/// Returns the mean of a Poisson distribution that exceeds `max_jobs` with the probability that
/// `OVERLOAD_EXPONENT` allows. The iteration uses Stirling's formula and approaches the mean from below.
fn poisson_mean_below(max_jobs: f64) -> f64 {
    let excess = max_jobs + 1.0;
    let exponent = OVERLOAD_EXPONENT - 0.5 * (std::f64::consts::TAU * excess).ln();
    (0..POISSON_ITERATIONS).fold(0.0, |mean, _| excess * ((mean - exponent) / excess - 1.0).exp())
}

/// The limit on the jobs of a class that this dispatcher may send to a warming worker.
pub struct SlowStartLimit {
    /// How the dispatcher keeps to the limit.
    pub pacing: Pacing,
    /// Current rate (jobs a second).
    pub jobs_per_s: f64,
    /// Work (s) of a job of the class.
    job_work_s: f64,
    /// Mean rate (s of work a second) at which the worker's bucket has been refilled since it was last
    /// updated.
    refill_rate: f64,
    /// Length (ns) of an overload window.
    window: Nanos,
}

impl SlowStartLimit {
    /// Returns the limit for a worker, given the measurements of its kind; `None` if the worker is warm.
    pub fn new(
        settings: &Settings,
        rates: &ServiceRates,
        entry: &WorkerEntry,
        bucket: &TokenBucket,
        class: u32,
        pacing: Pacing,
        now: Nanos,
    ) -> Option<SlowStartLimit> {
        let limits = &settings.limits;
        let warm_jobs_per_s = rates.jobs_per_s(entry.kind, class, now);
        let rate_ago = |ago| {
            let weight = limits.slow_start_weight(entry.started_at, now, ago)?;
            Some(send_rate(settings, weight * warm_jobs_per_s, pacing).max(MIN_RATE_PER_S))
        };
        let job_work_s = rates.job_time_s(entry.kind, class, now);
        let refill_rate = job_work_s * rate_ago(now.saturating_sub(bucket.updated_at) / 2)?;
        let jobs_per_s = rate_ago(0)?;
        Some(SlowStartLimit { pacing, jobs_per_s, job_work_s, refill_rate, window: limits.overload_duration })
    }
}

/// Work (s) that a dispatcher may send a warming worker at once.
pub struct TokenBucket {
    /// Work (s) in the bucket when it was last updated.
    level_s: f64,
    /// Part of a job that the bucket holds in addition to its level until it is first used. The part is drawn
    /// uniformly, because all dispatchers start at the same time and must not have their first whole jobs at
    /// the same moment.
    jitter: f64,
    updated_at: Nanos,
}

impl TokenBucket {
    /// Creates the bucket of one of `dispatchers` dispatchers. It is empty except for a part of a job:
    /// `random`, which is below 1. Two jobs are within every limit, so one or two dispatchers start with a
    /// whole job each.
    pub fn new(dispatchers: u32, random: f64, now: Nanos) -> Self {
        let jitter = if dispatchers <= ALWAYS_SAFE_JOBS { 1.0 } else { random };
        TokenBucket { level_s: 0.0, jitter, updated_at: now }
    }

    /// Returns whether the bucket holds enough for a job that uses `slots` slots.
    pub fn covers(&self, limit: &SlowStartLimit, slots: f64, now: Nanos) -> bool {
        let job_work_s = slots * limit.job_work_s;
        self.level_at(now, limit.refill_rate, limit.window, job_work_s) >= job_work_s
    }

    /// Takes a job that uses `slots` slots from the bucket, and returns when the bucket may hold enough for
    /// another one.
    pub fn take(&mut self, limit: &SlowStartLimit, slots: f64, now: Nanos) -> Nanos {
        let job_work_s = slots * limit.job_work_s;
        let level_s = self.level_at(now, limit.refill_rate, limit.window, job_work_s) - job_work_s;
        *self = TokenBucket { level_s, jitter: 0.0, updated_at: now };
        now + (job_work_s / limit.refill_rate * NANOS_PER_SECOND) as Nanos
    }

    /// Returns the level (s of work) at `now`, after a refill at `refill_rate` (s of work a second), for jobs
    /// of `job_work_s` (s of work) each.
    ///
    /// If the bucket's capacity in a window (ns) is smaller than a job, the bucket holds a whole job only for
    /// as long as it takes to refill its capacity, and then loses the job. If the job were kept until it is
    /// needed, all dispatchers would have one at the moment when all of them need one.
    pub fn level_at(&self, now: Nanos, refill_rate: f64, window: Nanos, job_work_s: f64) -> f64 {
        let capacity_s = refill_rate * window as f64 / NANOS_PER_SECOND * BURST_SHARE;
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let level_s = self.level_s + self.jitter * job_work_s + refill_rate * elapsed / NANOS_PER_SECOND;
        let excess_s = level_s - job_work_s - capacity_s;
        if capacity_s >= job_work_s {
            level_s.min(capacity_s)
        } else if excess_s > 0.0 {
            capacity_s + excess_s % job_work_s
        } else {
            level_s
        }
    }
}
