//! The one task that owns the engine, and with it the decisions. It takes what happens from one queue, gives
//! it to the engine with its time, and carries the engine's orders out.
//!
//! It knows no protocol and keeps no books of its own: what is open, sent and answered the engine knows. Here
//! are only the channels on which answers and stops go out, and the parcels, which the core never looks
//! into. Executions, probes and the watch are begun by the `carry_out` it is given, and report back through
//! the queue.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::header::HeaderValue;
use nickelflow_dispatcher::Idempotency;
pub use nickelflow_engine::permits::StopLevel;
use nickelflow_engine::permits::Violation;
use nickelflow_engine::{Endpoint, Engine, Input as Happened, Job as Facts, JobViolation, Nanos, Output};
use nickelflow_engine::{ListKind, LoadReport, Outcome, Rules, Settings, SettingsError};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{debug, warn};

use crate::counters::Shared;
use crate::start_times::StartTimes;
use crate::violations;

/// How an execution ended.
pub type End = nickelflow_engine::AttemptResult<Bytes>;
/// The single final answer to a job.
pub type Answer = nickelflow_engine::FinalAnswer<Bytes>;
/// One entry of the list of instances.
pub type Entry = Endpoint<SocketAddr>;

/// The engine's clock: monotonic, and far enough from its zero for what started long before the program.
#[derive(Clone, Copy)]
struct Clock {
    origin: Instant,
}

/// What the clock shows when the program starts.
const AT_START: Duration = Duration::from_secs(10 * 365 * 24 * 3_600);

impl Clock {
    fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    fn at(&self, moment: Instant) -> Nanos {
        (AT_START + moment.saturating_duration_since(self.origin)).as_nanos() as Nanos
    }

    fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at).saturating_sub(AT_START)
    }
}

/// A job as a front hands it in.
pub struct Job<P> {
    /// The id that its client gave it, for logs.
    pub request_id: HeaderValue,
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
        report: Option<LoadReport>,
    },
    /// Starts stand in Unix time here (ns).
    Listed {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    /// Rules that all schedulers agree on.
    Agreed(Agreed),
    /// The program ends: by then all must be answered.
    Ending {
        by: Instant,
    },
}

/// Rules as they are agreed on now.
#[derive(Clone)]
pub struct Agreed {
    pub rules: Arc<Rules>,
    /// In full until then, and afterwards only carefully.
    pub until: Instant,
    /// Their version, as attempts tell it.
    pub version: HeaderValue,
    pub careful: HeaderValue,
}

/// Which rules an attempt was decided under.
pub struct Under {
    pub version: HeaderValue,
    /// It must not be written after this any more: what it was decided under has lapsed then.
    pub lapses: Option<Instant>,
}

/// What the core wants done outside.
pub enum Order<P> {
    Execute(Execute<P>),
    Probe { instance: u32, address: SocketAddr },
    Watch,
}

/// What a second run of a job would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeats {
    Harmless,
    /// Workers drop it, of a group and for a while.
    Dropped,
    /// It must never be.
    Never,
}

impl From<Idempotency> for Repeats {
    fn from(effect: Idempotency) -> Self {
        match effect {
            Idempotency::Idempotent => Repeats::Harmless,
            Idempotency::IdempotentWithKey(_) => Repeats::Dropped,
            Idempotency::NonIdempotent => Repeats::Never,
        }
    }
}

