//! The auditor shown to fail: for each finding a record that is sound, and the same with one thing changed that
//! breaks just that rule.

use nickelflow_simulator::audit::{Auditor, Law, Repeat, Rule, Verdict};
use nickelflow_simulator::record::{Ending, Final, Record, Standing};
use nickelflow_simulator::time::{Nanos, MS, SECOND};
use rstest::rstest;

fn law() -> Law {
    Law {
        classes: vec![Repeat::Rack(3 * SECOND), Repeat::Never, Repeat::Any],
        attempts: 3,
        parallel: false,
        slack: 8 * MS,
        drain: 500 * MS,
        at_once: 5 * MS,
        connections: 10,
        cold_from: 0.2,
        cold: 10 * SECOND,
        fall_multiple: 3.0,
        fall: SECOND,
        // Workers 0 and 1 share a rack, 2 has its own; each does a core-second a second.
        workers: vec![(0, 1.0), (0, 1.0), (1, 1.0)],
    }
}

fn verdict(records: &[(Nanos, Record)]) -> Verdict {
    let mut auditor = Auditor::new(law());
    for (at, record) in records {
        auditor.note(at * MS, *record);
    }
    auditor.close(60 * SECOND)
}

fn asked(class: u32) -> Record {
    Record::Asked { job: 1, request: 1, class, tenant: 0, scheduler: 0, deadline: 5 * SECOND, retry: 0 }
}
fn sent(attempt: u32, worker: u32) -> Record {
    Record::Sent { job: 1, attempt, scheduler: 0, worker }
}
fn finished(attempt: u32, worker: u32) -> Record {
    Record::Finished { job: 1, attempt, worker }
}
fn ended(attempt: u32, ending: Ending) -> Record {
    Record::Ended { job: 1, attempt, ending }
}
fn answered(answer: Final) -> Record {
    Record::Answered { job: 1, answer }
}

/// A job that is reset once, sent again in its rack, and served.
fn sound() -> Vec<(Nanos, Record)> {
    vec![
        (0, asked(0)),
        (1, sent(0, 0)),
        (50, ended(0, Ending::Reset)),
        (51, sent(1, 1)),
        (90, finished(1, 1)),
        (91, ended(1, Ending::Served)),
        (91, Record::Decided { job: 1, answer: Final::Served }),
        (91, answered(Final::Served)),
    ]
}

/// The sound record with one place changed.
fn with(index: usize, at: Nanos, record: Record) -> Vec<(Nanos, Record)> {
    let mut records = sound();
    records[index] = (at, record);
    records
}

fn plus(more: &[(Nanos, Record)]) -> Vec<(Nanos, Record)> {
    let mut records = sound();
    records.extend_from_slice(more);
    records.sort_by_key(|(at, _)| *at);
    records
}

fn only(class: u32, rest: &[(Nanos, Record)]) -> Vec<(Nanos, Record)> {
    let mut records = vec![(0, asked(class))];
    records.extend_from_slice(rest);
    records
}

fn told(at: Nanos, standing: Standing) -> (Nanos, Record) {
    (at, Record::Told { scheduler: 0, worker: 1, standing, started: None })
}

/// A cold worker that gets so much work (ms) every 100 ms, from a scheduler that knows of its start or not.
fn cold(work: u64, knows: bool) -> Vec<(Nanos, Record)> {
    let started = Some(0);
    let mut records = vec![(0, Record::Up { worker: 1 })];
    if knows {
        records.push((0, Record::Told { scheduler: 0, worker: 1, standing: Standing::Ready, started }));
    }
    let reached = |n| Record::Reached {
        job: n,
        attempt: 0,
        scheduler: 0,
        worker: 1,
        work: (work * MS) as f64,
        taken: n % 2 == 0,
    };
    records.extend((1..40).map(|n| (n * 100, reached(n))));
    records
}

#[test]
fn sound_records_break_nothing() {
    let refused =
        only(0, &[(1, sent(0, 0)), (2, ended(0, Ending::TurnedAway)), (3, answered(Final::Refused(0)))]);
    let left =
        only(0, &[(1, sent(0, 0)), (20, Record::Left { job: 1, overdue: false }), (90, finished(0, 0))]);
    let killed = only(0, &[(1, sent(0, 0)), (20, Record::Killed { scheduler: 0 })]);
    let drained = plus(&[told(20, Standing::Draining)]);
    let back = plus(&[told(0, Standing::Gone), told(40, Standing::Ready)]);
    let full = only(0, &[(1, Record::Connected { worker: 0, open: 10 })]);
    let mut full = full;
    full.push((2, answered(Final::Failed)));
    // 0.2 cores warm to 0.5 within these four seconds: 40 ms each 100 ms is within three times that.
    for records in [sound(), refused, left, killed, drained, back, full, cold(40, true), cold(200, false)] {
        let verdict = verdict(&records);
        assert_eq!(verdict.broken(), 0, "{:?}", verdict.findings);
    }
}

