//! The one place that decides whether something may be attempted, written, refused, closed or taken now.
//!
//! Each function takes the facts as they are known at that moment and gives a permit, which only this module can make, or
//! the reason why not. No I/O, no clock; times are of any ordered type, so that a host can ask with its own.
//!
//! The decisions module decides by the same rules. Asked again here, at its order and at the first byte, a rule holds also
//! where something came in between, and a mistake on the way is found: an order that is denied, or a fact found later, is a
//! [`Violation`].

use std::fmt;

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, Nanos, WorkerEntry};

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt has not begun, and its worker leaves or nobody waits for it.
    Withdrawn,
    /// The client has closed its connection.
    ClientLeft,
    /// The client's time is over.
    DeadlineOver,
    /// A repeat is dropped by the workers of its group for a while only, and that is over.
    WindowOver,
    /// The rules by which it was decided hold no longer.
    RulesLapsed,
    /// What the head says of the time that is left was read too long ago.
    HeadOutdated,
    /// The worker is not of the group that drops the repeat.
    OutsideGroup,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// Another attempt is out, and two are not allowed.
    AttemptOut,
    /// The worker has been told to leave, or is on no list.
    WorkerLeaves,
    /// All attempts that the settings allow have been made.
    AttemptsSpent,
    /// A request has been read that has no answer yet.
    AnswerOwed,
    /// Part of an answer is not written yet.
    AnswerUnwritten,
    /// The program ends, and all that it takes now would be answered too late.
    Ended,
}

impl Denial {
    /// All of them, in their order.
    pub const ALL: [Denial; 15] = [
        Denial::Cancelled,
        Denial::Withdrawn,
        Denial::ClientLeft,
        Denial::DeadlineOver,
        Denial::WindowOver,
        Denial::RulesLapsed,
        Denial::HeadOutdated,
        Denial::OutsideGroup,
        Denial::MayHaveRun,
        Denial::AttemptOut,
        Denial::WorkerLeaves,
        Denial::AttemptsSpent,
        Denial::AnswerOwed,
        Denial::AnswerUnwritten,
        Denial::Ended,
    ];

    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Cancelled => "cancelled",
            Denial::Withdrawn => "withdrawn",
            Denial::ClientLeft => "client_left",
            Denial::DeadlineOver => "deadline_over",
            Denial::WindowOver => "window_over",
            Denial::RulesLapsed => "rules_lapsed",
            Denial::HeadOutdated => "head_outdated",
            Denial::OutsideGroup => "outside_group",
            Denial::MayHaveRun => "may_have_run",
            Denial::AttemptOut => "attempt_out",
            Denial::WorkerLeaves => "worker_leaves",
            Denial::AttemptsSpent => "attempts_spent",
            Denial::AnswerOwed => "answer_owed",
            Denial::AnswerUnwritten => "answer_unwritten",
            Denial::Ended => "ended",
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What was being done when a rule was found broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Act {
    /// An attempt was ordered that must not be made.
    Attempt,
    /// A byte was written that must not be.
    Write,
    /// A request was refused that may have run.
    Refuse,
    /// A connection was closed that owes its client something.
    Close,
}

impl Act {
    /// All of them, in their order.
    pub const ALL: [Act; 4] = [Act::Attempt, Act::Write, Act::Refuse, Act::Close];

    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Act::Attempt => "attempt",
            Act::Write => "write",
            Act::Refuse => "refuse",
            Act::Close => "close",
        }
    }
}

/// A rule that was broken, or would have been without the permit: a fault of this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    pub act: Act,
    pub denial: Denial,
}

/// Leave to do one thing now; only this module makes one.
#[derive(Debug)]
pub struct Permit<T>(T);

impl<T> Permit<T> {
    /// What it is for.
    pub fn into_inner(self) -> T {
        self.0
    }
}

/// An earlier attempt of a request.
#[derive(Clone, Debug)]
pub struct EarlierAttempt {
    /// Its worker, as listed when it was decided on.
    pub worker: WorkerEntry,
    pub decided: Nanos,
    /// It is out: its end is not known.
    pub out: bool,
    /// Nothing has proved that it never ran.
    pub may_have_run: bool,
}

/// What is known when an attempt is ordered.
pub struct AttemptFacts<'a> {
    pub now: Nanos,
    pub class: &'a Class,
    /// In which a connection to a worker comes up.
    pub connect: Nanos,
    pub most_attempts: u32,
    /// Two attempts of a request may be out together.
    pub parallel: bool,
    pub earlier: &'a [EarlierAttempt],
    /// The worker as it is listed now.
    pub worker: &'a WorkerEntry,
    /// It is on the list and not told to leave.
    pub ready: bool,
}

