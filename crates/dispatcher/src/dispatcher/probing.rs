//! Probes of workers: when they are sent, and what their reports say.

use std::ops::Bound;

use super::{Dispatcher, CANDIDATE_PROBE_WAIT, LOW_TRAFFIC_REPORT_AGE};
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

/// A probe unanswered for this long (ns) counts as failed.
const PROBE_TIMEOUT: Nanos = 2_000 * MILLISECOND;
/// Doublings of the wait for a probe where most workers fail: that is something they share, and the fleet
/// must not be given up for it.
const MAX_DOUBLINGS_OF_SHARED_FAULT: f64 = 1.0;

impl Dispatcher {
    /// Brings the indexes up to date with a worker, and schedules or cancels its next probe by whether it is
    /// closed. Where traffic is low workers are probed only when a job needs it.
    pub(super) fn update_open_state(&mut self, index: usize) {
        self.workers.update_indexes(index);
        if self.has_low_traffic() {
            return;
        }
        let (slots, memory) = (self.held.required_slots(), self.held.required_memory());
        let list_is_stale = self.workers.list_is_stale();
        let Some(worker) = self.workers.get_mut(index) else { return };
        let is_closed = list_is_stale || worker.is_closed_to(slots, memory);
        if !is_closed || !worker.is_ready {
            worker.probe.cancel();
        } else if self.settings.can_probe && worker.probe.is_idle() {
            self.schedule_probe(index);
        }
    }

    /// Schedules the probe of a closed worker, tau later or more.
    fn schedule_probe(&mut self, index: usize) {
        let most_are_failing = self.workers.most_are_failing();
        let worker_count = self.workers.len();
        let Some(worker) = self.workers.get_mut(index) else { return };
        // A worker that keeps failing is probed ever more rarely.
        let is_shared_fault = worker.fails_repeatedly() && most_are_failing;
        let max_doublings = if is_shared_fault { MAX_DOUBLINGS_OF_SHARED_FAULT } else { MAX_DOUBLINGS };
        let backoff_factor = worker.backoff_factor(max_doublings);
        let generation = worker.probe.schedule();
        let interval = ProbeBudget::affordable_interval_ns(worker_count, self.arrival_rate.per_s());
        let delay = self.jittered((interval.max(TAU as f64) * backoff_factor) as Nanos);
        self.timers.start(self.now + delay, Timer::Probe { worker: index, generation });
    }

    /// Updates the state of all workers, and gives them what is held.
    pub(super) fn update_all_open_states(&mut self, actions: &mut Vec<Action>) {
        for index in 0..self.workers.len() {
            self.update_open_state(index);
            self.drain_hold_queue(index, actions);
        }
    }

    /// Returns whether a candidate that the job may go to can be probed, or has been and may yet answer.
    pub(super) fn awaits_report(&self, index: usize, job: &Job) -> bool {
        self.can_be_probed(index, job) && self.slow_start_admits(index, job)
    }

    /// Returns the same as [`Dispatcher::awaits_report`], whatever the worker may be sent while it is warming
    /// up.
    pub(super) fn can_be_probed(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = self.workers.get(index).filter(|worker| worker.is_ready) else { return false };
        worker.probe.may_answer_job(CANDIDATE_PROBE_WAIT, self.now)
            && worker.probe.is_older_than(LOW_TRAFFIC_REPORT_AGE, self.now)
            && (worker.probe.is_in_flight() || self.probe_budget.allows_probe())
            && self.active_rules.allows(worker.entry.address_hash, job.request.tenant, self.now)
            && self.deduplicates_earlier_attempts(worker, job)
    }

