//! Retries of idempotent jobs with a key, checked against the deduplication window of the workers in virtual time. The host
//! stands for everything between a decision and the arrival of the last byte at a worker: a queue, a permit, a late
//! connect, a stalled process, a partial write, the network. It obeys the outputs and nothing else.

use std::cell::Cell;

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits, Settings};
use nickelflow_engine::{
    Endpoint, Engine, Input, Job, ListKind, LoadReport, Nanos, Outcome, Output, StartAttempt, WorkerStatus,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn settings(window: Nanos, connect_timeout: Nanos, scope: DeduplicationScope) -> Settings {
    let class = Class {
        idempotency: Idempotency::IdempotentWithKey(scope),
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
        connect_timeout,
        clock_resolution: MS,
    }
}

/// Returns an endpoint list. With a `shift` the zone and cell under each name change, as where another worker takes a
/// name over.
fn endpoints(shift: u32) -> Vec<Endpoint<()>> {
    let endpoint = |n: u32| Endpoint {
        name: format!("i{n}"),
        address: (),
        zone: (n + shift) / 2 % 2,
        kind: 0,
        cell: (n + shift) / 2,
        status: WorkerStatus::Ready,
        registered_size: 1.0,
        started_at: None,
    };
    (0..6).map(endpoint).collect()
}

/// The delays between a decision and the end at the worker, each in thousandths of its longest time.
#[derive(Clone, Debug)]
struct Delays {
    permit: u64,
    connect: u64,
    stall: u64,
    travel: u64,
    run: u64,
    /// The index of the outcome among the [`OUTCOMES`].
    outcome: usize,
}

fn delays() -> impl Strategy<Value = Delays> {
    (0..1_000u64, 0..1_000u64, 0..1_000u64, 0..1_000u64, 0..1_000u64, 0..5usize).prop_map(
        |(permit, connect, stall, travel, run, outcome)| Delays {
            permit,
            connect,
            stall,
            travel,
            run,
            outcome,
        },
    )
}

const OUTCOMES: [Outcome; 5] =
    [Outcome::Reset, Outcome::Error, Outcome::ConnectFailed, Outcome::Reset, Outcome::Timeout];

/// An attempt whose last byte has arrived at a worker.
struct Arrival {
    at: Nanos,
    zone: u32,
    cell: u32,
    attempt: u32,
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
struct Parameters {
    window: Nanos,
    connect_timeout: Nanos,
    scope: DeduplicationScope,
    /// When the zones and cells shift, after the job came.
    shift_after: Option<Nanos>,
}

const JOB_AT: Nanos = 2 * S;
const END_AT: Nanos = 70 * S;

type TestInput = Input<u32, (), ()>;

/// A host in virtual time with one job.
struct Host {
    parameters: Parameters,
    engine: Engine<u32, (), ()>,
    now: Nanos,
    /// The inputs to come, with their times.
    pending: Vec<(Nanos, TestInput)>,
    arrivals: Vec<Arrival>,
}

impl Host {
    fn new(parameters: Parameters) -> Host {
        let Parameters { window, connect_timeout, scope, shift_after } = parameters;
        let engine = Engine::new(settings(window, connect_timeout, scope), 7).expect("settings");
        let list = |shift| Input::WorkerList { kind: ListKind::Complete, workers: endpoints(shift) };
        let job = Job {
            class: 0,
            tenant: None,
            slots: 1.0,
            memory: 0.0,
            key: None,
            is_retry: false,
            deadline: 60 * S,
        };
        let mut pending = vec![(S, list(0)), (JOB_AT, Input::Job { job_id: 1, job })];
        pending.extend(shift_after.map(|after| (JOB_AT + after, list(1))));
        Host { parameters, engine, now: S, pending, arrivals: vec![] }
    }

    /// Runs until the end, or until there is an attempt more than there are delays.
    fn run(mut self, delays: &[Delays]) -> Vec<Arrival> {
        let mut delays = delays.iter();
        while let Some(input) = self.next_input() {
            let mut outputs = vec![];
            self.engine.handle(self.now, input, &mut outputs).expect("a possible input");
            for output in outputs {
                match output {
                    Output::Probe { worker } => self.complete_probe(worker),
                    Output::StartAttempt(start) => {
                        let Some(delays) = delays.next() else { return self.arrivals };
                        self.start_attempt(&start, delays);
                    }
                    Output::FinalAnswer { .. }
                    | Output::Cancel { .. }
                    | Output::CancelUnstarted { .. }
                    | Output::Subscribe => {}
                }
            }
        }
        self.arrivals
    }

    /// Moves the time to the earliest input and returns it; of inputs at the same time a wake comes last.
    fn next_input(&mut self) -> Option<TestInput> {
        let earliest = self.pending.iter().enumerate().map(|(index, (at, _))| (*at, index)).min();
        let wake_at = self.engine.next_wake();
        let is_wake = match (earliest, wake_at) {
            (Some((at, _)), Some(wake_at)) => wake_at < at,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        let at = if is_wake { wake_at } else { earliest.map(|(at, _)| at) };
        let at = at.filter(|at| *at < END_AT)?;
        self.now = self.now.max(at);
        if is_wake {
            return Some(Input::Wake);
        }
        let (_, index) = earliest?;
        Some(self.pending.remove(index).1)
    }

    fn complete_probe(&mut self, worker: u32) {
        let report = Some(LoadReport { free_slots: Some(4.0), ..LoadReport::default() });
        let completed = Input::ProbeCompleted { worker, outcome: Outcome::Ok, report };
        self.pending.push((self.now + MS, completed));
    }

    fn start_attempt(&mut self, start: &StartAttempt<u32>, delays: &Delays) {
        let Parameters { window, connect_timeout, shift_after, .. } = self.parameters;
        let delay = |thousandths: u64, longest: Nanos| longest / 1_000 * thousandths;
        // The first byte is written after these, unless it is too late by then.
        let written_at = self.now
            + delay(delays.permit, connect_timeout)
            + delay(delays.connect, connect_timeout)
            + delay(delays.stall, 300 * MS);
        // A margin is left for the network: the last byte travels as long as a connect takes at most.
        let arrived_at = written_at + delay(delays.travel, connect_timeout.min(window / 4));
        let ended_at = arrived_at + delay(delays.run, window / 2);
        let give_up_at = start.send_by.min(start.deadline);
        let outcome = OUTCOMES[delays.outcome];
        let (at, outcome) = if written_at >= give_up_at {
            (give_up_at.max(self.now), Outcome::NotSent)
        } else if outcome == Outcome::ConnectFailed {
            (written_at, outcome)
        } else {
            let has_shifted = shift_after.is_some_and(|after| JOB_AT + after <= self.now);
            let worker = &endpoints(u32::from(has_shifted))[start.worker as usize];
            let Endpoint { zone, cell, .. } = *worker;
            self.arrivals.push(Arrival { at: arrived_at, zone, cell, attempt: start.attempt });
            (ended_at.min(start.deadline).max(self.now), outcome)
        };
        let ended =
            Input::AttemptEnded { job_id: start.job_id, attempt: start.attempt, result: outcome.into() };
        self.pending.push((at, ended));
    }
}

/// Returns whether a worker deduplicates what has arrived at another.
fn is_in_scope(scope: DeduplicationScope, first: &Arrival, retry: &Arrival) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => retry.zone == first.zone,
        DeduplicationScope::Cell => retry.cell == first.cell,
    }
}

fn parameters_and_delays() -> impl Strategy<Value = (Parameters, Vec<Delays>)> {
    let window = prop_oneof![100..1_000u64, 1_000..8_000u64, 8_000..40_000u64];
    let scope = prop_oneof![
        Just(DeduplicationScope::All),
        Just(DeduplicationScope::Zone),
        Just(DeduplicationScope::Cell)
    ];
    let shift_after = prop::option::weighted(0.3, 0..4_000u64);
    (window, 20..1_500u64, scope, prop::collection::vec(delays(), 8), shift_after).prop_map(
        |(window, connect_timeout, scope, delays, shift_after)| {
            let parameters = Parameters {
                window: window * MS,
                connect_timeout: connect_timeout * MS,
                scope,
                shift_after: shift_after.map(|after| after * MS),
            };
            (parameters, delays)
        },
    )
}

#[test]
fn no_retry_arrives_after_the_deduplication_window_or_outside_its_scope() {
    let mut runner = TestRunner::new_with_rng(
        Config { cases: 4_000, failure_persistence: None, ..Config::default() },
        TestRng::deterministic_rng(RngAlgorithm::ChaCha),
    );
    let (retries, latest) = (Cell::new(0u32), Cell::new(0.0f64));
    runner
        .run(&parameters_and_delays(), |(parameters, delays)| {
            let arrivals = Host::new(parameters).run(&delays);
            let Some((first, rest)) = arrivals.split_first() else { return Ok(()) };
            for retry in rest {
                let share = (retry.at - first.at) as f64 / parameters.window as f64;
                prop_assert!(share < 1.0, "attempt {} after {share} of the window", retry.attempt);
                let in_scope = is_in_scope(parameters.scope, first, retry);
                prop_assert!(in_scope, "attempt {} left the scope", retry.attempt);
                retries.set(retries.get() + 1);
                latest.set(latest.get().max(share));
            }
            Ok(())
        })
        .unwrap_or_else(|e| panic!("{e}"));
    let (retries, latest) = (retries.get(), latest.get());
    println!("{retries} retries, the latest after {latest:.3} of its window");
    assert!(retries > 1_000, "only {retries} retries: too few to show anything");
    assert!(latest > 0.5, "no retry comes late in its window: {latest}");
}
