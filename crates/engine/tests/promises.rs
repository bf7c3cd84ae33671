//! The engine's promises, held against random hosts: ones that answer late, twice, out of order or never.

use std::collections::{HashMap, HashSet};

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits};
use nickelflow_engine::{
    hash, AttemptResult, Endpoint, Engine, EngineError, FinalAnswer, Input, Job, ListKind, LoadReport, Nanos,
    Outcome, Output, Settings, StartAttempt, WorkerStatus,
};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

type Hosted = Engine<u16, (), u32>;

fn settings(effect: Idempotency) -> Settings {
    Settings {
        dispatchers: 1,
        zone: 0,
        classes: vec![Class {
            idempotency: effect,
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

fn instance(number: u32, membership: WorkerStatus) -> Endpoint<()> {
    let name = format!("i{number}");
    Endpoint {
        name,
        address: (),
        zone: 0,
        kind: 0,
        cell: number / 2,
        status: membership,
        weight: 1.0,
        started: None,
    }
}

fn job(deadline: Nanos) -> Job {
    Job { class: 0, tenant: None, slots: 1.0, memory: 0.0, key: Some(hash(b"k")), is_retry: false, deadline }
}

fn report(free: f64) -> Option<LoadReport> {
    Some(LoadReport { free_slots: Some(free), ..LoadReport::default() })
}

/// A host that checks every order against what it has seen.
struct Host {
    engine: Hosted,
    now: Nanos,
    orders: Vec<Output<u16, u32>>,
    /// Each job taken: its deadline, how often it was answered, whether its client left.
    jobs: HashMap<u16, (Nanos, u32, bool)>,
    out: Vec<(u16, u32)>,
    attempts: HashMap<u16, u32>,
    cancelled: HashSet<(u16, u32)>,
    probes: Vec<u32>,
    most: u32,
}

impl Host {
    fn new(effect: Idempotency) -> Host {
        let mut host = Host {
            engine: Engine::new(settings(effect), 5).expect("sound settings"),
            now: 1_000 * MS,
            orders: vec![],
            jobs: HashMap::new(),
            out: vec![],
            attempts: HashMap::new(),
            cancelled: HashSet::new(),
            probes: vec![],
            most: 3,
        };
        let instances = (0..4).map(|n| instance(n, WorkerStatus::Ready)).collect();
        host.give(Input::WorkerList { kind: ListKind::Complete, workers: instances }).expect("a list");
        host
    }

    fn give(&mut self, input: Input<u16, (), u32>) -> Result<(), EngineError> {
        let result = self.engine.handle(self.now, input, &mut self.orders);
        let violations = self.engine.take_violations();
        assert!(violations.is_empty(), "{violations:?}");
        for order in std::mem::take(&mut self.orders) {
            match order {
                Output::StartAttempt(StartAttempt {
                    id, attempt, worker: instance, deadline: until, ..
                }) => {
                    let (deadline, answers, gone) = self.jobs[&id];
                    assert!(answers == 0 && !gone, "an attempt for a job that is over");
                    assert!(until > self.now && until <= deadline);
                    assert!(self.engine.worker(instance).is_some());
                    let next = self.attempts.entry(id).or_default();
                    assert_eq!(attempt, *next);
                    *next += 1;
                    assert!(*next <= self.most);
                    self.out.push((id, attempt));
                }
                Output::Cancel { id, attempt } => {
                    assert!(self.out.contains(&(id, attempt)), "a cancel of what is not out");
                    assert!(self.cancelled.insert((id, attempt)), "a second cancel");
                }
                Output::CancelUnstarted { id, attempt } => {
                    assert!(self.out.contains(&(id, attempt)), "a withdrawal of what is not out");
                }
                Output::FinalAnswer { id, .. } => {
                    let (deadline, answers, gone) = self.jobs.get_mut(&id).expect("a job");
                    assert!(!*gone, "an answer to nobody");
                    *answers += 1;
                    assert_eq!(*answers, 1, "a second answer");
                    assert!(self.now <= *deadline + 2 * MS, "a late answer");
                }
                Output::Probe { worker: instance } => self.probes.push(instance),
                Output::Subscribe => {}
            }
        }
        result
    }

    fn pass(&mut self, to: Nanos) {
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= to) {
            self.now = self.now.max(at);
            self.give(Input::Wake).expect("a wake");
        }
        self.now = to;
    }

    fn end(&mut self, pick: usize, outcome: Outcome) {
        if self.out.is_empty() {
            return;
        }
        let (id, attempt) = self.out.swap_remove(pick % self.out.len());
        let result = (outcome == Outcome::Ok).then_some(7);
        self.give(Input::AttemptEnded {
            id,
            attempt,
            result: AttemptResult { outcome, result, report: None },
        })
        .expect("its end");
        // The same end once more is a mistake that changes nothing.
        let end = AttemptResult { outcome: Outcome::Ok, result: Some(8), report: None };
        assert_eq!(
            self.give(Input::AttemptEnded { id, attempt, result: end }),
            Err(EngineError::AttemptNotInFlight)
        );
    }
}

#[derive(Clone, Debug)]
enum Step {
    Job(u16, u64),
    End(usize, Outcome),
    Progress(usize),
    Stream(usize),
    Gone(u16),
    Probe(u8),
    Pass(u64),
    List(u32, bool),
    Ending,
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

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u16..40, 0u64..900).prop_map(|(id, left)| Step::Job(id, left)),
        6 => (any::<usize>(), outcome()).prop_map(|(n, o)| Step::End(n, o)),
        2 => any::<usize>().prop_map(Step::Progress),
        1 => any::<usize>().prop_map(Step::Stream),
        1 => (0u16..40).prop_map(Step::Gone),
        5 => (0u8..6).prop_map(Step::Probe),
        5 => (1u64..120).prop_map(Step::Pass),
        1 => (0u32..6, any::<bool>()).prop_map(|(n, ready)| Step::List(n, ready)),
        1 => Just(Step::Ending),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_job_has_one_answer_and_nothing_stays(
        steps in prop::collection::vec(step(), 1..120),
        effect in prop::sample::select(vec![Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::IdempotentWithKey(DeduplicationScope::Cell)]),
    ) {
        let mut host = Host::new(effect);
        for step in steps {
            match step {
                Step::Job(id, left) if host.jobs.contains_key(&id) => {
                    let (_, answers, gone) = host.jobs[&id];
                    if answers == 0 && !gone || host.out.iter().any(|(job, _)| *job == id) {
                        let again = Input::Job { id, job: job(host.now + left * MS) };
                        prop_assert_eq!(host.give(again), Err(EngineError::DuplicateJob));
                    }
                }
                Step::Job(id, left) => {
                    let deadline = host.now + left * MS;
                    host.jobs.insert(id, (deadline, 0, false));
                    host.give(Input::Job { id, job: job(deadline) }).expect("a new job");
                }
                Step::End(pick, outcome) => host.end(pick, outcome),
                Step::Progress(pick) if !host.out.is_empty() => {
                    let (id, attempt) = host.out[pick % host.out.len()];
                    host.give(Input::Progress { id, attempt }).expect("progress");
                }
                Step::Stream(pick) if !host.out.is_empty() => {
                    let (id, attempt) = host.out[pick % host.out.len()];
                    // From here on it has no deadline.
                    if host.jobs[&id].1 == 0 {
                        host.jobs.get_mut(&id).expect("a job").0 = Nanos::MAX / 2;
                    }
                    host.give(Input::Streaming { id, attempt }).expect("a stream");
                }
                Step::Gone(id) => {
                    if let Some((_, 0, gone)) = host.jobs.get_mut(&id) {
                        *gone = true;
                    }
                    host.give(Input::ClientDisconnected { id }).expect("a client that leaves");
                }
                Step::Probe(free) => {
                    if let Some(instance) = host.probes.pop() {
                        let outcome = if free == 5 { Outcome::Timeout } else { Outcome::Ok };
                        let report = report(f64::from(free));
                        host.give(Input::ProbeCompleted { worker: instance, outcome, report }).expect("a probe's end");
                    }
                }
                Step::Pass(ms) => host.pass(host.now + ms * MS),
                Step::List(n, ready) => {
                    let membership = if ready { WorkerStatus::Ready } else { WorkerStatus::Draining };
                    let instances = vec![instance(n, membership)];
                    host.give(Input::WorkerList { kind: ListKind::Changes, workers: instances }).expect("news");
                }
                Step::Ending => {
                    let by = host.now + 200 * MS;
                    host.give(Input::Shutdown { deadline: by }).expect("an end");
                }
                Step::Progress(_) | Step::Stream(_) => {}
            }
        }
        host.pass(host.now + 2_000 * MS);
        while !host.out.is_empty() {
            host.end(0, Outcome::Timeout);
        }
        host.pass(host.now + 2_000 * MS);
        prop_assert!(host.jobs.values().all(|(_, answers, gone)| answers + u32::from(*gone) == 1));
        prop_assert_eq!(host.engine.open_jobs(), 0);
    }
}

/// A host with one instance of four free slots, and job 1 sent to it.
fn sent() -> Host {
    let mut host = Host::new(Idempotency::Idempotent);
    host.pass(host.now + 100 * MS);
    for instance in std::mem::take(&mut host.probes) {
        host.give(Input::ProbeCompleted { worker: instance, outcome: Outcome::Ok, report: report(4.0) })
            .expect("a probe's end");
    }
    let deadline = host.now + 900 * MS;
    host.jobs.insert(1, (deadline, 0, false));
    host.give(Input::Job { id: 1, job: job(deadline) }).expect("a job");
    assert_eq!(host.out, [(1, 0)]);
    host
}

#[test]
fn an_ok_without_a_result_serves_nobody() {
    let mut host = sent();
    host.out.clear();
    host.give(Input::AttemptEnded { id: 1, attempt: 0, result: Outcome::Ok.into() }).expect("an end");
    assert_eq!(host.jobs[&1].1, 0);
    assert_eq!(host.out, [(1, 1)], "it is tried again");
}

#[test]
fn a_broken_stream_fails_its_job_at_once_and_is_not_sent_again() {
    let mut host = sent();
    host.give(Input::Streaming { id: 1, attempt: 0 }).expect("a stream");
    host.jobs.get_mut(&1).expect("it").0 = Nanos::MAX / 2;
    host.pass(host.now + 5_000 * MS);
    assert_eq!(host.jobs[&1].1, 0, "a stream has no deadline");
    let end = Outcome::Reset.into();
    let mut orders = vec![];
    host.engine
        .handle(host.now, Input::AttemptEnded { id: 1, attempt: 0, result: end }, &mut orders)
        .expect("an end");
    assert_eq!(orders.first(), Some(&Output::FinalAnswer { id: 1, answer: FinalAnswer::Failed }));
    assert_eq!(host.engine.open_jobs(), 0);
}

#[test]
fn two_events_of_one_moment_are_taken_in_their_order() {
    let mut host = sent();
    // The result and the client's leaving, at the same nanosecond: whichever is given first counts.
    let end = AttemptResult { outcome: Outcome::Ok, result: Some(3), report: None };
    host.give(Input::AttemptEnded { id: 1, attempt: 0, result: end }).expect("an end");
    host.give(Input::ClientDisconnected { id: 1 }).expect("passed over");
    assert_eq!(host.jobs[&1].1, 1);
}

#[test]
fn a_clock_at_its_ends_neither_panics_nor_loses_a_job() {
    for start in [0, Nanos::MAX / 2, Nanos::MAX - 10_000 * MS] {
        let mut engine: Hosted = Engine::new(settings(Idempotency::Idempotent), 1).expect("sound settings");
        let mut orders = vec![];
        engine.handle(start, Input::Job { id: 1, job: job(start + 500 * MS) }, &mut orders).expect("a job");
        while orders.is_empty() {
            let at = engine.next_wake().expect("it wakes until all is answered");
            engine.handle(at, Input::Wake, &mut orders).expect("a wake");
        }
        assert!(matches!(orders[..], [Output::FinalAnswer { id: 1, .. }]), "{orders:?}");
    }
}

#[test]
fn the_hash_is_fnv_1a() {
    // Test vectors of draft-eastlake-fnv.
    assert_eq!(hash(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(hash(b"foobar"), 0x8594_4171_f739_67e8);
}

#[test]
fn withdrawals_come_in_the_order_of_their_jobs() {
    let settings = Settings { can_probe: false, ..settings(Idempotency::Idempotent) };
    let mut engine = Engine::<u64, (), ()>::new(settings, 1).expect("sound settings");
    let mut orders = Vec::new();
    let mut listed = |engine: &mut Engine<u64, (), ()>, kind, membership| {
        let instance = Endpoint {
            name: "a".to_owned(),
            address: (),
            zone: 0,
            kind: 0,
            cell: 0,
            status: membership,
            weight: 1.0,
            started: None,
        };
        let listed = Input::WorkerList { kind, workers: vec![instance] };
        orders.clear();
        engine.handle(1, listed, &mut orders).expect("a list");
        orders
            .iter()
            .filter_map(|o| if let Output::CancelUnstarted { id, .. } = o { Some(*id) } else { None })
            .collect()
    };
    let none: Vec<u64> = listed(&mut engine, ListKind::Complete, WorkerStatus::Ready);
    assert!(none.is_empty());
    let job = Job {
        class: 0,
        tenant: None,
        slots: 0.01,
        memory: 0.0,
        key: None,
        is_retry: false,
        deadline: 1 << 40,
    };
    for id in 0..40 {
        engine.handle(1, Input::Job { id, job: job.clone() }, &mut Vec::new()).expect("a job");
    }
    let withdrawn: Vec<u64> = listed(&mut engine, ListKind::Complete, WorkerStatus::Draining);
    assert!(withdrawn.len() > 10 && withdrawn.is_sorted(), "{withdrawn:?}");
    // So it is with what was decided by a list that may be stale; a call that failed withdraws nothing.
    let stale: Vec<u64> = listed(&mut engine, ListKind::Stale, WorkerStatus::Ready);
    assert_eq!(stale, withdrawn);
    let failed: Vec<u64> = listed(&mut engine, ListKind::Failed, WorkerStatus::Ready);
    assert!(failed.is_empty());
}
