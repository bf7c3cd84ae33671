//! The engine: it passes inputs to the dispatcher and turns the dispatcher's decisions into outputs.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use nickelflow_dispatcher::{
    Action, Class, Dispatcher, Event, ListKind, Nanos, Outcome, Request, RequestId, Settings, SettingsError,
    WorkerEntry, WorkerId, WorkerStatus,
};

use crate::error::EngineError;
use crate::input::{AttemptResult, Endpoint, Input, Job};
use crate::open_job::{Attempt, AttemptState, OpenJob};
use crate::output::{FinalAnswer, Output, StartAttempt};
use crate::permits::{self, AttemptFacts, Denial, Operation, Violation};
use crate::worker_registry::{KnownWorker, WorkerRegistry};

/// The largest number of violations kept for the host. The bound limits the memory used if a host never takes
/// them.
const MAX_VIOLATIONS: usize = 1_024;

/// The settings that permit checks use.
struct PermitSettings {
    classes: Vec<Class>,
    connect_timeout: Nanos,
    max_attempts: u32,
    allows_hedging: bool,
}

impl PermitSettings {
    fn new(settings: &Settings) -> Self {
        PermitSettings {
            classes: settings.classes.clone(),
            connect_timeout: settings.connect_timeout,
            max_attempts: settings.max_attempts,
            allows_hedging: settings.allows_hedging,
        }
    }

    /// Returns a class of the settings; an index out of range means the last class.
    fn class(&self, class: u32) -> Option<&Class> {
        self.classes.get(class as usize).or(self.classes.last())
    }
}

/// A violation and the job that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobViolation<J> {
    /// The host's id of the job.
    pub job_id: J,
    /// The violation.
    pub violation: Violation,
}

/// The state machine between one [`Dispatcher`] and its host; see the [crate's documentation](crate).
pub struct Engine<J, A, R> {
    dispatcher: Dispatcher,
    /// The time of the last input.
    now: Nanos,
    /// The dispatcher's id of each open job, by the host's id.
    request_ids: HashMap<J, RequestId>,
    open_jobs: HashMap<RequestId, OpenJob<J>>,
    permit_settings: PermitSettings,
    violations: Vec<JobViolation<J>>,
    next_request_id: u64,
    workers: WorkerRegistry<A>,
    /// The wake that the dispatcher has requested last. It requests another one only in place of this one.
    next_wake: Option<Nanos>,
    /// The dispatcher's actions on the current event. The buffer is kept so that its allocation is reused.
    actions: Vec<Action>,
    /// Events that the dispatcher has yet to handle: that of the current input, and those that the
    /// dispatcher's own actions cause. The latter are handled after all actions of the current event have
    /// been applied.
    pending_events: VecDeque<Event>,
    outputs: Vec<Output<J, R>>,
}

