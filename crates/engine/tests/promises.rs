//! The engine's guarantees, checked against random hosts that report late, twice, out of order or never.

use std::collections::{HashMap, HashSet};

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits};
use nickelflow_engine::{
    fnv1a_hash, AttemptResult, Endpoint, Engine, EngineError, FinalAnswer, Input, Job, ListKind, LoadReport,
    Nanos, Outcome, Output, Settings, StartAttempt, WorkerStatus,
};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

type TestEngine = Engine<u16, (), u32>;

fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        dispatchers: 1,
        zone: 0,
        classes: vec![Class {
            idempotency,
            deduplication_window: 2_000 * MS,
            latency_objective: 100 * MS,
            latency_stretch: 2.0,
            deadline: 1_000 * MS,
            priority_weight: 1.0,
            late_weight_share: 0.5,
            required_kind: None,
        }],
        tenants: vec![],
        limits: ServiceLimits {
            slow_start_initial_share: 0.2,
            slow_start_duration: 1_000 * MS,
            overload_multiple: 3.0,
            overload_duration: 500 * MS,
            unsubscribed_list_validity: 0,
        },
        requires_subscription: true,
        can_probe: true,
        reports_registered_size: true,
        reports_free_slots: true,
        notifies_job_start: true,
        progress_interval: 500 * MS,
        can_cancel: true,
        allows_hedging: true,
        max_attempts: 3,
        max_retry_after: 500 * MS,
        connect_timeout: 200 * MS,
        clock_resolution: MS,
    }
}

fn endpoint(number: u32, status: WorkerStatus) -> Endpoint<()> {
    Endpoint {
        name: format!("i{number}"),
        address: (),
        zone: 0,
        kind: 0,
        cell: number / 2,
        status,
        registered_size: 1.0,
        started_at: None,
    }
}

fn job(deadline: Nanos) -> Job {
    Job {
        class: 0,
        tenant: None,
        slots: 1.0,
        memory: 0.0,
        key: Some(fnv1a_hash(b"k")),
        is_retry: false,
        deadline,
    }
}

fn report(free: f64) -> Option<LoadReport> {
    Some(LoadReport { free_slots: Some(free), ..LoadReport::default() })
}

/// The host's view of a job.
struct SubmittedJob {
    deadline: Nanos,
    answers: u32,
    client_disconnected: bool,
}

impl SubmittedJob {
    fn new(deadline: Nanos) -> Self {
        SubmittedJob { deadline, answers: 0, client_disconnected: false }
    }

