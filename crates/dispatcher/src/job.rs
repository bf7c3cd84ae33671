//! What a dispatcher knows of one request and its attempts.

use crate::event::{LoadReport, Outcome, Request};
use crate::held_requests::HoldPosition;
use crate::time::Nanos;
use crate::traffic::QuotaUse;
use crate::worker_entry::WorkerEntry;

/// One attempt of a request.
pub(crate) struct Attempt {
    /// Index of the worker.
    pub(crate) worker: usize,
    /// The worker's entry on the list at the time of the attempt.
    pub(crate) entry: WorkerEntry,
    /// When the attempt was decided on.
    pub(crate) sent_at: Nanos,
    /// Whether its outcome is still to come.
    pub(crate) is_in_flight: bool,
    /// Whether it may have run; false once it is known not to have.
    pub(crate) may_have_run: bool,
    /// When the first sign of it came.
    pub(crate) first_signal_at: Option<Nanos>,
    /// Since when it counts as a job at its worker.
    pub(crate) counted_since: Option<Nanos>,
}

impl Attempt {
    /// Creates an attempt that is being sent.
    pub(crate) fn new(worker: usize, entry: WorkerEntry, now: Nanos) -> Self {
        Attempt {
            worker,
            entry,
            sent_at: now,
            is_in_flight: true,
            may_have_run: true,
            first_signal_at: None,
            counted_since: None,
        }
    }

    /// Returns whether the attempt is in flight and no sign of it has come.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.is_in_flight && self.first_signal_at.is_none()
    }
}

/// How an attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct AttemptOutcome {
    /// The outcome itself.
    pub(crate) outcome: Outcome,
    /// Whether the request is over.
    pub(crate) request_is_finished: bool,
    /// The load report that came with the answer.
    pub(crate) report: Option<LoadReport>,
}

/// The draw of a dispatcher with little traffic whether a job may go to a warming worker.
pub(crate) struct SlowStartDraw {
    /// Index of the worker.
    pub(crate) worker: usize,
    /// When it was drawn.
    pub(crate) drawn_at: Nanos,
    /// Whether the job may go there.
    pub(crate) is_admitted: bool,
}

/// A request that is open, or of which attempts are still in flight.
pub(crate) struct Job {
    /// The request.
    pub(crate) request: Request,
    /// Its number in the order of arrival.
    pub(crate) arrival: u64,
    /// When it must have its final answer.
    pub(crate) deadline: Nanos,
    /// Until when it may be held as one that can still be answered in time.
    pub(crate) hold_until: Nanos,
    /// Whether it is within its tenant's quota.
    pub(crate) quota_use: QuotaUse,
    /// Its position in the hold queue, while it is held.
    pub(crate) hold_position: Option<HoldPosition>,
    /// Indexes of the workers that it may go to, in the order of preference; none if it may go to any.
    pub(crate) candidates: Vec<usize>,
    /// The warming workers among them that were drawn for.
    pub(crate) slow_start_draws: Vec<SlowStartDraw>,
    /// Number of the search for a candidate to probe; timers of earlier searches are void.
    pub(crate) candidate_search: u32,
    /// Its attempts, by their number.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether it needs no answer any more.
    pub(crate) is_finished: bool,
    /// Whether a streamed answer has begun.
    pub(crate) is_streaming: bool,
}

impl Job {
    /// Returns when the first attempt that may have run was decided on.
    pub(crate) fn first_possible_run(&self) -> Option<Nanos> {
        self.attempts.iter().find(|attempt| attempt.may_have_run).map(|attempt| attempt.sent_at)
    }

    /// Returns the worker of the last attempt that may have run.
    pub(crate) fn last_possible_worker(&self) -> Option<usize> {
        self.attempts.iter().rev().find(|attempt| attempt.may_have_run).map(|attempt| attempt.worker)
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Returns whether the request exceeds its tenant's quota.
    pub(crate) fn is_over_quota(&self) -> bool {
        self.quota_use == QuotaUse::OverQuota
    }

    /// Returns whether no job of the hold queue takes less than this one.
    pub(crate) fn has_least_demand(&self) -> bool {
        self.attempts.is_empty() && self.request.slots <= 1.0 && self.request.memory == 0.0
    }
}
