//! Sending, progress, completion and cancellation of attempts.

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

/// An attempt that has just ended, with the properties of its request that the statistics need.
struct EndedAttempt {
    request_id: RequestId,
    worker_index: usize,
    entry: WorkerEntry,
    sent_at: Nanos,
    first_signal_at: Option<Nanos>,
    counted_since: Option<Nanos>,
    class: u32,
    slots: f64,
    memory: f64,
}

impl Dispatcher {
    /// Starts an attempt of a request at a worker.
    pub(super) fn send_attempt(
        &mut self,
        request_id: RequestId,
        worker_index: usize,
        actions: &mut Vec<Action>,
    ) {
        self.remove_from_hold_queue(request_id);
        let send_by = self.jobs.get(&request_id).map_or(Nanos::MAX, |job| self.resend_deadline(job));
        let (Some(job), Some(worker)) = (self.jobs.get_mut(&request_id), self.workers.get_mut(worker_index))
        else {
            return;
        };
        let attempt_id = AttemptId { request: request_id, number: job.attempts.len() as u32 };
        job.attempts.push(Attempt::new(worker_index, worker.entry.clone(), self.now));
        worker.load.job_sent(self.now, job.request.slots, job.request.memory);
        worker.health.attempt_sent(self.now);
        let worker = WorkerId(worker_index as u32);
        actions.push(Action::Send { request: request_id, worker, timeout: 0, send_by });
        let (class, slots) = (job.request.class, job.request.slots);
        self.take_slow_start_tokens(worker_index, class, slots);
        if !self.settings.notifies_job_start {
            self.start_service_time(attempt_id);
        }
        self.start_hedge_timers(attempt_id);
        self.update_open_state(worker_index);
    }

    /// Takes the tokens for a job out of the bucket of a warming worker.
    fn take_slow_start_tokens(&mut self, worker_index: usize, class: u32, slots: f64) {
        let Some(worker) = self.workers.get(worker_index) else { return };
        let Some(limit) = self.slow_start_limit(worker, class) else { return };
        let Some(worker) = self.workers.get_mut(worker_index) else { return };
        let refilled_at = worker.bucket.take(&limit, slots, self.now);
        self.timers.start(refilled_at, Timer::DrainHoldQueue { worker: worker_index });
    }

    /// Starts the timers that check whether an attempt without any signal must be cancelled.
    fn start_hedge_timers(&mut self, attempt_id: AttemptId) {
        let Some(job) = self.jobs.get(&attempt_id.request).filter(|_| self.settings.can_cancel) else {
            return;
        };
        let class = self.class_of(job);
        let useful_until = job.hold_until.max(self.now + class.latency_objective);
        if class.idempotency != Idempotency::NonIdempotent {
            let silent_at = self.now + self.max_silence() + 1;
            self.timers.start(silent_at, Timer::SignalTimeout(attempt_id));
        }
        if self.settings.notifies_job_start {
            self.timers.start(useful_until, Timer::SignalTimeout(attempt_id));
        }
    }