    fn is_open(&self) -> bool {
        self.answers == 0 && !self.client_disconnected
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptId {
    job: u16,
    attempt: u32,
}

const FIRST_ATTEMPT: AttemptId = AttemptId { job: 1, attempt: 0 };
const SECOND_ATTEMPT: AttemptId = AttemptId { job: 1, attempt: 1 };

/// A host that checks every output against what it has seen.
struct Host {
    engine: TestEngine,
    now: Nanos,
    jobs: HashMap<u16, SubmittedJob>,
    in_flight: Vec<AttemptId>,
    attempts: HashMap<u16, u32>,
    cancelled: HashSet<AttemptId>,
    /// The workers with a probe in flight.
    probes: Vec<u32>,
    max_attempts: u32,
}

impl Host {
    fn new(idempotency: Idempotency) -> Host {
        let mut host = Host {
            engine: Engine::new(settings(idempotency), 5).expect("sound settings"),
            now: 1_000 * MS,
            jobs: HashMap::new(),
            in_flight: vec![],
            attempts: HashMap::new(),
            cancelled: HashSet::new(),
            probes: vec![],
            max_attempts: 3,
        };
        let workers = (0..4).map(|n| endpoint(n, WorkerStatus::Ready)).collect();
        host.handle(Input::WorkerList { kind: ListKind::Complete, workers }).expect("a list");
        host
    }

    fn handle(&mut self, input: Input<u16, (), u32>) -> Result<(), EngineError> {
        let mut outputs = Vec::new();
        let result = self.engine.handle(self.now, input, &mut outputs);
        let violations = self.engine.take_violations();
        assert!(violations.is_empty(), "{violations:?}");
        for output in outputs {
            self.check(output);
        }
        result
    }

    fn check(&mut self, output: Output<u16, u32>) {
        match output {
            Output::StartAttempt(start) => self.check_start(&start),
            Output::Cancel { job_id: id, attempt } => {
                let cancelled = AttemptId { job: id, attempt };
                assert!(self.in_flight.contains(&cancelled), "a cancellation of what is not in flight");
                assert!(self.cancelled.insert(cancelled), "a second cancellation");
            }
            Output::CancelUnstarted { job_id: id, attempt } => {
                let withdrawn = AttemptId { job: id, attempt };
                assert!(self.in_flight.contains(&withdrawn), "a withdrawal of what is not in flight");
            }
            Output::FinalAnswer { job_id: id, .. } => {
                let job = self.jobs.get_mut(&id).expect("a job");
                assert!(!job.client_disconnected, "an answer to nobody");
                job.answers += 1;
                assert_eq!(job.answers, 1, "a second answer");
                assert!(self.now <= job.deadline + 2 * MS, "a late answer");
            }
            Output::Probe { worker } => self.probes.push(worker),
            Output::Subscribe => {}
        }
    }

    fn check_start(&mut self, start: &StartAttempt<u16>) {
        let job = &self.jobs[&start.job_id];
        assert!(job.is_open(), "an attempt for a job that is finished");
        assert!(start.deadline > self.now && start.deadline <= job.deadline);
        assert!(self.engine.worker(start.worker).is_some());
        let next = self.attempts.entry(start.job_id).or_default();
        assert_eq!(start.attempt, *next);
        *next += 1;
        assert!(*next <= self.max_attempts);
        self.in_flight.push(AttemptId { job: start.job_id, attempt: start.attempt });
    }

    /// Lets time pass, with all wakes that come due.
    fn advance_to(&mut self, to: Nanos) {
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= to) {
            self.now = self.now.max(at);
            self.handle(Input::Wake).expect("a wake");
        }
        self.now = to;
    }

    /// Ends one of the attempts in flight; `pick` selects it.
    fn end_attempt(&mut self, pick: usize, outcome: Outcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let AttemptId { job: id, attempt } = self.in_flight.swap_remove(pick % self.in_flight.len());
        let result = (outcome == Outcome::Ok).then_some(7);
        let result = AttemptResult { outcome, result, report: None };
        self.handle(Input::AttemptEnded { job_id: id, attempt, result }).expect("its end");
        // Reporting the same end once more is a fault of the host and changes nothing.
        let again = AttemptResult { outcome: Outcome::Ok, result: Some(8), report: None };
        let refused = self.handle(Input::AttemptEnded { job_id: id, attempt, result: again });
        assert_eq!(refused, Err(EngineError::AttemptNotInFlight));
    }

    /// Returns one of the attempts in flight; `pick` selects it.
    fn pick_in_flight(&self, pick: usize) -> Option<AttemptId> {
        let index = pick.checked_rem(self.in_flight.len())?;
        Some(self.in_flight[index])
    }

    fn submit(&mut self, id: u16, deadline: Nanos) {
        if let Some(known) = self.jobs.get(&id) {
            if known.is_open() || self.in_flight.iter().any(|attempt| attempt.job == id) {
                let again = Input::Job { job_id: id, job: job(deadline) };
                assert_eq!(self.handle(again), Err(EngineError::DuplicateJob));
            }
            return;
        }
        self.jobs.insert(id, SubmittedJob::new(deadline));
        self.handle(Input::Job { job_id: id, job: job(deadline) }).expect("a new job");
    }

    fn stream(&mut self, AttemptId { job: id, attempt }: AttemptId) {
        let job = self.jobs.get_mut(&id).expect("a job");
        // From here on it has no deadline.
        if job.answers == 0 {
            job.deadline = Nanos::MAX / 2;
        }
        self.handle(Input::Streaming { job_id: id, attempt }).expect("a stream");
    }

    fn disconnect_client(&mut self, id: u16) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.answers == 0) {
            job.client_disconnected = true;
        }
        self.handle(Input::ClientDisconnected { job_id: id }).expect("a client that disconnects");
    }

    fn complete_probe(&mut self, free_slots: u8) {
        let Some(worker) = self.probes.pop() else { return };
        let outcome = if free_slots == 5 { Outcome::Timeout } else { Outcome::Ok };
        let report = report(f64::from(free_slots));
        self.handle(Input::ProbeCompleted { worker, outcome, report }).expect("a probe's end");
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Job { id, time_left_ms } => self.submit(id, self.now + time_left_ms * MS),
            Step::EndAttempt { pick, outcome } => self.end_attempt(pick, outcome),
            Step::Progress { pick } => {
                if let Some(AttemptId { job: id, attempt }) = self.pick_in_flight(pick) {
                    self.handle(Input::Progress { job_id: id, attempt }).expect("progress");
                }
            }
            Step::Stream { pick } => {
                if let Some(attempt) = self.pick_in_flight(pick) {
                    self.stream(attempt);
                }
            }
            Step::ClientDisconnects { id } => self.disconnect_client(id),
            Step::CompleteProbe { free_slots } => self.complete_probe(free_slots),
            Step::Advance { ms } => self.advance_to(self.now + ms * MS),
            Step::ListWorker { number, status } => {
                let workers = vec![endpoint(number, status)];
                self.handle(Input::WorkerList { kind: ListKind::Changes, workers }).expect("changes");
            }
            Step::ShutDown => {
                let deadline = self.now + 200 * MS;
                self.handle(Input::Shutdown { deadline }).expect("a shutdown");
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Job { id: u16, time_left_ms: u64 },
    EndAttempt { pick: usize, outcome: Outcome },
    Progress { pick: usize },
    Stream { pick: usize },
    ClientDisconnects { id: u16 },
    CompleteProbe { free_slots: u8 },
    Advance { ms: u64 },
    ListWorker { number: u32, status: WorkerStatus },
    ShutDown,
}

fn outcome() -> impl Strategy<Value = Outcome> {
    use Outcome::*;
    prop::sample::select(vec![
        Ok,
        Ok,
        Error,
        Rejected,
        InvalidJob,
        Timeout,
        ConnectFailed,
        Reset,
        Cancelled,
        NotSent,
    ])
}

fn status() -> impl Strategy<Value = WorkerStatus> {
    any::<bool>().prop_map(|ready| if ready { WorkerStatus::Ready } else { WorkerStatus::Draining })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u16..40, 0u64..900).prop_map(|(id, time_left_ms)| Step::Job { id, time_left_ms }),
        6 => (any::<usize>(), outcome()).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        2 => any::<usize>().prop_map(|pick| Step::Progress { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Stream { pick }),
        1 => (0u16..40).prop_map(|id| Step::ClientDisconnects { id }),
        5 => (0u8..6).prop_map(|free_slots| Step::CompleteProbe { free_slots }),
        5 => (1u64..120).prop_map(|ms| Step::Advance { ms }),
        1 => (0u32..6, status()).prop_map(|(number, status)| Step::ListWorker { number, status }),
        1 => Just(Step::ShutDown),
    ]
}

