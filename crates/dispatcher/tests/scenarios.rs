//! The module's rules and clauses, one scenario each, through its interface alone.

mod common;

use common::*;
use nickelflow_dispatcher::*;
use rstest::rstest;

// ---- the mechanism ---------------------------------------------------------------------------------------

#[test]
fn a_worker_takes_what_its_free_slots_cover_and_is_then_closed_and_probed() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 2.0);
    for id in 0..4 {
        b.ask(id);
    }
    assert_eq!(b.sends(0).len() + b.sends(1).len(), 2);
    assert!(b.sends(3).is_empty(), "a closed worker was sent a job");
    assert_eq!(b.probes(0), 0, "probed before its time");
    b.pass(S);
    assert!(b.probes(0) >= 1, "a closed worker was not probed");
}

#[test]
fn open_workers_are_not_probed() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 4.0);
    b.ask(0);
    b.pass(4 * S);
    assert_eq!(b.probes(0), 0);
}

#[test]
fn an_own_end_reopens_and_gives_up_the_pending_probe() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    b.ask(0);
    b.ask(1);
    assert!(b.sends(1).is_empty());
    b.pass(20 * MS);
    b.event(Event::Progress { request: RequestId(0), attempt: 0 });
    b.outcome(0, 0, Outcome::Ok);
    assert_eq!(b.sends(1), [0], "a held job did not go to the reopened worker");
    b.event(Event::Progress { request: RequestId(1), attempt: 0 });
    b.outcome(1, 0, Outcome::Ok);
    b.pass(2 * S);
    assert_eq!(b.probes(0), 0, "the pending probe was not given up");
}

#[test]
fn held_jobs_go_in_arrival_order() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    for id in 0..3 {
        b.ask(id);
    }
    b.outcome(0, 0, Outcome::Ok);
    assert_eq!(b.sends(1), [0]);
    assert!(b.sends(2).is_empty());
    b.outcome(1, 0, Outcome::Ok);
    assert_eq!(b.sends(2), [0]);
}

#[test]
fn a_held_job_is_refused_with_a_retry_after_while_its_client_still_waits() {
    let mut b = Bench::open(settings(vec![class(Idempotency::NonIdempotent)]), vec![], 0.0);
    b.ask(0);
    assert!(!b.refused(0), "refused without waiting");
    b.pass(4 * S);
    assert!(b.refused(0));
    assert!(b.actions.iter().all(|a| !matches!(a, Action::Reject { retry_after: 0, .. })));
}

#[test]
fn a_job_goes_only_to_the_kind_of_worker_its_class_needs() {
    let mut c = class(Idempotency::Idempotent);
    c.required_kind = Some(1);
    let other = WorkerEntry { kind: 1, ..entry(1) };
    let mut b = Bench::open(settings(vec![c]), vec![entry(0), other], 4.0);
    for id in 0..4 {
        b.ask(id);
        assert_eq!(b.sends(id), [1]);
    }
}

#[test]
fn wide_jobs_go_only_where_all_their_slots_are_free() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 3.0);
    b.event(Event::Request(Request { slots: 4.0, ..request(0) }));
    assert!(b.sends(0).is_empty());
    b.ask(1);
    assert_eq!(b.sends(1), [0]);
}

// ---- rule 1: one final answer, in time -------------------------------------------------------------------

#[test]
fn an_attempt_without_an_outcome_is_answered_before_the_deadline() {
    let mut b = Bench::open(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 4.0);
    b.ask(0);
    b.pass(5 * S - 2 * MS);
    assert!(b.failed(0), "no answer in time");
    b.take();
    b.outcome(0, 0, Outcome::Timeout);
    b.pass(5 * S);
    assert!(!b.failed(0) && !b.refused(0) && b.sends(0).is_empty(), "more than one answer");
}

#[test]
fn a_wake_that_comes_a_little_early_is_asked_for_again() {
    // A caller whose clock counts microseconds rounds the moment down; the answer was lost to that.
    let mut dispatcher = Dispatcher::new(settings(vec![class(Idempotency::Idempotent)]), 1).unwrap();
    let mut out = vec![];
    dispatcher.handle(S + 7, Event::Request(request(0)), &mut out);
    for _ in 0..10_000 {
        let Some(at) = out.iter().rev().find_map(|a| match a {
            Action::Wake { at } => Some(*at),
            _ => None,
        }) else {
            break;
        };
        let early = out.iter().any(|a| matches!(a, Action::Reject { .. }));
        out.clear();
        assert!(!early);
        dispatcher.handle(at / 1000 * 1000, Event::Wake, &mut out);
        if out.iter().any(|a| matches!(a, Action::Reject { .. })) {
            return;
        }
        if !out.iter().any(|a| matches!(a, Action::Wake { .. })) {
            break;
        }
        dispatcher.handle(at + 5, Event::Wake, &mut out);
        if out.iter().any(|a| matches!(a, Action::Reject { .. })) {
            return;
        }
    }
    panic!("the request was never answered");
}

#[test]
fn wakes_do_not_multiply() {
    let mut dispatcher = Dispatcher::new(settings(vec![class(Idempotency::Idempotent)]), 1).unwrap();
    let mut out = vec![];
    for id in 0..100 {
        dispatcher.handle(S + id * MS, Event::Request(request(id)), &mut out);
        dispatcher.handle(S + id * MS, Event::Wake, &mut out);
    }
    let wakes = out.iter().filter(|a| matches!(a, Action::Wake { .. })).count();
    assert!(wakes < 150, "{wakes} wakes for 100 requests");
}

#[test]
fn nothing_follows_a_client_that_has_gone() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    b.ask(0);
    b.ask(1);
    b.event(Event::ClientDisconnected { request: RequestId(1) });
    b.event(Event::ClientDisconnected { request: RequestId(0) });
    b.take();
    b.outcome(0, 0, Outcome::Error);
    b.pass(6 * S);
    assert!(b.sends(1).is_empty() && b.sends(0).is_empty());
    assert!(!b.refused(0) && !b.failed(0) && !b.refused(1));
}

// ---- rule 2: no effect twice -----------------------------------------------------------------------------

