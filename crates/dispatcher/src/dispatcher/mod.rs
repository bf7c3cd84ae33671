//! The dispatch algorithm, a state machine that turns events into actions.
//!
//! An arriving request is classified as within or over its tenant's quota and sent to an open worker. A
//! worker is open for a job while its last probed free slots, less the slots of this dispatcher's own sends
//! since then (jobs that end return theirs), plus K, cover the job. If no worker is open, the request is
//! held, in arrival order, until a worker reopens. It is rejected with a Retry-After once it has been held so
//! long that an answer would come too late. A worker that no longer covers a job is closed and is probed
//! after tau; open workers are not probed. An attempt that ends without a result returns the request to the
//! hold queue if its class allows another attempt; otherwise the request gets its final answer. A request
//! that is still open shortly before its client gives up gets its final answer then.
//!
//! A dispatcher that sends each worker only a few jobs ("low traffic") does not probe closed workers on a
//! schedule. It probes a job's candidates one after the other when the job needs them.

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

/// Smallest factor by which jitter multiplies a delay; the largest is 2 less this factor. Workers that close
/// at the same time thus do not reopen at the same time.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Traffic is low while the dispatcher sends fewer jobs than this to each ready worker within
/// [`MAX_REPORT_AGE`]. Its own sends then say almost nothing about a worker's load.
const LOW_TRAFFIC_MAX_JOBS_PER_WORKER: f64 = 0.5;
/// How long (ns) a load report stays valid where traffic is low.
const LOW_TRAFFIC_MAX_REPORT_AGE: Nanos = 300 * MILLISECOND;
/// How long (ns) a job waits for the probe of one candidate before it continues with the next candidate.
const MAX_CANDIDATE_PROBE_WAIT: Nanos = 30 * MILLISECOND;
/// Number of recent requests from which the frequency of keys is estimated.
const KEY_FREQUENCY_CAPACITY: f64 = 400.0;

/// Decides where and when one dispatcher sends its requests, as a state machine without I/O.
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    timers: TimerQueue<Timer>,
    /// Time by which the shutdown requires an answer to every request; `Nanos::MAX` before a shutdown.
    shutdown_deadline: Nanos,
    workers: WorkerTable,
    /// Whether the first subscription to membership changes has been requested.
    has_subscribed: bool,
    active_rules: ActiveRules,
    jobs: BTreeMap<RequestId, Job>,
    /// Number of accepted requests, by which jobs are numbered in arrival order.
    arrival_count: u64,
    held_requests: HeldRequests,
    quotas: Quotas,
    arrival_rate: ArrivalRate,
    class_stats: Vec<ClassStats>,
    key_frequency: KeyFrequency,
    /// Mean traffic weight of the workers in the last ranking of candidates.
    mean_traffic_weight: f64,
    service_rates: ServiceRates,
    slow_start_admission: SlowStartAdmission,
    probe_budget: ProbeBudget,
    fleet_free_share: FleetFreeShare,
}

