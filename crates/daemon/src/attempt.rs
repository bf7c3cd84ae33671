//! Sends attempts and probes to workers over pooled connections.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, Uri};
use nickelflow_engine::permits::{Denial, Operation};
use nickelflow_engine::Outcome;
use nickelflow_input_memory::charged_bytes;
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::config::WorkerConnectionConfig;
use crate::connection::WriteProgress;
use crate::counters::{outcome_name, SharedCounters};
use crate::line_reader::{LineError, LineReader};
use crate::memory_plan::SharedMemory;
use crate::request_ids::OpenRequestId;
use crate::result_memory::{ResultMemory, ResultMemoryGrant};
use crate::scheduler_loop::{
    AttemptId, AttemptRequest, AttemptResult, Event, PendingProgress, RetrySafety, RulesLease, StopLevel,
};
use crate::violations;
use crate::worker_answer::{
    load_report_of_head, outcome_of_head, MessageError, WorkerMessage, MIN_SHARED_RESULT_BYTES,
};
use crate::worker_pool::{is_settled, CheckedOutConnection, ConnectionPreference, WorkerPool};
use crate::write_guard::{ClientPresence, WriteGuard, MAX_HEAD_AGE};
use crate::write_turns::{WriteTurn, WriteTurns};

/// The parts of a client's request that are forwarded unchanged, and the client that sent it.
pub struct ForwardedRequest {
    /// The method of the client's request.
    pub method: Method,
    /// The path and query of the client's request.
    pub target: PathAndQuery,
    /// The id that the client assigned to the request.
    pub request_id: HeaderValue,
    /// Further headers, forwarded unchanged.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body of the client's request.
    pub body: Bytes,
    /// The id as long as it is open; `None` if nobody else can use the id.
    pub open_id: Option<Arc<OpenRequestId>>,
    /// Tells whether the client is still connected.
    pub client: ClientPresence,
}

impl ForwardedRequest {
    /// Records that an attempt has ended in this way, so that the id is not taken again for a job that may have run
    /// and must not run again.
    fn record_attempt(&self, retry_safety: RetrySafety, outcome: Outcome) {
        let may_have_run = retry_safety != RetrySafety::Safe && !outcome.never_ran();
        if let Some(open_id) = self.open_id.as_ref().filter(|_| may_have_run) {
            open_id.record_possible_run();
        }
    }
}

/// The header with the version of the rules that an attempt is based on; omitted where no rules are in force.
const RULES_HEADER: HeaderName = HeaderName::from_static("nickelflow-rules");
/// The maximum size of a line of a job's response, and of the body of a load report.
pub(crate) const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// How long the end of a response is awaited, so that its connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// How often an attempt is rewritten because its head became outdated before its first byte was written.
const MAX_REWRITES: u32 = 3;

/// The scheduler's client of all workers.
pub struct WorkerClient {
    pub(crate) pool: WorkerPool,
    worker_connections: WorkerConnectionConfig,
    result_memory: ResultMemory,
    write_turns: WriteTurns,
    counters: SharedCounters,
    pub(crate) event_queue: mpsc::UnboundedSender<Event<ForwardedRequest>>,
}

/// The parameters of one attempt.
struct Attempt {
    id: AttemptId,
    address: SocketAddr,
    deadline: Instant,
    stop: watch::Receiver<StopLevel>,
    rules_lease: Option<RulesLease>,
    /// When the deduplication window of a resent request ends: no byte is written from then on.
    resend_deadline: Option<Instant>,
    retry_safety: RetrySafety,
}

impl Attempt {
    /// Returns when the rules that the attempt is based on expire.
    fn rules_valid_until(&self) -> Option<Instant> {
        self.rules_lease.as_ref().and_then(|rules_lease| rules_lease.valid_until)
    }

    /// Returns the guard for writing the attempt, with a head that is built now.
    fn write_guard(&self, request: &ForwardedRequest, turn: WriteTurn) -> WriteGuard {
        WriteGuard {
            turn: Some(turn),
            stop_level: self.stop.clone(),
            client: request.client.clone(),
            deadline: self.deadline,
            resend_deadline: self.resend_deadline,
            rules_valid_until: self.rules_valid_until(),
            head_built_at: Instant::now(),
        }
    }