/// What follows an attempt's outcome, with a second open worker in the same zone and one in another.
fn after(effect: Idempotency, outcome: Outcome) -> (Vec<u32>, bool, bool) {
    let far = WorkerEntry { zone: 1, cell: 1, ..entry(1) };
    let mut b = Bench::open(settings(vec![class(effect)]), vec![entry(0)], 4.0);
    b.ask(0);
    b.report = Some(free(4.0));
    b.workers(ListKind::Changes, vec![far]);
    b.pass(40 * MS);
    b.report = None;
    b.outcome(0, 0, outcome);
    b.pass(4 * S);
    (b.sends(0)[1..].to_vec(), b.refused(0), b.failed(0))
}

#[test]
fn unsafe_requests_get_another_attempt_only_if_the_first_never_ran() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let (again, refused, failed) = after(Idempotency::NonIdempotent, outcome);
        assert!(again.is_empty() && !refused && failed, "{outcome:?}");
    }
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let (again, _, failed) = after(Idempotency::NonIdempotent, outcome);
        assert!(!again.is_empty() && !failed, "{outcome:?}");
    }
}

#[test]
fn keyed_requests_that_may_have_run_stay_in_their_group() {
    for group in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
            let (again, refused, _) = after(Idempotency::IdempotentWithKey(group), outcome);
            assert!(!again.contains(&1) && !refused, "{outcome:?} {group:?}");
        }
        assert!(after(Idempotency::IdempotentWithKey(group), Outcome::Rejected).0.contains(&1));
    }
    assert!(after(Idempotency::IdempotentWithKey(DeduplicationScope::All), Outcome::Error).0.contains(&1));
}

#[test]
fn safe_requests_are_tried_again() {
    assert!(after(Idempotency::Idempotent, Outcome::Error).0.contains(&1));
}

#[test]
fn a_keyed_request_is_not_sent_again_after_its_window() {
    let mut c = class(Idempotency::IdempotentWithKey(DeduplicationScope::Zone));
    c.deduplication_window = 50 * MS;
    c.late_weight_share = 0.5;
    let mut b = Bench::open(settings(vec![c]), vec![entry(0), entry(1)], 4.0);
    b.ask(0);
    b.pass(60 * MS);
    b.outcome(0, 0, Outcome::Error);
    b.pass(5 * S);
    assert_eq!(b.sends(0).len(), 1);
    assert!(b.failed(0));
}

#[test]
fn a_repeat_must_be_written_a_connect_before_the_end_of_the_window() {
    for (window, margin) in [(10 * S, 200 * MS), (400 * MS, 100 * MS)] {
        let mut c = class(Idempotency::IdempotentWithKey(DeduplicationScope::Cell));
        c.deduplication_window = window;
        let mut b = Bench::open(settings(vec![c]), vec![entry(0), entry(1)], 4.0);
        b.ask(0);
        b.pass(50 * MS);
        b.outcome(0, 0, Outcome::Reset);
        let by = |a: &Action| if let Action::Send { send_by: by, .. } = a { Some(*by) } else { None };
        let bounds: Vec<_> = b.actions.iter().filter_map(by).collect();
        assert_eq!(bounds, [Nanos::MAX, b.now - 50 * MS + window - margin]);
    }
}

#[test]
fn a_job_in_hold_that_may_have_run_is_given_up_once_its_window_is_over() {
    let mut c = class(Idempotency::IdempotentWithKey(DeduplicationScope::Cell));
    (c.deduplication_window, c.latency_objective, c.late_weight_share) = (S, 4 * S, 0.5);
    let mut b = Bench::open(settings(vec![c]), vec![entry(0)], 4.0);
    b.ask(0);
    b.outcome(0, 0, Outcome::Reset);
    b.pass(700 * MS);
    assert!(!b.failed(0), "it could still go again");
    b.pass(200 * MS);
    assert!(b.failed(0), "nothing can come of it any more");
}

#[test]
fn a_worker_that_was_in_another_group_when_it_was_sent_a_job_takes_no_repeat_of_others_or_elsewhere() {
    // Its name has been taken over, or the list of before was old: which of the two groups ran it is not known.
    let c = class(Idempotency::IdempotentWithKey(DeduplicationScope::Cell));
    let at = |worker: u32, cell: u32| WorkerEntry { cell, ..entry(worker) };
    let mut b = Bench::open(settings(vec![c]), vec![at(0, 1)], 4.0);
    b.ask(0);
    b.report = Some(free(4.0));
    b.workers(ListKind::Complete, vec![at(0, 2), at(1, 1), at(2, 2)]);
    b.pass(100 * MS);
    b.outcome(0, 0, Outcome::Reset);
    b.pass(2 * S);
    assert_eq!(b.sends(0).len(), 1);
}

#[test]
fn attempts_stay_within_the_limit_and_never_overlap_where_that_is_not_allowed() {
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.allows_hedging = false;
    s.max_attempts = 2;
    let mut b = Bench::open(s, (0..6).map(entry).collect(), 4.0);
    b.ask(0);
    b.outcome(0, 0, Outcome::Rejected);
    b.outcome(0, 1, Outcome::Rejected);
    assert_eq!(b.sends(0).len(), 2);
    assert!(b.refused(0));
}

// ---- rule 3: drains --------------------------------------------------------------------------------------

#[test]
fn nothing_goes_to_a_draining_or_gone_worker_held_jobs_included() {
    for membership in [WorkerStatus::Draining, WorkerStatus::Gone] {
        let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
        b.ask(0);
        b.ask(1);
        b.workers(ListKind::Changes, vec![WorkerEntry { status: membership, ..entry(0) }]);
        b.outcome(0, 0, Outcome::Ok);
        b.ask(2);
        b.report = Some(free(4.0));
        b.pass(6 * S);
        assert!(b.sends(1).is_empty() && b.sends(2).is_empty());
        assert_eq!(b.probes(0), 0);
    }
}

#[test]
fn a_worker_missing_from_a_full_list_is_gone() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0), entry(1)], 4.0);
    b.workers(ListKind::Complete, vec![entry(1)]);
    for id in 0..4 {
        b.ask(id);
        assert_eq!(b.sends(id), [1]);
    }
}

