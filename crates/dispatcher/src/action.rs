//! What comes out of a [`Dispatcher`](crate::Dispatcher).

use crate::ids::{RequestId, WorkerId};
use crate::time::Nanos;

/// What the caller is to do. Actions are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. A request's attempts are numbered 0, 1, 2 and so on in the order of these actions.
    Send {
        /// The request to send.
        request: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// How long (ns) the attempt may take; 0 is until the client's deadline.
        timeout: Nanos,
        /// What of the attempt is not written by this moment must not be written any more: an attempt whose
        /// last byte has not gone out then ends as [`Outcome::NotSent`](crate::Outcome::NotSent).
        send_by: Nanos,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt's request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// Give the final answer that the request was rejected; a retry is harmless.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// How long (ns) the client is to wait before a retry.
        retry_after: Nanos,
    },
    /// Give the final answer that the request failed; it may have run.
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
    /// Hand in an [`Event::Wake`](crate::Event::Wake) at this time.
    Wake {
        /// The time of the event.
        at: Nanos,
    },
}
