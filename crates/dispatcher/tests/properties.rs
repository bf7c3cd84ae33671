//! Random legal event sequences with adversarial outcomes; the four rules are checked on the actions alone.

mod common;

use std::collections::BTreeMap;

use common::*;
use nickelflow_dispatcher::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A request with its time left in milliseconds.
#[derive(Clone, Debug)]
struct RequestStep {
    class: u32,
    slots: u8,
    left_ms: u16,
    key: u8,
    tenant: u8,
}

/// The end of one of the probes in flight.
#[derive(Clone, Debug)]
struct ProbeStep {
    which: u16,
    ok: bool,
    free: u8,
    queued: u8,
}

#[derive(Clone, Debug)]
enum Step {
    Request(RequestStep),
    AttemptEnd { which: u16, outcome: u8 },
    Progress { which: u16 },
    ProbeEnd(ProbeStep),
    ListChange { worker: u8, status: u8, restart: bool },
    CompleteList { mask: u8, cached: bool },
    ListFailed,
    ListStale,
    Disconnect { which: u16 },
    Advance { ms: u16 },
    UnknownIds { number: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4u32, 1..5u8, 20..6000u16, any::<u8>(), 0..4u8)
            .prop_map(|(class, slots, left_ms, key, tenant)| RequestStep { class, slots, left_ms, key, tenant })
            .prop_map(Step::Request),
        6 => (any::<u16>(), 0..8u8).prop_map(|(which, outcome)| Step::AttemptEnd { which, outcome }),
        2 => any::<u16>().prop_map(|which| Step::Progress { which }),
        6 => (any::<u16>(), prop::bool::weighted(0.9), 0..9u8, 0..5u8)
            .prop_map(|(which, ok, free, queued)| ProbeStep { which, ok, free, queued })
            .prop_map(Step::ProbeEnd),
        1 => (0..6u8, 0..3u8, any::<bool>())
            .prop_map(|(worker, status, restart)| Step::ListChange { worker, status, restart }),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(mask, cached)| Step::CompleteList { mask, cached }),
        1 => Just(Step::ListFailed),
        1 => Just(Step::ListStale),
        1 => any::<u16>().prop_map(|which| Step::Disconnect { which }),
        6 => (0..400u16).prop_map(|ms| Step::Advance { ms }),
        1 => any::<u16>().prop_map(|number| Step::UnknownIds { number }),
    ]
}

const IDEMPOTENCIES: [Idempotency; 4] = [
    Idempotency::Idempotent,
    Idempotency::NonIdempotent,
    Idempotency::IdempotentWithKey(DeduplicationScope::Zone),
    Idempotency::IdempotentWithKey(DeduplicationScope::Cell),
];
const OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::InvalidJob,
];

const STATUSES: [WorkerStatus; 3] = [WorkerStatus::Ready, WorkerStatus::Draining, WorkerStatus::Gone];

/// An attempt as the caller knows it.
struct SentAttempt {
    worker: u32,
    sent: Nanos,
    in_flight: bool,
    may_have_run: bool,
}

/// A request as the caller knows it.
struct KnownRequest {
    class: usize,
    deadline: Nanos,
    slots: f64,
    attempts: Vec<SentAttempt>,
    is_answered: bool,
}

/// The caller's side: what the dispatcher was notified of, and what the rules allow it to do.
struct Caller {
    dispatcher: Dispatcher,
    settings: Settings,
    now: Nanos,
    wakes: Vec<Nanos>,
    probes: Vec<u32>,
    list: BTreeMap<u32, WorkerEntry>,
    requests: BTreeMap<u64, KnownRequest>,
    next_request: u64,
    /// Slots sent to each warming worker since its start, with their times.
    sent_while_warming: BTreeMap<u32, Vec<(Nanos, f64)>>,
    list_is_stale: bool,
    /// When each worker last confirmed that it accepts work.
    confirmed_at: BTreeMap<u32, Nanos>,
}

/// Returns the entry of a worker: two zones, and cells of two workers.
fn listed_entry(worker: u32) -> WorkerEntry {
    WorkerEntry { zone: worker % 2, cell: worker / 2, ..entry(worker) }
}

