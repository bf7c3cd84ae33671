//! Attempts: their sending, progress, outcome and cancellation.

use super::admission::FinalAnswer;
use super::Dispatcher;
use crate::action::Action;
use crate::event::Outcome;
use crate::health_signals::{HealthSignals, SignalOrder, SignalSource};
use crate::ids::{AttemptId, RequestId, WorkerId};
use crate::job::{Attempt, AttemptOutcome};
use crate::service_rate::ServiceSample;
use crate::settings::Idempotency;
use crate::time::Nanos;
use crate::timers::Timer;
use crate::worker::{FailureWeight, Worker};
use crate::worker_entry::WorkerEntry;
use crate::worker_load::ReportShare;

/// What is known of an attempt that has just ended, and of its request.
struct EndedAttempt {
    request: RequestId,
    worker: usize,
    entry: WorkerEntry,
    sent_at: Nanos,
    first_signal_at: Option<Nanos>,
    counted_since: Option<Nanos>,
    class: u32,
    slots: f64,
    memory: f64,
}

impl Dispatcher {
    /// Sends a request to a worker.
    pub(super) fn send(&mut self, id: RequestId, index: usize, actions: &mut Vec<Action>) {
        self.unhold(id);
        let send_by = self.jobs.get(&id).map_or(Nanos::MAX, |job| self.send_by(job));
        let (Some(job), Some(worker)) = (self.jobs.get_mut(&id), self.workers.get_mut(index)) else { return };
        let attempt = AttemptId { request: id, number: job.attempts.len() as u32 };
        job.attempts.push(Attempt::new(index, worker.entry.clone(), self.now));
        worker.load.job_sent(self.now, job.request.slots, job.request.memory);
        worker.health.attempt_sent(self.now);
        let worker = WorkerId(index as u32);
        actions.push(Action::Send { request: id, worker, timeout: 0, send_by });
        let (class, slots) = (job.request.class, job.request.slots);
        self.take_slow_start_tokens(index, class, slots);
        if !self.settings.notifies_job_start {
            self.count_at_worker(attempt);
        }
        self.start_hedge_timers(attempt);
        self.update_open_state(index);
    }

    /// Takes a job out of a warming worker's bucket.
    fn take_slow_start_tokens(&mut self, index: usize, class: u32, slots: f64) {
        let Some(worker) = self.workers.get(index) else { return };
        let Some(limit) = self.slow_start_limit(worker, class) else { return };
        let Some(worker) = self.workers.get_mut(index) else { return };
        let refilled_at = worker.bucket.take(&limit, slots, self.now);
        self.timers.start(refilled_at, Timer::DrainHoldQueue { worker: index });
    }

    /// Starts the timers after which an attempt without a sign of life is cancelled.
    fn start_hedge_timers(&mut self, attempt: AttemptId) {
        let Some(job) = self.jobs.get(&attempt.request).filter(|_| self.settings.can_cancel) else { return };
        let class = self.class_of(job);
        let useful_until = job.hold_until.max(self.now + class.latency_objective);
        if class.idempotency != Idempotency::NonIdempotent {
            let silent_at = self.now + self.max_silence() + 1;
            self.timers.start(silent_at, Timer::Hedge(attempt));
        }
        if self.settings.notifies_job_start {
            self.timers.start(useful_until, Timer::Hedge(attempt));
        }
    }