    /// Has the next candidate of a held request probed, where traffic is low, or sends it to one that is
    /// open.
    pub(super) fn probe_next_candidate(&mut self, id: RequestId, search: u32, actions: &mut Vec<Action>) {
        let is_current = |job: &Job| job.hold_position.is_some() && job.candidate_search == search;
        if !self.jobs.get(&id).is_some_and(is_current) || !self.has_low_traffic() {
            return;
        }
        if let Some(open) = self.pick_worker(id) {
            return self.send(id, open, actions);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let next = job.candidates.iter().copied().find(|index| self.awaits_report(*index, job));
        let delay = match next {
            Some(_) => CANDIDATE_PROBE_WAIT,
            None => self.jittered(TAU),
        };
        if let Some(index) = next {
            self.probe_for_job(index, actions);
        }
        let search = search.wrapping_add(1);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.candidate_search = search;
            self.timers.start(self.now + delay, Timer::ProbeNextCandidate { request: id, search });
        }
    }

    /// Has a worker probed for a held job.
    fn probe_for_job(&mut self, index: usize, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(index) else { return };
        if worker.probe.is_in_flight() {
            return;
        }
        let pause = (TAU as f64 * worker.backoff_factor(MAX_DOUBLINGS)) as Nanos;
        let generation = worker.probe.schedule_for_job(now, now + pause);
        self.probe_budget.spend();
        self.run_probe_timer(index, generation, actions);
    }

    /// Sends the scheduled probe, or gives up the one in flight.
    pub(super) fn run_probe_timer(&mut self, index: usize, generation: u32, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers.get_mut(index) else { return };
        if !worker.probe.is_current(generation) {
            return;
        }
        if worker.probe.is_in_flight() {
            // No answer came, not even a failed one.
            worker.record_failure(FailureWeight::Full);
            worker.probe.mark_lost();
            self.update_open_state(index);
        } else if worker.probe.take_scheduled() && !self.active_rules.excludes(worker.entry.address_hash) {
            worker.probe.mark_sent();
            actions.push(Action::Probe { worker: WorkerId(index as u32) });
            self.timers.start(self.now + PROBE_TIMEOUT, Timer::Probe { worker: index, generation });
        }
    }

    /// Takes in how a probe ended.
    pub(super) fn complete_probe(
        &mut self,
        id: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let index = id.0 as usize;
        let share = self.report_share(index);
        let is_warm = !self.is_warming_up(index);
        let Some(worker) = self.workers.get_mut(index) else { return };
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
        self.update_open_state(index);
        self.drain_hold_queue(index, actions);
        self.probe_further_candidates(index, actions);
    }

    /// Has what is still held for a worker that has been probed look further.
    fn probe_further_candidates(&mut self, index: usize, actions: &mut Vec<Action>) {
        let mut after = Bound::Unbounded;
        while let Some((position, id)) = self.held.next(index, after) {
            after = Bound::Excluded(position);
            let search = self.jobs.get(&id).map_or(0, |job| job.candidate_search);
            self.probe_next_candidate(id, search, actions);
        }
    }

    /// Returns what of a worker's load report is this dispatcher's.
    pub(super) fn report_share(&mut self, index: usize) -> ReportShare {
        // Drawn in any case, so that the sequence of draws does not depend on the traffic.
        let random = self.rng.f64();
        let dispatchers = self.settings.dispatchers;
        let worker = self.workers.get(index);
        let typical_slots = worker.map_or(1.0, |worker| self.service_rates.typical_slots(worker.entry.kind));
        if !self.has_low_traffic() {
            return ReportShare::for_high_traffic(dispatchers, typical_slots, random);
        }
        let slow_start_weight = worker.and_then(|worker| self.slow_start_weight(worker));
        let relative_demand =
            slow_start_weight.map_or(1.0, |weight| (weight / self.mean_traffic_weight).min(1.0));
        let inputs = LowTrafficInputs {
            jobs_per_report: self.jobs_per_report() / self.workers.ready_count().max(1) as f64,
            relative_demand,
            slow_start_weight,
            fleet_free_share: self.fleet_free_share.share(),
        };
        ReportShare::for_low_traffic(dispatchers, typical_slots, &inputs)
    }
}
