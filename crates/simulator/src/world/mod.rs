//! The world: schedulers, machines, clients, network, discovery and faults on one queue of events in virtual
//! time.
//!
//! Events are taken in the order of their times, and at one time in the order in which they were asked for, so
//! that a run is a function of its scenario, seed and policy alone. Each event is fed to a digest; two runs
//! that agree in it have gone the same way.

mod clients;
mod faults;
mod machines;
mod schedulers;

use std::collections::VecDeque;

use fnv::FnvHashMap;
use nickelflow_dispatcher::Settings;
use slab::Slab;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::archive::Archive;
use crate::audit::{Auditor, Law, Repeat, Verdict};
use crate::discovery::{Discovery, Listing};
use crate::fleet::{self, Pressure};
use crate::policy::{self, Kind, Order, Policy, Truth};
use crate::queue::Queue;
use crate::random::{self, Concern, Random};
use crate::record::{Line, Record, Standing};
use crate::scenario::{Direction, Repeats, Scenario};
use crate::stats::{Stats, Summary};
use crate::time::{millis, seconds, Nanos, MS, SECOND};
use crate::traffic::{Arrival, Traffic};
use crate::worker::{AttemptId, Effect, Load, Worker};

/// What is to happen.
#[derive(Clone, Copy, Debug)]
enum Ev {
    Arrive,
    Retry { waiting: u32 },
    Enter { job: u64 },
    Leave { job: u64 },
    Deadline { job: u64 },
    Overdue { job: u64 },
    Heard { job: u64 },
    Wake { scheduler: u32, boot: u32 },
    Until { id: AttemptId },
    Reach { id: AttemptId },
    Close { id: AttemptId, worker: u32 },
    Note { id: AttemptId },
    Progress { id: AttemptId, worker: u32 },
    Back { id: AttemptId, ending: crate::record::Ending },
    Due { worker: u32 },
    Fetched { id: AttemptId, worker: u32 },
    ProbeReach { probe: u32 },
    ProbeBack { probe: u32 },
    Refresh { worker: u32 },
    Publish,
    Ask { scheduler: u32, boot: u32 },
    News { scheduler: u32, boot: u32 },
    Failed { scheduler: u32, boot: u32 },
    Fault { fault: u32, step: u32 },
    Machine { worker: u32, fault: u32, step: u32 },
    Boot { scheduler: u32 },
    Kill { scheduler: u32 },
    Unfront { scheduler: u32, boot: u32 },
    Second,
}

impl Ev {
    /// What it is, in three words for the digest.
    fn words(&self) -> [u64; 3] {
        let id = |n: u64, id: &AttemptId, x: u64| [n | x << 8, id.job, u64::from(id.attempt)];
        let two = |n: u64, a: u32, b: u32| [n, u64::from(a), u64::from(b)];
        match self {
            Ev::Arrive => [1, 0, 0],
            Ev::Retry { waiting } => two(2, *waiting, 0),
            Ev::Enter { job } => [3, *job, 0],
            Ev::Leave { job } => [4, *job, 0],
            Ev::Deadline { job } => [5, *job, 0],
            Ev::Heard { job } => [6, *job, 0],
            Ev::Wake { scheduler, boot } => two(7, *scheduler, *boot),
            Ev::Until { id: a } => id(8, a, 0),
            Ev::Reach { id: a } => id(9, a, 0),
            Ev::Close { id: a, worker } => id(10, a, u64::from(*worker)),
            Ev::Note { id: a } => id(11, a, 0),
            Ev::Progress { id: a, worker } => id(12, a, u64::from(*worker)),
            Ev::Back { id: a, ending } => id(13, a, *ending as u64),
            Ev::Due { worker } => two(14, *worker, 0),
            Ev::Fetched { id: a, worker } => id(15, a, u64::from(*worker)),
            Ev::ProbeReach { probe } => two(16, *probe, 0),
            Ev::ProbeBack { probe } => two(17, *probe, 0),
            Ev::Refresh { worker } => two(18, *worker, 0),
            Ev::Publish => [19, 0, 0],
            Ev::Ask { scheduler, boot } => two(20, *scheduler, *boot),
            Ev::News { scheduler, boot } => two(21, *scheduler, *boot),
            Ev::Failed { scheduler, boot } => two(22, *scheduler, *boot),
            Ev::Fault { fault, step } => two(23, *fault, *step),
            Ev::Machine { worker, fault, step } => {
                [24 | u64::from(*step) << 8, u64::from(*worker), u64::from(*fault)]
            }
            Ev::Boot { scheduler } => two(25, *scheduler, 0),
            Ev::Kill { scheduler } => two(26, *scheduler, 0),
            Ev::Unfront { scheduler, boot } => two(27, *scheduler, *boot),
            Ev::Second => [28, 0, 0],
            Ev::Overdue { job } => [29, *job, 0],
        }
    }
}

