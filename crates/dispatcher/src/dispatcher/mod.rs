//! The dispatcher's decisions.
//!
//! A request arrives, is judged to be within its tenant's quota or over it, and goes to an open worker: one
//! whose last probed free slots, less own sends since (own ends give back), plus K, cover it. With none open
//! it is held, in arrival order, until a worker reopens, and rejected with a Retry-After once it has waited
//! for so long that an answer would come too late. A worker that no longer covers a job is closed and probed
//! after tau; open ones are not probed. An attempt that ends without a result sends the request back to the
//! hold queue where its class allows another attempt, and else to its final answer. Shortly before the client
//! gives up, whatever is still open is answered.
//!
//! A dispatcher that sends each worker next to nothing ("low traffic") probes instead when a job needs it:
//! the job's candidates, one after the other.

mod admission;
mod attempts;
mod membership;
mod probing;
mod selection;
mod slow_start;

use std::collections::BTreeMap;

use crate::action::Action;
use crate::active_rules::ActiveRules;
use crate::event::Event;
use crate::held_requests::HeldRequests;
use crate::ids::{AttemptId, RequestId};
use crate::job::{AttemptOutcome, Job};
use crate::key_frequency::KeyFrequency;
use crate::probe_budget::ProbeBudget;
use crate::service_rate::ServiceRates;
use crate::settings::{Class, Settings, SettingsError};
use crate::slow_start_admission::SlowStartAdmission;
use crate::time::{Nanos, MILLISECOND, NANOS_PER_SECOND};
use crate::timers::{Timer, TimerQueue};
use crate::traffic::{ArrivalRate, ClassStats, Quotas};
use crate::worker_load::{FleetFreeShare, MAX_REPORT_AGE};
use crate::worker_table::WorkerTable;

/// Each delay is drawn evenly from half of it to one and a half times it, so that workers that close together
/// do not reopen together.
const JITTER: f64 = 0.5;
/// A dispatcher has little traffic that sends a worker fewer jobs than this in a report's age: its own sends
/// then say next to nothing of how the worker fares.
const LOW_TRAFFIC_JOBS_PER_REPORT: f64 = 0.5;
/// How long (ns) a report is good for where traffic is low.
const LOW_TRAFFIC_REPORT_AGE: Nanos = 300 * MILLISECOND;
/// A probe that takes longer than this (ns) no longer keeps a job from its next candidate.
const CANDIDATE_PROBE_WAIT: Nanos = 30 * MILLISECOND;
/// Requests of which the keys are remembered.
const REMEMBERED_KEYS: f64 = 400.0;

