//! The inputs of an [`Engine`](crate::Engine): the events that happen outside of it.

use std::sync::Arc;

use nickelflow_dispatcher::{ListKind, LoadReport, Nanos, Outcome, Rules, WorkerStatus};

/// A job as a host submits it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The index of the class in the settings; an index out of range means the last class.
    pub class: u32,
    /// The index of the tenant in the settings; a tenant whose index is out of range has no quota.
    pub tenant: Option<u32>,
    /// Slots that the job occupies while it runs, in the unit of the load reports.
    pub slots: f64,
    /// Memory that the job occupies while it runs, in the unit of the load reports.
    pub memory: f64,
    /// The [`fnv1a_hash`](crate::fnv1a_hash) of the name of the data that the job needs.
    pub key: Option<u64>,
    /// The client states that it is retrying the job.
    pub is_retry: bool,
    /// When the client gives up (ns on the engine's clock).
    pub deadline: Nanos,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint<A> {
    /// The worker's permanent name, the same at every scheduler. Workers are ranked for a key by a hash of
    /// the name and never by their address, which may differ between schedulers.
    pub name: String,
    /// How the host reaches the worker.
    pub address: A,
    /// The index of the worker's zone.
    pub zone: u32,
    /// The index of the worker's kind.
    pub kind: u32,
    /// The index of the worker's cell, within which workers deduplicate each other's retries.
    pub cell: u32,
    /// Whether the worker accepts jobs.
    pub status: WorkerStatus,
    /// The worker's registered size relative to other workers, above 0; 1 where no size is known.
    pub registered_size: f64,
    /// When the worker's process last started (ns on the engine's clock); `None` if that was long ago.
    pub started_at: Option<Nanos>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult<R> {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The worker's result. An [`Outcome::Ok`] without a result cannot answer the job and counts as an
    /// [`Outcome::Error`].
    pub result: Option<R>,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
}

impl<R> From<Outcome> for AttemptResult<R> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, result: None, report: None }
    }
}

/// An event that has happened outside the engine.
#[derive(Clone, Debug)]
pub enum Input<J, A, R> {
    /// An endpoint list, or a watch event with changes to it.
    WorkerList {
        /// How complete and how recent the list is. With [`ListKind::Failed`] and [`ListKind::Stale`] the
        /// entries are ignored; a stale list also cancels all attempts that have not started.
        kind: ListKind,
        /// The entries of the list.
        workers: Vec<Endpoint<A>>,
    },
    /// A new job.
    Job {
        /// The host's id of the job, unique among the open jobs.
        job_id: J,
        /// The job itself.
        job: Job,
    },
    /// The client has disconnected, so that the job needs no answer any more.
    ClientDisconnected {
        /// The job of the client.
        job_id: J,
    },
    /// A running attempt has reported progress, which shows that its worker is alive.
    Progress {
        /// The job of the attempt.
        job_id: J,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An attempt has begun to stream its answer. The job has no deadline any more and ends with this
    /// attempt.
    Streaming {
        /// The job of the attempt.
        job_id: J,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The job of the attempt.
        job_id: J,
        /// The number of the attempt.
        attempt: u32,
        /// How the attempt ended.
        result: AttemptResult<R>,
    },
    /// An [`Output::Probe`](crate::Output::Probe) was answered or has timed out. Each probe completes once.
    ProbeCompleted {
        /// The number of the worker.
        worker: u32,
        /// The outcome of the probe.
        outcome: Outcome,
        /// The worker's load, if the probe returned one.
        report: Option<LoadReport>,
    },
    /// The scheduler begins a graceful shutdown.
    Shutdown {
        /// When all open jobs and those still to come must be answered (ns on the engine's clock).
        deadline: Nanos,
    },
    /// The rules that all schedulers have adopted. They identify workers by the
    /// [`fnv1a_hash`](crate::fnv1a_hash) of the worker's name.
    Rules {
        /// The adopted rules.
        rules: Arc<Rules>,
        /// When the rules expire (ns on the engine's clock); until then they apply in full.
        valid_until: Nanos,
    },
    /// The time of [`Engine::next_wake`](crate::Engine::next_wake) has come.
    Wake,
}
