//! The only place that decides whether an attempt may start, bytes may be written, a request may be rejected
//! or admitted, or a connection may be closed.
//!
//! Each check takes the facts that are known at that moment and returns a [`Permit`], which only this module
//! can create, or the [`Denial`] that states the reason. The checks do no I/O and read no clock. Checks that
//! a host makes on its own clock accept times of any ordered type.
//!
//! The dispatcher decides by the same rules. They are checked again when an attempt is started and before its
//! bytes are written, for two reasons: the facts may have changed in between, and a fault of the dispatcher
//! or the host must be found. A denied start, or a broken rule that is found later, is a [`Violation`].

use std::fmt;

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, Nanos, WorkerEntry};

/// The reason why an operation is not permitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was cancelled before it started: its worker is draining, its endpoint list is stale or its
    /// client has disconnected.
    CancelledUnstarted,
    /// The client has closed its connection.
    ClientDisconnected,
    /// The client's deadline has passed.
    DeadlineExceeded,
    /// The time for which workers deduplicate a retry has passed.
    DeduplicationWindowExpired,
    /// The rules by which the attempt was decided have expired.
    RulesExpired,
    /// The remaining time stated in the request's headers was computed too long ago.
    HeadersOutdated,
    /// The worker is outside the deduplication scope of the earlier attempts.
    OutsideDeduplicationScope,
    /// An earlier attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// Another attempt is in flight, and hedged requests are not allowed.
    AttemptInFlight,
    /// The worker is draining or not on the endpoint list.
    WorkerUnavailable,
    /// The request has used all the attempts that the settings allow.
    AttemptsExhausted,
    /// A request that was read has no response yet.
    ResponsePending,
    /// Part of a response has not been written yet.
    ResponseUnwritten,
    /// The program shuts down, and a request that is admitted now would be answered too late.
    ShutDown,
}

impl Denial {
    /// All denials, in the order of their declaration.
    pub const ALL: [Denial; 15] = [
        Denial::Cancelled,
        Denial::CancelledUnstarted,
        Denial::ClientDisconnected,
        Denial::DeadlineExceeded,
        Denial::DeduplicationWindowExpired,
        Denial::RulesExpired,
        Denial::HeadersOutdated,
        Denial::OutsideDeduplicationScope,
        Denial::MayHaveRun,
        Denial::AttemptInFlight,
        Denial::WorkerUnavailable,
        Denial::AttemptsExhausted,
        Denial::ResponsePending,
        Denial::ResponseUnwritten,
        Denial::ShutDown,
    ];

    /// Returns the name used in logs and counters. Alerts depend on these texts, so they stay when a variant
    /// is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Cancelled => "cancelled",
            Denial::CancelledUnstarted => "withdrawn",
            Denial::ClientDisconnected => "client_left",
            Denial::DeadlineExceeded => "deadline_over",
            Denial::DeduplicationWindowExpired => "window_over",
            Denial::RulesExpired => "rules_lapsed",
            Denial::HeadersOutdated => "head_outdated",
            Denial::OutsideDeduplicationScope => "outside_group",
            Denial::MayHaveRun => "may_have_run",
            Denial::AttemptInFlight => "attempt_out",
            Denial::WorkerUnavailable => "worker_leaves",
            Denial::AttemptsExhausted => "attempts_spent",
            Denial::ResponsePending => "answer_owed",
            Denial::ResponseUnwritten => "answer_unwritten",
            Denial::ShutDown => "ended",
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The operation during which a violation was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// The dispatcher decided on an attempt that must not start.
    Attempt,
    /// A byte of an attempt was written that must not be written any more.
    Write,
    /// A request was to be rejected although it may have run.
    Reject,
    /// A connection was closed while its client still awaited a response.
    Close,
}

impl Operation {
    /// All operations, in the order of their declaration.
    pub const ALL: [Operation; 4] =
        [Operation::Attempt, Operation::Write, Operation::Reject, Operation::Close];

