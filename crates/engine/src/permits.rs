//! The one place that decides whether an attempt may start, bytes may be written, a request may be rejected or
//! admitted, or a connection may be closed.
//!
//! Each function takes the facts as they are known at that moment and returns a [`Permit`], which only this module can
//! create, or the [`Denial`] that gives the reason. The functions do no I/O and read no clock. Where a host checks with
//! its own clock, times are of any ordered type.
//!
//! The dispatcher decides by the same rules. Checking them again when an attempt is ordered and before its first byte
//! keeps a rule where something happened in between, and uncovers faults: an order that is denied, or a broken rule that
//! is found later, is a [`Violation`].

use std::fmt;

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, Nanos, WorkerEntry};

/// The reason why an operation is not permitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt has not started, and its worker is draining or its client has disconnected.
    CancelledUnstarted,
    /// The client has closed its connection.
    ClientDisconnected,
    /// The client's deadline has passed.
    DeadlineExceeded,
    /// Workers deduplicate a retry for a limited time only, and that time has passed.
    DeduplicationWindowExpired,
    /// The rules by which the attempt was decided are not valid any more.
    RulesExpired,
    /// The remaining time that the request's headers state was read too long ago.
    HeadersOutdated,
    /// The worker is not in the deduplication scope of the earlier attempts.
    OutsideDeduplicationScope,
    /// An earlier attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// Another attempt is in flight, and concurrent attempts are not allowed.
    AttemptInFlight,
    /// The worker is draining or is on no endpoint list.
    WorkerUnavailable,
    /// All attempts that the settings allow have been made.
    AttemptsExhausted,
    /// A request has been read that has no response yet.
    ResponsePending,
    /// Part of a response is not written yet.
    ResponseUnwritten,
    /// The program shuts down, and whatever it admits now would be answered too late.
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

    /// Returns the name used in logs and counters. Alerts depend on these texts, so they stay when a variant is renamed.
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

/// The operation during which a rule was found broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// The dispatcher ordered an attempt that must not be made.
    Attempt,
    /// A byte of an attempt was written that must not be.
    Write,
    /// A request that may have run was to be rejected.
    Reject,
    /// A connection was closed whose client had a response to come.
    Close,
}

impl Operation {
    /// All operations, in the order of their declaration.
    pub const ALL: [Operation; 4] =
        [Operation::Attempt, Operation::Write, Operation::Reject, Operation::Close];

    /// Returns the name used in logs and counters. Alerts depend on these texts, so they stay when a variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Operation::Attempt => "attempt",
            Operation::Write => "write",
            Operation::Reject => "refuse",
            Operation::Close => "close",
        }
    }
}

/// A rule that was broken, or would have been without the check: a fault of this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What was being done.
    pub operation: Operation,
    /// Why it must not be done.
    pub denial: Denial,
}

/// Permission to do one thing now. Only this module creates one.
#[derive(Debug)]
pub struct Permit<T>(T);

impl<T> Permit<T> {
    /// Returns what the permit was granted for.
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
    /// The attempt has not ended yet.
    pub in_flight: bool,
    /// Nothing has proved that the attempt never ran.
    pub may_have_run: bool,
}

/// The facts on which the start of an attempt is decided.
pub struct AttemptFacts<'a> {
    /// The current time (ns on the engine's clock).
    pub now: Nanos,
    /// The class of the request.
    pub class: &'a Class,
    /// The time within which a connection to a worker is established (ns).
    pub connect_timeout: Nanos,
    /// The largest number of attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight together.
    pub allows_hedging: bool,
    /// The request's attempts so far.
    pub earlier: &'a [EarlierAttempt],
    /// The worker as it is listed now.
    pub worker: &'a WorkerEntry,
    /// The worker is on the endpoint list and not draining.
    pub worker_is_ready: bool,
}

/// Decides whether an attempt may be ordered now.
///
/// # Errors
///
/// Returns the reason why the attempt must not be made.
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

/// Decides whether a request may be rejected, which promises the client that a retry is harmless.
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

/// How far an attempt may still proceed. The order is that of severity.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum StopLevel {
    /// The attempt proceeds.
    Continue,
    /// The attempt must not start any more. Once a byte of it has been written it proceeds.
    IfUnstarted,
    /// The attempt stops at once.
    Immediate,
}

/// The facts on which the write of a byte of an attempt is decided, just before it is passed to the kernel.
pub struct WriteFacts<T> {
    /// The current time.
    pub now: T,
    /// Bytes of the attempt have been written already.
    pub started: bool,
    /// How far the attempt may still proceed.
    pub stop: StopLevel,
    /// The client's connection was checked just now, and the client has closed it.
    pub client_disconnected: bool,
    /// When the client gives up.
    pub deadline: T,
    /// When a retry ceases to be deduplicated; `None` where nothing bounds it.
    pub resend_deadline: Option<T>,
    /// Until when the rules by which the attempt was decided are valid.
    pub rules_valid_until: Option<T>,
    /// Until when the remaining time that the request's headers state is accurate enough.
    pub headers_valid_until: T,
}

/// Decides whether a byte of an attempt may be written now. An attempt that has started may go on, but not beyond its
/// resend deadline or the validity of its rules: it has not run as long as its last byte has not been written.
///
/// # Errors
///
/// Returns the reason why no byte may be written. Of several reasons it is one that also stops what has started.
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

/// The facts on which it is decided whether this side may close a client's connection.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// A complete request has been read that has no response yet.
    pub has_unanswered_request: bool,
    /// Part of a request has been read, and no response to it is written with the close.
    pub has_partial_request: bool,
    /// Part of a response is not written yet, and the client still reads it.
    pub has_unwritten_response: bool,
    /// The client has closed the connection.
    pub client_disconnected: bool,
}

/// Decides whether a client's connection may be closed now.
///
/// # Errors
///
/// Returns which response the client is still to receive.
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

/// Decides whether a request that was read now may be admitted. `answered_by` is the time by which a shutdown answers
/// everything; `None` while no shutdown has begun.
///
/// # Errors
///
/// Returns [`Denial::ShutDown`] once the shutdown has answered everything.
pub fn check_admission<T: PartialOrd>(now: T, answered_by: Option<T>) -> Result<Permit<()>, Denial> {
    if answered_by.is_some_and(|by| by <= now) {
        Err(Denial::ShutDown)
    } else {
        Ok(Permit(()))
    }
}