/// What all tries of a request share.
#[derive(Clone, Copy, Debug)]
struct Request {
    number: u64,
    first: Arrival,
    /// When its client gives up for good.
    deadline: Nanos,
    retries: u32,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Out,
    Ended,
}

struct Attempt {
    /// The machine that it goes to, and the address that was dialled.
    machine: Option<u32>,
    address: u32,
    state: State,
    /// It came on a new connection; whose life at the machine it belongs to.
    fresh: bool,
    life: Option<u32>,
    reaches: Nanos,
    /// Its connection breaks: on the way there, or with the result.
    breaks: Option<Breaks>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Breaks {
    Before,
    After,
}

/// A try that a scheduler has, or that runs somewhere.
struct Try {
    id: u64,
    request: Request,
    scheduler: u32,
    deadline: Nanos,
    /// Its client has had an answer, has left or has lost its scheduler.
    over: bool,
    /// Its scheduler has it, and has not lost it.
    held: bool,
    attempts: SmallVec<[Attempt; 1]>,
    /// Where it has run to its end, for the count of doubled jobs: the first rack and time.
    ran: Option<(u32, Nanos)>,
}

struct Scheduler {
    policy: Option<Box<dyn Policy>>,
    boot: u32,
    armed: Option<Nanos>,
    /// It watches, from this version on.
    watching: bool,
    version: Option<u64>,
    /// News is on its way.
    news: bool,
    /// It was told to end.
    ending: bool,
    /// The front sends it clients.
    fronted: bool,
}

/// A scheduler's kept connections to an address.
struct Kept {
    machine: u32,
    life: u32,
    idle: VecDeque<Nanos>,
}

struct Probe {
    scheduler: u32,
    boot: u32,
    instance: u32,
    machine: Option<u32>,
    address: u32,
    life: Option<u32>,
    sent: Nanos,
    load: Option<Load>,
    refused: bool,
}

/// What the world keeps of a machine beside the worker on it.
struct Machine {
    address: u32,
    rack: u32,
    /// Counts the processes and boots: connections do not outlive one.
    life: u32,
    /// The life that ended with the machine's vanishing: its connections look sound.
    silent: Option<u32>,
    /// What it reported and when, the newest last.
    reports: VecDeque<(Nanos, Load)>,
    /// Attempts that were out to it when it vanished: they are reset when it is back.
    ghosts: Vec<AttemptId>,
    /// Work that has reached it of late, while it is cold (the world's own budget).
    pressure: Pressure,
    fell: bool,
}

/// A cut between some schedulers and some machines, while it lasts.
struct Cut {
    fault: u32,
    direction: Direction,
    schedulers: Vec<bool>,
    machines: Vec<bool>,
}

/// How a run is watched.
#[derive(Clone, Copy, Default)]
pub struct Watch {
    /// Hold it to the rules.
    pub audit: bool,
    /// Print the life of this request.
    pub trace: Option<u64>,
}

/// What a run came to.
pub struct Played {
    pub summary: Summary,
    pub digest: u64,
    pub verdict: Verdict,
    /// The life of the request that was to be traced.
    pub trace: Vec<String>,
}

pub struct World<'a> {
    scenario: &'a Scenario,
    settings: Settings,
    kind: Kind,
    seed: u64,
    now: Nanos,
    coming: Queue<Ev>,
    digest: Xxh3,
    stats: Stats,
    auditor: Option<Auditor>,
    trace: Option<u64>,
    traced: Vec<u64>,
    lines: Vec<String>,
    traffic: Traffic,
    next: Option<Arrival>,
    requests: u64,
    serial: u32,
    /// In boxes: what a growing slab moves about and leaves empty is then small.
    tries: Slab<Box<Try>>,
    waiting: Slab<Request>,
    schedulers: Vec<Scheduler>,
    workers: Vec<Worker>,
    machines: Vec<Machine>,
    addresses: Vec<Option<u32>>,
    kept: FnvHashMap<(u32, u32), Kept>,
    probes: Slab<Probe>,
    probes_this_second: u64,
    archive: Archive,
    discovery: Discovery,
    cuts: Vec<Cut>,
    /// By fault: the machines or schedulers that it meets.
    met: Vec<Vec<u32>>,
    report_lag: Nanos,
    resets: f64,
    latency: Nanos,
    jitter: f64,
    work: f64,
    fetch: f64,
    network: Random,
    reports: Random,
    clients: Random,
    machines_random: Random,
    orders: Vec<Order>,
    effects: Vec<Effect>,
}

