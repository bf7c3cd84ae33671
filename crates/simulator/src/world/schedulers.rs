//! Schedulers: what reaches a policy, and what it orders.

use nickelflow_engine::{
    AttemptResult, Endpoint, FinalAnswer, ListKind, LoadReport, Outcome, StartAttempt, WorkerStatus,
};

use super::{Attempt, Breaks, Ev, Kept, Probe, State, World};
use crate::discovery::{Call, Listing};
use crate::policy::{Input, Order, Place};
use crate::random;
use crate::record::{Ending, Final, Record, Standing};
use crate::scenario::Direction;
use crate::time::{millis, seconds, Nanos, MS};
use crate::worker::{AttemptId, Up};

/// A probe that takes longer has failed.
const PROBE: Nanos = 250 * MS;

fn outcome(ending: Ending) -> Outcome {
    match ending {
        Ending::Served => Outcome::Ok,
        Ending::Error => Outcome::Error,
        Ending::TurnedAway => Outcome::Rejected,
        Ending::TimedOut => Outcome::Timeout,
        Ending::NoConnection => Outcome::ConnectFailed,
        Ending::Reset => Outcome::Reset,
        Ending::CalledOff => Outcome::Cancelled,
    }
}

impl World<'_> {
    /// A scheduler's process starts from nothing, with the list as it was last known.
    pub(super) fn boot(&mut self, scheduler: u32) -> Result<(), String> {
        let s = &mut self.schedulers[scheduler as usize];
        if s.policy.is_some() {
            return Ok(());
        }
        s.boot += 1;
        (s.ending, s.fronted) = (false, true);
        let seed = self.seed ^ u64::from(scheduler) << 40 ^ u64::from(s.boot) << 56;
        s.policy = Some(self.kind.make(&self.settings, seed).map_err(|e| e.to_string())?);
        self.note(Record::Booted { scheduler });
        let list: Vec<Listing> = self.discovery.list().collect();
        self.list(scheduler, ListKind::Cached, list);
        Ok(())
    }

    /// Gives a policy what has happened, and does what it orders.
    pub(super) fn give(&mut self, scheduler: u32, input: Input) {
        let s = &mut self.schedulers[scheduler as usize];
        let Some(policy) = &mut s.policy else { return };
        let mut orders = std::mem::take(&mut self.orders);
        let truth = Self::truth(&self.workers, &self.addresses, self.work, self.fetch);
        policy.handle(self.now, input, truth, &mut orders);
        if let Some(at) = policy.next_wake() {
            let at = at.max(self.now + 1);
            if s.armed.is_none_or(|armed| at < armed) {
                s.armed = Some(at);
                let boot = s.boot;
                self.at(at, Ev::Wake { scheduler, boot });
            }
        }
        for order in orders.drain(..) {
            self.carry(scheduler, order);
        }
        self.orders = orders;
    }

    pub(super) fn wake(&mut self, scheduler: u32, boot: u32) {
        let s = &mut self.schedulers[scheduler as usize];
        // One that was overtaken by a sooner one is asked for again.
        if s.boot == boot && s.armed.is_some_and(|armed| armed <= self.now) {
            s.armed = None;
            self.give(scheduler, Input::Wake);
        }
    }

    fn carry(&mut self, scheduler: u32, order: Order) {
        match order {
            Order::StartAttempt(execute) => self.execute(scheduler, execute),
            Order::Cancel { job_id: id, attempt } => {
                self.at(self.now, Ev::Back { id: AttemptId { job: id, attempt }, ending: Ending::CalledOff });
            }
            // An attempt begins here as it is decided.
            Order::CancelUnstarted { .. } => {}
            Order::FinalAnswer { job_id: id, answer } => {
                let answer = match answer {
                    FinalAnswer::Served(()) => Final::Served,
                    FinalAnswer::Rejected { retry_after } => Final::Refused(retry_after),
                    FinalAnswer::Failed => Final::Failed,
                };
                self.answer(id, answer);
            }
            Order::Probe { worker: instance } => self.probe(scheduler, instance),
            Order::Subscribe => {
                let (way, boot) = (self.way(), self.schedulers[scheduler as usize].boot);
                self.at(self.now + way, Ev::Ask { scheduler, boot });
            }
        }
    }

    fn place(&self, scheduler: u32, instance: u32) -> Option<Place> {
        self.schedulers[scheduler as usize].policy.as_ref()?.place(instance)
    }

    /// Whether messages are lost between the two.
    pub(super) fn cut(&self, scheduler: u32, machine: u32, direction: Direction) -> bool {
        self.cuts.iter().any(|cut| {
            (cut.direction == direction || cut.direction == Direction::Both)
                && cut.schedulers[scheduler as usize]
                && cut.machines.get(machine as usize).copied().unwrap_or(false)
        })
    }

    /// A connection to what is behind an address: kept or new, or why there is none and when that is known.
    fn connect(&mut self, scheduler: u32, address: u32) -> Result<(u32, Option<u32>, bool), Nanos> {
        let timeout = millis(self.scenario.network.connect_timeout_ms.0);
        let idle = seconds(self.scenario.network.idle_s.0);
        if let Some(kept) = self.kept.get_mut(&(scheduler, address)) {
            let machine = &self.machines[kept.machine as usize];
            // What broke silently is used as if it were sound.
            if kept.life == machine.life || machine.silent == Some(kept.life) {
                while let Some(since) = kept.idle.pop_back() {
                    if since + idle > self.now {
                        return Ok((kept.machine, Some(kept.life), false));
                    }
                    if kept.life == machine.life {
                        let worker = &mut self.workers[kept.machine as usize];
                        worker.connections = worker.connections.saturating_sub(1);
                    }
                }
            } else {
                kept.idle.clear();
            }
        }
        let Some(machine) = self.addresses.get(address as usize).copied().flatten() else {
            return Err(self.now + timeout);
        };
        let refused = self.now + 2 * self.latency;
        match self.workers[machine as usize].up {
            Up::Vanished => Err(self.now + timeout),
            Up::Stopped => Err(refused),
            _ if self.cuts.is_empty() || !self.cut_any(scheduler, machine) => {
                let worker = &mut self.workers[machine as usize];
                if f64::from(worker.connections) >= self.scenario.workers.connections.0 {
                    return Err(refused);
                }
                worker.connections += 1;
                let open = worker.connections;
                self.stats.counts.connections += 1;
                self.note(Record::Connected { worker: machine, open });
                Ok((machine, Some(self.machines[machine as usize].life), true))
            }
            _ => Err(self.now + timeout),
        }
    }

    fn cut_any(&self, scheduler: u32, machine: u32) -> bool {
        self.cut(scheduler, machine, Direction::Requests) || self.cut(scheduler, machine, Direction::Answers)
    }

    fn execute(&mut self, scheduler: u32, execute: StartAttempt<u64>) {
        // Connections here come up within a few milliseconds or not at all: nothing can outlast `send_by`.
        let StartAttempt { job_id: job, attempt, worker: instance, deadline: until, .. } = execute;
        let Some(place) = self.place(scheduler, instance) else { return };
        if self.get(job).is_none() {
            return;
        }
        self.stats.counts.attempts += 1;
        self.note(Record::Sent { job, attempt, scheduler, worker: place.machine });
        let connected = self.connect(scheduler, place.address);
        let breaks = (self.resets > 0.0 && random::unit(&mut self.network) < self.resets).then(|| {
            if random::unit(&mut self.network) < 0.5 {
                Breaks::Before
            } else {
                Breaks::After
            }
        });
        let id = AttemptId { job, attempt };
        let mut new = Attempt {
            machine: None,
            address: place.address,
            state: State::Out,
            fresh: false,
            life: None,
            reaches: self.now,
            breaks,
        };
        match connected {
            Ok((machine, life, fresh)) => {
                let handshake = 2 * self.latency + millis(self.scenario.workers.handshake_ms.0);
                new.reaches = self.now + self.way() + if fresh { handshake } else { 0 };
                (new.machine, new.life, new.fresh) = (Some(machine), life, fresh);
                self.at(new.reaches, Ev::Reach { id });
                if machine != place.machine {
                    self.stats.counts.misrouted += 1;
                }
            }
            Err(at) => self.at(at, Ev::Back { id, ending: Ending::NoConnection }),
        }
        if self.get(job).is_some_and(|t| until < t.deadline) {
            self.at(until, Ev::Until { id });
        }
        if let Some(t) = self.get_mut(job) {
            debug_assert_eq!(t.attempts.len(), attempt as usize);
            t.attempts.push(new);
        }
    }

    /// An attempt has ended for its scheduler, if it had not before.
    pub(super) fn back(&mut self, id: AttemptId, ending: Ending) {
        let Some(t) = self.get_mut(id.job) else { return };
        let scheduler = t.scheduler;
        let Some(a) = t.attempts.get_mut(id.attempt as usize).filter(|a| a.state == State::Out) else {
            return;
        };
        let (machine, address, life) = (a.machine, a.address, a.life);
        match ending {
            Ending::Served | Ending::TurnedAway | Ending::Error => {
                a.state = State::Ended;
                if let (Some(machine), Some(life)) = (machine, life) {
                    self.keep(scheduler, address, machine, life);
                }
            }
            Ending::TimedOut | Ending::CalledOff | Ending::NoConnection | Ending::Reset => {
                self.hang_up(id.job, id.attempt);
            }
        }
        self.note(Record::Ended { job: id.job, attempt: id.attempt, ending });
        let end = AttemptResult {
            outcome: outcome(ending),
            result: (ending == Ending::Served).then_some(()),
            report: None,
        };
        self.give(scheduler, Input::AttemptEnded { job_id: id.job, attempt: id.attempt, result: end });
        self.forget(id.job);
    }

    /// The scheduler's end of an attempt's connection closes; the machine hears of it a little later.
    pub(super) fn hang_up(&mut self, job: u64, attempt: u32) {
        let way = self.way();
        let now = self.now;
        let Some(a) = self.get_mut(job).and_then(|t| t.attempts.get_mut(attempt as usize)) else { return };
        a.state = State::Ended;
        let (machine, life, reaches) = (a.machine, a.life, a.reaches);
        let Some(machine) = machine else { return };
        if life == Some(self.machines[machine as usize].life) {
            let worker = &mut self.workers[machine as usize];
            worker.connections = worker.connections.saturating_sub(1);
        }
        // On one connection a close cannot overtake the request.
        let at = (now + way).max(reaches + 1);
        self.at(at, Ev::Close { id: AttemptId { job, attempt }, worker: machine });
    }

    fn keep(&mut self, scheduler: u32, address: u32, machine: u32, life: u32) {
        if self.machines[machine as usize].life != life {
            return;
        }
        let kept = self.kept.entry((scheduler, address)).or_insert_with(|| Kept {
            machine,
            life,
            idle: std::collections::VecDeque::new(),
        });
        if (kept.machine, kept.life) != (machine, life) {
            kept.idle.clear();
            (kept.machine, kept.life) = (machine, life);
        }
        kept.idle.push_back(self.now);
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn sweep(&mut self) {
        let idle = seconds(self.scenario.network.idle_s.0);
        let (now, machines, workers) = (self.now, &self.machines, &mut self.workers);
        self.kept.retain(|_, kept| {
            while kept.idle.front().is_some_and(|since| since + idle <= now) {
                kept.idle.pop_front();
                if kept.life == machines[kept.machine as usize].life {
                    let worker = &mut workers[kept.machine as usize];
                    worker.connections = worker.connections.saturating_sub(1);
                }
            }
            !kept.idle.is_empty()
        });
    }

    /// A scheduler's kept connections are reset.
    pub(super) fn drop_kept(&mut self, scheduler: u32) {
        let (machines, workers) = (&self.machines, &mut self.workers);
        self.kept.retain(|(of, _), kept| {
            if *of == scheduler && kept.life == machines[kept.machine as usize].life {
                let worker = &mut workers[kept.machine as usize];
                worker.connections = worker.connections.saturating_sub(kept.idle.len() as u32);
            }
            *of != scheduler
        });
    }

    fn probe(&mut self, scheduler: u32, instance: u32) {
        let Some(place) = self.place(scheduler, instance) else { return };
        self.stats.counts.probes += 1;
        self.probes_this_second += 1;
        let connected = self.connect(scheduler, place.address);
        let boot = self.schedulers[scheduler as usize].boot;
        let mut probe = Probe {
            scheduler,
            boot,
            instance,
            machine: None,
            address: place.address,
            life: None,
            sent: self.now,
            load: None,
            refused: false,
        };
        match connected {
            Ok((machine, life, fresh)) => {
                (probe.machine, probe.life) = (Some(machine), life);
                let handshake = millis(self.scenario.workers.handshake_ms.0);
                let extra = if fresh { 2 * self.latency + handshake } else { 0 };
                let at = self.now + self.way() + extra;
                let probe = self.probes.insert(probe) as u32;
                self.at(at, Ev::ProbeReach { probe });
            }
            Err(at) => {
                probe.refused = at < self.now + PROBE;
                let probe = self.probes.insert(probe) as u32;
                self.at(at.min(self.now + PROBE), Ev::ProbeBack { probe });
            }
        }
    }

    pub(super) fn probe_reach(&mut self, index: u32) {
        let Some(probe) = self.probes.get(index as usize) else { return };
        let (scheduler, sent, life) = (probe.scheduler, probe.sent, probe.life);
        let Some(machine) = probe.machine else { return };
        let lost = sent + PROBE;
        let worker = &mut self.workers[machine as usize];
        let silent =
            worker.hung || worker.up == Up::Vanished || life != Some(self.machines[machine as usize].life);
        let stalled = worker.stalled;
        if silent || self.cut_any(scheduler, machine) || stalled >= lost {
            return self.at(lost.max(self.now), Ev::ProbeBack { probe: index });
        }
        if stalled > self.now {
            return self.at(stalled, Ev::ProbeReach { probe: index });
        }
        let work = millis(self.scenario.workers.probe_ms.0) as f64;
        self.with(machine, |worker, now, _| worker.burden(now, work));
        let load = self.report(machine);
        self.with(machine, |worker, now, _| worker.reported(now));
        self.probes[index as usize].load = Some(load);
        let way = self.way();
        self.at(self.now + way, Ev::ProbeBack { probe: index });
    }

    pub(super) fn probe_back(&mut self, index: u32) {
        let Some(probe) = self.probes.try_remove(index as usize) else { return };
        let report = probe.load.map(|load| LoadReport {
            free_slots: Some(load.free_slots),
            free_memory: Some(load.free_memory),
            queued: Some(load.queued),
            ..LoadReport::default()
        });
        let outcome = match (report.is_some(), probe.refused) {
            (true, _) => Outcome::Ok,
            (false, true) => Outcome::ConnectFailed,
            (false, false) => Outcome::Timeout,
        };
        let live = self.schedulers[probe.scheduler as usize].boot == probe.boot;
        if let (Some(machine), Some(life)) = (probe.machine, probe.life) {
            if report.is_some() && live {
                self.keep(probe.scheduler, probe.address, machine, life);
            } else if self.machines[machine as usize].life == life {
                let worker = &mut self.workers[machine as usize];
                worker.connections = worker.connections.saturating_sub(1);
            }
        }
        if live {
            self.give(probe.scheduler, Input::ProbeCompleted { worker: probe.instance, outcome, report });
        }
    }

    // ---- the list --------------------------------------------------------------------------------------

    fn list(&mut self, scheduler: u32, kind: ListKind, list: Vec<Listing>) {
        for listing in &list {
            // Ready since long is what a scheduler takes a worker for that it knows nothing else of.
            if listing.standing != Standing::Ready || listing.started.is_some() || kind == ListKind::Changes {
                let Listing { machine: worker, standing, started, .. } = *listing;
                self.note(Record::Told { scheduler, worker, standing, started });
            }
        }
        let (machines, workers) = (&self.machines, &self.workers);
        let instance = |listing: Listing| Endpoint {
            name: format!("w{:05}", listing.machine),
            address: Place { machine: listing.machine, address: listing.address },
            zone: 0,
            kind: 0,
            cell: machines[listing.machine as usize].rack,
            status: match listing.standing {
                Standing::Ready => WorkerStatus::Ready,
                Standing::Draining => WorkerStatus::Draining,
                Standing::Gone => WorkerStatus::Gone,
            },
            registered_size: workers[listing.machine as usize].make.cores,
            started_at: listing.started,
        };
        let instances = list.into_iter().map(instance).collect();
        self.give(scheduler, Input::WorkerList { kind, workers: instances });
    }

    /// A call for the list is at discovery.
    pub(super) fn ask(&mut self, scheduler: u32, boot: u32) {
        let s = &self.schedulers[scheduler as usize];
        if s.boot != boot || s.watching {
            return;
        }
        let lines = match s.version.and_then(|version| self.discovery.since(version)) {
            Some(changed) => changed.len(),
            None => self.discovery.list().count(),
        };
        let way = self.way();
        self.stats.counts.calls += 1;
        match self.discovery.call(self.now, lines) {
            Call::Failed => self.at(self.now + way, Ev::Failed { scheduler, boot }),
            Call::Answered(at) => {
                let s = &mut self.schedulers[scheduler as usize];
                (s.watching, s.news) = (true, true);
                self.at(at + way, Ev::News { scheduler, boot });
            }
        }
    }

    /// Tells everyone who watches that there is news.
    pub(super) fn tell_watchers(&mut self) {
        for scheduler in 0..self.schedulers.len() as u32 {
            let s = &mut self.schedulers[scheduler as usize];
            if s.watching && !std::mem::replace(&mut s.news, true) {
                let boot = s.boot;
                let way = self.way();
                self.at(self.now + way, Ev::News { scheduler, boot });
            }
        }
    }

    pub(super) fn publish(&mut self) {
        if self.discovery.publish() {
            self.tell_watchers();
        }
    }

    pub(super) fn news(&mut self, scheduler: u32, boot: u32) {
        let s = &mut self.schedulers[scheduler as usize];
        if s.boot != boot || !s.watching {
            return;
        }
        s.news = false;
        let version = s.version.replace(self.discovery.version());
        match version.and_then(|version| self.discovery.since(version)) {
            Some(changed) => self.list(scheduler, ListKind::Changes, changed),
            None => {
                for gone in self.discovery.gone() {
                    self.note(Record::Told {
                        scheduler,
                        worker: gone,
                        standing: Standing::Gone,
                        started: None,
                    });
                }
                let list = self.discovery.list().collect();
                self.list(scheduler, ListKind::Complete, list);
            }
        }
    }

    pub(super) fn list_failed(&mut self, scheduler: u32, boot: u32) {
        let s = &mut self.schedulers[scheduler as usize];
        if s.boot == boot {
            (s.watching, s.news) = (false, false);
            self.give(scheduler, Input::WorkerList { kind: ListKind::Failed, workers: Vec::new() });
        }
    }
}
