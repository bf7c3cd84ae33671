//! The rate at which workers end jobs, as far as it is known from outside.
//!
//! Neither the work of a job nor the cores behind a slot are told. Both are measured, and taken for the less favourable
//! as long as little was seen:
//!
//! * [`MeanTime`]: how long a job stays at a worker, from ended jobs and from those that still run;
//! * [`ServiceRates`]: by Little's law, the jobs at a worker over the time that each stays there are the rate at which
//!   it ends them. That is never more than the worker can do, whatever its slots and cores are.

use std::collections::BTreeMap;

use crate::interface::{LoadReport, Nanos, Outcome, Settings};
use crate::SECOND;

/// Weight of the past against one more sample: about the last hundred count. That is enough for a mean of jobs with
/// heavy tails, and follows a change of the work within minutes of ordinary traffic.
const DECAY: f64 = 0.99;
/// Weight of the job that a mean begins with, against one that has ended. With it the rate that follows is on average
/// at most 1.16 times the true one, where clients wait for eight times a job's time or more, and with 0.1 1.35 times
/// (lognormal times, coefficient of variation up to 2.8). Where they wait for three times a job's time it is up to 1.52.
const PRIOR_WEIGHT: f64 = 0.25;

/// Mean time (s) that a job stays at a worker with all its capacity.
///
/// Short jobs end first: the mean of those that have ended is below that of those that were sent, the more so just
/// after a start and where the work has heavy tails. So the time of all jobs, ended, running and cancelled, is divided
/// by the number of those that have ended (the estimate for censored samples). It begins with a job that took all the
/// time that a client gives, for no usual job can take longer.
pub struct MeanTime {
    /// Time (s) of jobs that are no longer at their worker, and how many of them ended.
    total: f64,
    ended: f64,
    /// Jobs at a worker now, and the sum of the times at which they came.
    present: u64,
    begun: u128,
}

impl MeanTime {
    /// Of jobs whose clients wait so long (ns).
    pub fn new(deadline: Nanos) -> Self {
        let total = PRIOR_WEIGHT * deadline as f64 / SECOND;
        MeanTime { total, ended: PRIOR_WEIGHT, present: 0, begun: 0 }
    }

    /// A job has come to a worker.
    pub fn begin(&mut self, now: Nanos) {
        self.present += 1;
        self.begun += u128::from(now);
    }

    /// A job that came to its worker at `begun` is no longer there.
    pub fn end(&mut self, begun: Nanos, now: Nanos, stay: Stay) {
        self.present = self.present.saturating_sub(1);
        self.begun = self.begun.saturating_sub(u128::from(begun));
        let Stay::Ran { done, capacity } = stay else { return };
        if done {
            self.total *= DECAY;
            self.ended = self.ended * DECAY + 1.0;
        }
        self.total += now.saturating_sub(begun) as f64 / SECOND * capacity;
    }

    /// The mean (s) as far as known.
    pub fn mean(&self, now: Nanos) -> f64 {
        let present = u128::from(self.present) * u128::from(now);
        let present = present.saturating_sub(self.begun) as f64 / SECOND;
        ((self.total + present) / self.ended).max(1e-6)
    }
}

/// What a job's time at a worker tells once it is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stay {
    /// The job never ran: nothing.
    Refused,
    /// It may have run, to its end if it was `done`, at a worker with this part of its `capacity`.
    Ran { done: bool, capacity: f64 },
}

impl Stay {
    /// What an attempt tells that ended so at a worker with this part of its capacity (`None` is all of it).
    pub fn of(outcome: Outcome, warm_part: Option<f64>) -> Stay {
        match outcome.never_ran() {
            true => Stay::Refused,
            false => Stay::Ran { done: outcome == Outcome::Ok, capacity: warm_part.unwrap_or(1.0) },
        }
    }
}

/// What is known of the workers of one kind.
struct Kind {
    /// Slots of a usual worker and of the largest, as far as seen.
    usual_slots: f64,
    most_slots: f64,
    /// Jobs at warm workers to which one came, that one too, by their reports, added up, and how many came.
    present: f64,
    arrivals: f64,
    time: MeanTime,
}