/// One dispatcher's decisions, as a state machine without I/O.
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    timers: TimerQueue<Timer>,
    /// When all requests must be answered, for the dispatcher shuts down.
    shutdown_deadline: Nanos,
    workers: WorkerTable,
    /// Whether membership changes have been subscribed to.
    is_subscribed: bool,
    active_rules: ActiveRules,
    jobs: BTreeMap<RequestId, Job>,
    /// Requests that have arrived.
    arrivals: u64,
    held: HeldRequests,
    quotas: Quotas,
    arrival_rate: ArrivalRate,
    classes: Vec<ClassStats>,
    key_frequency: KeyFrequency,
    /// Mean traffic weight of the workers, as of the last candidates that were ranked.
    mean_traffic_weight: f64,
    service_rates: ServiceRates,
    slow_start_admission: SlowStartAdmission,
    probe_budget: ProbeBudget,
    fleet_free_share: FleetFreeShare,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no workers. Its random choices follow from the seed.
    ///
    /// # Errors
    ///
    /// Returns an error if no decisions can be made by the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            timers: TimerQueue::default(),
            shutdown_deadline: Nanos::MAX,
            workers: WorkerTable::new(&settings),
            is_subscribed: false,
            active_rules: ActiveRules::default(),
            jobs: BTreeMap::new(),
            arrivals: 0,
            held: HeldRequests::new(),
            quotas: Quotas::new(&settings),
            arrival_rate: ArrivalRate::new(&settings),
            classes: settings.classes.iter().map(ClassStats::new).collect(),
            key_frequency: KeyFrequency::new(REMEMBERED_KEYS),
            mean_traffic_weight: 1.0,
            service_rates: ServiceRates::new(&settings),
            slow_start_admission: SlowStartAdmission::default(),
            probe_budget: ProbeBudget::new(),
            fleet_free_share: FleetFreeShare::default(),
            settings,
        })
    }

    /// Takes in one event at its time, and appends what is to be done about it, in order. A time before that
    /// of an earlier event counts as that one.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.apply_event(event, actions);
        while let Some(timer) = self.timers.pop_expired(self.now) {
            self.apply_timer(timer, actions);
        }
        actions.extend(self.timers.request_wake(self.now).map(|at| Action::Wake { at }));
    }

    fn apply_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::WorkerList { kind, entries } => self.apply_worker_list(kind, entries, actions),
            Event::Request(request) => self.accept_request(request, actions),
            Event::Progress { request, attempt: number } => {
                self.note_progress(AttemptId { request, number });
            }
            Event::Streaming { request, attempt: number } => {
                self.note_progress(AttemptId { request, number });
                if let Some(job) = self.jobs.get_mut(&request) {
                    job.is_streaming = true;
                }
            }
            Event::AttemptEnded { request, attempt: number, outcome, request_is_finished, report } => {
                let outcome = AttemptOutcome { outcome, request_is_finished, report };
                self.end_attempt(AttemptId { request, number }, &outcome, actions);
            }
            Event::ProbeCompleted { worker, outcome, report } => {
                self.complete_probe(worker, outcome, report, actions);
            }
            Event::ClientDisconnected { request } => {
                self.cancel_attempts(request, actions);
                self.close_request(request);
            }
            Event::Shutdown { deadline } => self.begin_shutdown(deadline),
            Event::Rules { rules, valid_until } => self.apply_rules(rules, valid_until, actions),
            // A wake-up may come a little early, where the caller's clock is coarser: the next is requested
            // anew.
            Event::Wake => self.timers.record_wake(self.now + self.settings.clock_resolution),
        }
    }

    fn apply_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::Deadline(request) => self.answer(request, actions),
            Timer::HoldTimeout(request) => self.end_hold(request, actions),
            Timer::Hedge(attempt) => self.cancel_unconfirmed(attempt, actions),
            Timer::Probe { worker, number } => self.run_probe_timer(worker, number, actions),
            Timer::ProbeNextCandidate { request, search } => {
                self.probe_next_candidate(request, search, actions);
            }
            Timer::DrainHoldQueue { worker } => self.drain_hold_queue(worker, actions),
            Timer::Subscribe => actions.push(Action::Subscribe),
        }
    }

    /// Moves the deadline of all requests up to that of the shutdown.
    fn begin_shutdown(&mut self, deadline: Nanos) {
        self.shutdown_deadline = deadline.min(self.shutdown_deadline);
        for request in self.jobs.keys() {
            self.timers.start(self.shutdown_deadline, Timer::Deadline(*request));
        }
    }

    /// Returns a delay (ns) drawn from around the given one.
    fn jittered(&mut self, delay: Nanos) -> Nanos {
        let factor = JITTER + self.rng.f64() * (2.0 - JITTER - JITTER);
        (delay as f64 * factor) as Nanos
    }

    /// Returns the class of a job's request.
    fn class_of(&self, job: &Job) -> &Class {
        &self.settings.classes[job.request.class as usize]
    }

    /// Returns the jobs that arrive in the age of a report.
    fn jobs_per_report(&self) -> f64 {
        self.arrival_rate.per_s() * MAX_REPORT_AGE as f64 / NANOS_PER_SECOND
    }

    /// Returns whether the dispatcher sends each worker next to nothing.
    fn has_low_traffic(&self) -> bool {
        let limit = LOW_TRAFFIC_JOBS_PER_REPORT * self.workers.ready_count() as f64;
        self.settings.can_probe && self.jobs_per_report() < limit
    }
}
