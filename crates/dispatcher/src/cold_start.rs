//! What a worker that has just started ("cold") may be sent.
//!
//! A cold worker has only a part of its capacity, and falls over when all dispatchers together send it too much.
//! Dispatchers do not talk to each other: each limits its own rate so that the sum stays within the contract.
//! [`send_rate`] is that limit, from what a warm worker is measured to do ([`crate::service_rate`]), and
//! [`TokenBucket`] how a dispatcher with much traffic keeps to it.

use crate::interface::{Nanos, ServiceLimits, Settings};
use crate::service_rate::ServiceRates;
use crate::state::Worker;
use crate::SECOND;

/// Part of what a cold worker bears that is used at most: it can do less than that itself.
const USED_PART: f64 = 0.5;
/// What a bucket holds at most, as a part of what a window brings it.
const BURST: f64 = 0.5;
/// More than a cold worker bears comes in a window by a chance of less than e to the power of minus this.
const CHANCE_EXPONENT: f64 = 11.5;
/// Up to so many dispatchers with token buckets, half of N in all has stayed below the bound in virtual time, where
/// the bound's own mean leaves cold workers with long jobs next to nothing.
const FEW_DISPATCHERS: f64 = 20.0;

impl ServiceLimits {
    /// The part of its capacity that a worker that started then has at least, or had so long ago; `None` if it is
    /// warm now.
    pub fn warm_part(&self, started: Option<Nanos>, now: Nanos, ago: Nanos) -> Option<f64> {
        let age = now.saturating_sub(started?);
        let then = age.saturating_sub(ago) as f64 / self.slow_start_duration as f64;
        (age < self.slow_start_duration)
            .then_some(self.slow_start_initial_share + (1.0 - self.slow_start_initial_share) * then)
    }
}

/// How a dispatcher keeps to its rate.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Pacing {
    /// By a token bucket, for those that send a worker several jobs in a window.
    TokenBucket,
    /// By a draw for each job, for those that send less than one.
    RandomDraw,
}

/// Jobs a second that a dispatcher may send a cold worker on average, which can do so many now: the even part of
/// what all may, for none knows what the others send.
///
/// All together must keep below N + 2 * sqrt(N) + 2 in a window, where N jobs are allowed. Whoever has a bucket sends at
/// most one job beyond its rate and its burst. Else, or where there are too many for this, their sum is taken for
/// independent arrivals (the tail of a Poisson distribution). A few with buckets are measured.
pub fn send_rate(settings: &Settings, jobs_per_s: f64, pacing: Pacing) -> f64 {
    let contract = &settings.limits;
    let (fall, dispatchers) = (contract.overload_duration as f64 / SECOND, f64::from(settings.dispatchers));
    let allowed = contract.overload_multiple * jobs_per_s * fall;
    let most = (allowed + 2.0 * allowed.sqrt() + 2.0).floor();
    // Towards the mean that the bound allows, from below: by Stirling's formula, the chance of this many arrivals.
    let over = most + 1.0;
    let exponent = CHANCE_EXPONENT - 0.5 * (std::f64::consts::TAU * over).ln();
    let chance = (0..4).fold(0.0, |mean, _| over * ((mean - exponent) / over - 1.0).exp());
    let mean = match pacing {
        Pacing::TokenBucket if dispatchers <= FEW_DISPATCHERS => allowed,
        Pacing::TokenBucket => chance.max(most - dispatchers) / (1.0 + BURST),
        Pacing::RandomDraw => chance,
    };
    mean.min(USED_PART * allowed) / dispatchers / fall.max(1e-3)
}

/// What a dispatcher may send one cold worker of a class's jobs.
pub struct ColdLimit {
    pub pacing: Pacing,
    /// Jobs a second, now.
    pub jobs_per_s: f64,
    /// Work of such a job (s), and the work (s) that has come into the worker's bucket in a second on average.
    job_work: f64,
    refill: f64,
    window: Nanos,
}

impl ColdLimit {
    /// That of a worker by what is measured of its kind; `None` if it is warm.
    pub fn new(
        settings: &Settings,
        rates: &ServiceRates,
        worker: &Worker,
        class: u32,
        pacing: Pacing,
        now: Nanos,
    ) -> Option<ColdLimit> {
        let (contract, kind) = (&settings.limits, worker.entry.kind);
        let warm_jobs_per_s = rates.jobs_per_s(kind, class, now);
        let limit = |ago| {
            let warm = contract.warm_part(worker.entry.started, now, ago)?;
            Some(send_rate(settings, warm * warm_jobs_per_s, pacing).max(LEAST_RATE))
        };
        let job_work = rates.job_time(kind, class, now);
        let refill = job_work * limit(now.saturating_sub(worker.bucket.at) / 2)?;
        Some(ColdLimit {
            pacing,
            jobs_per_s: limit(0)?,
            job_work,
            refill,
            window: contract.overload_duration,
        })
    }
}

/// Rate (jobs a second) that stands for none: times until the next job stay finite.
const LEAST_RATE: f64 = 1e-9;

/// Memory (ns) of how often a dispatcher asks for cold workers. One with little traffic asks some times in it; when
/// traffic rises at once, what is admitted rises for as long, by the logarithm of the rise. Of other lengths only
/// 1.5 s was tried.
const ASK_MEMORY: Nanos = 4_000_000_000;

