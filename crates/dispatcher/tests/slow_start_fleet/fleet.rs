//! A fleet in virtual time: real `Dispatcher`s, and stand-ins for workers, discovery and clients.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use nickelflow_dispatcher::*;

use crate::common::{self, entry, MS, S};
use crate::deployment::Deployment;

const SECOND: f64 = 1e9;
/// One way between a dispatcher and a worker.
const WAY: Nanos = 2 * MS;
/// A report is as old as this at most.
const REPORT: Nanos = S;
/// The replaced ones start then; before that dispatchers learn their traffic.
const BEGIN: Nanos = 10 * S;
const QUEUE: usize = 30;
/// Between two notes of how far a running job is, where starts are not told.
const PROGRESS: Nanos = 2 * S;
const KEYS: usize = 400;
/// Work (s) that counts as none.
const DONE: f64 = 1e-8;

/// How traffic comes to the dispatchers, and what becomes of them.
#[derive(Clone)]
pub struct Case {
    pub deployment: Deployment,
    pub dispatchers: u32,
    /// One dispatcher sees five times the mean.
    pub uneven: bool,
    /// A tenth joins, a tenth dies and three tenths restart while workers are cold.
    pub churn: bool,
    /// Offered work, as a part of what the fleet can do when all are warm.
    pub load: f64,
    /// Whether some keys come far more often than others.
    pub hot_keys: bool,
}

/// What the cold workers of one or more runs got.
#[derive(Default, Clone, Copy)]
pub struct Figures {
    pub worst_calls: f64,
    pub worst_with_probes: f64,
    /// The same as of calls, of their work against that of a mean request.
    pub worst_work: f64,
    /// Calls, and what all budgets come to.
    pub calls: f64,
    pub allowed: f64,
    /// The same in the first quarter of the time in which they are cold.
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

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake { dispatcher: usize, life: u32 },
    Arrival { dispatcher: usize },
    Again { client: u64 },
    Reach { attempt: Attempt },
    Cancel { attempt: Attempt },
    Finish { worker: u32, plan: u64 },
    Back { attempt: Attempt, outcome: u8 },
    Started { attempt: Attempt },
    Probe { dispatcher: usize, life: u32, worker: u32 },
    Probed { dispatcher: usize, life: u32, worker: u32, free: u32, queued: u32 },
    Replace,
    Tell,
    Down { dispatcher: usize },
    Up { dispatcher: usize },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    dispatcher: usize,
    life: u32,
    client: u64,
    number: u32,
    worker: u32,
}

struct Seat {
    dispatcher: Option<Dispatcher>,
    life: u32,
    /// Requests a second.
    rate: f64,
}

struct Client {
    class: usize,
    work: f64,
    key: Option<u64>,
    until: Nanos,
    /// Where its present try is, and under which number.
    at: Option<usize>,
    tries: u64,
}

struct Machine {
    /// Against others of its kind.
    speed: f64,
    started: Option<Nanos>,
    /// Attempts, and the work of each that is left at `advanced`; `plan` counts the times that ends were foreseen.
    running: Vec<(Attempt, f64)>,
    advanced: Nanos,
    plan: u64,
    queue: VecDeque<Attempt>,
    reported: (Nanos, u32, u32),
    phase: Nanos,
    /// Calls, with the mean work of their class: nobody knows the work of one of them.
    calls: Vec<(Nanos, f64)>,
    probes: Vec<Nanos>,
}

