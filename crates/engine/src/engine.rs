//! The engine: inputs in, orders out.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::fmt;
use std::hash::Hash;
use std::sync::Arc;

use nickelflow::{
    Action, Dispatcher, Event, ListKind, Membership, Nanos, Outcome, Report, Request, RequestId, Rules,
    Settings, SettingsError, WorkerEntry, WorkerId,
};

use crate::instances::{Instance, Instances, Known};

/// A job as a host hands it in.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of its class in the settings; one that is out of range counts as the last.
    pub class: u32,
    /// Index of its tenant in the settings; one that is out of range has no share to keep to.
    pub tenant: Option<u32>,
    /// Slots and memory that it takes while it runs, in the units of reports.
    pub slots: f64,
    pub memory: f64,
    /// [`hash`](crate::hash) of the name of the data that it needs.
    pub key: Option<u64>,
    /// The client says that it is repeating itself.
    pub retry: bool,
    /// When its client gives up.
    pub deadline: Nanos,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct End<R> {
    pub outcome: Outcome,
    /// What the instance gave for the job. An [`Outcome::Ok`] without it cannot serve the job and counts as
    /// an [`Outcome::Error`].
    pub result: Option<R>,
    /// The load report that came with it.
    pub report: Option<Report>,
}

impl<R> From<Outcome> for End<R> {
    fn from(outcome: Outcome) -> Self {
        End { outcome, result: None, report: None }
    }
}

/// What has happened outside.
#[derive(Clone, Debug)]
pub enum Input<J, A, R> {
    /// A list of instances, or news of it. With [`ListKind::Failed`] and [`ListKind::Stale`] the entries are passed
    /// over; the latter withdraws whatever has not begun.
    Listed {
        kind: ListKind,
        instances: Vec<Instance<A>>,
    },
    Job {
        id: J,
        job: Job,
    },
    /// The client will take no answer any more.
    Gone {
        id: J,
    },
    /// A running attempt gave a sign of life.
    Progress {
        id: J,
        attempt: u32,
    },
    /// A streamed answer has begun. The job has no deadline any more; the end of this attempt ends it.
    Streaming {
        id: J,
        attempt: u32,
    },
    Ended {
        id: J,
        attempt: u32,
        end: End<R>,
    },
    /// The one answer to an [`Order::Probe`], or its time-out.
    Probed {
        instance: u32,
        outcome: Outcome,
        report: Option<Report>,
    },
    /// The scheduler is to end: all that is open by then is answered at this time, and what still comes too.
    Ending {
        by: Nanos,
    },
    /// Rules that all schedulers agree on, in full until then; instances in them are named by [`hash`](crate::hash).
    Rules {
        rules: Arc<Rules>,
        until: Nanos,
    },
    /// [`Engine::next_wake`] has come.
    Wake,
}

/// The single final answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<R> {
    /// An instance's own result.
    Served(R),
    /// Turned away: to try again is harmless, best after this long (ns; 0 gives no advice).
    Refused { retry_after: Nanos },
    /// Nothing is promised: it may have run.
    Failed,
}

impl<R> Answer<R> {
    /// What kind of answer it is, for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// One attempt to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execute<J> {
    pub id: J,
    pub attempt: u32,
    /// Number of the instance; [`Engine::instance`] tells its name and address.
    pub instance: u32,
    /// When it is to be given up as [`Outcome::Timeout`].
    pub until: Nanos,
    /// What of it is not written by then must not be any more: as long as its last byte has not gone out, it ends as
    /// [`Outcome::NotSent`] then. [`Nanos::MAX`] where nothing bounds it.
    pub send_by: Nanos,
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order<J, R> {
    Execute(Execute<J>),
    Cancel {
        id: J,
        attempt: u32,
    },
    Answer {
        id: J,
        answer: Answer<R>,
    },
    /// The attempt must not begin any more: its instance leaves, or nobody waits for it. If no byte of it has
    /// gone out it ends as [`Outcome::NotSent`]; if one has, this changes nothing.
    Withdraw {
        id: J,
        attempt: u32,
    },
    /// Ask an instance for its load; one [`Input::Probed`] is wanted.
    Probe {
        instance: u32,
    },
    /// Ask for the list and for all news of it; [`Input::Listed`] tells, with [`ListKind::Failed`] if that
    /// did not succeed or has ended.
    Subscribe,
}

/// An input that cannot be: a host's mistake. It has changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misuse {
    /// A job under an id that is open already, or whose attempts have not all ended yet.
    JobOpen,
    /// The end of an attempt that is not out: it has ended before, or was never ordered.
    NotOut,
    /// A probe's answer for an instance that was never listed.
    NoSuchInstance,
}

impl fmt::Display for Misuse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Misuse::JobOpen => "a job under an id that is open already",
            Misuse::NotOut => "an end of an attempt that is not out",
            Misuse::NoSuchInstance => "a probe's answer for an instance that was never listed",
        })
    }
}

impl std::error::Error for Misuse {}

