//! Estimates the rate at which workers complete jobs, as far as it can be measured from outside.
//!
//! Neither the work of a job nor the number of cores behind a slot is known. Both are measured, and estimated
//! on the unfavourable side until enough jobs have been seen:
//!
//! * [`MeanServiceTime`] is the time that a job spends at a worker, measured from ended and running jobs.
//! * [`ServiceRates`] applies Little's law: the number of jobs at a worker divided by the time that each job
//!   spends there is the completion rate. This is never more than the worker can do, whatever its slots and
//!   cores are.

use std::collections::BTreeMap;

use crate::event::{LoadReport, Outcome};
use crate::settings::Settings;
use crate::time::{Nanos, NANOS_PER_SECOND};

/// Decay of the earlier samples with each new sample: about the last hundred samples count. That is enough
/// for a mean of jobs with heavy tails, and follows a change of the work within minutes of ordinary traffic.
const DECAY: f64 = 0.99;
/// Weight of the job that is assumed at the start of a mean, relative to a job that has ended. With this
/// weight, the resulting rate is on average at most 1.16 times the true rate where clients wait for at least
/// eight times a job's time, compared with 1.35 times for a weight of 0.1 (lognormal times, coefficient of
/// variation up to 2.8). Where clients wait for three times a job's time, it is up to 1.52 times the true
/// rate.
const PRIOR_WEIGHT: f64 = 0.25;
/// Shortest mean time (s), so that rates stay finite.
const MIN_MEAN_S: f64 = 1e-6;
/// Weight of a new worker in the moving average of the slots of a worker.
const SLOTS_WEIGHT: f64 = 0.1;

/// Mean time (s) that a job spends at a worker with its full capacity.
///
/// Short jobs end first, so the mean of the ended jobs is below that of all sent jobs, especially just after
/// a start and with heavy-tailed work. The total time of all jobs (ended, running and cancelled) is therefore
/// divided by the number of ended jobs, which is the estimate for censored samples. The mean starts with an
/// assumed job that took as long as a client waits, because no ordinary job takes longer.
pub struct MeanServiceTime {
    /// Decayed total time (s) of jobs that have left their worker.
    total_s: f64,
    /// Decayed number of completed jobs.
    completed: f64,
    /// Number of jobs at workers now.
    running_jobs: u64,
    /// Sum of the times (ns) at which the running jobs arrived at their workers.
    running_started_sum: u128,
}

impl MeanServiceTime {
    /// Creates the mean of jobs whose clients wait for `deadline` (ns).
    pub fn new(deadline: Nanos) -> Self {
        let total_s = PRIOR_WEIGHT * deadline as f64 / NANOS_PER_SECOND;
        MeanServiceTime { total_s, completed: PRIOR_WEIGHT, running_jobs: 0, running_started_sum: 0 }
    }

    /// Records that a job arrived at a worker.
    pub fn job_started(&mut self, now: Nanos) {
        self.running_jobs += 1;
        self.running_started_sum += u128::from(now);
    }

    /// Records that a job that arrived at its worker at `started_at` has left it.
    pub fn job_ended(&mut self, started_at: Nanos, now: Nanos, sample: ServiceSample) {
        self.running_jobs = self.running_jobs.saturating_sub(1);
        self.running_started_sum = self.running_started_sum.saturating_sub(u128::from(started_at));
        let ServiceSample::Ran { completed, capacity_share } = sample else { return };
        if completed {
            self.total_s *= DECAY;
            self.completed = self.completed * DECAY + 1.0;
        }
        self.total_s += now.saturating_sub(started_at) as f64 / NANOS_PER_SECOND * capacity_share;
    }

    /// Returns the estimated mean (s).
    pub fn mean_s(&self, now: Nanos) -> f64 {
        let running_until_now = u128::from(self.running_jobs) * u128::from(now);
        let running_s = running_until_now.saturating_sub(self.running_started_sum) as f64 / NANOS_PER_SECOND;
        ((self.total_s + running_s) / self.completed).max(MIN_MEAN_S)
    }
}

/// What a job that has left its worker contributes to the mean service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceSample {
    /// The job never ran, and contributes nothing.
    NeverRan,
    /// The job may have run.
    Ran {
        /// Whether the job ran to completion.
        completed: bool,
        /// The share of its full capacity that the worker had, from 0 to 1.
        capacity_share: f64,
    },
}

impl ServiceSample {
    /// Returns the sample of an attempt, given its outcome and the slow start weight of its worker (`None` if
    /// the worker is warm).
    pub fn from_outcome(outcome: Outcome, slow_start_weight: Option<f64>) -> ServiceSample {
        if outcome.never_ran() {
            return ServiceSample::NeverRan;
        }
        ServiceSample::Ran {
            completed: outcome == Outcome::Ok,
            capacity_share: slow_start_weight.unwrap_or(1.0),
        }
    }
}

/// Measurements of the workers of one kind.
struct KindStats {
    /// Moving average of the slots of a worker, as far as seen.
    typical_slots: f64,
    /// Slots of the largest worker, as far as seen.
    max_slots: f64,
    /// Decayed sum over the counted arrivals of the jobs at the worker, as reported, with the arriving job
    /// included.
    jobs_at_arrivals: f64,
    /// Decayed number of jobs that arrived at warm workers with a load report.
    counted_arrivals: f64,
    service_time: MeanServiceTime,
}

