//! The one task that owns the [`Dispatcher`]. It takes events from one queue, gives them to the module with
//! their time, and carries the module's actions out.
//!
//! It knows no protocol. A front hands in a [`Job`] through the [`Entrance`] and gets one [`Answer`]; what
//! passes on unchanged is a `P` that the core never looks into. Executions, probes and the watch are begun
//! by the `carry_out` it is given, and report back through the queue.

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use nickelflow::{
    Action, Dispatcher, Event, ListKind, Membership, Nanos, Outcome, Report, Request, RequestId, WorkerEntry,
    WorkerId,
};
use tokio::sync::{mpsc, oneshot};
use tracing::{debug, warn};

use crate::counters::Shared;

/// The module's clock: monotonic, and anchored once to Unix time so that the start times of instances, which
/// are told in Unix time, compare with it.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
            unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        }
    }

    fn at(&self, moment: Instant) -> Nanos {
        (self.unix + moment.saturating_duration_since(self.origin)).as_nanos() as Nanos
    }

    fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at).saturating_sub(self.unix)
    }
}

/// A job as a front hands it in.
pub struct Job<P> {
    pub class: u32,
    pub tenant: Option<u32>,
    pub slots: f64,
    pub memory: f64,
    /// A hash of the data that the job needs.
    pub key: Option<u64>,
    pub retry: bool,
    /// When its service client gives up.
    pub deadline: Instant,
    pub parcel: P,
}

/// The single final answer to a job.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// An instance's own result.
    Served(Bytes),
    Refused {
        retry_after: Duration,
    },
    Failed,
}

/// One line of the name table.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub membership: Membership,
    /// Unix time (ns) of its last start.
    pub started: Option<Nanos>,
}

/// What reaches the core through its queue.
pub enum Input<P> {
    Job(u64, Job<P>, oneshot::Sender<Answer>),
    Gone(u64),
    Progress {
        job: u64,
        attempt: u32,
    },
    Ended {
        job: u64,
        attempt: u32,
        end: End,
    },
    Probed {
        instance: u32,
        outcome: Outcome,
        report: Option<Report>,
    },
    Listed {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    /// The program ends: by then all must be answered.
    Ending {
        by: Instant,
    },
}

/// How an execution ended.
#[derive(Debug)]
pub struct End {
    pub outcome: Outcome,
    /// What the instance gave for the job; there for [`Outcome::Ok`].
    pub result: Option<Bytes>,
    pub report: Option<Report>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        End { outcome, result: None, report: None }
    }
}

/// What the core wants done outside.
pub enum Order<P> {
    Execute(Execute<P>),
    Probe { instance: u32, address: SocketAddr },
    Watch,
}

/// One attempt to be made; exactly one [`Input::Ended`] must follow.
pub struct Execute<P> {
    pub job: u64,
    pub attempt: u32,
    pub address: SocketAddr,
    pub until: Instant,
    pub cancel: oneshot::Receiver<()>,
    pub parcel: Arc<P>,
}

/// The way in for fronts. The queue has no bound of its own: what is in it is bounded by the descriptors,
/// for each client connection, execution and probe has at most a few events waiting.
pub struct Entrance<P> {
    queue: mpsc::UnboundedSender<Input<P>>,
    numbers: Arc<AtomicU64>,
}

impl<P> Clone for Entrance<P> {
    fn clone(&self) -> Self {
        Entrance { queue: self.queue.clone(), numbers: self.numbers.clone() }
    }
}

impl<P> Entrance<P> {
    pub fn new(queue: mpsc::UnboundedSender<Input<P>>) -> Self {
        Entrance { queue, numbers: Arc::default() }
    }

    /// Whether the core still runs.
    pub fn open(&self) -> bool {
        !self.queue.is_closed()
    }

    /// Hands a job in and waits for its answer. Dropped before that, it tells the core that the service
    /// client has gone.
    pub async fn submit(&self, job: Job<P>) -> Answer {
        struct Left<'a, P>(&'a mpsc::UnboundedSender<Input<P>>, Option<u64>);
        impl<P> Drop for Left<'_, P> {
            fn drop(&mut self) {
                if let Some(number) = self.1 {
                    let _ = self.0.send(Input::Gone(number));
                }
            }
        }
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        let _ = self.queue.send(Input::Job(number, job, sender));
        let mut left = Left(&self.queue, Some(number));
        let answer = answer.await;
        left.1 = None;
        answer.unwrap_or(Answer::Failed)
    }
}

