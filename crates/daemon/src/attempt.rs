//! Attempts and probes of workers, over pooled connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use nickelflow_engine::permits::{Denial, Operation};
use nickelflow_engine::{LoadReport, Outcome};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::config::WorkerConnectionConfig;
use crate::connection::WriteProgress;
use crate::counters::{outcome_name, SharedCounters};
use crate::line_reader::{LineError, LineReader};
use crate::scheduler_loop::{
    AttemptId, AttemptRequest, AttemptResult, Event, RetrySafety, RulesLease, StopLevel,
};
use crate::violations;
use crate::worker_answer::{head_outcome, head_report, report_of, MessageError, WorkerMessage};
use crate::worker_pool::{settled, CheckedOutConnection, ConnectionPreference, WorkerPool};
use crate::write_guard::{ClientPresence, WriteGuard, MAX_HEAD_AGE};

/// What is forwarded unchanged from a client's request, and the client that sent it.
pub struct ForwardedRequest {
    /// The method of the client's request.
    pub method: Method,
    /// The path and query of the client's request.
    pub target: PathAndQuery,
    /// The id that the client gave its request.
    pub request_id: HeaderValue,
    /// Further headers that go on as they came.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body of the client's request.
    pub body: Bytes,
    /// Whether the client is still there.
    pub client: ClientPresence,
}

/// The version of the rules that an attempt was decided under; absent where none are agreed on.
const RULES: HeaderName = HeaderName::from_static("nickelflow-rules");
/// The longest line and body read from a worker.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// A probe is answered beside the queue; one that takes longer finds a stuck worker.
const PROBE: Duration = Duration::from_millis(250);
/// A probe that ran out so much later than its time says that this process stood still, and nothing of the worker.
const STOOD_STILL: Duration = Duration::from_millis(50);
/// For how long a probe waits for what this side lacks.
const PROBE_PATIENCE: Duration = Duration::from_millis(100);
/// For how long the end of an answer is waited for, so that its connection can serve again.
const TAIL: Duration = Duration::from_secs(1);
/// How often an attempt is written anew whose head has grown old before its first byte.
const MAX_REWRITES: u32 = 3;

/// The scheduler's client of all workers.
pub struct WorkerClient {
    pool: WorkerPool,
    worker_connections: WorkerConnectionConfig,
    counters: SharedCounters,
    queue: mpsc::UnboundedSender<Event<ForwardedRequest>>,
}

/// The parameters of one attempt.
struct Attempt {
    id: AttemptId,
    address: SocketAddr,
    deadline: Instant,
    stop: watch::Receiver<StopLevel>,
    rules_lease: Option<RulesLease>,
    /// No byte of it is written from then on, for a repeat's window is over.
    send_by: Option<Instant>,
    retry_safety: RetrySafety,
}

impl Attempt {
    /// Until when its rules hold.
    fn rules_valid_until(&self) -> Option<Instant> {
        self.rules_lease.as_ref().and_then(|rules_lease| rules_lease.valid_until)
    }

    /// Returns the guard for its write, which begins now.
    fn write_guard(&self, request: &ForwardedRequest) -> WriteGuard {
        WriteGuard {
            stop_level: self.stop.clone(),
            client: request.client.clone(),
            deadline: self.deadline,
            resend_deadline: self.send_by,
            rules_valid_until: self.rules_valid_until(),
            head_built_at: Instant::now(),
        }
    }

    /// When it is given up while it waits: what is not written by then must not be.
    fn give_up_at(&self) -> Instant {
        [self.send_by, self.rules_valid_until()].into_iter().flatten().fold(self.deadline, Instant::min)
    }
}