impl<'a> World<'a> {
    /// A world before its first event. The error is that of a trace that cannot be read, or of settings that
    /// the module refuses.
    pub fn new(scenario: &'a Scenario, kind: Kind, seed: u64, watch: Watch) -> Result<World<'a>, String> {
        let settings = policy::settings(scenario);
        let mut random = random::stream(seed, Concern::Workers, 0);
        let (mut workers, mut machines) = (Vec::new(), Vec::new());
        let mut discovery = Discovery::new(
            millis(scenario.discovery.call_ms.0),
            millis(scenario.discovery.lines_ms.0),
            millis(scenario.discovery.wait_ms.0),
        );
        for fleet::Machine { make, rack, cold } in fleet::machines(scenario, &mut random) {
            let started = cold.then_some(1);
            let machine = workers.len() as u32;
            discovery.begin(Listing { machine, address: machine, standing: Standing::Ready, started });
            workers.push(Worker::new(make, started));
            machines.push(Machine::new(machine, rack));
        }
        let law = law(scenario, &workers, &machines);
        let data = scenario.data.as_ref();
        let fetch = millis(data.map_or(0.0, |data| data.fetch_ms.0));
        let duration = seconds(scenario.duration_s.0);
        let mut world = World {
            traffic: Traffic::new(scenario, seed)?,
            stats: Stats::new(seconds(scenario.warmup_s.0), duration, scenario.tenants.len()),
            auditor: watch.audit.then(|| Auditor::new(law)),
            trace: watch.trace,
            traced: Vec::new(),
            lines: Vec::new(),
            settings,
            kind,
            seed,
            now: 0,
            coming: Queue::new(),
            digest: Xxh3::with_seed(seed),
            next: None,
            requests: 0,
            serial: 0,
            tries: Slab::new(),
            waiting: Slab::new(),
            schedulers: Vec::new(),
            addresses: (0..workers.len() as u32).map(Some).collect(),
            workers,
            machines,
            kept: FnvHashMap::default(),
            probes: Slab::new(),
            probes_this_second: 0,
            archive: Archive::new(fetch, data.map_or(1, |data| data.streams.0 as usize)),
            discovery,
            cuts: Vec::new(),
            met: Vec::new(),
            report_lag: 0,
            resets: scenario.network.resets.0,
            latency: millis(scenario.network.latency_ms.0),
            jitter: scenario.network.jitter_ms.0 * 1e6,
            work: scenario.mean_work() * 1e9,
            fetch: fetch as f64,
            network: random::stream(seed, Concern::Network, 0),
            reports: random::stream(seed, Concern::Reports, 0),
            clients: random::stream(seed, Concern::Clients, 0),
            machines_random: random,
            orders: Vec::new(),
            effects: Vec::new(),
            scenario,
        };
        world.begin()?;
        Ok(world)
    }

    fn begin(&mut self) -> Result<(), String> {
        for (worker, machine) in self.workers.iter().enumerate().filter(|(_, w)| w.started.is_some()) {
            let _ = machine;
            if let Some(auditor) = &mut self.auditor {
                auditor.note(0, Record::Up { worker: worker as u32 });
            }
        }
        for scheduler in 0..self.scenario.schedulers.0 as u32 {
            self.schedulers.push(Scheduler {
                policy: None,
                boot: 0,
                armed: None,
                watching: false,
                version: None,
                news: false,
                ending: false,
                fronted: true,
            });
            self.boot(scheduler)?;
        }
        let (low, high) = self.scenario.workers.refresh_ms.both();
        if high > 0.0 {
            for worker in 0..self.workers.len() as u32 {
                let load = self.workers[worker as usize].load();
                self.machines[worker as usize].reports.push_back((0, load));
                let first = random::unit(&mut self.reports) * (low + high) / 2.0;
                self.at(millis(first), Ev::Refresh { worker });
            }
        }
        self.begin_faults();
        self.at(SECOND, Ev::Second);
        self.next = self.traffic.next();
        if let Some(next) = &self.next {
            let at = next.at;
            self.at(at, Ev::Arrive);
        }
        Ok(())
    }

    /// Plays to the end: the last arrival, and then until all is answered.
    pub fn play(mut self) -> Played {
        // Clients give up in time, so that this ends; the bound is for a world that is wrong.
        let longest = self.scenario.classes.iter().map(|c| c.deadline_ms.0).fold(0.0, f64::max);
        let end = seconds(self.scenario.duration_s.0) + millis(longest) + 2 * SECOND;
        while let Some((at, ev)) = self.coming.pop().filter(|(at, _)| *at <= end) {
            debug_assert!(at >= self.now, "time goes backwards");
            self.now = at;
            self.stats.counts.events += 1;
            let [a, b, c] = ev.words();
            let mut bytes = [0; 32];
            for (part, word) in bytes.chunks_exact_mut(8).zip([at, a, b, c]) {
                part.copy_from_slice(&word.to_le_bytes());
            }
            self.digest.update(&bytes);
            self.happen(ev);
        }
        let verdict = self.auditor.map(|auditor| auditor.close(end)).unwrap_or_default();
        Played { summary: self.stats.close(), digest: self.digest.digest(), verdict, trace: self.lines }
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::Arrive => self.arrive(),
            Ev::Retry { waiting } => self.retry(waiting),
            Ev::Enter { job } => self.enter(job),
            Ev::Leave { job } => self.leave(job),
            Ev::Deadline { job } => self.deadline(job),
            Ev::Overdue { job } => self.overdue(job),
            Ev::Heard { job } => self.heard_gone(job),
            Ev::Wake { scheduler, boot } => self.wake(scheduler, boot),
            Ev::Until { id } => self.back(id, crate::record::Ending::TimedOut),
            Ev::Reach { id } => self.reach(id),
            Ev::Close { id, worker } => self.closed(id, worker),
            Ev::Note { id } => self.noted(id),
            Ev::Progress { id, worker } => self.progressed(id, worker),
            Ev::Back { id, ending } => self.back(id, ending),
            Ev::Due { worker } => self.due(worker),
            Ev::Fetched { id, worker } => self.fetched(id, worker),
            Ev::ProbeReach { probe } => self.probe_reach(probe),
            Ev::ProbeBack { probe } => self.probe_back(probe),
            Ev::Refresh { worker } => self.refresh(worker),
            Ev::Publish => self.publish(),
            Ev::Ask { scheduler, boot } => self.ask(scheduler, boot),
            Ev::News { scheduler, boot } => self.news(scheduler, boot),
            Ev::Failed { scheduler, boot } => self.list_failed(scheduler, boot),
            Ev::Fault { fault, step } => self.fault(fault, step),
            Ev::Machine { worker, fault, step } => self.machine(worker, fault, step),
            Ev::Boot { scheduler } => {
                // The settings were sound at the first boot.
                let _ = self.boot(scheduler);
            }
            Ev::Kill { scheduler } => self.kill(scheduler),
            Ev::Unfront { scheduler, boot } => {
                let scheduler = &mut self.schedulers[scheduler as usize];
                if scheduler.boot == boot {
                    scheduler.fronted = false;
                }
            }
            Ev::Second => self.second(),
        }
    }

