//! The engine: takes inputs, has the dispatcher decide on them, and returns outputs.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
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

/// The largest number of violations that are kept for the host: a host that never takes them must not let memory grow.
const MAX_VIOLATIONS: usize = 1_024;

/// The settings on which permits are decided.
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

    /// Returns a class of the settings; an index that is out of range means the last.
    fn class(&self, class: u32) -> Option<&Class> {
        self.classes.get(class as usize).or(self.classes.last())
    }
}

/// A violation, with the job that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobViolation<J> {
    /// The host's id of the job.
    pub job_id: J,
    /// The rule that was broken.
    pub violation: Violation,
}

/// Hosts one [`Dispatcher`]; see the [crate's documentation](crate).
pub struct Engine<J, A, R> {
    dispatcher: Dispatcher,
    /// The time of the last input.
    now: Nanos,
    requests: HashMap<J, RequestId>,
    open_jobs: HashMap<RequestId, OpenJob<J>>,
    permit_settings: PermitSettings,
    violations: Vec<JobViolation<J>>,
    next_request: u64,
    workers: WorkerRegistry<A>,
    /// The times at which the dispatcher asked to be woken, the earliest first.
    wakes: BinaryHeap<Reverse<Nanos>>,
    /// The dispatcher's actions on the event in hand; kept for its allocation.
    actions: Vec<Action>,
    /// Events to which the dispatcher's own actions have led. The dispatcher gets them after those actions are applied.
    follow_ups: VecDeque<Event>,
    outputs: Vec<Output<J, R>>,
}

