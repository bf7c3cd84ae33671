//! The rules in the one place that decides: each fact by itself, and those that cross.

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, WorkerEntry, WorkerId, WorkerStatus};
use nickelflow_engine::permits::{
    attempt, close, refusal, take, write, AttemptFacts, CloseFacts, Denial, EarlierAttempt, Stop, WriteFacts,
};
use rstest::rstest;

const KEYED: Idempotency = Idempotency::IdempotentWithKey(DeduplicationScope::Cell);

fn class(effect: Idempotency) -> Class {
    Class {
        idempotency: effect,
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
        weight: 1.0,
        started: None,
    }
}

/// One at the worker of cell 1, decided on at 0.
fn earlier(out: bool, may_have_run: bool) -> EarlierAttempt {
    EarlierAttempt { worker: worker(1), decided: 0, out, may_have_run }
}

fn denied(
    effect: Idempotency,
    now: u64,
    cell: u32,
    earlier: &[EarlierAttempt],
    change: impl Fn(&mut AttemptFacts),
) -> Option<Denial> {
    let (class, worker) = (class(effect), worker(cell));
    let mut facts = AttemptFacts {
        now,
        class: &class,
        connect: 100,
        most_attempts: 3,
        parallel: true,
        earlier,
        worker: &worker,
        ready: true,
    };
    change(&mut facts);
    attempt(&facts).err()
}

#[rstest]
#[case::first(Idempotency::NonIdempotent, 0, 2, &[], None)]
#[case::unsafe_that_never_ran(Idempotency::NonIdempotent, 0, 2, &[earlier(false, false)], None)]
#[case::unsafe_that_may_have_run(Idempotency::NonIdempotent, 0, 1, &[earlier(false, true)], Some(Denial::MayHaveRun))]
#[case::unsafe_beside_one_that_is_out(Idempotency::NonIdempotent, 0, 1, &[earlier(true, true)], Some(Denial::AttemptOut))]
#[case::keyed_in_its_group(KEYED, 899, 1, &[earlier(false, true)], None)]
#[case::keyed_beside_one_that_is_out(KEYED, 0, 1, &[earlier(true, true)], None)]
#[case::keyed_when_its_window_is_over(KEYED, 900, 1, &[earlier(false, true)], Some(Denial::WindowOver))]
#[case::keyed_elsewhere(KEYED, 0, 2, &[earlier(false, true)], Some(Denial::OutsideGroup))]
#[case::keyed_that_never_ran_elsewhere(KEYED, 9_000, 2, &[earlier(false, false)], None)]
#[case::safe_anywhere_at_any_time(Idempotency::Idempotent, 9_000, 2, &[earlier(false, true)], None)]
#[case::spent(Idempotency::Idempotent, 0, 2, &[earlier(false, false), earlier(false, false), earlier(false, false)], Some(Denial::AttemptsSpent))]
fn attempts_follow_what_went_before(
    #[case] effect: Idempotency,
    #[case] now: u64,
    #[case] cell: u32,
    #[case] before: &[EarlierAttempt],
    #[case] wanted: Option<Denial>,
) {
    assert_eq!(denied(effect, now, cell, before, |_| ()), wanted);
}

#[test]
fn no_attempt_goes_to_a_worker_that_leaves_or_beside_another_where_two_are_not_allowed() {
    assert_eq!(
        denied(Idempotency::Idempotent, 0, 1, &[], |facts| facts.ready = false),
        Some(Denial::WorkerLeaves)
    );
    let out = [earlier(true, true)];
    assert_eq!(denied(KEYED, 0, 1, &out, |facts| facts.parallel = false), Some(Denial::AttemptOut));
}

#[test]
fn two_earlier_attempts_must_both_drop_the_repeat() {
    let two = [earlier(false, true), EarlierAttempt { worker: worker(2), ..earlier(false, true) }];
    assert_eq!(denied(KEYED, 0, 1, &two, |_| ()), Some(Denial::OutsideGroup));
}

