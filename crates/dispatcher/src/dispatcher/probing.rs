//! Probes of workers: when they are sent, and how their load reports are applied.

use std::ops::Bound;

use super::{Dispatcher, LOW_TRAFFIC_MAX_REPORT_AGE, MAX_CANDIDATE_PROBE_WAIT};
use crate::action::Action;
use crate::event::{LoadReport, Outcome};
use crate::ids::{RequestId, WorkerId};
use crate::job::Job;
use crate::parameters::TAU;
use crate::probe_budget::ProbeBudget;
use crate::time::{Nanos, MILLISECOND};
use crate::timers::Timer;
use crate::worker::{FailureWeight, MAX_DOUBLINGS};
use crate::worker_load::{LowTrafficInputs, ReportShare};

/// Time (ns) after which an unanswered probe counts as failed.
const PROBE_TIMEOUT: Nanos = 2_000 * MILLISECOND;
/// How many times failures double the delay until a probe, at most, while most workers fail. Such failures
/// have a shared cause, and the dispatcher must not give up the fleet because of it.
const SHARED_FAULT_MAX_DOUBLINGS: f64 = 1.0;

impl Dispatcher {
    /// Updates the indexes for a worker, and schedules its next probe if it is closed or cancels the probe if
    /// it is open. Where traffic is low, workers are probed only when a job needs a report.
    pub(super) fn update_open_state(&mut self, worker_index: usize) {
        self.workers.update_indexes(worker_index);
        if self.has_low_traffic() {
            return;
        }
        let (slots, memory) = (self.held_requests.required_slots(), self.held_requests.required_memory());
        let list_is_stale = self.workers.list_is_stale();
        let Some(worker) = self.workers.get_mut(worker_index) else { return };
        let is_closed = list_is_stale || worker.is_closed_to(slots, memory);
        if !is_closed || !worker.is_ready {
            worker.probe.cancel();
        } else if self.settings.can_probe && worker.probe.is_idle() {
            self.schedule_probe(worker_index);
        }
    }

    /// Schedules the probe of a closed worker after tau, or after a longer delay if the probe budget or the
    /// worker's failures require it.
    fn schedule_probe(&mut self, worker_index: usize) {
        let most_are_failing = self.workers.most_are_failing();
        let worker_count = self.workers.len();
        let Some(worker) = self.workers.get_mut(worker_index) else { return };
        // A worker that keeps failing is probed less and less often.
        let has_shared_fault = worker.fails_repeatedly() && most_are_failing;
        let max_doublings = if has_shared_fault { SHARED_FAULT_MAX_DOUBLINGS } else { MAX_DOUBLINGS };
        let backoff_factor = worker.backoff_factor(max_doublings);
        let generation = worker.probe.schedule();
        let affordable_interval =
            ProbeBudget::affordable_interval_ns(worker_count, self.arrival_rate.per_s());
        let delay = self.jittered((affordable_interval.max(TAU as f64) * backoff_factor) as Nanos);
        self.timers.start(self.now + delay, Timer::Probe { worker: worker_index, generation });
    }

    /// Updates the open state of all workers, and sends them held requests.
    pub(super) fn update_all_open_states(&mut self, actions: &mut Vec<Action>) {
        for worker_index in 0..self.workers.len() {
            self.update_open_state(worker_index);
            self.drain_hold_queue(worker_index, actions);
        }
    }

    /// Returns whether the report of a probe may open the candidate for the job: the worker can report in
    /// time, and its slow start admits the job.
    pub(super) fn may_open_after_probe(&self, worker_index: usize, job: &Job) -> bool {
        self.can_report_in_time(worker_index, job) && self.slow_start_admits(worker_index, job)
    }

    /// Returns whether a ready worker can be probed for the job, or whether its probe in flight may still be
    /// answered in time. Ignores the limit of a slow start, unlike [`Dispatcher::may_open_after_probe`].
    pub(super) fn can_report_in_time(&self, worker_index: usize, job: &Job) -> bool {
        let Some(worker) = self.workers.get(worker_index).filter(|worker| worker.is_ready) else {
            return false;
        };
        worker.probe.may_answer_job(MAX_CANDIDATE_PROBE_WAIT, self.now)
            && worker.probe.is_older_than(LOW_TRAFFIC_MAX_REPORT_AGE, self.now)
            && (worker.probe.is_in_flight() || self.probe_budget.allows_probe())
            && self.active_rules.allows(worker.entry.address_hash, job.request.tenant, self.now)
            && self.deduplicates_earlier_attempts(worker, job)
    }

