//! Tests of the permit checks: the effect of each fact alone and of several facts together.

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, WorkerEntry, WorkerId, WorkerStatus};
use nickelflow_engine::permits::{
    check_admission, check_attempt, check_close, check_rejection, check_write, AttemptFacts, CloseFacts,
    Denial, EarlierAttempt, StopLevel, WriteFacts,
};
use rstest::rstest;

const KEYED_PER_CELL: Idempotency = Idempotency::IdempotentWithKey(DeduplicationScope::Cell);

fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        deduplication_window: 1_000,
        latency_objective: 100,
        latency_stretch: 1.0,
        deadline: 5_000,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        required_kind: None,
    }
}

fn worker(cell: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(cell),
        address_hash: u64::from(cell),
        zone: 0,
        kind: 0,
        cell,
        status: WorkerStatus::Ready,
        registered_size: 1.0,
        started_at: None,
    }
}

/// Returns an attempt that was sent to the worker of cell 1 and decided at time 0.
fn earlier_attempt(in_flight: bool, may_have_run: bool) -> EarlierAttempt {
    EarlierAttempt { worker: worker(1), decided_at: 0, in_flight, may_have_run }
}

/// Returns why an attempt to the worker of `cell` is denied, if it is. `change` modifies the facts before the
/// check.
fn attempt_denial(
    idempotency: Idempotency,
    now: u64,
    cell: u32,
    earlier: &[EarlierAttempt],
    change: impl Fn(&mut AttemptFacts),
) -> Option<Denial> {
    let (class, worker) = (class(idempotency), worker(cell));
    let mut facts = AttemptFacts {
        now,
        class: &class,
        connect_timeout: 100,
        max_attempts: 3,
        allows_hedging: true,
        earlier,
        worker: &worker,
        worker_is_ready: true,
    };
    change(&mut facts);
    check_attempt(&facts).err()
}

// A keyed retry may start before 900: the deduplication window of 1 000 less the connect timeout of 100.
#[rstest]
#[case::first(Idempotency::NonIdempotent, 0, 2, &[], None)]
#[case::non_idempotent_that_never_ran(
    Idempotency::NonIdempotent,
    0,
    2,
    &[earlier_attempt(false, false)],
    None,
)]
#[case::non_idempotent_that_may_have_run(
    Idempotency::NonIdempotent,
    0,
    1,
    &[earlier_attempt(false, true)],
    Some(Denial::MayHaveRun),
)]
#[case::non_idempotent_with_one_in_flight(
    Idempotency::NonIdempotent,
    0,
    1,
    &[earlier_attempt(true, true)],
    Some(Denial::AttemptInFlight),
)]
#[case::keyed_inside_its_scope(KEYED_PER_CELL, 899, 1, &[earlier_attempt(false, true)], None)]
#[case::keyed_with_one_in_flight(KEYED_PER_CELL, 0, 1, &[earlier_attempt(true, true)], None)]
#[case::keyed_after_its_deduplication_window(
    KEYED_PER_CELL,
    900,
    1,
    &[earlier_attempt(false, true)],
    Some(Denial::DeduplicationWindowExpired),
)]
#[case::keyed_outside_its_scope(
    KEYED_PER_CELL,
    0,
    2,
    &[earlier_attempt(false, true)],
    Some(Denial::OutsideDeduplicationScope),
)]
#[case::keyed_that_never_ran_outside_its_scope(
    KEYED_PER_CELL,
    9_000,
    2,
    &[earlier_attempt(false, false)],
    None,
)]
#[case::idempotent_anywhere_at_any_time(
    Idempotency::Idempotent,
    9_000,
    2,
    &[earlier_attempt(false, true)],
    None,
)]
#[case::attempts_exhausted(
    Idempotency::Idempotent,
    0,
    2,
    &[earlier_attempt(false, false), earlier_attempt(false, false), earlier_attempt(false, false)],
    Some(Denial::AttemptsExhausted),
)]
fn the_earlier_attempts_decide_whether_an_attempt_may_start(
    #[case] idempotency: Idempotency,
    #[case] now: u64,
    #[case] cell: u32,
    #[case] earlier: &[EarlierAttempt],
    #[case] expected: Option<Denial>,
) {
    assert_eq!(attempt_denial(idempotency, now, cell, earlier, |_| ()), expected);
}

#[test]
fn an_attempt_needs_a_ready_worker_and_hedging_if_another_is_in_flight() {
    assert_eq!(
        attempt_denial(Idempotency::Idempotent, 0, 1, &[], |facts| facts.worker_is_ready = false),
        Some(Denial::WorkerUnavailable)
    );
    let in_flight = [earlier_attempt(true, true)];
    assert_eq!(
        attempt_denial(KEYED_PER_CELL, 0, 1, &in_flight, |facts| facts.allows_hedging = false),
        Some(Denial::AttemptInFlight)
    );
}