#[rstest]
#[case(Idempotency::Idempotent, true, None)]
#[case(Idempotency::IdempotentWithKey(DeduplicationScope::All), true, None)]
#[case(KEYED, true, Some(Denial::MayHaveRun))]
#[case(KEYED, false, None)]
#[case(Idempotency::NonIdempotent, true, Some(Denial::MayHaveRun))]
#[case(Idempotency::NonIdempotent, false, None)]
fn a_refusal_promises_that_nothing_ran(
    #[case] effect: Idempotency,
    #[case] ran: bool,
    #[case] wanted: Option<Denial>,
) {
    assert_eq!(refusal(effect, &[earlier(false, ran)]).err(), wanted);
}

fn writing() -> WriteFacts<u64> {
    WriteFacts {
        now: 10,
        begun: false,
        stop: Stop::No,
        client_left: false,
        deadline: 100,
        window: Some(100),
        lapses: Some(100),
        head_good_until: 10,
    }
}

#[rstest]
#[case::cancelled(|f: &mut WriteFacts<u64>| f.stop = Stop::Now, Denial::Cancelled, true)]
#[case::withdrawn(|f: &mut WriteFacts<u64>| f.stop = Stop::Unbegun, Denial::Withdrawn, false)]
#[case::client_left(|f: &mut WriteFacts<u64>| f.client_left = true, Denial::ClientLeft, false)]
#[case::deadline(|f: &mut WriteFacts<u64>| f.deadline = 10, Denial::DeadlineOver, false)]
#[case::window(|f: &mut WriteFacts<u64>| f.window = Some(10), Denial::WindowOver, true)]
#[case::rules(|f: &mut WriteFacts<u64>| f.lapses = Some(10), Denial::RulesLapsed, true)]
#[case::head(|f: &mut WriteFacts<u64>| f.head_good_until = 9, Denial::HeadOutdated, false)]
fn a_write_is_denied_by_each_fact(
    #[case] change: fn(&mut WriteFacts<u64>),
    #[case] denial: Denial,
    #[case] also_once_begun: bool,
) {
    assert!(write(&writing()).is_ok());
    let mut facts = writing();
    change(&mut facts);
    assert_eq!(write(&facts).err(), Some(denial));
    facts.begun = true;
    assert_eq!(write(&facts).err(), also_once_begun.then_some(denial));
}

#[test]
fn of_facts_that_cross_the_one_that_also_stops_what_has_begun_is_told() {
    let facts =
        WriteFacts { client_left: true, deadline: 5, window: Some(5), stop: Stop::Unbegun, ..writing() };
    assert_eq!(write(&facts).err(), Some(Denial::WindowOver));
}

#[rstest]
#[case(CloseFacts { unanswered: true, ..idle() }, Some(Denial::AnswerOwed))]
#[case(CloseFacts { half_read: true, ..idle() }, Some(Denial::AnswerOwed))]
#[case(CloseFacts { unwritten: true, ..idle() }, Some(Denial::AnswerUnwritten))]
#[case(CloseFacts { unanswered: true, client_left: true, ..idle() }, None)]
#[case(idle(), None)]
fn a_connection_that_owes_something_is_not_closed(#[case] facts: CloseFacts, #[case] wanted: Option<Denial>) {
    assert_eq!(close(facts).err(), wanted);
}

fn idle() -> CloseFacts {
    CloseFacts { unanswered: false, half_read: false, unwritten: false, client_left: false }
}

#[test]
fn nothing_is_taken_once_all_has_been_answered() {
    assert!(take(5, None).is_ok());
    assert!(take(5, Some(6)).is_ok());
    assert_eq!(take(6, Some(6)).err(), Some(Denial::Ended));
}

#[test]
fn each_denial_has_a_name_of_its_own() {
    let names: std::collections::BTreeSet<_> = Denial::ALL.iter().map(|denial| denial.name()).collect();
    assert_eq!(names.len(), Denial::ALL.len());
}
