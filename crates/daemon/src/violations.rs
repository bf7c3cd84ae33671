//! Rules that were found broken: counted by kind and logged with the request. None of them may ever be seen; a count above
//! zero fails tests and soaks.

use hyper::header::HeaderValue;
use nickelflow_engine::permits::{Denial, Operation};
use tracing::error;

use crate::counters::Counters;

/// Takes note of one.
pub fn report(counters: &Counters, operation: Operation, denial: Denial, request: &HeaderValue) {
    counters.violations.add();
    counters.violation(operation, denial).add();
    error!(act = operation.name(), denial = denial.name(), ?request, "a rule was broken");
}
