//! Repeats of keyed jobs against the window in which workers drop them, in virtual time. The host stands for everything
//! between a decision and the last byte at a worker: a queue, a permit, a connection that comes up late, a process that
//! stands still, a write in pieces, the way. It keeps to what an order says and to nothing else.

use std::cell::Cell;

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits, Settings};
use nickelflow_engine::{
    Endpoint, Engine, Input, Job, ListKind, LoadReport, Nanos, Outcome, Output, StartAttempt, WorkerStatus,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn settings(window: Nanos, connect: Nanos, group: DeduplicationScope) -> Settings {
    let class = Class {
        idempotency: Idempotency::IdempotentWithKey(group),
        deduplication_window: window,
        latency_objective: 20 * S,
        latency_stretch: 2.0,
        deadline: 60 * S,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        required_kind: None,
    };
    Settings {
        dispatchers: 1,
        zone: 0,
        classes: vec![class],
        tenants: vec![],
        limits: ServiceLimits {
            slow_start_initial_share: 1.0,
            slow_start_duration: 0,
            overload_multiple: 3.0,
            overload_duration: S,
            unsubscribed_list_validity: 10 * S,
        },
        requires_subscription: false,
        can_probe: true,
        reports_registered_size: true,
        reports_free_slots: true,
        notifies_job_start: false,
        progress_interval: 0,
        can_cancel: true,
        allows_hedging: true,
        max_attempts: 8,
        max_retry_after: S,
        connect_timeout: connect,
        clock_resolution: MS,
    }
}

/// The groups change under one name with `shift`, as where another worker takes a name over.
fn instances(count: u32, shift: u32) -> Vec<Endpoint<()>> {
    let instance = |n: u32| Endpoint {
        name: format!("i{n}"),
        address: (),
        zone: (n + shift) / 2 % 2,
        kind: 0,
        cell: (n + shift) / 2,
        status: WorkerStatus::Ready,
        weight: 1.0,
        started: None,
    };
    (0..count).map(instance).collect()
}

/// What lies between a decision and the worker, drawn: in parts (of 1,000) of the longest time of each.
#[derive(Clone, Debug)]
struct Way {
    permit: u64,
    connect: u64,
    stall: u64,
    travel: u64,
    /// How long the worker has it, and how it ends then.
    runs: u64,
    outcome: usize,
}

fn way() -> impl Strategy<Value = Way> {
    (0..1_000u64, 0..1_000u64, 0..1_000u64, 0..1_000u64, 0..1_000u64, 0..5usize).prop_map(
        |(permit, connect, stall, travel, runs, outcome)| Way {
            permit,
            connect,
            stall,
            travel,
            runs,
            outcome,
        },
    )
}

const OUTCOMES: [Outcome; 5] =
    [Outcome::Reset, Outcome::Error, Outcome::ConnectFailed, Outcome::Reset, Outcome::Timeout];

struct Reached {
    at: Nanos,
    group: (u32, u32),
    number: u32,
}

/// Plays one job; what of it reached workers whole, in that order.
fn play(
    window: Nanos,
    connect: Nanos,
    group: DeduplicationScope,
    ways: &[Way],
    shift_at: Option<Nanos>,
) -> Vec<Reached> {
    let mut engine: Engine<u32, (), ()> = Engine::new(settings(window, connect, group), 7).expect("settings");
    let (mut now, mut orders, mut reached) = (S, vec![], vec![]);
    let mut later: Vec<(Nanos, Input<u32, (), ()>)> = vec![];
    later.push((now, Input::WorkerList { kind: ListKind::Complete, workers: instances(6, 0) }));
    let job =
        Job { class: 0, tenant: None, slots: 1.0, memory: 0.0, key: None, is_retry: false, deadline: 60 * S };
    later.push((2 * S, Input::Job { id: 1, job }));
    if let Some(at) = shift_at {
        later.push((2 * S + at, Input::WorkerList { kind: ListKind::Complete, workers: instances(6, 1) }));
    }
    let mut ways = ways.iter();
    loop {
        let wake = engine.next_wake().map(|at| (at, usize::MAX));
        let soonest = later.iter().enumerate().map(|(n, (at, _))| (*at, n)).chain(wake).min();
        let Some((at, which)) = soonest.filter(|(at, _)| *at < 70 * S) else { return reached };
        now = now.max(at);
        let input = if which == usize::MAX { Input::Wake } else { later.remove(which).1 };
        engine.handle(now, input, &mut orders).expect("no misuse");
        for order in orders.drain(..) {
            match order {
                Output::Probe { worker: instance } => {
                    let report = Some(LoadReport { free_slots: Some(4.0), ..LoadReport::default() });
                    later.push((
                        now + MS,
                        Input::ProbeCompleted { worker: instance, outcome: Outcome::Ok, report },
                    ));
                }
                Output::StartAttempt(StartAttempt {
                    id,
                    attempt,
                    worker: instance,
                    deadline: until,
                    send_by,
                }) => {
                    let Some(way) = ways.next() else { return reached };
                    let of = |part: u64, longest: Nanos| longest / 1_000 * part;
                    // The first byte goes out after these, if it is not too late by then.
                    let begins =
                        now + of(way.permit, connect) + of(way.connect, connect) + of(way.stall, 300 * MS);
                    // A margin is for the way that is left: the last byte takes as long as a connection at most.
                    let arrives = begins + of(way.travel, connect.min(window / 4));
                    let shifted = shift_at.is_some_and(|at| 2 * S + at <= now);
                    let there = &instances(6, u32::from(shifted))[instance as usize];
                    let ends = arrives + of(way.runs, window / 2);
                    let outcome = OUTCOMES[way.outcome];
                    let (at, outcome) = if begins >= send_by.min(until) {
                        (send_by.min(until).max(now), Outcome::NotSent)
                    } else if outcome == Outcome::ConnectFailed {
                        (begins, outcome)
                    } else {
                        reached.push(Reached {
                            at: arrives,
                            group: (there.zone, there.cell),
                            number: attempt,
                        });
                        (ends.min(until).max(now), outcome)
                    };
                    later.push((at, Input::AttemptEnded { id, attempt, result: outcome.into() }));
                }
                Output::FinalAnswer { .. }
                | Output::Cancel { .. }
                | Output::CancelUnstarted { .. }
                | Output::Subscribe => {}
            }
        }
    }
}

#[test]
fn no_repeat_reaches_a_worker_outside_the_window_or_the_group_of_the_first() {
    let mut runner = TestRunner::new_with_rng(
        Config { cases: 4_000, failure_persistence: None, ..Config::default() },
        TestRng::deterministic_rng(RngAlgorithm::ChaCha),
    );
    let windows = prop_oneof![100..1_000u64, 1_000..8_000u64, 8_000..40_000u64];
    let groups = prop_oneof![
        Just(DeduplicationScope::All),
        Just(DeduplicationScope::Zone),
        Just(DeduplicationScope::Cell)
    ];
    let shift = prop::option::weighted(0.3, 0..4_000u64);
    let case = (windows, 20..1_500u64, groups, prop::collection::vec(way(), 8), shift);
    let (repeats, last) = (Cell::new(0u32), Cell::new(0.0f64));
    runner
        .run(&case, |(window, connect, group, ways, shift)| {
            let (window, connect) = (window * MS, connect * MS);
            let reached = play(window, connect, group, &ways, shift.map(|ms| ms * MS));
            if let Some((first, rest)) = reached.split_first() {
                for repeat in rest {
                    let part = (repeat.at - first.at) as f64 / window as f64;
                    prop_assert!(part < 1.0, "attempt {} after {part} of the window", repeat.number);
                    let same = match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => repeat.group.0 == first.group.0,
                        DeduplicationScope::Cell => repeat.group.1 == first.group.1,
                    };
                    prop_assert!(same, "attempt {} left the group", repeat.number);
                    repeats.set(repeats.get() + 1);
                    last.set(last.get().max(part));
                }
            }
            Ok(())
        })
        .unwrap_or_else(|e| panic!("{e}"));
    let (repeats, last) = (repeats.get(), last.get());
    println!("{repeats} repeats, the latest after {last:.3} of its window");
    assert!(repeats > 1_000, "only {repeats} repeats: the case is not played");
    assert!(last > 0.5, "no repeat comes late in its window: {last}");
}
