//! The events that a caller delivers to a [`Dispatcher`](crate::Dispatcher).

use std::sync::Arc;

use crate::ids::{RequestId, WorkerId};
use crate::rules::Rules;
use crate::time::Nanos;
use crate::worker_entry::WorkerEntry;

/// Error rate above which a worker counts as faulty, as a share of its rate of served jobs.
const FAULTY_ERROR_SHARE: f64 = 0.2;
/// Errors a second that a worker may report, however few jobs it serves.
const TOLERATED_ERRORS_PER_S: f64 = 0.5;

/// The load of a worker, as the worker reports it. Missing values are `None`.
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

/// Returns a value if it is finite and not negative.
fn non_negative(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value >= 0.0)
}

impl LoadReport {
    /// Returns the free slots if they are reported and valid.
    pub(crate) fn valid_free_slots(&self) -> Option<f64> {
        non_negative(self.free_slots)
    }

    /// Returns the queued jobs, or 0 if they are not reported or invalid.
    pub(crate) fn valid_queued(&self) -> f64 {
        non_negative(self.queued).unwrap_or(0.0)
    }

    /// Returns whether the error rate marks the worker as faulty. A faulty worker looks idle, because it
    /// fails jobs fast.
    pub(crate) fn shows_fault(&self) -> bool {
        let rate = |rate: Option<f64>| rate.filter(|rate| rate.is_finite()).unwrap_or(0.0);
        rate(self.errors_per_s) > FAULTY_ERROR_SHARE * rate(self.served_per_s) + TOLERATED_ERRORS_PER_S
    }
}

/// What an update of the worker list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Changes,
    /// The complete list. Workers that are not on it are gone.
    Complete,
    /// The complete list as this dispatcher last received it, which may be long ago.
    Cached,
    /// Nothing: the request for the list failed or the subscription ended. The previous list still applies.
    Failed,
    /// The list may lack changes that this dispatcher must already act on. Until the next `Changes` or
    /// `Complete`, which may be empty, new work goes only to workers that confirmed in a recent probe that
    /// they accept it.
    Stale,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker answered with a result.
    Ok,
    /// The worker answered with an error.
    Error,
    /// The worker rejected the job without running it, because its queue is full or it is draining.
    Rejected,
    /// The worker rejected the job as one that no worker could run. The fault lies with the request, not with
    /// the worker.
    InvalidJob,
    /// No answer arrived in time.
    Timeout,
    /// No connection to the worker could be established.
    ConnectFailed,
    /// The connection broke before the answer arrived.
    Reset,
    /// The caller cancelled the attempt.
    Cancelled,
    /// The attempt was never sent, because the request was finished, had no attempts left or could no longer
    /// be written in time.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::InvalidJob | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that arrives at the dispatcher.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's identifier.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: u32,
    /// Index of its tenant in the settings, if it has one.
    pub tenant: Option<u32>,
    /// Slots that the job uses at a worker.
    pub slots: f64,
    /// Memory that the job uses at a worker, in the unit of [`LoadReport::free_memory`].
    pub memory: f64,
    /// Hash of the data that the job needs. All dispatchers compute the same hash.
    pub key: Option<u64>,
    /// Time (ns) until the client gives up.
    pub time_left: Nanos,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
}

/// An event that a dispatcher handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of workers arrived, or the request for one failed.
    WorkerList {
        /// What the list covers.
        kind: ListKind,
        /// The entries.
        entries: Vec<WorkerEntry>,
    },
    /// A request arrived.
    Request(Request),
    /// An attempt in flight reported that it has started, or its progress.
    Progress {
        /// The attempt's request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// A streamed answer began. The request has no deadline from then on.
    Streaming {
        /// The attempt's request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
    },
    /// An attempt ended. Exactly one of these events follows each [`Action::Send`](crate::Action::Send).
    AttemptEnded {
        /// The attempt's request.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the request is finished and needs no further attempt.
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
    /// The client disconnected. Its request needs no answer.
    ClientDisconnected {
        /// The client's request.
        request: RequestId,
    },
    /// The dispatcher must shut down. Every request, including those that arrive later, is answered by the
    /// deadline.
    Shutdown {
        /// Deadline of the last answer.
        deadline: Nanos,
    },
    /// Rules that all dispatchers agree on. They apply in full until they lapse, and in their degraded form
    /// afterwards. The same `Arc` received again extends their validity.
    Rules {
        /// The rules.
        rules: Arc<Rules>,
        /// When they lapse.
        valid_until: Nanos,
    },
    /// A wake-up requested with [`Action::Wake`](crate::Action::Wake) is due.
    Wake,
}
