//! The jobs that are not forgotten yet, and their attempts.

use nickelflow_dispatcher::{Nanos, Outcome, WorkerEntry};

use crate::output::Output;
use crate::permits::EarlierAttempt;

/// The state of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    /// The attempt has been ordered.
    InFlight,
    /// The attempt has been cancelled, and its end has not been reported yet.
    Cancelled,
    /// The attempt's answer is being streamed to the client, so that it cannot be cancelled.
    Streaming,
    /// The attempt's end has been reported, or the attempt was never made.
    Ended,
}

impl AttemptState {
    /// Returns whether the attempt's end is still to be reported.
    pub(crate) fn awaits_end(self) -> bool {
        self != AttemptState::Ended
    }
}

/// One attempt of a job.
pub(crate) struct Attempt {
    pub(crate) state: AttemptState,
    /// The attempt's worker, as it was listed when the attempt was decided.
    pub(crate) worker: WorkerEntry,
    /// When the attempt was decided (ns on the engine's clock).
    pub(crate) decided_at: Nanos,
    /// Nothing has proved that the attempt never ran.
    pub(crate) may_have_run: bool,
}

impl Attempt {
    /// Creates an attempt that has been ordered.
    pub(crate) fn in_flight(worker: WorkerEntry, decided_at: Nanos) -> Self {
        Attempt { state: AttemptState::InFlight, worker, decided_at, may_have_run: true }
    }

    /// Creates an attempt that the dispatcher decided on and that is not made.
    pub(crate) fn never_sent(worker: WorkerEntry, decided_at: Nanos) -> Self {
        Attempt { state: AttemptState::Ended, worker, decided_at, may_have_run: false }
    }

    /// Ends the attempt. Returns its state before that, or `None` if it had ended already.
    pub(crate) fn end(&mut self, outcome: Outcome) -> Option<AttemptState> {
        let before = std::mem::replace(&mut self.state, AttemptState::Ended);
        self.may_have_run &= !outcome.never_ran();
        before.awaits_end().then_some(before)
    }
}

/// A job that is not answered yet or has attempts whose end is still to be reported.
pub(crate) struct OpenJob<J> {
    pub(crate) id: J,
    pub(crate) class: u32,
    /// When the job's client gives up (ns on the engine's clock); `None` once its answer is being streamed.
    pub(crate) deadline: Option<Nanos>,
    /// The job has been answered, or its client has disconnected.
    pub(crate) is_finished: bool,
    /// The job's attempts; the number of an attempt is its index.
    pub(crate) attempts: Vec<Attempt>,
}

impl<J: Clone> OpenJob<J> {
    /// Returns the number of attempts whose end is still to be reported.
    pub(crate) fn attempts_awaiting_end(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state.awaits_end()).count()
    }

    /// Returns the job's attempts in the form in which permits take them.
    pub(crate) fn earlier_attempts(&self) -> Vec<EarlierAttempt> {
        let convert = |attempt: &Attempt| EarlierAttempt {
            worker: attempt.worker.clone(),
            decided_at: attempt.decided_at,
            in_flight: attempt.state.awaits_end(),
            may_have_run: attempt.may_have_run,
        };
        self.attempts.iter().map(convert).collect()
    }

    /// Withdraws the attempts in flight to those workers for which `affects` holds, unless they have started.
    pub(crate) fn cancel_unstarted<R>(&self, affects: impl Fn(u32) -> bool, outputs: &mut Vec<Output<J, R>>) {
        for (number, attempt) in self.attempts.iter().enumerate() {
            if attempt.state == AttemptState::InFlight && affects(attempt.worker.worker.0) {
                outputs.push(Output::CancelUnstarted { job_id: self.id.clone(), attempt: number as u32 });
            }
        }
    }
}
