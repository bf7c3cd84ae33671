//! A fleet in virtual time: real `Dispatcher`s, and stand-ins for workers, discovery and clients.

mod clients;
mod dispatchers;
mod judgement;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use nickelflow_dispatcher::*;

use crate::common::{MS, S};
use crate::deployment::Deployment;

const SECOND: f64 = 1e9;
/// Time from a dispatcher to a worker or back.
const NETWORK_DELAY: Nanos = 2 * MS;
/// Workers renew their load reports this often.
const REPORT_PERIOD: Nanos = S;
/// When workers are replaced; before that the dispatchers measure their traffic.
const REPLACED_AT: Nanos = 10 * S;
/// Jobs that a worker queues at most.
const MAX_QUEUED: usize = 30;
/// Time between two progress reports of a running job, where starts are not notified.
const PROGRESS_INTERVAL: Nanos = 2 * S;
/// Keys that requests have.
const KEYS: usize = 400;
/// Work (s) that counts as none.
const NEGLIGIBLE_WORK: f64 = 1e-8;

/// How traffic comes to the dispatchers, and what becomes of them.
#[derive(Clone)]
pub struct Case {
    pub deployment: Deployment,
    pub dispatchers: u32,
    /// One dispatcher sees five times the mean.
    pub uneven: bool,
    /// A tenth joins, a tenth stops and three tenths restart while workers are warming up.
    pub churn: bool,
    /// Offered work, as a share of what the fleet can do when all are warm.
    pub load: f64,
    /// Whether some keys come far more often than others.
    pub hot_keys: bool,
}

impl Case {
    /// Returns the requests a second of a dispatcher, of so many in total.
    fn rate_of(&self, dispatcher: u32, total: f64) -> f64 {
        let mean = total / f64::from(self.dispatchers);
        let others = f64::from(self.dispatchers - 1);
        match self.uneven {
            true if dispatcher == 0 && self.dispatchers > 5 => 5.0 * mean,
            // One of five can at most have nearly all.
            true if dispatcher == 0 => 0.8 * total,
            true if self.dispatchers > 5 => (total - 5.0 * mean) / others,
            true => 0.2 * total / others,
            false => mean,
        }
    }
}

/// What the warming workers of one or more runs got.
#[derive(Default, Clone, Copy)]
pub struct Figures {
    pub worst_calls: f64,
    pub worst_with_probes: f64,
    /// The same as of calls, of their work against that of a mean request.
    pub worst_work: f64,
    /// Calls, and what all budgets come to.
    pub calls: f64,
    pub allowed: f64,
    /// The same in the first quarter of the time in which they warm up.
    pub early_calls: f64,
    pub early_allowed: f64,
    pub requests: f64,
    pub served: f64,
}

impl Figures {
    pub fn add(&mut self, other: Figures) {
        self.worst_calls = self.worst_calls.max(other.worst_calls);
        self.worst_with_probes = self.worst_with_probes.max(other.worst_with_probes);
        self.worst_work = self.worst_work.max(other.worst_work);
        self.calls += other.calls;
        self.allowed += other.allowed;
        self.early_calls += other.early_calls;
        self.early_allowed += other.early_allowed;
        self.requests += other.requests;
        self.served += other.served;
    }
}

/// What happens in the fleet.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Wake { dispatcher: usize, incarnation: u32 },
    Arrival { dispatcher: usize },
    Retry { client: u64 },
    AttemptArrives { attempt: Attempt },
    Cancel { attempt: Attempt },
    JobsEnd { worker: u32, plan: u64 },
    AttemptEnds { attempt: Attempt, end: AttemptEnd },
    Progress { attempt: Attempt },
    ProbeArrives { dispatcher: usize, incarnation: u32, worker: u32 },
    ProbeEnds { dispatcher: usize, incarnation: u32, worker: u32, free: u32, queued: u32 },
    ReplaceWorkers,
    UpdateLists,
    StopDispatcher { dispatcher: usize },
    StartDispatcher { dispatcher: usize },
}

