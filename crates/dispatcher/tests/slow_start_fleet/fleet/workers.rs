//! The workers: their queues, slots, capacity and reports.

use super::{
    Attempt, AttemptEnd, Fleet, FleetEvent, WorkerReport, MAX_QUEUED, NEGLIGIBLE_WORK, NETWORK_DELAY,
    PROGRESS_INTERVAL, REPORT_PERIOD, SECOND,
};
use crate::common::MS;
use nickelflow_dispatcher::*;

impl Fleet {
    pub(super) fn slow_start_weight(&self, worker: u32, at: Nanos) -> f64 {
        let limits = &self.settings.limits;
        let Some(started) = self.machines[worker as usize].started else { return 1.0 };
        let age = at.saturating_sub(started) as f64 / limits.slow_start_duration as f64;
        (limits.slow_start_initial_share + (1.0 - limits.slow_start_initial_share) * age).min(1.0)
    }

    pub(super) fn work_of(&self, attempt: Attempt) -> f64 {
        let client = self.clients.get(&(attempt.client >> 8));
        client.map_or(self.case.deployment.mean_work(), |client| client.work)
    }

    pub(super) fn attempt_arrives(&mut self, attempt: Attempt) {
        let classes = &self.case.deployment.classes;
        let client = self.clients.get(&(attempt.client >> 8));
        let work = client
            .map_or_else(|| self.case.deployment.mean_work(), |client| classes[client.class].work.mean());
        let machine = &mut self.machines[attempt.worker as usize];
        machine.calls.push((self.now, work));
        if !self.used.contains(&attempt.worker) || machine.queue.len() >= MAX_QUEUED {
            self.schedule(
                self.now + NETWORK_DELAY,
                FleetEvent::AttemptEnds { attempt, end: AttemptEnd::Rejected },
            );
            return;
        }
        machine.queue.push_back(attempt);
        self.advance(attempt.worker);
        self.start_queued(attempt.worker);
    }

    /// Ends an attempt that its dispatcher cancels, if it is still at its worker.
    pub(super) fn cancel(&mut self, attempt: Attempt) {
        self.advance(attempt.worker);
        let machine = &mut self.machines[attempt.worker as usize];
        let before = machine.running.len() + machine.queue.len();
        machine.running.retain(|(running, _)| *running != attempt);
        machine.queue.retain(|queued| *queued != attempt);
        if machine.running.len() + machine.queue.len() < before {
            self.schedule(
                self.now + NETWORK_DELAY,
                FleetEvent::AttemptEnds { attempt, end: AttemptEnd::Cancelled },
            );
        }
        self.start_queued(attempt.worker);
    }

    /// Ends the jobs that a worker has completed, unless the plan that foresaw it is void.
    pub(super) fn finish(&mut self, worker: u32, plan: u64) {
        if self.machines[worker as usize].plan != plan {
            return;
        }
        self.advance(worker);
        let machine = &mut self.machines[worker as usize];
        let done: Vec<Attempt> = machine
            .running
            .iter()
            .filter(|(_, left)| *left <= NEGLIGIBLE_WORK)
            .map(|(attempt, _)| *attempt)
            .collect();
        machine.running.retain(|(_, left)| *left > NEGLIGIBLE_WORK);
        for attempt in done {
            self.schedule(
                self.now + NETWORK_DELAY,
                FleetEvent::AttemptEnds { attempt, end: AttemptEnd::Served },
            );
        }
        self.start_queued(worker);
    }

    /// Notifies a dispatcher that its attempt has started, or of its progress where starts are not notified.
    pub(super) fn report_progress(&mut self, attempt: Attempt) {
        let event = Event::Progress { request: RequestId(attempt.client), attempt: attempt.number };
        let machine = &self.machines[attempt.worker as usize];
        if self.settings.notifies_job_start {
            self.notify(attempt.dispatcher, attempt.incarnation, event);
        } else if machine.running.iter().any(|(running, _)| *running == attempt) {
            self.notify(attempt.dispatcher, attempt.incarnation, event);
            self.schedule(self.now + PROGRESS_INTERVAL, FleetEvent::Progress { attempt });
        }
    }

    pub(super) fn probe(&mut self, dispatcher: usize, incarnation: u32, worker: u32) {
        let WorkerReport { free, queued, .. } = self.report(worker);
        let machine = &mut self.machines[worker as usize];
        machine.probes.push(self.now);
        self.schedule(
            self.now + NETWORK_DELAY,
            FleetEvent::ProbeEnds { dispatcher, incarnation, worker, free, queued },
        );
    }

    /// Returns the work a second that each running job of a worker gets.
    pub(super) fn pace(&self, worker: u32) -> f64 {
        let machine = &self.machines[worker as usize];
        let kind = self.case.deployment.kind(worker);
        let each = (kind.cores / machine.running.len().max(1) as f64).min(1.0);
        (kind.speed * machine.speed * self.slow_start_weight(worker, self.now) * each).max(1e-6)
    }

    /// Takes off the work that a worker's running jobs have done since.
    pub(super) fn advance(&mut self, worker: u32) {
        let pace = self.pace(worker);
        let machine = &mut self.machines[worker as usize];
        let done = (self.now - machine.advanced) as f64 / SECOND * pace;
        machine.running.iter_mut().for_each(|(_, left)| *left -= done);
        machine.advanced = self.now;
    }

    /// Starts the jobs in a worker's queue for which there are slots, and computes the next end.
    pub(super) fn start_queued(&mut self, worker: u32) {
        let slots = self.case.deployment.kind(worker).slots;
        while self.machines[worker as usize].running.len() < slots {
            let Some(attempt) = self.machines[worker as usize].queue.pop_front() else { break };
            let work = self.work_of(attempt);
            self.machines[worker as usize].running.push((attempt, work));
            let first = if self.settings.notifies_job_start { NETWORK_DELAY } else { PROGRESS_INTERVAL };
            self.schedule(self.now + first, FleetEvent::Progress { attempt });
        }
        let pace = self.pace(worker);
        let machine = &mut self.machines[worker as usize];
        machine.plan += 1;
        let plan = machine.plan;
        let least = machine.running.iter().map(|(_, left)| *left).min_by(f64::total_cmp);
        if let Some(least) = least {
            let took = (least.max(0.0) / pace * SECOND) as Nanos + 1;
            // The pace of a warming worker rises, so that the end is computed again after a while.
            let at = self.now + took.min(250 * MS);
            self.schedule(at, FleetEvent::JobsEnd { worker, plan });
        }
    }

    /// Returns the report, which is renewed once in each period.
    pub(super) fn report(&mut self, worker: u32) -> WorkerReport {
        let machine = &mut self.machines[worker as usize];
        let period = (self.now + machine.phase) / REPORT_PERIOD;
        if machine.report.period != period {
            let free = self.case.deployment.kind(worker).slots.saturating_sub(machine.running.len());
            machine.report = WorkerReport { period, free: free as u32, queued: machine.queue.len() as u32 };
        }
        machine.report
    }
}
