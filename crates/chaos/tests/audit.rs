//! The auditor shown to fail: for each finding a record that is sound, and the same with one thing changed that breaks
//! just that rule. And shown to excuse what the drill itself did.

use nickelflow_chaos::audit::{audit, Law, Repeat, Rule};
use nickelflow_chaos::record::{Entry, Life, Party, Record, Standing};
use rstest::rstest;

const MS: u64 = 1_000_000;

fn law() -> Law {
    Law {
        classes: vec![Repeat::Rack(3_000 * MS), Repeat::Never, Repeat::Any],
        // Workers 0 and 1 share a rack, 2 has its own.
        racks: vec![1, 1, 2],
        slack: 60 * MS,
        drain: 500 * MS,
        leave: 150 * MS,
        told_slack: 150 * MS,
        held: 3_100 * MS,
        most_memory_kib: 1_000,
        most_descriptors: 10,
        settle: 1_000 * MS,
    }
}

fn id() -> String {
    "r".to_owned()
}

fn asked(class: u32) -> Record {
    Record::Asked { id: id(), scheduler: 0, class, tenant: None, deadline: 5_000 * MS }
}

fn reached(run: u64, worker: u32) -> Record {
    Record::Reached {
        id: id(),
        run,
        scheduler: 0,
        worker,
        taken: true,
        work: 1.0,
        version: None,
        timeout: None,
    }
}

fn finished(run: u64, result: &str) -> Record {
    Record::Finished { run, result: result.to_owned() }
}

fn answered(status: u16, result: Option<&str>) -> Record {
    Record::Answered { id: id(), status, result: result.map(str::to_owned) }
}

fn told(standing: Standing) -> Record {
    Record::Told { scheduler: 0, worker: 0, standing }
}

fn life(life: Life) -> Record {
    Record::Process { scheduler: 0, life }
}

/// A keyed request that is reset at one worker, sent again in its rack, and served.
fn sound() -> Vec<(u64, Record)> {
    vec![
        (0, life(Life::Ready)),
        (0, told(Standing::Ready)),
        (10, asked(0)),
        (20, reached(1, 0)),
        (60, Record::Dropped { run: 1 }),
        (70, reached(2, 1)),
        (90, Record::Started { run: 2 }),
        (150, finished(2, "two")),
        (151, answered(200, Some("two"))),
        (9_000, life(Life::ToldToEnd)),
        (9_500, life(Life::Ended(Some(0)))),
    ]
}

/// The sound record with one place changed.
fn with(place: usize, at: u64, record: Record) -> Vec<(u64, Record)> {
    let mut records = sound();
    records[place] = (at, record);
    records
}

/// The sound record with more in it.
fn and(more: &[(u64, Record)]) -> Vec<(u64, Record)> {
    let mut records = sound();
    records.extend_from_slice(more);
    records.sort_by_key(|(at, _)| *at);
    records
}

fn without(place: usize) -> Vec<(u64, Record)> {
    let mut records = sound();
    records.remove(place);
    records
}

fn rules(records: &[(u64, Record)]) -> Vec<Rule> {
    let entries: Vec<Entry> =
        records.iter().map(|(at, what)| Entry { at: at * MS, what: what.clone() }).collect();
    audit(&law(), &entries).into_iter().map(|finding| finding.rule).collect()
}

