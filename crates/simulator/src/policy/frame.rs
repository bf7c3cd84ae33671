//! What all baselines share: the list, retries within what the classes allow, the answer before the deadline.
//! A baseline adds only its [`Pick`]. None holds jobs: with nobody to pick, a job is refused.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fnv::FnvHashMap;
use nickelflow_dispatcher::{DeduplicationScope, Idempotency, Settings};
use nickelflow_engine::{
    fnv1a_hash, FinalAnswer, Job, ListKind, LoadReport, Nanos, Outcome, StartAttempt, WorkerStatus,
};
use smallvec::SmallVec;

use super::{Input, Order, Place, Policy, Truth};
use crate::random::{self, Concern, Random};
use crate::time::MS;

/// Before the deadline, so that the answer is there in time.
const MARGIN: Nanos = 2 * MS;

/// An instance, as a baseline sees it.
pub struct Seen {
    pub place: Place,
    pub hash: u64,
    pub cell: u32,
    pub ready: bool,
    /// Own attempts out to it.
    pub out: u32,
    /// What it last reported, when, and own sends since.
    pub report: Option<(Nanos, LoadReport)>,
    pub since: u32,
}

impl Seen {
    /// Jobs that it holds, by its last report and own sends since; own attempts where there is no report.
    pub fn held(&self) -> f64 {
        let Some((_, report)) = self.report else { return f64::from(self.out) };
        // Reports tell free slots, not how many there are: against each other that is as good.
        report.queued.unwrap_or(0.0) - report.free_slots.unwrap_or(0.0) + f64::from(self.since)
    }
}

/// What every baseline knows.
pub struct Facts {
    pub settings: Settings,
    pub random: Random,
    pub seen: Vec<Seen>,
    /// Those that are ready, all of them and by cell, and how often that has changed.
    pub ready: Vec<u32>,
    by_cell: FnvHashMap<u32, Vec<u32>>,
    pub changes: u64,
    /// Own attempts out, to all.
    pub out: u32,
    /// The candidates of the present pick are all that are ready.
    pub all: bool,
    numbers: FnvHashMap<String, u32>,
}

impl Facts {
    pub fn new(settings: &Settings, seed: u64) -> Facts {
        Facts {
            settings: settings.clone(),
            random: random::stream(seed, Concern::Policy, 0),
            seen: Vec::new(),
            ready: Vec::new(),
            by_cell: FnvHashMap::default(),
            changes: 0,
            out: 0,
            all: false,
            numbers: FnvHashMap::default(),
        }
    }

    /// One of some instances, evenly.
    pub fn any(&mut self, of: &[u32]) -> Option<u32> {
        let index = (random::unit(&mut self.random) * of.len() as f64) as usize;
        of.get(index).copied()
    }

    /// Takes a list. Tells what it does not know yet.
    pub fn list(&mut self, kind: ListKind, instances: Vec<nickelflow_engine::Endpoint<Place>>) -> Vec<u32> {
        if matches!(kind, ListKind::Failed | ListKind::Stale) {
            return Vec::new();
        }
        if kind != ListKind::Changes {
            self.seen.iter_mut().for_each(|seen| seen.ready = false);
        }
        let mut new = Vec::new();
        for instance in instances {
            let ready = instance.status == WorkerStatus::Ready;
            let number = *self.numbers.entry(instance.name.clone()).or_insert(self.seen.len() as u32);
            if number as usize == self.seen.len() {
                new.push(number);
                let hash = fnv1a_hash(instance.name.as_bytes());
                let (place, cell) = (instance.address, instance.cell);
                self.seen.push(Seen { place, hash, cell, ready, out: 0, report: None, since: 0 });
            }
            let seen = &mut self.seen[number as usize];
            (seen.place, seen.ready, seen.cell) = (instance.address, ready, instance.cell);
        }
        self.ready = (0..self.seen.len() as u32).filter(|n| self.seen[*n as usize].ready).collect();
        self.by_cell.clear();
        for n in &self.ready {
            self.by_cell.entry(self.seen[*n as usize].cell).or_default().push(*n);
        }
        self.changes += 1;
        new
    }
}

/// How a baseline chooses.
pub trait Pick: Send {
    /// One of the candidates, which are not empty; instances to probe may be appended.
    fn pick(
        &mut self,
        now: Nanos,
        job: &Job,
        candidates: &[u32],
        facts: &mut Facts,
        truth: Truth<'_>,
        probes: &mut Vec<u32>,
    ) -> Option<u32>;

    /// An instance has answered a probe.
    fn probed(&mut self, _now: Nanos, _instance: u32, _report: Option<LoadReport>, _facts: &mut Facts) {}
}