impl<J: Clone + Eq + Hash, A, R> Engine<J, A, R> {
    /// Creates an engine without workers. `seed` initializes the dispatcher's random number generator.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let permit_settings = PermitSettings::new(&settings);
        Ok(Engine {
            dispatcher: Dispatcher::new(settings, seed)?,
            now: 0,
            request_ids: HashMap::new(),
            open_jobs: HashMap::new(),
            permit_settings,
            violations: Vec::new(),
            next_request_id: 0,
            workers: WorkerRegistry::new(),
            next_wake: None,
            actions: Vec::new(),
            pending_events: VecDeque::new(),
            outputs: Vec::new(),
        })
    }

    /// Returns the worker with this number, as named in an output.
    pub fn worker(&self, number: u32) -> Option<&KnownWorker<A>> {
        self.workers.get(number)
    }

    /// Returns the number of the worker that has been listed under this name.
    pub fn worker_number(&self, name: &str) -> Option<u32> {
        self.workers.number(name)
    }

    /// Returns the number of jobs that are not answered yet or have attempts whose end the host has yet to
    /// report.
    pub fn open_job_count(&self) -> usize {
        self.open_jobs.len()
    }

    /// Returns the number of workers that have ever been listed: each of them is kept.
    pub fn known_worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the number of the dispatcher's timers, for monitoring.
    pub fn timer_count(&self) -> usize {
        self.dispatcher.timer_count()
    }

    /// Returns the violations found since the last call: actions of the dispatcher for which no permit was
    /// granted, and which therefore produced no output. Each is a fault of this program.
    pub fn take_violations(&mut self) -> Vec<JobViolation<J>> {
        std::mem::take(&mut self.violations)
    }

    /// Returns the time at which [`Input::Wake`] is due, if no other input comes first.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.next_wake
    }

    /// Handles an input that happened at `now` and appends the resulting outputs, in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is impossible in the engine's state. The engine has then ignored the
    /// input.
    pub fn handle(
        &mut self,
        now: Nanos,
        input: Input<J, A, R>,
        outputs: &mut Vec<Output<J, R>>,
    ) -> Result<(), EngineError> {
        self.now = self.now.max(now);
        let result = self.apply_input(input);
        outputs.append(&mut self.outputs);
        result
    }

    fn apply_input(&mut self, input: Input<J, A, R>) -> Result<(), EngineError> {
        match input {
            Input::WorkerList { kind, workers } => self.update_workers(kind, workers),
            Input::Job { job_id, job } => self.open_job(job_id, job)?,
            Input::ClientDisconnected { job_id } => self.disconnect_client(&job_id),
            Input::Progress { job_id, attempt } => {
                if let Some(&request) = self.request_ids.get(&job_id) {
                    self.dispatch(Event::Progress { request, attempt });
                }
            }
            Input::Streaming { job_id, attempt } => self.begin_streaming(&job_id, attempt),
            Input::AttemptEnded { job_id, attempt, result } => self.end_attempt(&job_id, attempt, result)?,
            Input::ProbeCompleted { worker, outcome, report } => {
                self.workers.get(worker).ok_or(EngineError::UnknownWorker)?;
                self.dispatch(Event::ProbeCompleted { worker: WorkerId(worker), outcome, report });
            }
            Input::Shutdown { deadline } => self.dispatch(Event::Shutdown { deadline }),
            Input::Rules { rules, valid_until } => self.dispatch(Event::Rules { rules, valid_until }),
            Input::Wake => self.wake(),
        }
        Ok(())
    }

    fn update_workers(&mut self, kind: ListKind, workers: Vec<Endpoint<A>>) {
        if matches!(kind, ListKind::Complete | ListKind::Cached) {
            // A worker that a complete list omits has been removed.
            self.workers.mark_all_unlisted();
        }
        let entries = match kind {
            ListKind::Failed | ListKind::Stale => Vec::new(),
            _ => workers.into_iter().map(|endpoint| self.workers.update(endpoint)).collect(),
        };
        self.cancel_unstarted_attempts(kind, &entries);
        self.dispatch(Event::WorkerList { kind, entries });
    }

    /// Cancels the unstarted attempts to workers that drain or have been removed; with a stale list, to all
    /// workers.
    fn cancel_unstarted_attempts(&mut self, kind: ListKind, entries: &[WorkerEntry]) {
        let keeps_omitted_workers = match kind {
            ListKind::Failed => return,
            ListKind::Changes => true,
            ListKind::Complete | ListKind::Cached => false,
            // The data by which the attempts were decided may be out of date, so that all must be decided
            // again.
            ListKind::Stale => false,
        };
        let is_ready: HashMap<u32, bool> =
            entries.iter().map(|entry| (entry.worker.0, entry.status == WorkerStatus::Ready)).collect();
        // The order of a `HashMap` differs between processes; the order of outputs must not.
        let mut jobs: Vec<_> = self.open_jobs.iter().collect();
        jobs.sort_unstable_by_key(|(request, _)| request.0);
        for (_, job) in jobs {
            let is_affected = |worker| !is_ready.get(&worker).copied().unwrap_or(keeps_omitted_workers);
            job.cancel_unstarted(is_affected, &mut self.outputs);
        }
    }

    fn open_job(&mut self, job_id: J, job: Job) -> Result<(), EngineError> {
        if self.request_ids.contains_key(&job_id) {
            return Err(EngineError::DuplicateJob);
        }
        let request = RequestId(self.next_request_id);
        self.next_request_id += 1;
        self.request_ids.insert(job_id.clone(), request);
        let open = OpenJob {
            id: job_id,
            class: job.class,
            deadline: Some(job.deadline),
            is_finished: false,
            attempts: Vec::new(),
        };
        self.open_jobs.insert(request, open);
        self.dispatch(Event::Request(Request {
            id: request,
            class: job.class,
            tenant: job.tenant,
            slots: job.slots,
            memory: job.memory,
            key: job.key,
            time_left: job.deadline.saturating_sub(self.now),
            is_retry: job.is_retry,
        }));
        Ok(())
    }

    fn disconnect_client(&mut self, job_id: &J) {
        // The input may cross the answer, in which case the dispatcher has already ended the request.
        let Some(&request) = self.request_ids.get(job_id) else { return };
        let Some(job) = self.open_jobs.get_mut(&request).filter(|job| !job.is_finished) else { return };
        job.is_finished = true;
        self.dispatch(Event::ClientDisconnected { request });
        // Attempts that the dispatcher has just cancelled are in `AttemptState::Cancelled` and are skipped
        // here.
        if let Some(job) = self.open_jobs.get(&request) {
            job.cancel_unstarted(|_| true, &mut self.outputs);
        }
        self.remove_if_done(request);
    }

    fn begin_streaming(&mut self, job_id: &J, attempt_number: u32) {
        let Some(&request) = self.request_ids.get(job_id) else { return };
        let Some(job) = self.open_jobs.get_mut(&request).filter(|job| !job.is_finished) else { return };
        let Some(attempt) = job.attempts.get_mut(attempt_number as usize) else { return };
        // The first attempt that streams answers the client, even if it was cancelled while its answer was in
        // transit.
        if job.deadline.is_none() || !attempt.state.is_active() {
            return;
        }
        attempt.state = AttemptState::Streaming;
        job.deadline = None;
        self.dispatch(Event::Streaming { request, attempt: attempt_number });
    }

    fn end_attempt(
        &mut self,
        job_id: &J,
        attempt_number: u32,
        result: AttemptResult<R>,
    ) -> Result<(), EngineError> {
        let request = *self.request_ids.get(job_id).ok_or(EngineError::AttemptNotInFlight)?;
        let job = self.open_jobs.get_mut(&request).ok_or(EngineError::AttemptNotInFlight)?;
        let attempt = job.attempts.get_mut(attempt_number as usize).ok_or(EngineError::AttemptNotInFlight)?;
        let AttemptResult { outcome, result, report } = result;
        let state = attempt.end(outcome).ok_or(EngineError::AttemptNotInFlight)?;
        let outcome = if outcome == Outcome::Ok && result.is_none() { Outcome::Error } else { outcome };
        let answer = match result.filter(|_| outcome == Outcome::Ok) {
            Some(result) => Some(FinalAnswer::Served(result)),
            // Part of a streamed answer may have reached the client, so that no other attempt can replace it.
            None if state == AttemptState::Streaming => Some(FinalAnswer::Failed),
            None => None,
        };
        if let Some(answer) = answer.filter(|_| !job.is_finished) {
            job.is_finished = true;
            self.outputs.push(Output::FinalAnswer { job_id: job.id.clone(), answer });
        }
        let request_is_finished = job.is_finished;
        self.dispatch(Event::AttemptEnded {
            request,
            attempt: attempt_number,
            outcome,
            request_is_finished,
            report,
        });
        self.remove_if_done(request);
        Ok(())
    }

    fn wake(&mut self) {
        if self.next_wake.take_if(|at| *at <= self.now).is_some() {
            self.dispatch(Event::Wake);
        }
    }

    /// Passes an event to the dispatcher and applies its actions, then does the same for all events that they
    /// cause.
    fn dispatch(&mut self, event: Event) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action);
            }
            self.actions = actions;
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, timeout, send_by } => {
                self.start_attempt(request, worker, timeout, send_by);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject { request, retry_after } => self.reject(request, retry_after),
            Action::Fail { request } => self.answer(request, FinalAnswer::Failed),
            Action::Probe { worker } => self.outputs.push(Output::Probe { worker: worker.0 }),
            Action::Subscribe => self.outputs.push(Output::Subscribe),
            Action::Wake { at } => self.next_wake = Some(at),
        }
    }

    fn start_attempt(&mut self, request: RequestId, worker: WorkerId, timeout: Nanos, send_by: Nanos) {
        let Some(known) = self.workers.get(worker.0) else { return };
        let (entry, worker_is_ready) = (known.entry.clone(), known.is_ready);
        let Some(job) = self.open_jobs.get(&request) else { return };
        let attempt_number = job.attempts.len() as u32;
        // With a timeout of 0 only the client's deadline limits the attempt.
        let timeout_at = if timeout == 0 { Nanos::MAX } else { self.now.saturating_add(timeout) };
        let deadline = job.deadline.map_or(timeout_at, |deadline| deadline.min(timeout_at));
        // An attempt of a job that is finished or past its deadline is not started; this is not a violation.
        let is_obsolete = job.is_finished || deadline <= self.now;
        let denial = if is_obsolete { None } else { self.attempt_denial(job, &entry, worker_is_ready) };
        self.record_violation(request, Operation::Attempt, denial);
        let Some(job) = self.open_jobs.get_mut(&request) else { return };
        if is_obsolete || denial.is_some() {
            job.attempts.push(Attempt::not_sent(entry, self.now));
            self.pending_events.push_back(Event::AttemptEnded {
                request,
                attempt: attempt_number,
                outcome: Outcome::NotSent,
                request_is_finished: job.is_finished,
                report: None,
            });
            return;
        }
        job.attempts.push(Attempt::in_flight(entry, self.now));
        self.outputs.push(Output::StartAttempt(StartAttempt {
            job_id: job.id.clone(),
            attempt: attempt_number,
            worker: worker.0,
            deadline,
            send_by,
        }));
    }

    /// Returns the reason why an attempt must not be started, if there is one.
    fn attempt_denial(
        &self,
        job: &OpenJob<J>,
        worker: &WorkerEntry,
        worker_is_ready: bool,
    ) -> Option<Denial> {
        let settings = &self.permit_settings;
        let facts = AttemptFacts {
            now: self.now,
            class: settings.class(job.class)?,
            connect_timeout: settings.connect_timeout,
            max_attempts: settings.max_attempts,
            allows_hedging: settings.allows_hedging,
            earlier: &job.earlier_attempts(),
            worker,
            worker_is_ready,
        };
        permits::check_attempt(&facts).err()
    }

    fn record_violation(&mut self, request: RequestId, operation: Operation, denial: Option<Denial>) {
        let Some(denial) = denial else { return };
        let Some(job) = self.open_jobs.get(&request) else { return };
        if self.violations.len() < MAX_VIOLATIONS {
            let violation = Violation { operation, denial };
            self.violations.push(JobViolation { job_id: job.id.clone(), violation });
        }
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt_number: u32) {
        let Some(job) = self.open_jobs.get_mut(&request) else { return };
        let Some(attempt) = job.attempts.get_mut(attempt_number as usize) else { return };
        if attempt.state == AttemptState::InFlight {
            attempt.state = AttemptState::Cancelled;
            self.outputs.push(Output::Cancel { job_id: job.id.clone(), attempt: attempt_number });
        }
    }

    /// Rejects a job, which tells the client that a retry is harmless. Fails the job if a retry could do
    /// harm.
    fn reject(&mut self, request: RequestId, retry_after: Nanos) {
        let Some(job) = self.open_jobs.get(&request).filter(|job| !job.is_finished) else { return };
        let class = self.permit_settings.class(job.class);
        let denial = class
            .and_then(|class| permits::check_rejection(class.idempotency, &job.earlier_attempts()).err());
        self.record_violation(request, Operation::Reject, denial);
        let answer = match denial {
            Some(_) => FinalAnswer::Failed,
            None => FinalAnswer::Rejected { retry_after },
        };
        self.answer(request, answer);
    }

    fn answer(&mut self, request: RequestId, answer: FinalAnswer<R>) {
        let Some(job) = self.open_jobs.get_mut(&request) else { return };
        let was_finished = std::mem::replace(&mut job.is_finished, true);
        if !was_finished {
            self.outputs.push(Output::FinalAnswer { job_id: job.id.clone(), answer });
        }
        self.remove_if_done(request);
    }

    /// Removes a job that is finished and has no active attempts, so that no further input can name it.
    fn remove_if_done(&mut self, request: RequestId) {
        let Some(job) = self.open_jobs.get(&request) else { return };
        if !job.is_finished || job.active_attempt_count() > 0 {
            return;
        }
        if let Some(job) = self.open_jobs.remove(&request) {
            self.request_ids.remove(&job.id);
        }
    }
}