    /// Returns the name used in logs and counters. Alerts depend on these texts, so they stay when a variant
    /// is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Operation::Attempt => "attempt",
            Operation::Write => "write",
            Operation::Reject => "refuse",
            Operation::Close => "close",
        }
    }
}

/// A rule that was broken, or would have been broken without a check. It is a fault of this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The operation that breaks the rule.
    pub operation: Operation,
    /// The reason why the operation is not permitted.
    pub denial: Denial,
}

/// Permission to perform one operation now. Only this module creates permits.
#[derive(Debug)]
pub struct Permit<T>(T);

impl<T> Permit<T> {
    /// Returns the value that the permit was granted for.
    pub fn into_inner(self) -> T {
        self.0
    }
}

/// An earlier attempt of a request.
#[derive(Clone, Debug)]
pub struct EarlierAttempt {
    /// The attempt's worker, as it was listed when the attempt was decided.
    pub worker: WorkerEntry,
    /// When the attempt was decided (ns on the engine's clock).
    pub decided_at: Nanos,
    /// The host has not reported the attempt's end yet.
    pub in_flight: bool,
    /// The attempt may have run: no outcome has proved that it did not.
    pub may_have_run: bool,
}

/// The facts by which [`check_attempt`] decides.
pub struct AttemptFacts<'a> {
    /// The current time (ns on the engine's clock).
    pub now: Nanos,
    /// The class of the request.
    pub class: &'a Class,
    /// The time after which an attempt to connect to a worker fails (ns).
    pub connect_timeout: Nanos,
    /// The largest number of attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight at the same time.
    pub allows_hedging: bool,
    /// The request's earlier attempts, in their order.
    pub earlier: &'a [EarlierAttempt],
    /// The worker's current entry on the endpoint list.
    pub worker: &'a WorkerEntry,
    /// The worker is on the endpoint list and not draining.
    pub worker_is_ready: bool,
}

/// Decides whether an attempt may start now.
///
/// # Errors
///
/// Returns the reason why the attempt must not start.
pub fn check_attempt(facts: &AttemptFacts) -> Result<Permit<()>, Denial> {
    if !facts.worker_is_ready {
        return Err(Denial::WorkerUnavailable);
    }
    if facts.earlier.len() >= facts.max_attempts as usize {
        return Err(Denial::AttemptsExhausted);
    }
    let in_flight = facts.earlier.iter().any(|earlier| earlier.in_flight);
    if in_flight && !(facts.allows_hedging && facts.class.idempotency != Idempotency::NonIdempotent) {
        return Err(Denial::AttemptInFlight);
    }
    let mut may_have_run = facts.earlier.iter().filter(|earlier| earlier.may_have_run).peekable();
    let Some(first) = may_have_run.peek() else { return Ok(Permit(())) };
    if facts.class.idempotency == Idempotency::NonIdempotent {
        return Err(Denial::MayHaveRun);
    }
    if facts.now >= facts.class.resend_deadline(first.decided_at, facts.connect_timeout) {
        return Err(Denial::DeduplicationWindowExpired);
    }
    if may_have_run.all(|earlier| facts.class.deduplicates(&earlier.worker, facts.worker)) {
        Ok(Permit(()))
    } else {
        Err(Denial::OutsideDeduplicationScope)
    }
}

/// Decides whether a request may be rejected, which tells the client that a retry is harmless.
///
/// # Errors
///
/// Returns [`Denial::MayHaveRun`] if a retry by the client could run the request a second time.
pub fn check_rejection(idempotency: Idempotency, earlier: &[EarlierAttempt]) -> Result<Permit<()>, Denial> {
    let deduplicated_everywhere = matches!(
        idempotency,
        Idempotency::Idempotent | Idempotency::IdempotentWithKey(DeduplicationScope::All)
    );
    if deduplicated_everywhere || earlier.iter().all(|earlier| !earlier.may_have_run) {
        Ok(Permit(()))
    } else {
        Err(Denial::MayHaveRun)
    }
}

