//! The one task that owns the engine, and with it the decisions. It takes events from one queue, passes them to the engine
//! with their time, and carries out the engine's outputs.
//!
//! It knows no protocol, and what is open, sent and answered only the engine knows. The loop keeps the channels on which
//! answers and stops go out, and the requests, into which it never looks. Attempts, probes and the watch are started by the
//! `execute` function that it is given, and report back through the queue.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::header::HeaderValue;
pub use nickelflow_engine::permits::StopLevel;
use nickelflow_engine::permits::Violation;
use nickelflow_engine::{Engine, Input, Job, JobViolation, Nanos, Output, StartAttempt};
use nickelflow_engine::{ListKind, Outcome, Settings, SettingsError};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{debug, warn};

use crate::counters::{outcome_name, SharedCounters};
pub use crate::scheduler_messages::{
    AdoptedRules, AttemptId, AttemptRequest, AttemptResult, Command, Event, FinalAnswer, RetrySafety,
    RulesLease, SubmittedJob, WorkerEndpoint,
};
use crate::start_times::StartTimes;
use crate::violations;

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

/// The queue through which front ends submit jobs. It has no bound of its own: its length is bounded by the descriptors, for
/// each client connection, attempt and probe has at most a few events waiting.
pub struct JobQueue<P> {
    queue: mpsc::UnboundedSender<Event<P>>,
    next_number: Arc<AtomicU64>,
}

impl<P> Clone for JobQueue<P> {
    fn clone(&self) -> Self {
        JobQueue { queue: self.queue.clone(), next_number: self.next_number.clone() }
    }
}

/// Reports the client's disconnection when it is dropped before the answer has come.
struct DisconnectGuard<'a, P> {
    queue: &'a mpsc::UnboundedSender<Event<P>>,
    job: Option<u64>,
}

impl<P> Drop for DisconnectGuard<'_, P> {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            let _ = self.queue.send(Event::ClientDisconnected { job });
        }
    }
}

impl<P> JobQueue<P> {
    /// Creates the front ends' side of a queue.
    pub fn new(queue: mpsc::UnboundedSender<Event<P>>) -> Self {
        JobQueue { queue, next_number: Arc::default() }
    }

    /// Returns whether the scheduler loop still runs.
    pub fn is_open(&self) -> bool {
        !self.queue.is_closed()
    }

    /// Submits a job and waits for its answer. Dropped before that, it reports that the client has disconnected.
    pub async fn submit(&self, job: SubmittedJob<P>) -> FinalAnswer {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        let _ = self.queue.send(Event::Job { number, job, answer: sender });
        let mut guard = DisconnectGuard { queue: &self.queue, job: Some(number) };
        let answer = answer.await;
        guard.job = None;
        answer.unwrap_or(FinalAnswer::Failed)
    }
}

/// A job that waits for its answer.
struct PendingJob<P> {
    request_id: HeaderValue,
    request: Arc<P>,
    retry_safety: RetrySafety,
    answer: oneshot::Sender<FinalAnswer>,
}

/// Returns whether one of the outputs starts an attempt of a job or answers it.
fn serves_job(outputs: &[Output<u64, Bytes>], job: u64) -> bool {
    outputs.iter().any(|output| match output {
        Output::StartAttempt(start) => start.job_id == job,
        Output::FinalAnswer { job_id, .. } => *job_id == job,
        _ => false,
    })
}

/// The scheduler loop; `execute` carries out its commands.
pub struct SchedulerLoop<P, F> {
    engine: Engine<u64, SocketAddr, Bytes>,
    /// The retry safety of each class of the settings.
    class_retry_safety: Vec<RetrySafety>,
    clock: Clock,
    start_times: StartTimes,
    execute: F,
    counters: SharedCounters,
    pending: HashMap<u64, PendingJob<P>>,
    /// Stops an attempt, until it has ended.
    stops: HashMap<AttemptId, watch::Sender<StopLevel>>,
    /// The engine's outputs on the input in hand; kept for its allocation.
    outputs: Vec<Output<u64, Bytes>>,
    adopted_rules: Option<AdoptedRules>,
}