struct Attempt {
    instance: u32,
    sent: Nanos,
    out: bool,
    ran: bool,
}

struct Open {
    job: Job,
    attempts: SmallVec<[Attempt; 1]>,
    over: bool,
}

pub struct Frame<P> {
    facts: Facts,
    pick: P,
    open: FnvHashMap<u64, Open>,
    wakes: BinaryHeap<Reverse<(Nanos, u64)>>,
    subscribed: bool,
    retry: Option<Nanos>,
    ending: Option<Nanos>,
    probes: Vec<u32>,
}

impl<P: Pick> Frame<P> {
    pub fn new(facts: Facts, pick: P) -> Frame<P> {
        Frame {
            facts,
            pick,
            open: FnvHashMap::default(),
            wakes: BinaryHeap::new(),
            subscribed: false,
            retry: None,
            ending: None,
            probes: Vec::new(),
        }
    }

    /// Sends a job on, or answers it.
    fn go_on(&mut self, now: Nanos, id: u64, truth: Truth<'_>, orders: &mut Vec<Order>) {
        let Some(open) = self.open.get(&id).filter(|open| !open.over) else { return };
        if open.attempts.iter().any(|a| a.out) {
            return;
        }
        let class = &self.facts.settings.classes[open.job.class as usize];
        let ran = open.attempts.iter().find(|a| a.ran);
        let mut allowed = open.attempts.len() < self.facts.settings.max_attempts as usize
            && now + MARGIN < open.job.deadline
            && self.ending.is_none_or(|by| now < by);
        let mut cell = None;
        if let Some(first) = ran {
            match class.idempotency {
                Idempotency::Idempotent
                | Idempotency::IdempotentWithKey(DeduplicationScope::All | DeduplicationScope::Zone) => {}
                Idempotency::IdempotentWithKey(DeduplicationScope::Cell) => {
                    cell = self.facts.seen.get(first.instance as usize).map(|seen| seen.cell);
                    allowed &= now < first.sent + class.deduplication_window;
                }
                Idempotency::NonIdempotent => allowed = false,
            }
        }
        let tried: SmallVec<[u32; 4]> = open.attempts.iter().map(|a| a.instance).collect();
        let picked = if allowed { self.pick_untried(now, id, cell, &tried, truth) } else { None };
        match picked {
            Some(instance) => self.send(now, id, instance, orders),
            None => self.answer(id, orders),
        }
        for instance in self.probes.drain(..) {
            orders.push(Order::Probe { worker: instance });
        }
    }

    /// A worker that the job has not been to, of one cell where it may go on only there.
    fn pick_untried(
        &mut self,
        now: Nanos,
        id: u64,
        cell: Option<u32>,
        tried: &[u32],
        truth: Truth<'_>,
    ) -> Option<u32> {
        let ready = std::mem::take(&mut self.facts.ready);
        let mut picked = None;
        if cell.is_none() {
            self.facts.all = true;
            // To leave out a few of thousands by building the list without them would cost more than the pick.
            for _ in 0..3 {
                self.probes.clear();
                picked = self.choose(now, id, &ready, truth);
                if picked.is_none_or(|n| !tried.contains(&n)) {
                    break;
                }
            }
            self.facts.all = false;
        }
        if cell.is_some() || picked.is_some_and(|n| tried.contains(&n)) {
            let of = cell.map_or(Some(&ready), |cell| self.facts.by_cell.get(&cell));
            let fresh = of.into_iter().flatten().filter(|n| !tried.contains(n)).copied();
            let fresh: Vec<u32> = fresh.collect();
            self.probes.clear();
            picked = self.choose(now, id, &fresh, truth);
        }
        self.facts.ready = ready;
        picked
    }

    fn choose(&mut self, now: Nanos, id: u64, candidates: &[u32], truth: Truth<'_>) -> Option<u32> {
        let job = &self.open.get(&id)?.job;
        if candidates.is_empty() {
            return None;
        }
        self.pick.pick(now, job, candidates, &mut self.facts, truth, &mut self.probes)
    }

    fn send(&mut self, now: Nanos, id: u64, instance: u32, orders: &mut Vec<Order>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        open.attempts.push(Attempt { instance, sent: now, out: true, ran: true });
        self.facts.out += 1;
        if let Some(seen) = self.facts.seen.get_mut(instance as usize) {
            seen.out += 1;
            seen.since += 1;
        }
        let until = open.job.deadline;
        orders.push(Order::StartAttempt(StartAttempt {
            job_id: id,
            attempt,
            worker: instance,
            deadline: until,
            send_by: Nanos::MAX,
        }));
    }

