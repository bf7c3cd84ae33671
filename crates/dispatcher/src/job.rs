//! The state of one request and its attempts.

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
    /// When the dispatcher issued the [`Action::Send`](crate::Action::Send) of the attempt.
    pub(crate) sent_at: Nanos,
    /// Whether its outcome is still unknown.
    pub(crate) is_in_flight: bool,
    /// Whether it may have run; false once its outcome proves that it did not.
    pub(crate) may_have_run: bool,
    /// When its first signal arrived.
    pub(crate) first_signal_at: Option<Nanos>,
    /// Since when [`ServiceRates`](crate::service_rate::ServiceRates) counts it as a job at its worker;
    /// `None` if it is not counted.
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

    /// Returns whether the attempt is in flight and no signal of it has arrived.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.is_in_flight && self.first_signal_at.is_none()
    }
}

/// How an attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct AttemptOutcome {
    /// The outcome itself.
    pub(crate) outcome: Outcome,
    /// Whether the request is finished and needs no further attempt.
    pub(crate) request_is_finished: bool,
    /// The load report that came with the answer.
    pub(crate) report: Option<LoadReport>,
}

/// The result of a random draw, made where traffic is low, that decides whether a job may go to a warming
/// worker.
pub(crate) struct SlowStartDraw {
    /// Index of the worker.
    pub(crate) worker: usize,
    /// When the draw was made.
    pub(crate) drawn_at: Nanos,
    /// Whether the job may go to the worker.
    pub(crate) is_admitted: bool,
}

/// A request that is not finished, or that still has attempts in flight.
pub(crate) struct Job {
    /// The request.
    pub(crate) request: Request,
    /// Its number in the order of arrival.
    pub(crate) arrival_number: u64,
    /// When it must have its final answer.
    pub(crate) deadline: Nanos,
    /// Until when it may be held for an answer in time.
    pub(crate) hold_until: Nanos,
    /// Time until which a late request is held only for the probes of its candidates; `None` if it is not.
    pub(crate) probe_wait_until: Option<Nanos>,
    /// Whether it is within its tenant's quota.
    pub(crate) quota_use: QuotaUse,
    /// Its position in the hold queue, while it is held.
    pub(crate) hold_position: Option<HoldPosition>,
    /// Indexes of the workers that it may go to, in the order of preference; empty if it may go to any.
    pub(crate) candidates: Vec<usize>,
    /// Draws for the warming workers among its candidates.
    pub(crate) slow_start_draws: Vec<SlowStartDraw>,
    /// Generation of the search for a candidate to probe; timers of earlier generations are ignored.
    pub(crate) candidate_search: u32,
    /// Its attempts, in the order of their numbers.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether it needs no further answer.
    pub(crate) is_finished: bool,
    /// Whether a streamed answer has begun.
    pub(crate) is_streaming: bool,
}

impl Job {
    /// Returns when the first attempt that may have run was sent.
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

    /// Returns whether the job has the least demand: a worker that cannot take it is assumed to be unable to
    /// take any other held job.
    pub(crate) fn has_least_demand(&self) -> bool {
        self.attempts.is_empty() && self.request.slots <= 1.0 && self.request.memory == 0.0
    }
}