#[test]
fn subscribes_at_start_where_it_must_and_again_after_a_failure() {
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.requires_subscription = true;
    let mut b = Bench::new(s);
    b.workers(ListKind::Cached, vec![entry(0)]);
    assert!(b.take().contains(&Action::Subscribe));
    for _ in 0..8 {
        b.workers(ListKind::Failed, vec![]);
        assert!(!b.actions.contains(&Action::Subscribe), "asked again at once");
        b.pass(10 * S);
        assert_eq!(b.take().iter().filter(|a| **a == Action::Subscribe).count(), 1);
    }
}

#[test]
fn after_a_failed_call_it_subscribes_again_soon_however_often_it_failed() {
    // A change counts as told 6 s after the list service had it and could be reached; of that the pause is a part.
    for (dispatchers, most) in [(2, 780 * MS), (30, 1_200 * MS), (80, 1_950 * MS)] {
        let mut s = Settings { dispatchers, ..settings(vec![class(Idempotency::Idempotent)]) };
        (s.requires_subscription, s.limits.unsubscribed_list_validity) = (true, 40 * S);
        let mut b = Bench::new(s);
        b.workers(ListKind::Cached, vec![entry(0)]);
        for _ in 0..40 {
            b.take();
            b.workers(ListKind::Failed, vec![]);
            b.pass(most);
            let asked = b.actions.iter().filter(|a| **a == Action::Subscribe).count();
            assert_eq!(asked, 1, "{dispatchers} dispatchers: still waiting");
        }
    }
}

// ---- a list that may be stale ----------------------------------------------------------------------------

#[test]
fn with_a_stale_list_a_worker_is_open_by_its_own_word_only() {
    let patient = Class { latency_objective: 4 * S, ..class(Idempotency::Idempotent) };
    let mut b = Bench::open(settings(vec![patient]), vec![entry(0), entry(1)], 9.0);
    b.pass(2 * S);
    b.workers(ListKind::Stale, vec![]);
    b.ask(0);
    assert!(b.sends(0).is_empty(), "sent by a list that may be stale");
    b.pass(400 * MS);
    assert!(b.probes(0) >= 1 && b.probes(1) >= 1, "not asked whether they take work");
    // One that leaves turns work away, and says so.
    b.event(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::Error, report: None });
    assert!(b.sends(0).is_empty());
    b.event(Event::ProbeCompleted { worker: WorkerId(1), outcome: Outcome::Ok, report: Some(free(9.0)) });
    assert_eq!(b.sends(0), [1]);
    // Its word is soon too old.
    b.pass(1_100 * MS);
    b.ask(1);
    assert!(b.sends(1).is_empty(), "sent by a word that is too old");
}

#[test]
fn a_probe_that_was_never_made_is_no_word_of_the_worker() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 9.0);
    b.pass(2 * S);
    b.workers(ListKind::Stale, vec![]);
    b.pass(400 * MS);
    b.event(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::NotSent, report: None });
    b.ask(0);
    assert!(b.sends(0).is_empty());
}

#[rstest]
#[case(ListKind::Changes, vec![], 1)]
#[case(ListKind::Complete, vec![entry(0)], 1)]
#[case(ListKind::Cached, vec![entry(0)], 0)]
#[case(ListKind::Failed, vec![], 0)]
fn news_of_the_list_service_ends_it(
    #[case] kind: ListKind,
    #[case] entries: Vec<WorkerEntry>,
    #[case] sends: usize,
) {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 9.0);
    b.pass(2 * S);
    b.workers(ListKind::Stale, vec![]);
    b.ask(0);
    b.workers(kind, entries);
    assert_eq!(b.sends(0).len(), sends, "{kind:?}");
    b.ask(1);
    assert_eq!(b.sends(1).len(), sends, "{kind:?}");
}

#[test]
fn one_of_many_dispatchers_loses_next_to_nothing_to_a_stale_list() {
    // It sends only right after a report anyhow. Some workers are full, some say that they leave.
    let play = |seed, stale: bool| {
        let mut b = one_of_a_hundred(seed);
        b.workers(ListKind::Complete, (0..60).map(entry).collect());
        b.pass(2 * S);
        if stale {
            b.workers(ListKind::Stale, vec![]);
        }
        let (mut sent, mut probes) = (0, 0);
        for id in 0..200 {
            b.take();
            b.event(keyed(id, id % 40 + 1_000 * seed));
            let mut read = 0;
            while let Some(Action::Probe { worker }) = b.actions.get(read).cloned() {
                let outcome = if worker.0 % 4 == 0 { Outcome::Error } else { Outcome::Ok };
                let report = (outcome == Outcome::Ok).then(|| free(f64::from(worker.0 % 3) * 3.0));
                b.event(Event::ProbeCompleted { worker, outcome, report });
                read += 1;
            }
            probes += read;
            sent += b.sends(id).len();
            if !b.sends(id).is_empty() {
                b.event(Event::Progress { request: RequestId(id), attempt: 0 });
                b.outcome(id, 0, Outcome::Ok);
            }
            b.pass(60 * MS);
        }
        (sent, probes)
    };
    for seed in 0..20 {
        let (current, stale) = (play(seed, false), play(seed, true));
        println!("seed {seed}: (sent, probes) {current:?}, stale {stale:?}");
        assert_eq!(current, stale);
        assert!(current.0 > 100, "{current:?}");
    }
}

#[test]
fn one_of_few_dispatchers_serves_on_by_the_words_of_its_workers() {
    let play = |seed, stale: bool| {
        let mut b = Bench::seeded(settings(vec![class(Idempotency::Idempotent)]), seed);
        b.report = Some(free(9.0));
        b.workers(ListKind::Complete, (0..8).map(entry).collect());
        b.pass(S);
        b.take();
        if stale {
            b.workers(ListKind::Stale, vec![]);
        }
        for id in 0..500 {
            b.ask(id);
            b.pass(10 * MS);
            if !b.sends(id).is_empty() {
                b.event(Event::Progress { request: RequestId(id), attempt: 0 });
                b.outcome(id, 0, Outcome::Ok);
            }
        }
        let sent = (0..500).filter(|id| !b.sends(*id).is_empty()).count();
        (sent, (0..8).map(|worker| b.probes(worker)).sum::<usize>())
    };
    for seed in 0..20 {
        let (current, stale) = (play(seed, false), play(seed, true));
        println!("seed {seed}: (sent, probes) {current:?}, stale {stale:?}");
        assert_eq!(current.0, 500);
        assert!(stale.0 >= 490, "{stale:?}");
    }
}