    /// The final answer, and an end to whatever is still out.
    fn answer(&mut self, id: u64, orders: &mut Vec<Order>) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.over) else { return };
        open.over = true;
        let class = &self.facts.settings.classes[open.job.class as usize];
        let ran = open.attempts.iter().any(|a| a.ran);
        let harmless = !ran
            || matches!(
                class.idempotency,
                Idempotency::Idempotent | Idempotency::IdempotentWithKey(DeduplicationScope::All)
            );
        let retry_after = self.facts.settings.max_retry_after;
        let answer = if harmless { FinalAnswer::Rejected { retry_after } } else { FinalAnswer::Failed };
        orders.push(Order::FinalAnswer { job_id: id, answer });
        self.call_back(id, orders);
        self.forget(id);
    }

    fn call_back(&self, id: u64, orders: &mut Vec<Order>) {
        let Some(open) = self.open.get(&id) else { return };
        let out = open.attempts.iter().enumerate().filter(|(_, a)| a.out);
        orders.extend(out.map(|(n, _)| Order::Cancel { job_id: id, attempt: n as u32 }));
    }

    fn forget(&mut self, id: u64) {
        if self.open.get(&id).is_some_and(|open| open.over && open.attempts.iter().all(|a| !a.out)) {
            self.open.remove(&id);
        }
    }

    fn ended(
        &mut self,
        now: Nanos,
        id: u64,
        attempt: u32,
        outcome: Outcome,
        truth: Truth<'_>,
        orders: &mut Vec<Order>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        a.ran = !outcome.never_ran();
        self.facts.out = self.facts.out.saturating_sub(1);
        if let Some(seen) = self.facts.seen.get_mut(a.instance as usize) {
            seen.out = seen.out.saturating_sub(1);
        }
        if outcome == Outcome::Ok && !open.over {
            open.over = true;
            orders.push(Order::FinalAnswer { job_id: id, answer: FinalAnswer::Served(()) });
            self.call_back(id, orders);
        } else if !open.over {
            self.go_on(now, id, truth, orders);
        }
        self.forget(id);
    }
}

impl<P: Pick> Policy for Frame<P> {
    fn handle(&mut self, now: Nanos, input: Input, truth: Truth<'_>, orders: &mut Vec<Order>) {
        match input {
            Input::WorkerList { kind, workers: instances } => {
                if !std::mem::replace(&mut self.subscribed, true) {
                    orders.push(Order::Subscribe);
                }
                if kind == ListKind::Failed {
                    let pause = (500.0 + 1_000.0 * random::unit(&mut self.facts.random)) * MS as f64;
                    self.retry = Some(now + pause as Nanos);
                }
                self.facts.list(kind, instances);
            }
            Input::Job { job_id: id, job } => {
                self.wakes.push(Reverse((job.deadline.saturating_sub(MARGIN), id)));
                self.open.insert(id, Open { job, attempts: SmallVec::new(), over: false });
                self.go_on(now, id, truth, orders);
            }
            Input::ClientDisconnected { job_id: id } => {
                if let Some(open) = self.open.get_mut(&id).filter(|open| !open.over) {
                    open.over = true;
                    self.call_back(id, orders);
                    self.forget(id);
                }
            }
            Input::AttemptEnded { job_id: id, attempt, result: end } => {
                self.ended(now, id, attempt, end.outcome, truth, orders)
            }
            Input::ProbeCompleted { worker: instance, outcome, report } => {
                let report = report.filter(|_| outcome == Outcome::Ok);
                if let (Some(seen), Some(report)) = (self.facts.seen.get_mut(instance as usize), report) {
                    (seen.report, seen.since) = (Some((now, report)), 0);
                }
                self.pick.probed(now, instance, report, &mut self.facts);
            }
            Input::Shutdown { deadline: by } => {
                self.ending = Some(by);
                self.wakes.extend(self.open.keys().map(|id| Reverse((by, *id))));
            }
            Input::Wake => {
                if self.retry.is_some_and(|at| at <= now) {
                    self.retry = None;
                    orders.push(Order::Subscribe);
                }
                while self.wakes.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                    if let Some(Reverse((_, id))) = self.wakes.pop() {
                        self.answer(id, orders);
                    }
                }
            }
            Input::Progress { .. } | Input::Streaming { .. } | Input::Rules { .. } => {}
        }
    }

    fn next_wake(&self) -> Option<Nanos> {
        let wake = self.wakes.peek().map(|Reverse((at, _))| *at);
        wake.into_iter().chain(self.retry).min()
    }

    fn place(&self, instance: u32) -> Option<Place> {
        Some(self.facts.seen.get(instance as usize)?.place)
    }
}
