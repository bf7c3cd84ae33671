//! Reports violations: counts them by kind and logs them with the request. No violation is expected; a count
//! above zero fails tests and soaks.

use hyper::header::HeaderValue;
use nickelflow_engine::permits::{Denial, Operation};
use tracing::error;

use crate::counters::Counters;

/// Counts and logs one violation.
pub fn report(counters: &Counters, operation: Operation, denial: Denial, request_id: &HeaderValue) {
    counters.violations.add();
    counters.violation(operation, denial).add();
    error!(act = operation.name(), denial = denial.name(), request = ?request_id, "a rule was broken");
}