impl<P, F: FnMut(Command<P>)> SchedulerLoop<P, F> {
    /// Creates a loop with an engine of these settings. `seed` initializes the engine's random choices.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
    pub fn new(
        settings: Settings,
        seed: u64,
        counters: SharedCounters,
        execute: F,
    ) -> Result<Self, SettingsError> {
        let class_retry_safety = settings.classes.iter().map(|class| class.idempotency.into()).collect();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(SchedulerLoop {
            class_retry_safety,
            engine: Engine::new(settings, seed)?,
            start_times: StartTimes::new(AT_START.as_nanos() as Nanos, unix_time),
            clock: Clock::start(),
            execute,
            counters,
            pending: HashMap::new(),
            stops: HashMap::new(),
            outputs: Vec::new(),
            adopted_rules: None,
        })
    }

    /// Runs until all senders of the queue are gone. Cancellation safe: no event is lost that has not been taken.
    pub async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Event<P>>) {
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
                () = sleep => self.handle_input(Input::Wake),
                event = queue.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
        }
    }

    fn handle_event(&mut self, event: Event<P>) {
        let input = match event {
            Event::Job { number, job, answer } => self.accept_job(number, job, answer),
            Event::ClientDisconnected { job } => {
                debug!(job, "client gone");
                if self.pending.remove(&job).is_some() {
                    self.counters.client_gone.add();
                }
                Input::ClientDisconnected { job_id: job }
            }
            Event::Progress { id: AttemptId { job, attempt } } => {
                debug!(job, attempt, "progress");
                Input::Progress { job_id: job, attempt }
            }
            Event::AttemptEnded { id, result } => self.end_attempt(id, result),
            Event::ProbeCompleted { worker, outcome, report } => {
                if outcome == Outcome::Ok {
                    self.counters.probes_ok.add();
                }
                Input::ProbeCompleted { worker, outcome, report }
            }
            Event::RulesAdopted(adopted) => {
                let (rules, valid_until) = (adopted.rules.clone(), self.clock.at(adopted.valid_until));
                self.adopted_rules = Some(adopted);
                Input::Rules { rules, valid_until }
            }
            Event::Shutdown { deadline } => Input::Shutdown { deadline: self.clock.at(deadline) },
            Event::WorkerList { kind, entries } => {
                if kind != ListKind::Stale {
                    self.counters.lists.add();
                }
                Input::WorkerList { kind, workers: self.with_start_times(entries) }
            }
        };
        self.handle_input(input);
    }

    fn accept_job(
        &mut self,
        number: u64,
        submitted: SubmittedJob<P>,
        answer: oneshot::Sender<FinalAnswer>,
    ) -> Input<u64, SocketAddr, Bytes> {
        self.counters.taken.add();
        let SubmittedJob { request_id, class, tenant, slots, memory, key, is_retry, deadline, request } =
            submitted;
        debug!(job = number, tenant, key, slots, memory, request = ?request_id, "taken");
        // As in the engine, a class that is out of range counts as the last.
        let of_class = self.class_retry_safety.get(class as usize).or(self.class_retry_safety.last());
        let retry_safety = of_class.copied().unwrap_or(RetrySafety::Unsafe);
        let pending = PendingJob { request_id, request: Arc::new(request), retry_safety, answer };
        self.pending.insert(number, pending);
        let deadline = self.clock.at(deadline);
        Input::Job { job_id: number, job: Job { class, tenant, slots, memory, key, is_retry, deadline } }
    }

    fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) -> Input<u64, SocketAddr, Bytes> {
        let AttemptId { job, attempt } = id;
        self.counters.ended(result.outcome);
        debug!(job, attempt, outcome = %outcome_name(result.outcome), "ended");
        self.stops.remove(&id);
        Input::AttemptEnded { job_id: job, attempt, result }
    }

    /// Converts the starts in the entries of a list from Unix time to the engine's clock.
    fn with_start_times(&mut self, mut entries: Vec<WorkerEndpoint>) -> Vec<WorkerEndpoint> {
        let now = self.clock.at(Instant::now());
        self.start_times.observe(now, entries.iter().filter_map(|entry| entry.started_at));
        for entry in &mut entries {
            entry.started_at = entry.started_at.map(|unix| self.start_times.convert(&entry.name, unix));
        }
        entries
    }

    fn handle_input(&mut self, input: Input<u64, SocketAddr, Bytes>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        let now = self.clock.at(Instant::now());
        let wants_attempt = match &input {
            Input::Job { job_id, .. } | Input::AttemptEnded { job_id, .. } => Some(*job_id),
            _ => None,
        };
        if let Err(misuse) = self.engine.handle(now, input, &mut outputs) {
            warn!(%misuse, "the core and its engine disagree");
        }
        self.report_violations();
        if let Some(job) = wants_attempt {
            if self.pending.contains_key(&job) && !serves_job(&outputs, job) {
                debug!(job, "held: no worker is open for it, or other attempts are out");
            }
        }
        for output in outputs.drain(..) {
            self.apply_output(output);
        }
        self.outputs = outputs;
    }

    fn report_violations(&mut self) {
        for JobViolation { job_id, violation } in self.engine.take_violations() {
            let Violation { operation, denial } = violation;
            let request = self.pending.get(&job_id).map(|pending| pending.request_id.clone());
            let request = request.unwrap_or(HeaderValue::from(job_id));
            violations::report(&self.counters, operation, denial, &request);
        }
    }

    fn apply_output(&mut self, output: Output<u64, Bytes>) {
        match output {
            Output::StartAttempt(start) => self.start_attempt(start),
            Output::Cancel { job_id: job, attempt } => {
                if let Some(stop) = self.stops.get(&AttemptId { job, attempt }) {
                    self.counters.cancels.add();
                    stop.send_replace(StopLevel::Immediate);
                }
            }
            Output::CancelUnstarted { job_id: job, attempt } => {
                if let Some(stop) = self.stops.get(&AttemptId { job, attempt }) {
                    stop.send_if_modified(|level| {
                        let proceeds = *level == StopLevel::Continue;
                        if proceeds {
                            *level = StopLevel::IfUnstarted;
                        }
                        proceeds
                    });
                }
            }
            Output::FinalAnswer { job_id, answer } => self.answer(job_id, answer),
            Output::Probe { worker } => {
                if let Some(known) = self.engine.worker(worker) {
                    self.counters.probes.add();
                    (self.execute)(Command::Probe { worker, address: known.address });
                }
            }
            Output::Subscribe => {
                self.counters.watches.add();
                (self.execute)(Command::WatchList);
            }
        }
    }

    fn answer(&mut self, job: u64, answer: FinalAnswer) {
        debug!(job, answer = answer.name(), "answer");
        match answer {
            FinalAnswer::Served(_) => self.counters.served.add(),
            FinalAnswer::Rejected { .. } => self.counters.refused.add(),
            FinalAnswer::Failed => self.counters.failed.add(),
        }
        if let Some(pending) = self.pending.remove(&job) {
            // A client that has disconnected meanwhile takes no answer.
            let _ = pending.answer.send(answer);
        }
    }

    fn start_attempt(&mut self, start: StartAttempt<u64>) {
        let StartAttempt { job_id: job, attempt, worker, deadline, send_by } = start;
        let (Some(pending), Some(known)) = (self.pending.get(&job), self.engine.worker(worker)) else {
            warn!(job, instance = worker, "the engine names what the core does not know");
            return;
        };
        self.counters.sent.add();
        debug!(job, attempt, instance = known.name, "send");
        let id = AttemptId { job, attempt };
        let (stop, stopped) = watch::channel(StopLevel::Continue);
        self.stops.insert(id, stop);
        (self.execute)(Command::StartAttempt(AttemptRequest {
            id,
            address: known.address,
            deadline: self.clock.instant(deadline),
            send_by: (send_by != Nanos::MAX).then(|| self.clock.instant(send_by)),
            stop: stopped,
            rules_lease: self.adopted_rules.as_ref().map(AdoptedRules::lease),
            retry_safety: pending.retry_safety,
            request: pending.request.clone(),
        }));
    }
}
