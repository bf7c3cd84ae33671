//! Random legal event sequences with adversarial outcomes; the four rules are checked on the actions alone.

mod common;

use std::collections::BTreeMap;

use common::*;
use nickelflow_dispatcher::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Step {
    Ask { class: u32, slots: u8, left: u16, key: u8, tenant: u8 },
    Outcome { which: u16, outcome: u8 },
    Progress { which: u16 },
    Probe { which: u16, ok: bool, free: u8, queued: u8 },
    List { worker: u8, membership: u8, restart: bool },
    Whole { mask: u8, saved: bool },
    ListFailed,
    Stale,
    Gone { which: u16 },
    Pass { ms: u16 },
    Nonsense { number: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4u32, 1..5u8, 20..6000u16, any::<u8>(), 0..4u8)
            .prop_map(|(class, slots, left, key, tenant)| Step::Ask { class, slots, left, key, tenant }),
        6 => (any::<u16>(), 0..8u8).prop_map(|(which, outcome)| Step::Outcome { which, outcome }),
        2 => any::<u16>().prop_map(|which| Step::Progress { which }),
        6 => (any::<u16>(), prop::bool::weighted(0.9), 0..9u8, 0..5u8)
            .prop_map(|(which, ok, free, queued)| Step::Probe { which, ok, free, queued }),
        1 => (0..6u8, 0..3u8, any::<bool>())
            .prop_map(|(worker, membership, restart)| Step::List { worker, membership, restart }),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(mask, saved)| Step::Whole { mask, saved }),
        1 => Just(Step::ListFailed),
        1 => Just(Step::Stale),
        1 => any::<u16>().prop_map(|which| Step::Gone { which }),
        6 => (0..400u16).prop_map(|ms| Step::Pass { ms }),
        1 => any::<u16>().prop_map(|number| Step::Nonsense { number }),
    ]
}