impl Dispatcher {
    /// Creates a dispatcher without workers. All its random choices derive from `seed`.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or impossible.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            timers: TimerQueue::default(),
            shutdown_deadline: Nanos::MAX,
            workers: WorkerTable::new(&settings),
            has_subscribed: false,
            active_rules: ActiveRules::default(),
            jobs: BTreeMap::new(),
            arrival_count: 0,
            held_requests: HeldRequests::new(),
            quotas: Quotas::new(&settings),
            arrival_rate: ArrivalRate::new(&settings),
            class_stats: settings.classes.iter().map(ClassStats::new).collect(),
            key_frequency: KeyFrequency::new(KEY_FREQUENCY_CAPACITY),
            mean_traffic_weight: 1.0,
            service_rates: ServiceRates::new(&settings),
            slow_start_admission: SlowStartAdmission::default(),
            probe_budget: ProbeBudget::new(),
            fleet_free_share: FleetFreeShare::default(),
            settings,
        })
    }

    /// Processes one event that occurs at `now`, and appends the resulting actions in the order in which they
    /// must be carried out. A time before that of an earlier event is replaced by the earlier event's time.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.handle_event(event, actions);
        while let Some(timer) = self.timers.pop_expired(self.now) {
            self.handle_timer(timer, actions);
        }
        if self.timers.needs_compaction() {
            self.compact_timers();
        }
        actions.extend(self.timers.request_wake(self.now).map(|at| Action::Wake { at }));
    }

    fn handle_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::WorkerList { kind, entries } => self.apply_worker_list(kind, entries, actions),
            Event::Request(request) => self.accept_request(request, actions),
            Event::Progress { request, attempt: number } => {
                self.record_progress(AttemptId { request, number });
            }
            Event::Streaming { request, attempt: number } => {
                self.record_progress(AttemptId { request, number });
                if let Some(job) = self.jobs.get_mut(&request) {
                    job.is_streaming = true;
                }
            }
            Event::AttemptEnded { request, attempt: number, outcome, request_is_finished, report } => {
                let outcome = AttemptOutcome { outcome, request_is_finished, report };
                self.end_attempt(AttemptId { request, number }, &outcome, actions);
            }
            Event::ProbeCompleted { worker, outcome, report } => {
                self.handle_probe_completed(worker, outcome, report, actions);
            }
            Event::ClientDisconnected { request } => {
                self.cancel_attempts(request, actions);
                self.finish_request(request);
            }
            Event::Shutdown { deadline } => self.begin_shutdown(deadline),
            Event::Rules { rules, valid_until } => self.apply_rules(rules, valid_until, actions),
            // A caller with a coarser clock may wake the dispatcher slightly early. The requested wake-up
            // then counts as delivered, and the next one is requested.
            Event::Wake => self.timers.record_wake(self.now + self.settings.clock_resolution),
        }
    }

    fn handle_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::Deadline(request) => self.reject_or_fail(request, actions),
            Timer::HoldTimeout(request) => self.handle_hold_timeout(request, actions),
            Timer::SignalTimeout(attempt) => self.cancel_unconfirmed_attempt(attempt, actions),
            Timer::Probe { worker, generation } => self.handle_probe_timer(worker, generation, actions),
            Timer::ProbeNextCandidate { request, search } => {
                self.probe_next_candidate(request, search, actions);
            }
            Timer::DrainHoldQueue { worker } => self.drain_hold_queue(worker, actions),
            Timer::Subscribe => actions.push(Action::Subscribe),
        }
    }

    /// Returns the number of timers, for monitoring. The numbers of open requests and workers bound it.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Removes the timers that would have no effect, most of them of requests that are finished.
    fn compact_timers(&mut self) {
        let mut timers = std::mem::take(&mut self.timers);
        timers.compact(|timer| self.is_obsolete(timer));
        self.timers = timers;
    }

    /// Returns whether a timer would have no effect, now and later.
    fn is_obsolete(&self, timer: &Timer) -> bool {
        let open_job = |request: &RequestId| self.jobs.get(request).filter(|job| !job.is_finished);
        match timer {
            Timer::Deadline(request) => open_job(request).is_none(),
            Timer::HoldTimeout(request) => open_job(request).is_none_or(|job| job.hold_position.is_none()),
            Timer::SignalTimeout(attempt) => {
                let number = attempt.number as usize;
                let attempt = open_job(&attempt.request).and_then(|job| job.attempts.get(number));
                attempt.is_none_or(|attempt| !attempt.is_unconfirmed())
            }
            Timer::Probe { worker, generation } => {
                self.workers.get(*worker).is_none_or(|worker| !worker.probe.is_current(*generation))
            }
            Timer::ProbeNextCandidate { request, search } => {
                open_job(request).is_none_or(|job| job.candidate_search != *search)
            }
            Timer::DrainHoldQueue { .. } | Timer::Subscribe => false,
        }
    }

    /// Limits the deadline of all current and later requests to the deadline of the shutdown.
    fn begin_shutdown(&mut self, deadline: Nanos) {
        self.shutdown_deadline = deadline.min(self.shutdown_deadline);
        for request in self.jobs.keys() {
            self.timers.start(self.shutdown_deadline, Timer::Deadline(*request));
        }
    }

    /// Returns a delay (ns) with jitter, drawn evenly from half the given delay to one and a half times it.
    fn jittered(&mut self, delay: Nanos) -> Nanos {
        let factor = MIN_JITTER_FACTOR + self.rng.f64() * (2.0 - MIN_JITTER_FACTOR - MIN_JITTER_FACTOR);
        (delay as f64 * factor) as Nanos
    }

    /// Returns the settings of the class of a job's request.
    fn class_of(&self, job: &Job) -> &Class {
        &self.settings.classes[job.request.class as usize]
    }

    /// Returns the expected number of requests that arrive within [`MAX_REPORT_AGE`].
    fn arrivals_per_report_age(&self) -> f64 {
        self.arrival_rate.per_s() * MAX_REPORT_AGE as f64 / NANOS_PER_SECOND
    }

    /// Returns whether workers can be probed and traffic is low ([`LOW_TRAFFIC_MAX_JOBS_PER_WORKER`]).
    fn has_low_traffic(&self) -> bool {
        let limit = LOW_TRAFFIC_MAX_JOBS_PER_WORKER * self.workers.ready_count() as f64;
        self.settings.can_probe && self.arrivals_per_report_age() < limit
    }
}
