//! The open jobs and their attempts.

use nickelflow_dispatcher::{Nanos, Outcome, WorkerEntry};

use crate::output::Output;
use crate::permits::EarlierAttempt;

/// The state of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    /// The host has been told to start the attempt.
    InFlight,
    /// The host has been told to cancel the attempt and has not reported its end yet.
    Cancelled,
    /// The attempt's answer is being streamed to the client, so that the attempt cannot be cancelled.
    Streaming,
    /// The host has reported the attempt's end, or the attempt was never started.
    Ended,
}

impl AttemptState {
    /// Returns whether the host has yet to report the attempt's end.
    pub(crate) fn is_active(self) -> bool {
        self != AttemptState::Ended
    }
}

/// An attempt of a job.
pub(crate) struct Attempt {
    pub(crate) state: AttemptState,
    /// The entry of the attempt's worker when the attempt was decided.
    pub(crate) worker_entry: WorkerEntry,
    /// When the attempt was decided (ns on the engine's clock).
    pub(crate) decided_at: Nanos,
    /// The attempt may have run: no outcome has proved that it did not.
    pub(crate) may_have_run: bool,
}

impl Attempt {
    /// Creates an attempt that the host is told to start.
    pub(crate) fn in_flight(worker_entry: WorkerEntry, decided_at: Nanos) -> Self {
        Attempt { state: AttemptState::InFlight, worker_entry, decided_at, may_have_run: true }
    }

    /// Creates an attempt that the dispatcher decided on and that the host is not told to start.
    pub(crate) fn not_sent(worker_entry: WorkerEntry, decided_at: Nanos) -> Self {
        Attempt { state: AttemptState::Ended, worker_entry, decided_at, may_have_run: false }
    }

    /// Ends the attempt. Returns its previous state, or `None` if the attempt had already ended.
    pub(crate) fn end(&mut self, outcome: Outcome) -> Option<AttemptState> {
        let before = std::mem::replace(&mut self.state, AttemptState::Ended);
        self.may_have_run &= !outcome.never_ran();
        before.is_active().then_some(before)
    }
}

/// A job that is not answered yet or has attempts whose end the host has yet to report.
pub(crate) struct OpenJob<J> {
    pub(crate) id: J,
    pub(crate) class: u32,
    /// When the client gives up (ns on the engine's clock); `None` once the answer is being streamed.
    pub(crate) deadline: Option<Nanos>,
    /// The job has been answered, or its client has disconnected.
    pub(crate) is_finished: bool,
    /// The job's attempts. The index of an attempt is its number.
    pub(crate) attempts: Vec<Attempt>,
}

impl<J: Clone> OpenJob<J> {
    /// Returns the number of attempts whose end the host has yet to report.
    pub(crate) fn active_attempt_count(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state.is_active()).count()
    }

    /// Returns the job's attempts in the form that permit checks use.
    pub(crate) fn earlier_attempts(&self) -> Vec<EarlierAttempt> {
        let to_earlier_attempt = |attempt: &Attempt| EarlierAttempt {
            worker: attempt.worker_entry.clone(),
            decided_at: attempt.decided_at,
            in_flight: attempt.state.is_active(),
            may_have_run: attempt.may_have_run,
        };
        self.attempts.iter().map(to_earlier_attempt).collect()
    }

    /// Cancels the attempts in flight to the workers for which `is_affected` is true, unless they have
    /// started.
    pub(crate) fn cancel_unstarted<R>(
        &self,
        is_affected: impl Fn(u32) -> bool,
        outputs: &mut Vec<Output<J, R>>,
    ) {
        for (attempt_number, attempt) in self.attempts.iter().enumerate() {
            if attempt.state == AttemptState::InFlight && is_affected(attempt.worker_entry.worker.0) {
                outputs.push(Output::CancelUnstarted {
                    job_id: self.id.clone(),
                    attempt: attempt_number as u32,
                });
            }
        }
    }
}
