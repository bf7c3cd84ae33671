//! Admission of requests, the hold queue and the final answer.

use std::ops::Bound;

use super::Dispatcher;
use crate::action::Action;
use crate::event::Request;
use crate::held_requests::{HoldPosition, HoldRank};
use crate::ids::RequestId;
use crate::job::Job;
use crate::parameters::K;
use crate::settings::{DeduplicationScope, Idempotency};
use crate::time::{Nanos, MILLISECOND};
use crate::timers::Timer;

/// Smallest slot demand of a job; smaller ones are raised to it.
const MIN_JOB_SLOTS: f64 = 0.01;
/// Where traffic is low, a request may wait, held or sent but not started, for its latency objective plus
/// this multiple of the mean run time. A request that waits longer mostly ends late, and its run would take
/// slots from the requests behind it.
const LOW_TRAFFIC_HOLD_FACTOR: f64 = 0.3;
/// Part of `latency_stretch` that is set aside for the run itself, with a margin for runs longer than the
/// mean. The rest may be spent waiting.
const RUN_TIME_STRETCH: f64 = 1.3;
/// Mean Retry-After (ns) of a rejection where traffic is low. The retry mostly goes to another dispatcher.
const LOW_TRAFFIC_RETRY_AFTER: Nanos = 100 * MILLISECOND;
/// A request with less than 1/n of its class's deadline left counts as a first request with a short deadline.
/// A retry has more time left, because it comes only one or two Retry-Afters after the first request.
const SHORT_DEADLINE_DIVISOR: Nanos = 4;

/// How long (ns) a late request waits for probes: an answer that late has no value for its class, so that it
/// does not wait for a worker that is busy.
const MAX_LATE_PROBE_WAIT: Nanos = 300 * MILLISECOND;

/// The final answer to a request that no attempt has served.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalAnswer {
    /// The request is rejected: a retry is safe.
    Reject,
    /// The request fails: it may have run, or no worker can run it.
    Fail,
}

impl Dispatcher {
    /// Accepts and dispatches an arriving request, or rejects it if the rules do not grant its tenant another
    /// request now.
    pub(super) fn accept_request(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        self.sanitize_request(&mut request);
        self.held_requests.record_memory(request.memory);
        if let Some(wait) = self.active_rules.charge(request.tenant, self.now) {
            let wait = self.jittered(wait);
            let retry_after = self.active_rules.bounded_retry_after(wait);
            let retry_after = retry_after.min(self.settings.max_retry_after);
            return actions.push(Action::Reject { request: request.id, retry_after });
        }
        let request_id = request.id;
        let job = self.create_job(request);
        self.timers.start(job.deadline, Timer::Deadline(request_id));
        self.arrival_count += 1;
        self.arrival_rate.record_arrival(self.now);
        self.probe_budget.add_request();
        self.jobs.insert(request_id, job);
        self.dispatch(request_id, actions);
    }

    /// Replaces invalid demands by the smallest valid ones, and an unknown class by the last class.
    fn sanitize_request(&self, request: &mut Request) {
        let at_least = |demand: f64, min: f64| {
            let is_valid = demand.is_finite() && demand >= 0.0;
            if is_valid {
                demand.max(min)
            } else {
                min
            }
        };
        request.slots = at_least(request.slots, MIN_JOB_SLOTS);
        request.memory = at_least(request.memory, 0.0);
        request.class = request.class.min(self.class_stats.len() as u32 - 1);
    }

    /// Creates the job of an accepted request, and charges its tenant's quota.
    fn create_job(&mut self, request: Request) -> Job {
        let deadline = self.request_deadline(&request);
        let hold_until = self.hold_deadline(&request).min(deadline);
        let quota_use = self.quotas.charge(request.tenant, self.now);
        if let Some(key) = request.key {
            self.key_frequency.add(key);
        }
        let candidates = if self.has_low_traffic() {
            self.select_candidates(request.key, request.class, None, request.tenant)
        } else {
            request.key.map_or_else(Vec::new, |key| self.affinity_workers(key, request.tenant))
        };
        Job {
            request,
            arrival_number: self.arrival_count,
            deadline,
            hold_until,
            quota_use,
            hold_position: None,
            candidates,
            slow_start_draws: Vec::new(),
            candidate_search: 0,
            attempts: Vec::new(),
            is_finished: false,
            is_streaming: false,
            probe_wait_until: None,
        }
    }

    /// Returns the time by which a request must have its final answer: shortly before its client gives up.
    fn request_deadline(&self, request: &Request) -> Nanos {
        let margin = 2 * self.settings.clock_resolution;
        let deadline = self.now + request.time_left.saturating_sub(margin);
        deadline.min(self.shutdown_deadline)
    }

