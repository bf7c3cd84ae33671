//! The outputs of an [`Engine`](crate::Engine): everything that its host is to do.

use nickelflow_dispatcher::Nanos;

/// The single final answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer<R> {
    /// A worker's result.
    Served(R),
    /// The job is rejected: a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries (ns); 0 gives no advice.
        retry_after: Nanos,
    },
    /// The job failed and may have run.
    Failed,
}

impl<R> FinalAnswer<R> {
    /// Returns the kind of answer, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "refused",
            FinalAnswer::Failed => "failed",
        }
    }
}

/// One attempt to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartAttempt<J> {
    /// The job of the attempt.
    pub job_id: J,
    /// The number of the attempt.
    pub attempt: u32,
    /// The number of the worker; [`Engine::worker`](crate::Engine::worker) returns its name and address.
    pub worker: u32,
    /// When the attempt is to be given up as [`Outcome::Timeout`](crate::Outcome::Timeout) (ns on the engine's clock).
    pub deadline: Nanos,
    /// The time from which no byte of the attempt may be written (ns on the engine's clock). If its last byte has not been
    /// written by then, it ends as [`Outcome::NotSent`](crate::Outcome::NotSent). [`Nanos::MAX`] where nothing bounds it.
    pub send_by: Nanos,
}

/// Something that the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output<J, R> {
    /// Start an attempt.
    StartAttempt(StartAttempt<J>),
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The job of the attempt.
        job_id: J,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Answer a job.
    FinalAnswer {
        /// The job to answer.
        job_id: J,
        /// Its answer.
        answer: FinalAnswer<R>,
    },
    /// Do not start the attempt any more: its worker drains, or its client has disconnected. If no byte of it has been
    /// written it ends as [`Outcome::NotSent`](crate::Outcome::NotSent); otherwise this changes nothing.
    CancelUnstarted {
        /// The job of the attempt.
        job_id: J,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Ask a worker for its load. One [`Input::ProbeCompleted`](crate::Input::ProbeCompleted) must follow.
    Probe {
        /// The number of the worker.
        worker: u32,
    },
    /// Request the endpoint list and all changes to it. They come as [`Input::WorkerList`](crate::Input::WorkerList), with
    /// [`ListKind::Failed`](crate::ListKind::Failed) if the request failed or the watch has ended.
    Subscribe,
}
