//! What goes into a [`Dispatcher`](crate::Dispatcher).

use std::sync::Arc;

use crate::ids::{RequestId, WorkerId};
use crate::rules::Rules;
use crate::time::Nanos;
use crate::worker_entry::WorkerEntry;

/// Error rate that counts as a fault, as a share of the rate of served jobs.
const FAULTY_ERROR_SHARE: f64 = 0.2;
/// Errors a second that any worker may report, however little it serves.
const TOLERATED_ERRORS_PER_S: f64 = 0.5;

/// A worker's load as it reports it. What is missing is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Slots that no job uses.
    pub free_slots: Option<f64>,
    /// Memory that no job uses, in the unit of [`Request::memory`].
    pub free_memory: Option<f64>,
    /// Jobs in the worker's queue.
    pub queued: Option<f64>,
    /// Jobs a second that fail at the worker.
    pub errors_per_s: Option<f64>,
    /// Jobs a second that the worker serves.
    pub served_per_s: Option<f64>,
}

/// Returns a figure if it is finite and not negative.
fn valid(figure: Option<f64>) -> Option<f64> {
    figure.filter(|figure| figure.is_finite() && *figure >= 0.0)
}

impl LoadReport {
    /// Returns the free slots if they are reported and possible.
    pub(crate) fn valid_free_slots(&self) -> Option<f64> {
        valid(self.free_slots)
    }

    /// Returns the queued jobs, 0 if they are not reported or impossible.
    pub(crate) fn valid_queued(&self) -> f64 {
        valid(self.queued).unwrap_or(0.0)
    }

    /// Returns whether so many jobs fail that the worker must be at fault. Such a worker looks idle, for it
    /// fails fast.
    pub(crate) fn shows_fault(&self) -> bool {
        let rate = |figure: Option<f64>| figure.filter(|rate| rate.is_finite()).unwrap_or(0.0);
        rate(self.errors_per_s) > FAULTY_ERROR_SHARE * rate(self.served_per_s) + TOLERATED_ERRORS_PER_S
    }
}

/// What a list of workers covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Changes,
    /// The complete list: workers that are not on it have gone.
    Complete,
    /// The complete list as this dispatcher last saw it, possibly long ago.
    Cached,
    /// A request for the list failed or the subscription dropped; the old list still applies.
    Failed,
    /// The list may lack changes that this dispatcher must already act on. Until the next `Changes` or
    /// `Complete` (an empty one will do), new work goes only to workers that have confirmed, by the answer to
    /// a recent probe, that they accept it.
    Stale,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker answered with a result.
    Ok,
    /// The worker answered with an error.
    Error,
    /// The worker rejected the job without running it: its queue is full, or it is draining.
    Rejected,
    /// The worker rejected the job as one that no worker could run: the request is at fault, not the worker.
    InvalidJob,
    /// No answer came in time.
    Timeout,
    /// No connection to the worker came up.
    ConnectFailed,
    /// The connection broke before the answer.
    Reset,
    /// The caller cancelled the attempt.
    Cancelled,
    /// The attempt was never sent: the request was over or out of attempts.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::InvalidJob | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's number.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: u32,
    /// Index of its tenant in the settings, if it has one.
    pub tenant: Option<u32>,
    /// Slots that the job takes at a worker.
    pub slots: f64,
    /// Memory that the job takes at a worker, in the unit of [`LoadReport::free_memory`].
    pub memory: f64,
    /// A hash of the data that the job needs, the same at every dispatcher.
    pub key: Option<u64>,
    /// Time (ns) until the client gives up.
    pub time_left: Nanos,
    /// Whether the client says that it is repeating itself.
    pub is_retry: bool,
}

/// What happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of workers came in, or could not be had.
    WorkerList {
        /// What the list covers.
        kind: ListKind,
        /// The entries.
        entries: Vec<WorkerEntry>,
    },
    /// A request came in.
    Request(Request),
    /// A running attempt reported that it has started, or its progress.
    Progress {
        /// The attempt's request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// A streamed answer has begun; the request has no deadline any more.
    Streaming {
        /// The attempt's request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// An attempt ended. Exactly one follows each [`Action::Send`](crate::Action::Send).
    AttemptEnded {
        /// The attempt's request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the request is over.
        request_is_finished: bool,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// A probe ended.
    ProbeCompleted {
        /// The probed worker.
        worker: WorkerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// The client has gone; the request needs no answer.
    ClientDisconnected {
        /// The client's request.
        request: RequestId,
    },
    /// The dispatcher is to shut down: every request, also one that is yet to come, is answered by the
    /// deadline.
    Shutdown {
        /// When the last answer must have been given.
        deadline: Nanos,
    },
    /// Rules on which all dispatchers agree. They apply in full until they lapse, and in their degraded form
    /// after that. The same rules again extend their validity.
    Rules {
        /// The rules.
        rules: Arc<Rules>,
        /// When they lapse.
        valid_until: Nanos,
    },
    /// A moment requested with [`Action::Wake`](crate::Action::Wake) has come.
    Wake,
}
