//! The deployments that are simulated: their settings, jobs and workers.

use nickelflow_dispatcher::*;

use crate::common::{class, lognormal, settings, S};

const SECOND: f64 = 1e9;

/// How the work of a class's requests is spread, in seconds of a standard core.
#[derive(Clone, Debug)]
pub enum Work {
    /// Evenly by its logarithm, between two bounds.
    LogUniform(f64, f64),
    /// With a mean and a coefficient of variation.
    LogNormal(f64, f64),
}

impl Work {
    pub fn mean(&self) -> f64 {
        match self {
            Work::LogUniform(low, high) => (high - low) / (high / low).ln(),
            Work::LogNormal(mean, _) => *mean,
        }
    }

    pub fn draw(&self, rng: &mut fastrand::Rng) -> f64 {
        match self {
            Work::LogUniform(low, high) => low * (high / low).powf(rng.f64()),
            Work::LogNormal(mean, variation) => lognormal(rng, *mean, *variation),
        }
    }
}

#[derive(Clone, Debug)]
pub struct JobClass {
    /// Part of all requests.
    pub share: f64,
    pub work: Work,
    pub latency_objective_s: f64,
    pub deadline_s: f64,
}

/// A kind of workers.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub slots: usize,
    pub cores: f64,
    /// Of a core, against a standard one.
    pub speed: f64,
}

/// The figures of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: String,
    pub slow_start_initial_share: f64,
    pub slow_start_s: f64,
    pub overload_multiple: f64,
    pub overload_s: f64,
    pub classes: Vec<JobClass>,
    pub kinds: [Kind; 2],
    /// Whether the list gives the kinds.
    pub lists_kinds: bool,
    pub notifies_job_start: bool,
    pub has_keys: bool,
    /// Workers in use, and how many of them are replaced by ones that have just started at one moment.
    pub workers: u32,
    pub replaced: u32,
    /// How long (s) after that the dispatchers have the new list: discovery is down, and then they have it
    /// all at once.
    pub outage_s: f64,
}

impl Deployment {
    pub fn mean_work(&self) -> f64 {
        self.classes.iter().map(|class| class.share * class.work.mean()).sum()
    }

    pub fn draw_class(&self, rng: &mut fastrand::Rng) -> usize {
        let mut drawn = rng.f64();
        let found = self.classes.iter().position(|class| {
            drawn -= class.share;
            drawn < 0.0
        });
        found.unwrap_or(0)
    }

    pub fn kind(&self, worker: u32) -> Kind {
        self.kinds[worker as usize % 2]
    }

    /// Work (s of a standard core) that a warm worker does in a second.
    pub fn capacity(&self, worker: u32) -> f64 {
        let kind = self.kind(worker);
        kind.cores.min(kind.slots as f64) * kind.speed
    }

    pub fn settings(&self, dispatchers: u32, total: f64) -> Settings {
        let time = |seconds: f64| (seconds * SECOND) as Nanos;
        let classes = self.classes.iter().map(|job| Class {
            latency_objective: time(job.latency_objective_s),
            latency_stretch: 2.5,
            deadline: time(job.deadline_s),
            ..class(Idempotency::IdempotentWithKey(DeduplicationScope::All))
        });
        let mut settings = settings(classes.collect());
        settings.dispatchers = dispatchers;
        settings.tenants = vec![Tenant { quota_per_s: 1.4 * total }];
        settings.notifies_job_start = self.notifies_job_start;
        settings.limits = ServiceLimits {
            slow_start_initial_share: self.slow_start_initial_share,
            slow_start_duration: time(self.slow_start_s),
            overload_multiple: self.overload_multiple,
            overload_duration: time(self.overload_s),
            unsubscribed_list_validity: 10 * S,
        };
        settings
    }
}

/// Two slots of each worker's five do a core's work, or nearly so; the list does not say which is which.
const TABLE_KINDS: [Kind; 2] =
    [Kind { slots: 5, cores: 5.0, speed: 0.65 }, Kind { slots: 5, cores: 5.0, speed: 0.95 }];

