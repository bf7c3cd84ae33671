//! Admits the jobs of a dispatcher with low traffic to workers that have just started.

use crate::time::{Nanos, NANOS_PER_SECOND};

/// Time constant (ns) of the decaying counts of requests for warming workers. A dispatcher with low traffic
/// makes a few requests in this time. When traffic rises suddenly, the admitted jobs rise for about as long,
/// by the logarithm of the rise.
const REQUEST_TIME_CONSTANT: Nanos = 4_000_000_000;
/// Factor by which the requests that are assumed at a start decay faster than counted ones, because not every
/// job requests a warming worker. In 200 random deployments (`tests/slow_start_fleet`), all dispatchers
/// together exceed the N allowed jobs by at most 0.70 of the margin for chance, 2 * sqrt(N) + 2.
const ASSUMED_REQUESTS_DECAY: f64 = 2.0;
/// Decayed count of requests from which a worker may be the one of a hot key. It is more than one request and
/// the rest of another.
const HOT_KEY_REQUESTS: f64 = 1.5;

/// An exponentially decaying count of requests.
#[derive(Clone, Copy, Default)]
pub struct RequestFrequency {
    count: f64,
    updated_at: Nanos,
}

impl RequestFrequency {
    /// Counts a request, and returns the decayed count, including this request.
    pub fn record(&mut self, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / REQUEST_TIME_CONSTANT as f64;
        self.count = self.count * (-elapsed).exp() + 1.0;
        self.updated_at = now;
        self.count
    }
}

/// A sample of the workers with the weight of the warming ones among them, and the number of candidates of a
/// job.
#[derive(Clone, Copy, Debug)]
pub struct WarmingSample {
    /// Weight of the warming workers in the sample.
    pub warming_weight: f64,
    /// Weight of all workers in the sample.
    pub total_weight: f64,
    /// Number of all workers as a multiple of the number in the sample.
    pub scale: f64,
    /// Number of warm candidates of a job.
    pub candidates: usize,
}

/// A job's request for a warming worker.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time of the request.
    pub now: Nanos,
    /// Jobs a second that the dispatcher may send the worker.
    pub allowed_per_s: f64,
    /// Jobs a second that arrive at the dispatcher.
    pub arrivals_per_s: f64,
    /// The worker's weight.
    pub weight: f64,
    /// A random number from 0 to 1.
    pub random: f64,
}

/// Admits jobs to warming workers so that the dispatcher keeps to its rate on average, however often jobs
/// request warming workers: the more requests there are, the smaller the admitted share is.
///
/// After a start or a pause, all dispatchers make requests at the same time, and none has counted any yet.
/// The number of requests that the arrival rate makes likely is assumed at first, and this assumption decays
/// while requests are counted.
#[derive(Default)]
pub struct SlowStartAdmission {
    /// Total weight of the warming workers.
    warming_weight: f64,
    /// Expected number of warming workers that a job requests, at most 1.
    requests_per_job: f64,
    /// Count of the requests for any warming worker.
    requests: RequestFrequency,
    /// Since when `requests` has been counted.
    counted_since: Nanos,
}

impl SlowStartAdmission {
    /// Updates the weights from a sample of the workers.
    pub fn update(&mut self, sample: &WarmingSample) {
        self.warming_weight = sample.warming_weight * sample.scale;
        let warm_weight = (sample.total_weight - sample.warming_weight).max(f64::MIN_POSITIVE);
        let warming_candidates = sample.candidates as f64 * sample.warming_weight / warm_weight;
        self.requests_per_job = warming_candidates.min(1.0);
    }

    /// Draws whether a job may go to a warming worker, whose requests `worker_requests` counts. Most
    /// dispatchers request a worker so rarely that its frequency can only be estimated from the requests for
    /// all warming workers.
    pub fn try_admit(&mut self, request: &AdmissionRequest, worker_requests: &mut RequestFrequency) -> bool {
        let now = request.now;
        let pause = now.saturating_sub(self.requests.updated_at);
        if self.requests.count == 0.0 || pause > REQUEST_TIME_CONSTANT {
            self.counted_since = now;
        }
        let time_constant_s = REQUEST_TIME_CONSTANT as f64 / NANOS_PER_SECOND;
        let elapsed = now.saturating_sub(self.counted_since) as f64 / REQUEST_TIME_CONSTANT as f64;
        let assumed_share = (-ASSUMED_REQUESTS_DECAY * elapsed).exp();
        let assumed = request.arrivals_per_s * self.requests_per_job * time_constant_s * assumed_share;
        let all_requests = self.requests.record(now) + assumed;
        let expected = all_requests * request.weight / self.warming_weight.max(request.weight);
        let counted = worker_requests.record(now);
        let requests = if counted >= HOT_KEY_REQUESTS { expected.max(counted) } else { expected };
        request.random < request.allowed_per_s * time_constant_s / requests
    }
}