#[test]
fn with_a_stale_list_and_no_probes_nothing_is_sent() {
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.can_probe = false;
    let mut b = Bench::new(s);
    b.workers(ListKind::Complete, vec![entry(0)]);
    b.workers(ListKind::Stale, vec![]);
    b.ask(0);
    b.pass(5 * S);
    assert!(b.sends(0).is_empty() && b.refused(0));
    b.workers(ListKind::Changes, vec![]);
    b.ask(1);
    assert_eq!(b.sends(1), [0]);
}

// ---- rule 4: cold workers --------------------------------------------------------------------------------

#[test]
fn a_cold_worker_gets_no_more_than_its_budget_in_any_window() {
    let cold = WorkerEntry { started: Some(S), ..entry(0) };
    let mut b = Bench::new(settings(vec![class(Idempotency::Idempotent)]));
    b.report = Some(free(4.0));
    b.workers(ListKind::Complete, vec![cold]);
    let mut sent = vec![];
    for id in 0..2000 {
        b.ask(id);
        b.pass(MS);
        // Also those of requests that were held.
        for action in b.take() {
            if let Action::Send { request, .. } = action {
                sent.push(b.now);
                b.outcome(request.0, 0, Outcome::Rejected);
            }
        }
    }
    // Were each of them 200 ms of work: four cores at a fifth, three times over, for a second.
    let most = sent.iter().map(|t| sent.iter().filter(|u| **u >= *t && **u < *t + S).count()).max();
    assert!(most.unwrap_or(0) as f64 * 0.2 <= 3.0 * 0.2 * 1.3 * 4.0, "{most:?} jobs in a second");
    assert!(!sent.is_empty(), "a cold worker must still get work");
}

#[test]
fn a_restarted_worker_is_closed_and_cold_again() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 4.0);
    b.workers(ListKind::Changes, vec![WorkerEntry { started: Some(b.now), ..entry(0) }]);
    b.ask(0);
    assert!(b.sends(0).is_empty());
}

// ---- health ----------------------------------------------------------------------------------------------

#[test]
fn failures_close_a_worker_until_its_next_probe() {
    for outcome in
        [Outcome::Error, Outcome::Timeout, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset]
    {
        let mut b = Bench::open(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 4.0);
        b.ask(0);
        b.outcome(0, 0, outcome);
        b.take();
        b.ask(1);
        assert!(b.sends(1).is_empty(), "{outcome:?}");
        b.report = Some(free(4.0));
        b.pass(4 * S);
        assert!(b.probes(0) >= 1, "{outcome:?}");
    }
}

#[test]
fn a_worker_that_keeps_failing_is_probed_ever_more_rarely() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), (0..4).map(entry).collect(), 4.0);
    let probes = |b: &mut Bench, rounds: usize| {
        b.take();
        for _ in 0..rounds {
            b.pass(20 * MS);
            let asked: Vec<u32> = (0..4).filter(|w| b.probes(*w) > 0).collect();
            b.actions.retain(|a| !matches!(a, Action::Probe { .. }));
            for w in asked {
                let outcome = if w == 0 { Outcome::Timeout } else { Outcome::Ok };
                b.event(Event::ProbeCompleted { worker: WorkerId(w), outcome, report: Some(free(0.0)) });
            }
        }
    };
    b.event(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::Timeout, report: None });
    probes(&mut b, 400);
    let mut early = 0;
    for _ in 0..100 {
        b.pass(20 * MS);
        early += b.probes(0);
        b.take();
    }
    assert!(early <= 1, "{early} probes in two seconds after a minute of failures");
}

#[test]
fn a_worker_that_takes_work_and_tells_nothing_is_left_alone() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 8.0);
    b.ask(0);
    b.pass(2 * S);
    b.take();
    b.ask(1);
    assert!(b.sends(1).is_empty(), "a silent worker was sent more");
}

#[test]
fn a_worker_that_reports_mostly_errors_stays_closed() {
    let mut b = Bench::new(settings(vec![class(Idempotency::Idempotent)]));
    let failing = LoadReport { errors_per_s: Some(20.0), served_per_s: Some(10.0), ..free(8.0) };
    b.report = Some(failing);
    b.workers(ListKind::Complete, vec![entry(0), entry(1), entry(2)]);
    b.pass(S);
    b.ask(0);
    assert!(b.sends(0).is_empty());
}

#[test]
fn an_attempt_that_has_not_started_when_it_can_only_be_late_is_called_back() {
    // Late jobs kept the workers' queues full, and all behind them were late too (i2e3120).
    let called_back = |late_worth: f64, started: bool| {
        let c = Class { late_weight_share: late_worth, ..class(Idempotency::NonIdempotent) };
        let mut b = Bench::open(settings(vec![c]), vec![entry(0), entry(1)], 4.0);
        b.ask(0);
        if started {
            b.event(Event::Progress { request: RequestId(0), attempt: 0 });
        }
        b.pass(90 * MS);
        assert!(b.actions.iter().all(|a| !matches!(a, Action::Cancel { .. })), "called back too soon");
        b.pass(2 * S);
        b.actions.contains(&Action::Cancel { request: RequestId(0), attempt: 0 })
    };
    assert!(called_back(0.0, false));
    assert!(!called_back(0.0, true) && !called_back(0.3, false));
}

// ---- shares ----------------------------------------------------------------------------------------------

