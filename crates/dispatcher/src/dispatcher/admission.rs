//! What becomes of a request: admission, the hold queue and the final answer.

use std::ops::Bound;

use super::Dispatcher;
use crate::action::Action;
use crate::event::Request;
use crate::held_requests::{HoldPosition, HoldRank};
use crate::ids::RequestId;
use crate::job::Job;
use crate::paper::K;
use crate::settings::{DeduplicationScope, Idempotency};
use crate::time::{Nanos, MILLISECOND};
use crate::timers::Timer;

/// Least slots that a job is taken to need.
const MIN_SLOTS: f64 = 0.01;
/// Where traffic is low a request waits, held or unstarted, for its latency objective and this part of a
/// usual run: what waits longer is mostly late, and run all the same it takes the slots of those behind it.
const LOW_TRAFFIC_HOLD_FACTOR: f64 = 0.3;
/// The part of `latency_stretch` that the run itself takes, with some time for a run longer than usual. The
/// rest may be spent waiting.
const RUN_STRETCH: f64 = 1.3;
/// A client that is rejected where traffic is low comes back after about this long (ns), mostly to another
/// dispatcher.
const LOW_TRAFFIC_RETRY_AFTER: Nanos = 100 * MILLISECOND;
/// A first request may be given this part (1/n) of its class's deadline, or less: a retry has more left, for
/// it comes a Retry-After or two later and not much more.
const HURRIED_DIVISOR: Nanos = 4;

/// The final answer to a request that no attempt has served.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalAnswer {
    /// It was rejected: a retry is harmless.
    Reject,
    /// It failed: it may have run.
    Fail,
}

impl Dispatcher {
    /// Takes in a request that arrives.
    pub(super) fn accept_request(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        self.correct_figures(&mut request);
        self.held.record_memory(request.memory);
        if let Some(wait) = self.active_rules.charge(request.tenant, self.now) {
            let wait = self.jittered(wait);
            let retry_after = self.active_rules.bounded_retry_after(wait);
            let retry_after = retry_after.min(self.settings.max_retry_after);
            return actions.push(Action::Reject { request: request.id, retry_after });
        }
        let id = request.id;
        let job = self.new_job(request);
        self.timers.start(job.deadline, Timer::Deadline(id));
        self.arrivals += 1;
        self.arrival_rate.record_arrival(self.now);
        self.probe_budget.add_request();
        self.jobs.insert(id, job);
        self.dispatch(id, actions);
    }

    /// Replaces impossible figures by the least possible ones, and an unknown class by the last.
    fn correct_figures(&self, request: &mut Request) {
        let at_least = |figure: f64, least: f64| {
            let is_possible = figure.is_finite() && figure >= 0.0;
            if is_possible {
                figure.max(least)
            } else {
                least
            }
        };
        request.slots = at_least(request.slots, MIN_SLOTS);
        request.memory = at_least(request.memory, 0.0);
        request.class = request.class.min(self.classes.len() as u32 - 1);
    }

    /// Creates the job of an accepted request, and charges its tenant's quota.
    fn new_job(&mut self, request: Request) -> Job {
        let deadline = self.request_deadline(&request);
        let hold_until = self.hold_until(&request).min(deadline);
        let quota_use = self.quotas.charge(request.tenant, self.now);
        if let Some(key) = request.key {
            self.key_frequency.add(key);
        }
        let candidates = if self.has_low_traffic() {
            self.candidates(request.key, request.class, None, request.tenant)
        } else {
            request.key.map_or_else(Vec::new, |key| self.affinity_workers(key, request.tenant))
        };
        Job {
            request,
            arrival: self.arrivals,
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
        }
    }

    /// Returns when a request must have its final answer, a little before its client gives up.
    fn request_deadline(&self, request: &Request) -> Nanos {
        let margin = 2 * self.settings.clock_resolution;
        let deadline = self.now + request.time_left.saturating_sub(margin);
        deadline.min(self.shutdown_deadline)
    }

    /// Returns until when a request may be held as one that can still be answered in time.
    fn hold_until(&self, request: &Request) -> Nanos {
        let class = &self.settings.classes[request.class as usize];
        let stats = &self.classes[request.class as usize];
        // A retry has less time left than a first request: its objective began with that one. With hardly any
        // left it is more likely the first request of a client in a hurry, whose objective begins now.
        let is_hurried = request.time_left < stats.deadline() / HURRIED_DIVISOR;
        let elapsed = if is_hurried { 0 } else { stats.deadline().saturating_sub(request.time_left) };
        let hold_factor = if self.has_low_traffic() {
            LOW_TRAFFIC_HOLD_FACTOR
        } else {
            (class.latency_stretch - RUN_STRETCH).max(0.0)
        };
        let max_hold = class.latency_objective as f64 + hold_factor * stats.mean_run_ns();
        (self.now + max_hold as Nanos).saturating_sub(elapsed)
    }