    /// Returns the time until which a request may be held and can still be answered in time.
    fn hold_deadline(&self, request: &Request) -> Nanos {
        let class = &self.settings.classes[request.class as usize];
        let stats = &self.class_stats[request.class as usize];
        // A retry has less time left than a first request, and its objective began with the first request. A
        // request with very little time left is more likely the first request of a client with a short
        // deadline, and its objective begins now.
        let has_short_deadline = request.time_left < stats.deadline() / SHORT_DEADLINE_DIVISOR;
        let elapsed_since_first_request =
            if has_short_deadline { 0 } else { stats.deadline().saturating_sub(request.time_left) };
        let hold_factor = if self.has_low_traffic() {
            LOW_TRAFFIC_HOLD_FACTOR
        } else {
            (class.latency_stretch - RUN_TIME_STRETCH).max(0.0)
        };
        let max_hold = class.latency_objective as f64 + hold_factor * stats.mean_run_ns();
        (self.now + max_hold as Nanos).saturating_sub(elapsed_since_first_request)
    }

    /// Sends the request to an open worker, holds it, or gives its final answer.
    pub(super) fn dispatch(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        if let Some(worker_index) = self.pick_worker(request_id) {
            return self.send_attempt(request_id, worker_index, actions);
        }
        let Some(job) = self.jobs.get(&request_id) else { return };
        if self.now < job.hold_until && self.may_start_attempt(job) {
            let rank = if job.is_over_quota() { HoldRank::OverQuota } else { HoldRank::InTime };
            self.hold(request_id, rank);
        } else if self.may_be_held_late(job) {
            self.hold(request_id, HoldRank::Late);
        } else if self.may_wait_for_probe(job) {
            self.wait_for_probe(request_id);
        } else {
            self.reject_or_fail(request_id, actions);
        }
        let search = self.jobs.get(&request_id).map_or(0, |job| job.candidate_search);
        self.probe_next_candidate(request_id, search, actions);
    }

    /// Returns whether an answer after the latency objective still has value.
    pub(super) fn late_answer_has_value(&self, job: &Job) -> bool {
        self.class_of(job).late_weight_share > 0.0
    }

    /// Returns whether the request may stay held after an answer in time has become impossible.
    fn may_be_held_late(&self, job: &Job) -> bool {
        !job.is_over_quota() && self.late_answer_has_value(job) && self.may_start_attempt(job)
    }

    /// Returns whether the request may wait until a probe tells whether a worker is open, although an answer
    /// in time has become impossible. Where traffic is low, workers are probed only while a request is held,
    /// and without a request that waits all of them would stay closed.
    fn may_wait_for_probe(&self, job: &Job) -> bool {
        self.has_low_traffic()
            && job.attempts.is_empty()
            && self.may_start_attempt(job)
            && job.candidates.iter().any(|worker_index| self.may_open_after_probe(*worker_index, job))
    }

    /// Holds a late request for the probes of its candidates.
    fn wait_for_probe(&mut self, request_id: RequestId) {
        let Some(job) = self.jobs.get_mut(&request_id) else { return };
        job.probe_wait_until = Some((self.now + MAX_LATE_PROBE_WAIT).min(job.deadline));
        self.hold(request_id, HoldRank::Late);
    }

    /// Returns the time until which a request is held in a rank.
    fn hold_timeout(&self, job: &Job, rank: HoldRank) -> Nanos {
        let resend_deadline = self.resend_deadline(job);
        match (job.probe_wait_until, rank) {
            (Some(probe_wait_until), _) => probe_wait_until.min(resend_deadline),
            (None, HoldRank::Late) => resend_deadline,
            (None, _) => job.hold_until.min(resend_deadline),
        }
    }

    /// Adds the request to the hold queue, or moves it to another rank of the queue.
    fn hold(&mut self, request_id: RequestId, rank: HoldRank) {
        let Some(job) = self.jobs.get_mut(&request_id) else { return };
        let position = HoldPosition { rank, arrival_number: job.arrival_number };
        let previous_position = job.hold_position.replace(position);
        self.held_requests.put(request_id, previous_position, position, &job.candidates);
        let (slots, memory) = (job.request.slots, job.request.memory);
        let timeout = self.jobs.get(&request_id).map_or(self.now, |job| self.hold_timeout(job, rank));
        self.timers.start(timeout, Timer::HoldTimeout(request_id));
        if self.held_requests.raise_requirements(slots, memory) {
            // The job demands more slots or memory than any other held job. Workers that do not cover it
            // count as closed from now on, and are probed.
            for worker_index in 0..self.workers.len() {
                self.update_open_state(worker_index);
            }
        }
    }

