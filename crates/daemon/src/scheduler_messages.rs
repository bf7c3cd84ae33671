//! The messages between the scheduler loop and the other parts of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::header::HeaderValue;
use nickelflow_dispatcher::Idempotency;
use nickelflow_engine::permits::StopLevel;
use nickelflow_engine::{Endpoint, ListKind, LoadReport, Outcome, Rules};
use tokio::sync::{oneshot, watch};

/// How an attempt ended, with the worker's result as the received bytes.
pub type AttemptResult = nickelflow_engine::AttemptResult<Bytes>;
/// The single final answer to a job.
pub type FinalAnswer = nickelflow_engine::FinalAnswer<Bytes>;
/// One entry of the endpoint list.
pub type WorkerEndpoint = Endpoint<SocketAddr>;

/// A job as a front end submits it.
pub struct SubmittedJob<P> {
    /// The id that the client gave the job, for logs.
    pub request_id: HeaderValue,
    /// The index of the job's class in the settings.
    pub class: u32,
    /// The index of the job's tenant in the settings, if any.
    pub tenant: Option<u32>,
    /// The slots that the job occupies while it runs.
    pub slots: f64,
    /// The memory that the job occupies while it runs.
    pub memory: f64,
    /// A hash of the name of the data that the job needs.
    pub key: Option<u64>,
    /// Whether the client states that it is retrying the job.
    pub is_retry: bool,
    /// When the client gives up.
    pub deadline: Instant,
    /// What is sent to the worker; the loop never reads its contents.
    pub request: P,
}

/// Identifies one attempt of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The number of the job.
    pub job: u64,
    /// The number of the attempt among those of the job.
    pub attempt: u32,
}

/// An event in the queue of the scheduler loop.
pub enum Event<P> {
    /// A new job.
    Job {
        /// The number of the job.
        number: u64,
        /// The job itself.
        job: SubmittedJob<P>,
        /// Receives the final answer to the job.
        answer_sender: oneshot::Sender<FinalAnswer>,
    },
    /// The client of a job has disconnected.
    ClientDisconnected {
        /// The number of the job.
        job: u64,
    },
    /// A running attempt has shown that its worker is alive.
    Progress {
        /// The attempt.
        id: AttemptId,
        /// Lives while the event is in the queue.
        pending: PendingProgress,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        id: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// A probe has ended.
    ProbeCompleted {
        /// The number of the worker.
        worker: u32,
        /// How the probe ended.
        outcome: Outcome,
        /// The load report of the worker, if there is one.
        report: Option<LoadReport>,
    },
    /// An endpoint list, or a change to it.
    WorkerList {
        /// How complete and how recent the list is.
        kind: ListKind,
        /// The entries of the list, with the workers' start times in Unix time (ns).
        entries: Vec<WorkerEndpoint>,
    },
    /// All schedulers have adopted rules, or the lease on the present rules was renewed.
    RulesAdopted(AdoptedRules),
    /// The program shuts down.
    Shutdown {
        /// The time by which every job must be answered.
        deadline: Instant,
    },
}

/// Marks the progress of an attempt that the scheduler loop has not handled yet. A worker may report progress
/// faster than the loop handles it, and a second event in the queue tells the loop nothing more.
#[derive(Debug, Default)]
pub struct PendingProgress(Arc<()>);

impl PendingProgress {
    /// Returns the mark for an event, or `None` while the event before it is in the queue.
    pub(crate) fn next(&self) -> Option<PendingProgress> {
        (Arc::strong_count(&self.0) == 1).then(|| PendingProgress(self.0.clone()))
    }
}

/// The rules that all schedulers have adopted.
#[derive(Clone)]
pub struct AdoptedRules {
    /// The rules.
    pub rules: Arc<Rules>,
    /// Until when the rules are valid in full; from then on only their degraded part is.
    pub valid_until: Instant,
    /// The version of the rules, as it is sent with attempts.
    pub version: HeaderValue,
    /// The version of the rules, as it is sent with attempts after `valid_until`.
    pub degraded_version: HeaderValue,
}

impl AdoptedRules {
    /// Returns the lease for an attempt that is decided now.
    pub(crate) fn lease(&self) -> RulesLease {
        if Instant::now() < self.valid_until {
            RulesLease { version: self.version.clone(), valid_until: Some(self.valid_until) }
        } else {
            RulesLease { version: self.degraded_version.clone(), valid_until: None }
        }
    }
}

/// The version of the rules by which an attempt was decided, and how long it is valid.
pub struct RulesLease {
    /// The version of the rules, as it is sent with the attempt.
    pub version: HeaderValue,
    /// The time from which no byte of the attempt may be written; `None` for degraded rules.
    pub valid_until: Option<Instant>,
}

/// A command of the scheduler loop, which `execute` carries out.
pub enum Command<P> {
    /// Start an attempt.
    StartAttempt(AttemptRequest<P>),
    /// Probe a worker for its load.
    Probe {
        /// The number of the worker.
        worker: u32,
        /// The address of the worker.
        address: SocketAddr,
    },
    /// Watch the endpoint list.
    WatchList,
    /// Set aside memory for this many workers, listed now or earlier.
    ReserveForWorkers {
        /// How many workers are known.
        count: usize,
    },
}

/// Whether a job may run a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// The job is idempotent.
    Safe,
    /// The workers of one deduplication scope drop a second run within the deduplication window.
    Deduplicated,
    /// The job must never run twice.
    Unsafe,
}

impl From<Idempotency> for RetrySafety {
    fn from(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Idempotent => RetrySafety::Safe,
            Idempotency::IdempotentWithKey(_) => RetrySafety::Deduplicated,
            Idempotency::NonIdempotent => RetrySafety::Unsafe,
        }
    }
}

/// One attempt to be started. Exactly one [`Event::AttemptEnded`] must follow.
pub struct AttemptRequest<P> {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// The address of the worker.
    pub address: SocketAddr,
    /// When the attempt times out.
    pub deadline: Instant,
    /// The time from which no byte of the attempt may be written; `None` if there is no such limit.
    pub send_by: Option<Instant>,
    /// How far the attempt may still proceed.
    pub stop: watch::Receiver<StopLevel>,
    /// The lease of the rules by which the attempt was decided; `None` if no rules are adopted.
    pub rules_lease: Option<RulesLease>,
    /// Whether the job may run a second time.
    pub retry_safety: RetrySafety,
    /// What is sent to the worker.
    pub request: Arc<P>,
}