/// How an attempt ends.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptEnd {
    Served,
    Cancelled,
    Rejected,
}

/// An attempt of a client's request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    dispatcher: usize,
    incarnation: u32,
    client: u64,
    number: u32,
    worker: u32,
}

/// A dispatcher, or its place while it is stopped.
struct DispatcherSlot {
    dispatcher: Option<Dispatcher>,
    incarnation: u32,
    /// Requests a second.
    rate: f64,
}

/// A client with a request.
struct Client {
    class: usize,
    work: f64,
    key: Option<u64>,
    until: Nanos,
    /// The dispatcher that its present request is at.
    at: Option<usize>,
    attempts: u64,
}

/// A load report, which is renewed once in each period.
#[derive(Clone, Copy)]
struct WorkerReport {
    period: Nanos,
    free: u32,
    queued: u32,
}

/// A worker.
struct Machine {
    /// Against others of its kind.
    speed: f64,
    started: Option<Nanos>,
    /// Attempts, and the work of each that is left at `advanced`.
    running: Vec<(Attempt, f64)>,
    advanced: Nanos,
    /// Counts the times that the next end was computed; ends of earlier computations are void.
    plan: u64,
    queue: VecDeque<Attempt>,
    report: WorkerReport,
    phase: Nanos,
    /// Calls, with the mean work of their class: nobody knows the work of one of them.
    calls: Vec<(Nanos, f64)>,
    probes: Vec<Nanos>,
}

/// Dispatchers, workers and clients in virtual time.
pub struct Fleet {
    case: Case,
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    events: BinaryHeap<Reverse<(Nanos, u64, FleetEvent)>>,
    order: u64,
    dispatchers: Vec<DispatcherSlot>,
    machines: Vec<Machine>,
    /// Workers in use.
    used: Vec<u32>,
    /// Workers that are listed.
    listed: Vec<u32>,
    clients: BTreeMap<u64, Client>,
    /// Workers that the attempts of each request were sent to, in order.
    sent: BTreeMap<u64, Vec<u32>>,
    next: u64,
    weights: Vec<f64>,
    seed: u64,
    figures: Figures,
}