/// What workers are measured to do, by their kind and the class of the job.
pub struct ServiceRates {
    kinds: BTreeMap<u32, Kind>,
    classes: Vec<MeanTime>,
    /// Longest time that a client gives, over the classes on average.
    deadline: Nanos,
    /// A job's time counts from its sending, for starts are not told: jobs in a queue are at the worker too.
    with_queue: bool,
}

impl ServiceRates {
    pub fn new(settings: &Settings) -> Self {
        let count = settings.classes.len().max(1) as u64;
        ServiceRates {
            kinds: BTreeMap::new(),
            classes: settings.classes.iter().map(|class| MeanTime::new(class.deadline)).collect(),
            deadline: settings.classes.iter().map(|class| class.deadline / count).sum(),
            with_queue: !settings.notifies_job_start,
        }
    }

    fn kind(&mut self, kind: u32) -> &mut Kind {
        let deadline = self.deadline;
        self.kinds.entry(kind).or_insert_with(|| Kind {
            usual_slots: 1.0,
            most_slots: 1.0,
            present: 1.0,
            arrivals: 1.0,
            time: MeanTime::new(deadline),
        })
    }

    /// Slots of a usual worker of a kind, as far as seen.
    pub fn usual_slots(&self, kind: u32) -> f64 {
        self.kinds.get(&kind).map_or(1.0, |kind| kind.usual_slots)
    }

    /// The most free slots that a worker was seen with.
    pub fn seen_slots(&mut self, kind: u32, slots: f64) {
        let kind = self.kind(kind);
        let first = kind.most_slots <= 1.0;
        kind.usual_slots += if first { slots - kind.usual_slots } else { 0.1 * (slots - kind.usual_slots) };
        kind.most_slots = kind.most_slots.max(slots);
    }

    /// Whether a job has gone to a warm worker of a kind that had reported.
    pub fn seen_warm(&self, kind: u32) -> bool {
        self.kinds.get(&kind).is_some_and(|kind| kind.arrivals > 1.0)
    }

    /// Jobs at a worker of a kind by its report.
    pub fn present(&self, kind: u32, report: &LoadReport) -> Option<f64> {
        let sound = |figure: Option<f64>| figure.filter(|f| f.is_finite() && *f >= 0.0);
        let queued = sound(report.queued).filter(|_| self.with_queue).unwrap_or(0.0);
        let slots = self.kinds.get(&kind).map_or(1.0, |kind| kind.most_slots);
        Some((slots - sound(report.free_slots)?).max(0.0) + queued)
    }

    /// A job has come to a worker, which last reported so many others at it. Only such workers count: jobs go to those
    /// with room, and their times are short beside what full ones report.
    pub fn begin(&mut self, kind: u32, class: u32, present: Option<f64>, now: Nanos) {
        let kind = self.kind(kind);
        kind.time.begin(now);
        if let Some(present) = present {
            kind.present = kind.present * DECAY + present + 1.0;
            kind.arrivals = kind.arrivals * DECAY + 1.0;
        }
        self.classes[class as usize].begin(now);
    }

    /// A job that came to its worker at `begun` is no longer there.
    pub fn end(&mut self, kind: u32, class: u32, begun: Nanos, now: Nanos, stay: Stay) {
        self.kind(kind).time.end(begun, now, stay);
        self.classes[class as usize].end(begun, now, stay);
    }

    /// Time (s) of a class's jobs at a warm worker of a kind. Short ones do not make up for the long ones beside them.
    pub fn job_time(&self, kind: u32, class: u32, now: Nanos) -> f64 {
        let of_class = self.classes[class as usize].mean(now);
        self.kinds.get(&kind).map_or(of_class, |kind| kind.time.mean(now).max(of_class))
    }

    /// Jobs of a class that a warm worker of a kind is known to end in a second. It has one core at least, which does
    /// one job at a time.
    pub fn jobs_per_s(&self, kind: u32, class: u32, now: Nanos) -> f64 {
        let present = self.kinds.get(&kind).map_or(1.0, |kind| (kind.present / kind.arrivals).max(1.0));
        present / self.job_time(kind, class, now)
    }
}