#[rstest]
#[case::sound(sound(), None)]
#[case::never_answered(without(8), Some(Rule::NoAnswer))]
#[case::left_by_its_client(with(8, 5_100, Record::Left { id: id() }), Some(Rule::NoAnswer))]
#[case::connection_ended(with(8, 151, Record::Broken { id: id(), crossed: false }), Some(Rule::NoAnswer))]
#[case::answered_late(with(8, 5_061, answered(200, Some("two"))), Some(Rule::NoAnswer))]
#[case::answered_twice(and(&[(152, answered(200, Some("two")))]), Some(Rule::TwoAnswers))]
#[case::an_answer_to_nothing(and(&[(300, Record::Unasked { scheduler: 0 })]), Some(Rule::TwoAnswers))]
#[case::somebody_elses_result(with(8, 151, answered(200, Some("one"))), Some(Rule::NobodysResult))]
#[case::served_before_it_was_done(with(7, 152, finished(2, "two")), Some(Rule::NobodysResult))]
#[case::served_with_nothing(without(7), Some(Rule::NobodysResult))]
#[case::in_another_rack(with(5, 70, reached(2, 2)), Some(Rule::Repeated))]
#[case::after_the_window(
    vec![(10, asked(0)), (20, reached(1, 0)), (3_020, reached(2, 1)), (3_100, answered(500, None))],
    Some(Rule::Repeated)
)]
#[case::a_second_run_of_what_must_run_once(with(2, 10, asked(1)), Some(Rule::Repeated))]
#[case::harmless_anywhere(
    vec![(10, asked(2)), (20, reached(1, 0)), (30, reached(2, 2)), (40, answered(503, None))],
    None
)]
#[case::handed_back_before(
    vec![(10, asked(1)), (20, reached(1, 0)), (30, Record::HandedBack { run: 1 }), (40, reached(2, 2)),
         (50, answered(500, None))],
    None
)]
#[case::refused_after_it_was_taken(with(8, 151, answered(503, None)), Some(Rule::FalseRefusal))]
#[case::sent_long_after_a_drain(and(&[(1, told(Standing::Draining)), (900, asked(2)), (901, reached(3, 0)),
    (950, answered(500, None))]), Some(Rule::SentAfterDrain))]
#[case::sent_soon_after_a_drain(and(&[(1, told(Standing::Draining)), (400, asked(2)), (401, reached(3, 0)),
    (450, answered(500, None))]), None)]
#[case::ready_again_in_between(and(&[(1, told(Standing::Gone)), (800, told(Standing::Ready)), (900, asked(2)),
    (901, reached(3, 0)), (950, answered(500, None))]), None)]
#[case::pushed_over(and(&[(300, Record::Fell { worker: 1 })]), Some(Rule::PushedOver))]
#[case::ended_by_itself(with(9, 9_000, life(Life::Continued)), Some(Rule::Crashed))]
#[case::ended_with_a_failure(with(10, 9_500, life(Life::Ended(Some(1)))), Some(Rule::Crashed))]
fn each_finding_has_its_record(#[case] records: Vec<(u64, Record)>, #[case] broken: Option<Rule>) {
    let mut records = records;
    records.sort_by_key(|(at, _)| *at);
    let expected: Vec<Rule> = broken.into_iter().collect();
    assert_eq!(rules(&records), expected);
}

/// A request that its client left without an answer, and what the drill did meanwhile.
fn unanswered(more: &[(u64, Record)]) -> Vec<Rule> {
    let mut records = vec![(10, asked(0)), (20, reached(1, 0)), (5_100, Record::Left { id: id() })];
    records.extend_from_slice(more);
    records.sort_by_key(|(at, _)| *at);
    rules(&records)
}

fn link(from: Party, to: Party, fault: Option<&str>) -> Record {
    Record::Link { from, to, fault: fault.map(str::to_owned) }
}

#[rstest]
#[case::killed(vec![(100, life(Life::Killed)), (200, life(Life::Ready))], true)]
#[case::stopped(vec![(100, life(Life::Stopped)), (200, life(Life::Continued))], true)]
#[case::stopped_long_before(vec![(0, life(Life::Stopped)), (1, life(Life::Continued))], true)]
#[case::its_own_link(
    vec![(100, link(Party::Clients, Party::Scheduler(0), Some("cut"))),
         (200, link(Party::Clients, Party::Scheduler(0), None))],
    true
)]
#[case::another_scheduler_killed(
    vec![(100, Record::Process { scheduler: 1, life: Life::Killed })],
    false
)]
#[case::a_link_to_workers(vec![(100, link(Party::Scheduler(0), Party::Worker(0), Some("cut")))], false)]
#[case::told_to_end(vec![(100, life(Life::ToldToEnd)), (5_000, life(Life::Ended(Some(0))))], false)]
fn only_what_the_drill_did_to_it_excuses_a_scheduler(
    #[case] more: Vec<(u64, Record)>,
    #[case] excused: bool,
) {
    let expected: &[Rule] = if excused { &[] } else { &[Rule::NoAnswer] };
    assert_eq!(unanswered(&more), expected);
}