struct Open<P> {
    parcel: Arc<P>,
    deadline: Instant,
    /// `None` once the answer has been given, or the service client has gone.
    answer: Option<oneshot::Sender<Answer>>,
    /// For each attempt the way to cancel it, while that can still be used.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    out: u32,
}

struct Known {
    name: String,
    address: SocketAddr,
}

pub struct Core<P, F> {
    dispatcher: Dispatcher,
    clock: Clock,
    carry_out: F,
    counters: Shared,
    open: HashMap<u64, Open<P>>,
    instances: Vec<Known>,
    numbers: HashMap<String, u32>,
    wakes: BinaryHeap<std::cmp::Reverse<Nanos>>,
    actions: Vec<Action>,
    /// Events that carrying out the module's actions has led to.
    follow_ups: VecDeque<Event>,
}

impl<P, F: FnMut(Order<P>)> Core<P, F> {
    pub fn new(dispatcher: Dispatcher, clock: Clock, counters: Shared, carry_out: F) -> Self {
        Core {
            dispatcher,
            clock,
            carry_out,
            counters,
            open: HashMap::new(),
            instances: Vec::new(),
            numbers: HashMap::new(),
            wakes: BinaryHeap::new(),
            actions: Vec::new(),
            follow_ups: VecDeque::new(),
        }
    }