const EFFECTS: [Idempotency; 4] = [
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

struct Try {
    worker: u32,
    sent: Nanos,
    out: bool,
    maybe: bool,
}

struct Taken {
    class: usize,
    deadline: Nanos,
    slots: f64,
    tries: Vec<Try>,
    over: bool,
}

/// The caller's side: what it told the dispatcher, and what the rules allow it to do.
struct World {
    dispatcher: Dispatcher,
    settings: Settings,
    now: Nanos,
    wakes: Vec<Nanos>,
    probes: Vec<u32>,
    list: BTreeMap<u32, WorkerEntry>,
    taken: BTreeMap<u64, Taken>,
    next: u64,
    /// Slots sent to each cold worker since its start, with their times.
    cold: BTreeMap<u32, Vec<(Nanos, f64)>>,
    /// Whether the list may be stale, and when each worker last said that it takes work.
    stale: bool,
    words: BTreeMap<u32, Nanos>,
}

fn line(worker: u32) -> WorkerEntry {
    WorkerEntry { zone: worker % 2, cell: worker / 2, ..entry(worker) }
}

impl World {
    fn event(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut actions = vec![];
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Wake { at } => self.wakes.push(at),
                Action::Probe { worker } => {
                    prop_assert!(self.list.contains_key(&worker.0), "probed a worker that is on no list");
                    self.probes.push(worker.0);
                }
                Action::Subscribe => prop_assert!(self.settings.requires_subscription),
                Action::Send { request, worker, .. } => self.sent(request.0, worker.0)?,
                Action::Reject { request, .. } => {
                    let taken = &self.taken[&request.0];
                    let harmless = match EFFECTS[taken.class] {
                        Idempotency::Idempotent => true,
                        _ => taken.tries.iter().all(|t| !t.maybe),
                    };
                    prop_assert!(harmless, "refused what may have run");
                    self.answered(request.0)?;
                }
                Action::Fail { request } => self.answered(request.0)?,
                Action::Cancel { request, attempt } => {
                    prop_assert!((attempt as usize) < self.taken[&request.0].tries.len());
                }
            }
        }
        Ok(())
    }

    fn answered(&mut self, id: u64) -> Result<(), TestCaseError> {
        let now = self.now;
        let taken = self.taken.get_mut(&id).expect("known");
        prop_assert!(!taken.over, "a second final answer");
        prop_assert!(now <= taken.deadline, "answered too late");
        taken.over = true;
        Ok(())
    }

    fn sent(&mut self, id: u64, worker: u32) -> Result<(), TestCaseError> {
        let entry = self.list.get(&worker).cloned();
        prop_assert!(
            entry.as_ref().is_some_and(|e| e.status == WorkerStatus::Ready),
            "sent to a worker that drains or is gone"
        );
        let word = self.words.get(&worker).copied();
        let fresh = word.is_some_and(|at| self.now <= at + S);
        prop_assert!(fresh || !self.stale, "sent by a list that may be stale");
        let entry = entry.expect("listed");
        let list = &self.list;
        let (now, settings) = (self.now, &self.settings);
        let taken = self.taken.get_mut(&id).expect("known");
        prop_assert!(!taken.over, "sent after the end");
        prop_assert!(taken.tries.len() < settings.max_attempts as usize, "too many attempts");
        prop_assert!(settings.allows_hedging || taken.tries.iter().all(|t| !t.out), "two attempts at once");
        for t in taken.tries.iter().filter(|t| t.maybe) {
            let first = list.get(&t.worker).cloned().unwrap_or_else(|| line(t.worker));
            match EFFECTS[taken.class] {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    prop_assert!(false, "an unsafe request that may have run was sent again")
                }
                Idempotency::IdempotentWithKey(group) => {
                    let same = match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.zone == entry.zone,
                        DeduplicationScope::Cell => first.cell == entry.cell,
                    };
                    prop_assert!(same, "sent outside its group");
                    prop_assert!(
                        now <= t.sent + settings.classes[taken.class].deduplication_window,
                        "sent after its window"
                    );
                }
            }
        }
        taken.tries.push(Try { worker, sent: now, out: true, maybe: true });
        let contract = &settings.limits;
        if entry.started.is_some_and(|s| now < s + contract.slow_start_duration) {
            // The least that a job may count is not known; one attempt in flight of the smallest budget is
            // always allowed, and beyond it the rate of the whole fleet's budget binds.
            let sends = self.cold.entry(worker).or_default();
            sends.push((now, taken.slots));
            let age = (now - entry.started.unwrap_or(now)) as f64 / contract.slow_start_duration as f64;
            let capacity =
                9.0 * (contract.slow_start_initial_share + (1.0 - contract.slow_start_initial_share) * age);
            let window: f64 = sends
                .iter()
                .filter(|(at, _)| at + contract.overload_duration > now)
                .map(|(_, slots)| slots * 0.02)
                .sum();
            prop_assert!(window <= contract.overload_multiple * capacity, "a cold worker was pushed over");
        }
        Ok(())
    }

    fn pass(&mut self, until: Nanos) -> Result<(), TestCaseError> {
        while let Some(at) = self.wakes.iter().copied().filter(|at| *at <= until).min() {
            self.wakes.retain(|w| *w > at);
            self.now = self.now.max(at);
            self.event(Event::Wake)?;
        }
        self.now = self.now.max(until);
        for (id, taken) in &self.taken {
            prop_assert!(taken.over || self.now <= taken.deadline, "request {} was not answered in time", id);
        }
        Ok(())
    }

    fn entry(&mut self, worker: u32, membership: WorkerStatus, restart: bool) -> WorkerEntry {
        let old = self.list.get(&worker).and_then(|e| e.started);
        if restart {
            self.cold.remove(&worker);
        }
        let started = if restart { Some(self.now) } else { old };
        WorkerEntry { status: membership, started, ..line(worker) }
    }

    #[allow(clippy::too_many_lines)] // Left over: to be split.
    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Ask { class, slots, left, key, tenant } => {
                let id = self.next;
                self.next += 1;
                let left = Nanos::from(left) * MS;
                let slots = f64::from(slots);
                let deadline = self.now + left;
                let taken = Taken { class: class as usize, deadline, slots, tries: vec![], over: false };
                self.taken.insert(id, taken);
                self.event(Event::Request(Request {
                    class,
                    slots,
                    time_left: left,
                    key: (key % 2 == 0).then_some(u64::from(key / 32)),
                    tenant: Some(u32::from(tenant)),
                    ..request(id)
                }))?;
            }
            Step::Outcome { which, outcome } => {
                let mut out: Vec<(u64, usize)> = vec![];
                for (id, taken) in &self.taken {
                    out.extend(taken.tries.iter().enumerate().filter(|(_, t)| t.out).map(|(n, _)| (*id, n)));
                }
                if out.is_empty() {
                    return Ok(());
                }
                let (id, number) = out[which as usize % out.len()];
                let outcome = OUTCOMES[outcome as usize];
                let taken = self.taken.get_mut(&id).expect("known");
                taken.tries[number].out = false;
                taken.tries[number].maybe = !outcome.never_ran();
                taken.over |= outcome == Outcome::Ok;
                let finished = taken.over;
                let event = || Event::AttemptEnded {
                    request: RequestId(id),
                    attempt: number as u32,
                    outcome,
                    finished,
                    report: None,
                };
                self.event(event())?;
                if which % 7 == 0 {
                    self.event(event())?; // A duplicate changes nothing.
                }
            }
            Step::Progress { which } => {
                let id = u64::from(which) % self.next.max(1);
                self.event(Event::Progress { request: RequestId(id), attempt: 0 })?;
            }
            Step::Probe { which, ok, free, queued } => {
                if self.probes.is_empty() {
                    return Ok(());
                }
                let worker = self.probes.remove(which as usize % self.probes.len());
                let report = LoadReport {
                    free_slots: Some(f64::from(free)),
                    queued: Some(f64::from(queued)),
                    ..LoadReport::default()
                };
                let outcome = if ok { Outcome::Ok } else { Outcome::Timeout };
                if ok {
                    self.words.insert(worker, self.now);
                }
                self.event(Event::ProbeCompleted {
                    worker: WorkerId(worker),
                    outcome,
                    report: ok.then_some(report),
                })?;
            }
            Step::List { worker, membership, restart } => {
                let worker = u32::from(worker);
                let membership =
                    [WorkerStatus::Ready, WorkerStatus::Draining, WorkerStatus::Gone][membership as usize];
                let entry = self.entry(worker, membership, restart && membership == WorkerStatus::Ready);
                self.list.insert(worker, entry.clone());
                self.stale = false;
                self.event(Event::WorkerList { kind: ListKind::Changes, entries: vec![entry] })?;
            }
            Step::Whole { mask, saved } => {
                let mut entries = vec![];
                for worker in 0..6 {
                    let there = mask >> worker & 1 == 1;
                    let membership = if there { WorkerStatus::Ready } else { WorkerStatus::Gone };
                    let entry = self.entry(worker, membership, false);
                    self.list.insert(worker, entry.clone());
                    if there {
                        entries.push(entry);
                    }
                }
                self.stale &= saved;
                let kind = if saved { ListKind::Cached } else { ListKind::Complete };
                self.event(Event::WorkerList { kind, entries })?;
            }
            Step::ListFailed if !self.settings.requires_subscription => {}
            Step::ListFailed => self.event(Event::WorkerList { kind: ListKind::Failed, entries: vec![] })?,
            Step::Stale => {
                self.stale = true;
                self.event(Event::WorkerList { kind: ListKind::Stale, entries: vec![] })?;
            }
            Step::Gone { which } => {
                let id = u64::from(which) % self.next.max(1);
                if let Some(taken) = self.taken.get_mut(&id) {
                    taken.over = true;
                }
                self.event(Event::ClientDisconnected { request: RequestId(id) })?;
            }
            Step::Pass { ms } => self.pass(self.now + Nanos::from(ms) * MS)?,
            Step::Nonsense { number } => {
                let request = RequestId(u64::from(number) + 1_000_000);
                let report = Some(free(f64::NAN));
                self.event(Event::ProbeCompleted { worker: WorkerId(500), outcome: Outcome::Ok, report })?;
                self.event(Event::Progress { request, attempt: 1 })?;
                self.event(Event::ClientDisconnected { request })?;
            }
        }
        Ok(())
    }
}