/// Whether an attempt may be ordered now.
pub fn attempt(facts: &AttemptFacts) -> Result<Permit<()>, Denial> {
    if !facts.ready {
        return Err(Denial::WorkerLeaves);
    }
    if facts.earlier.len() >= facts.most_attempts as usize {
        return Err(Denial::AttemptsSpent);
    }
    let out = facts.earlier.iter().any(|earlier| earlier.out);
    if out && !(facts.parallel && facts.class.idempotency != Idempotency::NonIdempotent) {
        return Err(Denial::AttemptOut);
    }
    let mut ran = facts.earlier.iter().filter(|earlier| earlier.may_have_run).peekable();
    let Some(first) = ran.peek() else { return Ok(Permit(())) };
    if facts.class.idempotency == Idempotency::NonIdempotent {
        return Err(Denial::MayHaveRun);
    }
    if facts.now >= facts.class.resend_deadline(first.decided, facts.connect) {
        return Err(Denial::WindowOver);
    }
    match ran.all(|earlier| facts.class.deduplicates(&earlier.worker, facts.worker)) {
        true => Ok(Permit(())),
        false => Err(Denial::OutsideGroup),
    }
}

/// Whether a request may be answered as refused, which promises that to try again is harmless.
pub fn refusal(effect: Idempotency, earlier: &[EarlierAttempt]) -> Result<Permit<()>, Denial> {
    let dropped_everywhere =
        matches!(effect, Idempotency::Idempotent | Idempotency::IdempotentWithKey(DeduplicationScope::All));
    match dropped_everywhere || earlier.iter().all(|earlier| !earlier.may_have_run) {
        true => Ok(Permit(())),
        false => Err(Denial::MayHaveRun),
    }
}

/// How far an attempt may still go.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Stop {
    No,
    /// It must not begin any more. If a byte of it has gone out it goes on.
    Unbegun,
    Now,
}

/// What is known when a byte of an attempt is about to be handed to the kernel.
pub struct WriteFacts<T> {
    pub now: T,
    /// Bytes of it have gone out already.
    pub begun: bool,
    pub stop: Stop,
    /// The client was looked for just now, and has closed its connection.
    pub client_left: bool,
    /// When its client gives up.
    pub deadline: T,
    /// Until when a repeat may be written.
    pub window: Option<T>,
    /// Until when the rules hold that it was decided by.
    pub lapses: Option<T>,
    /// Until when what its head says of the time left is near enough.
    pub head_good_until: T,
}

/// Whether a byte of an attempt may be written now. What has begun may go on, but not beyond its window or its rules: as long
/// as its last byte has not gone out it has not run.
pub fn write<T: PartialOrd + Copy>(facts: &WriteFacts<T>) -> Result<Permit<()>, Denial> {
    let over = |until: Option<T>| until.is_some_and(|until| until <= facts.now);
    let denials = [
        (facts.stop >= Stop::Now, Denial::Cancelled),
        (over(facts.window), Denial::WindowOver),
        (over(facts.lapses), Denial::RulesLapsed),
        (!facts.begun && facts.stop >= Stop::Unbegun, Denial::Withdrawn),
        (!facts.begun && facts.client_left, Denial::ClientLeft),
        (!facts.begun && facts.deadline <= facts.now, Denial::DeadlineOver),
        (!facts.begun && facts.head_good_until < facts.now, Denial::HeadOutdated),
    ];
    match denials.into_iter().find(|(denied, _)| *denied) {
        Some((_, denial)) => Err(denial),
        None => Ok(Permit(())),
    }
}

/// What is known when a client's connection is about to be closed by this side.
#[derive(Clone, Copy, Debug)]
pub struct CloseFacts {
    /// A whole request has been read that has no answer yet.
    pub unanswered: bool,
    /// Part of a request has been read, and no answer to it is written with the close.
    pub half_read: bool,
    /// Part of an answer is not written yet, and its client still takes it.
    pub unwritten: bool,
    pub client_left: bool,
}

/// Whether a client's connection may be closed now.
pub fn close(facts: CloseFacts) -> Result<Permit<()>, Denial> {
    match facts {
        CloseFacts { client_left: true, .. } => Ok(Permit(())),
        CloseFacts { unanswered: true, .. } | CloseFacts { half_read: true, .. } => Err(Denial::AnswerOwed),
        CloseFacts { unwritten: true, .. } => Err(Denial::AnswerUnwritten),
        _ => Ok(Permit(())),
    }
}

/// Whether a request that was read now may be taken on: not once the program has answered all that it had.
pub fn take<T: PartialOrd>(now: T, answered_by: Option<T>) -> Result<Permit<()>, Denial> {
    match answered_by.is_some_and(|by| by <= now) {
        true => Err(Denial::Ended),
        false => Ok(Permit(())),
    }
}