    /// Waits for what the attempt needs before it is written. The wait ends if the attempt is cancelled, the
    /// worker starts draining or the client disconnects. The write guard detects what happens later.
    ///
    /// # Errors
    ///
    /// Returns the outcome of an attempt that is not written.
    async fn unless_stopped<T>(&self, wait: impl Future<Output = Result<T, Outcome>>) -> Result<T, Outcome> {
        tokio::select! {
            biased;
            () = wait_for_stop(self.stop.clone(), StopLevel::IfUnstarted) => Err(Outcome::NotSent),
            () = tokio::time::sleep_until(self.write_deadline().into()) => Err(Outcome::NotSent),
            result = wait => result,
        }
    }

    /// Returns when an unwritten attempt is abandoned: nothing may be written after that.
    fn write_deadline(&self) -> Instant {
        [self.resend_deadline, self.rules_valid_until()]
            .into_iter()
            .flatten()
            .fold(self.deadline, Instant::min)
    }
}

/// Why the line that ends an attempt was not received. The job may have run.
#[derive(Debug, Error)]
enum ResponseError {
    /// The response ended before that line.
    #[error("the response ended before its last line")]
    Incomplete,
    /// A line could not be read.
    #[error(transparent)]
    Line(#[from] LineError),
    /// A line is invalid.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// A response that has not been read to its end, with its connection.
struct UnreadResponse {
    lines: LineReader,
    connection: CheckedOutConnection,
}

/// An attempt that has ended.
struct FinishedAttempt {
    result: AttemptResult,
    /// The rest of the response. Once it has been read, the connection can be reused.
    unread: Option<UnreadResponse>,
}

impl FinishedAttempt {
    fn without_response(outcome: Outcome) -> Self {
        FinishedAttempt { result: outcome.into(), unread: None }
    }
}

/// Details of an attempt for its log line.
#[derive(Default)]
struct AttemptTrace {
    connection_number: Option<u64>,
    /// The age of a reused connection; `None` for a new one.
    connection_age: Option<Duration>,
    bytes_written: u64,
    /// Why the write was denied.
    denied: Option<Denial>,
    /// Why the attempt failed.
    failure_reason: Option<String>,
}

/// Waits until an attempt is stopped at `min_level` or above.
async fn wait_for_stop(mut stop: watch::Receiver<StopLevel>, min_level: StopLevel) {
    // Once the sender is dropped, the attempt can no longer be stopped.
    if stop.wait_for(|level| *level >= min_level).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl WorkerClient {
    /// Creates a client that has at most `max_connections` connections at a time, charges them and the results
    /// to `memory`, and reports to `event_queue`.
    pub fn new(
        max_connections: usize,
        worker_connections: WorkerConnectionConfig,
        memory: SharedMemory,
        counters: SharedCounters,
        event_queue: mpsc::UnboundedSender<Event<ForwardedRequest>>,
    ) -> Arc<Self> {
        let pool = WorkerPool::new(max_connections, worker_connections, memory.input, counters.clone());
        Arc::new(WorkerClient {
            pool,
            worker_connections,
            result_memory: memory.results,
            write_turns: WriteTurns::new(),
            counters,
            event_queue,
        })
    }

    /// Executes one attempt and reports its end exactly once: its own outcome, its cancellation or its
    /// deadline, whichever comes first.
    pub async fn execute(self: Arc<Self>, attempt_request: AttemptRequest<ForwardedRequest>) {
        let AttemptRequest { id, address, deadline, send_by, stop, rules_lease, retry_safety, request } =
            attempt_request;
        let AttemptId { job, attempt } = id;
        let attempt_parameters = Attempt {
            id,
            address,
            deadline,
            stop: stop.clone(),
            rules_lease,
            resend_deadline: send_by,
            retry_safety,
        };
        let mut trace = AttemptTrace::default();
        let FinishedAttempt { result, unread } = tokio::select! {
            // An outcome that arrives together with the cancellation takes precedence.
            biased;
            finished = self.send_and_receive(&attempt_parameters, &request, &mut trace) => finished,
            () = wait_for_stop(stop, StopLevel::Immediate) => {
                FinishedAttempt::without_response(Outcome::Cancelled)
            }
            () = tokio::time::sleep_until(deadline.into()) => {
                FinishedAttempt::without_response(Outcome::Timeout)
            }
        };
        debug!(
            request = ?request.request_id,
            job,
            attempt,
            worker = %address,
            connection = trace.connection_number,
            kept_ms = trace.connection_age.map(|age| age.as_millis() as u64),
            written = trace.bytes_written,
            outcome = %outcome_name(result.outcome),
            denied = trace.denied.map(Denial::name),
            why = trace.failure_reason,
            "attempt ended"
        );
        request.record_attempt(retry_safety, result.outcome);
        drop(request);
        let _ = self.event_queue.send(Event::AttemptEnded { id, result });
        if let Some(unread) = unread {
            self.drain_and_give_back(unread).await;
        }
    }

    /// Sends an attempt and reads its response up to the line that ends it.
    async fn send_and_receive(
        &self,
        attempt: &Attempt,
        request: &ForwardedRequest,
        trace: &mut AttemptTrace,
    ) -> FinishedAttempt {
        let (connection, response) = match self.send(attempt, request, trace).await {
            Ok(connection_and_response) => connection_and_response,
            Err(outcome) => return FinishedAttempt::without_response(outcome),
        };
        let (mut outcome, report) = (outcome_of_head(&response), load_report_of_head(&response));
        // A response head carries no job id. On a connection that has not settled, the response may belong to
        // the previous job, and then it does not prove that this job never ran.
        let may_belong_to_previous_job =
            !is_settled(connection.last_response_at) && attempt.retry_safety != RetrySafety::Safe;
        if may_belong_to_previous_job && outcome.is_some_and(Outcome::never_ran) {
            outcome = Some(Outcome::Reset);
        }
        let lines = LineReader::new(response.into_body(), MAX_RESPONSE_BYTES);
        let mut lines = lines.with_result_memory(self.result_memory.clone());
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
                trace.failure_reason = Some(error.to_string());
                FinishedAttempt::without_response(Outcome::Reset)
            }
        }
    }

    /// Writes an attempt and waits for the head of its response. The request is rewritten on another
    /// connection only if no worker can have received all of it.
    ///
    /// # Errors
    ///
    /// Returns the outcome of an attempt without a response.
    async fn send(
        &self,
        attempt: &Attempt,
        request: &ForwardedRequest,
        trace: &mut AttemptTrace,
    ) -> Result<(CheckedOutConnection, Response<Incoming>), Outcome> {
        // A late response to the previous job may still arrive on an idle connection and be mistaken for the
        // response to this job, so that a non-idempotent job might run twice.
        let mut preference = match attempt.retry_safety {
            RetrySafety::Unsafe => ConnectionPreference::Settled,
            RetrySafety::Safe | RetrySafety::Deduplicated => ConnectionPreference::Any,
        };
        let mut rewrites = 0;
        loop {
            let connect_timeout = self.worker_connections.connect_timeout;
            let connection = self.pool.check_out(attempt.address, preference, connect_timeout);
            let mut connection = attempt.unless_stopped(connection).await?;
            trace.connection_number = Some(connection.connection.number);
            trace.connection_age = connection.reused.then(|| connection.connection.opened_at.elapsed());
            let turn = match attempt.unless_stopped(self.write_turns.next()).await {
                Ok(turn) => turn,
                Err(outcome) => {
                    self.pool.give_back(connection);
                    return Err(outcome);
                }
            };
            let guard = attempt.write_guard(request, turn);
            // Detects that it is too late to send, after a stall of the process or a slow connect.
            if let Err(denial) = guard.permit(false) {
                trace.denied = Some(denial);
                self.pool.give_back(connection);
                return Err(Outcome::NotSent);
            }
            let http_request = request.to_http(attempt, guard.head_built_at);
            let response = connection.connection.send_attempt(http_request, guard).await;
            trace.bytes_written = connection.connection.bytes_written();
            if let Some(denial) = connection.connection.violation() {
                violations::report(&self.counters, Operation::Write, denial, &request.request_id);
            }
            let error = match response {
                Ok(response) => return Ok((connection, response)),
                Err(error) => error,
            };
            match error.progress {
                // Too much time passed between building the head and writing its first byte.
                WriteProgress::Denied(Denial::HeadersOutdated) if rewrites < MAX_REWRITES => {
                    rewrites += 1;
                    preference = ConnectionPreference::New;
                }
                WriteProgress::Denied(denial) => {
                    trace.denied = Some(denial);
                    return Err(Outcome::NotSent);
                }
                // The worker closed the idle connection, and no byte was written.
                WriteProgress::Nothing if connection.reused => preference = ConnectionPreference::New,
                WriteProgress::Nothing | WriteProgress::Partial => {
                    trace.failure_reason = Some(error.reason);
                    return Err(Outcome::ConnectFailed);
                }
                WriteProgress::Complete => {
                    trace.failure_reason = Some(error.reason);
                    if connection.reused {
                        self.pool.suspend_reuse();
                    }
                    return Err(Outcome::Reset);
                }
            }
        }
    }

    /// Reads lines up to the one that ends the attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the response ends or fails before that line. The job may have run.
    async fn read_lines(
        &self,
        lines: &mut LineReader,
        attempt: &Attempt,
        request: &ForwardedRequest,
    ) -> Result<AttemptResult, ResponseError> {
        let progress = PendingProgress::default();
        loop {
            let line = lines.next_line().await?.ok_or(ResponseError::Incomplete)?;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match WorkerMessage::parse(&line, request.request_id.as_bytes()) {
                Ok(WorkerMessage::Progress) => {
                    if let Some(pending) = progress.next() {
                        drop(self.event_queue.send(Event::Progress { id: attempt.id, pending }));
                    }
                }
                Ok(WorkerMessage::Ended(result)) => {
                    drop(line);
                    return Ok(with_charged_result(result, lines.take_grant()));
                }
                Err(error) => {
                    let why = error.to_string();
                    warn!(
                        address = %attempt.address,
                        request = ?request.request_id,
                        why,
                        "malformed line from a worker"
                    );
                    return Err(error.into());
                }
            }
        }
    }

    /// Reads a response to its end and returns its connection to the pool.
    async fn drain_and_give_back(&self, unread: UnreadResponse) {
        let UnreadResponse { mut lines, mut connection } = unread;
        let drain = async {
            let mut lines_left = 64;
            while let Ok(line) = lines.next_line().await {
                lines_left -= 1;
                if line.is_none() {
                    return connection.connection.wait_until_ready().await;
                } else if lines_left == 0 {
                    return false;
                }
            }
            false
        };
        if timeout(DRAIN_TIMEOUT, drain).await == Ok(true) {
            connection.last_response_at = Some(Instant::now());
            self.pool.give_back(connection);
        }
    }

    /// Periodically closes connections that have been idle for too long to be reused. Never returns.
    pub async fn close_expired_connections(self: Arc<Self>) {
        self.pool.close_expired_connections().await;
    }
}

/// Returns the result of an attempt with its memory, which is thus granted until the client has been sent it.
fn with_charged_result(mut attempt: AttemptResult, grant: Option<ResultMemoryGrant>) -> AttemptResult {
    let Some(mut grant) = grant else { return attempt };
    attempt.result = attempt.result.map(|result| {
        if result.len() < MIN_SHARED_RESULT_BYTES {
            grant.shrink(result.len());
        }
        charged_bytes(result, grant)
    });
    attempt
}

/// Returns the `Host` header for an address.
pub fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::try_from(address.to_string()).unwrap_or_else(|_| HeaderValue::from_static("instance"))
}

/// Returns the remaining time that an attempt announces to its worker. The head may be up to [`MAX_HEAD_AGE`] old
/// when it is written, so that this is subtracted; but at least half of the remaining time is announced.
fn announced_time_left(time_left: Duration) -> Duration {
    time_left.saturating_sub(MAX_HEAD_AGE).max(time_left / 2)
}

impl ForwardedRequest {
    /// Builds the HTTP request of an attempt.
    fn to_http(&self, attempt: &Attempt, now: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let headers = request.headers_mut();
        headers.insert(HOST, host_header(attempt.address));
        headers.insert("request-id", self.request_id.clone());
        headers.extend(self.headers.iter().cloned());
        headers.extend(
            attempt.rules_lease.as_ref().map(|rules_lease| (RULES_HEADER, rules_lease.version.clone())),
        );
        let time_left = announced_time_left(attempt.deadline.saturating_duration_since(now)).as_secs_f64();
        if let Ok(time_left) = HeaderValue::try_from(format!("{time_left:.3}")) {
            headers.insert("request-timeout", time_left);
        }
        headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        request
    }
}
