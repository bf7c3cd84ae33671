//! The actions that a [`Dispatcher`](crate::Dispatcher) requests from its caller.

use crate::ids::{RequestId, WorkerId};
use crate::time::Nanos;

/// An action that the caller must carry out. The caller carries out actions in the order in which it receives
/// them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request to send.
        request: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// Longest duration (ns) of the attempt; 0 means until the client's deadline.
        timeout: Nanos,
        /// Deadline for writing the attempt. If the last byte has not been written by then, the caller stops
        /// writing, and the attempt ends as [`Outcome::NotSent`](crate::Outcome::NotSent).
        send_by: Nanos,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt's request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// Give the final answer that the request was rejected. The client can safely retry it.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time (ns) that the client must wait before it retries.
        retry_after: Nanos,
    },
    /// Give the final answer that the request failed. The request may have run.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Ask a worker for a load report.
    Probe {
        /// The worker to ask.
        worker: WorkerId,
    },
    /// Subscribe to membership changes from now on.
    Subscribe,
    /// Deliver an [`Event::Wake`](crate::Event::Wake) at this time.
    Wake {
        /// The time of the event.
        at: Nanos,
    },
}