#[derive(Clone, Copy, PartialEq)]
enum Attempt {
    Out,
    /// Told to end; its end is still wanted.
    Cancelled,
    /// Its answer streams to the client, and it cannot be called back.
    Streaming,
    Ended,
}

struct Open<J> {
    id: J,
    /// `None` once its answer streams.
    deadline: Option<Nanos>,
    /// Answered, or its client has gone.
    over: bool,
    attempts: Vec<Attempt>,
    /// The instance that each went to.
    instances: Vec<u32>,
    out: u32,
}

/// Hosts one [`Dispatcher`]; see the [crate's page](crate).
pub struct Engine<J, A, R> {
    dispatcher: Dispatcher,
    now: Nanos,
    numbers: HashMap<J, u64>,
    open: HashMap<u64, Open<J>>,
    next: u64,
    instances: Instances<A>,
    wakes: BinaryHeap<Reverse<Nanos>>,
    actions: Vec<Action>,
    /// Events that carrying out the module's actions has led to: they come after those actions.
    follow_ups: VecDeque<Event>,
    orders: Vec<Order<J, R>>,
}

/// Withdraws the attempts of a job that are out to certain instances.
fn withdraw<J: Clone, R>(open: &Open<J>, from: impl Fn(u32) -> bool, orders: &mut Vec<Order<J, R>>) {
    let attempts = open.attempts.iter().zip(&open.instances).enumerate();
    let out = attempts.filter(|(_, (state, instance))| **state == Attempt::Out && from(**instance));
    orders.extend(out.map(|(n, _)| Order::Withdraw { id: open.id.clone(), attempt: n as u32 }));
}

impl<J: Clone + Eq + Hash, A, R> Engine<J, A, R> {
    /// An engine that knows no instances yet. The seed is that of its random choices.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Engine {
            dispatcher: Dispatcher::new(settings, seed)?,
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
    pub fn instance(&self, number: u32) -> Option<&Known<A>> {
        self.instances.get(number)
    }

    /// The number of an instance that has been listed under this name.
    pub fn instance_number(&self, name: &str) -> Option<u32> {
        self.instances.number(name)
    }

    /// Jobs that are not forgotten yet: without an answer, or with attempts out.
    pub fn open_jobs(&self) -> usize {
        self.open.len()
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
        orders: &mut Vec<Order<J, R>>,
    ) -> Result<(), Misuse> {
        self.now = self.now.max(now);
        let taken = self.take(input);
        orders.append(&mut self.orders);
        taken
    }