pub struct Fleet {
    case: Case,
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    due: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    order: u64,
    seats: Vec<Seat>,
    machines: Vec<Machine>,
    /// Those in use, and those that the list tells.
    used: Vec<u32>,
    listed: Vec<u32>,
    clients: BTreeMap<u64, Client>,
    /// Where the attempts of each request went, in order.
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
        let spread = if case.deployment.tells_kinds { 0.2 } else { 0.0 };
        let machines: Vec<Machine> = (0..workers + replaced)
            .map(|n| Machine {
                speed: 1.0 + spread * (2.0 * rng.f64() - 1.0),
                started: None,
                running: vec![],
                advanced: 0,
                plan: 0,
                queue: VecDeque::new(),
                reported: (0, case.deployment.kind(n).slots as u32, 0),
                phase: rng.u64(0..REPORT),
                calls: vec![],
                probes: vec![],
            })
            .collect();
        let capacity: f64 = (0..workers).map(|n| case.deployment.capacity(n)).sum();
        let total = case.load * capacity / case.deployment.mean_work();
        let settings = case.deployment.settings(case.dispatchers, total);
        let mean = total / f64::from(case.dispatchers);
        let others = f64::from(case.dispatchers - 1);
        let seats = (0..case.dispatchers).map(|n| Seat {
            dispatcher: None,
            life: 0,
            rate: match case.uneven {
                true if n == 0 && case.dispatchers > 5 => 5.0 * mean,
                // Of five one can at most have nearly all.
                true if n == 0 => 0.8 * total,
                true if case.dispatchers > 5 => (total - 5.0 * mean) / others,
                true => 0.2 * total / others,
                false => mean,
            },
        });
        let seats = seats.collect();
        let weight = |n: usize| if case.hot_keys { 1.0 / (n + 1) as f64 } else { 1.0 };
        let mut fleet = Fleet {
            settings,
            now: S,
            due: BinaryHeap::new(),
            order: 0,
            seats,
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

    fn at(&mut self, at: Nanos, what: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, what)));
    }

    fn begin(&mut self) {
        let count = self.seats.len();
        let tenth = count.div_ceil(10);
        let cold = self.settings.limits.slow_start_duration;
        // With two, one restarts.
        let later = if self.case.churn && count > 2 { tenth } else { 0 };
        for n in 0..count {
            let joins = n >= count - later;
            let up = if joins { BEGIN + self.rng.u64(0..cold / 2) } else { self.now };
            self.at(up, Due::Up { dispatcher: n });
            let first = up + self.gap(n);
            self.at(first, Due::Arrival { dispatcher: n });
        }
        if self.case.churn {
            let dies = if count > 2 { tenth } else { 0 };
            for n in 1..1 + dies {
                let at = BEGIN + self.rng.u64(0..cold);
                self.at(at, Due::Down { dispatcher: n });
            }
            // Most of those that restart do so together, the others at any time. While discovery is down, most do.
            let tenths = if self.case.deployment.outage_s > 0.0 { 7 } else { 3 };
            let restarts = (tenths * count).div_ceil(10).min(count - dies - later);
            for n in dies + 1..(dies + 1 + restarts).min(count - later) {
                let together = n % 3 != 0;
                let at = BEGIN + if together { S } else { self.rng.u64(0..cold) };
                self.at(at, Due::Down { dispatcher: n });
                self.at(at + S, Due::Up { dispatcher: n });
            }
        }
        self.at(BEGIN, Due::Replace);
    }

    fn gap(&mut self, dispatcher: usize) -> Nanos {
        let rate = self.seats[dispatcher].rate;
        (-(1.0 - self.rng.f64()).ln() / rate * SECOND) as Nanos + 1
    }

    fn entries(&self) -> Vec<WorkerEntry> {
        let kind = |n: u32| if self.case.deployment.tells_kinds { n % 2 } else { 0 };
        let of = |n: &u32| WorkerEntry {
            started: self.machines[*n as usize].started,
            kind: kind(*n),
            ..entry(*n)
        };
        self.listed.iter().map(of).collect()
    }

    pub fn run(mut self) -> Figures {
        let end = BEGIN + self.settings.limits.slow_start_duration;
        while let Some(Reverse((at, _, due))) = self.due.pop().filter(|Reverse((at, ..))| *at < end) {
            self.now = at;
            self.step(due);
        }
        self.judge(end);
        self.figures
    }

    #[allow(clippy::too_many_lines)] // Left over: to be split.
    fn step(&mut self, due: Due) {
        match due {
            Due::Wake { dispatcher, life } => self.tell(dispatcher, life, Event::Wake),
            Due::Arrival { dispatcher } => {
                let gap = self.gap(dispatcher);
                self.at(self.now + gap, Due::Arrival { dispatcher });
                self.arrival(dispatcher);
            }
            Due::Again { client } => self.ask(client, None),
            Due::Reach { attempt } => self.reach(attempt),
            Due::Cancel { attempt } => {
                self.advance(attempt.worker);
                let machine = &mut self.machines[attempt.worker as usize];
                let before = machine.running.len() + machine.queue.len();
                machine.running.retain(|(a, _)| *a != attempt);
                machine.queue.retain(|a| *a != attempt);
                if machine.running.len() + machine.queue.len() < before {
                    self.at(self.now + WAY, Due::Back { attempt, outcome: 1 });
                }
                self.start(attempt.worker);
            }
            Due::Finish { worker, plan } => {
                if self.machines[worker as usize].plan == plan {
                    self.advance(worker);
                    let machine = &mut self.machines[worker as usize];
                    let done: Vec<Attempt> =
                        machine.running.iter().filter(|(_, left)| *left <= DONE).map(|(a, _)| *a).collect();
                    machine.running.retain(|(_, left)| *left > DONE);
                    for attempt in done {
                        self.at(self.now + WAY, Due::Back { attempt, outcome: 0 });
                    }
                    self.start(worker);
                }
            }
            Due::Back { attempt, outcome } => {
                let outcome = [Outcome::Ok, Outcome::Cancelled, Outcome::Rejected][outcome as usize];
                let finished = outcome == Outcome::Ok;
                let here = self.seats[attempt.dispatcher].life == attempt.life;
                if finished && here && self.clients.remove(&(attempt.client >> 8)).is_some() {
                    self.figures.served += 1.0;
                }
                let request = RequestId(attempt.client);
                let event =
                    Event::AttemptEnded { request, attempt: attempt.number, outcome, finished, report: None };
                self.tell(attempt.dispatcher, attempt.life, event);
            }
            Due::Started { attempt } => {
                let event = Event::Progress { request: RequestId(attempt.client), attempt: attempt.number };
                let machine = &self.machines[attempt.worker as usize];
                if self.settings.notifies_job_start {
                    self.tell(attempt.dispatcher, attempt.life, event);
                } else if machine.running.iter().any(|(running, _)| *running == attempt) {
                    // Not of a start, but of how far it is.
                    self.tell(attempt.dispatcher, attempt.life, event);
                    self.at(self.now + PROGRESS, Due::Started { attempt });
                }
            }
            Due::Probe { dispatcher, life, worker } => {
                let (free, queued) = self.report(worker);
                let machine = &mut self.machines[worker as usize];
                machine.probes.push(self.now);
                self.at(self.now + WAY, Due::Probed { dispatcher, life, worker, free, queued });
            }
            Due::Probed { dispatcher, life, worker, free, queued } => {
                let report = LoadReport {
                    free_slots: Some(f64::from(free)),
                    queued: Some(f64::from(queued)),
                    ..LoadReport::default()
                };
                let (worker, outcome, report) = (WorkerId(worker), Outcome::Ok, Some(report));
                self.tell(dispatcher, life, Event::ProbeCompleted { worker, outcome, report });
            }
            Due::Replace => self.replace(),
            Due::Tell => self.tell_all(),
            Due::Down { dispatcher } => {
                self.seats[dispatcher].dispatcher = None;
                self.seats[dispatcher].life += 1;
                // Its clients notice, and come again elsewhere.
                let left = self.clients.iter_mut().filter(|(_, c)| c.at == Some(dispatcher));
                let left: Vec<u64> = left.map(|(id, c)| (c.at = None, *id).1).collect();
                for client in left {
                    let at = self.now + self.rng.u64(100 * MS..500 * MS);
                    self.at(at, Due::Again { client });
                }
            }
            Due::Up { dispatcher } => {
                let made = Dispatcher::new(self.settings.clone(), self.rng.u64(..)).expect("settings work");
                self.seats[dispatcher].dispatcher = Some(made);
                let entries = self.entries();
                let life = self.seats[dispatcher].life;
                self.tell(dispatcher, life, Event::WorkerList { kind: ListKind::Complete, entries });
            }
        }
    }

    /// Some of the workers go and cold ones come in their places; all dispatchers are told at once.
    fn replace(&mut self) {
        let Deployment { workers, replaced, outage_s, .. } = self.case.deployment;
        self.used = (replaced..workers + replaced).collect();
        for worker in workers..workers + replaced {
            self.machines[worker as usize].started = Some(self.now);
        }
        self.at(self.now + (outage_s * SECOND) as Nanos, Due::Tell);
    }

    fn tell_all(&mut self) {
        self.listed = self.used.clone();
        for dispatcher in 0..self.seats.len() {
            let entries = self.entries();
            let life = self.seats[dispatcher].life;
            self.tell(dispatcher, life, Event::WorkerList { kind: ListKind::Complete, entries });
        }
    }

    fn arrival(&mut self, dispatcher: usize) {
        let mut drawn = self.rng.f64() * self.weights.iter().sum::<f64>();
        let key = self.weights.iter().position(|w| {
            drawn -= w;
            drawn < 0.0
        });
        let class = self.case.deployment.draw_class(&mut self.rng);
        let job = &self.case.deployment.classes[class];
        let work = job.work.draw(&mut self.rng);
        let until = self.now + (job.deadline_s * SECOND) as Nanos;
        let key = key.unwrap_or(0) as u64 + 1_000 * self.seed;
        let key = self.case.deployment.has_keys.then_some(key);
        let client = self.next;
        self.next += 1;
        self.figures.requests += 1.0;
        self.clients.insert(client, Client { class, work, key, until, at: None, tries: 0 });
        self.ask(client, Some(dispatcher));
    }

    /// A client's try, at a dispatcher if that is up, else at another one.
    fn ask(&mut self, id: u64, at: Option<usize>) {
        let up = |n: &usize| self.seats[*n].dispatcher.is_some();
        let all: Vec<usize> = (0..self.seats.len()).filter(up).collect();
        let at = at.filter(up).unwrap_or_else(|| all[self.rng.usize(0..all.len())]);
        let Some(client) = self.clients.get_mut(&id) else { return };
        if self.now + 50 * MS > client.until || client.tries == 255 {
            self.clients.remove(&id);
            return;
        }
        client.tries += 1;
        client.at = Some(at);
        let request = Request {
            id: RequestId(id << 8 | client.tries),
            class: client.class as u32,
            key: client.key.map(|key| key.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            time_left: client.until - self.now,
            is_retry: client.tries > 1,
            ..common::request(0)
        };
        let life = self.seats[at].life;
        self.tell(at, life, Event::Request(request));
    }

    fn tell(&mut self, dispatcher: usize, life: u32, event: Event) {
        let seat = &mut self.seats[dispatcher];
        if seat.life != life {
            return;
        }
        let Some(decisions) = &mut seat.dispatcher else { return };
        let mut actions = vec![];
        decisions.handle(self.now, event, &mut actions);
        for action in actions {
            let reach = self.now + WAY;
            match action {
                Action::Wake { at } => self.at(at, Due::Wake { dispatcher, life }),
                Action::Send { request, worker, .. } => {
                    let number = self.attempts(request);
                    let attempt = Attempt { dispatcher, life, client: request.0, number, worker: worker.0 };
                    self.sent.entry(request.0).or_default().push(worker.0);
                    self.at(reach, Due::Reach { attempt });
                }
                Action::Cancel { request, attempt: number } => {
                    let worker = self.sent[&request.0][number as usize];
                    let attempt = Attempt { dispatcher, life, client: request.0, number, worker };
                    self.at(reach, Due::Cancel { attempt });
                }
                Action::Probe { worker } => {
                    self.at(reach, Due::Probe { dispatcher, life, worker: worker.0 });
                }
                Action::Reject { request, retry_after } => self.turned_away(request, retry_after),
                Action::Fail { request } => self.turned_away(request, 100 * MS),
                Action::Subscribe => {}
            }
        }
    }

    fn attempts(&self, request: RequestId) -> u32 {
        self.sent.get(&request.0).map_or(0, |sent| sent.len() as u32)
    }

    fn turned_away(&mut self, request: RequestId, wait: Nanos) {
        let id = request.0 >> 8;
        if let Some(client) = self.clients.get_mut(&id) {
            client.at = None;
            self.at(self.now + wait.max(10 * MS), Due::Again { client: id });
        }
    }

    fn warmth(&self, worker: u32, at: Nanos) -> f64 {
        let contract = &self.settings.limits;
        let Some(started) = self.machines[worker as usize].started else { return 1.0 };
        let age = at.saturating_sub(started) as f64 / contract.slow_start_duration as f64;
        (contract.slow_start_initial_share + (1.0 - contract.slow_start_initial_share) * age).min(1.0)
    }

    fn work_of(&self, attempt: Attempt) -> f64 {
        let client = self.clients.get(&(attempt.client >> 8));
        client.map_or(self.case.deployment.mean_work(), |client| client.work)
    }

    fn reach(&mut self, attempt: Attempt) {
        let classes = &self.case.deployment.classes;
        let client = self.clients.get(&(attempt.client >> 8));
        let work = client
            .map_or_else(|| self.case.deployment.mean_work(), |client| classes[client.class].work.mean());
        let machine = &mut self.machines[attempt.worker as usize];
        machine.calls.push((self.now, work));
        if !self.used.contains(&attempt.worker) || machine.queue.len() >= QUEUE {
            self.at(self.now + WAY, Due::Back { attempt, outcome: 2 });
            return;
        }
        machine.queue.push_back(attempt);
        self.advance(attempt.worker);
        self.start(attempt.worker);
    }

    /// Work a second that each running job of a worker gets.
    fn pace(&self, worker: u32) -> f64 {
        let machine = &self.machines[worker as usize];
        let kind = self.case.deployment.kind(worker);
        let each = (kind.cores / machine.running.len().max(1) as f64).min(1.0);
        (kind.speed * machine.speed * self.warmth(worker, self.now) * each).max(1e-6)
    }

    /// What a worker's running jobs have done since.
    fn advance(&mut self, worker: u32) {
        let pace = self.pace(worker);
        let machine = &mut self.machines[worker as usize];
        let done = (self.now - machine.advanced) as f64 / SECOND * pace;
        machine.running.iter_mut().for_each(|(_, left)| *left -= done);
        machine.advanced = self.now;
    }

    /// Starts what waits at a worker, and foresees the next end.
    fn start(&mut self, worker: u32) {
        let slots = self.case.deployment.kind(worker).slots;
        while self.machines[worker as usize].running.len() < slots {
            let Some(attempt) = self.machines[worker as usize].queue.pop_front() else { break };
            let work = self.work_of(attempt);
            self.machines[worker as usize].running.push((attempt, work));
            let first = if self.settings.notifies_job_start { WAY } else { PROGRESS };
            self.at(self.now + first, Due::Started { attempt });
        }
        let pace = self.pace(worker);
        let machine = &mut self.machines[worker as usize];
        machine.plan += 1;
        let plan = machine.plan;
        let least = machine.running.iter().map(|(_, left)| *left).min_by(f64::total_cmp);
        if let Some(least) = least {
            let took = (least.max(0.0) / pace * SECOND) as Nanos + 1;
            // While a worker warms up its pace rises: looked at again.
            let at = self.now + took.min(250 * MS);
            self.at(at, Due::Finish { worker, plan });
        }
    }

    /// Free slots and queue as they were when the report was last made.
    fn report(&mut self, worker: u32) -> (u32, u32) {
        let machine = &mut self.machines[worker as usize];
        let period = (self.now + machine.phase) / REPORT;
        if machine.reported.0 != period {
            let free = self.case.deployment.kind(worker).slots.saturating_sub(machine.running.len());
            machine.reported = (period, free as u32, machine.queue.len() as u32);
        }
        (machine.reported.1, machine.reported.2)
    }

    fn judge(&mut self, end: Nanos) {
        let deployment = &self.case.deployment;
        let fall = self.settings.limits.overload_duration;
        for worker in deployment.workers..deployment.workers + deployment.replaced {
            let machine = &self.machines[worker as usize];
            let most =
                deployment.fall_multiple * machine.speed * deployment.capacity(worker) * deployment.fall_s
                    / deployment.mean_work();
            let worst = |calls: &[(Nanos, f64)]| {
                let mut after = 0;
                let (mut worst, mut sum) = (f64::MIN, 0.0);
                for (from, counted) in calls {
                    while after < calls.len() && calls[after].0 < from + fall {
                        sum += calls[after].1;
                        after += 1;
                    }
                    let allowed = most * self.warmth(worker, *from);
                    worst = worst.max((sum - allowed) / (2.0 * allowed.sqrt() + 2.0));
                    sum -= counted;
                }
                worst
            };
            let calls: Vec<(Nanos, f64)> = machine.calls.iter().map(|(at, _)| (*at, 1.0)).collect();
            let mean_work = deployment.mean_work();
            let works: Vec<(Nanos, f64)> =
                machine.calls.iter().map(|(at, work)| (*at, work / mean_work)).collect();
            let probes = machine.probes.iter().map(|at| (*at, 1.0));
            let mut both: Vec<(Nanos, f64)> = calls.iter().copied().chain(probes).collect();
            both.sort_unstable_by_key(|(at, _)| *at);
            let early = BEGIN + (end - BEGIN) / 4;
            let allowed = |from: Nanos, to: Nanos| {
                most * self.warmth(worker, from.midpoint(to)) * (to - from) as f64 / fall as f64
            };
            let figures = Figures {
                worst_calls: worst(&calls),
                worst_work: worst(&works),
                worst_with_probes: worst(&both),
                calls: machine.calls.len() as f64,
                allowed: allowed(BEGIN, end),
                early_calls: machine.calls.iter().filter(|(at, _)| *at < early).count() as f64,
                early_allowed: allowed(BEGIN, early),
                ..Figures::default()
            };
            self.figures.add(figures);
        }
    }
}