fn of_table(
    name: &str,
    slow_start: (f64, f64),
    overload: (f64, f64),
    times: (f64, f64),
    work: (f64, f64),
) -> Deployment {
    let (slow_start_initial_share, slow_start_s) = slow_start;
    let (overload_multiple, overload_s) = overload;
    let (latency_objective_s, deadline_s) = times;
    Deployment {
        name: name.into(),
        slow_start_initial_share,
        slow_start_s,
        overload_multiple,
        overload_s,
        classes: vec![JobClass {
            share: 1.0,
            work: Work::LogUniform(work.0, work.1),
            latency_objective_s,
            deadline_s,
        }],
        kinds: TABLE_KINDS,
        lists_kinds: false,
        notifies_job_start: true,
        has_keys: true,
        workers: 24,
        replaced: 8,
        outage_s: 0.0,
    }
}

pub fn short_jobs() -> Deployment {
    let name = "0.14, x 3 in 1.5 s, 24 s; jobs 0.1 to 0.5 s";
    of_table(name, (0.14, 24.0), (3.0, 1.5), (0.2, 5.0), (0.1, 0.5))
}

pub fn long_jobs() -> Deployment {
    let name = "0.13, x 2.5 in 1 s, 22 s; jobs 0.25 to 3 s";
    of_table(name, (0.13, 22.0), (2.5, 1.0), (0.4, 10.0), (0.25, 3.0))
}

pub fn quick_jobs() -> Deployment {
    let name = "0.32, x 2.5 in 1.5 s, 8.6 s; jobs 0.05 to 0.3 s";
    of_table(name, (0.32, 8.6), (2.5, 1.5), (0.1, 2.0), (0.05, 0.3))
}

/// Between two bounds, evenly by the logarithm.
fn between(rng: &mut fastrand::Rng, low: f64, high: f64) -> f64 {
    low * (high / low).powf(rng.f64())
}

/// A deployment drawn from what sites may be, by its number.
pub fn drawn(number: u64) -> Deployment {
    let mut rng = fastrand::Rng::with_seed(number);
    let rng = &mut rng;
    let count = rng.usize(1..=3);
    let shares: Vec<f64> = (0..count).map(|_| rng.f64() + 0.2).collect();
    let all: f64 = shares.iter().sum();
    let classes = shares.iter().map(|share| {
        let mean = between(rng, 0.05, 1.5);
        let work = Work::LogNormal(mean, between(rng, 0.3, 2.8));
        let latency_objective_s = mean * between(rng, 0.08, 2.0);
        JobClass {
            share: share / all,
            work,
            latency_objective_s,
            deadline_s: (mean * between(rng, 7.0, 25.0)).max(2.0),
        }
    });
    let classes: Vec<JobClass> = classes.collect();
    let slots_per_core = between(rng, 1.0, 3.5);
    let mut kind = || {
        let cores = rng.usize(1..=4);
        let slots = (cores as f64 * slots_per_core).round() as usize;
        Kind { slots, cores: cores as f64, speed: between(rng, 0.6, 1.8) }
    };
    let kinds = [kind(), kind()];
    let workers = between(rng, 24.0, 400.0) as u32;
    Deployment {
        name: format!("drawn {number}"),
        slow_start_initial_share: between(rng, 0.08, 0.5),
        slow_start_s: between(rng, 4.0, 24.0),
        overload_multiple: between(rng, 1.5, 3.0),
        overload_s: between(rng, 0.5, 2.0),
        classes,
        kinds,
        lists_kinds: true,
        notifies_job_start: rng.bool(),
        has_keys: rng.bool(),
        workers,
        replaced: (f64::from(workers) * between(rng, 0.15, 0.6)) as u32,
        outage_s: if rng.bool() { 0.0 } else { between(rng, 0.5, 3.0) },
    }
}