impl Fleet {
    pub fn new(case: Case, seed: u64) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (workers, replaced) = (case.deployment.workers, case.deployment.replaced);
        let spread = if case.deployment.lists_kinds { 0.2 } else { 0.0 };
        let machines: Vec<Machine> = (0..workers + replaced)
            .map(|n| Machine {
                speed: 1.0 + spread * (2.0 * rng.f64() - 1.0),
                started: None,
                running: vec![],
                advanced: 0,
                plan: 0,
                queue: VecDeque::new(),
                report: WorkerReport { period: 0, free: case.deployment.kind(n).slots as u32, queued: 0 },
                phase: rng.u64(0..REPORT_PERIOD),
                calls: vec![],
                probes: vec![],
            })
            .collect();
        let capacity: f64 = (0..workers).map(|n| case.deployment.capacity(n)).sum();
        let total = case.load * capacity / case.deployment.mean_work();
        let settings = case.deployment.settings(case.dispatchers, total);
        let dispatchers = (0..case.dispatchers)
            .map(|n| DispatcherSlot { dispatcher: None, incarnation: 0, rate: case.rate_of(n, total) })
            .collect();
        let weight = |n: usize| if case.hot_keys { 1.0 / (n + 1) as f64 } else { 1.0 };
        let mut fleet = Fleet {
            settings,
            now: S,
            events: BinaryHeap::new(),
            order: 0,
            dispatchers,
            machines,
            used: (0..workers).collect(),
            listed: (0..workers).collect(),
            clients: BTreeMap::new(),
            sent: BTreeMap::new(),
            next: 0,
            weights: (0..KEYS).map(weight).collect(),
            seed,
            figures: Figures::default(),
            rng,
            case,
        };
        fleet.begin();
        fleet
    }

    fn schedule(&mut self, at: Nanos, event: FleetEvent) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn begin(&mut self) {
        let count = self.dispatchers.len();
        let tenth = count.div_ceil(10);
        let slow_start = self.settings.limits.slow_start_duration;
        // Of two dispatchers, one restarts.
        let later = if self.case.churn && count > 2 { tenth } else { 0 };
        for n in 0..count {
            let joins = n >= count - later;
            let up = if joins { REPLACED_AT + self.rng.u64(0..slow_start / 2) } else { self.now };
            self.schedule(up, FleetEvent::StartDispatcher { dispatcher: n });
            let first = up + self.gap(n);
            self.schedule(first, FleetEvent::Arrival { dispatcher: n });
        }
        if self.case.churn {
            let dies = if count > 2 { tenth } else { 0 };
            for n in 1..1 + dies {
                let at = REPLACED_AT + self.rng.u64(0..slow_start);
                self.schedule(at, FleetEvent::StopDispatcher { dispatcher: n });
            }
            // Most of those that restart do so together, the others at any time. While discovery is down,
            // most do.
            let tenths = if self.case.deployment.outage_s > 0.0 { 7 } else { 3 };
            let restarts = (tenths * count).div_ceil(10).min(count - dies - later);
            for n in dies + 1..(dies + 1 + restarts).min(count - later) {
                let together = n % 3 != 0;
                let at = REPLACED_AT + if together { S } else { self.rng.u64(0..slow_start) };
                self.schedule(at, FleetEvent::StopDispatcher { dispatcher: n });
                self.schedule(at + S, FleetEvent::StartDispatcher { dispatcher: n });
            }
        }
        self.schedule(REPLACED_AT, FleetEvent::ReplaceWorkers);
    }

    pub fn run(mut self) -> Figures {
        let end = REPLACED_AT + self.settings.limits.slow_start_duration;
        while let Some(Reverse((at, _, event))) = self.events.pop().filter(|Reverse((at, ..))| *at < end) {
            self.now = at;
            self.step(event);
        }
        self.judge(end);
        self.figures
    }

    fn step(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Wake { dispatcher, incarnation } => self.notify(dispatcher, incarnation, Event::Wake),
            FleetEvent::Arrival { dispatcher } => {
                let gap = self.gap(dispatcher);
                self.schedule(self.now + gap, FleetEvent::Arrival { dispatcher });
                self.arrival(dispatcher);
            }
            FleetEvent::Retry { client } => self.submit(client, None),
            FleetEvent::AttemptArrives { attempt } => self.attempt_arrives(attempt),
            FleetEvent::Cancel { attempt } => self.cancel(attempt),
            FleetEvent::JobsEnd { worker, plan } => self.finish(worker, plan),
            FleetEvent::AttemptEnds { attempt, end } => self.attempt_ended(attempt, end),
            FleetEvent::Progress { attempt } => self.report_progress(attempt),
            FleetEvent::ProbeArrives { dispatcher, incarnation, worker } => {
                self.probe(dispatcher, incarnation, worker)
            }
            FleetEvent::ProbeEnds { dispatcher, incarnation, worker, free, queued } => {
                let report = LoadReport {
                    free_slots: Some(f64::from(free)),
                    queued: Some(f64::from(queued)),
                    ..LoadReport::default()
                };
                let (worker, outcome, report) = (WorkerId(worker), Outcome::Ok, Some(report));
                self.notify(dispatcher, incarnation, Event::ProbeCompleted { worker, outcome, report });
            }
            FleetEvent::ReplaceWorkers => self.replace(),
            FleetEvent::UpdateLists => self.update_lists(),
            FleetEvent::StopDispatcher { dispatcher } => self.stop_dispatcher(dispatcher),
            FleetEvent::StartDispatcher { dispatcher } => self.start_dispatcher(dispatcher),
        }
    }
}