/// Whether an attempt has been told to stop, and under which condition. Levels are in ascending order of
/// severity.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum StopLevel {
    /// The attempt proceeds.
    Continue,
    /// The attempt stops unless a byte of it has been written.
    IfUnstarted,
    /// The attempt stops immediately.
    Immediate,
}

/// The facts by which [`check_write`] decides, collected just before the bytes are passed to the kernel.
pub struct WriteFacts<T> {
    /// The current time.
    pub now: T,
    /// At least one byte of the attempt has been written.
    pub started: bool,
    /// Whether the attempt has been told to stop.
    pub stop: StopLevel,
    /// A check of the client's connection just now found that the client has closed it.
    pub client_disconnected: bool,
    /// When the client gives up.
    pub deadline: T,
    /// When workers cease to deduplicate the attempt as a retry; `None` where there is no limit.
    pub resend_deadline: Option<T>,
    /// When the rules by which the attempt was decided expire; `None` where there are no rules.
    pub rules_valid_until: Option<T>,
    /// Until when the remaining time stated in the request's headers is accurate enough.
    pub headers_valid_until: T,
}

/// Decides whether a byte of an attempt may be written now. An attempt that has started may continue until
/// its resend deadline or the expiry of its rules. It can still be stopped then, because a worker does not
/// run a request before its last byte has arrived.
///
/// # Errors
///
/// Returns the reason why no byte may be written. If there are several, a reason that also stops a started
/// attempt takes precedence.
pub fn check_write<T: PartialOrd + Copy>(facts: &WriteFacts<T>) -> Result<Permit<()>, Denial> {
    let has_passed = |until: Option<T>| until.is_some_and(|until| until <= facts.now);
    let unstarted = !facts.started;
    let checks = [
        (facts.stop >= StopLevel::Immediate, Denial::Cancelled),
        (has_passed(facts.resend_deadline), Denial::DeduplicationWindowExpired),
        (has_passed(facts.rules_valid_until), Denial::RulesExpired),
        (unstarted && facts.stop >= StopLevel::IfUnstarted, Denial::CancelledUnstarted),
        (unstarted && facts.client_disconnected, Denial::ClientDisconnected),
        (unstarted && facts.deadline <= facts.now, Denial::DeadlineExceeded),
        (unstarted && facts.headers_valid_until < facts.now, Denial::HeadersOutdated),
    ];
    match checks.into_iter().find(|(is_denied, _)| *is_denied) {
        Some((_, denial)) => Err(denial),
        None => Ok(Permit(())),
    }
}

/// The facts by which [`check_close`] decides whether this side may close a client's connection.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// A complete request was read and has no response yet.
    pub has_unanswered_request: bool,
    /// Part of a request was read, and no response to it is written as the connection closes.
    pub has_partial_request: bool,
    /// Part of a response has not been written yet, and the client is still reading it.
    pub has_unwritten_response: bool,
    /// The client has closed the connection.
    pub client_disconnected: bool,
}

/// Decides whether a client's connection may be closed now.
///
/// # Errors
///
/// Returns [`Denial::ResponsePending`] or [`Denial::ResponseUnwritten`] if the client still awaits a
/// response.
pub fn check_close(facts: CloseFacts) -> Result<Permit<()>, Denial> {
    if facts.client_disconnected {
        return Ok(Permit(()));
    }
    if facts.has_unanswered_request || facts.has_partial_request {
        return Err(Denial::ResponsePending);
    }
    if facts.has_unwritten_response {
        return Err(Denial::ResponseUnwritten);
    }
    Ok(Permit(()))
}

/// Decides whether a request that was read at `now` may be admitted. `answered_by` is the time by which a
/// shutdown answers all requests; `None` while no shutdown has begun.
///
/// # Errors
///
/// Returns [`Denial::ShutDown`] once that time has come.
pub fn check_admission<T: PartialOrd>(now: T, answered_by: Option<T>) -> Result<Permit<()>, Denial> {
    if answered_by.is_some_and(|by| by <= now) {
        Err(Denial::ShutDown)
    } else {
        Ok(Permit(()))
    }
}