#[test]
fn what_a_link_kept_for_long_was_not_sent_late() {
    let late =
        [(1, told(Standing::Draining)), (900, asked(2)), (901, reached(3, 0)), (950, answered(500, None))];
    let cut = [
        (100, link(Party::Scheduler(0), Party::Worker(0), Some("cut"))),
        (800, link(Party::Scheduler(0), Party::Worker(0), None)),
    ];
    assert_eq!(rules(&and(&late)), [Rule::SentAfterDrain]);
    assert_eq!(rules(&and(&[&late[..], &cut[..]].concat())), []);
}

fn told_time(run: u64, timeout: u64) -> Record {
    match reached(run, 1) {
        Record::Reached { id, run, scheduler, worker, taken, work, version, .. } => {
            Record::Reached { id, run, scheduler, worker, taken, work, version, timeout: Some(timeout) }
        }
        other => other,
    }
}

/// What the stricter terms ask, each broken once; and the same a little better, which is sound.
#[rstest]
#[case::told_too_much(vec![(10, asked(2)), (110, told_time(1, 5_050 * MS))], Some(Rule::DeadlineTold))]
#[case::told_within_the_slack(vec![(10, asked(2)), (110, told_time(1, 5_039 * MS))], None)]
#[case::sent_after_leave(vec![(10, asked(2)), (50, Record::Left { id: id() }), (210, reached(1, 0))], Some(Rule::SentAfterLeave))]
#[case::sent_right_after_leave(vec![(10, asked(2)), (50, Record::Left { id: id() }), (190, reached(1, 0))], None)]
#[case::kept_connection_that_had_been_read(vec![(10, asked(2)), (20, reached(1, 0)), (30, Record::Broken { id: id(), crossed: true })], Some(Rule::NoAnswer))]
#[case::kept_connection_that_crossed(vec![(10, asked(2)), (30, Record::Broken { id: id(), crossed: true })], None)]
#[case::client_held(vec![(4_000, Record::Stayed { scheduler: 0, since: 0, waited: 4_000 * MS, answered: false })], Some(Rule::ClientHeld))]
#[case::client_closed(vec![(2_600, Record::Stayed { scheduler: 0, since: 0, waited: 2_600 * MS, answered: true })], None)]
#[case::memory(vec![(1, Record::Uses { scheduler: 0, peak_kib: 1_001, descriptors: 1 })], Some(Rule::OverLimit))]
#[case::descriptors(vec![(1, Record::Uses { scheduler: 0, peak_kib: 1, descriptors: 11 })], Some(Rule::OverLimit))]
#[case::within_limits(vec![(1, Record::Uses { scheduler: 0, peak_kib: 1_000, descriptors: 10 })], None)]
#[case::violation(vec![(1, Record::Violation { scheduler: 0, line: "x".to_owned() })], Some(Rule::Violation))]
fn the_stricter_terms_are_judged(#[case] records: Vec<(u64, Record)>, #[case] wanted: Option<Rule>) {
    // Each is answered in the end, so that nothing else is owed.
    let entries: Vec<Entry> = records.into_iter().map(|(ms, what)| Entry { at: ms * MS, what }).collect();
    let found: Vec<Rule> = audit(&law(), &entries).into_iter().map(|finding| finding.rule).collect();
    let found: Vec<Rule> =
        found.into_iter().filter(|rule| *rule != Rule::NoAnswer || wanted == Some(Rule::NoAnswer)).collect();
    assert_eq!(found, wanted.into_iter().collect::<Vec<_>>());
}
