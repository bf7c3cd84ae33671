//! How much a worker that has just started may be sent.
//!
//! A warming worker has only a part of its capacity, and fails when all dispatchers together send it too
//! much. Dispatchers do not talk to each other: each limits its own rate so that the sum stays within the
//! promised limits. [`send_rate`] is that limit, from what a warm worker is measured to do
//! ([`crate::service_rate`]). [`TokenBucket`] is how a dispatcher with much traffic keeps to it, and
//! [`SlowStartAdmission`](crate::slow_start_admission::SlowStartAdmission) how one with little traffic does.

use crate::service_rate::ServiceRates;
use crate::settings::{ServiceLimits, Settings};
use crate::time::{Nanos, NANOS_PER_SECOND};
use crate::worker_entry::WorkerEntry;

/// Share of the overload limit of a warming worker that is used at most: its normal capacity is below that.
const MAX_USED_SHARE: f64 = 0.5;
/// What a bucket holds at most, as a share of what a window brings it.
const BURST: f64 = 0.5;
/// The overload limit of a warming worker is exceeded in a window with a probability below e to the power of
/// minus this.
const OVERLOAD_EXPONENT: f64 = 11.5;
/// Up to so many dispatchers with token buckets, half of N in all has stayed below the bound in virtual time,
/// where the bound's own mean leaves warming workers with long jobs next to nothing.
const FEW_DISPATCHERS: f64 = 20.0;
/// Steps of the iteration for the mean of the Poisson distribution, after which it no longer changes much.
const POISSON_ITERATIONS: u32 = 4;
/// Shortest window (s), so that rates stay finite.
const MIN_WINDOW_S: f64 = 1e-3;
/// Rate (jobs a second) that stands for none: times until the next job stay finite.
const MIN_RATE_PER_S: f64 = 1e-9;
/// Jobs in a window that never overload a warming worker, however little it can do: N + 2 * sqrt(N) + 2 is
/// more than that.
const ALWAYS_BORNE_JOBS: u32 = 2;

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
    /// By a token bucket, for dispatchers that send a worker several jobs in a window.
    TokenBucket,
    /// By a random draw for each job, for dispatchers that send less than one.
    RandomDraw,
}

/// Returns the jobs a second that this dispatcher may send a warming worker that can complete `jobs_per_s`
/// now: the even share of what all may send, for none knows what the others send.
///
/// All together must stay below N + 2 * sqrt(N) + 2 in a window, where N jobs are allowed. A dispatcher with
/// a bucket sends at most one job beyond its rate and its burst. Otherwise, or where there are too many
/// dispatchers for this, their sum is taken for independent arrivals (the tail of a Poisson distribution).
/// For a few with buckets the limit is measured.
pub fn send_rate(settings: &Settings, jobs_per_s: f64, pacing: Pacing) -> f64 {
    let limits = &settings.limits;
    let window_s = limits.overload_duration as f64 / NANOS_PER_SECOND;
    let dispatchers = f64::from(settings.dispatchers);
    let allowed = limits.overload_multiple * jobs_per_s * window_s;
    let max_jobs = (allowed + 2.0 * allowed.sqrt() + 2.0).floor();
    let poisson_mean = poisson_mean_below(max_jobs);
    let mean = match pacing {
        Pacing::TokenBucket if dispatchers <= FEW_DISPATCHERS => allowed,
        Pacing::TokenBucket => poisson_mean.max(max_jobs - dispatchers) / (1.0 + BURST),
        Pacing::RandomDraw => poisson_mean,
    };
    mean.min(MAX_USED_SHARE * allowed) / dispatchers / window_s.max(MIN_WINDOW_S)
}

/// Returns the mean of independent arrivals of which more than `max_jobs` come with the probability that
/// `OVERLOAD_EXPONENT` allows. The iteration approaches it from below, by Stirling's formula.
fn poisson_mean_below(max_jobs: f64) -> f64 {
    let excess = max_jobs + 1.0;
    let exponent = OVERLOAD_EXPONENT - 0.5 * (std::f64::consts::TAU * excess).ln();
    (0..POISSON_ITERATIONS).fold(0.0, |mean, _| excess * ((mean - exponent) / excess - 1.0).exp())
}

/// What this dispatcher may send one warming worker of a class's jobs.
pub struct SlowStartLimit {
    /// How the dispatcher keeps to the limit.
    pub pacing: Pacing,
    /// Jobs a second, now.
    pub jobs_per_s: f64,
    /// Work (s) of such a job.
    job_work_s: f64,
    /// Work (s) that has come into the worker's bucket in a second on average since it was last used.
    refill: f64,
    window: Nanos,
}

impl SlowStartLimit {
    /// Returns the limit of a worker by what is measured of its kind; `None` if the worker is warm.
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
        let refill = job_work_s * rate_ago(now.saturating_sub(bucket.updated_at) / 2)?;
        let jobs_per_s = rate_ago(0)?;
        Some(SlowStartLimit { pacing, jobs_per_s, job_work_s, refill, window: limits.overload_duration })
    }
}

/// Work (s) that a dispatcher may send a warming worker at once.
pub struct TokenBucket {
    level: f64,
    /// Share of a job that the bucket holds beside its level until it is first used. It is drawn evenly, for
    /// all dispatchers begin at once, and must not have their first whole jobs at the same moment.
    jitter: f64,
    updated_at: Nanos,
}

impl TokenBucket {
    /// Creates the bucket of one of so many dispatchers, empty but for a share of a job: the random number,
    /// which is below 1. Two jobs are within every limit, so one or two dispatchers begin with a whole one
    /// each.
    pub fn new(dispatchers: u32, random: f64, now: Nanos) -> Self {
        let jitter = if dispatchers <= ALWAYS_BORNE_JOBS { 1.0 } else { random };
        TokenBucket { level: 0.0, jitter, updated_at: now }
    }

    /// Returns whether the bucket holds enough for a job of so many slots.
    pub fn covers(&self, limit: &SlowStartLimit, slots: f64, now: Nanos) -> bool {
        let job = slots * limit.job_work_s;
        self.level_at(now, limit.refill, limit.window, job) >= job
    }

    /// Takes a job of so many slots out, and returns when there may be enough for another.
    pub fn take(&mut self, limit: &SlowStartLimit, slots: f64, now: Nanos) -> Nanos {
        let job = slots * limit.job_work_s;
        let level = self.level_at(now, limit.refill, limit.window, job) - job;
        *self = TokenBucket { level, jitter: 0.0, updated_at: now };
        now + (job / limit.refill * NANOS_PER_SECOND) as Nanos
    }

    /// Returns the level now, refilled by `rate` (s of work a second), for a job of so much work (s).
    ///
    /// Where the bucket holds less than a job in a window (ns), that job is there for as long as it takes to
    /// refill so much, and lost then: kept until wanted, all dispatchers would have one at the moment at
    /// which all want it.
    pub fn level_at(&self, now: Nanos, rate: f64, window: Nanos, job: f64) -> f64 {
        let capacity = rate * window as f64 / NANOS_PER_SECOND * BURST;
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let level = self.level + self.jitter * job + rate * elapsed / NANOS_PER_SECOND;
        let excess = level - job - capacity;
        if capacity >= job {
            level.min(capacity)
        } else if excess > 0.0 {
            capacity + excess % job
        } else {
            level
        }
    }
}