    /// Sends a held request to an open candidate, or probes its next candidate. Does nothing unless traffic
    /// is low and `search` is the job's current search.
    pub(super) fn probe_next_candidate(
        &mut self,
        request_id: RequestId,
        search: u32,
        actions: &mut Vec<Action>,
    ) {
        let is_current = |job: &Job| job.hold_position.is_some() && job.candidate_search == search;
        if !self.jobs.get(&request_id).is_some_and(is_current) || !self.has_low_traffic() {
            return;
        }
        if let Some(open_worker) = self.pick_worker(request_id) {
            return self.send_attempt(request_id, open_worker, actions);
        }
        let Some(job) = self.jobs.get(&request_id) else { return };
        let next_candidate =
            job.candidates.iter().copied().find(|index| self.may_open_after_probe(*index, job));
        let delay = match next_candidate {
            Some(_) => MAX_CANDIDATE_PROBE_WAIT,
            None => self.jittered(TAU),
        };
        if let Some(worker_index) = next_candidate {
            self.probe_for_held_job(worker_index, actions);
        }
        let search = search.wrapping_add(1);
        if let Some(job) = self.jobs.get_mut(&request_id) {
            job.candidate_search = search;
            self.timers.start(self.now + delay, Timer::ProbeNextCandidate { request: request_id, search });
        }
    }

    /// Probes a worker for a held job, unless a probe is already in flight.
    fn probe_for_held_job(&mut self, worker_index: usize, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(worker_index) else { return };
        if worker.probe.is_in_flight() {
            return;
        }
        let min_interval = (TAU as f64 * worker.backoff_factor(MAX_DOUBLINGS)) as Nanos;
        let generation = worker.probe.schedule_for_job(now, now + min_interval);
        self.probe_budget.spend();
        self.handle_probe_timer(worker_index, generation, actions);
    }

    /// Sends the scheduled probe, or counts the probe in flight as failed.
    pub(super) fn handle_probe_timer(
        &mut self,
        worker_index: usize,
        generation: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_index) else { return };
        if !worker.probe.is_current(generation) {
            return;
        }
        if worker.probe.is_in_flight() {
            // The probe timed out: neither an answer nor a failure was reported.
            worker.record_failure(FailureWeight::Full);
            worker.probe.mark_lost();
            self.update_open_state(worker_index);
        } else if worker.probe.take_scheduled() && !self.active_rules.excludes(worker.entry.address_hash) {
            worker.probe.mark_sent();
            actions.push(Action::Probe { worker: WorkerId(worker_index as u32) });
            self.timers.start(self.now + PROBE_TIMEOUT, Timer::Probe { worker: worker_index, generation });
        }
    }

    /// Processes the outcome of a probe.
    pub(super) fn handle_probe_completed(
        &mut self,
        worker_id: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let worker_index = worker_id.0 as usize;
        let share = self.report_share(worker_index);
        let is_warm = !self.is_warming_up(worker_index);
        let Some(worker) = self.workers.get_mut(worker_index) else { return };
        if outcome == Outcome::Ok {
            if let Some(report) = report.filter(|_| is_warm) {
                let slots = worker.load.known_slots().max(share.typical_slots());
                self.fleet_free_share.record(&report, slots);
            }
            worker.confirm(self.now);
            worker.apply_report(self.now, &report.unwrap_or_default(), &share);
        } else if outcome != Outcome::NotSent {
            worker.record_failure(FailureWeight::Full);
        }
        worker.probe.mark_ended(self.now);
        if worker.load.free_slots().is_some() {
            self.service_rates.record_slots(worker.entry.kind, worker.load.known_slots());
        }
        self.update_open_state(worker_index);
        self.drain_hold_queue(worker_index, actions);
        self.resume_candidate_searches(worker_index, actions);
    }

    /// Continues the candidate search of each request that is still held for a worker after its probe.
    fn resume_candidate_searches(&mut self, worker_index: usize, actions: &mut Vec<Action>) {
        let mut after = Bound::Unbounded;
        while let Some((position, request_id)) = self.held_requests.next(worker_index, after) {
            after = Bound::Excluded(position);
            let search = self.jobs.get(&request_id).map_or(0, |job| job.candidate_search);
            self.probe_next_candidate(request_id, search, actions);
        }
    }

    /// Returns the share of a worker's reported free slots that this dispatcher counts as its own.
    pub(super) fn report_share(&mut self, worker_index: usize) -> ReportShare {
        // The number is drawn even if it is not used, so that the sequence of draws does not depend on the
        // traffic.
        let rounding = self.rng.f64();
        let dispatchers = self.settings.dispatchers;
        let worker = self.workers.get(worker_index);
        let typical_slots = worker.map_or(1.0, |worker| self.service_rates.typical_slots(worker.entry.kind));
        if !self.has_low_traffic() {
            return ReportShare::for_high_traffic(dispatchers, typical_slots, rounding);
        }
        let slow_start_weight = worker.and_then(|worker| self.slow_start_weight(worker));
        let relative_demand =
            slow_start_weight.map_or(1.0, |weight| (weight / self.mean_traffic_weight).min(1.0));
        let inputs = LowTrafficInputs {
            jobs_per_report: self.arrivals_per_report_age() / self.workers.ready_count().max(1) as f64,
            relative_demand,
            slow_start_weight,
            fleet_free_share: self.fleet_free_share.share(),
        };
        ReportShare::for_low_traffic(dispatchers, typical_slots, &inputs)
    }
}