/// Why a response did not come to the line that ends its attempt. The job may have run.
#[derive(Debug, Error)]
enum ResponseError {
    /// The response ended before.
    #[error("ended before its last line")]
    Unfinished,
    /// A line could not be read.
    #[error(transparent)]
    Line(#[from] LineError),
    /// A line could not be understood.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// A response that has not been read to its end, and its connection.
struct UnreadResponse {
    lines: LineReader,
    connection: CheckedOutConnection,
}

/// An attempt that has ended.
struct FinishedAttempt {
    result: AttemptResult,
    /// The rest of its response, after which the connection can be used again.
    unread: Option<UnreadResponse>,
}

impl FinishedAttempt {
    fn without_response(outcome: Outcome) -> Self {
        FinishedAttempt { result: outcome.into(), unread: None }
    }
}

/// The course of an attempt, for its line in the log.
#[derive(Default)]
struct AttemptTrace {
    connection: Option<u64>,
    /// How old a kept connection was; `None` for a new one.
    kept_for: Option<Duration>,
    written: u64,
    denied: Option<Denial>,
    why: Option<String>,
}

/// Returns once an attempt may go no further than that.
async fn stopped(mut stop: watch::Receiver<StopLevel>, least: StopLevel) {
    // A sender that is gone can stop nothing any more.
    if stop.wait_for(|stop| *stop >= least).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl WorkerClient {
    /// Makes at most so many connections at a time.
    pub fn new(
        most: usize,
        worker_connections: WorkerConnectionConfig,
        counters: SharedCounters,
        queue: mpsc::UnboundedSender<Event<ForwardedRequest>>,
    ) -> Arc<Self> {
        let pool = WorkerPool::new(most, worker_connections, counters.clone());
        Arc::new(WorkerClient { pool, worker_connections, counters, queue })
    }

    /// Makes one attempt and reports its one end, whichever comes first of its own outcome, the module's
    /// cancel and its time running out.
    pub async fn execute(self: Arc<Self>, start: AttemptRequest<ForwardedRequest>) {
        let AttemptRequest { id, address, deadline, send_by, stop, rules_lease, retry_safety, request } =
            start;
        let AttemptId { job, attempt } = id;
        let made = Attempt { id, address, deadline, stop: stop.clone(), rules_lease, send_by, retry_safety };
        let mut trace = AttemptTrace::default();
        let FinishedAttempt { result, unread } = tokio::select! {
            // An end that crosses the cancellation counts.
            biased;
            done = self.attempt(&made, &request, &mut trace) => done,
            () = stopped(stop, StopLevel::Immediate) => FinishedAttempt::without_response(Outcome::Cancelled),
            () = tokio::time::sleep_until(deadline.into()) => FinishedAttempt::without_response(Outcome::Timeout),
        };
        debug!(
            request = ?request.request_id,
            job,
            attempt,
            worker = %address,
            connection = trace.connection,
            kept_ms = trace.kept_for.map(|age| age.as_millis() as u64),
            written = trace.written,
            outcome = %outcome_name(result.outcome),
            denied = trace.denied.map(Denial::name),
            why = trace.why,
            "attempt ended"
        );
        let _ = self.queue.send(Event::AttemptEnded { id, result });
        if let Some(unread) = unread {
            self.finish(unread).await;
        }
    }

    /// Sends an attempt and reads its response up to the line that ends it.
    async fn attempt(
        &self,
        attempt: &Attempt,
        request: &ForwardedRequest,
        trace: &mut AttemptTrace,
    ) -> FinishedAttempt {
        let (connection, response) = match self.send(attempt, request, trace).await {
            Ok(sent) => sent,
            Err(outcome) => return FinishedAttempt::without_response(outcome),
        };
        let (mut outcome, report) = (head_outcome(&response), head_report(&response));
        // A head names no job: this one may be of the job before, and proves nothing then.
        let may_be_of_other_job = !settled(connection.answered) && attempt.retry_safety != RetrySafety::Safe;
        if may_be_of_other_job && outcome.is_some_and(Outcome::never_ran) {
            outcome = Some(Outcome::Reset);
        }
        let mut lines = LineReader::new(response.into_body(), MAX_RESPONSE_BYTES);
        if let Some(outcome) = outcome {
            let result = AttemptResult { outcome, result: None, report };
            return FinishedAttempt { result, unread: Some(UnreadResponse { lines, connection }) };
        }
        match self.read_lines(&mut lines, attempt, request).await {
            Ok(mut result) => {
                result.report = result.report.or(report);
                FinishedAttempt { result, unread: Some(UnreadResponse { lines, connection }) }
            }
            Err(error) => {
                trace.why = Some(error.to_string());
                FinishedAttempt::without_response(Outcome::Reset)
            }
        }
    }

    /// Writes an attempt and waits for the head of its response; the error is the outcome without one. The request is
    /// written anew only where no worker can have got all of it.
    async fn send(
        &self,
        attempt: &Attempt,
        request: &ForwardedRequest,
        trace: &mut AttemptTrace,
    ) -> Result<(CheckedOutConnection, Response<Incoming>), Outcome> {
        // An idle connection may still bring a late response to the job before, which could be taken for this job's. A
        // non-idempotent job might run twice for it.
        let mut preference = match attempt.retry_safety {
            RetrySafety::Unsafe => ConnectionPreference::Settled,
            RetrySafety::Safe | RetrySafety::Deduplicated => ConnectionPreference::Any,
        };
        let mut rewrites = 0;
        loop {
            let mut connection = self.check_out(attempt, preference).await?;
            trace.connection = Some(connection.connection.number);
            trace.kept_for = connection.reused.then(|| connection.connection.opened.elapsed());
            let guard = attempt.write_guard(request);
            // A process that was stalled, or took long to connect, finds out here that it is too late.
            if let Err(denial) = guard.permit(false) {
                trace.denied = Some(denial);
                self.pool.give_back(connection);
                return Err(Outcome::NotSent);
            }
            let http_request = request.to_http(attempt, guard.head_built_at);
            let sent = connection.connection.send(http_request, guard).await;
            trace.written = connection.connection.bytes_written();
            if let Some(denial) = connection.connection.violation() {
                violations::report(&self.counters, Operation::Write, denial, &request.request_id);
            }
            let error = match sent {
                Ok(response) => return Ok((connection, response)),
                Err(error) => error,
            };
            match error.written {
                // Too much time passed between its head and its first byte.
                WriteProgress::Denied(Denial::HeadersOutdated) if rewrites < MAX_REWRITES => {
                    rewrites += 1;
                    preference = ConnectionPreference::New;
                }
                WriteProgress::Denied(denial) => {
                    trace.denied = Some(denial);
                    return Err(Outcome::NotSent);
                }
                // The worker closed the idle connection, and not a byte was written.
                WriteProgress::Nothing if connection.reused => preference = ConnectionPreference::New,
                WriteProgress::Nothing | WriteProgress::Partial => {
                    trace.why = Some(error.why);
                    return Err(Outcome::ConnectFailed);
                }
                WriteProgress::Complete => {
                    trace.why = Some(error.why);
                    if connection.reused {
                        self.pool.distrust();
                    }
                    return Err(Outcome::Reset);
                }
            }
        }
    }

    /// Takes a connection to the attempt's worker. Whatever happens while it waits is heeded before the first byte: a
    /// cancellation, the worker's draining, the client's disconnection. What happens later the write guard finds.
    async fn check_out(
        &self,
        attempt: &Attempt,
        preference: ConnectionPreference,
    ) -> Result<CheckedOutConnection, Outcome> {
        tokio::select! {
            biased;
            () = stopped(attempt.stop.clone(), StopLevel::IfUnstarted) => Err(Outcome::NotSent),
            () = tokio::time::sleep_until(attempt.give_up_at().into()) => Err(Outcome::NotSent),
            connection = self.pool.lease(attempt.address, preference, self.worker_connections.connect_timeout) => connection,
        }
    }

    /// Reads lines up to the one that ends the attempt; the error is that of an answer that ended or broke before, after
    /// which it may have run.
    async fn read_lines(
        &self,
        lines: &mut LineReader,
        attempt: &Attempt,
        request: &ForwardedRequest,
    ) -> Result<AttemptResult, ResponseError> {
        loop {
            let line = lines.next_line().await?.ok_or(ResponseError::Unfinished)?;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match WorkerMessage::read(&line, request.request_id.as_bytes()) {
                Ok(WorkerMessage::Progress) => drop(self.queue.send(Event::Progress { id: attempt.id })),
                Ok(WorkerMessage::Ended(end)) => return Ok(end),
                Err(error) => {
                    let why = error.to_string();
                    warn!(address = %attempt.address, request = ?request.request_id, why, "broken line from an instance");
                    return Err(error.into());
                }
            }
        }
    }

    /// Reads an answer to its end and keeps the connection.
    async fn finish(&self, unread: UnreadResponse) {
        let UnreadResponse { mut lines, mut connection } = unread;
        let tail = async {
            let mut left = 64;
            while let Ok(line) = lines.next_line().await {
                left -= 1;
                if line.is_none() {
                    return connection.connection.ready().await;
                } else if left == 0 {
                    return false;
                }
            }
            false
        };
        if timeout(TAIL, tail).await == Ok(true) {
            connection.answered = Some(Instant::now());
            self.pool.give_back(connection);
        }
    }

    /// Asks a worker for its load and reports what came of it.
    pub async fn probe(self: Arc<Self>, worker: u32, address: SocketAddr) {
        let began = Instant::now();
        let asked = timeout(PROBE, self.ask_load(address)).await;
        let late = began.elapsed() >= PROBE + STOOD_STILL;
        let (outcome, report) = match asked {
            Ok(answered) => answered,
            Err(_) if late => (Outcome::NotSent, None),
            Err(_) => (Outcome::Timeout, None),
        };
        if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed) {
            // It is stuck or has vanished. Back again, it resets what it had before: a job sent on one of
            // those would end as if it might have run.
            self.pool.forget(address);
        }
        debug!(instance = worker, outcome = %outcome_name(outcome), ?report, "probed");
        let _ = self.queue.send(Event::ProbeCompleted { worker, outcome, report });
    }

    async fn ask_load(&self, address: SocketAddr) -> (Outcome, Option<LoadReport>) {
        let mut wanted = ConnectionPreference::Any;
        let (mut lease, answer) = loop {
            let mut lease = match self.pool.lease(address, wanted, PROBE_PATIENCE).await {
                Ok(lease) => lease,
                Err(outcome) => return (outcome, None),
            };
            let mut request = Request::new(Full::default());
            *request.uri_mut() = Uri::from_static("/load");
            request.headers_mut().insert(HOST, host(address));
            match lease.connection.ask(request).await {
                Ok(answer) => break (lease, answer),
                Err(broken) if lease.reused && broken.written == WriteProgress::Nothing => {
                    wanted = ConnectionPreference::New
                }
                Err(_) => return (Outcome::Reset, None),
            }
        };
        let (status, in_head) = (answer.status(), head_report(&answer));
        let Ok(body) = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES).collect().await else {
            return (Outcome::Reset, None);
        };
        if lease.connection.ready().await {
            self.pool.give_back(lease);
        }
        let report = report_of(&body.to_bytes()).or(in_head);
        (if status == StatusCode::OK { Outcome::Ok } else { Outcome::Error }, report)
    }

    /// Closes idle connections in time, for as long as the program runs.
    pub async fn sweep(self: Arc<Self>) {
        self.pool.sweep().await;
    }
}

/// The `Host` that stands for an address.
pub fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::try_from(address.to_string()).unwrap_or_else(|_| HeaderValue::from_static("instance"))
}

/// Returns the remaining time that an attempt announces to its worker: its head may grow as old as [`MAX_HEAD_AGE`] before it is
/// written. Of less than twice that, half.
fn announced_time_left(left: Duration) -> Duration {
    left.saturating_sub(MAX_HEAD_AGE).max(left / 2)
}

impl ForwardedRequest {
    fn to_http(&self, attempt: &Attempt, now: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let headers = request.headers_mut();
        headers.insert(HOST, host(attempt.address));
        headers.insert("request-id", self.request_id.clone());
        headers.extend(self.headers.iter().cloned());
        headers.extend(attempt.rules_lease.as_ref().map(|rules_lease| (RULES, rules_lease.version.clone())));
        let time_left = announced_time_left(attempt.deadline.saturating_duration_since(now)).as_secs_f64();
        if let Ok(time_left) = HeaderValue::try_from(format!("{time_left:.3}")) {
            headers.insert("request-timeout", time_left);
        }
        headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        request
    }
}
