//! The one task that owns the engine, and with it the decisions. It takes events from one queue, passes them
//! to the engine with their time, and carries out the engine's outputs.
//!
//! The loop knows no protocol, and only the engine knows what is open, sent and answered. The loop keeps the
//! channels for answers and cancellations, and the requests, whose contents it never reads. The `execute`
//! function that it is given starts attempts, probes and the watch, which report back through the queue.

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
    AdoptedRules, AttemptId, AttemptRequest, AttemptResult, Command, Event, FinalAnswer, PendingProgress,
    RetrySafety, RulesLease, SubmittedJob, WorkerEndpoint,
};
use crate::start_times::StartTimes;
use crate::violations;

/// The monotonic clock of the engine. It starts far enough above zero to represent the start times of workers
/// that started long before the program.
#[derive(Clone, Copy)]
struct Clock {
    origin: Instant,
}

/// The reading of the clock when the program starts.
const TIME_AT_START: Duration = Duration::from_secs(10 * 365 * 24 * 3_600);

impl Clock {
    fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    fn nanos_at(&self, instant: Instant) -> Nanos {
        (TIME_AT_START + instant.saturating_duration_since(self.origin)).as_nanos() as Nanos
    }

    fn instant_at(&self, nanos: Nanos) -> Instant {
        self.origin + Duration::from_nanos(nanos).saturating_sub(TIME_AT_START)
    }
}

/// The queue through which front ends submit jobs. The queue itself is unbounded, but the number of
/// descriptors limits its length, because each client connection, attempt and probe has at most a few events
/// in it.
pub struct JobQueue<P> {
    queue: mpsc::UnboundedSender<Event<P>>,
    next_job_number: Arc<AtomicU64>,
}

impl<P> Clone for JobQueue<P> {
    fn clone(&self) -> Self {
        JobQueue { queue: self.queue.clone(), next_job_number: self.next_job_number.clone() }
    }
}

/// Reports that the client has disconnected, if it is dropped before the answer has arrived.
struct DisconnectGuard<'a, P> {
    queue: &'a mpsc::UnboundedSender<Event<P>>,
    unanswered_job: Option<u64>,
}

impl<P> Drop for DisconnectGuard<'_, P> {
    fn drop(&mut self) {
        if let Some(job) = self.unanswered_job {
            let _ = self.queue.send(Event::ClientDisconnected { job });
        }
    }
}

impl<P> JobQueue<P> {
    /// Creates the sending side of a queue, for front ends.
    pub fn new(queue: mpsc::UnboundedSender<Event<P>>) -> Self {
        JobQueue { queue, next_job_number: Arc::default() }
    }

    /// Returns whether the scheduler loop still runs.
    pub fn is_open(&self) -> bool {
        !self.queue.is_closed()
    }

    /// Submits a job and waits for its answer. If the future is dropped before the answer, it reports that
    /// the client has disconnected.
    pub async fn submit(&self, job: SubmittedJob<P>) -> FinalAnswer {
        let number = self.next_job_number.fetch_add(1, Ordering::Relaxed);
        let (answer_sender, answer) = oneshot::channel();
        let _ = self.queue.send(Event::Job { number, job, answer_sender });
        let mut guard = DisconnectGuard { queue: &self.queue, unanswered_job: Some(number) };
        let answer = answer.await;
        guard.unanswered_job = None;
        answer.unwrap_or(FinalAnswer::Failed)
    }
}

/// A job without its final answer.
struct PendingJob<P> {
    request_id: HeaderValue,
    request: Arc<P>,
    retry_safety: RetrySafety,
    answer_sender: oneshot::Sender<FinalAnswer>,
}

/// Returns whether one of the outputs starts an attempt of a job or answers it.
fn starts_or_answers(outputs: &[Output<u64, Bytes>], job: u64) -> bool {
    outputs.iter().any(|output| match output {
        Output::StartAttempt(start) => start.job_id == job,
        Output::FinalAnswer { job_id, .. } => *job_id == job,
        _ => false,
    })
}

/// The scheduler loop. `execute` carries out its commands.
pub struct SchedulerLoop<P, F> {
    engine: Engine<u64, SocketAddr, Bytes>,
    /// The retry safety of each class of the settings.
    class_retry_safety: Vec<RetrySafety>,
    clock: Clock,
    start_times: StartTimes,
    execute: F,
    counters: SharedCounters,
    pending_jobs: HashMap<u64, PendingJob<P>>,
    /// The stop levels of the attempts that have not ended.
    stop_senders: HashMap<AttemptId, watch::Sender<StopLevel>>,
    /// The engine's outputs for the present input; the vector is reused to save allocations.
    outputs: Vec<Output<u64, Bytes>>,
    adopted_rules: Option<AdoptedRules>,
}

