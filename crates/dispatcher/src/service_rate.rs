//! The rate at which workers complete jobs, as far as it can be measured from outside.
//!
//! Neither the work of a job nor the cores behind a slot are known. Both are measured, and estimated on the
//! unfavourable side as long as little has been seen:
//!
//! * [`MeanServiceTime`]: how long a job stays at a worker, from jobs that have ended and those that still
//!   run;
//! * [`ServiceRates`]: by Little's law, the jobs at a worker divided by the time that each stays there are
//!   the rate at which the worker completes them. That is never more than the worker can do, whatever its
//!   slots and cores are.

use std::collections::BTreeMap;

use crate::event::{LoadReport, Outcome};
use crate::settings::Settings;
use crate::time::{Nanos, NANOS_PER_SECOND};

/// Weight of the past against one more sample: about the last hundred count. That is enough for a mean of
/// jobs with heavy tails, and follows a change of the work within minutes of ordinary traffic.
const DECAY: f64 = 0.99;
/// Weight of the job that a mean begins with, against one that has ended. With it the rate that follows is on
/// average at most 1.16 times the true one, where clients wait for eight times a job's time or more, and with
/// 0.1 1.35 times (lognormal times, coefficient of variation up to 2.8). Where they wait for three times a
/// job's time it is up to 1.52.
const PRIOR_WEIGHT: f64 = 0.25;
/// Shortest mean time (s), so that rates stay finite.
const MIN_MEAN_S: f64 = 1e-6;
/// Weight of one more worker in the slots of a usual worker.
const SLOTS_WEIGHT: f64 = 0.1;

/// Mean time (s) that a job stays at a worker with all its capacity.
///
/// Short jobs end first: the mean of those that have ended is below that of those that were sent, the more so
/// just after a start and where the work has heavy tails. So the time of all jobs, ended, running and
/// cancelled, is divided by the number of those that have ended (the estimate for censored samples). It
/// begins with a job that took all the time that a client waits, for no usual job can take longer.
pub struct MeanServiceTime {
    /// Time (s) of jobs that are no longer at their worker.
    total_s: f64,
    /// Jobs that have completed.
    completed: f64,
    /// Jobs at a worker now.
    running: u64,
    /// Sum of the moments at which those came to their workers.
    running_since: u128,
}

impl MeanServiceTime {
    /// Creates the estimate for jobs whose clients wait for `deadline` (ns).
    pub fn new(deadline: Nanos) -> Self {
        let total_s = PRIOR_WEIGHT * deadline as f64 / NANOS_PER_SECOND;
        MeanServiceTime { total_s, completed: PRIOR_WEIGHT, running: 0, running_since: 0 }
    }

    /// Notes that a job has come to a worker.
    pub fn job_started(&mut self, now: Nanos) {
        self.running += 1;
        self.running_since += u128::from(now);
    }

    /// Notes that a job that came to its worker at `began` is no longer there.
    pub fn job_ended(&mut self, began: Nanos, now: Nanos, sample: ServiceSample) {
        self.running = self.running.saturating_sub(1);
        self.running_since = self.running_since.saturating_sub(u128::from(began));
        let ServiceSample::Ran { completed, capacity_share } = sample else { return };
        if completed {
            self.total_s *= DECAY;
            self.completed = self.completed * DECAY + 1.0;
        }
        self.total_s += now.saturating_sub(began) as f64 / NANOS_PER_SECOND * capacity_share;
    }

    /// Returns the mean (s) as far as known.
    pub fn mean_s(&self, now: Nanos) -> f64 {
        let running = u128::from(self.running) * u128::from(now);
        let running = running.saturating_sub(self.running_since) as f64 / NANOS_PER_SECOND;
        ((self.total_s + running) / self.completed).max(MIN_MEAN_S)
    }
}

/// What a job's time at a worker says once it is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceSample {
    /// The job never ran: nothing.
    NeverRan,
    /// The job may have run.
    Ran {
        /// Whether it ran to its end.
        completed: bool,
        /// The share of its capacity that the worker had, from 0 to 1.
        capacity_share: f64,
    },
}

