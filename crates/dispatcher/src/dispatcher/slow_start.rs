//! Limits on the jobs that are sent to workers in slow start.

use super::Dispatcher;
use crate::ids::RequestId;
use crate::job::{Job, SlowStartDraw};
use crate::slow_start::{Pacing, SlowStartLimit};
use crate::slow_start_admission::AdmissionRequest;
use crate::time::Nanos;
use crate::worker::Worker;

/// A draw stays valid for 1/n of the overload window (`overload_duration`). Jobs that wait with a valid draw
/// may all be sent at once, which adds at most 1/n of a window's jobs to a window.
const DRAW_VALIDITY_DIVISOR: Nanos = 2;

impl Dispatcher {
    /// Returns the smallest share of its capacity that a warming worker has now; `None` if the worker is
    /// warm.
    pub(super) fn slow_start_weight(&self, worker: &Worker) -> Option<f64> {
        self.settings.limits.slow_start_weight(worker.entry.started_at, self.now, 0)
    }

    /// Returns whether a worker has been listed and is warming up.
    pub(super) fn is_warming_up(&self, worker_index: usize) -> bool {
        self.workers.get(worker_index).is_some_and(|worker| self.slow_start_weight(worker).is_some())
    }

    /// Returns a worker's share of the traffic, relative to a typical warm worker with weight 1. A warming
    /// worker gets traffic in proportion to its capacity: it is as highly utilized as the other workers, far
    /// below the rate that overloads it.
    pub(super) fn traffic_weight(&self, worker_index: usize) -> Option<f64> {
        let worker = self.workers.get(worker_index)?;
        Some(self.workers.relative_size(worker) * self.slow_start_weight(worker).unwrap_or(1.0))
    }

    /// Returns the limit on the jobs of a class that this dispatcher may send to a worker; `None` if the
    /// worker is warm.
    pub(super) fn slow_start_limit(&self, worker: &Worker, class: u32) -> Option<SlowStartLimit> {
        let pacing = if self.has_low_traffic() { Pacing::RandomDraw } else { Pacing::TokenBucket };
        let (entry, bucket) = (&worker.entry, &worker.bucket);
        SlowStartLimit::new(&self.settings, &self.service_rates, entry, bucket, class, pacing, self.now)
    }

    /// Returns whether a worker is warm, or its token bucket or a random draw admits the job while the worker
    /// is warming up.
    pub(super) fn slow_start_admits(&self, worker_index: usize, job: &Job) -> bool {
        let Some(worker) = self.workers.get(worker_index) else { return false };
        let Some(limit) = self.slow_start_limit(worker, job.request.class) else { return true };
        match limit.pacing {
            Pacing::RandomDraw => {
                self.has_admitting_draw(worker_index, worker, job) && job.attempts.is_empty()
            }
            Pacing::TokenBucket => worker.bucket.covers(&limit, job.request.slots, self.now),
        }
    }

    /// Returns whether a draw that is still valid admits the job to a warming worker.
    fn has_admitting_draw(&self, worker_index: usize, worker: &Worker, job: &Job) -> bool {
        let validity = self.settings.limits.overload_duration / DRAW_VALIDITY_DIVISOR;
        let draw = find_draw(worker_index, worker, job);
        draw.is_some_and(|draw| draw.is_admitted && self.now <= draw.drawn_at + validity)
    }

    /// Draws whether the job may go to a warming worker. Each job draws once per worker, when the worker is
    /// otherwise open for the job or can be probed for it.
    pub(super) fn draw_slow_start_admission(&mut self, worker_index: usize, request_id: RequestId) {
        let (Some(job), Some(worker)) = (self.jobs.get(&request_id), self.workers.get(worker_index)) else {
            return;
        };
        let Some(limit) = self.slow_start_limit(worker, job.request.class) else { return };
        let has_drawn = find_draw(worker_index, worker, job).is_some();
        if has_drawn
            || !(self.is_open_ignoring_slow_start(worker_index, job)
                || self.can_report_in_time(worker_index, job))
        {
            return;
        }
        let Some(weight) = self.traffic_weight(worker_index) else { return };
        let request = AdmissionRequest {
            now: self.now,
            allowed_per_s: limit.jobs_per_s,
            arrivals_per_s: self.arrival_rate.per_s(),
            weight,
            random: self.rng.f64(),
        };
        let Some(worker) = self.workers.get_mut(worker_index) else { return };
        let is_admitted = self.slow_start_admission.try_admit(&request, &mut worker.slow_start_requests);
        if let Some(job) = self.jobs.get_mut(&request_id) {
            job.slow_start_draws.push(SlowStartDraw {
                worker: worker_index,
                drawn_at: self.now,
                is_admitted,
            });
        }
    }
}

/// Returns the draw that the job made for a worker since the worker last started.
fn find_draw<'a>(worker_index: usize, worker: &Worker, job: &'a Job) -> Option<&'a SlowStartDraw> {
    job.slow_start_draws
        .iter()
        .find(|draw| draw.worker == worker_index && draw.drawn_at >= worker.valid_since)
}