fn idempotency() -> impl Strategy<Value = Idempotency> {
    prop::sample::select(vec![
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::IdempotentWithKey(DeduplicationScope::Cell),
    ])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_job_has_one_answer_and_is_removed(
        steps in prop::collection::vec(step(), 1..120),
        idempotency in idempotency(),
    ) {
        let mut host = Host::new(idempotency);
        for step in steps {
            host.play(step);
        }
        host.advance_to(host.now + 2_000 * MS);
        while !host.in_flight.is_empty() {
            host.end_attempt(0, Outcome::Timeout);
        }
        host.advance_to(host.now + 2_000 * MS);
        let has_one_end = |job: &SubmittedJob| job.answers + u32::from(job.client_disconnected) == 1;
        prop_assert!(host.jobs.values().all(has_one_end));
        prop_assert_eq!(host.engine.open_job_count(), 0);
    }
}

/// Returns a host whose workers have four free slots, with the first attempt of job 1 in flight.
fn host_with_attempt_in_flight() -> Host {
    let mut host = Host::new(Idempotency::Idempotent);
    host.advance_to(host.now + 100 * MS);
    for worker in std::mem::take(&mut host.probes) {
        host.handle(Input::ProbeCompleted { worker, outcome: Outcome::Ok, report: report(4.0) })
            .expect("a probe's end");
    }
    let deadline = host.now + 900 * MS;
    host.jobs.insert(1, SubmittedJob::new(deadline));
    host.handle(Input::Job { job_id: 1, job: job(deadline) }).expect("a job");
    assert_eq!(host.in_flight, [FIRST_ATTEMPT]);
    host
}

#[test]
fn an_ok_without_a_result_does_not_answer_the_job() {
    let mut host = host_with_attempt_in_flight();
    host.in_flight.clear();
    host.handle(Input::AttemptEnded { job_id: 1, attempt: 0, result: Outcome::Ok.into() }).expect("an end");
    assert_eq!(host.jobs[&1].answers, 0);
    assert_eq!(host.in_flight, [SECOND_ATTEMPT], "it is retried");
}

