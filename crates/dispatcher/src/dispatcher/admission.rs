//! What becomes of a request: admission, the hold queue and the final answer.

use std::ops::Bound;

use super::{Dispatcher, K, PROBES_A_JOB};
use crate::interface::*;
use crate::state::{Due, Job};
use crate::MS;

/// A sparse dispatcher's job waits, held or unstarted, for its aim and this part of a usual run: what waits
/// longer is mostly late, and run all the same it takes the slots of those behind it.
const SLACK: f64 = 0.3;
/// A client that a sparse dispatcher refuses comes back after about this long (ns), mostly to another one.
const AGAIN: Nanos = 100 * MS;
/// A first try may be given this part (1/n) of its class's deadline, or less: a repeat has more left, for it
/// comes a retry-after or two later and not much more.
const HURRIED: Nanos = 4;

impl Dispatcher {
    pub(super) fn request(&mut self, mut request: Request, actions: &mut Vec<Action>) {
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
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
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

    pub(super) fn late_counts(&self, job: &Job) -> bool {
        self.settings.classes[job.request.class as usize].late_weight_share > 0.0
    }

    pub(super) fn hold(&mut self, id: RequestId, rank: u8) {
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

    pub(super) fn unhold(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(place) = job.place.take() {
            self.held.remove(place, &job.homes);
            if self.held.is_empty() {
                (self.need, self.need_memory) = (1.0, 0.0);
            }
        }
    }

    pub(super) fn patience_over(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let due = |job: &&Job| job.place.is_some() && self.now >= job.patience.min(self.send_by(job));
        let Some(job) = self.jobs.get(&id).filter(due) else { return };
        if job.over_share || !self.late_counts(job) || !self.may_go_on(job) {
            self.answer(id, actions);
        } else {
            self.hold(id, 1);
        }
    }

    /// The final answer, unless it has been given: a refusal where that is harmless, else a failure.
    pub(super) fn answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.over && !job.streaming) else { return };
        let effect = self.settings.classes[job.request.class as usize].idempotency;
        let again = matches!(
            effect,
            Idempotency::Idempotent | Idempotency::IdempotentWithKey(DeduplicationScope::All)
        );
        self.finish(id, again || job.first_ran().is_none(), actions);
    }

    pub(super) fn finish(&mut self, id: RequestId, harmless: bool, actions: &mut Vec<Action>) {
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

    /// The request is over; what is still out is waited for only to give its slots back.
    pub(super) fn end(&mut self, id: RequestId) {
        self.unhold(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.over = true;
            if job.attempts.iter().all(|a| !a.out) {
                self.jobs.remove(&id);
            }
        }
    }

    /// Gives held requests to a worker that may have reopened, in their order.
    pub(super) fn serve(&mut self, index: usize, actions: &mut Vec<Action>) {
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
}