    /// Runs until no one is left who could hand anything in.
    pub async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input<P>>) {
        loop {
            let wake = self.wakes.peek().map(|at| self.clock.instant(at.0));
            let sleep = async {
                match wake {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // The clock first: a wake must not starve behind a full queue.
                biased;
                () = sleep => {
                    let now = self.clock.at(Instant::now());
                    while self.wakes.peek().is_some_and(|at| at.0 <= now) {
                        self.wakes.pop();
                    }
                    self.handle(Event::Wake);
                }
                input = queue.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
        }
    }

    fn take(&mut self, input: Input<P>) {
        match input {
            Input::Job(number, job, answer) => self.job(number, job, answer),
            Input::Gone(number) => {
                // It may cross the answer: then nothing is owed and the module has long ended it.
                let Some(open) = self.open.get_mut(&number) else { return };
                if open.answer.take().is_some() {
                    self.counters.client_gone.add();
                    self.handle(Event::ClientGone { request: RequestId(number) });
                    self.forget(number);
                }
            }
            Input::Progress { job, attempt } => {
                self.handle(Event::Progress { request: RequestId(job), attempt });
            }
            Input::Ended { job, attempt, end } => self.ended(job, attempt, end),
            Input::Probed { instance, outcome, report } => {
                if outcome == Outcome::Ok {
                    self.counters.probes_ok.add();
                }
                self.handle(Event::Probed { worker: WorkerId(instance), outcome, report });
            }
            Input::Ending { by } => {
                let by = self.clock.at(by);
                self.handle(Event::Ending { by });
            }
            Input::Listed { kind, entries } => {
                self.counters.lists.add();
                let entries = entries.into_iter().map(|entry| self.entry(entry)).collect();
                self.handle(Event::Workers { kind, entries });
            }
        }
    }

    fn job(&mut self, number: u64, job: Job<P>, answer: oneshot::Sender<Answer>) {
        self.counters.taken.add();
        let time_left = job.deadline.saturating_duration_since(Instant::now()).as_nanos() as Nanos;
        let request = Request {
            id: RequestId(number),
            class: job.class,
            tenant: job.tenant,
            slots: job.slots,
            memory: job.memory,
            key: job.key,
            time_left,
            retry: job.retry,
        };
        let open = Open {
            parcel: Arc::new(job.parcel),
            deadline: job.deadline,
            answer: Some(answer),
            attempts: Vec::new(),
            out: 0,
        };
        self.open.insert(number, open);
        self.handle(Event::Request(request));
    }

    fn ended(&mut self, number: u64, attempt: u32, end: End) {
        self.counters.ended(end.outcome);
        let Some(open) = self.open.get_mut(&number) else { return };
        open.out -= 1;
        open.attempts[attempt as usize] = None;
        let mut finished = open.answer.is_none();
        if let (Outcome::Ok, Some(result)) = (end.outcome, end.result) {
            if let Some(answer) = open.answer.take() {
                self.counters.served.add();
                let _ = answer.send(Answer::Served(result));
                finished = true;
            }
        }
        debug!(job = number, attempt, outcome = ?end.outcome, finished, "ended");
        self.handle(Event::Outcome {
            request: RequestId(number),
            attempt,
            outcome: end.outcome,
            finished,
            report: end.report,
        });
        self.forget(number);
    }

    /// Hashed is the name, not the address: that differs from scheduler to scheduler, and all must rank the
    /// instances for a key alike.
    fn entry(&mut self, entry: Entry) -> WorkerEntry {
        let address_hash = hash(entry.name.as_bytes());
        let number = match self.numbers.get(&entry.name) {
            Some(number) => *number,
            None => {
                let number = self.instances.len() as u32;
                self.numbers.insert(entry.name.clone(), number);
                self.instances.push(Known { name: entry.name, address: entry.address });
                number
            }
        };
        self.instances[number as usize].address = entry.address;
        WorkerEntry {
            worker: WorkerId(number),
            address_hash,
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            membership: entry.membership,
            started: entry.started,
        }
    }

    /// Gives the module one event, and all that follows from it.
    fn handle(&mut self, event: Event) {
        self.follow_ups.push_back(event);
        while let Some(event) = self.follow_ups.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(self.clock.at(Instant::now()), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, timeout } => self.send(request.0, worker.0, timeout),
            Action::Cancel { request, attempt } => {
                let open = self.open.get_mut(&request.0);
                let cancel = open.and_then(|open| open.attempts.get_mut(attempt as usize)?.take());
                if let Some(cancel) = cancel {
                    self.counters.cancels.add();
                    let _ = cancel.send(());
                }
            }
            Action::Refuse { request, retry_after } => {
                let retry_after = Duration::from_nanos(retry_after);
                self.answer(request.0, Answer::Refused { retry_after });
            }
            Action::Fail { request } => self.answer(request.0, Answer::Failed),
            Action::Probe { worker } => {
                if let Some(known) = self.instances.get(worker.0 as usize) {
                    self.counters.probes.add();
                    (self.carry_out)(Order::Probe { instance: worker.0, address: known.address });
                }
            }
            Action::Subscribe => {
                self.counters.watches.add();
                (self.carry_out)(Order::Watch);
            }
            Action::Wake { at } => self.wakes.push(std::cmp::Reverse(at)),
        }
    }

    fn send(&mut self, number: u64, worker: u32, timeout: Nanos) {
        let known = self.instances.get(worker as usize);
        let (Some(open), Some(known)) = (self.open.get_mut(&number), known) else {
            warn!(job = number, instance = worker, "the module names what the core does not know");
            return;
        };
        let attempt = open.attempts.len() as u32;
        let now = Instant::now();
        let until = match timeout {
            0 => open.deadline,
            timeout => open.deadline.min(now + Duration::from_nanos(timeout)),
        };
        self.counters.sent.add();
        open.out += 1;
        if open.answer.is_none() || until <= now {
            // Over, or out of time: it is not sent at all.
            open.attempts.push(None);
            let (request, finished) = (RequestId(number), open.answer.is_none());
            open.out -= 1;
            self.counters.ended(Outcome::NotSent);
            let outcome = Outcome::NotSent;
            self.follow_ups.push_back(Event::Outcome { request, attempt, outcome, finished, report: None });
            return;
        }
        debug!(job = number, attempt, instance = known.name, "send");
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Some(cancel));
        let parcel = open.parcel.clone();
        let address = known.address;
        (self.carry_out)(Order::Execute(Execute {
            job: number,
            attempt,
            address,
            until,
            cancel: cancelled,
            parcel,
        }));
    }

    fn answer(&mut self, number: u64, answer: Answer) {
        let Some(open) = self.open.get_mut(&number) else { return };
        if let Some(sender) = open.answer.take() {
            match answer {
                Answer::Refused { .. } => self.counters.refused.add(),
                _ => self.counters.failed.add(),
            }
            let _ = sender.send(answer);
        }
        self.forget(number);
    }

    /// Drops what no event can name any more.
    fn forget(&mut self, number: u64) {
        if self.open.get(&number).is_some_and(|open| open.answer.is_none() && open.out == 0) {
            self.open.remove(&number);
        }
    }
}

/// FNV-1a: the same for every scheduler and build, so that all hash a key or a name alike.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}