impl<P, F: FnMut(Command<P>)> SchedulerLoop<P, F> {
    /// Creates a loop whose engine has these settings. `seed` initializes the engine's random choices.
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
            start_times: StartTimes::new(TIME_AT_START.as_nanos() as Nanos, unix_time),
            clock: Clock::start(),
            execute,
            counters,
            pending_jobs: HashMap::new(),
            stop_senders: HashMap::new(),
            outputs: Vec::new(),
            adopted_rules: None,
        })
    }

    /// Runs until all senders of the queue are dropped. Cancel safe: events that are still in the queue stay
    /// there.
    pub async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Event<P>>) {
        loop {
            let next_wake = self.engine.next_wake().map(|at| self.clock.instant_at(at));
            let sleep = async {
                match next_wake {
                    Some(instant) => tokio::time::sleep_until(instant.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // The timer is polled first, so that a full queue cannot starve a wake.
                biased;
                () = sleep => self.handle_input(Input::Wake),
                event = queue.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
            self.counters.queued_events.set(queue.len());
            self.report_sizes();
        }
    }

    fn handle_event(&mut self, event: Event<P>) {
        let input = match event {
            Event::Job { number, job, answer_sender } => self.accept_job(number, job, answer_sender),
            Event::ClientDisconnected { job } => {
                debug!(job, "client disconnected");
                if self.pending_jobs.remove(&job).is_some() {
                    self.counters.client_gone.add();
                }
                Input::ClientDisconnected { job_id: job }
            }
            Event::Progress { id: AttemptId { job, attempt }, pending: _ } => {
                debug!(job, attempt, "attempt reported progress");
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
                let (rules, valid_until) = (adopted.rules.clone(), self.clock.nanos_at(adopted.valid_until));
                self.adopted_rules = Some(adopted);
                Input::Rules { rules, valid_until }
            }
            Event::Shutdown { deadline } => Input::Shutdown { deadline: self.clock.nanos_at(deadline) },
            Event::WorkerList { kind, entries } => {
                if kind != ListKind::Stale {
                    self.counters.lists.add();
                }
                Input::WorkerList { kind, workers: self.convert_start_times(entries) }
            }
        };
        self.handle_input(input);
    }

    /// Records how much this loop keeps, and has memory set aside for workers that are new.
    fn report_sizes(&mut self) {
        self.counters.open_jobs.set(self.engine.open_job_count());
        self.counters.timers.set(self.engine.timer_count());
        let count = self.engine.known_worker_count();
        if self.counters.known_workers.get() != count as u64 {
            self.counters.known_workers.set(count);
            (self.execute)(Command::ReserveForWorkers { count });
        }
    }

    fn accept_job(
        &mut self,
        number: u64,
        submitted: SubmittedJob<P>,
        answer_sender: oneshot::Sender<FinalAnswer>,
    ) -> Input<u64, SocketAddr, Bytes> {
        self.counters.taken.add();
        let SubmittedJob { request_id, class, tenant, slots, memory, key, is_retry, deadline, request } =
            submitted;
        debug!(job = number, tenant, key, slots, memory, request = ?request_id, "job accepted");
        // As in the engine, a class that is out of range counts as the last class.
        let class_safety = self.class_retry_safety.get(class as usize).or(self.class_retry_safety.last());
        let retry_safety = class_safety.copied().unwrap_or(RetrySafety::Unsafe);
        let pending = PendingJob { request_id, request: Arc::new(request), retry_safety, answer_sender };
        self.pending_jobs.insert(number, pending);
        let deadline = self.clock.nanos_at(deadline);
        Input::Job { job_id: number, job: Job { class, tenant, slots, memory, key, is_retry, deadline } }
    }

    fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) -> Input<u64, SocketAddr, Bytes> {
        let AttemptId { job, attempt } = id;
        self.counters.record_outcome(result.outcome);
        debug!(job, attempt, outcome = %outcome_name(result.outcome), "attempt finished");
        self.stop_senders.remove(&id);
        Input::AttemptEnded { job_id: job, attempt, result }
    }

    /// Converts the start times in the entries of a list from Unix time to the engine's clock.
    fn convert_start_times(&mut self, mut entries: Vec<WorkerEndpoint>) -> Vec<WorkerEndpoint> {
        let now = self.clock.nanos_at(Instant::now());
        self.start_times.observe(now, entries.iter().filter_map(|entry| entry.started_at));
        for entry in &mut entries {
            entry.started_at = entry.started_at.map(|unix_ns| self.start_times.convert(&entry.name, unix_ns));
        }
        entries
    }

    fn handle_input(&mut self, input: Input<u64, SocketAddr, Bytes>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        let now = self.clock.nanos_at(Instant::now());
        let waiting_job = match &input {
            Input::Job { job_id, .. } | Input::AttemptEnded { job_id, .. } => Some(*job_id),
            _ => None,
        };
        if let Err(misuse) = self.engine.handle(now, input, &mut outputs) {
            warn!(%misuse, "the engine rejected an input of the scheduler loop");
        }
        self.report_violations();
        if let Some(job) = waiting_job {
            if self.pending_jobs.contains_key(&job) && !starts_or_answers(&outputs, job) {
                debug!(job, "held: no worker is open for it, or other attempts are in flight");
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
            let request = self.pending_jobs.get(&job_id).map(|pending| pending.request_id.clone());
            let request = request.unwrap_or(HeaderValue::from(job_id));
            violations::report(&self.counters, operation, denial, &request);
        }
    }

    fn apply_output(&mut self, output: Output<u64, Bytes>) {
        match output {
            Output::StartAttempt(start) => self.start_attempt(start),
            Output::Cancel { job_id: job, attempt } => {
                if let Some(stop_sender) = self.stop_senders.get(&AttemptId { job, attempt }) {
                    self.counters.cancels.add();
                    stop_sender.send_replace(StopLevel::Immediate);
                }
            }
            Output::CancelUnstarted { job_id: job, attempt } => {
                if let Some(stop_sender) = self.stop_senders.get(&AttemptId { job, attempt }) {
                    stop_sender.send_if_modified(|level| {
                        let may_proceed = *level == StopLevel::Continue;
                        if may_proceed {
                            *level = StopLevel::IfUnstarted;
                        }
                        may_proceed
                    });
                }
            }
            Output::FinalAnswer { job_id, answer } => self.answer(job_id, answer),
            Output::Probe { worker } => {
                if let Some(entry) = self.engine.worker(worker) {
                    self.counters.probes.add();
                    (self.execute)(Command::Probe { worker, address: entry.address });
                }
            }
            Output::Subscribe => {
                self.counters.watches.add();
                (self.execute)(Command::WatchList);
            }
        }
    }

    fn answer(&mut self, job: u64, answer: FinalAnswer) {
        debug!(job, answer = answer.name(), "answering job");
        match answer {
            FinalAnswer::Served(_) => self.counters.served.add(),
            FinalAnswer::Rejected { .. } => self.counters.refused.add(),
            FinalAnswer::Failed => self.counters.failed.add(),
        }
        if let Some(pending) = self.pending_jobs.remove(&job) {
            // The receiver is gone if the client has disconnected meanwhile.
            let _ = pending.answer_sender.send(answer);
        }
    }

    fn start_attempt(&mut self, start: StartAttempt<u64>) {
        let StartAttempt { job_id: job, attempt, worker, deadline, send_by } = start;
        let (Some(pending), Some(entry)) = (self.pending_jobs.get(&job), self.engine.worker(worker)) else {
            warn!(
                job,
                instance = worker,
                "the engine started an attempt of an unknown job, or on an unknown worker"
            );
            return;
        };
        self.counters.sent.add();
        debug!(job, attempt, instance = entry.name, "sending attempt");
        let id = AttemptId { job, attempt };
        let (stop_sender, stop) = watch::channel(StopLevel::Continue);
        self.stop_senders.insert(id, stop_sender);
        (self.execute)(Command::StartAttempt(AttemptRequest {
            id,
            address: entry.address,
            deadline: self.clock.instant_at(deadline),
            send_by: (send_by != Nanos::MAX).then(|| self.clock.instant_at(send_by)),
            stop,
            rules_lease: self.adopted_rules.as_ref().map(AdoptedRules::lease),
            retry_safety: pending.retry_safety,
            request: pending.request.clone(),
        }));
    }
}
