//! What goes into a [`Dispatcher`](crate::Dispatcher) and what comes out of it.
//!
//! All times are nanoseconds of the caller's clock, which may start anywhere and never runs backwards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A moment of the caller's clock, or a length of time, in nanoseconds.
pub type Nanos = u64;

/// A worker, numbered from 0 in the order in which the caller first heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// A request, numbered by the caller; a number is never given to two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated and refused at will.
    Idempotent,
    /// Repeats are dropped by the workers of one group, for the class's window.
    IdempotentWithKey(DeduplicationScope),
    /// It must never run twice.
    NonIdempotent,
}

/// Which workers drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub idempotency: Idempotency,
    /// How long keyed repeats are dropped, from the sending of the first attempt that may have run.
    pub deduplication_window: Nanos,
    /// Answered within this time plus `stretch` times its own work, a request earns its full worth.
    pub latency_objective: Nanos,
    pub latency_stretch: f64,
    /// A client's total wait, over all its tries.
    pub deadline: Nanos,
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight_share: f64,
    /// The one kind of worker that runs this class, if it needs one.
    pub required_kind: Option<u32>,
}

impl Class {
    /// Whether a worker drops repeats of what another was sent and may have run, within the window.
    pub fn deduplicates(&self, first: &WorkerEntry, worker: &WorkerEntry) -> bool {
        match self.idempotency {
            Idempotency::Idempotent
            | Idempotency::NonIdempotent
            | Idempotency::IdempotentWithKey(DeduplicationScope::All) => true,
            Idempotency::IdempotentWithKey(DeduplicationScope::Zone) => first.zone == worker.zone,
            Idempotency::IdempotentWithKey(DeduplicationScope::Cell) => first.cell == worker.cell,
        }
    }

    /// Until when further attempts of a request may be written, the first of which that may have run was sent at `first`.
    /// Repeats are dropped by when their last bytes arrive: what is left of the window then is for their way, for which
    /// the settings name no time but that in which a connection (the same way, there and back) comes up.
    pub fn resend_deadline(&self, first: Nanos, connect: Nanos) -> Nanos {
        match self.idempotency {
            Idempotency::Idempotent | Idempotency::NonIdempotent => Nanos::MAX,
            Idempotency::IdempotentWithKey(_) => {
                first.saturating_add(self.deduplication_window - connect.min(self.deduplication_window / 4))
            }
        }
    }
}

/// A tenant and the rate, over all dispatchers, up to which its requests count in full.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub quota_per_s: f64,
}

/// The figures behind the rules.
#[derive(Clone, Debug)]
pub struct ServiceLimits {
    /// A restarted worker has at least this share of its capacity ...
    pub slow_start_initial_share: f64,
    /// ... and all of it after this long.
    pub slow_start_duration: Nanos,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, a cold worker falls over.
    pub overload_duration: Nanos,
    /// Without a subscription, for how long an unasked-for list is good.
    pub unsubscribed_list_validity: Nanos,
}

/// All that a dispatcher is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub dispatchers: u32,
    /// This dispatcher's own zone.
    pub zone: u32,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub limits: ServiceLimits,
    /// Membership changes come only to those who subscribe.
    pub requires_subscription: bool,
    pub can_probe: bool,
    /// The list tells the workers' registered sizes, which stay as they are.
    pub reports_registered_size: bool,
    /// Probe reports carry free slots.
    pub reports_free_slots: bool,
    /// Workers tell when a job starts.
    pub notifies_job_start: bool,
    /// Gap between progress notes of a running job; 0 where there are none.
    pub progress_interval: Nanos,
    pub can_cancel: bool,
    /// Two attempts of one request may be out together.
    pub allows_hedging: bool,
    pub max_attempts: u32,
    /// Longest retry-after that a client follows.
    pub max_retry_after: Nanos,
    /// A connection to a worker that is not up after so long has failed.
    pub connect_timeout: Nanos,
    /// Shortest gap between two events of different times.
    pub clock_resolution: Nanos,
}

/// A worker's load as it reports it; what is missing is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub free_slots: Option<f64>,
    pub free_memory: Option<f64>,
    pub queued: Option<f64>,
    pub errors_per_s: Option<f64>,
    pub served_per_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of workers.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    pub worker: WorkerId,
    /// A hash of the worker's address, the same at every dispatcher.
    pub address_hash: u64,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub status: WorkerStatus,
    /// Its registered size, against those of other workers; 1 where nothing is told.
    pub weight: f64,
    /// When its process last started; `None` is long ago.
    pub started: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Changes,
    /// The complete list; workers that are not on it have gone.
    Complete,
    /// The complete list as this dispatcher last saw it, perhaps long ago.
    Cached,
    /// A call for the list failed or the subscription dropped; the old list still applies.
    Failed,
    /// The list may lack changes that count as told by now: until the next `Changes` or `Full` (an empty one will
    /// do), nothing new goes to a worker that has not said itself, by a probe just now, that it takes work.
    Stale,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    /// Sent away unseen: its queue is full, or it drains.
    Rejected,
    /// Sent away as nothing that any worker could run: at fault is the request, and not the worker.
    InvalidJob,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent: the request was over or out of attempts.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::InvalidJob | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request as it comes in.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: u32,
    pub tenant: Option<u32>,
    pub slots: f64,
    pub memory: f64,
    /// A hash of the data that the job needs, the same at every dispatcher.
    pub key: Option<u64>,
    /// Time until its client gives up.
    pub time_left: Nanos,
    /// The client says that it is repeating itself.
    pub is_retry: bool,
}

