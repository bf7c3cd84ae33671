//! How many probes the dispatcher may send for the requests that it gets.

use crate::time::NANOS_PER_SECOND;

/// Probes that each request pays for.
const PROBES_PER_REQUEST: f64 = 4.0;
/// Requests whose unused probes are kept.
const MAX_SAVED_REQUESTS: f64 = 10.0;

/// Probes that requests have paid for and that have not been sent.
pub(crate) struct ProbeBudget {
    probes: f64,
}

impl ProbeBudget {
    /// Creates the budget of one request.
    pub(crate) fn new() -> Self {
        ProbeBudget { probes: PROBES_PER_REQUEST }
    }

    /// Adds what one request pays for.
    pub(crate) fn add_request(&mut self) {
        self.probes = (self.probes + PROBES_PER_REQUEST).min(MAX_SAVED_REQUESTS * PROBES_PER_REQUEST);
    }

    /// Returns whether a probe has been paid for.
    pub(crate) fn allows_probe(&self) -> bool {
        self.probes >= 1.0
    }

    /// Takes one probe out.
    pub(crate) fn spend(&mut self) {
        self.probes -= 1.0;
    }

    /// Returns the time (ns) between two probes of a worker with which as many are sent as the requests pay
    /// for, if all workers are closed. With hundreds of dispatchers that each see little traffic, probing
    /// every closed worker each tau would be more work than the jobs.
    pub(crate) fn affordable_interval_ns(workers: usize, arrivals_per_s: f64) -> f64 {
        workers as f64 / (PROBES_PER_REQUEST * arrivals_per_s) * NANOS_PER_SECOND
    }
}