#[test]
fn work_over_a_share_leaves_slots_for_work_within() {
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.tenants = vec![Tenant { quota_per_s: 2.0 }, Tenant { quota_per_s: 50.0 }];
    let mut b = Bench::open(s, vec![entry(0)], 8.0);
    for id in 0..30 {
        b.event(Event::Request(Request { tenant: Some(0), ..request(id) }));
    }
    b.event(Event::Request(Request { tenant: Some(1), ..request(100) }));
    assert_eq!(b.sends(100), [0], "a tenant over its share took all slots");
}

#[test]
fn with_many_dispatchers_each_takes_only_its_part_of_the_free_slots() {
    // 38 dispatchers saw the same eight free slots and filled them all (ia39c7e).
    let mut sent = 0;
    for seed in 0..20 {
        let mut s = settings(vec![class(Idempotency::Idempotent)]);
        s.dispatchers = 40;
        let mut b = Bench::seeded(s, seed);
        b.report = Some(free(8.0));
        b.workers(ListKind::Complete, vec![entry(0)]);
        b.pass(500 * MS);
        b.report = None;
        for id in 0..8 {
            b.ask(id);
            sent += b.sends(id).len();
        }
    }
    assert!(sent <= 30, "20 of 40 dispatchers sent {sent} jobs to eight free slots");
}

#[test]
fn a_reported_queue_counts_against_the_free_slots() {
    // A worker with a queue was reopened by a single own end, and never emptied.
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    b.ask(0);
    let report = Some(LoadReport { queued: Some(5.0), ..free(0.0) });
    b.pass(2 * S);
    b.event(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::Ok, report });
    b.ask(1);
    b.outcome(0, 0, Outcome::Ok);
    assert!(b.sends(1).is_empty());
}

#[test]
fn late_work_leaves_slots_for_work_in_time() {
    // Late work took every slot as it came free, and work in time found none (ia39c7e).
    let mut c = class(Idempotency::Idempotent);
    c.late_weight_share = 0.3;
    let mut b = Bench::open(settings(vec![c]), vec![entry(0)], 2.0);
    for id in 0..3 {
        b.ask(id);
    }
    b.pass(S);
    b.outcome(0, 0, Outcome::Ok);
    assert!(b.sends(2).is_empty(), "late work took the only free slot");
    b.ask(3);
    assert_eq!(b.sends(3), [0]);
}

#[test]
fn a_dispatcher_that_sees_little_probes_little() {
    // A thousand dispatchers probed hundreds of workers five times a second, each for one job a second.
    let mut b = Bench::new(settings(vec![class(Idempotency::Idempotent)]));
    b.report = Some(free(0.0));
    b.workers(ListKind::Complete, (0..100).map(entry).collect());
    for id in 0..5 {
        b.ask(id);
        b.pass(S);
    }
    b.take();
    for id in 5..25 {
        b.ask(id);
        b.pass(S);
    }
    let probes: usize = (0..100).map(|w| b.probes(w)).sum();
    assert!(probes <= 20 * 9, "{probes} probes for 20 requests");
}

// ---- keys ------------------------------------------------------------------------------------------------

#[test]
fn jobs_of_one_key_go_to_one_worker_at_every_dispatcher() {
    let workers: Vec<WorkerEntry> = (0..8).map(entry).collect();
    let mut chosen = vec![];
    for seed in 0..4 {
        let mut b = Bench::seeded(settings(vec![class(Idempotency::Idempotent)]), seed);
        b.report = Some(free(8.0));
        b.workers(ListKind::Complete, workers.clone());
        b.pass(S);
        for id in 0..3 {
            b.event(Event::Request(Request { key: Some(77), ..request(id) }));
            chosen.push(b.sends(id)[0]);
        }
    }
    assert!(chosen.iter().all(|w| *w == chosen[0]), "{chosen:?}");
}

#[test]
fn a_job_with_a_key_waits_for_its_homes() {
    // Jobs that went elsewhere fetched their key there, late, and pushed another out.
    let workers: Vec<WorkerEntry> = (0..8).map(entry).collect();
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), workers, 1.0);
    let mut used = std::collections::BTreeSet::new();
    for id in 0..30 {
        b.event(Event::Request(Request { key: Some(77), ..request(id) }));
        used.extend(b.sends(id));
    }
    assert!(used.len() <= 4, "one key went to {} workers", used.len());
    b.ask(100);
    assert_eq!(b.sends(100).len(), 1, "other workers must stay open");
}

// ---- bad input -------------------------------------------------------------------------------------------

#[test]
fn settings_that_cannot_work_are_typed_errors() {
    let none = Dispatcher::new(settings(vec![]), 0).err();
    assert_eq!(none, Some(SettingsError::NoClasses));
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.dispatchers = 0;
    assert_eq!(Dispatcher::new(s, 0).err(), Some(SettingsError::NoDispatchers));
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.max_attempts = 0;
    assert_eq!(Dispatcher::new(s, 0).err(), Some(SettingsError::NoAttempts));
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.classes[0].latency_stretch = f64::NAN;
    assert!(matches!(Dispatcher::new(s, 0).err(), Some(SettingsError::BadFigure(_))));
}

#[test]
fn impossible_figures_and_unknown_numbers_are_survived() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 4.0);
    for bad in [f64::NAN, f64::INFINITY, -3.0] {
        let report =
            Some(LoadReport { free_slots: Some(bad), free_memory: Some(bad), ..LoadReport::default() });
        b.event(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::Ok, report });
        b.event(Event::ProbeCompleted { worker: WorkerId(99), outcome: Outcome::Ok, report });
    }
    b.event(Event::Request(Request {
        class: 9,
        tenant: Some(9),
        slots: f64::NAN,
        memory: -1.0,
        ..request(0)
    }));
    b.outcome(7, 0, Outcome::Ok);
    b.outcome(0, 5, Outcome::Ok);
    b.event(Event::Progress { request: RequestId(9), attempt: 3 });
    b.event(Event::ClientDisconnected { request: RequestId(55) });
    b.pass(6 * S);
    assert!(b.failed(0) || b.refused(0) || !b.sends(0).is_empty());
}

// ---- the module's form -----------------------------------------------------------------------------------