#[test]
fn a_broken_stream_fails_its_job_at_once_and_is_not_retried() {
    let mut host = host_with_attempt_in_flight();
    host.handle(Input::Streaming { job_id: 1, attempt: 0 }).expect("a stream");
    host.jobs.get_mut(&1).expect("it").deadline = Nanos::MAX / 2;
    host.advance_to(host.now + 5_000 * MS);
    assert_eq!(host.jobs[&1].answers, 0, "a stream has no deadline");
    let reset = Input::AttemptEnded { job_id: 1, attempt: 0, result: Outcome::Reset.into() };
    let mut outputs = vec![];
    host.engine.handle(host.now, reset, &mut outputs).expect("an end");
    assert_eq!(outputs.first(), Some(&Output::FinalAnswer { job_id: 1, answer: FinalAnswer::Failed }));
    assert_eq!(host.engine.open_job_count(), 0);
}

#[test]
fn two_inputs_of_the_same_time_are_handled_in_order() {
    let mut host = host_with_attempt_in_flight();
    // The result and the client's disconnection, at the same nanosecond: whichever is passed first counts.
    let result = AttemptResult { outcome: Outcome::Ok, result: Some(3), report: None };
    host.handle(Input::AttemptEnded { job_id: 1, attempt: 0, result }).expect("an end");
    host.handle(Input::ClientDisconnected { job_id: 1 }).expect("ignored");
    assert_eq!(host.jobs[&1].answers, 1);
}

#[test]
fn a_clock_at_its_limits_neither_panics_nor_loses_a_job() {
    for start in [0, Nanos::MAX / 2, Nanos::MAX - 10_000 * MS] {
        let mut engine: TestEngine =
            Engine::new(settings(Idempotency::Idempotent), 1).expect("sound settings");
        let mut outputs = vec![];
        engine
            .handle(start, Input::Job { job_id: 1, job: job(start + 500 * MS) }, &mut outputs)
            .expect("a job");
        while outputs.is_empty() {
            let at = engine.next_wake().expect("it wakes until all is answered");
            engine.handle(at, Input::Wake, &mut outputs).expect("a wake");
        }
        assert!(matches!(outputs[..], [Output::FinalAnswer { job_id: 1, .. }]), "{outputs:?}");
    }
}

#[test]
fn the_hash_is_fnv_1a() {
    // Test vectors of draft-eastlake-fnv.
    assert_eq!(fnv1a_hash(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(fnv1a_hash(b"foobar"), 0x8594_4171_f739_67e8);
}

/// Passes a list with one worker to an engine, and returns the jobs of the attempts that are withdrawn, in order.
fn withdrawn_by_list(engine: &mut Engine<u64, (), ()>, kind: ListKind, status: WorkerStatus) -> Vec<u64> {
    let worker = Endpoint { name: "a".to_owned(), ..endpoint(0, status) };
    let mut outputs = Vec::new();
    engine.handle(1, Input::WorkerList { kind, workers: vec![worker] }, &mut outputs).expect("a list");
    let withdrawn = outputs.iter().filter_map(|output| match output {
        Output::CancelUnstarted { job_id, .. } => Some(*job_id),
        _ => None,
    });
    withdrawn.collect()
}

#[test]
fn withdrawals_come_in_the_order_of_their_jobs() {
    let settings = Settings { can_probe: false, ..settings(Idempotency::Idempotent) };
    let mut engine = Engine::new(settings, 1).expect("sound settings");
    assert!(withdrawn_by_list(&mut engine, ListKind::Complete, WorkerStatus::Ready).is_empty());
    let job = Job { slots: 0.01, key: None, ..job(1 << 40) };
    for id in 0..40 {
        engine.handle(1, Input::Job { job_id: id, job: job.clone() }, &mut Vec::new()).expect("a job");
    }
    let withdrawn = withdrawn_by_list(&mut engine, ListKind::Complete, WorkerStatus::Draining);
    assert!(withdrawn.len() > 10 && withdrawn.is_sorted(), "{withdrawn:?}");
    // A stale list withdraws the same; a failed request for the list withdraws nothing.
    let by_stale_list = withdrawn_by_list(&mut engine, ListKind::Stale, WorkerStatus::Ready);
    assert_eq!(by_stale_list, withdrawn);
    assert!(withdrawn_by_list(&mut engine, ListKind::Failed, WorkerStatus::Ready).is_empty());
}
