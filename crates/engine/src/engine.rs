//! The engine: inputs in, orders out.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::hash::Hash;

use nickelflow_dispatcher::{
    Action, Class, Dispatcher, Event, ListKind, Nanos, Outcome, Request, RequestId, Settings, SettingsError,
    WorkerEntry, WorkerId, WorkerStatus,
};

use crate::instances::{Instances, KnownWorker};
use crate::interface::{AttemptResult, EngineError, FinalAnswer, Input, Job, Output, StartAttempt};
use crate::open_job::{Attempt, OpenJob, Standing};
use crate::permits::{self, Act, AttemptFacts, Denial, Violation};

/// Violations that a host has not taken note of yet, at most: one that never does must not grow for them.
const MOST_VIOLATIONS: usize = 1_024;

/// What of the settings the permits ask for.
struct Terms {
    classes: Vec<Class>,
    connect: Nanos,
    most_attempts: u32,
    parallel: bool,
}

/// Hosts one [`Dispatcher`]; see the [crate's page](crate).
pub struct Engine<J, A, R> {
    dispatcher: Dispatcher,
    now: Nanos,
    numbers: HashMap<J, u64>,
    open: HashMap<u64, OpenJob<J>>,
    terms: Terms,
    violations: Vec<(J, Violation)>,
    next: u64,
    instances: Instances<A>,
    wakes: BinaryHeap<Reverse<Nanos>>,
    actions: Vec<Action>,
    /// Events that carrying out the module's actions has led to: they come after those actions.
    follow_ups: VecDeque<Event>,
    orders: Vec<Output<J, R>>,
}

