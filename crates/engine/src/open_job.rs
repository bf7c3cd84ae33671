//! What the engine knows of a job that is not forgotten yet, and of its attempts.

use nickelflow_dispatcher::{Nanos, Outcome, WorkerEntry};

use crate::interface::Output;
use crate::permits::EarlierAttempt;

/// How an attempt stands.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Standing {
    Out,
    /// Told to end; its end is still wanted.
    Cancelled,
    /// Its answer streams to the client, and it cannot be called back.
    Streaming,
    Ended,
}

impl Standing {
    /// Whether its end is still wanted.
    pub(crate) fn is_out(self) -> bool {
        self != Standing::Ended
    }
}

/// One attempt of a job.
pub(crate) struct Attempt {
    pub(crate) standing: Standing,
    /// Its worker, as it was listed when the attempt was ordered.
    pub(crate) worker: WorkerEntry,
    pub(crate) decided: Nanos,
    /// Nothing has proved that it never ran.
    pub(crate) may_have_run: bool,
}

impl Attempt {
    pub(crate) fn ordered(worker: WorkerEntry, decided: Nanos) -> Self {
        Attempt { standing: Standing::Out, worker, decided, may_have_run: true }
    }

    /// One that is not made at all.
    pub(crate) fn not_made(worker: WorkerEntry, decided: Nanos) -> Self {
        Attempt { standing: Standing::Ended, worker, decided, may_have_run: false }
    }

    /// Takes its end; `None` if it has ended before, else how it stood.
    pub(crate) fn end(&mut self, outcome: Outcome) -> Option<Standing> {
        let before = std::mem::replace(&mut self.standing, Standing::Ended);
        self.may_have_run &= !outcome.never_ran();
        before.is_out().then_some(before)
    }
}

/// A job that is open, or of which attempts are out.
pub(crate) struct OpenJob<J> {
    pub(crate) id: J,
    pub(crate) class: u32,
    /// `None` once its answer streams.
    pub(crate) deadline: Option<Nanos>,
    /// Answered, or its client has gone.
    pub(crate) over: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl<J: Clone> OpenJob<J> {
    /// Attempts of which the end is still wanted.
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.standing.is_out()).count()
    }

    /// Its attempts, as permits want to know them.
    pub(crate) fn earlier(&self) -> Vec<EarlierAttempt> {
        let known = |attempt: &Attempt| EarlierAttempt {
            worker: attempt.worker.clone(),
            decided: attempt.decided,
            out: attempt.standing.is_out(),
            may_have_run: attempt.may_have_run,
        };
        self.attempts.iter().map(known).collect()
    }

    /// Withdraws those of its attempts that are out to certain workers.
    pub(crate) fn withdraw<R>(&self, from: impl Fn(u32) -> bool, orders: &mut Vec<Output<J, R>>) {
        let attempts = self.attempts.iter().enumerate();
        let out = attempts
            .filter(|(_, attempt)| attempt.standing == Standing::Out && from(attempt.worker.worker.0));
        orders.extend(out.map(|(n, _)| Output::CancelUnstarted { id: self.id.clone(), attempt: n as u32 }));
    }
}