    /// Sends the request to an open worker, or holds it.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(worker) = self.pick_worker(id) {
            return self.send(id, worker, actions);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        if self.now < job.hold_until && self.may_be_attempted(job) {
            let rank = if job.is_over_quota() { HoldRank::OverQuota } else { HoldRank::InTime };
            self.hold(id, rank);
        } else if self.is_worth_holding_late(job) {
            self.hold(id, HoldRank::Late);
        } else {
            self.answer(id, actions);
        }
        let search = self.jobs.get(&id).map_or(0, |job| job.candidate_search);
        self.probe_next_candidate(id, search, actions);
    }

    /// Returns whether a late answer to the request has any value.
    pub(super) fn late_answer_counts(&self, job: &Job) -> bool {
        self.class_of(job).late_weight_share > 0.0
    }

    /// Returns whether the request may be held on once an answer in time is no longer possible.
    fn is_worth_holding_late(&self, job: &Job) -> bool {
        !job.is_over_quota() && self.late_answer_counts(job) && self.may_be_attempted(job)
    }

    /// Puts the request into the hold queue, or moves it there to another rank.
    fn hold(&mut self, id: RequestId, rank: HoldRank) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let position = HoldPosition { rank, arrival: job.arrival };
        let former = job.hold_position.replace(position);
        self.held.put(id, former, position, &job.candidates);
        let (hold_until, slots, memory) = (job.hold_until, job.request.slots, job.request.memory);
        let send_by = self.jobs.get(&id).map_or(hold_until, |job| self.send_by(job));
        let timeout = if rank == HoldRank::Late { send_by } else { hold_until.min(send_by) };
        self.timers.start(timeout, Timer::HoldTimeout(id));
        if self.held.raise_requirements(slots, memory) {
            // A wide job is waiting: workers that cover only narrow ones are closed to it, and probed.
            for worker in 0..self.workers.len() {
                self.update_open_state(worker);
            }
        }
    }

    /// Removes the request from the hold queue, if it is there.
    pub(super) fn unhold(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(position) = job.hold_position.take() {
            self.held.remove(position, &job.candidates);
        }
    }

    /// Answers a held request, or holds it on as a late one, once an answer in time is no longer possible.
    pub(super) fn end_hold(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let is_over = self.now >= job.hold_until.min(self.send_by(job));
        if job.hold_position.is_none() || !is_over {
            return;
        }
        if self.is_worth_holding_late(job) {
            self.hold(id, HoldRank::Late);
        } else {
            self.answer(id, actions);
        }
    }

    /// Gives held requests to a worker that may have reopened, in their order.
    pub(super) fn drain_hold_queue(&mut self, index: usize, actions: &mut Vec<Action>) {
        let mut after = Bound::Unbounded;
        let min_free_slots = if self.has_low_traffic() { 0.0 } else { 1.0 - K };
        while let Some((position, id)) = self.held.next(index, after) {
            after = Bound::Excluded(position);
            let Some(worker) = self.workers.get(index) else { return };
            let free_slots = worker.load.free_slots();
            if worker.is_ejected() || free_slots.is_none_or(|free| free < min_free_slots) {
                return;
            }
            let may_take = self.may_take_held(index, id);
            let Some(job) = self.jobs.get(&id) else { continue };
            if may_take && self.may_be_attempted(job) {
                self.send(id, index, actions);
            } else if job.has_least_demand() && job.candidates.is_empty() {
                // Not even for the narrowest: what waits behind it in this rank has no better chance.
                after = Bound::Excluded(HoldPosition::end_of(position.rank));
            }
        }
    }

    /// Returns whether it is a held request's turn at a worker, and the worker is open for it.
    fn may_take_held(&mut self, index: usize, id: RequestId) -> bool {
        if self.has_low_traffic() {
            return self.first_open_candidate(id) == Some(index);
        }
        self.jobs.get(&id).is_some_and(|job| self.is_open(index, job))
    }

    /// Gives the final answer, unless it has been given: a rejection where that is harmless, else a failure.
    pub(super) fn answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_finished && !job.is_streaming) else {
            return;
        };
        let may_be_repeated = matches!(
            self.class_of(job).idempotency,
            Idempotency::Idempotent | Idempotency::IdempotentWithKey(DeduplicationScope::All)
        );
        let is_harmless = may_be_repeated || job.first_possible_run().is_none();
        let answer = if is_harmless { FinalAnswer::Reject } else { FinalAnswer::Fail };
        self.finish(id, answer, actions);
    }

    /// Gives the final answer, and cancels what is still in flight.
    pub(super) fn finish(&mut self, id: RequestId, answer: FinalAnswer, actions: &mut Vec<Action>) {
        match answer {
            FinalAnswer::Reject => {
                let retry_after = self.retry_after();
                actions.push(Action::Reject { request: id, retry_after });
            }
            FinalAnswer::Fail => actions.push(Action::Fail { request: id }),
        }
        self.cancel_attempts(id, actions);
        self.close_request(id);
    }

    /// Returns the Retry-After (ns) of a rejected request.
    fn retry_after(&mut self) -> Nanos {
        let longest = self.settings.max_retry_after;
        // One of many dispatchers that finds nothing open says little of the others, and the objective of a
        // retry goes on from the first request: soon then, but not at the moment at which all others come
        // back.
        let wanted = if self.has_low_traffic() { self.jittered(LOW_TRAFFIC_RETRY_AFTER) } else { longest };
        self.active_rules.bounded_retry_after(wanted).min(longest)
    }

    /// Closes a request; what is still in flight is waited for only to give its slots back.
    pub(super) fn close_request(&mut self, id: RequestId) {
        self.unhold(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_finished = true;
            if !job.has_attempt_in_flight() {
                self.jobs.remove(&id);
            }
        }
    }
}