impl<J: Clone + Eq + Hash, A, R> Engine<J, A, R> {
    /// An engine that knows no instances yet. The seed is that of its random choices.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let terms = Terms {
            classes: settings.classes.clone(),
            connect: settings.connect_timeout,
            most_attempts: settings.max_attempts,
            parallel: settings.allows_hedging,
        };
        Ok(Engine {
            dispatcher: Dispatcher::new(settings, seed)?,
            terms,
            violations: Vec::new(),
            now: 0,
            numbers: HashMap::new(),
            open: HashMap::new(),
            next: 0,
            instances: Instances::new(),
            wakes: BinaryHeap::new(),
            actions: Vec::new(),
            follow_ups: VecDeque::new(),
            orders: Vec::new(),
        })
    }

    /// The instance behind a number in an order.
    pub fn worker(&self, number: u32) -> Option<&KnownWorker<A>> {
        self.instances.get(number)
    }

    /// The number of an instance that has been listed under this name.
    pub fn worker_number(&self, name: &str) -> Option<u32> {
        self.instances.number(name)
    }

    /// Jobs that are not forgotten yet: without an answer, or with attempts out.
    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    /// What the decisions ordered and no permit was given for since this was last asked, with the jobs: faults of this
    /// program, which have come to nothing outside.
    pub fn take_violations(&mut self) -> Vec<(J, Violation)> {
        std::mem::take(&mut self.violations)
    }

    /// When it next wants an [`Input::Wake`], if nothing comes before.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.wakes.peek().map(|at| at.0)
    }

    /// Takes what has happened at a time, and appends what is to be done about it, in order.
    pub fn handle(
        &mut self,
        now: Nanos,
        input: Input<J, A, R>,
        orders: &mut Vec<Output<J, R>>,
    ) -> Result<(), EngineError> {
        self.now = self.now.max(now);
        let taken = self.take(input);
        orders.append(&mut self.orders);
        taken
    }

    fn take(&mut self, input: Input<J, A, R>) -> Result<(), EngineError> {
        match input {
            Input::WorkerList { kind, workers: instances } => {
                if matches!(kind, ListKind::Complete | ListKind::Cached) {
                    // What a whole list leaves out has gone.
                    self.instances.none_ready();
                }
                let entries = match kind {
                    ListKind::Failed | ListKind::Stale => Vec::new(),
                    _ => instances.into_iter().map(|instance| self.instances.entry(instance)).collect(),
                };
                self.leave(kind, &entries);
                self.decide(Event::WorkerList { kind, entries });
            }
            Input::Job { id, job } => self.job(id, job)?,
            Input::ClientDisconnected { id } => {
                // It may cross the answer: then nothing is owed and the module has long ended it.
                let Some(&number) = self.numbers.get(&id) else { return Ok(()) };
                let Some(open) = self.open.get_mut(&number).filter(|open| !open.over) else { return Ok(()) };
                open.over = true;
                self.decide(Event::ClientDisconnected { request: RequestId(number) });
                // What the module has called back is told to end already.
                if let Some(open) = self.open.get(&number) {
                    open.withdraw(|_| true, &mut self.orders);
                }
                self.forget(number);
            }
            Input::Progress { id, attempt } => {
                if let Some(&number) = self.numbers.get(&id) {
                    self.decide(Event::Progress { request: RequestId(number), attempt });
                }
            }
            Input::Streaming { id, attempt } => self.streaming(&id, attempt),
            Input::AttemptEnded { id, attempt, result: end } => self.ended(&id, attempt, end)?,
            Input::ProbeCompleted { worker: instance, outcome, report } => {
                self.instances.get(instance).ok_or(EngineError::UnknownWorker)?;
                self.decide(Event::ProbeCompleted { worker: WorkerId(instance), outcome, report });
            }
            Input::Shutdown { deadline: by } => self.decide(Event::Shutdown { deadline: by }),
            Input::Rules { rules, valid_until: until } => {
                self.decide(Event::Rules { rules, valid_until: until })
            }
            Input::Wake => {
                let mut due = false;
                while self.wakes.peek().is_some_and(|at| at.0 <= self.now) {
                    self.wakes.pop();
                    due = true;
                }
                if due {
                    self.decide(Event::Wake);
                }
            }
        }
        Ok(())
    }

    /// What is on its way to instances that leave, or have left, must not begin there.
    fn leave(&mut self, kind: ListKind, entries: &[WorkerEntry]) {
        let entries = entries.iter().map(|entry| (entry.worker.0, entry.status == WorkerStatus::Ready));
        let ready: HashMap<u32, bool> = entries.collect();
        // One that a list of changes leaves out stays.
        let unlisted = match kind {
            ListKind::Failed => return,
            ListKind::Changes => true,
            ListKind::Complete | ListKind::Cached => false,
            // Decided by what may be out of date by now, whoever it goes to: it is decided anew.
            ListKind::Stale => false,
        };
        // In the order of their numbers: the same inputs give the same orders, in any process.
        let mut jobs: Vec<_> = self.open.iter().collect();
        jobs.sort_unstable_by_key(|(number, _)| **number);
        for (_, open) in jobs {
            open.withdraw(|n| !ready.get(&n).copied().unwrap_or(unlisted), &mut self.orders);
        }
    }

    fn job(&mut self, id: J, job: Job) -> Result<(), EngineError> {
        if self.numbers.contains_key(&id) {
            return Err(EngineError::DuplicateJob);
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(id.clone(), number);
        let (class, deadline) = (job.class, Some(job.deadline));
        let open = OpenJob { id, class, deadline, over: false, attempts: Vec::new() };
        self.open.insert(number, open);
        self.decide(Event::Request(Request {
            id: RequestId(number),
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

    fn streaming(&mut self, id: &J, attempt: u32) {
        let Some(&number) = self.numbers.get(id) else { return };
        let Some(open) = self.open.get_mut(&number).filter(|open| !open.over) else { return };
        let Some(streams) = open.attempts.get_mut(attempt as usize) else { return };
        // The first to stream has the client; one that was told to end may have begun before it heard.
        if open.deadline.is_none() || !streams.standing.is_out() {
            return;
        }
        streams.standing = Standing::Streaming;
        open.deadline = None;
        self.decide(Event::Streaming { request: RequestId(number), attempt });
    }

    fn ended(&mut self, id: &J, attempt: u32, end: AttemptResult<R>) -> Result<(), EngineError> {
        let number = *self.numbers.get(id).ok_or(EngineError::AttemptNotInFlight)?;
        let open = self.open.get_mut(&number).ok_or(EngineError::AttemptNotInFlight)?;
        let ended = open.attempts.get_mut(attempt as usize).ok_or(EngineError::AttemptNotInFlight)?;
        let AttemptResult { outcome, result, report } = end;
        let streamed = ended.end(outcome).ok_or(EngineError::AttemptNotInFlight)? == Standing::Streaming;
        let outcome = if outcome == Outcome::Ok && result.is_none() { Outcome::Error } else { outcome };
        let answer = match result.filter(|_| outcome == Outcome::Ok) {
            Some(result) => Some(FinalAnswer::Served(result)),
            // What has begun to stream cannot be sent again.
            None => streamed.then_some(FinalAnswer::Failed),
        };
        if let Some(answer) = answer.filter(|_| !open.over) {
            open.over = true;
            self.orders.push(Output::FinalAnswer { id: open.id.clone(), answer });
        }
        let finished = open.over;
        self.decide(Event::AttemptEnded { request: RequestId(number), attempt, outcome, finished, report });
        self.forget(number);
        Ok(())
    }

    /// Gives the module one event, and all that follows from it.
    fn decide(&mut self, event: Event) {
        self.follow_ups.push_back(event);
        while let Some(event) = self.follow_ups.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, timeout, send_by: by } => {
                self.send(request.0, worker.0, timeout, by)
            }
            Action::Cancel { request, attempt } => {
                let Some(open) = self.open.get_mut(&request.0) else { return };
                let cancelled = open.attempts.get_mut(attempt as usize);
                if let Some(cancelled) = cancelled.filter(|attempt| attempt.standing == Standing::Out) {
                    cancelled.standing = Standing::Cancelled;
                    self.orders.push(Output::Cancel { id: open.id.clone(), attempt });
                }
            }
            Action::Reject { request, retry_after } => self.refuse(request.0, retry_after),
            Action::Fail { request } => self.answer(request.0, FinalAnswer::Failed),
            Action::Probe { worker } => self.orders.push(Output::Probe { worker: worker.0 }),
            Action::Subscribe => self.orders.push(Output::Subscribe),
            Action::Wake { at } => self.wakes.push(Reverse(at)),
        }
    }

    fn send(&mut self, number: u64, instance: u32, timeout: Nanos, send_by: Nanos) {
        let Some(known) = self.instances.get(instance) else { return };
        let (worker, ready) = (known.entry.clone(), known.ready);
        let Some(open) = self.open.get(&number) else { return };
        let attempt = open.attempts.len() as u32;
        let limit = if timeout == 0 { Nanos::MAX } else { self.now.saturating_add(timeout) };
        let until = open.deadline.map_or(limit, |deadline| deadline.min(limit));
        // Over, or out of time: it is not sent at all, and no fault of anybody.
        let over = open.over || until <= self.now;
        let denial = if over { None } else { self.denies_attempt(open, &worker, ready) };
        self.violations_found(number, Act::Attempt, denial);
        let Some(open) = self.open.get_mut(&number) else { return };
        if over || denial.is_some() {
            open.attempts.push(Attempt::not_made(worker, self.now));
            let (request, outcome, finished) = (RequestId(number), Outcome::NotSent, open.over);
            self.follow_ups.push_back(Event::AttemptEnded {
                request,
                attempt,
                outcome,
                finished,
                report: None,
            });
            return;
        }
        open.attempts.push(Attempt::ordered(worker, self.now));
        self.orders.push(Output::StartAttempt(StartAttempt {
            id: open.id.clone(),
            attempt,
            worker: instance,
            deadline: until,
            send_by,
        }));
    }

    /// Why an attempt must not be made, if it must not.
    fn denies_attempt(&self, open: &OpenJob<J>, worker: &WorkerEntry, ready: bool) -> Option<Denial> {
        let facts = AttemptFacts {
            now: self.now,
            class: self.class(open.class)?,
            connect: self.terms.connect,
            most_attempts: self.terms.most_attempts,
            parallel: self.terms.parallel,
            earlier: &open.earlier(),
            worker,
            ready,
        };
        permits::attempt(&facts).err()
    }

    /// A class of the settings; one that is out of range counts as the last.
    fn class(&self, class: u32) -> Option<&Class> {
        self.terms.classes.get(class as usize).or(self.terms.classes.last())
    }

    fn violations_found(&mut self, number: u64, act: Act, denial: Option<Denial>) {
        let Some((denial, open)) = denial.zip(self.open.get(&number)) else { return };
        if self.violations.len() < MOST_VIOLATIONS {
            self.violations.push((open.id.clone(), Violation { act, denial }));
        }
    }

    /// Answers that to try again is harmless; where that is not so, that nothing is promised.
    fn refuse(&mut self, number: u64, retry_after: Nanos) {
        let Some(open) = self.open.get(&number).filter(|open| !open.over) else { return };
        let effect = self.class(open.class).map(|class| class.idempotency);
        let denial = effect.and_then(|effect| permits::refusal(effect, &open.earlier()).err());
        self.violations_found(number, Act::Refuse, denial);
        self.answer(
            number,
            if denial.is_some() { FinalAnswer::Failed } else { FinalAnswer::Rejected { retry_after } },
        );
    }

    fn answer(&mut self, number: u64, answer: FinalAnswer<R>) {
        let Some(open) = self.open.get_mut(&number) else { return };
        if !std::mem::replace(&mut open.over, true) {
            self.orders.push(Output::FinalAnswer { id: open.id.clone(), answer });
        }
        self.forget(number);
    }

    /// Drops what no input can name any more.
    fn forget(&mut self, number: u64) {
        if self.open.get(&number).is_some_and(|open| open.over && open.out() == 0) {
            if let Some(open) = self.open.remove(&number) {
                self.numbers.remove(&open.id);
            }
        }
    }
}
