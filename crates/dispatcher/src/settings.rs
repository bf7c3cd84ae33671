//! The settings of a dispatcher.

use crate::time::Nanos;
use crate::worker_entry::WorkerEntry;

/// Upper bound of the time that is reserved for the transit of a repeat to its worker: the deduplication
/// window divided by this.
const MAX_TRANSIT_DIVISOR: Nanos = 4;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated and rejected freely.
    Idempotent,
    /// The workers of one scope drop its repeats during the class's deduplication window.
    IdempotentWithKey(DeduplicationScope),
    /// It must not run more than once.
    NonIdempotent,
}

/// The workers that drop each other's repeats of a request with a key.
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
    /// How long (ns) repeats with the same key are dropped, from the sending of the first attempt that may
    /// have run.
    pub deduplication_window: Nanos,
    /// An answer is in time within this latency (ns) plus `latency_stretch` times the work of the request.
    pub latency_objective: Nanos,
    /// Multiple of the work of the request that is added to `latency_objective`.
    pub latency_stretch: f64,
    /// How long (ns) a client waits in total, over all its retries.
    pub deadline: Nanos,
    /// Value of an answer in time, relative to that of requests of other classes.
    pub priority_weight: f64,
    /// Share of `priority_weight` that an answer after the objective is still worth, from 0 to 1.
    pub late_weight_share: f64,
    /// The only kind of worker that can run this class, or `None` if all kinds can.
    pub required_kind: Option<u32>,
}

impl Class {
    /// Returns whether `worker` drops a repeat of a request that `first_worker` was sent and may have run,
    /// within the deduplication window. Classes without a key have no scope, and the result is always true
    /// for them.
    pub fn deduplicates(&self, first_worker: &WorkerEntry, worker: &WorkerEntry) -> bool {
        match self.idempotency {
            Idempotency::Idempotent
            | Idempotency::NonIdempotent
            | Idempotency::IdempotentWithKey(DeduplicationScope::All) => true,
            Idempotency::IdempotentWithKey(DeduplicationScope::Zone) => first_worker.zone == worker.zone,
            Idempotency::IdempotentWithKey(DeduplicationScope::Cell) => first_worker.cell == worker.cell,
        }
    }

    /// Returns the deadline for writing further attempts of a request whose first attempt that may have run
    /// was sent at `first_sent_at`.
    ///
    /// Workers drop repeats by the time at which the last byte arrives, so the end of the window is reserved
    /// for the transit to the worker. The only time for that in the settings is the connect timeout, which
    /// covers the same path in both directions.
    pub fn resend_deadline(&self, first_sent_at: Nanos, connect_timeout: Nanos) -> Nanos {
        match self.idempotency {
            Idempotency::Idempotent | Idempotency::NonIdempotent => Nanos::MAX,
            Idempotency::IdempotentWithKey(_) => {
                let transit = connect_timeout.min(self.deduplication_window / MAX_TRANSIT_DIVISOR);
                first_sent_at.saturating_add(self.deduplication_window - transit)
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

/// What the service guarantees about its workers and its worker list.
#[derive(Clone, Debug)]
pub struct ServiceLimits {
    /// Share of its capacity that a worker has right after a start, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// Time (ns) from a start until a worker has its full capacity.
    pub slow_start_duration: Nanos,
    /// Multiple of its current capacity that overloads a warming worker if the load exceeds it for
    /// `overload_duration`.
    pub overload_multiple: f64,
    /// How long (ns) an overload lasts before a warming worker fails.
    pub overload_duration: Nanos,
    /// How long (ns) a worker list is valid without a subscription.
    pub unsubscribed_list_validity: Nanos,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of dispatchers that share the workers, including this one.
    pub dispatchers: u32,
    /// The zone of this dispatcher.
    pub zone: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// What the service guarantees.
    pub limits: ServiceLimits,
    /// Whether membership changes are sent to subscribers only.
    pub requires_subscription: bool,
    /// Whether workers can be probed for their load.
    pub can_probe: bool,
    /// Whether the worker list carries the workers' registered sizes, which do not change.
    pub reports_registered_size: bool,
    /// Whether load reports carry free slots.
    pub reports_free_slots: bool,
    /// Whether workers notify the start of a job.
    pub notifies_job_start: bool,
    /// Time (ns) between progress reports of a running job, or 0 if there are none.
    pub progress_interval: Nanos,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether two attempts of one request may be in flight at the same time (hedged requests).
    pub allows_hedging: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Longest Retry-After (ns) that clients honour.
    pub max_retry_after: Nanos,
    /// Time (ns) after which an attempt to connect to a worker has failed.
    pub connect_timeout: Nanos,
    /// Shortest time (ns) between two events at different times.
    pub clock_resolution: Nanos,
}

impl Settings {
    /// Checks the settings for missing and invalid values.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is missing or invalid.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        let class_is_valid = |class: &Class| {
            is_valid(class.latency_stretch)
                && is_valid(class.priority_weight)
                && is_valid(class.late_weight_share)
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
        if !self.classes.iter().all(class_is_valid) {
            return Err(SettingsError::InvalidValue("class value"));
        }
        if !self.tenants.iter().all(|tenant| is_valid(tenant.quota_per_s)) {
            return Err(SettingsError::InvalidValue("tenant quota"));
        }
        if !is_valid(self.limits.slow_start_initial_share) || !is_valid(self.limits.overload_multiple) {
            return Err(SettingsError::InvalidValue("slow start limit"));
        }
        Ok(())
    }
}

/// The reason why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The settings have no request classes.
    #[error("the settings have no request classes")]
    NoClasses,
    /// The number of dispatchers is 0.
    #[error("the number of dispatchers in the settings is 0")]
    NoDispatchers,
    /// The maximum number of attempts is 0.
    #[error("the maximum number of attempts in the settings is 0")]
    NoAttempts,
    /// A value is negative or not finite. The text names the value.
    #[error("a {0} in the settings is negative or not finite")]
    InvalidValue(&'static str),
}