    /// Cancels all attempts of a request. Nobody waits for them: run on, they would take slots for nothing.
    pub(super) fn cancel_attempts(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.settings.can_cancel) else { return };
        for (number, attempt) in job.attempts.iter().enumerate() {
            if attempt.is_in_flight {
                actions.push(Action::Cancel { request: id, attempt: number as u32 });
            }
        }
    }

    /// Cancels an attempt of which no sign has come, if its worker is silent and its class allows another, or
    /// if it can only end late now.
    pub(super) fn cancel_unconfirmed(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id.request).filter(|job| !job.is_finished) else { return };
        let attempt = job.attempts.get(id.number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_unconfirmed()) else { return };
        let late_counts = self.late_answer_counts(job);
        let another_is_useful = self.now < job.hold_until.max(attempt.sent_at) || late_counts;
        let another_is_allowed =
            self.now < self.send_by(job) && job.attempts.len() < self.settings.max_attempts as usize;
        let worker_is_silent = self.workers.get(attempt.worker).is_some_and(|worker| self.is_silent(worker));
        let useful_until = job.hold_until.max(attempt.sent_at + self.class_of(job).latency_objective);
        // Not started when it can only be late any more, it would take slots for nothing.
        let is_useless = self.settings.notifies_job_start && self.now >= useful_until && !late_counts;
        if is_useless || worker_is_silent && another_is_useful && another_is_allowed {
            actions.push(Action::Cancel { request: id.request, attempt: id.number });
        }
    }

    /// Notes that an attempt has started, or reported its progress.
    pub(super) fn note_progress(&mut self, id: AttemptId) {
        let Some(job) = self.jobs.get_mut(&id.request) else { return };
        let attempt = job.attempts.get_mut(id.number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight) else { return };
        let order = SignalOrder::after(attempt.first_signal_at);
        attempt.first_signal_at.get_or_insert(self.now);
        if let Some(worker) = self.workers.get_mut(attempt.worker) {
            worker.health.attempt_signal(self.now, order, SignalSource::Worker);
        }
        if order == SignalOrder::First && self.settings.notifies_job_start {
            self.count_at_worker(id);
        }
    }

    /// Counts an attempt as a job at its worker from now on. Those at warming workers count only as long as
    /// there are no others.
    fn count_at_worker(&mut self, id: AttemptId) {
        let Some(job) = self.jobs.get_mut(&id.request) else { return };
        let Some(attempt) = job.attempts.get_mut(id.number as usize) else { return };
        let kind = attempt.entry.kind;
        let weight = self.settings.limits.slow_start_weight(attempt.entry.started_at, self.now, 0);
        let is_warm = weight.is_none();
        if !is_warm && self.service_rates.has_warm_samples(kind) {
            return;
        }
        let worker = self.workers.get(attempt.worker).filter(|_| is_warm);
        let report = worker.and_then(|worker| worker.last_report.as_ref());
        let others = report.and_then(|report| self.service_rates.jobs_at_worker(kind, report));
        self.service_rates.job_started(kind, job.request.class, others, self.now);
        attempt.counted_since = Some(self.now);
    }

    /// Takes in how an attempt ended.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        // The limit as it was before this attempt was measured.
        let max_silence = self.max_silence();
        let Some(ended) = self.mark_ended(id, outcome.outcome) else { return };
        self.measure(&ended, outcome.outcome);
        let share = self.report_share(ended.worker);
        self.update_worker(&ended, outcome, max_silence, &share);
        self.continue_request(ended.request, outcome, actions);
        self.update_open_state(ended.worker);
        self.drain_hold_queue(ended.worker, actions);
    }

    /// Marks an attempt as ended; `None` if it is unknown or has ended before.
    fn mark_ended(&mut self, id: AttemptId, outcome: Outcome) -> Option<EndedAttempt> {
        let job = self.jobs.get_mut(&id.request)?;
        let attempt = job.attempts.get_mut(id.number as usize).filter(|attempt| attempt.is_in_flight)?;
        attempt.is_in_flight = false;
        attempt.may_have_run = !outcome.never_ran();
        Some(EndedAttempt {
            request: id.request,
            worker: attempt.worker,
            entry: attempt.entry.clone(),
            sent_at: attempt.sent_at,
            first_signal_at: attempt.first_signal_at,
            counted_since: attempt.counted_since,
            class: job.request.class,
            slots: job.request.slots,
            memory: job.request.memory,
        })
    }

    /// Measures the class's runs and the worker's service rate by an attempt.
    fn measure(&mut self, ended: &EndedAttempt, outcome: Outcome) {
        if outcome == Outcome::Ok {
            let run = self.now - self.run_start(ended);
            self.classes[ended.class as usize].record_run(run as f64);
        }
        if let Some(began) = ended.counted_since {
            let weight = self.settings.limits.slow_start_weight(ended.entry.started_at, self.now, 0);
            let sample = ServiceSample::from_outcome(outcome, weight);
            self.service_rates.job_ended(ended.entry.kind, ended.class, began, self.now, sample);
        }
    }

    /// Returns from when an attempt counts as running. Where traffic is low that is its start, if that is
    /// notified: otherwise the first sign says how far it is.
    fn run_start(&self, ended: &EndedAttempt) -> Nanos {
        if !self.has_low_traffic() || !self.settings.notifies_job_start {
            return ended.sent_at;
        }
        ended.first_signal_at.unwrap_or(ended.sent_at)
    }

    /// Updates what is known of the worker of an attempt, unless it has restarted since.
    fn update_worker(
        &mut self,
        ended: &EndedAttempt,
        outcome: &AttemptOutcome,
        max_silence: Nanos,
        share: &ReportShare,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(ended.worker) else { return };
        if ended.sent_at < worker.valid_since {
            return;
        }
        worker.load.job_ended(now, ended.slots, ended.memory);
        let order = SignalOrder::after(ended.first_signal_at);
        let worker_is_silent = worker.health.is_silent(now, max_silence);
        match outcome.outcome {
            Outcome::Ok => worker.record_success(),
            Outcome::Error | Outcome::Timeout => worker.record_failure(FailureWeight::Full),
            // Connections break, and jobs are killed, one by one; the next probe shows whether the worker has
            // gone.
            Outcome::Rejected | Outcome::Reset | Outcome::ConnectFailed => {
                worker.record_failure(FailureWeight::Minor);
            }
            // Cancelled for its silence: the worker may hang, and must not look idle for it.
            Outcome::Cancelled if order == SignalOrder::First && worker_is_silent => {
                worker.record_failure(FailureWeight::Full);
            }
            Outcome::InvalidJob | Outcome::Cancelled | Outcome::NotSent => {}
        }
        let source = match outcome.outcome {
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => SignalSource::Local,
            _ => SignalSource::Worker,
        };
        worker.health.attempt_signal(now, order, source);
        if let Some(report) = outcome.report.filter(|_| !worker.is_ejected()) {
            worker.apply_report(now, &report, share);
        }
    }

    /// Continues with a request after one of its attempts has ended.
    fn continue_request(&mut self, id: RequestId, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.is_finished |= outcome.request_is_finished;
        if job.is_finished {
            self.close_request(id);
        } else if outcome.outcome == Outcome::InvalidJob {
            // Any other worker would say the same, and so would they to the client's retry.
            self.quotas.refund(job.request.tenant.filter(|_| !job.is_over_quota()));
            self.finish(id, FinalAnswer::Fail, actions);
        } else if !job.has_attempt_in_flight() {
            self.renew_candidates(id);
            self.dispatch(id, actions);
        }
    }

    /// Ranks the candidates anew where traffic is low: in the cell of the worker that may have run the
    /// request, which is where a repeat is dropped.
    fn renew_candidates(&mut self, id: RequestId) {
        if !self.has_low_traffic() {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let earlier = job.last_possible_worker().and_then(|index| self.workers.get(index));
        let cell = earlier.map(|worker| worker.entry.cell);
        let (key, class, tenant) = (job.request.key, job.request.class, job.request.tenant);
        let candidates = self.candidates(key, class, cell, tenant);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.candidates = candidates;
        }
    }

    /// Returns how long (ns) a worker with work may go without a sign of life.
    fn max_silence(&self) -> Nanos {
        let longest_run = self.classes.iter().map(|class| class.mean_run_ns()).fold(0.0, f64::max);
        HealthSignals::max_silence(&self.settings, longest_run)
    }

    /// Returns whether a worker that took work gives no sign of it. It may hang, and looks the more idle for
    /// it.
    pub(super) fn is_silent(&self, worker: &Worker) -> bool {
        worker.health.is_silent(self.now, self.max_silence())
    }
}
