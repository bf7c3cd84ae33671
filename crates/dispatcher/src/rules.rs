//! Every decision of a dispatcher. Its events, actions and settings are in `interface.rs`.
//!
//! The path of a request: it comes in, is judged to be within its tenant's share or over it, and goes to an
//! open worker, one whose last probed free slots, less own sends since (own ends give back), plus K, cover
//! it. With none open it is held, in arrival order, until a worker reopens, and refused with a retry-after
//! once its wait passes the time in which it could still be of use. A worker that no longer covers a job is
//! closed and probed after TAU; open ones are not probed. An attempt that ends unserved sends the request
//! back to the hold where its class allows another, and else to its final answer. Shortly before the client
//! gives up, whatever is still open is answered.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

use crate::cold_start::{Admission, ColdLimit, Pacing, TokenBucket};
use crate::index::{fill, mix, Agenda, Counts, Hold, Pool, Ring};
use crate::interface::*;
use crate::load::{Load, Part, Signs};
use crate::meters::{Demand, Room, Shares, FILL, SLOTS};
use crate::service_rate::{ServiceRates, Stay};
use crate::state::{Attempt, ClassView, ColdDraw, Due, End, Job, Worker, MAX_DOUBLINGS};
use crate::told::Told;

const MS: Nanos = 1_000_000;
const SECOND: f64 = 1e9;

/// Slots that a worker may be sent beyond its free ones; below 1, it only covers the noise of reports.
const K: f64 = 0.5;
/// The same for a job at a home of its key: fetching the key elsewhere costs more than a short wait.
const K_KEYED: f64 = 2.5;
/// From a close to the probe (ns): about a short job's run; reports are not fresher than that.
const TAU: Nanos = 200 * MS;
/// Probes for each request that comes in, at most.
const PROBES_A_JOB: f64 = 4.0;
/// Each delay is drawn from this part of it to its double, so that a body of workers spreads out.
const JITTER: f64 = 0.5;
/// A report may be this old (ns): own sends and ends younger than that are not in it yet.
const REPORT_AGE: Nanos = Load::REPORT_AGE;
/// Workers that a key is kept on: the first by a hash of both, of those that stand next to the key on a ring.
const HOMES: usize = 4;
const NEIGHBOURS: usize = 32;
const AROUND: usize = 128;
/// Draws of a worker that may be open before all of them are looked at, where there are more than a few.
const DRAWS: usize = 8;
const FEW: usize = 64;
/// Longest delay (ns) of the first probe of a new worker, for each dispatcher that does the same.
const FIRST_PROBE: Nanos = 3 * MS;
/// A dispatcher is sparse that sends a worker fewer jobs than this in a report's age: its own sends then say
/// next to nothing of how the worker fares, and a report is good for FRESH (ns) only. Closed workers are then
/// probed when a job wants them, one after the other, the next one where an answer takes longer than HEDGE.
const SPARSE: f64 = 0.5;
const FRESH: Nanos = 300 * MS;
const HEDGE: Nanos = 30 * MS;
/// A sparse dispatcher's job waits, held or unstarted, for its aim and this part of a usual run: what waits
/// longer is mostly late, and run all the same it takes the slots of those behind it.
const SLACK: f64 = 0.3;
/// A sparse dispatcher's jobs look at this many workers; a key's first ones are as many as its traffic fills.
const SOUGHT: usize = 5;
/// And at no more than so many, cold ones included.
const MOST_SOUGHT: usize = 16;
/// A client that a sparse dispatcher refuses comes back after about this long (ns), mostly to another one.
const AGAIN: Nanos = 100 * MS;
/// Jobs of which the keys are remembered, and (in jobs) the weight of the guess that a key is rare.
const KEYS_SEEN: f64 = 400.0;
const DOUBT: f64 = 20.0;
/// A probe unanswered for this long (ns) counts as failed.
const PROBE_LOST: Nanos = 2_000 * MS;
/// While the list may be stale, a worker is open for so long (ns) after it said itself that it takes work.
const WORD: Nanos = REPORT_AGE;
/// A success takes this part off a worker's count of failures.
const FORGIVE: f64 = 0.2;
/// Part of a worker's slots left free for work within its tenant's share.
const RESERVE: f64 = 0.5;
/// A first try may be given this part (1/n) of its class's deadline, or less: a repeat has more left, for it
/// comes a retry-after or two later and not much more.
const HURRIED: Nanos = 4;

/// One dispatcher's decisions.
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    workers: Vec<Option<Worker>>,
    /// Workers that may be open for something, in the own zone and in others; those that are ready, by the
    /// hash of their names; those of them that fail, and that are cold.
    near: Pool,
    far: Pool,
    ring: Ring,
    failing: Pool,
    jobs: BTreeMap<RequestId, Job>,
    held: Hold<(u8, u64), RequestId>,
    arrivals: u64,
    /// Slots that a worker must cover to count as open: those of the widest held job. And the memory: what
    /// the hungriest held job takes, or a usual one.
    need: f64,
    need_memory: f64,
    usual_memory: f64,
    classes: Vec<ClassView>,
    shares: Shares,
    demand: Demand,
    agenda: Agenda<Due>,
    asked: bool,
    /// The list may lack what counts as told.
    stale: bool,
    keys: Counts,
    /// Registered size of the ready workers, on average, and that of their weights.
    mean: f64,
    mean_weight: f64,
    cold_admission: Admission,
    rates: ServiceRates,
    /// Probes that jobs have paid for, and the room that reports show.
    probes: f64,
    room: Room,
    /// What all dispatchers have agreed on.
    told: Told,
    /// When all must be answered, for this dispatcher ends.
    ending: Nanos,
}