#[test]
fn the_same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut b =
            Bench::open(settings(vec![class(Idempotency::Idempotent)]), (0..5).map(entry).collect(), 2.0);
        for id in 0..40 {
            b.ask(id);
            b.pass(3 * MS);
            b.outcome(id / 2, 0, if id % 3 == 0 { Outcome::Rejected } else { Outcome::Ok });
        }
        b.take()
    };
    assert_eq!(run(), run());
}

/// A client that sends what no worker can use must not close the workers to all others, nor be passed round.
#[test]
fn a_request_that_a_worker_cannot_use_fails_at_once_and_is_not_held_against_the_worker() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0), entry(1)], 4.0);
    for id in 0..20 {
        b.ask(id);
        b.outcome(id, 0, Outcome::InvalidJob);
        assert!(b.failed(id) && !b.refused(id));
        assert_eq!(b.sends(id).len(), 1, "passed on to another worker");
    }
    b.pass(S);
    assert_eq!(b.probes(0) + b.probes(1), 0, "closed for the fault of a request");
}

/// Clients in a hurry give a first try little time; taken for repeats that have used theirs up, they were refused at
/// once though workers stood idle.
#[test]
fn a_first_try_of_a_client_in_a_hurry_is_not_taken_for_a_late_repeat() {
    let mut b = Bench::open(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 1.0);
    b.ask(0);
    let given = |time_left| Event::Request(Request { id: RequestId(time_left), time_left, ..request(0) });
    b.event(given(600 * MS));
    b.event(given(2_500 * MS));
    assert!(!b.refused(600 * MS), "not held");
    assert!(b.refused(2_500 * MS), "a repeat that can only be late was held");
    b.outcome(0, 0, Outcome::Ok);
    assert_eq!(b.sends(600 * MS), [0]);
}

#[test]
fn a_dispatcher_that_ends_answers_all_by_then_and_treats_what_comes_as_ever() {
    let mut b = Bench::open(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 1.0);
    b.ask(0);
    let by = b.now + 800 * MS;
    b.event(Event::Shutdown { deadline: by });
    // Its own time left counts, and not the dispatcher's: it is no late repeat.
    b.ask(1);
    assert!(!b.refused(1) && !b.failed(1));
    b.outcome(0, 0, Outcome::Ok);
    assert_eq!(b.sends(1), [0]);
    b.ask(2);
    b.pass(800 * MS);
    assert!(b.failed(1), "it may have run");
    assert!(b.refused(2), "it has not run");
    b.ask(3);
    assert!(b.refused(3) && b.sends(3).is_empty());
}

/// A worker that breaks off all it has breaks off one thing: counted one by one, four attempts kept it out for seconds.
#[test]
fn attempts_that_fail_together_count_as_one_failure() {
    let mut b = Bench::open(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 4.0);
    (0..4).for_each(|id| b.ask(id));
    (0..4).for_each(|id| b.outcome(id, 0, Outcome::Error));
    b.take();
    b.pass(700 * MS);
    assert_eq!(b.probes(0), 1);
}

#[test]
fn what_is_out_for_a_client_that_has_left_is_called_back() {
    let mut b = Bench::open(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 1.0);
    b.ask(0);
    b.event(Event::ClientDisconnected { request: RequestId(0) });
    assert!(b.actions.contains(&Action::Cancel { request: RequestId(0), attempt: 0 }));
    b.outcome(0, 0, Outcome::Cancelled);
    b.ask(1);
    assert_eq!(b.sends(1), [0], "its slot did not come back");
}

/// With slots free and no memory a worker takes nothing, and so nothing of its own ends; left open, it was not probed
/// again, and stayed out for good.
#[test]
fn a_worker_short_of_memory_is_probed_and_own_ends_give_memory_back() {
    let report = |memory| Some(LoadReport { free_memory: Some(memory), ..free(4.0) });
    let mut b =
        Bench::new(settings(vec![Class { latency_objective: 3 * S, ..class(Idempotency::Idempotent) }]));
    b.report = report(1.0);
    b.workers(ListKind::Complete, vec![entry(0)]);
    b.pass(100 * MS);
    b.report = None;
    let hungry = |id| Event::Request(Request { memory: 0.8, ..request(id) });
    b.event(hungry(0));
    b.event(hungry(1));
    assert_eq!(b.sends(0), [0]);
    assert!(b.sends(1).is_empty(), "sent what its memory does not hold");
    b.outcome(0, 0, Outcome::Ok);
    assert_eq!(b.sends(1), [0], "the memory did not come back");
    b.event(Event::Progress { request: RequestId(1), attempt: 0 });
    b.report = report(0.1);
    b.event(hungry(2));
    b.pass(500 * MS);
    assert!(b.probes(0) > 0 && b.sends(2).is_empty());
    b.report = report(2.0);
    b.pass(500 * MS);
    assert_eq!(b.sends(2), [0]);
}

/// Where a network breaks one connection in ten, each broken one must not keep its worker out for longer.
#[test]
fn a_broken_connection_closes_a_worker_only_until_its_next_probe() {
    let mut b = Bench::open(settings(vec![class(Idempotency::NonIdempotent)]), vec![entry(0)], 4.0);
    b.report = Some(free(4.0));
    for id in 0..6 {
        b.ask(id);
        assert_eq!(b.sends(id), [0]);
        b.outcome(id, 0, if id % 2 == 0 { Outcome::Reset } else { Outcome::ConnectFailed });
        b.pass(700 * MS);
    }
}

// ---- many dispatchers, each with little traffic ---------------------------------------------------------

/// One of a hundred dispatchers, which have 400 jobs a second between them.
fn one_of_a_hundred(seed: u64) -> Bench {
    let tenants = vec![Tenant { quota_per_s: 560.0 }];
    let settings = Settings { dispatchers: 100, tenants, ..settings(vec![class(Idempotency::Idempotent)]) };
    Bench::seeded(settings, seed)
}

fn keyed(id: u64, key: u64) -> Event {
    Event::Request(Request { key: Some(key), ..request(id) })
}

#[test]
fn a_hundred_that_start_together_probe_only_what_their_jobs_want() {
    probes_only_what_its_jobs_want(one_of_a_hundred(1));
}