impl ServiceSample {
    /// Returns the sample of an attempt by its outcome and the worker's slow start weight (`None` if it is
    /// warm).
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

/// What is known of the workers of one kind.
struct KindStats {
    /// Slots of a usual worker, as far as seen.
    typical_slots: f64,
    /// Slots of the largest worker, as far as seen.
    max_slots: f64,
    /// Jobs that arriving jobs found at warm workers, themselves included, by their reports, added up.
    jobs_found: f64,
    /// How many jobs arrived there.
    arrivals: f64,
    service_time: MeanServiceTime,
}

/// What workers are measured to complete, by their kind and the class of the job.
pub struct ServiceRates {
    kinds: BTreeMap<u32, KindStats>,
    classes: Vec<MeanServiceTime>,
    /// How long (ns) a client waits, on average over the classes.
    mean_deadline: Nanos,
    /// Whether a job's time counts from its sending, for starts are not notified: then jobs in a worker's
    /// queue count as being at the worker too.
    includes_queue: bool,
}

impl ServiceRates {
    /// Creates the measurement with nothing measured.
    pub fn new(settings: &Settings) -> Self {
        let class_count = settings.classes.len().max(1) as u64;
        ServiceRates {
            kinds: BTreeMap::new(),
            classes: settings.classes.iter().map(|class| MeanServiceTime::new(class.deadline)).collect(),
            mean_deadline: settings.classes.iter().map(|class| class.deadline / class_count).sum(),
            includes_queue: !settings.notifies_job_start,
        }
    }

    /// Returns what is known of a kind, which begins with a single slot and nothing measured.
    fn kind_mut(&mut self, kind: u32) -> &mut KindStats {
        let deadline = self.mean_deadline;
        self.kinds.entry(kind).or_insert_with(|| KindStats {
            typical_slots: 1.0,
            max_slots: 1.0,
            jobs_found: 1.0,
            arrivals: 1.0,
            service_time: MeanServiceTime::new(deadline),
        })
    }

    /// Returns the slots of a usual worker of a kind, as far as seen.
    pub fn typical_slots(&self, kind: u32) -> f64 {
        self.kinds.get(&kind).map_or(1.0, |kind| kind.typical_slots)
    }

    /// Takes in the most free slots that one worker of a kind was seen with.
    pub fn record_slots(&mut self, kind: u32, slots: f64) {
        let kind = self.kind_mut(kind);
        let is_first = kind.max_slots <= 1.0;
        let change = slots - kind.typical_slots;
        kind.typical_slots += if is_first { change } else { SLOTS_WEIGHT * change };
        kind.max_slots = kind.max_slots.max(slots);
    }

    /// Returns whether a job has gone to a warm worker of a kind that had reported its load.
    pub fn has_warm_samples(&self, kind: u32) -> bool {
        self.kinds.get(&kind).is_some_and(|kind| kind.arrivals > 1.0)
    }

    /// Returns the jobs at a worker of a kind by its report; `None` if the report has no free slots.
    pub fn jobs_at_worker(&self, kind: u32, report: &LoadReport) -> Option<f64> {
        let queued = if self.includes_queue { report.valid_queued() } else { 0.0 };
        let slots = self.kinds.get(&kind).map_or(1.0, |kind| kind.max_slots);
        Some((slots - report.valid_free_slots()?).max(0.0) + queued)
    }

    /// Notes that a job has come to a worker, which last reported `others` jobs. Only workers that get jobs
    /// count: jobs go to those with free slots, and their times are short beside what full workers report.
    pub fn job_started(&mut self, kind: u32, class: u32, others: Option<f64>, now: Nanos) {
        let kind = self.kind_mut(kind);
        kind.service_time.job_started(now);
        if let Some(others) = others {
            kind.jobs_found = kind.jobs_found * DECAY + others + 1.0;
            kind.arrivals = kind.arrivals * DECAY + 1.0;
        }
        self.classes[class as usize].job_started(now);
    }

    /// Notes that a job that came to its worker at `began` is no longer there.
    pub fn job_ended(&mut self, kind: u32, class: u32, began: Nanos, now: Nanos, sample: ServiceSample) {
        self.kind_mut(kind).service_time.job_ended(began, now, sample);
        self.classes[class as usize].job_ended(began, now, sample);
    }

    /// Returns the time (s) of a class's jobs at a warm worker of a kind: the longer of the class's and the
    /// kind's, for short jobs do not make up for the long ones beside them.
    pub fn job_time_s(&self, kind: u32, class: u32, now: Nanos) -> f64 {
        let of_class = self.classes[class as usize].mean_s(now);
        self.kinds.get(&kind).map_or(of_class, |kind| kind.service_time.mean_s(now).max(of_class))
    }

    /// Returns the jobs of a class that a warm worker of a kind is known to complete in a second. It has at
    /// least one core, which does one job at a time.
    pub fn jobs_per_s(&self, kind: u32, class: u32, now: Nanos) -> f64 {
        let concurrent = |kind: &KindStats| (kind.jobs_found / kind.arrivals).max(1.0);
        let jobs = self.kinds.get(&kind).map_or(1.0, concurrent);
        jobs / self.job_time_s(kind, class, now)
    }
}
