//! Probes of workers, and what their reports say.

use std::ops::Bound;

use super::{Dispatcher, FRESH, HEDGE, K, PROBES_A_JOB, REPORT_AGE, TAU};
use crate::interface::*;
use crate::load::Part;
use crate::state::{Due, Job, MAX_DOUBLINGS};
use crate::{MS, SECOND};

/// A probe unanswered for this long (ns) counts as failed.
const PROBE_LOST: Nanos = 2_000 * MS;

impl Dispatcher {
    /// Whether a worker that the job may go to can be asked for a report, or has been and may yet answer.
    pub(super) fn unheard_of(&self, index: usize, job: &Job) -> bool {
        self.can_be_probed(index, job) && self.admits(index, job)
    }

    /// The same, whatever it may be sent while it is cold.
    pub(super) fn can_be_probed(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = self.workers[index].as_ref().filter(|w| w.ready) else { return false };
        let due = if worker.probing { self.now < worker.asked + HEDGE } else { self.now >= worker.next };
        due && self.now > worker.read + FRESH
            && (worker.probing || self.probes >= 1.0)
            && self.told.allows(worker.entry.address_hash, job.request.tenant, self.now)
            && self.in_group(worker, job)
    }

    /// Has the next worker probed that a held job may go to, where it is the job's turn.
    pub(super) fn seek(&mut self, id: RequestId, seek: u32, actions: &mut Vec<Action>) {
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

    pub(super) fn ask(&mut self, index: usize, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers[index].as_mut().filter(|w| !w.probing) else { return };
        worker.asked = self.now;
        worker.next = self.now + (TAU as f64 * worker.failures.min(MAX_DOUBLINGS).exp2()) as Nanos;
        worker.timer = worker.timer.wrapping_add(1);
        worker.waiting = true;
        self.probes -= 1.0;
        let timer = worker.timer;
        self.probe(index, timer, actions);
    }

    /// Starts or gives up the timer that leads to a worker's next probe, by whether it is closed.
    pub(super) fn settle(&mut self, index: usize) {
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

    pub(super) fn settle_all(&mut self, actions: &mut Vec<Action>) {
        for index in 0..self.workers.len() {
            self.settle(index);
            self.serve(index, actions);
        }
    }

    /// What of a worker's report is this dispatcher's.
    pub(super) fn part(&mut self, index: usize) -> Part {
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

    pub(super) fn probe(&mut self, index: usize, timer: u32, actions: &mut Vec<Action>) {
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

    pub(super) fn probed(
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
}
