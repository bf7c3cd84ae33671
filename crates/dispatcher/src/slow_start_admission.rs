//! How a dispatcher with little traffic admits jobs to workers that have just started.

use crate::time::{Nanos, NANOS_PER_SECOND};

/// Memory (ns) of how often a dispatcher's jobs ask for warming workers. One with little traffic asks some
/// times in it; when traffic rises at once, what is admitted rises for as long, by the logarithm of the rise.
/// Of other lengths only 1.5 s was tried.
const REQUEST_MEMORY: Nanos = 4_000_000_000;
/// The requests that are assumed for a start are forgotten so many times as fast as counted ones, for not
/// each job asks for a warming worker. In 200 drawn deployments (`tests/cold_fleet`) all dispatchers together
/// come to 0.70 of what is put down to chance at most.
const ASSUMPTION_DECAY: f64 = 2.0;
/// So many requests for one worker are more than one and the rest of another: it may be the worker of a hot
/// key.
const FREQUENT_REQUESTS: f64 = 1.5;

/// How often something was requested of late.
#[derive(Clone, Copy, Default)]
pub struct RequestFrequency {
    count: f64,
    updated_at: Nanos,
}

impl RequestFrequency {
    /// Counts one more request, and returns how many there were within the memory, this one included.
    pub fn record(&mut self, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / REQUEST_MEMORY as f64;
        self.count = self.count * (-elapsed).exp() + 1.0;
        self.updated_at = now;
        self.count
    }
}

/// The warming workers among a sample of the workers, and what a job asks of them.
#[derive(Clone, Copy, Debug)]
pub struct WarmingSample {
    /// Weight of the warming workers in the sample.
    pub warming_weight: f64,
    /// Weight of all workers in the sample.
    pub total_weight: f64,
    /// How many times as many workers as the sample there are.
    pub scale: f64,
    /// Warm candidates that a job has.
    pub candidates: usize,
}

/// A job's request for one warming worker.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The job's time.
    pub now: Nanos,
    /// Jobs a second that the dispatcher may send the worker.
    pub allowed_per_s: f64,
    /// Jobs a second that come to the dispatcher.
    pub arrivals_per_s: f64,
    /// The worker's weight.
    pub weight: f64,
    /// A random number from 0 to 1.
    pub random: f64,
}

/// Admits jobs to warming workers so that the dispatcher keeps to its rate on average however often they ask:
/// the more do, the fewer are admitted.
///
/// After a start or a pause all dispatchers ask at once, and none remembers any requests: as many as its jobs
/// make likely are assumed, fewer and fewer as others are counted.
#[derive(Default)]
pub struct SlowStartAdmission {
    /// Weight of all warming workers.
    warming_weight: f64,
    /// How many of them a job asks for, but no more than one.
    requests_per_job: f64,
    /// How often jobs asked for one of them.
    requests: RequestFrequency,
    /// Since when that is remembered.
    counted_since: Nanos,
}

impl SlowStartAdmission {
    /// Takes in a sample of the workers.
    pub fn update(&mut self, sample: &WarmingSample) {
        self.warming_weight = sample.warming_weight * sample.scale;
        let warm_weight = (sample.total_weight - sample.warming_weight).max(f64::MIN_POSITIVE);
        let warming_candidates = sample.candidates as f64 * sample.warming_weight / warm_weight;
        self.requests_per_job = warming_candidates.min(1.0);
    }

    /// Draws whether a job may go to a warming worker, of which `worker_requests` counts the requests. Most
    /// dispatchers request one worker so seldom that the frequency can only be estimated from the requests
    /// for all of them.
    pub fn try_admit(&mut self, request: &AdmissionRequest, worker_requests: &mut RequestFrequency) -> bool {
        let now = request.now;
        let pause = now.saturating_sub(self.requests.updated_at);
        if self.requests.count == 0.0 || pause > REQUEST_MEMORY {
            self.counted_since = now;
        }
        let memory_s = REQUEST_MEMORY as f64 / NANOS_PER_SECOND;
        let elapsed = now.saturating_sub(self.counted_since) as f64 / REQUEST_MEMORY as f64;
        let unknown_share = (-ASSUMPTION_DECAY * elapsed).exp();
        let assumed = request.arrivals_per_s * self.requests_per_job * memory_s * unknown_share;
        let all_requests = self.requests.record(now) + assumed;
        let expected = all_requests * request.weight / self.warming_weight.max(request.weight);
        let counted = worker_requests.record(now);
        let requests = if counted >= FREQUENT_REQUESTS { expected.max(counted) } else { expected };
        request.random < request.allowed_per_s * memory_s / requests
    }
}