fn run(parallel: bool, probing: bool, steps: Vec<Step>) -> Result<(), TestCaseError> {
    let classes = EFFECTS.iter().enumerate().map(|(n, e)| Class {
        deduplication_window: 2 * S,
        late_weight_share: if n % 2 == 0 { 0.3 } else { 0.0 },
        deadline: 6 * S,
        ..class(*e)
    });
    let mut settings = settings(classes.collect());
    settings.allows_hedging = parallel;
    settings.can_probe = probing;
    settings.requires_subscription = parallel;
    settings.max_attempts = 3;
    settings.dispatchers = 2;
    settings.tenants = [5.0, 50.0, 50.0].iter().map(|q| Tenant { quota_per_s: *q }).collect();
    let mut world = World {
        dispatcher: Dispatcher::new(settings.clone(), 11).expect("settings work"),
        settings,
        now: 10 * S,
        wakes: vec![],
        probes: vec![],
        list: BTreeMap::new(),
        taken: BTreeMap::new(),
        next: 0,
        cold: BTreeMap::new(),
        stale: false,
        words: BTreeMap::new(),
    };
    world.step(Step::Whole { mask: 0x3f, saved: true })?;
    for step in steps {
        world.step(step)?;
    }
    world.pass(world.now + 10 * S)?;
    prop_assert!(world.taken.values().all(|t| t.over), "a request was never answered");
    Ok(())
}

#[test]
fn the_four_rules_hold_on_random_legal_sequences() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sequences = (any::<bool>(), prop::bool::weighted(0.8), prop::collection::vec(step(), 1..300));
    runner.run(&sequences, |(parallel, probing, steps)| run(parallel, probing, steps)).unwrap();
}
