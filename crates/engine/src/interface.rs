//! What goes into an [`Engine`](crate::Engine) and what comes out of it.

use std::fmt;
use std::sync::Arc;

use nickelflow_dispatcher::{ListKind, LoadReport, Nanos, Outcome, Rules};

use crate::instances::Endpoint;

/// A job as a host hands it in.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of its class in the settings; one that is out of range counts as the last.
    pub class: u32,
    /// Index of its tenant in the settings; one that is out of range has no share to keep to.
    pub tenant: Option<u32>,
    /// Slots and memory that it takes while it runs, in the units of reports.
    pub slots: f64,
    pub memory: f64,
    /// [`hash`](crate::hash) of the name of the data that it needs.
    pub key: Option<u64>,
    /// The client says that it is repeating itself.
    pub is_retry: bool,
    /// When its client gives up.
    pub deadline: Nanos,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult<R> {
    pub outcome: Outcome,
    /// What the instance gave for the job. An [`Outcome::Ok`] without it cannot serve the job and counts as
    /// an [`Outcome::Error`].
    pub result: Option<R>,
    /// The load report that came with it.
    pub report: Option<LoadReport>,
}

impl<R> From<Outcome> for AttemptResult<R> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, result: None, report: None }
    }
}

/// What has happened outside.
#[derive(Clone, Debug)]
pub enum Input<J, A, R> {
    /// A list of instances, or news of it. With [`ListKind::Failed`] and [`ListKind::Stale`] the entries are passed
    /// over; the latter withdraws whatever has not begun.
    WorkerList {
        kind: ListKind,
        workers: Vec<Endpoint<A>>,
    },
    Job {
        id: J,
        job: Job,
    },
    /// The client will take no answer any more.
    ClientDisconnected {
        id: J,
    },
    /// A running attempt gave a sign of life.
    Progress {
        id: J,
        attempt: u32,
    },
    /// A streamed answer has begun. The job has no deadline any more; the end of this attempt ends it.
    Streaming {
        id: J,
        attempt: u32,
    },
    AttemptEnded {
        id: J,
        attempt: u32,
        result: AttemptResult<R>,
    },
    /// The one answer to an [`Output::Probe`], or its time-out.
    ProbeCompleted {
        worker: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// The scheduler is to end: all that is open by then is answered at this time, and what still comes too.
    Shutdown {
        deadline: Nanos,
    },
    /// Rules that all schedulers agree on, in full until then; instances in them are named by [`hash`](crate::hash).
    Rules {
        rules: Arc<Rules>,
        valid_until: Nanos,
    },
    /// [`Engine::next_wake`] has come.
    Wake,
}

/// The single final answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer<R> {
    /// An instance's own result.
    Served(R),
    /// Turned away: to try again is harmless, best after this long (ns; 0 gives no advice).
    Rejected { retry_after: Nanos },
    /// Nothing is promised: it may have run.
    Failed,
}

impl<R> FinalAnswer<R> {
    /// What kind of answer it is, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "refused",
            FinalAnswer::Failed => "failed",
        }
    }
}

/// One attempt to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartAttempt<J> {
    pub id: J,
    pub attempt: u32,
    /// Number of the instance; [`Engine::worker`] tells its name and address.
    pub worker: u32,
    /// When it is to be given up as [`Outcome::Timeout`].
    pub deadline: Nanos,
    /// What of it is not written by then must not be any more: as long as its last byte has not gone out, it ends as
    /// [`Outcome::NotSent`] then. [`Nanos::MAX`] where nothing bounds it.
    pub send_by: Nanos,
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output<J, R> {
    StartAttempt(StartAttempt<J>),
    Cancel {
        id: J,
        attempt: u32,
    },
    FinalAnswer {
        id: J,
        answer: FinalAnswer<R>,
    },
    /// The attempt must not begin any more: its instance leaves, or nobody waits for it. If no byte of it has
    /// gone out it ends as [`Outcome::NotSent`]; if one has, this changes nothing.
    CancelUnstarted {
        id: J,
        attempt: u32,
    },
    /// Ask an instance for its load; one [`Input::ProbeCompleted`] is wanted.
    Probe {
        worker: u32,
    },
    /// Ask for the list and for all news of it; [`Input::WorkerList`] tells, with [`ListKind::Failed`] if that
    /// did not succeed or has ended.
    Subscribe,
}

/// An input that cannot be: a host's mistake. It has changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// A job under an id that is open already, or whose attempts have not all ended yet.
    DuplicateJob,
    /// The end of an attempt that is not out: it has ended before, or was never ordered.
    AttemptNotInFlight,
    /// A probe's answer for an instance that was never listed.
    UnknownWorker,
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EngineError::DuplicateJob => "a job under an id that is open already",
            EngineError::AttemptNotInFlight => "an end of an attempt that is not out",
            EngineError::UnknownWorker => "a probe's answer for an instance that was never listed",
        })
    }
}

impl std::error::Error for EngineError {}