#[test]
fn where_no_quotas_tell_the_traffic_a_hundred_probe_only_what_their_jobs_want() {
    let settings = Settings { dispatchers: 100, ..settings(vec![class(Idempotency::Idempotent)]) };
    probes_only_what_its_jobs_want(Bench::seeded(settings, 1));
}

#[test]
fn where_no_quotas_tell_the_traffic_a_few_hear_all_workers_at_their_start() {
    let settings = Settings { dispatchers: 4, ..settings(vec![class(Idempotency::Idempotent)]) };
    let mut b = Bench::seeded(settings, 1);
    b.report = Some(free(4.0));
    b.workers(ListKind::Complete, (0..12).map(entry).collect());
    b.pass(S);
    assert!((0..12).all(|worker| b.probes(worker) == 1), "{:?}", b.actions);
}

fn probes_only_what_its_jobs_want(mut b: Bench) {
    b.workers(ListKind::Complete, (0..60).map(entry).collect());
    b.pass(2 * S);
    assert!(b.actions.is_empty(), "a start alone costs the workers probes: {:?}", b.actions);
    b.event(keyed(0, 7));
    assert_eq!(b.actions.len(), 1, "one candidate after the other is asked");
    let Action::Probe { worker } = b.actions[0] else { panic!("{:?}", b.actions) };
    b.event(Event::ProbeCompleted { worker, outcome: Outcome::Ok, report: Some(free(5.0)) });
    assert_eq!(b.sends(0), [worker.0]);
}

#[test]
fn a_candidate_that_does_not_answer_or_has_no_room_leads_to_the_next() {
    let mut b = one_of_a_hundred(1);
    b.workers(ListKind::Complete, (0..60).map(entry).collect());
    b.event(keyed(0, 7));
    b.pass(40 * MS);
    assert_eq!(b.actions.len(), 2, "a silent candidate keeps the job from the next");
    let Action::Probe { worker } = b.actions[1] else { panic!("{:?}", b.actions) };
    let full = LoadReport { queued: Some(60.0), ..free(0.0) };
    b.event(Event::ProbeCompleted { worker, outcome: Outcome::Ok, report: Some(full) });
    assert_eq!(b.actions.len(), 3, "a full candidate keeps the job from the next");
    assert!(b.sends(0).is_empty());
}

#[test]
fn a_worker_known_open_does_not_take_the_keys_of_one_not_heard_of() {
    // All 60 were heard of in turn, so that at any time some of a key's later candidates are known open.
    let (mut elsewhere, mut first) = (0, std::collections::BTreeMap::new());
    let mut b = one_of_a_hundred(1);
    b.report = Some(free(5.0));
    b.workers(ListKind::Complete, (0..60).map(entry).collect());
    for id in 0..400 {
        let key = id % 200;
        b.event(keyed(id, key));
        let sent = b.sends(id)[0];
        elsewhere += usize::from(*first.entry(key).or_insert(sent) != sent);
        b.event(Event::Progress { request: RequestId(id), attempt: 0 });
        b.pass(60 * MS);
        b.outcome(id, 0, Outcome::Ok);
        b.take();
    }
    assert!(elsewhere < 60, "{elsewhere} of 400 jobs had their key fetched at one more worker");
}

#[test]
fn of_one_report_all_dispatchers_together_take_what_it_leaves() {
    // Each of them has a job that no other worker may take, and all see the same report.
    let taken = |free_slots: f64, queued: f64| {
        let all = (0..100).map(|seed| {
            let mut b = one_of_a_hundred(seed);
            b.report = Some(LoadReport { queued: Some(queued), ..free(free_slots) });
            let gone = |n| WorkerEntry { status: WorkerStatus::Draining, ..entry(n) };
            b.workers(ListKind::Complete, (0..60).map(|n| if n < 20 { entry(n) } else { gone(n) }).collect());
            b.event(keyed(0, 7));
            b.sends(0).len()
        });
        all.sum::<usize>()
    };
    assert!(taken(5.0, 0.0) > 90, "free slots are left unused");
    assert_eq!(taken(0.0, 40.0), 0, "a long queue is made longer");
}

#[test]
fn a_busy_worker_sheds_the_same_keys_at_every_dispatcher() {
    // At each dispatcher the same key meets the same half-busy fleet, on which it must go the same way: shed
    // by chance, it would be fetched at two workers and push other keys out of both.
    let place = |seed, key: u64, busy: LoadReport| {
        let mut b = one_of_a_hundred(seed);
        b.report = Some(free(5.0));
        b.workers(ListKind::Complete, (0..60).map(entry).collect());
        (100..140).for_each(|id| b.event(keyed(id, id)));
        b.pass(S);
        b.report = Some(busy);
        b.event(keyed(0, key));
        b.sends(0)
    };
    let busy = LoadReport { queued: Some(9.0), ..free(0.0) };
    let mut stayed = 0;
    for key in 0..50 {
        let sent: std::collections::BTreeSet<_> = (0..20).map(|seed| place(seed, key, busy)).collect();
        assert_eq!(sent.len(), 1, "key {key} goes several ways: {sent:?}");
        stayed += usize::from(sent.contains(&place(0, key, free(5.0))));
    }
    assert!((5..45).contains(&stayed), "{stayed} of 50 keys stay with half-busy workers");
}

#[test]
fn where_reports_show_no_room_a_key_stays_where_it_is_for_longer() {
    let long = LoadReport { queued: Some(20.0), ..free(0.0) };
    // What it saw of the fleet for some seconds, before all have a long queue.
    let sent = |before: LoadReport| {
        let stays = |seed: &u64| {
            let mut b = one_of_a_hundred(*seed);
            b.report = Some(free(5.0));
            b.workers(ListKind::Complete, (0..60).map(entry).collect());
            for id in 100..400 {
                b.report = if id < 200 { b.report } else { Some(before) };
                b.event(keyed(id, id));
                if !b.sends(id).is_empty() {
                    b.event(Event::Progress { request: RequestId(id), attempt: 0 });
                    b.outcome(id, 0, Outcome::Ok);
                }
                b.pass(60 * MS);
            }
            b.pass(S);
            b.report = Some(long);
            b.event(keyed(0, *seed));
            !b.sends(0).is_empty()
        };
        (0..20).filter(stays).count()
    };
    assert_eq!(sent(free(5.0)), 0, "where there is room, a long queue is left alone");
    assert!(sent(long) > 5, "{} of 20: all are busy, and keys are passed on all the same", sent(long));
}