    fn at(&mut self, at: Nanos, ev: Ev) {
        // A retry may come in when its client's time is just over: what is due is due now.
        self.coming.push(at.max(self.now), ev);
    }

    /// One way over the network.
    fn way(&mut self) -> Nanos {
        if self.jitter == 0.0 {
            return self.latency;
        }
        self.latency + (random::exponential(&mut self.network) * self.jitter) as Nanos
    }

    fn note(&mut self, record: Record) {
        if let Some(auditor) = &mut self.auditor {
            auditor.note(self.now, record);
        }
        if let Some(traced) = self.trace {
            if let Record::Asked { job, request, .. } = record {
                if request == traced {
                    self.traced.push(job);
                }
            }
            if record.job().is_some_and(|job| self.traced.contains(&job)) {
                self.lines.push(Line(self.now, record).to_string());
            }
        }
    }

    fn truth<'b>(workers: &'b [Worker], addresses: &'b [Option<u32>], work: f64, fetch: f64) -> Truth<'b> {
        Truth { workers, addresses, work, fetch }
    }

    fn get(&self, job: u64) -> Option<&Try> {
        self.tries.get((job & 0xffff_ffff) as usize).map(|t| &**t).filter(|t| t.id == job)
    }

    fn get_mut(&mut self, job: u64) -> Option<&mut Try> {
        self.tries.get_mut((job & 0xffff_ffff) as usize).map(|t| &mut **t).filter(|t| t.id == job)
    }

