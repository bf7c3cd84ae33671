//! The outputs of an [`Engine`](crate::Engine): the operations that its host must carry out.

use nickelflow_dispatcher::Nanos;

/// The single final answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer<R> {
    /// The job was served with a worker's result.
    Served(R),
    /// The job was rejected; a retry by the client is harmless.
    Rejected {
        /// How long the client should wait before it retries (ns); 0 gives no advice.
        retry_after: Nanos,
    },
    /// The job failed and may have run.
    Failed,
}

impl<R> FinalAnswer<R> {
    /// Returns the name of the kind of answer, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "refused",
            FinalAnswer::Failed => "failed",
        }
    }
}

/// An attempt that the host must start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartAttempt<J> {
    /// The job of the attempt.
    pub job_id: J,
    /// The number of the attempt.
    pub attempt: u32,
    /// The number of the worker; [`Engine::worker`](crate::Engine::worker) returns its name and address.
    pub worker: u32,
    /// When the attempt times out, as [`Outcome::Timeout`](crate::Outcome::Timeout) (ns on the engine's
    /// clock).
    pub deadline: Nanos,
    /// The time from which no byte of the attempt may be written (ns on the engine's clock). If its last byte
    /// has not been written by then, the attempt ends as [`Outcome::NotSent`](crate::Outcome::NotSent).
    /// [`Nanos::MAX`] means that there is no limit.
    pub send_by: Nanos,
}

/// An operation that the host must carry out.
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
        /// The answer to the job.
        answer: FinalAnswer<R>,
    },
    /// Cancel an attempt unless it has started, because its worker drains or has been removed, its endpoint
    /// list has become stale, or its client has disconnected. If no byte of the attempt has been written, the
    /// attempt ends as [`Outcome::NotSent`](crate::Outcome::NotSent); otherwise this has no effect.
    CancelUnstarted {
        /// The job of the attempt.
        job_id: J,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Request a load report from a worker. One [`Input::ProbeCompleted`](crate::Input::ProbeCompleted) must
    /// follow.
    Probe {
        /// The number of the worker.
        worker: u32,
    },
    /// Request the endpoint list and watch it for changes. Lists and changes arrive as
    /// [`Input::WorkerList`](crate::Input::WorkerList), with [`ListKind::Failed`](crate::ListKind::Failed) if
    /// the request failed or the watch has ended.
    Subscribe,
}
