//! What workers that have just started are sent.

use super::Dispatcher;
use crate::ids::RequestId;
use crate::job::{Job, SlowStartDraw};
use crate::slow_start::{Pacing, SlowStartLimit};
use crate::slow_start_admission::AdmissionRequest;
use crate::time::Nanos;
use crate::worker::Worker;

/// The part (1/n) of an overload window for which a draw holds: jobs that wait, all freed at once, add up to
/// that much of a window's more.
const DRAW_VALIDITY_DIVISOR: Nanos = 2;

impl Dispatcher {
    /// Returns the share of its capacity that a warming worker has at least; `None` if it is warm.
    pub(super) fn slow_start_weight(&self, worker: &Worker) -> Option<f64> {
        self.settings.limits.slow_start_weight(worker.entry.started_at, self.now, 0)
    }

    /// Returns whether a worker is known and warming up.
    pub(super) fn is_warming_up(&self, index: usize) -> bool {
        self.workers.get(index).is_some_and(|worker| self.slow_start_weight(worker).is_some())
    }

    /// Returns how much of the traffic a worker is to get, where a usual one gets 1. What a warming worker
    /// can do is a part of the fleet's, and so it is loaded as much as the others are, far below what
    /// overloads it.
    pub(super) fn traffic_weight(&self, index: usize) -> Option<f64> {
        let worker = self.workers.get(index)?;
        Some(self.workers.relative_size(worker) * self.slow_start_weight(worker).unwrap_or(1.0))
    }

    /// Returns what this dispatcher may send a worker of a class's jobs; `None` if the worker is warm.
    pub(super) fn slow_start_limit(&self, worker: &Worker, class: u32) -> Option<SlowStartLimit> {
        let pacing = if self.has_low_traffic() { Pacing::RandomDraw } else { Pacing::TokenBucket };
        let (entry, bucket) = (&worker.entry, &worker.bucket);
        SlowStartLimit::new(&self.settings, &self.service_rates, entry, bucket, class, pacing, self.now)
    }

    /// Returns whether a worker is warm, or may be sent the job while it is warming up: by its bucket or a
    /// draw.
    pub(super) fn slow_start_admits(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = self.workers.get(index) else { return false };
        let Some(limit) = self.slow_start_limit(worker, job.request.class) else { return true };
        match limit.pacing {
            Pacing::RandomDraw => self.is_drawn(index, worker, job) && job.attempts.is_empty(),
            Pacing::TokenBucket => worker.bucket.covers(&limit, job.request.slots, self.now),
        }
    }

    /// Returns whether a draw that still holds admits the job to a warming worker.
    fn is_drawn(&self, index: usize, worker: &Worker, job: &Job) -> bool {
        let validity = self.settings.limits.overload_duration / DRAW_VALIDITY_DIVISOR;
        let draw = find_draw(index, worker, job);
        draw.is_some_and(|draw| draw.is_admitted && self.now <= draw.drawn_at + validity)
    }

    /// Draws whether the job may go to a warming worker, the first time that it is its turn there.
    pub(super) fn draw_slow_start(&mut self, index: usize, id: RequestId) {
        let (Some(job), Some(worker)) = (self.jobs.get(&id), self.workers.get(index)) else { return };
        let Some(limit) = self.slow_start_limit(worker, job.request.class) else { return };
        let is_drawn = find_draw(index, worker, job).is_some();
        if is_drawn || !(self.has_capacity_for(index, job) || self.can_be_probed(index, job)) {
            return;
        }
        let Some(weight) = self.traffic_weight(index) else { return };
        let request = AdmissionRequest {
            now: self.now,
            allowed_per_s: limit.jobs_per_s,
            arrivals_per_s: self.arrival_rate.per_s(),
            weight,
            random: self.rng.f64(),
        };
        let Some(worker) = self.workers.get_mut(index) else { return };
        let is_admitted = self.slow_start_admission.try_admit(&request, &mut worker.slow_start_requests);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.slow_start_draws.push(SlowStartDraw { worker: index, drawn_at: self.now, is_admitted });
        }
    }
}

/// Returns the job's draw for a worker since that last started.
fn find_draw<'a>(index: usize, worker: &Worker, job: &'a Job) -> Option<&'a SlowStartDraw> {
    job.slow_start_draws.iter().find(|draw| draw.worker == index && draw.drawn_at >= worker.valid_since)
}