#[rstest]
#[case::never_answered(only(0, &[(1, sent(0, 0))]), Rule::NoAnswer)]
#[case::left_with_nothing(only(0, &[(1, sent(0, 0)), (5_009, Record::Left { job: 1, overdue: true })]), Rule::NoAnswer)]
#[case::answered_twice(plus(&[(95, answered(Final::Failed))]), Rule::TwoAnswers)]
#[case::answered_late(only(0, &[(5_020, answered(Final::Failed))]), Rule::NoAnswer)]
#[case::held_back_after_the_decision(with(7, 120, answered(Final::Served)), Rule::HeldBack)]
#[case::held_back_without_hope(
    only(1, &[(1, sent(0, 0)), (20, ended(0, Ending::Reset)), (900, answered(Final::Failed))]),
    Rule::HeldBack
)]
#[case::served_by_nobody(with(4, 90, Record::Dropped { job: 1, attempt: 1, worker: 1 }), Rule::NobodysResult)]
#[case::repeated_in_another_rack(with(3, 51, sent(1, 2)), Rule::Repeated)]
#[case::repeated_after_the_window(
    only(0, &[(0, sent(0, 0)), (2_900, ended(0, Ending::Reset)), (3_100, sent(1, 1)), (3_200, finished(1, 1)),
              (3_201, ended(1, Ending::Served)), (3_201, answered(Final::Served))]),
    Rule::Repeated
)]
#[case::repeated_where_never(
    only(1, &[(1, sent(0, 0)), (20, ended(0, Ending::TimedOut)), (21, sent(1, 0)), (22, ended(1, Ending::Reset)), (23, answered(Final::Failed))]),
    Rule::Repeated
)]
#[case::refused_though_it_may_have_run(
    only(0, &[(1, sent(0, 0)), (20, ended(0, Ending::Reset)), (21, answered(Final::Refused(0)))]),
    Rule::FalseRefusal
)]
#[case::sent_after_a_drain(
    plus(&[told(0, Standing::Draining), (600, asked_again()), (601, again(1)), (602, gone_again())]),
    Rule::SentAfterDrain
)]
#[case::pushed_over(cold(400, true), Rule::PushedOver)]
#[case::too_many_attempts(
    only(2, &[(1, sent(0, 0)), (2, ended(0, Ending::Reset)), (3, sent(1, 0)), (4, ended(1, Ending::Reset)),
              (5, sent(2, 0)), (6, ended(2, Ending::Reset)), (7, sent(3, 0)), (8, ended(3, Ending::Reset)),
              (9, answered(Final::Failed))]),
    Rule::TooManyAttempts
)]
#[case::two_together(
    only(2, &[(1, sent(0, 0)), (2, sent(1, 0)), (3, ended(0, Ending::Reset)), (4, ended(1, Ending::Reset)),
              (5, answered(Final::Failed))]),
    Rule::Together
)]
#[case::too_many_connections(plus(&[(1, Record::Connected { worker: 0, open: 11 })]), Rule::TooManyConnections)]
#[case::sent_after_the_answer(
    only(2, &[(1, sent(0, 0)), (2, answered(Final::Failed)), (3, ended(0, Ending::TurnedAway))]),
    Rule::SentAfterAnswer
)]
fn each_breach_is_found_and_only_that(#[case] mut records: Vec<(Nanos, Record)>, #[case] rule: Rule) {
    if rule == Rule::SentAfterAnswer {
        // While an attempt is out the job is not forgotten.
        records.insert(3, (3, sent(1, 0)));
        records.push((4, ended(1, Ending::TurnedAway)));
        let verdict = verdict(&records);
        assert!(verdict.counts.contains_key(&rule), "{:?}", verdict.findings);
        return;
    }
    let verdict = verdict(&records);
    let mut found: Vec<Rule> = verdict.counts.keys().copied().collect();
    if found == [Rule::NoAnswer, Rule::LateAnswer] {
        found.pop();
    }
    assert_eq!(found, [rule], "{:?}", verdict.findings);
    let told = verdict.findings[0].to_string();
    assert!(verdict.findings[0].job.is_none() || told.contains("asked of scheduler"), "the history: {told}");
}

fn asked_again() -> Record {
    Record::Asked { job: 2, request: 2, class: 0, tenant: 0, scheduler: 0, deadline: 9 * SECOND, retry: 0 }
}
fn again(worker: u32) -> Record {
    Record::Sent { job: 2, attempt: 0, scheduler: 0, worker }
}
fn gone_again() -> Record {
    Record::Left { job: 2, overdue: false }
}