/// One attempt to be made; exactly one [`Input::Ended`] must follow.
pub struct Execute<P> {
    pub job: u64,
    pub attempt: u32,
    pub address: SocketAddr,
    pub until: Instant,
    /// No byte of it may be written from then on.
    pub send_by: Option<Instant>,
    pub stop: watch::Receiver<StopLevel>,
    pub under: Option<Under>,
    pub repeats: Repeats,
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

/// What waits for an answer: the way to give it, and what an execution sends.
struct Waiting<P> {
    request_id: HeaderValue,
    parcel: Arc<P>,
    repeats: Repeats,
    answer: oneshot::Sender<Answer>,
}

/// Whether an order sends a job on or answers it.
fn names(orders: &[Output<u64, Bytes>], job: u64) -> bool {
    orders.iter().any(|order| match order {
        Output::StartAttempt(execute) => execute.id == job,
        Output::FinalAnswer { id, .. } => *id == job,
        _ => false,
    })
}

pub struct Core<P, F> {
    engine: Engine<u64, SocketAddr, Bytes>,
    /// Of each class.
    repeats: Vec<Repeats>,
    clock: Clock,
    start_times: StartTimes,
    carry_out: F,
    counters: Shared,
    waiting: HashMap<u64, Waiting<P>>,
    /// The way to stop an execution, until it has ended.
    stops: HashMap<(u64, u32), watch::Sender<StopLevel>>,
    orders: Vec<Output<u64, Bytes>>,
    agreed: Option<Agreed>,
}

impl<P, F: FnMut(Order<P>)> Core<P, F> {
    pub fn new(settings: Settings, seed: u64, counters: Shared, carry_out: F) -> Result<Self, SettingsError> {
        let repeats = settings.classes.iter().map(|class| class.idempotency.into()).collect();
        Ok(Core {
            repeats,
            engine: Engine::new(settings, seed)?,
            start_times: StartTimes::new(
                AT_START.as_nanos() as Nanos,
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            ),
            clock: Clock::start(),
            carry_out,
            counters,
            waiting: HashMap::new(),
            stops: HashMap::new(),
            orders: Vec::new(),
            agreed: None,
        })
    }

