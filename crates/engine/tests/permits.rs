//! The permits: the effect of each fact by itself and of several facts together.

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, WorkerEntry, WorkerId, WorkerStatus};
use nickelflow_engine::permits::{
    check_admission, check_attempt, check_close, check_rejection, check_write, AttemptFacts, CloseFacts,
    Denial, EarlierAttempt, StopLevel, WriteFacts,
};
use rstest::rstest;

const KEYED: Idempotency = Idempotency::IdempotentWithKey(DeduplicationScope::Cell);

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

/// Returns an attempt at the worker of cell 1 that was decided at 0.
fn earlier(in_flight: bool, may_have_run: bool) -> EarlierAttempt {
    EarlierAttempt { worker: worker(1), decided_at: 0, in_flight, may_have_run }
}

/// Returns why an attempt at the worker of `cell` is denied, with facts that `change` has changed.
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

#[rstest]
#[case::first(Idempotency::NonIdempotent, 0, 2, &[], None)]
#[case::non_idempotent_that_never_ran(Idempotency::NonIdempotent, 0, 2, &[earlier(false, false)], None)]
#[case::non_idempotent_that_may_have_run(Idempotency::NonIdempotent, 0, 1, &[earlier(false, true)], Some(Denial::MayHaveRun))]
#[case::non_idempotent_beside_one_in_flight(Idempotency::NonIdempotent, 0, 1, &[earlier(true, true)], Some(Denial::AttemptInFlight))]
#[case::keyed_in_its_scope(KEYED, 899, 1, &[earlier(false, true)], None)]
#[case::keyed_beside_one_in_flight(KEYED, 0, 1, &[earlier(true, true)], None)]
#[case::keyed_after_its_window(KEYED, 900, 1, &[earlier(false, true)], Some(Denial::DeduplicationWindowExpired))]
#[case::keyed_outside_its_scope(KEYED, 0, 2, &[earlier(false, true)], Some(Denial::OutsideDeduplicationScope))]
#[case::keyed_that_never_ran_outside_its_scope(KEYED, 9_000, 2, &[earlier(false, false)], None)]
#[case::idempotent_anywhere_at_any_time(Idempotency::Idempotent, 9_000, 2, &[earlier(false, true)], None)]
#[case::attempts_exhausted(Idempotency::Idempotent, 0, 2, &[earlier(false, false), earlier(false, false), earlier(false, false)], Some(Denial::AttemptsExhausted))]
fn an_attempt_is_decided_by_the_earlier_attempts(
    #[case] idempotency: Idempotency,
    #[case] now: u64,
    #[case] cell: u32,
    #[case] earlier: &[EarlierAttempt],
    #[case] expected: Option<Denial>,
) {
    assert_eq!(attempt_denial(idempotency, now, cell, earlier, |_| ()), expected);
}

#[test]
fn no_attempt_goes_to_an_unavailable_worker_or_beside_another_without_hedging() {
    assert_eq!(
        attempt_denial(Idempotency::Idempotent, 0, 1, &[], |facts| facts.worker_is_ready = false),
        Some(Denial::WorkerUnavailable)
    );
    let in_flight = [earlier(true, true)];
    assert_eq!(
        attempt_denial(KEYED, 0, 1, &in_flight, |facts| facts.allows_hedging = false),
        Some(Denial::AttemptInFlight)
    );
}

#[test]
fn a_retry_must_be_deduplicated_with_every_earlier_attempt() {
    let two = [earlier(false, true), EarlierAttempt { worker: worker(2), ..earlier(false, true) }];
    assert_eq!(attempt_denial(KEYED, 0, 1, &two, |_| ()), Some(Denial::OutsideDeduplicationScope));
}

#[rstest]
#[case(Idempotency::Idempotent, true, None)]
#[case(Idempotency::IdempotentWithKey(DeduplicationScope::All), true, None)]
#[case(KEYED, true, Some(Denial::MayHaveRun))]
#[case(KEYED, false, None)]
#[case(Idempotency::NonIdempotent, true, Some(Denial::MayHaveRun))]
#[case(Idempotency::NonIdempotent, false, None)]
fn a_rejection_promises_that_a_retry_is_harmless(
    #[case] idempotency: Idempotency,
    #[case] ran: bool,
    #[case] expected: Option<Denial>,
) {
    assert_eq!(check_rejection(idempotency, &[earlier(false, ran)]).err(), expected);
}

fn writing() -> WriteFacts<u64> {
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
#[case::cancelled_unstarted(|f: &mut WriteFacts<u64>| f.stop = StopLevel::IfUnstarted, Denial::CancelledUnstarted, false)]
#[case::client_disconnected(|f: &mut WriteFacts<u64>| f.client_disconnected = true, Denial::ClientDisconnected, false)]
#[case::deadline_exceeded(|f: &mut WriteFacts<u64>| f.deadline = 10, Denial::DeadlineExceeded, false)]
#[case::deduplication_window_expired(|f: &mut WriteFacts<u64>| f.resend_deadline = Some(10), Denial::DeduplicationWindowExpired, true)]
#[case::rules_expired(|f: &mut WriteFacts<u64>| f.rules_valid_until = Some(10), Denial::RulesExpired, true)]
#[case::headers_outdated(|f: &mut WriteFacts<u64>| f.headers_valid_until = 9, Denial::HeadersOutdated, false)]
fn a_write_is_denied_by_each_fact(
    #[case] change: fn(&mut WriteFacts<u64>),
    #[case] denial: Denial,
    #[case] also_once_started: bool,
) {
    assert!(check_write(&writing()).is_ok());
    let mut facts = writing();
    change(&mut facts);
    assert_eq!(check_write(&facts).err(), Some(denial));
    facts.started = true;
    assert_eq!(check_write(&facts).err(), also_once_started.then_some(denial));
}

#[test]
fn of_several_denials_one_that_also_stops_a_started_attempt_is_returned() {
    let facts = WriteFacts {
        client_disconnected: true,
        deadline: 5,
        resend_deadline: Some(5),
        stop: StopLevel::IfUnstarted,
        ..writing()
    };
    assert_eq!(check_write(&facts).err(), Some(Denial::DeduplicationWindowExpired));
}

#[rstest]
#[case(CloseFacts { has_unanswered_request: true, ..idle() }, Some(Denial::ResponsePending))]
#[case(CloseFacts { has_partial_request: true, ..idle() }, Some(Denial::ResponsePending))]
#[case(CloseFacts { has_unwritten_response: true, ..idle() }, Some(Denial::ResponseUnwritten))]
#[case(CloseFacts { has_unanswered_request: true, client_disconnected: true, ..idle() }, None)]
#[case(idle(), None)]
fn a_connection_is_not_closed_before_its_response_is_written(
    #[case] facts: CloseFacts,
    #[case] expected: Option<Denial>,
) {
    assert_eq!(check_close(facts).err(), expected);
}

fn idle() -> CloseFacts {
    CloseFacts {
        has_unanswered_request: false,
        has_partial_request: false,
        has_unwritten_response: false,
        client_disconnected: false,
    }
}

#[test]
fn nothing_is_admitted_once_a_shutdown_has_answered_everything() {
    assert!(check_admission(5, None).is_ok());
    assert!(check_admission(5, Some(6)).is_ok());
    assert_eq!(check_admission(6, Some(6)).err(), Some(Denial::ShutDown));
}

#[test]
fn each_denial_has_a_name_of_its_own() {
    let names: std::collections::BTreeSet<_> = Denial::ALL.iter().map(|denial| denial.name()).collect();
    assert_eq!(names.len(), Denial::ALL.len());
}
