//! Attempts: their sending, progress, outcome and cancellation.

use super::Dispatcher;
use crate::interface::*;
use crate::load::Signs;
use crate::service_rate::Stay;
use crate::state::{Attempt, Due, End, Worker};

/// A success takes this part off a worker's count of failures.
const FORGIVE: f64 = 0.2;

impl Dispatcher {
    /// Nobody waits for the attempts that are still out: run on, they would take slots for nothing.
    pub(super) fn call_back(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.settings.can_cancel) else { return };
        let out = job.attempts.iter().enumerate().filter(|(_, a)| a.out);
        actions.extend(out.map(|(n, _)| Action::Cancel { request: id, attempt: n as u32 }));
    }

    pub(super) fn send(&mut self, id: RequestId, index: usize, actions: &mut Vec<Action>) {
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

    pub(super) fn progress(&mut self, id: RequestId, number: u32) {
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
    pub(super) fn begins(&mut self, id: RequestId, number: u32) {
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

    pub(super) fn outcome(&mut self, id: RequestId, number: u32, end: End, actions: &mut Vec<Action>) {
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

    /// How long a worker with work may go without a sign of life.
    pub(super) fn silence(&self) -> Nanos {
        Signs::silence(&self.settings, self.classes.iter().map(|class| class.run).fold(0.0, f64::max))
    }

    /// A worker that took work and tells nothing of it may hang; it looks the more idle for it.
    pub(super) fn silent(&self, worker: &Worker) -> bool {
        worker.signs.silent(self.now, self.silence())
    }

    /// A request that its class lets run again is called back from a silent worker.
    pub(super) fn unheard(&mut self, id: RequestId, number: u32, actions: &mut Vec<Action>) {
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
}