    /// Removes the request from the hold queue, if it is held.
    pub(super) fn remove_from_hold_queue(&mut self, request_id: RequestId) {
        let Some(job) = self.jobs.get_mut(&request_id) else { return };
        if let Some(position) = job.hold_position.take() {
            self.held_requests.remove(position, &job.candidates);
            job.probe_wait_until = None;
        }
    }

    /// Gives the final answer to a held request that can no longer be answered in time, or keeps it held as a
    /// late request.
    pub(super) fn handle_hold_timeout(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&request_id) else { return };
        let hold_until = job.probe_wait_until.unwrap_or(job.hold_until);
        let has_expired = self.now >= hold_until.min(self.resend_deadline(job));
        if job.hold_position.is_none() || !has_expired {
            return;
        }
        if self.may_be_held_late(job) {
            self.hold(request_id, HoldRank::Late);
        } else {
            self.reject_or_fail(request_id, actions);
        }
    }

    /// Sends held requests to a worker that may have reopened, in the order of the hold queue.
    pub(super) fn drain_hold_queue(&mut self, worker_index: usize, actions: &mut Vec<Action>) {
        let mut after = Bound::Unbounded;
        let min_free_slots = if self.has_low_traffic() { 0.0 } else { 1.0 - K };
        while let Some((position, request_id)) = self.held_requests.next(worker_index, after) {
            after = Bound::Excluded(position);
            let Some(worker) = self.workers.get(worker_index) else { return };
            let free_slots = worker.load.free_slots();
            if worker.is_ejected() || free_slots.is_none_or(|free| free < min_free_slots) {
                return;
            }
            let is_admitted = self.admits_held_request(worker_index, request_id);
            let Some(job) = self.jobs.get(&request_id) else { continue };
            if is_admitted && self.may_start_attempt(job) {
                self.send_attempt(request_id, worker_index, actions);
            } else if job.has_least_demand() && job.candidates.is_empty() {
                // The worker is not open even for the smallest demand, so the requests behind this one in its
                // rank have no better chance.
                after = Bound::Excluded(HoldPosition::end_of(position.rank));
            }
        }
    }

    /// Returns whether a worker is open for a held request and, where traffic is low, is the request's first
    /// open candidate.
    fn admits_held_request(&mut self, worker_index: usize, request_id: RequestId) -> bool {
        if self.has_low_traffic() {
            return self.first_open_candidate(request_id) == Some(worker_index);
        }
        self.jobs.get(&request_id).is_some_and(|job| self.is_open(worker_index, job))
    }

    /// Gives the final answer unless an answer has been given or begun: a rejection if a retry is safe,
    /// otherwise a failure.
    pub(super) fn reject_or_fail(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&request_id).filter(|job| !job.is_finished && !job.is_streaming) else {
            return;
        };
        let is_repeatable_at_any_worker = matches!(
            self.class_of(job).idempotency,
            Idempotency::Idempotent | Idempotency::IdempotentWithKey(DeduplicationScope::All)
        );
        let is_retry_safe = is_repeatable_at_any_worker || job.first_possible_run().is_none();
        let answer = if is_retry_safe { FinalAnswer::Reject } else { FinalAnswer::Fail };
        self.give_final_answer(request_id, answer, actions);
    }

    /// Gives the final answer, and cancels the attempts in flight.
    pub(super) fn give_final_answer(
        &mut self,
        request_id: RequestId,
        answer: FinalAnswer,
        actions: &mut Vec<Action>,
    ) {
        match answer {
            FinalAnswer::Reject => {
                let retry_after = self.retry_after();
                actions.push(Action::Reject { request: request_id, retry_after });
            }
            FinalAnswer::Fail => actions.push(Action::Fail { request: request_id }),
        }
        self.cancel_attempts(request_id, actions);
        self.finish_request(request_id);
    }

    /// Returns the Retry-After (ns) of a rejected request.
    fn retry_after(&mut self) -> Nanos {
        let max_retry_after = self.settings.max_retry_after;
        // Where traffic is low, one dispatcher without an open worker says little about the many others, and
        // the objective of a retry runs from its first request. The retry therefore comes soon, with jitter
        // so that rejected clients do not all come back at the same moment.
        let preferred =
            if self.has_low_traffic() { self.jittered(LOW_TRAFFIC_RETRY_AFTER) } else { max_retry_after };
        self.active_rules.bounded_retry_after(preferred).min(max_retry_after)
    }

    /// Marks a request as finished. Its job is kept while attempts are in flight, only to return their slots.
    pub(super) fn finish_request(&mut self, request_id: RequestId) {
        self.remove_from_hold_queue(request_id);
        if let Some(job) = self.jobs.get_mut(&request_id) {
            job.is_finished = true;
            if !job.has_attempt_in_flight() {
                self.jobs.remove(&request_id);
            }
        }
    }
}
