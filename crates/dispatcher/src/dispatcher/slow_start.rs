//! How much work a worker that has just started is sent.

use super::Dispatcher;
use crate::cold_start::{ColdLimit, Pacing};
use crate::interface::*;
use crate::state::{ColdDraw, Job, Worker};

impl Dispatcher {
    /// Whether a worker is warm, or may be sent the job while it is cold: by its bucket or a draw. A draw
    /// holds for half a window: jobs that wait, all freed at once, add up to half of a window's more.
    pub(super) fn admits(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = &self.workers[index] else { return false };
        let Some(limit) = self.cold_limit(worker, job.request.class) else { return true };
        let draw = job.cold_draws.iter().find(|draw| draw.worker == index && draw.at >= worker.since);
        let lasts = |at| self.now <= at + self.settings.limits.overload_duration / 2;
        let drawn = draw.is_some_and(|draw| draw.admitted && lasts(draw.at));
        match limit.pacing {
            Pacing::RandomDraw => drawn && job.attempts.is_empty(),
            Pacing::TokenBucket => worker.bucket.covers(&limit, job.request.slots, self.now),
        }
    }

    /// Draws whether the job may go to a cold worker, the first time that it is its turn there.
    pub(super) fn draw_cold(&mut self, index: usize, id: RequestId) {
        let (Some(job), Some(worker)) = (self.jobs.get(&id), &self.workers[index]) else { return };
        let Some(limit) = self.cold_limit(worker, job.request.class) else { return };
        let drawn = job.cold_draws.iter().any(|draw| draw.worker == index && draw.at >= worker.since);
        if drawn || !(self.covers(index, job) || self.can_be_probed(index, job)) {
            return;
        }
        let (rate, weight, random) = (limit.jobs_per_s, self.weight(worker), self.rng.f64());
        let Some(worker) = &mut self.workers[index] else { return };
        let (demand, asks) = (self.demand.per_s(), &mut worker.asks);
        let admitted = self.cold_admission.draw(self.now, rate, demand, weight, asks, random);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cold_draws.push(ColdDraw { worker: index, at: self.now, admitted });
        }
    }

    /// How much of the traffic a worker is to have, where a usual one has 1: what a cold one can do is a part
    /// of the fleet's, and so it is pressed as hard as the others are, far below what pushes it over.
    pub(super) fn weight(&self, worker: &Worker) -> f64 {
        self.told(worker) / self.mean * self.warm(worker).unwrap_or(1.0)
    }

    /// The part of its capacity that a cold worker has at least; `None` if it is warm.
    pub(super) fn warm(&self, worker: &Worker) -> Option<f64> {
        self.settings.limits.warm_part(worker.entry.started, self.now, 0)
    }

    /// What this dispatcher may send a worker of a class's jobs; `None` if it is warm.
    pub(super) fn cold_limit(&self, worker: &Worker, class: u32) -> Option<ColdLimit> {
        let pacing = if self.sparse() { Pacing::RandomDraw } else { Pacing::TokenBucket };
        ColdLimit::new(&self.settings, &self.rates, worker, class, pacing, self.now)
    }
}