    /// Runs until no one is left who could hand anything in.
    pub async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input<P>>) {
        loop {
            let wake = self.engine.next_wake().map(|at| self.clock.instant(at));
            let sleep = async {
                match wake {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // The clock first: a wake must not starve behind a full queue.
                biased;
                () = sleep => self.handle(Happened::Wake),
                input = queue.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
        }
    }

    fn take(&mut self, input: Input<P>) {
        let happened = match input {
            Input::Job(id, job, answer) => {
                self.counters.taken.add();
                let Job { request_id, class, tenant, slots, memory, key, retry, deadline, parcel } = job;
                // As the module has it: a class that is out of range counts as the last.
                let repeats = self.repeats.get(class as usize).or(self.repeats.last()).copied();
                let repeats = repeats.unwrap_or(Repeats::Never);
                debug!(job = id, tenant, key, slots, memory, request = ?request_id, "taken");
                let parcel = Arc::new(parcel);
                self.waiting.insert(id, Waiting { request_id, parcel, repeats, answer });
                let deadline = self.clock.at(deadline);
                Happened::Job {
                    id,
                    job: Facts { class, tenant, slots, memory, key, is_retry: retry, deadline },
                }
            }
            Input::Gone(id) => {
                debug!(job = id, "client gone");
                if self.waiting.remove(&id).is_some() {
                    self.counters.client_gone.add();
                }
                Happened::ClientDisconnected { id }
            }
            Input::Progress { job, attempt } => {
                debug!(job, attempt, "progress");
                Happened::Progress { id: job, attempt }
            }
            Input::Ended { job, attempt, end } => {
                self.counters.ended(end.outcome);
                debug!(job, attempt, outcome = ?end.outcome, "ended");
                self.stops.remove(&(job, attempt));
                Happened::AttemptEnded { id: job, attempt, result: end }
            }
            Input::Probed { instance, outcome, report } => {
                if outcome == Outcome::Ok {
                    self.counters.probes_ok.add();
                }
                Happened::ProbeCompleted { worker: instance, outcome, report }
            }
            Input::Agreed(agreed) => {
                let (rules, until) = (agreed.rules.clone(), self.clock.at(agreed.until));
                self.agreed = Some(agreed);
                Happened::Rules { rules, valid_until: until }
            }
            Input::Ending { by } => Happened::Shutdown { deadline: self.clock.at(by) },
            Input::Listed { kind, entries } => {
                if kind != ListKind::Stale {
                    self.counters.lists.add();
                }
                Happened::WorkerList { kind, workers: self.with_start_times(entries) }
            }
        };
        self.handle(happened);
    }

    /// Entries of a list, in which starts stand in Unix time, with the starts on the engine's clock.
    fn with_start_times(&mut self, mut entries: Vec<Entry>) -> Vec<Entry> {
        let now = self.clock.at(Instant::now());
        self.start_times.told(now, entries.iter().filter_map(|entry| entry.started));
        for entry in &mut entries {
            entry.started = entry.started.map(|unix| self.start_times.understand(&entry.name, unix));
        }
        entries
    }

    fn handle(&mut self, happened: Happened<u64, SocketAddr, Bytes>) {
        let mut orders = std::mem::take(&mut self.orders);
        let now = self.clock.at(Instant::now());
        let wants_attempt = match &happened {
            Happened::Job { id, .. } | Happened::AttemptEnded { id, .. } => Some(*id),
            _ => None,
        };
        if let Err(misuse) = self.engine.handle(now, happened, &mut orders) {
            warn!(%misuse, "the core and its engine disagree");
        }
        for JobViolation { id: job, violation } in self.engine.take_violations() {
            let Violation { operation, denial } = violation;
            let request = self.waiting.get(&job).map(|waiting| waiting.request_id.clone());
            violations::found(&self.counters, operation, denial, &request.unwrap_or(HeaderValue::from(job)));
        }
        if let Some(job) = wants_attempt.filter(|job| self.waiting.contains_key(job) && !names(&orders, *job))
        {
            debug!(job, "held: no worker is open for it, or other attempts are out");
        }
        for order in orders.drain(..) {
            self.carry(order);
        }
        self.orders = orders;
    }

    fn carry(&mut self, order: Output<u64, Bytes>) {
        match order {
            Output::StartAttempt(execute) => self.execute(execute),
            Output::Cancel { id, attempt } => {
                if let Some(stop) = self.stops.get(&(id, attempt)) {
                    self.counters.cancels.add();
                    stop.send_replace(StopLevel::Immediate);
                }
            }
            Output::CancelUnstarted { id, attempt } => {
                if let Some(stop) = self.stops.get(&(id, attempt)) {
                    stop.send_if_modified(|now| {
                        let before = *now == StopLevel::Continue;
                        if before {
                            *now = StopLevel::IfUnstarted;
                        }
                        before
                    });
                }
            }
            Output::FinalAnswer { id, answer } => {
                debug!(job = id, answer = answer.name(), "answer");
                match answer {
                    Answer::Served(_) => self.counters.served.add(),
                    Answer::Rejected { .. } => self.counters.refused.add(),
                    Answer::Failed => self.counters.failed.add(),
                }
                if let Some(waiting) = self.waiting.remove(&id) {
                    let _ = waiting.answer.send(answer);
                }
            }
            Output::Probe { worker: instance } => {
                if let Some(known) = self.engine.worker(instance) {
                    self.counters.probes.add();
                    (self.carry_out)(Order::Probe { instance, address: known.address });
                }
            }
            Output::Subscribe => {
                self.counters.watches.add();
                (self.carry_out)(Order::Watch);
            }
        }
    }

    fn execute(&mut self, execute: nickelflow_engine::StartAttempt<u64>) {
        let nickelflow_engine::StartAttempt { id, attempt, worker: instance, deadline: until, send_by } =
            execute;
        let (Some(waiting), Some(known)) = (self.waiting.get(&id), self.engine.worker(instance)) else {
            warn!(job = id, instance, "the engine names what the core does not know");
            return;
        };
        self.counters.sent.add();
        debug!(job = id, attempt, instance = known.name, "send");
        let under = self.agreed.as_ref().map(|agreed| match Instant::now() < agreed.until {
            true => Under { version: agreed.version.clone(), lapses: Some(agreed.until) },
            false => Under { version: agreed.careful.clone(), lapses: None },
        });
        let (stop, stopped) = watch::channel(StopLevel::Continue);
        self.stops.insert((id, attempt), stop);
        (self.carry_out)(Order::Execute(Execute {
            job: id,
            attempt,
            address: known.address,
            until: self.clock.instant(until),
            send_by: (send_by != Nanos::MAX).then(|| self.clock.instant(send_by)),
            stop: stopped,
            under,
            repeats: waiting.repeats,
            parcel: waiting.parcel.clone(),
        }));
    }
}
