//! What a dispatcher is configured with at its start.

use crate::time::Nanos;
use crate::worker_entry::WorkerEntry;

/// The part (1/n) of a deduplication window that is set aside at most for the way of a repeat to its worker.
const MAX_TRANSIT_DIVISOR: Nanos = 4;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated and rejected at will.
    Idempotent,
    /// The workers of one group drop its repeats, for the class's deduplication window.
    IdempotentWithKey(DeduplicationScope),
    /// It must never run twice.
    NonIdempotent,
}

/// Which workers drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Whether the requests may run more than once.
    pub idempotency: Idempotency,
    /// How long (ns) keyed repeats are dropped, from the sending of the first attempt that may have run.
    pub deduplication_window: Nanos,
    /// Time (ns) that an answer in time may take, beside `latency_stretch` times the work of the request
    /// itself.
    pub latency_objective: Nanos,
    /// Times the work of the request itself that an answer in time may take, beside `latency_objective`.
    pub latency_stretch: f64,
    /// How long (ns) a client waits in total, over all its retries.
    pub deadline: Nanos,
    /// The value of an answer in time, relative to that of requests of other classes.
    pub priority_weight: f64,
    /// Share of `priority_weight` that an answer after the objective still counts, from 0 to 1.
    pub late_weight_share: f64,
    /// The only kind of worker that runs this class, if it needs one.
    pub required_kind: Option<u32>,
}

impl Class {
    /// Returns whether `worker` drops the repeat of what `first` was sent and may have run, within the
    /// window.
    pub fn deduplicates(&self, first: &WorkerEntry, worker: &WorkerEntry) -> bool {
        match self.idempotency {
            Idempotency::Idempotent
            | Idempotency::NonIdempotent
            | Idempotency::IdempotentWithKey(DeduplicationScope::All) => true,
            Idempotency::IdempotentWithKey(DeduplicationScope::Zone) => first.zone == worker.zone,
            Idempotency::IdempotentWithKey(DeduplicationScope::Cell) => first.cell == worker.cell,
        }
    }

    /// Returns until when further attempts of a request may be written, if the first attempt that may have
    /// run was sent at `first`.
    ///
    /// Repeats are dropped by when their last bytes arrive, so the end of the window is kept for their way to
    /// the worker. The settings name no time for that but the one in which a connection (the same way, there
    /// and back) comes up.
    pub fn resend_deadline(&self, first: Nanos, connect_timeout: Nanos) -> Nanos {
        match self.idempotency {
            Idempotency::Idempotent | Idempotency::NonIdempotent => Nanos::MAX,
            Idempotency::IdempotentWithKey(_) => {
                let transit = connect_timeout.min(self.deduplication_window / MAX_TRANSIT_DIVISOR);
                first.saturating_add(self.deduplication_window - transit)
            }
        }
    }
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all dispatchers, up to which the tenant's requests have full priority.
    pub quota_per_s: f64,
}

/// What the service promises about its workers and its list of them.
#[derive(Clone, Debug)]
pub struct ServiceLimits {
    /// Share of its capacity that a worker has right after a start, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// How long (ns) after a start a worker has all its capacity.
    pub slow_start_duration: Nanos,
    /// Multiple of its present capacity that overloads a warming worker, if it is sent more than that for
    /// `overload_duration`.
    pub overload_multiple: f64,
    /// How long (ns) an overload lasts before a warming worker fails.
    pub overload_duration: Nanos,
    /// How long (ns) a list of workers is valid without a subscription.
    pub unsubscribed_list_validity: Nanos,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Dispatchers that share the workers, this one included.
    pub dispatchers: u32,
    /// This dispatcher's own zone.
    pub zone: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// What the service promises.
    pub limits: ServiceLimits,
    /// Whether membership changes come only to those who subscribe.
    pub requires_subscription: bool,
    /// Whether workers can be probed for their load.
    pub can_probe: bool,
    /// Whether the list carries the workers' registered sizes, which do not change.
    pub reports_registered_size: bool,
    /// Whether load reports carry free slots.
    pub reports_free_slots: bool,
    /// Whether workers notify the start of a job.
    pub notifies_job_start: bool,
    /// Time (ns) between progress reports of a running job; 0 where there are none.
    pub progress_interval: Nanos,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether two attempts of one request may be in flight together.
    pub allows_hedging: bool,
    /// Attempts that a request may have at most.
    pub max_attempts: u32,
    /// Longest Retry-After (ns) that clients follow.
    pub max_retry_after: Nanos,
    /// A connection to a worker that is not up after so long (ns) has failed.
    pub connect_timeout: Nanos,
    /// Shortest time (ns) between two events of different times.
    pub clock_resolution: Nanos,
}

impl Settings {
    /// Checks whether decisions can be made by these settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or impossible.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let possible = |figure: f64| figure.is_finite() && figure >= 0.0;
        let class_possible = |class: &Class| {
            possible(class.latency_stretch)
                && possible(class.priority_weight)
                && possible(class.late_weight_share)
        };
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.dispatchers == 0 {
            return Err(SettingsError::NoDispatchers);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        if !self.classes.iter().all(class_possible) {
            return Err(SettingsError::InvalidValue("class figure"));
        }
        if !self.tenants.iter().all(|tenant| possible(tenant.quota_per_s)) {
            return Err(SettingsError::InvalidValue("quota"));
        }
        if !possible(self.limits.slow_start_initial_share) || !possible(self.limits.overload_multiple) {
            return Err(SettingsError::InvalidValue("cold start figure"));
        }
        Ok(())
    }
}

/// Settings by which no decisions can be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There are no request classes.
    #[error("settings name no request classes")]
    NoClasses,
    /// The number of dispatchers is 0.
    #[error("settings say that there are no dispatchers")]
    NoDispatchers,
    /// The number of attempts is 0.
    #[error("settings allow no attempts")]
    NoAttempts,
    /// A figure that must be finite and not negative is neither; the text names it.
    #[error("settings have an impossible {0}")]
    InvalidValue(&'static str),
}