/// Measured completion rates of workers, by worker kind and job class.
pub struct ServiceRates {
    kinds: BTreeMap<u32, KindStats>,
    classes: Vec<MeanServiceTime>,
    /// How long (ns) a client waits, as a mean over the classes.
    mean_deadline: Nanos,
    /// Whether a job's time counts from when it is sent, because workers do not notify the start of a job.
    /// Jobs in a worker's queue then count as jobs at the worker.
    includes_queue: bool,
}

impl ServiceRates {
    /// Creates the rates without any measurement.
    pub fn new(settings: &Settings) -> Self {
        let class_count = settings.classes.len().max(1) as u64;
        ServiceRates {
            kinds: BTreeMap::new(),
            classes: settings.classes.iter().map(|class| MeanServiceTime::new(class.deadline)).collect(),
            mean_deadline: settings.classes.iter().map(|class| class.deadline / class_count).sum(),
            includes_queue: !settings.notifies_job_start,
        }
    }

    /// Returns the measurements of a kind, which start with a single slot and no samples.
    fn kind_mut(&mut self, kind: u32) -> &mut KindStats {
        let deadline = self.mean_deadline;
        self.kinds.entry(kind).or_insert_with(|| KindStats {
            typical_slots: 1.0,
            max_slots: 1.0,
            jobs_at_arrivals: 1.0,
            counted_arrivals: 1.0,
            service_time: MeanServiceTime::new(deadline),
        })
    }

    /// Returns the mean slots of the workers of a kind, as far as seen.
    pub fn typical_slots(&self, kind: u32) -> f64 {
        self.kinds.get(&kind).map_or(1.0, |kind| kind.typical_slots)
    }

    /// Records the largest number of free slots that a worker of a kind was seen with.
    pub fn record_slots(&mut self, kind: u32, slots: f64) {
        let kind = self.kind_mut(kind);
        let is_first = kind.max_slots <= 1.0;
        let change = slots - kind.typical_slots;
        kind.typical_slots += if is_first { change } else { SLOTS_WEIGHT * change };
        kind.max_slots = kind.max_slots.max(slots);
    }

    /// Returns whether a job has been sent to a warm worker of a kind that had reported its load.
    pub fn has_warm_samples(&self, kind: u32) -> bool {
        self.kinds.get(&kind).is_some_and(|kind| kind.counted_arrivals > 1.0)
    }

    /// Returns the number of jobs at a worker of a kind, given the worker's report; `None` if the report has
    /// no free slots.
    pub fn jobs_at_worker(&self, kind: u32, report: &LoadReport) -> Option<f64> {
        let queued = if self.includes_queue { report.valid_queued() } else { 0.0 };
        let slots = self.kinds.get(&kind).map_or(1.0, |kind| kind.max_slots);
        Some((slots - report.valid_free_slots()?).max(0.0) + queued)
    }

    /// Records that a job arrived at a worker, which last reported `other_jobs` jobs. Only workers that
    /// receive jobs are counted: jobs go to workers with free slots, and their times are short compared with
    /// what full workers report.
    pub fn job_started(&mut self, kind: u32, class: u32, other_jobs: Option<f64>, now: Nanos) {
        let kind = self.kind_mut(kind);
        kind.service_time.job_started(now);
        if let Some(other_jobs) = other_jobs {
            kind.jobs_at_arrivals = kind.jobs_at_arrivals * DECAY + other_jobs + 1.0;
            kind.counted_arrivals = kind.counted_arrivals * DECAY + 1.0;
        }
        self.classes[class as usize].job_started(now);
    }

    /// Records that a job that arrived at its worker at `started_at` has left it.
    pub fn job_ended(&mut self, kind: u32, class: u32, started_at: Nanos, now: Nanos, sample: ServiceSample) {
        self.kind_mut(kind).service_time.job_ended(started_at, now, sample);
        self.classes[class as usize].job_ended(started_at, now, sample);
    }

    /// Returns the time (s) of a class's jobs at a warm worker of a kind: the mean of the class or that of
    /// the kind, whichever is longer, because short jobs do not make up for the long ones that run beside
    /// them.
    pub fn job_time_s(&self, kind: u32, class: u32, now: Nanos) -> f64 {
        let class_mean_s = self.classes[class as usize].mean_s(now);
        self.kinds.get(&kind).map_or(class_mean_s, |kind| kind.service_time.mean_s(now).max(class_mean_s))
    }

    /// Returns the rate (jobs a second) at which a warm worker of a kind is known to complete jobs of a
    /// class. The worker has at least one core, which runs one job at a time.
    pub fn jobs_per_s(&self, kind: u32, class: u32, now: Nanos) -> f64 {
        let concurrent = |kind: &KindStats| (kind.jobs_at_arrivals / kind.counted_arrivals).max(1.0);
        let jobs = self.kinds.get(&kind).map_or(1.0, concurrent);
        jobs / self.job_time_s(kind, class, now)
    }
}