    fn take(&mut self, input: Input<J, A, R>) -> Result<(), Misuse> {
        match input {
            Input::Listed { kind, instances } => {
                let entries = match kind {
                    ListKind::Failed | ListKind::Stale => Vec::new(),
                    _ => instances.into_iter().map(|instance| self.instances.entry(instance)).collect(),
                };
                self.leave(kind, &entries);
                self.decide(Event::Workers { kind, entries });
            }
            Input::Job { id, job } => self.job(id, job)?,
            Input::Gone { id } => {
                // It may cross the answer: then nothing is owed and the module has long ended it.
                let Some(&number) = self.numbers.get(&id) else { return Ok(()) };
                let Some(open) = self.open.get_mut(&number).filter(|open| !open.over) else { return Ok(()) };
                open.over = true;
                self.decide(Event::ClientGone { request: RequestId(number) });
                // What the module has called back is told to end already.
                if let Some(open) = self.open.get(&number) {
                    withdraw(open, |_| true, &mut self.orders);
                }
                self.forget(number);
            }
            Input::Progress { id, attempt } => {
                if let Some(&number) = self.numbers.get(&id) {
                    self.decide(Event::Progress { request: RequestId(number), attempt });
                }
            }
            Input::Streaming { id, attempt } => self.streaming(&id, attempt),
            Input::Ended { id, attempt, end } => self.ended(&id, attempt, end)?,
            Input::Probed { instance, outcome, report } => {
                self.instances.get(instance).ok_or(Misuse::NoSuchInstance)?;
                self.decide(Event::Probed { worker: WorkerId(instance), outcome, report });
            }
            Input::Ending { by } => self.decide(Event::Ending { by }),
            Input::Rules { rules, until } => self.decide(Event::Rules { rules, until }),
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
        let entries = entries.iter().map(|entry| (entry.worker.0, entry.membership == Membership::Ready));
        let ready: HashMap<u32, bool> = entries.collect();
        // One that a list of changes leaves out stays.
        let unlisted = match kind {
            ListKind::Failed => return,
            ListKind::Changes => true,
            ListKind::Full | ListKind::Saved => false,
            // Decided by what may be out of date by now, whoever it goes to: it is decided anew.
            ListKind::Stale => false,
        };
        // In the order of their numbers: the same inputs give the same orders, in any process.
        let mut jobs: Vec<_> = self.open.iter().collect();
        jobs.sort_unstable_by_key(|(number, _)| **number);
        for (_, open) in jobs {
            withdraw(open, |n| !ready.get(&n).copied().unwrap_or(unlisted), &mut self.orders);
        }
    }

    fn job(&mut self, id: J, job: Job) -> Result<(), Misuse> {
        if self.numbers.contains_key(&id) {
            return Err(Misuse::JobOpen);
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(id.clone(), number);
        let deadline = Some(job.deadline);
        self.open.insert(
            number,
            Open { id, deadline, over: false, attempts: Vec::new(), instances: Vec::new(), out: 0 },
        );
        self.decide(Event::Request(Request {
            id: RequestId(number),
            class: job.class,
            tenant: job.tenant,
            slots: job.slots,
            memory: job.memory,
            key: job.key,
            time_left: job.deadline.saturating_sub(self.now),
            retry: job.retry,
        }));
        Ok(())
    }

    fn streaming(&mut self, id: &J, attempt: u32) {
        let Some(&number) = self.numbers.get(id) else { return };
        let Some(open) = self.open.get_mut(&number).filter(|open| !open.over) else { return };
        let Some(state) = open.attempts.get_mut(attempt as usize) else { return };
        // The first to stream has the client; one that was told to end may have begun before it heard.
        if open.deadline.is_none() || *state == Attempt::Ended {
            return;
        }
        *state = Attempt::Streaming;
        open.deadline = None;
        self.decide(Event::Streaming { request: RequestId(number), attempt });
    }

    fn ended(&mut self, id: &J, attempt: u32, end: End<R>) -> Result<(), Misuse> {
        let number = *self.numbers.get(id).ok_or(Misuse::NotOut)?;
        let open = self.open.get_mut(&number).ok_or(Misuse::NotOut)?;
        let state = open.attempts.get_mut(attempt as usize).ok_or(Misuse::NotOut)?;
        let streamed = *state == Attempt::Streaming;
        if std::mem::replace(state, Attempt::Ended) == Attempt::Ended {
            return Err(Misuse::NotOut);
        }
        open.out -= 1;
        let End { outcome, result, report } = end;
        let outcome = if outcome == Outcome::Ok && result.is_none() { Outcome::Error } else { outcome };
        let answer = match result.filter(|_| outcome == Outcome::Ok) {
            Some(result) => Some(Answer::Served(result)),
            // What has begun to stream cannot be sent again.
            None => streamed.then_some(Answer::Failed),
        };
        if let Some(answer) = answer.filter(|_| !open.over) {
            open.over = true;
            self.orders.push(Order::Answer { id: open.id.clone(), answer });
        }
        let finished = open.over;
        self.decide(Event::Outcome { request: RequestId(number), attempt, outcome, finished, report });
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
            Action::Send { request, worker, timeout, by } => self.send(request.0, worker.0, timeout, by),
            Action::Cancel { request, attempt } => {
                let Some(open) = self.open.get_mut(&request.0) else { return };
                if let Some(state @ Attempt::Out) = open.attempts.get_mut(attempt as usize) {
                    *state = Attempt::Cancelled;
                    self.orders.push(Order::Cancel { id: open.id.clone(), attempt });
                }
            }
            Action::Refuse { request, retry_after } => {
                self.answer(request.0, Answer::Refused { retry_after });
            }
            Action::Fail { request } => self.answer(request.0, Answer::Failed),
            Action::Probe { worker } => self.orders.push(Order::Probe { instance: worker.0 }),
            Action::Subscribe => self.orders.push(Order::Subscribe),
            Action::Wake { at } => self.wakes.push(Reverse(at)),
        }
    }

    fn send(&mut self, number: u64, instance: u32, timeout: Nanos, send_by: Nanos) {
        let Some(open) = self.open.get_mut(&number) else { return };
        let attempt = open.attempts.len() as u32;
        let limit = if timeout == 0 { Nanos::MAX } else { self.now.saturating_add(timeout) };
        let until = open.deadline.map_or(limit, |deadline| deadline.min(limit));
        open.instances.push(instance);
        if open.over || until <= self.now {
            // Over, or out of time: it is not sent at all.
            open.attempts.push(Attempt::Ended);
            let (request, outcome, finished) = (RequestId(number), Outcome::NotSent, open.over);
            self.follow_ups.push_back(Event::Outcome { request, attempt, outcome, finished, report: None });
            return;
        }
        open.attempts.push(Attempt::Out);
        open.out += 1;
        self.orders.push(Order::Execute(Execute { id: open.id.clone(), attempt, instance, until, send_by }));
    }

    fn answer(&mut self, number: u64, answer: Answer<R>) {
        let Some(open) = self.open.get_mut(&number) else { return };
        if !std::mem::replace(&mut open.over, true) {
            self.orders.push(Order::Answer { id: open.id.clone(), answer });
        }
        self.forget(number);
    }

    /// Drops what no input can name any more.
    fn forget(&mut self, number: u64) {
        if self.open.get(&number).is_some_and(|open| open.over && open.out == 0) {
            if let Some(open) = self.open.remove(&number) {
                self.numbers.remove(&open.id);
            }
        }
    }
}