impl<J: Clone + Eq + Hash, A, R> Engine<J, A, R> {
    /// Creates an engine that knows no workers yet. `seed` initializes its random choices.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let permit_settings = PermitSettings::new(&settings);
        Ok(Engine {
            dispatcher: Dispatcher::new(settings, seed)?,
            now: 0,
            requests: HashMap::new(),
            open_jobs: HashMap::new(),
            permit_settings,
            violations: Vec::new(),
            next_request: 0,
            workers: WorkerRegistry::new(),
            wakes: BinaryHeap::new(),
            actions: Vec::new(),
            follow_ups: VecDeque::new(),
            outputs: Vec::new(),
        })
    }

    /// Returns the worker with a number that an output has named.
    pub fn worker(&self, number: u32) -> Option<&KnownWorker<A>> {
        self.workers.get(number)
    }

    /// Returns the number of a worker that has been listed under this name.
    pub fn worker_number(&self, name: &str) -> Option<u32> {
        self.workers.number(name)
    }

    /// Returns the number of jobs that are not answered yet or have attempts whose end is still to be reported.
    pub fn open_job_count(&self) -> usize {
        self.open_jobs.len()
    }

    /// Returns the violations found since the last call: actions of the dispatcher that no permit was granted for, so that
    /// they had no effect outside. Each is a fault of this program.
    pub fn take_violations(&mut self) -> Vec<JobViolation<J>> {
        std::mem::take(&mut self.violations)
    }

    /// Returns when [`Input::Wake`] is due if no other input comes before.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.wakes.peek().map(|at| at.0)
    }

    /// Takes an input with its time, and appends the outputs that follow from it, in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is impossible in the engine's state. The engine has ignored it then.
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
                if let Some(&request) = self.requests.get(&job_id) {
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
            // A worker that a complete list omits has gone.
            self.workers.mark_all_unlisted();
        }
        let entries = match kind {
            ListKind::Failed | ListKind::Stale => Vec::new(),
            _ => workers.into_iter().map(|endpoint| self.workers.update(endpoint)).collect(),
        };
        self.withdraw_from_unlisted(kind, &entries);
        self.dispatch(Event::WorkerList { kind, entries });
    }

    /// Withdraws the unstarted attempts to workers that drain or have gone.
    fn withdraw_from_unlisted(&mut self, kind: ListKind, entries: &[WorkerEntry]) {
        let keeps_unlisted = match kind {
            ListKind::Failed => return,
            ListKind::Changes => true,
            ListKind::Complete | ListKind::Cached => false,
            // Every attempt was decided by data that may be out of date now and is to be decided anew.
            ListKind::Stale => false,
        };
        let is_ready: HashMap<u32, bool> =
            entries.iter().map(|entry| (entry.worker.0, entry.status == WorkerStatus::Ready)).collect();
        // Sorted, so that the same inputs give the same outputs in any process.
        let mut jobs: Vec<_> = self.open_jobs.iter().collect();
        jobs.sort_unstable_by_key(|(request, _)| request.0);
        for (_, job) in jobs {
            let is_withdrawn = |worker| !is_ready.get(&worker).copied().unwrap_or(keeps_unlisted);
            job.cancel_unstarted(is_withdrawn, &mut self.outputs);
        }
    }

    fn open_job(&mut self, job_id: J, job: Job) -> Result<(), EngineError> {
        if self.requests.contains_key(&job_id) {
            return Err(EngineError::DuplicateJob);
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(job_id.clone(), request);
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
        // The input may cross the answer. The dispatcher has ended the request then.
        let Some(&request) = self.requests.get(job_id) else { return };
        let Some(job) = self.open_jobs.get_mut(&request).filter(|job| !job.is_finished) else { return };
        job.is_finished = true;
        self.dispatch(Event::ClientDisconnected { request });
        // Attempts that the dispatcher has cancelled are not in flight any more.
        if let Some(job) = self.open_jobs.get(&request) {
            job.cancel_unstarted(|_| true, &mut self.outputs);
        }
        self.remove_if_done(request);
    }

    fn begin_streaming(&mut self, job_id: &J, number: u32) {
        let Some(&request) = self.requests.get(job_id) else { return };
        let Some(job) = self.open_jobs.get_mut(&request).filter(|job| !job.is_finished) else { return };
        let Some(attempt) = job.attempts.get_mut(number as usize) else { return };
        // The first attempt to stream answers the client, also one that was cancelled while its answer was on the way.
        if job.deadline.is_none() || !attempt.state.awaits_end() {
            return;
        }
        attempt.state = AttemptState::Streaming;
        job.deadline = None;
        self.dispatch(Event::Streaming { request, attempt: number });
    }

    fn end_attempt(&mut self, job_id: &J, number: u32, result: AttemptResult<R>) -> Result<(), EngineError> {
        let request = *self.requests.get(job_id).ok_or(EngineError::AttemptNotInFlight)?;
        let job = self.open_jobs.get_mut(&request).ok_or(EngineError::AttemptNotInFlight)?;
        let attempt = job.attempts.get_mut(number as usize).ok_or(EngineError::AttemptNotInFlight)?;
        let AttemptResult { outcome, result, report } = result;
        let state = attempt.end(outcome).ok_or(EngineError::AttemptNotInFlight)?;
        let outcome = if outcome == Outcome::Ok && result.is_none() { Outcome::Error } else { outcome };
        let answer = match result.filter(|_| outcome == Outcome::Ok) {
            Some(result) => Some(FinalAnswer::Served(result)),
            // An answer that has begun to stream cannot be sent again.
            None if state == AttemptState::Streaming => Some(FinalAnswer::Failed),
            None => None,
        };
        if let Some(answer) = answer.filter(|_| !job.is_finished) {
            job.is_finished = true;
            self.outputs.push(Output::FinalAnswer { job_id: job.id.clone(), answer });
        }
        let request_is_finished = job.is_finished;
        self.dispatch(Event::AttemptEnded { request, attempt: number, outcome, request_is_finished, report });
        self.remove_if_done(request);
        Ok(())
    }

    fn wake(&mut self) {
        let mut is_due = false;
        while self.wakes.peek().is_some_and(|at| at.0 <= self.now) {
            self.wakes.pop();
            is_due = true;
        }
        if is_due {
            self.dispatch(Event::Wake);
        }
    }

    /// Passes an event to the dispatcher and applies its actions, and then those of all events that follow from them.
    fn dispatch(&mut self, event: Event) {
        self.follow_ups.push_back(event);
        while let Some(event) = self.follow_ups.pop_front() {
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
            Action::Wake { at } => self.wakes.push(Reverse(at)),
        }
    }

    fn start_attempt(&mut self, request: RequestId, worker: WorkerId, timeout: Nanos, send_by: Nanos) {
        let Some(known) = self.workers.get(worker.0) else { return };
        let (entry, worker_is_ready) = (known.entry.clone(), known.is_ready);
        let Some(job) = self.open_jobs.get(&request) else { return };
        let number = job.attempts.len() as u32;
        // With a timeout of 0 only the client's deadline bounds the attempt.
        let timeout_at = if timeout == 0 { Nanos::MAX } else { self.now.saturating_add(timeout) };
        let deadline = job.deadline.map_or(timeout_at, |deadline| deadline.min(timeout_at));
        // An attempt for a job that is finished or out of time is not sent, which is no violation.
        let is_pointless = job.is_finished || deadline <= self.now;
        let denial = if is_pointless { None } else { self.attempt_denial(job, &entry, worker_is_ready) };
        self.record_violation(request, Operation::Attempt, denial);
        let Some(job) = self.open_jobs.get_mut(&request) else { return };
        if is_pointless || denial.is_some() {
            job.attempts.push(Attempt::never_sent(entry, self.now));
            self.follow_ups.push_back(Event::AttemptEnded {
                request,
                attempt: number,
                outcome: Outcome::NotSent,
                request_is_finished: job.is_finished,
                report: None,
            });
            return;
        }
        job.attempts.push(Attempt::in_flight(entry, self.now));
        self.outputs.push(Output::StartAttempt(StartAttempt {
            job_id: job.id.clone(),
            attempt: number,
            worker: worker.0,
            deadline,
            send_by,
        }));
    }

    /// Returns the reason why an attempt must not be made, if there is one.
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

    fn cancel_attempt(&mut self, request: RequestId, number: u32) {
        let Some(job) = self.open_jobs.get_mut(&request) else { return };
        let Some(attempt) = job.attempts.get_mut(number as usize) else { return };
        if attempt.state == AttemptState::InFlight {
            attempt.state = AttemptState::Cancelled;
            self.outputs.push(Output::Cancel { job_id: job.id.clone(), attempt: number });
        }
    }

    /// Rejects a job, which promises that a retry is harmless; fails it where a retry would not be.
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

    /// Removes a job that no input can name any more.
    fn remove_if_done(&mut self, request: RequestId) {
        let Some(job) = self.open_jobs.get(&request) else { return };
        if !job.is_finished || job.attempts_awaiting_end() > 0 {
            return;
        }
        if let Some(job) = self.open_jobs.remove(&request) {
            self.requests.remove(&job.id);
        }
    }
}