/// How often something was asked for of late.
#[derive(Clone, Copy, Default)]
pub struct AskCount {
    count: f64,
    at: Nanos,
}

impl AskCount {
    /// Counts one more, and tells how many there were within the memory, this one included.
    pub fn ask(&mut self, now: Nanos) -> f64 {
        let passed = now.saturating_sub(self.at) as f64 / ASK_MEMORY as f64;
        self.count = self.count * (-passed).exp() + 1.0;
        self.at = now;
        self.count
    }
}

/// How a low-traffic dispatcher admits jobs to cold workers, so that it keeps to its rate on average however often
/// they ask: the more do, the fewer are admitted.
///
/// After a start or a rest all dispatchers ask at once, and none remembers any asks: as many as its jobs make likely are
/// counted as if there had been, less and less as others are remembered.
#[derive(Default)]
pub struct Admission {
    /// Weight of all cold workers, and how many of them a job asks for at most, but no more than one.
    weight: f64,
    asks_per_job: f64,
    /// How often jobs asked for one of them, and since when that is remembered.
    asks: AskCount,
    since: Nanos,
}

impl Admission {
    /// Takes in what the cold and all of a sample of the workers weigh, how many times as many there are, and how many warm
    /// candidates a job has.
    pub fn weigh(&mut self, cold: f64, all: f64, scale: f64, candidates: usize) {
        self.weight = cold * scale;
        let cold_candidates = candidates as f64 * cold / (all - cold).max(f64::MIN_POSITIVE);
        self.asks_per_job = cold_candidates.min(1.0);
    }

    /// Draws, by a random number from 0 to 1, whether a job may go to a cold worker of some weight that may be sent
    /// `rate` jobs a second; `demand` jobs come in a second. Most dispatchers ask for one worker so seldom that only
    /// all together tell how often.
    pub fn draw(
        &mut self,
        now: Nanos,
        rate: f64,
        demand: f64,
        weight: f64,
        asks: &mut AskCount,
        random: f64,
    ) -> bool {
        if self.asks.count == 0.0 || now.saturating_sub(self.asks.at) > ASK_MEMORY {
            self.since = now;
        }
        let memory = ASK_MEMORY as f64 / SECOND;
        let passed = now.saturating_sub(self.since) as f64 / ASK_MEMORY as f64;
        let unknown = (-FORGETTING * passed).exp();
        let likely = demand * self.asks_per_job * memory * unknown;
        let usual = (self.asks.ask(now) + likely) * weight / self.weight.max(weight);
        let of_worker = asks.ask(now);
        let asks = if of_worker >= FREQUENT { usual.max(of_worker) } else { usual };
        random < rate * memory / asks
    }
}

/// The asks that are counted for a start are forgotten so many times as fast as others, for not each job asks. In 200
/// drawn deployments (`tests/cold_fleet`) all dispatchers together come to 0.70 of what is put down to chance at most.
const FORGETTING: f64 = 2.0;

/// So many asks for one worker are more than one and the rest of another: it may be the home of a hot key.
const FREQUENT: f64 = 1.5;

/// Jobs in a window that a cold worker bears however little it can do: N + 2 * sqrt(N) + 2 is more than that.
const ALWAYS_BORNE: u32 = 2;

/// Work (s) that a dispatcher may send a cold worker at once.
pub struct TokenBucket {
    level: f64,
    /// Part of a job that is there from the beginning, drawn evenly: all begin at once, and must not have their
    /// first whole jobs at the same moment. One or two dispatchers begin with a whole one.
    jitter: f64,
    at: Nanos,
}

impl TokenBucket {
    /// An empty one of one of so many dispatchers, but for a part of a job by a random number below 1. Two jobs are within
    /// every budget, so that one or two dispatchers may begin with one each.
    pub fn new(dispatchers: u32, random: f64, at: Nanos) -> Self {
        let jitter = if dispatchers <= ALWAYS_BORNE { 1.0 } else { random };
        TokenBucket { level: 0.0, jitter, at }
    }

    /// Whether there is enough in it for a job of so many slots.
    pub fn covers(&self, limit: &ColdLimit, slots: f64, now: Nanos) -> bool {
        let job = slots * limit.job_work;
        self.refilled(now, limit.refill, limit.window, job) >= job
    }

    /// Takes a job of so many slots out, and tells when there may be enough for another.
    pub fn take(&mut self, limit: &ColdLimit, slots: f64, now: Nanos) -> Nanos {
        let job = slots * limit.job_work;
        let level = self.refilled(now, limit.refill, limit.window, job) - job;
        *self = TokenBucket { level, jitter: 0.0, at: now };
        now + (job / limit.refill * SECOND) as Nanos
    }

    /// Its level now, refilled by `rate` (s of work a second), for a job of so much work. Where it holds less than a
    /// job, that job is there for as long as it takes to refill so much, and lost then: kept until wanted, all
    /// dispatchers would have one at the moment at which all want it.
    pub fn refilled(&self, now: Nanos, rate: f64, fall: Nanos, job: f64) -> f64 {
        let most = rate * fall as f64 / SECOND * BURST;
        let level = self.level + self.jitter * job + rate * now.saturating_sub(self.at) as f64 / SECOND;
        let over = level - job - most;
        match most >= job {
            true => level.min(most),
            false if over > 0.0 => most + over % job,
            false => level,
        }
    }
}