#[test]
fn a_retry_must_be_deduplicated_with_every_earlier_attempt() {
    let two_attempts =
        [earlier_attempt(false, true), EarlierAttempt { worker: worker(2), ..earlier_attempt(false, true) }];
    assert_eq!(
        attempt_denial(KEYED_PER_CELL, 0, 1, &two_attempts, |_| ()),
        Some(Denial::OutsideDeduplicationScope)
    );
}

#[rstest]
#[case(Idempotency::Idempotent, true, None)]
#[case(Idempotency::IdempotentWithKey(DeduplicationScope::All), true, None)]
#[case(KEYED_PER_CELL, true, Some(Denial::MayHaveRun))]
#[case(KEYED_PER_CELL, false, None)]
#[case(Idempotency::NonIdempotent, true, Some(Denial::MayHaveRun))]
#[case(Idempotency::NonIdempotent, false, None)]
fn a_rejection_requires_that_a_retry_is_harmless(
    #[case] idempotency: Idempotency,
    #[case] may_have_run: bool,
    #[case] expected: Option<Denial>,
) {
    assert_eq!(check_rejection(idempotency, &[earlier_attempt(false, may_have_run)]).err(), expected);
}

fn write_facts() -> WriteFacts<u64> {
    WriteFacts {
        now: 10,
        started: false,
        stop: StopLevel::Continue,
        client_disconnected: false,
        deadline: 100,
        resend_deadline: Some(100),
        rules_valid_until: Some(100),
        headers_valid_until: 10,
    }
}

#[rstest]
#[case::cancelled(|f: &mut WriteFacts<u64>| f.stop = StopLevel::Immediate, Denial::Cancelled, true)]
#[case::cancelled_unstarted(
    |f: &mut WriteFacts<u64>| f.stop = StopLevel::IfUnstarted,
    Denial::CancelledUnstarted,
    false,
)]
#[case::client_disconnected(
    |f: &mut WriteFacts<u64>| f.client_disconnected = true,
    Denial::ClientDisconnected,
    false,
)]
#[case::deadline_exceeded(|f: &mut WriteFacts<u64>| f.deadline = 10, Denial::DeadlineExceeded, false)]
#[case::deduplication_window_expired(
    |f: &mut WriteFacts<u64>| f.resend_deadline = Some(10),
    Denial::DeduplicationWindowExpired,
    true,
)]
#[case::rules_expired(|f: &mut WriteFacts<u64>| f.rules_valid_until = Some(10), Denial::RulesExpired, true)]
#[case::headers_outdated(|f: &mut WriteFacts<u64>| f.headers_valid_until = 9, Denial::HeadersOutdated, false)]
fn each_fact_alone_denies_a_write(
    #[case] change: fn(&mut WriteFacts<u64>),
    #[case] denial: Denial,
    #[case] denies_started_attempt: bool,
) {
    assert!(check_write(&write_facts()).is_ok());
    let mut facts = write_facts();
    change(&mut facts);
    assert_eq!(check_write(&facts).err(), Some(denial));
    facts.started = true;
    assert_eq!(check_write(&facts).err(), denies_started_attempt.then_some(denial));
}

#[test]
fn a_denial_that_also_stops_a_started_attempt_takes_precedence() {
    let facts = WriteFacts {
        client_disconnected: true,
        deadline: 5,
        resend_deadline: Some(5),
        stop: StopLevel::IfUnstarted,
        ..write_facts()
    };
    assert_eq!(check_write(&facts).err(), Some(Denial::DeduplicationWindowExpired));
}

#[rstest]
#[case(CloseFacts { has_unanswered_request: true, ..idle_connection() }, Some(Denial::ResponsePending))]
#[case(CloseFacts { has_partial_request: true, ..idle_connection() }, Some(Denial::ResponsePending))]
#[case(CloseFacts { has_unwritten_response: true, ..idle_connection() }, Some(Denial::ResponseUnwritten))]
#[case(CloseFacts { has_unanswered_request: true, client_disconnected: true, ..idle_connection() }, None)]
#[case(idle_connection(), None)]
fn a_connection_is_not_closed_before_its_response_is_written(
    #[case] facts: CloseFacts,
    #[case] expected: Option<Denial>,
) {
    assert_eq!(check_close(facts).err(), expected);
}

fn idle_connection() -> CloseFacts {
    CloseFacts {
        has_unanswered_request: false,
        has_partial_request: false,
        has_unwritten_response: false,
        client_disconnected: false,
    }
}

#[test]
fn no_request_is_admitted_once_a_shutdown_has_answered_all() {
    assert!(check_admission(5, None).is_ok());
    assert!(check_admission(5, Some(6)).is_ok());
    assert_eq!(check_admission(6, Some(6)).err(), Some(Denial::ShutDown));
}

#[test]
fn denial_names_are_unique() {
    let names: std::collections::BTreeSet<_> = Denial::ALL.iter().map(|denial| denial.name()).collect();
    assert_eq!(names.len(), Denial::ALL.len());
}