impl Dispatcher {
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.iter().map(ClassView::new).collect();
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            workers: Vec::new(),
            near: Pool::default(),
            far: Pool::default(),
            ring: Ring::default(),
            failing: Pool::default(),
            jobs: BTreeMap::new(),
            held: Hold::default(),
            arrivals: 0,
            need: 1.0,
            need_memory: 0.0,
            usual_memory: 0.0,
            classes,
            shares: Shares::new(&settings),
            demand: Demand::new(&settings),
            agenda: Agenda::default(),
            asked: false,
            stale: false,
            rates: ServiceRates::new(&settings),
            keys: Counts::new(KEYS_SEEN),
            mean: 1.0,
            mean_weight: 1.0,
            cold_admission: Admission::default(),
            probes: PROBES_A_JOB,
            room: Room::default(),
            told: Told::default(),
            ending: Nanos::MAX,
            settings,
        })
    }

    /// Takes one event at its time, and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::WorkerList { kind, entries } => self.list(kind, entries, actions),
            Event::Request(request) => self.request(request, actions),
            Event::Progress { request, attempt } => self.progress(request, attempt),
            Event::Streaming { request, attempt } => {
                self.progress(request, attempt);
                if let Some(job) = self.jobs.get_mut(&request) {
                    job.streaming = true;
                }
            }
            Event::AttemptEnded { request, attempt, outcome, finished, report } => {
                self.outcome(request, attempt, (outcome, finished, report), actions);
            }
            Event::ProbeCompleted { worker, outcome, report } => {
                self.probed(worker, outcome, report, actions)
            }
            Event::ClientDisconnected { request } => {
                self.call_back(request, actions);
                self.end(request);
            }
            Event::Shutdown { deadline: by } => {
                self.ending = by.min(self.ending);
                for id in self.jobs.keys() {
                    self.agenda.put(self.ending, Due::Deadline(*id));
                }
            }
            Event::Rules { rules, valid_until: until } => self.rules(rules, until, actions),
            // A wake may come a little early, where the caller's clock is coarser: ask again for the next.
            Event::Wake => self.agenda.woken(self.now + self.settings.clock_resolution),
        }
        while let Some(due) = self.agenda.next(self.now) {
            match due {
                Due::Deadline(id) => self.answer(id, actions),
                Due::Patience(id) => self.patience_over(id, actions),
                Due::Unheard(id, attempt) => self.unheard(id, attempt, actions),
                Due::Probe(worker, timer) => self.probe(worker, timer, actions),
                Due::Seek(id, seek) => self.seek(id, seek, actions),
                Due::Serve(worker) => self.serve(worker, actions),
                Due::Subscribe => actions.push(Action::Subscribe),
            }
        }
        actions.extend(self.agenda.wake(self.now).map(|at| Action::Wake { at }));
    }

    fn at(&mut self, at: Nanos, due: Due) {
        self.agenda.put(at, due);
    }

    fn jittered(&mut self, delay: Nanos) -> Nanos {
        let factor = JITTER + self.rng.f64() * (2.0 - JITTER - JITTER);
        (delay as f64 * factor) as Nanos
    }

    // ---- the list of workers -------------------------------------------------------------------------

    fn list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>, actions: &mut Vec<Action>) {
        if self.settings.requires_subscription && !self.asked {
            // Unasked for, the list grows old, and what it does not tell counts as told.
            self.asked = true;
            actions.push(Action::Subscribe);
        }
        match kind {
            ListKind::Failed if !self.settings.requires_subscription => return,
            ListKind::Failed => {
                // All dispatchers fail together when the list service is overloaded: come back spread out.
                let delay = self.jittered(500 * MS + 10 * MS * u64::from(self.settings.dispatchers));
                let at = self.now + delay.min(self.settings.limits.unsubscribed_list_validity / 2);
                return self.at(at, Due::Subscribe);
            }
            ListKind::Changes | ListKind::Stale => {}
            ListKind::Complete | ListKind::Cached => {
                let listed: BTreeSet<usize> = entries.iter().map(|entry| entry.worker.0 as usize).collect();
                for index in (0..self.workers.len()).filter(|index| !listed.contains(index)) {
                    self.workers[index].iter_mut().for_each(|worker| worker.ready = false);
                    self.note(index);
                }
            }
        }
        // All of them first: how many there are tells whether each is probed for a start.
        for entry in &entries {
            let ready = entry.status == WorkerStatus::Ready;
            self.ring.set(mix(entry.address_hash), entry.worker.0 as usize, ready);
        }
        self.demand.listed(self.ring.len());
        for entry in entries {
            self.entry(entry);
        }
        let ready = self.workers.iter().flatten().filter(|w| w.ready);
        let (sum, count) = ready.fold((0.0, 0.0), |(sum, count), w| (sum + self.told(w), count + 1.0));
        self.mean = if count > 0.0 { sum / count } else { 1.0 };
        let stale = kind == ListKind::Stale || self.stale && kind == ListKind::Cached;
        if std::mem::replace(&mut self.stale, stale) != stale {
            self.settle_all(actions);
        }
    }

    fn entry(&mut self, entry: WorkerEntry) {
        let index = entry.worker.0 as usize;
        if self.workers.len() <= index {
            self.workers.resize_with(index + 1, || None);
        }
        let ready = entry.status == WorkerStatus::Ready;
        if let Some(worker) = &mut self.workers[index] {
            let restarted = entry.started.is_some() && entry.started > worker.entry.started;
            self.ring.set(mix(worker.entry.address_hash), index, false);
            worker.entry = entry.clone();
            if !restarted && worker.ready == ready {
                return self.note(index);
            }
            worker.ready = ready;
            if !ready {
                return self.settle(index);
            }
        }
        let timer = self.workers[index].as_ref().map_or(0, |old| old.timer.wrapping_add(1));
        let random = entry.started.map_or(0.0, |_| self.rng.f64());
        let bucket = TokenBucket::new(self.settings.dispatchers, random, self.now);
        let mut worker = Worker { ready, bucket, ..Worker::new(entry, timer, self.now) };
        if ready && self.settings.can_probe && !self.sparse() {
            worker.waiting = true;
            let delay = self.rng.u64(0..FIRST_PROBE * u64::from(self.settings.dispatchers));
            self.at(self.now + delay, Due::Probe(index, timer));
        } else if ready && !self.settings.can_probe {
            worker.load.free = Some(worker.load.size);
        }
        self.workers[index] = Some(worker);
        self.note(index);
    }

    /// Brings the indexes up to what a worker is now.
    fn note(&mut self, index: usize) {
        let Some(worker) = &self.workers[index] else { return };
        let may = worker.ready && !worker.shut && worker.load.free.is_some_and(|free| free + K_KEYED > 0.0);
        let near = worker.entry.zone == self.settings.zone;
        self.near.set(index, may && near);
        self.far.set(index, may && !near);
        self.ring.set(mix(worker.entry.address_hash), index, worker.ready);
        self.failing.set(index, worker.ready && worker.failures >= 1.0);
    }

    // ---- rules that all agree on ---------------------------------------------------------------------

    fn rules(&mut self, rules: Arc<Rules>, until: Nanos, actions: &mut Vec<Action>) {
        self.settings.dispatchers = rules.quota_shares.max(1);
        let changed = self.told.tell(rules, until, self.now);
        let tells = changed && self.settings.can_cancel && self.settings.notifies_job_start;
        let again = |job: &Job| {
            self.settings.classes[job.request.class as usize].idempotency != Idempotency::NonIdempotent
        };
        let hash = |n: usize| self.workers[n].as_ref().map(|w| w.entry.address_hash);
        let drained = |n: usize| hash(n).is_some_and(|hash| self.told.drained(hash));
        for (id, job) in self.jobs.iter().filter(|(_, job)| tells && again(job)) {
            let out = job.attempts.iter().enumerate();
            let out = out.filter(|(_, a)| a.out && a.heard.is_none() && drained(a.worker));
            actions.extend(out.map(|(n, _)| Action::Cancel { request: *id, attempt: n as u32 }));
        }
        if changed {
            self.settle_all(actions);
        }
    }

    // ---- requests ------------------------------------------------------------------------------------

    fn request(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        // Impossible figures count as the least ones.
        let sound = |x: f64, least: f64| if x.is_finite() && x >= 0.0 { x.max(least) } else { least };
        (request.slots, request.memory) = (sound(request.slots, 0.01), sound(request.memory, 0.0));
        self.usual_memory += 0.05 * (request.memory - self.usual_memory);
        request.class = request.class.min(self.classes.len() as u32 - 1);
        if let Some(wait) = self.told.beyond(request.tenant, self.now) {
            let wait = self.jittered(wait);
            let retry_after = self.told.retry_after(wait).min(self.settings.max_retry_after);
            return actions.push(Action::Reject { request: id, retry_after });
        }
        let class = &self.settings.classes[request.class as usize];
        let view = &self.classes[request.class as usize];
        // A repeat has less time left than a first try: its aim began with that one. With hardly any left it
        // is more likely the first try of a client in a hurry, whose aim begins now.
        let hurried = request.time_left < view.longest / HURRIED;
        let elapsed = if hurried { 0 } else { view.longest.saturating_sub(request.time_left) };
        let slack = if self.sparse() { SLACK } else { (class.latency_stretch - 1.3).max(0.0) };
        let useful = class.latency_objective as f64 + slack * view.run;
        let deadline = self.now + request.time_left.saturating_sub(2 * self.settings.clock_resolution);
        let deadline = deadline.min(self.ending);
        let patience = (self.now + useful as Nanos).saturating_sub(elapsed).min(deadline);
        let over_share = self.shares.over(request.tenant, self.now);
        request.key.into_iter().for_each(|key| self.keys.add(key));
        let homes = match request.key {
            key if self.sparse() => self.sought(key, request.class, None, request.tenant),
            key => key.map_or_else(Vec::new, |key| self.homes(key, request.tenant)),
        };
        self.at(deadline, Due::Deadline(id));
        let job = Job {
            request,
            arrived: self.arrivals,
            deadline,
            patience,
            over_share,
            place: None,
            homes,
            cold_draws: Vec::new(),
            seek: 0,
            attempts: Vec::new(),
            over: false,
            streaming: false,
        };
        self.arrivals += 1;
        self.demand.count(self.now);
        self.probes = (self.probes + PROBES_A_JOB).min(10.0 * PROBES_A_JOB);
        self.jobs.insert(id, job);
        self.dispatch(id, actions);
    }

    /// Sends the request to an open worker, or holds it.
    fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(worker) = self.pick(id) {
            return self.send(id, worker, actions);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        if self.now < job.patience && self.may_go_on(job) {
            let rank = if job.over_share { 2 } else { 0 };
            self.hold(id, rank);
        } else if job.over_share || !self.late_counts(job) || !self.may_go_on(job) {
            self.answer(id, actions);
        } else {
            self.hold(id, 1);
        }
        let seek = self.jobs.get(&id).map_or(0, |job| job.seek);
        self.seek(id, seek, actions);
    }

    fn late_counts(&self, job: &Job) -> bool {
        self.settings.classes[job.request.class as usize].late_weight_share > 0.0
    }

    fn hold(&mut self, id: RequestId, rank: u8) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(place) = job.place.take() {
            self.held.remove(place, &job.homes);
        }
        let place = (rank, job.arrived);
        job.place = Some(place);
        let (patience, slots, memory) = (job.patience, job.request.slots, job.request.memory);
        self.held.insert(place, id, &job.homes);
        let useless = self.jobs.get(&id).map_or(patience, |job| self.send_by(job));
        self.at(if rank == 1 { useless } else { patience.min(useless) }, Due::Patience(id));
        if slots > self.need || memory > self.need_memory {
            // A wide job is waiting: workers that cover only narrow ones are closed to it, and probed.
            (self.need, self.need_memory) = (slots.max(self.need), memory.max(self.need_memory));
            for worker in 0..self.workers.len() {
                self.settle(worker);
            }
        }
    }

    fn unhold(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(place) = job.place.take() {
            self.held.remove(place, &job.homes);
            if self.held.is_empty() {
                (self.need, self.need_memory) = (1.0, 0.0);
            }
        }
    }

    fn patience_over(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let due = |job: &&Job| job.place.is_some() && self.now >= job.patience.min(self.send_by(job));
        let Some(job) = self.jobs.get(&id).filter(due) else { return };
        if job.over_share || !self.late_counts(job) || !self.may_go_on(job) {
            self.answer(id, actions);
        } else {
            self.hold(id, 1);
        }
    }

    /// The final answer, unless it has been given: a refusal where that is harmless, else a failure.
    fn answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.over && !job.streaming) else { return };
        let effect = self.settings.classes[job.request.class as usize].idempotency;
        let again = matches!(
            effect,
            Idempotency::Idempotent | Idempotency::IdempotentWithKey(DeduplicationScope::All)
        );
        self.finish(id, again || job.first_ran().is_none(), actions);
    }

    fn finish(&mut self, id: RequestId, harmless: bool, actions: &mut Vec<Action>) {
        if harmless {
            // One of many dispatchers that finds nothing open says little of the others, and the aim of a try
            // goes on from the first: soon then, and not at the moment at which all who were told come back.
            let longest = self.settings.max_retry_after;
            let retry_after = if self.sparse() { self.jittered(AGAIN) } else { longest };
            let retry_after = self.told.retry_after(retry_after).min(longest);
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.call_back(id, actions);
        self.end(id);
    }

    /// Nobody waits for the attempts that are still out: run on, they would take slots for nothing.
    fn call_back(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.settings.can_cancel) else { return };
        let out = job.attempts.iter().enumerate().filter(|(_, a)| a.out);
        actions.extend(out.map(|(n, _)| Action::Cancel { request: id, attempt: n as u32 }));
    }

    /// The request is over; what is still out is waited for only to give its slots back.
    fn end(&mut self, id: RequestId) {
        self.unhold(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.over = true;
            if job.attempts.iter().all(|a| !a.out) {
                self.jobs.remove(&id);
            }
        }
    }

    // ---- the pick ------------------------------------------------------------------------------------

    fn may_go_on(&self, job: &Job) -> bool {
        let effect = self.settings.classes[job.request.class as usize].idempotency;
        !job.over
            && !job.streaming
            && self.now < job.deadline.min(self.send_by(job))
            && job.attempts.len() < self.settings.max_attempts.min(self.told.attempts()) as usize
            && (self.settings.allows_hedging || job.attempts.iter().all(|a| !a.out))
            && !(effect == Idempotency::NonIdempotent && job.first_ran().is_some())
    }

    /// Whether a worker is open for the job.
    fn open(&self, index: usize, job: &Job) -> bool {
        self.covers(index, job) && self.admits(index, job)
    }

    /// The same, whatever it may be sent while it is cold.
    fn covers(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = &self.workers[index] else { return false };
        let class = &self.settings.classes[job.request.class as usize];
        let Some(free) = worker.load.free.filter(|_| worker.ready && !worker.shut) else { return false };
        // Work that is late already, or over its share, leaves slots for what can still earn in full.
        let lesser = job.over_share || self.now >= job.patience;
        let k = match job.request.key {
            _ if self.sparse() => self.luck(worker, job),
            Some(_) => K_KEYED,
            None => K,
        };
        free + k >= job.request.slots
            && (!lesser || free + worker.load.others >= job.request.slots + RESERVE * worker.load.size)
            && worker.load.memory.is_none_or(|m| m >= job.request.memory)
            && class.required_kind.is_none_or(|kind| kind == worker.entry.kind)
            && (job.homes.is_empty() || job.homes.contains(&index))
            && !self.silent(worker)
            && self.told.allows(worker.entry.address_hash, job.request.tenant, self.now)
            && self.in_group(worker, job)
            && !(self.sparse() && self.now > worker.read + FRESH)
            && !(self.stale && worker.takes_work.is_none_or(|at| self.now > at + WORD))
    }

    /// From 0 to 1: what a job finds beside the part of a slot that is left to its dispatcher. The same at
    /// all for one key and worker, so that a worker sheds whole keys: shed job by job, each key would be
    /// fetched at two workers, and push others out of both.
    fn luck(&self, worker: &Worker, job: &Job) -> f64 {
        let drawn = mix(job.request.key.unwrap_or(job.arrived) ^ mix(!worker.entry.address_hash));
        drawn as f64 / u64::MAX as f64
    }

    /// Whether a worker is warm, or may be sent the job while it is cold: by its bucket or a draw. A draw
    /// holds for half a window: jobs that wait, all freed at once, add up to half of a window's more.
    fn admits(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = &self.workers[index] else { return false };
        let Some(limit) = self.cold_limit(worker, job.request.class) else { return true };
        let draw = job.cold_draws.iter().find(|draw| draw.worker == index && draw.at >= worker.since);
        let lasts = |at| self.now <= at + self.settings.limits.overload_duration / 2;
        let drawn = draw.is_some_and(|draw| draw.admitted && lasts(draw.at));
        match limit.pacing {
            Pacing::RandomDraw => drawn && job.attempts.is_empty(),
            Pacing::TokenBucket => worker.bucket.covers(&limit, job.request.slots, self.now),
        }
    }

    /// Draws whether the job may go to a cold worker, the first time that it is its turn there.
    fn draw_cold(&mut self, index: usize, id: RequestId) {
        let (Some(job), Some(worker)) = (self.jobs.get(&id), &self.workers[index]) else { return };
        let Some(limit) = self.cold_limit(worker, job.request.class) else { return };
        let drawn = job.cold_draws.iter().any(|draw| draw.worker == index && draw.at >= worker.since);
        if drawn || !(self.covers(index, job) || self.can_be_probed(index, job)) {
            return;
        }
        let (rate, weight, random) = (limit.jobs_per_s, self.weight(worker), self.rng.f64());
        let Some(worker) = &mut self.workers[index] else { return };
        let (demand, asks) = (self.demand.per_s(), &mut worker.asks);
        let admitted = self.cold_admission.draw(self.now, rate, demand, weight, asks, random);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cold_draws.push(ColdDraw { worker: index, at: self.now, admitted });
        }
    }

    /// A keyed request that may have run goes only where its repeat is dropped: both by what was listed of
    /// the earlier worker then and by what is now, for either may be the older news.
    fn in_group(&self, worker: &Worker, job: &Job) -> bool {
        let class = &self.settings.classes[job.request.class as usize];
        let like = |entry: &WorkerEntry| class.deduplicates(entry, &worker.entry);
        let now_like = |n: usize| self.workers[n].as_ref().is_some_and(|first| like(&first.entry));
        job.attempts.iter().filter(|a| a.maybe_ran).all(|a| like(&a.entry) && now_like(a.worker))
    }

    /// Until when a further attempt may be written.
    fn send_by(&self, job: &Job) -> Nanos {
        let class = &self.settings.classes[job.request.class as usize];
        job.first_ran()
            .map_or(Nanos::MAX, |first| class.resend_deadline(first, self.settings.connect_timeout))
    }

    /// An open worker for the job, at random among those that suit it best.
    fn pick(&mut self, id: RequestId) -> Option<usize> {
        let job = self.jobs.get(&id)?;
        if !self.may_go_on(job) {
            return None;
        }
        if self.sparse() {
            return self.in_turn(id);
        }
        if !job.homes.is_empty() {
            return job.homes.iter().copied().find(|home| self.open(*home, job));
        }
        for pool in [&self.near, &self.far] {
            let members = pool.members();
            // Of thousands most that may be open are: a few draws find one, as evenly as one among all.
            let draws = if members.len() > FEW { DRAWS } else { 0 };
            for _ in 0..draws {
                let drawn = members[self.rng.usize(0..members.len())];
                if self.open(drawn, job) {
                    return Some(drawn);
                }
            }
            let mut open: Vec<usize> =
                members.iter().copied().filter(|index| self.open(*index, job)).collect();
            if !open.is_empty() {
                open.sort_unstable();
                return Some(open[self.rng.usize(0..open.len())]);
            }
        }
        None
    }

    fn send(&mut self, id: RequestId, index: usize, actions: &mut Vec<Action>) {
        self.unhold(id);
        let by = self.jobs.get(&id).map_or(Nanos::MAX, |job| self.send_by(job));
        let (Some(job), Some(worker)) = (self.jobs.get_mut(&id), &mut self.workers[index]) else { return };
        let attempt = job.attempts.len() as u32;
        job.attempts.push(Attempt::begin(index, worker.entry.clone(), self.now));
        let Request { slots, memory, class, .. } = job.request;
        let class = class as usize;
        let patience = job.patience.max(self.now + self.settings.classes[class].latency_objective);
        worker.load.sent(self.now, slots, memory);
        worker.signs.sent(self.now);
        actions.push(Action::Send { request: id, worker: WorkerId(index as u32), timeout: 0, send_by: by });
        let limit = self.workers[index].as_ref().and_then(|worker| self.cold_limit(worker, class as u32));
        if let (Some(limit), Some(worker)) = (limit, &mut self.workers[index]) {
            let next = worker.bucket.take(&limit, slots, self.now);
            self.at(next, Due::Serve(index));
        }
        if !self.settings.notifies_job_start {
            self.begins(id, attempt);
        }
        if self.settings.classes[class].idempotency != Idempotency::NonIdempotent && self.settings.can_cancel
        {
            self.at(self.now + self.silence() + 1, Due::Unheard(id, attempt));
        }
        if self.settings.notifies_job_start && self.settings.can_cancel {
            self.at(patience, Due::Unheard(id, attempt));
        }
        self.settle(index);
    }

    fn homes(&self, key: u64, tenant: Option<u32>) -> Vec<usize> {
        let hash = |index: usize| self.workers[index].as_ref().map(|w| w.entry.address_hash);
        let allowed = |index| hash(index).is_some_and(|hash| self.told.allows(hash, tenant, self.now));
        let mut ranked = self.ring.rank(key, NEIGHBOURS, |index| allowed(index).then_some(1.0));
        ranked.truncate(HOMES);
        ranked
    }

    /// The workers that a sparse dispatcher looks at for a job, in their order: those that its key's traffic
    /// fills in any order, then the next that rank highest for the key, or for none in particular.
    fn sought(&mut self, key: Option<u64>, class: u32, cell: Option<u32>, tenant: Option<u32>) -> Vec<usize> {
        let share = key.map_or(0.0, |key| self.keys.share(key, DOUBT));
        let busy = share * self.demand.per_s() * f64::from(self.settings.dispatchers);
        let need = busy * self.classes[class as usize].run / SECOND / SLOTS / FILL;
        let inside = |index: usize| {
            self.workers[index].as_ref().is_some_and(|w| {
                cell.is_none_or(|cell| w.entry.cell == cell)
                    && self.told.allows(w.entry.address_hash, tenant, self.now)
            })
        };
        let key = key.unwrap_or_else(|| self.rng.u64(..));
        let weight = |n: usize| self.workers[n].as_ref().filter(|_| inside(n)).map(|w| self.weight(w));
        let mut ranked = self.ring.rank(key, AROUND, weight);
        let weights: Vec<f64> = ranked.iter().filter_map(|n| weight(*n)).collect();
        let is_cold = |n: &usize| self.workers[*n].as_ref().is_some_and(|w| self.warm(w).is_some());
        let cold: BTreeSet<usize> = ranked.iter().copied().filter(is_cold).collect();
        let cold_weight: f64 = cold.iter().filter_map(|n| weight(*n)).sum();
        let (all, seen) = (weights.iter().sum::<f64>(), ranked.len().max(1) as f64);
        if cell.is_none() {
            self.cold_admission.weigh(cold_weight, all, self.ring.len() as f64 / seen, SOUGHT);
        }
        self.mean_weight = all / seen;
        let first = fill(&mut ranked, &weights, need, || self.rng.f64());
        // Cold ones have room for few: there are as many others as if there were none.
        let mut others = 0;
        ranked.retain(|n| {
            others += usize::from(!cold.contains(n));
            others < first + SOUGHT
        });
        ranked.truncate(first + MOST_SOUGHT);
        ranked
    }

    /// A sparse dispatcher's first open candidate. Those before it are heard first: sent past one, a key
    /// would be fetched at one more worker.
    fn in_turn(&mut self, id: RequestId) -> Option<usize> {
        for place in 0.. {
            let index = *self.jobs.get(&id)?.homes.get(place)?;
            self.draw_cold(index, id);
            let job = self.jobs.get(&id)?;
            if self.open(index, job) {
                return Some(index);
            }
            if self.unheard_of(index, job) {
                return None;
            }
        }
        None
    }

    /// Whether a worker that the job may go to can be asked for a report, or has been and may yet answer.
    fn unheard_of(&self, index: usize, job: &Job) -> bool {
        self.can_be_probed(index, job) && self.admits(index, job)
    }

    /// The same, whatever it may be sent while it is cold.
    fn can_be_probed(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = self.workers[index].as_ref().filter(|w| w.ready) else { return false };
        let due = if worker.probing { self.now < worker.asked + HEDGE } else { self.now >= worker.next };
        due && self.now > worker.read + FRESH
            && (worker.probing || self.probes >= 1.0)
            && self.told.allows(worker.entry.address_hash, job.request.tenant, self.now)
            && self.in_group(worker, job)
    }

    /// Its registered size, if that is told and can be.
    fn told(&self, worker: &Worker) -> f64 {
        let sound =
            |weight: &f64| self.settings.reports_registered_size && *weight > 0.0 && weight.is_finite();
        Some(worker.entry.weight).filter(sound).unwrap_or(1.0)
    }

    /// How much of the traffic a worker is to have, where a usual one has 1: what a cold one can do is a part
    /// of the fleet's, and so it is pressed as hard as the others are, far below what pushes it over.
    fn weight(&self, worker: &Worker) -> f64 {
        self.told(worker) / self.mean * self.warm(worker).unwrap_or(1.0)
    }

    /// Has the next worker probed that a held job may go to, where it is the job's turn.
    fn seek(&mut self, id: RequestId, seek: u32, actions: &mut Vec<Action>) {
        let due = |job: &&Job| job.place.is_some() && job.seek == seek;
        if self.jobs.get(&id).filter(due).is_none() || !self.sparse() {
            return;
        }
        if let Some(open) = self.pick(id) {
            return self.send(id, open, actions);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let next = job.homes.iter().copied().find(|home| self.unheard_of(*home, job));
        let again = if next.is_some() { HEDGE } else { self.jittered(TAU) };
        next.into_iter().for_each(|index| self.ask(index, actions));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.seek = seek.wrapping_add(1);
            self.at(self.now + again, Due::Seek(id, seek.wrapping_add(1)));
        }
    }

    fn ask(&mut self, index: usize, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers[index].as_mut().filter(|w| !w.probing) else { return };
        worker.asked = self.now;
        worker.next = self.now + (TAU as f64 * worker.failures.min(MAX_DOUBLINGS).exp2()) as Nanos;
        worker.timer = worker.timer.wrapping_add(1);
        worker.waiting = true;
        self.probes -= 1.0;
        let timer = worker.timer;
        self.probe(index, timer, actions);
    }

    fn sparse(&self) -> bool {
        let wanted = self.demand.per_s() * REPORT_AGE as f64 / SECOND;
        self.settings.can_probe && wanted < SPARSE * self.ring.len() as f64
    }

    /// Gives held requests to a worker that may have reopened, in their order.
    fn serve(&mut self, index: usize, actions: &mut Vec<Action>) {
        let mut after = Bound::Unbounded;
        let least = if self.sparse() { 0.0 } else { 1.0 - K };
        loop {
            let Some((place, id)) = self.held.next(index, after) else { return };
            after = Bound::Excluded(place);
            let Some(worker) = &self.workers[index] else { return };
            if worker.shut || worker.load.free.is_none_or(|free| free < least) {
                return;
            }
            let turn = if self.sparse() {
                self.in_turn(id) == Some(index)
            } else {
                self.jobs.get(&id).is_some_and(|job| self.open(index, job))
            };
            let Some(job) = self.jobs.get(&id) else { continue };
            if turn && self.may_go_on(job) {
                self.send(id, index, actions);
            } else if job.attempts.is_empty() && job.request.slots <= 1.0 && job.request.memory == 0.0 {
                // Not even for the narrowest: what waits behind it in this rank has no better chance.
                after = if job.homes.is_empty() { Bound::Excluded((place.0, u64::MAX)) } else { after };
            }
        }
    }

    // ---- what becomes of attempts --------------------------------------------------------------------

    fn progress(&mut self, id: RequestId, number: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempts.get_mut(number as usize).filter(|a| a.out) else { return };
        let first = attempt.heard.is_none();
        attempt.heard.get_or_insert(self.now);
        if let Some(worker) = &mut self.workers[attempt.worker] {
            worker.signs.ended(self.now, first, true);
        }
        if first && self.settings.notifies_job_start {
            self.begins(id, number);
        }
    }

    /// An attempt counts as a job at its worker from now on. Those at cold ones count only before others.
    fn begins(&mut self, id: RequestId, number: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let attempt = &mut job.attempts[number as usize];
        let entry = &attempt.entry;
        let warm = self.settings.limits.warm_part(entry.started, self.now, 0).is_none();
        if warm || !self.rates.seen_warm(entry.kind) {
            let worker = self.workers[attempt.worker].as_ref().filter(|_| warm);
            let present = worker.and_then(|w| self.rates.present(entry.kind, w.reported.as_ref()?));
            self.rates.begin(entry.kind, job.request.class, present, self.now);
            attempt.present = Some(self.now);
        }
    }

    fn outcome(&mut self, id: RequestId, number: u32, end: End, actions: &mut Vec<Action>) {
        let (outcome, finished, report) = end;
        let (silence, sparse) = (self.silence(), self.sparse());
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempts.get_mut(number as usize).filter(|a| a.out) else { return };
        attempt.out = false;
        attempt.maybe_ran = !outcome.never_ran();
        let (index, sent, heard) = (attempt.worker, attempt.sent, attempt.heard);
        let (entry, present) = (attempt.entry.clone(), attempt.present);
        let first = heard.is_none();
        let Request { slots, memory, key, class, tenant, .. } = job.request;
        // Where starts are not told, what is heard first is how far it is.
        let begun = heard.filter(|_| self.settings.notifies_job_start).unwrap_or(sent);
        if outcome == Outcome::Ok {
            let attempt = if sparse { self.now - begun } else { self.now - sent };
            self.classes[class as usize].ended(attempt as f64);
        }
        if let Some(begun) = present {
            let stay = Stay::of(outcome, self.settings.limits.warm_part(entry.started, self.now, 0));
            self.rates.end(entry.kind, class, begun, self.now, stay);
        }
        let part = self.part(index);
        if let Some(worker) = self.workers[index].as_mut().filter(|w| sent >= w.since) {
            worker.load.ended(self.now, slots, memory);
            let quiet = worker.signs.silent(self.now, silence);
            match outcome {
                Outcome::Ok => worker.failures *= 1.0 - FORGIVE,
                Outcome::Error | Outcome::Timeout => worker.failed(1.0),
                // Connections break, and jobs are killed, one by one; whether all has gone its probe tells.
                Outcome::Rejected | Outcome::Reset | Outcome::ConnectFailed => worker.failed(FORGIVE),
                // Cancelled for its silence: the worker may hang, and must not look idle for it.
                Outcome::Cancelled if first && quiet => worker.failed(1.0),
                Outcome::InvalidJob | Outcome::Cancelled | Outcome::NotSent => {}
            }
            let gave_none = matches!(outcome, Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent);
            worker.signs.ended(self.now, first, !gave_none);
            if let Some(report) = report.filter(|_| !worker.shut) {
                worker.report(self.now, &report, &part);
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.over |= finished;
            if job.over {
                self.end(id);
            } else if outcome == Outcome::InvalidJob {
                // Any other worker would say the same, and so would they to the client's next try.
                self.shares.give_back(job.request.tenant.filter(|_| !job.over_share));
                self.finish(id, false, actions);
            } else if job.attempts.iter().all(|a| !a.out) {
                let ran = job.attempts.iter().rev().find(|a| a.maybe_ran).map(|a| a.worker);
                let cell = ran.and_then(|w| self.workers[w].as_ref()).map(|w| w.entry.cell);
                let sought = sparse.then(|| self.sought(key, class, cell, tenant));
                if let (Some(sought), Some(job)) = (sought, self.jobs.get_mut(&id)) {
                    job.homes = sought;
                }
                self.dispatch(id, actions);
            }
        }
        self.settle(index);
        self.serve(index, actions);
    }

    // ---- probing -------------------------------------------------------------------------------------

    /// Starts or gives up the timer that leads to a worker's next probe, by whether it is closed.
    fn settle(&mut self, index: usize) {
        self.note(index);
        if self.sparse() {
            return;
        }
        let (need, need_memory) = (self.need, self.need_memory.max(self.usual_memory));
        let can_probe = self.settings.can_probe;
        let shared = self.workers[index].as_ref().is_some_and(|w| w.failures > 1.0);
        let shared = shared && 2 * self.failing.members().len() > self.ring.len();
        let Some(worker) = &mut self.workers[index] else { return };
        // One without memory takes next to nothing: left open for its slots, it would never be probed again.
        let full = worker.load.memory.is_some_and(|free| free < need_memory.min(worker.load.room));
        let closed = worker.shut
            || full
            || self.stale
            || worker.load.free.is_none_or(|free| free + K < need.min(worker.load.size.max(1.0)));
        if !closed || !worker.ready {
            if std::mem::take(&mut worker.waiting) {
                worker.timer = worker.timer.wrapping_add(1);
            }
        } else if can_probe && !worker.waiting && !worker.probing {
            worker.waiting = true;
            worker.timer = worker.timer.wrapping_add(1);
            let timer = worker.timer;
            // A worker that keeps failing is tried ever more rarely; where many fail at once, it is
            // something they share, and the fleet must not be given up for it.
            let doublings = worker.failures.min(if shared { 1.0 } else { MAX_DOUBLINGS });
            // With hundreds of dispatchers that each see little, probing every closed worker each TAU would
            // be more work than the jobs.
            let spread = self.workers.len() as f64 / (PROBES_A_JOB * self.demand.per_s()) * SECOND;
            let tau = spread.max(TAU as f64);
            let delay = self.jittered((tau * doublings.exp2()) as Nanos);
            self.at(self.now + delay, Due::Probe(index, timer));
        }
    }

    fn settle_all(&mut self, actions: &mut Vec<Action>) {
        for index in 0..self.workers.len() {
            self.settle(index);
            self.serve(index, actions);
        }
    }

    /// What of a worker's report is this dispatcher's.
    fn part(&mut self, index: usize) -> Part {
        let (dispatchers, random) = (self.settings.dispatchers, self.rng.f64());
        let worker = self.workers.get(index).and_then(Option::as_ref);
        let size = worker.map_or(1.0, |w| self.rates.usual_slots(w.entry.kind));
        if !self.sparse() {
            return Part::of_few(dispatchers, size, random);
        }
        let warm = worker.and_then(|w| self.warm(w));
        let wanted = self.demand.per_s() * REPORT_AGE as f64 / SECOND / self.ring.len().max(1) as f64;
        let asked = warm.map_or(1.0, |warm| (warm / self.mean_weight).min(1.0));
        Part::of_many(dispatchers, size, wanted, asked, warm, self.room.part())
    }

    fn probe(&mut self, index: usize, timer: u32, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers[index].as_mut().filter(|w| w.timer == timer) else { return };
        if worker.probing {
            // No answer came, not even a failed one.
            worker.failed(1.0);
            worker.probing = false;
            self.settle(index);
        } else if std::mem::take(&mut worker.waiting) && !self.told.never(worker.entry.address_hash) {
            worker.probing = true;
            actions.push(Action::Probe { worker: WorkerId(index as u32) });
            self.at(self.now + PROBE_LOST, Due::Probe(index, timer));
        }
    }

    fn probed(
        &mut self,
        id: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let index = id.0 as usize;
        let part = self.part(index);
        let warm = self.workers.get(index).and_then(Option::as_ref).is_some_and(|w| self.warm(w).is_none());
        let Some(worker) = self.workers.get_mut(index).and_then(Option::as_mut) else { return };
        if outcome == Outcome::Ok {
            report.filter(|_| warm).iter().for_each(|r| self.room.seen(r, worker.load.size.max(part.size)));
            worker.shut = false;
            worker.takes_work = Some(self.now);
            worker.report(self.now, &report.unwrap_or_default(), &part);
        } else if outcome != Outcome::NotSent {
            worker.failed(1.0);
        }
        worker.probing = false;
        worker.read = self.now;
        if worker.load.free.is_some() {
            self.rates.seen_slots(worker.entry.kind, worker.load.size);
        }
        self.settle(index);
        self.serve(index, actions);
        // What is still held for it looks further.
        let mut after = Bound::Unbounded;
        while let Some((place, id)) = self.held.next(index, after) {
            after = Bound::Excluded(place);
            let seek = self.jobs.get(&id).map_or(0, |job| job.seek);
            self.seek(id, seek, actions);
        }
    }

    // ---- health --------------------------------------------------------------------------------------

    /// How long a worker with work may go without a sign of life.
    fn silence(&self) -> Nanos {
        Signs::silence(&self.settings, self.classes.iter().map(|class| class.run).fold(0.0, f64::max))
    }

    /// A worker that took work and tells nothing of it may hang; it looks the more idle for it.
    fn silent(&self, worker: &Worker) -> bool {
        worker.signs.silent(self.now, self.silence())
    }

    /// A request that its class lets run again is called back from a silent worker.
    fn unheard(&mut self, id: RequestId, number: u32, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.over) else { return };
        let Some(attempt) = job.attempts.get(number as usize).filter(|a| a.out && a.heard.is_none()) else {
            return;
        };
        let again = self.now < job.patience.max(attempt.sent) || self.late_counts(job);
        let again = again && self.now < self.send_by(job);
        let quiet = self.workers[attempt.worker].as_ref().is_some_and(|w| self.silent(w));
        // Not started when it can only be late any more, it would take slots for nothing.
        let last = job
            .patience
            .max(attempt.sent + self.settings.classes[job.request.class as usize].latency_objective);
        let useless = self.settings.notifies_job_start && self.now >= last && !self.late_counts(job);
        if useless || quiet && again && job.attempts.len() < self.settings.max_attempts as usize {
            actions.push(Action::Cancel { request: id, attempt: number });
        }
    }

    // ---- cold workers --------------------------------------------------------------------------------

    /// The part of its capacity that a cold worker has at least; `None` if it is warm.
    fn warm(&self, worker: &Worker) -> Option<f64> {
        self.settings.limits.warm_part(worker.entry.started, self.now, 0)
    }

    /// What this dispatcher may send a worker of a class's jobs; `None` if it is warm.
    fn cold_limit(&self, worker: &Worker, class: u32) -> Option<ColdLimit> {
        let pacing = if self.sparse() { Pacing::RandomDraw } else { Pacing::TokenBucket };
        ColdLimit::new(&self.settings, &self.rates, worker, class, pacing, self.now)
    }
}