#[derive(Clone, Debug)]
pub enum Event {
    WorkerList {
        kind: ListKind,
        entries: Vec<WorkerEntry>,
    },
    Request(Request),
    /// A running attempt reported that it has started or how far it is.
    Progress {
        request: RequestId,
        attempt: u32,
    },
    /// A streamed answer has begun; the request has no deadline any more.
    Streaming {
        request: RequestId,
        attempt: u32,
    },
    /// Exactly one for each `Send`; `finished` says that the request is over.
    AttemptEnded {
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        finished: bool,
        report: Option<LoadReport>,
    },
    ProbeCompleted {
        worker: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    ClientDisconnected {
        request: RequestId,
    },
    /// The dispatcher is to end: all that is open by then is answered at this time, and what still comes too.
    Shutdown {
        deadline: Nanos,
    },
    /// Rules that all dispatchers agree on, to be acted on in full until then, and afterwards only carefully. Told again
    /// with the same rules, they hold for longer.
    Rules {
        rules: Arc<Rules>,
        valid_until: Nanos,
    },
    /// A moment asked for with `Wake` has come.
    Wake,
}

/// Rules on which dispatchers agree. Workers are named by `address_hash`, tenants by their index in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Into how many even parts tenant_rates_per_s, and what a cold worker bears, are divided. Takes the place of the settings'
    /// `dispatchers`.
    pub quota_shares: u32,
    /// Attempts that a request may have at most, beside what the settings allow.
    pub max_attempts: u32,
    /// Shortest and longest Retry-After.
    pub retry_after: (Nanos, Nanos),
    /// Requests a second that all dispatchers together take of a tenant.
    pub tenant_rates_per_s: BTreeMap<u32, f64>,
    /// Workers that are not open to all, and tenants that go only to those that are theirs.
    pub worker_restrictions: BTreeMap<u64, WorkerRestriction>,
    pub tenants_with_reserved_workers: BTreeSet<u32>,
    pub degraded: DegradedRules,
}

/// What a dispatcher may do that cannot know whether its rules still hold.
#[derive(Clone, Debug, PartialEq)]
pub struct DegradedRules {
    /// Of its part of each limit.
    pub quota_share: f64,
    pub allowed_workers: BTreeSet<u64>,
    /// Also workers that are not named at all, and tenants without a limit.
    pub allows_unlisted_workers: bool,
    pub allows_unlimited_tenants: bool,
}

/// Whom a worker may be sent new work of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRestriction {
    /// Nobody's.
    Cordoned,
    /// Nobody's, and what has not started is called back.
    Drained,
    /// The same, and it is not even probed.
    Excluded,
    /// Only this tenant's.
    ReservedFor(u32),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; a request's attempts are numbered 0, 1, 2 ... `timeout` 0 is the client's deadline. What of it
    /// is not written at `by` must not be any more: an attempt whose last byte has not gone out then ends as never sent.
    Send {
        request: RequestId,
        worker: WorkerId,
        timeout: Nanos,
        send_by: Nanos,
    },
    Cancel {
        request: RequestId,
        attempt: u32,
    },
    /// Final answer: turned away, a retry is harmless.
    Reject {
        request: RequestId,
        retry_after: Nanos,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        request: RequestId,
    },
    Probe {
        worker: WorkerId,
    },
    /// Ask for membership changes from now on.
    Subscribe,
    /// Ask for an `Event::Wake` at this time.
    Wake {
        at: Nanos,
    },
}

impl Settings {
    /// Whether decisions can be made by these figures at all.
    pub fn check(&self) -> Result<(), SettingsError> {
        let usable = |x: f64| x.is_finite() && x >= 0.0;
        let classes =
            |c: &Class| usable(c.latency_stretch) && usable(c.priority_weight) && usable(c.late_weight_share);
        let cold = usable(self.limits.slow_start_initial_share) && usable(self.limits.overload_multiple);
        for (wrong, error) in [
            (self.classes.is_empty(), SettingsError::NoClasses),
            (self.dispatchers == 0, SettingsError::NoDispatchers),
            (self.max_attempts == 0, SettingsError::NoAttempts),
            (!self.classes.iter().all(classes), SettingsError::BadFigure("class figure")),
            (!self.tenants.iter().all(|t| usable(t.quota_per_s)), SettingsError::BadFigure("quota")),
            (!cold, SettingsError::BadFigure("cold start figure")),
        ] {
            if wrong {
                return Err(error);
            }
        }
        Ok(())
    }
}

/// Settings that cannot work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    NoClasses,
    NoDispatchers,
    NoAttempts,
    /// A figure that must be finite and not negative is neither.
    BadFigure(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "settings name no request classes"),
            SettingsError::NoDispatchers => write!(f, "settings say that there are no dispatchers"),
            SettingsError::NoAttempts => write!(f, "settings allow no attempts"),
            SettingsError::BadFigure(what) => write!(f, "settings have an impossible {what}"),
        }
    }
}

impl std::error::Error for SettingsError {}
