//! Every decision of a dispatcher. Its events, actions and settings are in `interface.rs`.
//!
//! The path of a request: it comes in, is judged to be within its tenant's share or over it, and goes to an
//! open worker, one whose last probed free slots, less own sends since (own ends give back), plus K, cover
//! it. With none open it is held, in arrival order, until a worker reopens, and refused with a retry-after
//! once its wait passes the time in which it could still be of use. A worker that no longer covers a job is
//! closed and probed after TAU; open ones are not probed. An attempt that ends unserved sends the request
//! back to the hold where its class allows another, and else to its final answer. Shortly before the client
//! gives up, whatever is still open is answered.

mod admission;
mod attempts;
mod membership;
mod probing;
mod selection;
mod slow_start;

use std::collections::BTreeMap;

use crate::cold_start::Admission;
use crate::index::{Agenda, Counts, Hold, Pool, Ring};
use crate::interface::*;
use crate::load::Load;
use crate::meters::{Demand, Room, Shares};
use crate::service_rate::ServiceRates;
use crate::state::{ClassView, Due, Job, Worker};
use crate::told::Told;
use crate::{MS, SECOND};

/// Probes for each request that comes in, at most.
const PROBES_A_JOB: f64 = 4.0;
/// Each delay is drawn from this part of it to its double, so that a body of workers spreads out.
const JITTER: f64 = 0.5;
/// A report may be this old (ns): own sends and ends younger than that are not in it yet.
const REPORT_AGE: Nanos = Load::REPORT_AGE;
/// A dispatcher is sparse that sends a worker fewer jobs than this in a report's age: its own sends then say
/// next to nothing of how the worker fares, and a report is good for FRESH (ns) only. Closed workers are then
/// probed when a job wants them, one after the other, the next one where an answer takes longer than HEDGE.
const SPARSE: f64 = 0.5;
const FRESH: Nanos = 300 * MS;
const HEDGE: Nanos = 30 * MS;
/// Jobs of which the keys are remembered.
const KEYS_SEEN: f64 = 400.0;
/// Slots that a worker may be sent beyond its free ones; below 1, it only covers the noise of reports.
const K: f64 = 0.5;
/// The same for a job at a home of its key: fetching the key elsewhere costs more than a short wait.
const K_KEYED: f64 = 2.5;
/// From a close to the probe (ns): about a short job's run; reports are not fresher than that.
const TAU: Nanos = 200 * MS;

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
    fn sparse(&self) -> bool {
        let wanted = self.demand.per_s() * REPORT_AGE as f64 / SECOND;
        self.settings.can_probe && wanted < SPARSE * self.ring.len() as f64
    }
}