    /// Cancels all attempts of a request that are in flight. Nobody waits for their results, so their runs
    /// would only take slots.
    pub(super) fn cancel_attempts(&self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&request_id).filter(|_| self.settings.can_cancel) else { return };
        for (number, attempt) in job.attempts.iter().enumerate() {
            if attempt.is_in_flight {
                actions.push(Action::Cancel { request: request_id, attempt: number as u32 });
            }
        }
    }

    /// Cancels an attempt without any signal if its worker is silent and another attempt is allowed and
    /// useful, or if the attempt can only end late.
    pub(super) fn cancel_unconfirmed_attempt(&mut self, attempt_id: AttemptId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&attempt_id.request).filter(|job| !job.is_finished) else { return };
        let attempt = job.attempts.get(attempt_id.number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_unconfirmed()) else { return };
        let late_answer_has_value = self.late_answer_has_value(job);
        let another_attempt_is_useful =
            self.now < job.hold_until.max(attempt.sent_at) || late_answer_has_value;
        let another_attempt_is_allowed =
            self.now < self.resend_deadline(job) && job.attempts.len() < self.settings.max_attempts as usize;
        let worker_is_silent = self.workers.get(attempt.worker).is_some_and(|worker| self.is_silent(worker));
        let useful_until = job.hold_until.max(attempt.sent_at + self.class_of(job).latency_objective);
        // An attempt that has not started and can only end late would take slots for nothing.
        let is_too_late =
            self.settings.notifies_job_start && self.now >= useful_until && !late_answer_has_value;
        if is_too_late || worker_is_silent && another_attempt_is_useful && another_attempt_is_allowed {
            actions.push(Action::Cancel { request: attempt_id.request, attempt: attempt_id.number });
        }
    }

    /// Records that an attempt has started or has reported progress.
    pub(super) fn record_progress(&mut self, attempt_id: AttemptId) {
        let Some(job) = self.jobs.get_mut(&attempt_id.request) else { return };
        let attempt = job.attempts.get_mut(attempt_id.number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight) else { return };
        let order = SignalOrder::from_first_signal(attempt.first_signal_at);
        attempt.first_signal_at.get_or_insert(self.now);
        if let Some(worker) = self.workers.get_mut(attempt.worker) {
            worker.health.signal_received(self.now, order, SignalSource::Worker);
        }
        if order == SignalOrder::First && self.settings.notifies_job_start {
            self.start_service_time(attempt_id);
        }
    }

    /// Starts to measure the service time of an attempt. Attempts at warming workers are measured only until
    /// warm workers of the kind have been measured.
    fn start_service_time(&mut self, attempt_id: AttemptId) {
        let Some(job) = self.jobs.get_mut(&attempt_id.request) else { return };
        let Some(attempt) = job.attempts.get_mut(attempt_id.number as usize) else { return };
        let kind = attempt.entry.kind;
        let slow_start_weight = self.settings.limits.slow_start_weight(attempt.entry.started_at, self.now, 0);
        let is_warm = slow_start_weight.is_none();
        if !is_warm && self.service_rates.has_warm_samples(kind) {
            return;
        }
        let worker = self.workers.get(attempt.worker).filter(|_| is_warm);
        let report = worker.and_then(|worker| worker.last_report.as_ref());
        let other_jobs = report.and_then(|report| self.service_rates.jobs_at_worker(kind, report));
        self.service_rates.job_started(kind, job.request.class, other_jobs, self.now);
        attempt.counted_since = Some(self.now);
    }

    /// Processes the end of an attempt.
    pub(super) fn end_attempt(
        &mut self,
        attempt_id: AttemptId,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        // The limit depends on the mean run times, to which this attempt's run time is added below.
        let max_silence = self.max_silence();
        let Some(ended) = self.mark_ended(attempt_id, outcome.outcome) else { return };
        self.record_service_time(&ended, outcome.outcome);
        let share = self.report_share(ended.worker_index);
        self.update_worker(&ended, outcome, max_silence, &share);
        self.continue_request(ended.request_id, outcome, actions);
        self.update_open_state(ended.worker_index);
        self.drain_hold_queue(ended.worker_index, actions);
    }

    /// Marks an attempt as ended; returns `None` if the attempt is unknown or has already ended.
    fn mark_ended(&mut self, attempt_id: AttemptId, outcome: Outcome) -> Option<EndedAttempt> {
        let job = self.jobs.get_mut(&attempt_id.request)?;
        let attempt =
            job.attempts.get_mut(attempt_id.number as usize).filter(|attempt| attempt.is_in_flight)?;
        attempt.is_in_flight = false;
        attempt.may_have_run = !outcome.never_ran();
        Some(EndedAttempt {
            request_id: attempt_id.request,
            worker_index: attempt.worker,
            entry: attempt.entry.clone(),
            sent_at: attempt.sent_at,
            first_signal_at: attempt.first_signal_at,
            counted_since: attempt.counted_since,
            class: job.request.class,
            slots: job.request.slots,
            memory: job.request.memory,
        })
    }

    /// Adds an attempt to the mean run time of its class and to the service rate of its worker's kind.
    fn record_service_time(&mut self, ended: &EndedAttempt, outcome: Outcome) {
        if outcome == Outcome::Ok {
            let run = self.now - self.run_start(ended);
            self.class_stats[ended.class as usize].record_run(run as f64);
        }
        if let Some(counted_since) = ended.counted_since {
            let slow_start_weight =
                self.settings.limits.slow_start_weight(ended.entry.started_at, self.now, 0);
            let sample = ServiceSample::from_outcome(outcome, slow_start_weight);
            self.service_rates.job_ended(ended.entry.kind, ended.class, counted_since, self.now, sample);
        }
    }

    /// Returns when the run of an attempt began, as counted in the mean run time: when the attempt was sent
    /// or, where traffic is low and workers notify the start of a job, when its first signal came. Without
    /// that notification the first signal is a progress report and may come late in the run.
    fn run_start(&self, ended: &EndedAttempt) -> Nanos {
        if !self.has_low_traffic() || !self.settings.notifies_job_start {
            return ended.sent_at;
        }
        ended.first_signal_at.unwrap_or(ended.sent_at)
    }

    /// Updates the load and health of an attempt's worker, unless the worker has restarted since the sending.
    fn update_worker(
        &mut self,
        ended: &EndedAttempt,
        outcome: &AttemptOutcome,
        max_silence: Nanos,
        share: &ReportShare,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(ended.worker_index) else { return };
        if ended.sent_at < worker.valid_since {
            return;
        }
        worker.load.job_ended(now, ended.slots, ended.memory);
        let order = SignalOrder::from_first_signal(ended.first_signal_at);
        let worker_is_silent = worker.health.is_silent(now, max_silence);
        match outcome.outcome {
            Outcome::Ok => worker.record_success(),
            Outcome::Error | Outcome::Timeout => worker.record_failure(FailureWeight::Full),
            // At healthy workers too, single connections break and single jobs are killed. The next probe
            // shows whether the worker has gone.
            Outcome::Rejected | Outcome::Reset | Outcome::ConnectFailed => {
                worker.record_failure(FailureWeight::Minor);
            }
            // The attempt was cancelled because the worker is silent. The worker may hang, and the slots that
            // the attempt returns must not make it look idle.
            Outcome::Cancelled if order == SignalOrder::First && worker_is_silent => {
                worker.record_failure(FailureWeight::Full);
            }
            Outcome::InvalidJob | Outcome::Cancelled | Outcome::NotSent => {}
        }
        let source = match outcome.outcome {
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => SignalSource::Local,
            _ => SignalSource::Worker,
        };
        worker.health.signal_received(now, order, source);
        if let Some(report) = outcome.report.filter(|_| !worker.is_ejected()) {
            worker.apply_report(now, &report, share);
        }
    }

    /// Finishes a request or dispatches it again after one of its attempts has ended.
    fn continue_request(
        &mut self,
        request_id: RequestId,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&request_id) else { return };
        job.is_finished |= outcome.request_is_finished;
        if job.is_finished {
            self.finish_request(request_id);
        } else if outcome.outcome == Outcome::InvalidJob {
            // Every other worker would reject the job too, and so would the worker of a retry.
            self.quotas.refund(job.request.tenant.filter(|_| !job.is_over_quota()));
            self.give_final_answer(request_id, FinalAnswer::Fail, actions);
        } else if !job.has_attempt_in_flight() {
            self.update_candidates(request_id);
            self.dispatch(request_id, actions);
        }
    }

    /// Ranks a job's candidates again where traffic is low. After an attempt that may have run, only workers
    /// in the cell of its worker are candidates, because a repeat is deduplicated there.
    fn update_candidates(&mut self, request_id: RequestId) {
        if !self.has_low_traffic() {
            return;
        }
        let Some(job) = self.jobs.get(&request_id) else { return };
        let earlier_worker = job.last_possible_worker().and_then(|index| self.workers.get(index));
        let cell = earlier_worker.map(|worker| worker.entry.cell);
        let (key, class, tenant) = (job.request.key, job.request.class, job.request.tenant);
        let candidates = self.select_candidates(key, class, cell, tenant);
        if let Some(job) = self.jobs.get_mut(&request_id) {
            job.candidates = candidates;
        }
    }

    /// Returns how long (ns) a worker with unconfirmed attempts may send no signal.
    fn max_silence(&self) -> Nanos {
        let longest_run = self.class_stats.iter().map(|class| class.mean_run_ns()).fold(0.0, f64::max);
        HealthSignals::max_silence(&self.settings, longest_run)
    }

    /// Returns whether a worker has sent no signal of its attempts for too long. It may hang, and a worker
    /// that hangs looks idle.
    pub(super) fn is_silent(&self, worker: &Worker) -> bool {
        worker.health.is_silent(self.now, self.max_silence())
    }
}