    /// Drops a try of which nothing can come any more.
    fn forget(&mut self, job: u64) {
        let done = |t: &Try| t.over && !t.held && t.attempts.iter().all(|a| a.state == State::Ended);
        if self.get(job).is_some_and(done) {
            self.tries.remove((job & 0xffff_ffff) as usize);
        }
    }

    fn second(&mut self) {
        let queued: usize = self.workers.iter().map(Worker::queued).sum();
        let connections: u64 = self.workers.iter().map(|w| u64::from(w.connections)).sum();
        let probes = std::mem::take(&mut self.probes_this_second);
        self.stats.sample(self.now - 1, queued as f64, probes, connections as f64);
        self.sweep();
        if self.now < seconds(self.scenario.duration_s.0) {
            self.at(self.now + SECOND, Ev::Second);
        }
    }
}

impl Machine {
    fn new(address: u32, rack: u32) -> Machine {
        Machine {
            address,
            rack,
            life: 0,
            silent: None,
            reports: VecDeque::new(),
            ghosts: Vec::new(),
            pressure: Pressure::default(),
            fell: false,
        }
    }
}

/// The rules of a scenario, as the auditor takes them.
fn law(scenario: &Scenario, workers: &[Worker], machines: &[Machine]) -> Law {
    let rules = &scenario.rules;
    let repeat = |class: &crate::scenario::Class| match class.repeats {
        Repeats::Harmless => Repeat::Any,
        Repeats::Rack => Repeat::Rack(seconds(class.window_s.0)),
        Repeats::Never => Repeat::Never,
    };
    let capacity = |w: &Worker| w.make.cores.min(w.make.slots) * w.make.speed;
    Law {
        classes: scenario.classes.iter().map(repeat).collect(),
        attempts: rules.attempts.0 as u32,
        parallel: rules.parallel,
        slack: millis(rules.slack_ms.0),
        drain: millis(rules.drain_ms.0),
        at_once: 5 * MS,
        connections: scenario.workers.connections.0 as u32,
        cold_from: rules.cold_from.0,
        cold: seconds(rules.cold_s.0),
        fall_multiple: rules.fall_multiple.0,
        fall: seconds(rules.fall_s.0),
        workers: workers.iter().zip(machines).map(|(w, m)| (m.rack, capacity(w))).collect(),
    }
}