#[rstest]
fn a_hundred_together_use_a_cold_worker_and_do_not_push_it_over(#[values(0, 100, 200, 300)] from: u64) {
    a_hundred_use_a_cold_worker(from, true);
}

#[test]
fn a_hundred_use_a_cold_worker_also_where_no_worker_was_seen_busy() {
    [0, 100, 200, 300].into_iter().for_each(|from| a_hundred_use_a_cold_worker(from, false));
}

fn a_hundred_use_a_cold_worker(from: u64, seen_busy: bool) {
    // It has 5 slots, and at 20% does a job of 0.2 s in each every second; with over 3 times that for a second
    // it falls. All others are full, and each dispatcher has jobs for it all the time.
    let mut sends = vec![];
    for seed in from..from + 100 {
        let mut b = one_of_a_hundred(seed);
        b.report = Some(free(5.0));
        b.workers(ListKind::Complete, (1..60).map(entry).collect());
        for id in 0..40 {
            // Seen idle at first, and then busy: what a slot does is known by that.
            b.report = Some(free(if seen_busy && id >= 10 { 1.0 } else { 5.0 }));
            b.event(keyed(id, id));
            b.event(Event::Progress { request: RequestId(id), attempt: 0 });
            b.pass(60 * MS);
            // Each has run for 0.2 s: what never ended would be taken for endless.
            if id >= 3 {
                b.pass(20 * MS);
                b.outcome(id - 3, 0, Outcome::Ok);
            }
        }
        b.report = None;
        let at = b.now;
        b.workers(ListKind::Changes, vec![WorkerEntry { started: Some(at), ..entry(0) }]);
        for id in 100..200 {
            b.event(keyed(id, seed * 1_000 + id));
            while let Some(n) = b.actions.iter().position(|a| matches!(a, Action::Probe { .. })) {
                let Action::Probe { worker } = b.actions.remove(n) else { unreachable!() };
                let full = LoadReport { queued: Some(60.0), ..free(0.0) };
                let report = Some(if worker == WorkerId(0) { free(5.0) } else { full });
                b.event(Event::ProbeCompleted { worker, outcome: Outcome::Ok, report });
            }
            let cold = |a: &&Action| matches!(a, Action::Send { worker: WorkerId(0), .. });
            let count = b.take().iter().filter(cold).count();
            sends.extend(std::iter::repeat_n((b.now - at) as f64 / 1e9, count));
            b.pass(60 * MS);
        }
    }
    for n in 0..50 {
        let from = f64::from(n) / 10.0;
        let sent = sends.iter().filter(|s| (from..from + 1.0).contains(*s)).count();
        let most = 3.0 * 5.0 / 0.2 * (0.2 + 0.8 * from / 10.0);
        assert!((sent as f64) < most, "{sent} jobs in the second from {from} s, {most} push it over");
    }
    assert!(sends.len() > 20, "{} jobs in six seconds: it is left idle", sends.len());
}

#[test]
fn those_refused_at_one_moment_are_told_to_come_back_soon_and_spread_out() {
    let mut told = std::collections::BTreeSet::new();
    for seed in 0..100 {
        let mut b = one_of_a_hundred(seed);
        b.report = Some(LoadReport { queued: Some(60.0), ..free(0.0) });
        b.workers(ListKind::Complete, (0..60).map(entry).collect());
        b.event(keyed(0, 7));
        b.pass(S);
        let advice = b.actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        told.insert(advice.expect("nothing is open, and it waited long enough"));
    }
    assert!(told.len() > 90, "only {} moments for 100 clients", told.len());
    assert!(told.iter().all(|t| (1..=200 * MS).contains(t)), "{told:?}: what comes then is late");
}

#[test]
fn an_old_report_is_not_relied_on_where_others_send_most_of_the_jobs() {
    let mut b = one_of_a_hundred(1);
    b.report = Some(free(5.0));
    b.workers(ListKind::Complete, (0..60).map(entry).collect());
    b.event(keyed(0, 7));
    assert_eq!(b.sends(0).len(), 1);
    b.event(Event::Progress { request: RequestId(0), attempt: 0 });
    b.outcome(0, 0, Outcome::Ok);
    b.pass(S);
    b.take();
    b.event(keyed(1, 7));
    assert!(matches!(b.actions[0], Action::Probe { .. }), "sent by what was so a second ago");
    assert_eq!(b.sends(1).len(), 1);
}

/// A job that runs for 3 s and tells after 2 s how far it is has not run for one second.
#[test]
fn a_note_of_progress_is_not_taken_for_a_start() {
    let mut class = class(Idempotency::Idempotent);
    class.deadline = 30 * S;
    let tenants = vec![Tenant { quota_per_s: 560.0 }];
    let settings = Settings {
        dispatchers: 100,
        tenants,
        notifies_job_start: false,
        progress_interval: 2 * S,
        ..settings(vec![class])
    };
    let mut b = Bench::seeded(settings, 1);
    b.report = Some(free(5.0));
    b.workers(ListKind::Complete, (0..60).map(entry).collect());
    let job = |id| Event::Request(Request { time_left: 30 * S, ..request(id) });
    for id in 0..100 {
        b.event(job(id));
        b.pass(2 * S);
        b.event(Event::Progress { request: RequestId(id), attempt: 0 });
        b.pass(S);
        b.outcome(id, 0, Outcome::Ok);
    }
    // A job waits for its aim and 0.3 of a run: 1 s, and 0.4 s if a run were 1 s.
    b.report = Some(LoadReport { queued: Some(60.0), ..free(0.0) });
    b.pass(S);
    b.event(job(1_000));
    b.pass(700 * MS);
    assert!(!b.refused(1_000), "refused as if runs were short");
    b.pass(600 * MS);
    assert!(b.refused(1_000), "held for longer than it could be of use");
}