impl Caller {
    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut actions = vec![];
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.check_action(action)?;
        }
        Ok(())
    }

    fn check_action(&mut self, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::Wake { at } => self.wakes.push(at),
            Action::Probe { worker } => {
                prop_assert!(self.list.contains_key(&worker.0), "probed a worker that is on no list");
                self.probes.push(worker.0);
            }
            Action::Subscribe => prop_assert!(self.settings.requires_subscription),
            Action::Send { request, worker, .. } => self.check_send(request.0, worker.0)?,
            Action::Reject { request, .. } => {
                let known = &self.requests[&request.0];
                let is_harmless = match IDEMPOTENCIES[known.class] {
                    Idempotency::Idempotent => true,
                    _ => known.attempts.iter().all(|attempt| !attempt.may_have_run),
                };
                prop_assert!(is_harmless, "rejected what may have run");
                self.check_answer(request.0)?;
            }
            Action::Fail { request } => self.check_answer(request.0)?,
            Action::Cancel { request, attempt } => {
                prop_assert!((attempt as usize) < self.requests[&request.0].attempts.len());
            }
        }
        Ok(())
    }

    fn check_answer(&mut self, id: u64) -> Result<(), TestCaseError> {
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("known");
        prop_assert!(!request.is_answered, "a second final answer");
        prop_assert!(now <= request.deadline, "answered too late");
        request.is_answered = true;
        Ok(())
    }

    fn check_send(&mut self, id: u64, worker: u32) -> Result<(), TestCaseError> {
        let entry = self.list.get(&worker).cloned();
        prop_assert!(
            entry.as_ref().is_some_and(|entry| entry.status == WorkerStatus::Ready),
            "sent to a worker that drains or is gone"
        );
        let confirmed_at = self.confirmed_at.get(&worker).copied();
        let is_confirmed = confirmed_at.is_some_and(|at| self.now <= at + S);
        prop_assert!(is_confirmed || !self.list_is_stale, "sent by a list that may be stale");
        let entry = entry.expect("listed");
        self.check_repeat(&self.requests[&id], &entry)?;
        let (now, slots) = (self.now, self.requests[&id].slots);
        let request = self.requests.get_mut(&id).expect("known");
        request.attempts.push(SentAttempt { worker, sent: now, in_flight: true, may_have_run: true });
        self.check_slow_start(&entry, slots)
    }

    /// Checks that a request may be sent (again) to a worker.
    fn check_repeat(&self, request: &KnownRequest, entry: &WorkerEntry) -> Result<(), TestCaseError> {
        let (now, settings) = (self.now, &self.settings);
        let attempts = &request.attempts;
        prop_assert!(!request.is_answered, "sent after the end");
        prop_assert!(attempts.len() < settings.max_attempts as usize, "too many attempts");
        let is_alone = attempts.iter().all(|attempt| !attempt.in_flight);
        prop_assert!(settings.allows_hedging || is_alone, "two attempts at once");
        for attempt in attempts.iter().filter(|attempt| attempt.may_have_run) {
            let first =
                self.list.get(&attempt.worker).cloned().unwrap_or_else(|| listed_entry(attempt.worker));
            match IDEMPOTENCIES[request.class] {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    prop_assert!(false, "a non-idempotent request that may have run was sent again")
                }
                Idempotency::IdempotentWithKey(scope) => {
                    let is_same = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.zone == entry.zone,
                        DeduplicationScope::Cell => first.cell == entry.cell,
                    };
                    prop_assert!(is_same, "sent outside its deduplication scope");
                    let window = settings.classes[request.class].deduplication_window;
                    prop_assert!(now <= attempt.sent + window, "sent after its window");
                }
            }
        }
        Ok(())
    }

    fn check_slow_start(&mut self, entry: &WorkerEntry, slots: f64) -> Result<(), TestCaseError> {
        let (now, limits) = (self.now, &self.settings.limits);
        let Some(started_at) =
            entry.started_at.filter(|started_at| now < started_at + limits.slow_start_duration)
        else {
            return Ok(());
        };
        // The least that a job may count is not known; one attempt in flight of the smallest budget is always
        // allowed, and beyond it the rate of the whole fleet's budget binds.
        let sends = self.sent_while_warming.entry(entry.worker.0).or_default();
        sends.push((now, slots));
        let age = (now - started_at) as f64 / limits.slow_start_duration as f64;
        let weight = limits.slow_start_initial_share + (1.0 - limits.slow_start_initial_share) * age;
        let capacity = 9.0 * weight;
        let work: f64 = sends
            .iter()
            .filter(|(at, _)| at + limits.overload_duration > now)
            .map(|(_, slots)| slots * 0.02)
            .sum();
        prop_assert!(work <= limits.overload_multiple * capacity, "a warming worker was overloaded");
        Ok(())
    }

    fn advance(&mut self, until: Nanos) -> Result<(), TestCaseError> {
        while let Some(at) = self.wakes.iter().copied().filter(|at| *at <= until).min() {
            self.wakes.retain(|wake| *wake > at);
            self.now = self.now.max(at);
            self.handle(Event::Wake)?;
        }
        self.now = self.now.max(until);
        for (id, request) in &self.requests {
            let is_in_time = request.is_answered || self.now <= request.deadline;
            prop_assert!(is_in_time, "request {} was not answered in time", id);
        }
        Ok(())
    }

    fn entry(&mut self, worker: u32, status: WorkerStatus, restart: bool) -> WorkerEntry {
        let old = self.list.get(&worker).and_then(|entry| entry.started_at);
        if restart {
            self.sent_while_warming.remove(&worker);
        }
        let started_at = if restart { Some(self.now) } else { old };
        WorkerEntry { status, started_at, ..listed_entry(worker) }
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Request(step) => self.request(step),
            Step::AttemptEnd { which, outcome } => self.end_attempt(which, OUTCOMES[outcome as usize]),
            Step::Progress { which } => {
                let request = self.some_request(which);
                self.handle(Event::Progress { request, attempt: 0 })
            }
            Step::ProbeEnd(step) => self.end_probe(step),
            Step::ListChange { worker, status, restart } => {
                let status = STATUSES[status as usize];
                self.change_list(u32::from(worker), status, restart)
            }
            Step::CompleteList { mask, cached } => self.replace_list(mask, cached),
            Step::ListFailed if !self.settings.requires_subscription => Ok(()),
            Step::ListFailed => self.handle(Event::WorkerList { kind: ListKind::Failed, entries: vec![] }),
            Step::ListStale => {
                self.list_is_stale = true;
                self.handle(Event::WorkerList { kind: ListKind::Stale, entries: vec![] })
            }
            Step::Disconnect { which } => {
                let request = self.some_request(which);
                if let Some(known) = self.requests.get_mut(&request.0) {
                    known.is_answered = true;
                }
                self.handle(Event::ClientDisconnected { request })
            }
            Step::Advance { ms } => self.advance(self.now + Nanos::from(ms) * MS),
            Step::UnknownIds { number } => {
                let request = RequestId(u64::from(number) + 1_000_000);
                let report = Some(free(f64::NAN));
                self.handle(Event::ProbeCompleted { worker: WorkerId(500), outcome: Outcome::Ok, report })?;
                self.handle(Event::Progress { request, attempt: 1 })?;
                self.handle(Event::ClientDisconnected { request })
            }
        }
    }

    fn some_request(&self, which: u16) -> RequestId {
        RequestId(u64::from(which) % self.next_request.max(1))
    }

    fn request(&mut self, step: RequestStep) -> Result<(), TestCaseError> {
        let id = self.next_request;
        self.next_request += 1;
        let time_left = Nanos::from(step.left_ms) * MS;
        let slots = f64::from(step.slots);
        let deadline = self.now + time_left;
        let known = KnownRequest {
            class: step.class as usize,
            deadline,
            slots,
            attempts: vec![],
            is_answered: false,
        };
        self.requests.insert(id, known);
        self.handle(Event::Request(Request {
            class: step.class,
            slots,
            time_left,
            key: step.key.is_multiple_of(2).then_some(u64::from(step.key / 32)),
            tenant: Some(u32::from(step.tenant)),
            ..request(id)
        }))
    }

    fn end_attempt(&mut self, which: u16, outcome: Outcome) -> Result<(), TestCaseError> {
        let mut in_flight: Vec<(u64, usize)> = vec![];
        for (id, request) in &self.requests {
            let attempts = request.attempts.iter().enumerate();
            in_flight.extend(attempts.filter(|(_, attempt)| attempt.in_flight).map(|(n, _)| (*id, n)));
        }
        if in_flight.is_empty() {
            return Ok(());
        }
        let (id, number) = in_flight[which as usize % in_flight.len()];
        let request = self.requests.get_mut(&id).expect("known");
        request.attempts[number].in_flight = false;
        request.attempts[number].may_have_run = !outcome.never_ran();
        request.is_answered |= outcome == Outcome::Ok;
        let request_is_finished = request.is_answered;
        let event = || Event::AttemptEnded {
            request: RequestId(id),
            attempt: number as u32,
            outcome,
            request_is_finished,
            report: None,
        };
        self.handle(event())?;
        if which.is_multiple_of(7) {
            self.handle(event())?; // A duplicate changes nothing.
        }
        Ok(())
    }

    fn end_probe(&mut self, step: ProbeStep) -> Result<(), TestCaseError> {
        if self.probes.is_empty() {
            return Ok(());
        }
        let worker = self.probes.remove(step.which as usize % self.probes.len());
        let report = LoadReport {
            free_slots: Some(f64::from(step.free)),
            queued: Some(f64::from(step.queued)),
            ..LoadReport::default()
        };
        let outcome = if step.ok { Outcome::Ok } else { Outcome::Timeout };
        if step.ok {
            self.confirmed_at.insert(worker, self.now);
        }
        let report = step.ok.then_some(report);
        self.handle(Event::ProbeCompleted { worker: WorkerId(worker), outcome, report })
    }

    fn change_list(&mut self, worker: u32, status: WorkerStatus, restart: bool) -> Result<(), TestCaseError> {
        let entry = self.entry(worker, status, restart && status == WorkerStatus::Ready);
        self.list.insert(worker, entry.clone());
        self.list_is_stale = false;
        self.handle(Event::WorkerList { kind: ListKind::Changes, entries: vec![entry] })
    }

    fn replace_list(&mut self, mask: u8, cached: bool) -> Result<(), TestCaseError> {
        let mut entries = vec![];
        for worker in 0..6 {
            let is_listed = mask >> worker & 1 == 1;
            let status = if is_listed { WorkerStatus::Ready } else { WorkerStatus::Gone };
            let entry = self.entry(worker, status, false);
            self.list.insert(worker, entry.clone());
            if is_listed {
                entries.push(entry);
            }
        }
        self.list_is_stale &= cached;
        let kind = if cached { ListKind::Cached } else { ListKind::Complete };
        self.handle(Event::WorkerList { kind, entries })
    }
}

