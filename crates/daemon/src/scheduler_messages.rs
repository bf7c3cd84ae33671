//! The messages between the scheduler loop and the parts around it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::header::HeaderValue;
use nickelflow_dispatcher::Idempotency;
use nickelflow_engine::permits::StopLevel;
use nickelflow_engine::{Endpoint, ListKind, LoadReport, Outcome, Rules};
use tokio::sync::{oneshot, watch};

/// How an attempt ended, with the worker's result as the bytes that came.
pub type AttemptResult = nickelflow_engine::AttemptResult<Bytes>;
/// The single final answer to a job.
pub type FinalAnswer = nickelflow_engine::FinalAnswer<Bytes>;
/// One entry of the endpoint list.
pub type WorkerEndpoint = Endpoint<SocketAddr>;

/// A job as a front end submits it.
pub struct SubmittedJob<P> {
    /// The id that its client gave it, for logs.
    pub request_id: HeaderValue,
    /// The index of its class in the settings.
    pub class: u32,
    /// The index of its tenant in the settings.
    pub tenant: Option<u32>,
    /// Slots that it occupies while it runs.
    pub slots: f64,
    /// Memory that it occupies while it runs.
    pub memory: f64,
    /// A hash of the name of the data that the job needs.
    pub key: Option<u64>,
    /// The client states that it is retrying the job.
    pub is_retry: bool,
    /// When its client gives up.
    pub deadline: Instant,
    /// What is sent to the worker; the loop never looks into it.
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

/// What reaches the scheduler loop through its queue.
pub enum Event<P> {
    /// A new job.
    Job {
        /// The number of the job.
        number: u64,
        /// The job itself.
        job: SubmittedJob<P>,
        /// Where its answer goes.
        answer: oneshot::Sender<FinalAnswer>,
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
        /// The worker's load.
        report: Option<LoadReport>,
    },
    /// An endpoint list, or a change to it.
    WorkerList {
        /// How complete and how recent the list is.
        kind: ListKind,
        /// Its entries, with the workers' starts in Unix time (ns).
        entries: Vec<WorkerEndpoint>,
    },
    /// All schedulers have adopted rules, or the lease on the present ones was renewed.
    RulesAdopted(AdoptedRules),
    /// The program shuts down.
    Shutdown {
        /// When every job must be answered.
        deadline: Instant,
    },
}

/// The rules that all schedulers have adopted.
#[derive(Clone)]
pub struct AdoptedRules {
    /// The rules.
    pub rules: Arc<Rules>,
    /// Until when they hold in full; from then on only their degraded part does.
    pub valid_until: Instant,
    /// Their version, as it is sent with attempts.
    pub version: HeaderValue,
    /// Their version, as it is sent with attempts after `valid_until`.
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

/// The rules by which an attempt was decided.
pub struct RulesLease {
    /// Their version, as it is sent with the attempt.
    pub version: HeaderValue,
    /// The time from which the attempt must not be written any more; `None` for degraded rules.
    pub valid_until: Option<Instant>,
}

/// What the scheduler loop wants done outside.
pub enum Command<P> {
    /// Start an attempt.
    StartAttempt(AttemptRequest<P>),
    /// Ask a worker for its load.
    Probe {
        /// The number of the worker.
        worker: u32,
        /// Its address.
        address: SocketAddr,
    },
    /// Watch the endpoint list.
    WatchList,
}

/// What a second run of a job would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// The job is idempotent.
    Safe,
    /// Workers of one deduplication scope drop a second run for a limited time.
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
    /// When the attempt is given up.
    pub deadline: Instant,
    /// The time from which no byte of it may be written; `None` where nothing bounds it.
    pub send_by: Option<Instant>,
    /// How far the attempt may still proceed.
    pub stop: watch::Receiver<StopLevel>,
    /// The rules by which it was decided; `None` where no rules are adopted.
    pub rules_lease: Option<RulesLease>,
    /// What a second run of the job would do.
    pub retry_safety: RetrySafety,
    /// What is sent to the worker.
    pub request: Arc<P>,
}
