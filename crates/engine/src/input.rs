//! The inputs of an [`Engine`](crate::Engine): everything that happens outside of it.

use std::sync::Arc;

use nickelflow_dispatcher::{ListKind, LoadReport, Nanos, Outcome, Rules, WorkerStatus};

/// A job as a host submits it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The index of its class in the settings; one that is out of range counts as the last.
    pub class: u32,
    /// The index of its tenant in the settings; one that is out of range has no quota.
    pub tenant: Option<u32>,
    /// Slots that it occupies while it runs, in the unit of the load reports.
    pub slots: f64,
    /// Memory that it occupies while it runs, in the unit of the load reports.
    pub memory: f64,
    /// The [`fnv1a_hash`](crate::fnv1a_hash) of the name of the data that it needs.
    pub key: Option<u64>,
    /// The client states that it is retrying the job.
    pub is_retry: bool,
    /// When its client gives up (ns on the engine's clock).
    pub deadline: Nanos,
}

/// One entry of an endpoint list, as the host has it.
#[derive(Clone, Debug)]
pub struct Endpoint<A> {
    /// The worker's permanent name, the same at every scheduler. Workers are ranked for a key by a hash of the name and
    /// never by their address, which may differ between schedulers.
    pub name: String,
    /// How the host reaches the worker.
    pub address: A,
    /// The index of its zone.
    pub zone: u32,
    /// The index of its kind.
    pub kind: u32,
    /// The index of its cell, within which workers deduplicate each other's retries.
    pub cell: u32,
    /// Whether it takes jobs.
    pub status: WorkerStatus,
    /// Its registered size relative to other workers, above 0; 1 where none is known.
    pub registered_size: f64,
    /// When its process last started (ns on the engine's clock); `None` if that was long ago.
    pub started_at: Option<Nanos>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult<R> {
    /// What became of the attempt.
    pub outcome: Outcome,
    /// The worker's result. An [`Outcome::Ok`] without one cannot answer the job and counts as an [`Outcome::Error`].
    pub result: Option<R>,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
}

impl<R> From<Outcome> for AttemptResult<R> {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, result: None, report: None }
    }
}

/// Something that has happened outside the engine.
#[derive(Clone, Debug)]
pub enum Input<J, A, R> {
    /// An endpoint list, or a watch event with changes to it.
    WorkerList {
        /// How complete and how recent the list is. With [`ListKind::Failed`] and [`ListKind::Stale`] the entries are
        /// ignored; a stale list also withdraws all attempts that have not started.
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
    /// The client takes no answer any more.
    ClientDisconnected {
        /// The job of the client.
        job_id: J,
    },
    /// A running attempt has shown that its worker is alive.
    Progress {
        /// The job of the attempt.
        job_id: J,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A streamed answer has begun. The job has no deadline any more; it ends with this attempt.
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
        /// How it ended.
        result: AttemptResult<R>,
    },
    /// The single response to an [`Output::Probe`](crate::Output::Probe), or its timeout.
    ProbeCompleted {
        /// The number of the worker.
        worker: u32,
        /// How the probe ended.
        outcome: Outcome,
        /// The worker's load.
        report: Option<LoadReport>,
    },
    /// The scheduler shuts down.
    Shutdown {
        /// When all open jobs and those still to come are answered (ns on the engine's clock).
        deadline: Nanos,
    },
    /// Rules that all schedulers have adopted. They name workers by [`fnv1a_hash`](crate::fnv1a_hash).
    Rules {
        /// The rules.
        rules: Arc<Rules>,
        /// Until when they hold in full (ns on the engine's clock).
        valid_until: Nanos,
    },
    /// The time of [`Engine::next_wake`](crate::Engine::next_wake) has come.
    Wake,
}