fn run(allows_hedging: bool, can_probe: bool, steps: Vec<Step>) -> Result<(), TestCaseError> {
    let classes = IDEMPOTENCIES.iter().enumerate().map(|(n, idempotency)| Class {
        deduplication_window: 2 * S,
        late_weight_share: if n % 2 == 0 { 0.3 } else { 0.0 },
        deadline: 6 * S,
        ..class(*idempotency)
    });
    let mut settings = settings(classes.collect());
    settings.allows_hedging = allows_hedging;
    settings.can_probe = can_probe;
    settings.requires_subscription = allows_hedging;
    settings.max_attempts = 3;
    settings.dispatchers = 2;
    settings.tenants = [5.0, 50.0, 50.0].iter().map(|quota| Tenant { quota_per_s: *quota }).collect();
    let mut caller = Caller {
        dispatcher: Dispatcher::new(settings.clone(), 11).expect("settings work"),
        settings,
        now: 10 * S,
        wakes: vec![],
        probes: vec![],
        list: BTreeMap::new(),
        requests: BTreeMap::new(),
        next_request: 0,
        sent_while_warming: BTreeMap::new(),
        list_is_stale: false,
        confirmed_at: BTreeMap::new(),
    };
    caller.step(Step::CompleteList { mask: 0x3f, cached: true })?;
    for step in steps {
        caller.step(step)?;
    }
    caller.advance(caller.now + 10 * S)?;
    prop_assert!(caller.requests.values().all(|request| request.is_answered), "a request was never answered");
    Ok(())
}

#[test]
fn the_four_rules_hold_on_random_legal_sequences() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sequences = (any::<bool>(), prop::bool::weighted(0.8), prop::collection::vec(step(), 1..300));
    runner
        .run(&sequences, |(allows_hedging, can_probe, steps)| run(allows_hedging, can_probe, steps))
        .unwrap();
}
