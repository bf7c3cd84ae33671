//! Limits the number of probes by the number of requests.

use crate::time::NANOS_PER_SECOND;

/// Probes that each request adds to the budget.
const PROBES_PER_REQUEST: f64 = 4.0;
/// Requests whose unused probes the budget can hold.
const MAX_SAVED_REQUESTS: f64 = 10.0;

/// Probes that requests have added to the budget and that have not been sent.
pub(crate) struct ProbeBudget {
    probes: f64,
}

impl ProbeBudget {
    /// Creates a budget with the probes of one request.
    pub(crate) fn new() -> Self {
        ProbeBudget { probes: PROBES_PER_REQUEST }
    }

    /// Adds the probes of one request.
    pub(crate) fn add_request(&mut self) {
        self.probes = (self.probes + PROBES_PER_REQUEST).min(MAX_SAVED_REQUESTS * PROBES_PER_REQUEST);
    }

    /// Returns whether the budget covers a probe.
    pub(crate) fn allows_probe(&self) -> bool {
        self.probes >= 1.0
    }

    /// Takes one probe from the budget.
    pub(crate) fn spend(&mut self) {
        self.probes -= 1.0;
    }

    /// Returns the probe interval (ns) of a worker at which requests add just enough probes to the budget if
    /// all workers are closed. With hundreds of dispatchers that each see low traffic, probing every closed
    /// worker each tau would cause more work than the jobs do.
    pub(crate) fn affordable_interval_ns(worker_count: usize, arrivals_per_s: f64) -> f64 {
        worker_count as f64 / (PROBES_PER_REQUEST * arrivals_per_s) * NANOS_PER_SECOND
    }
}
