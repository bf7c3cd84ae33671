//! The HTTP service for clients: accepts jobs and returns the single final answer of each job.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::http::uri::{InvalidUri, PathAndQuery};
use hyper::{Method, Request, Response, StatusCode, Uri};
use nickelflow_engine::{fnv1a_hash, permits};
use nickelflow_input_memory::{
    charged_bytes, read_body_within, BodyError, Eviction, MemoryAccount, MemoryOwner,
};
use tokio::time::timeout_at;
use tower::Service;
use tracing::debug;

use crate::attempt::ForwardedRequest;
use crate::client_connection::ClientConnection;
use crate::config::SettingNames;
use crate::counters::SharedCounters;
use crate::memory_plan::{SharedMemory, REQUEST_IN_TRANSIT_BYTES, TRAILER_BYTES};
use crate::request_ids::RequestIds;
use crate::request_reader::MAX_BODY_BYTES;
use crate::scheduler_loop::{FinalAnswer, JobQueue, SubmittedJob};
use crate::shutdown::Shutdown;
use crate::write_guard::ClientPresence;

/// The longest timeout that a client may request (s).
const MAX_REQUEST_TIMEOUT_S: f64 = 3600.0;

type Reply = Response<Full<Bytes>>;

/// The service behind a client connection. Each connection has a clone of the service.
#[derive(Clone)]
pub struct JobHandler {
    /// The names of classes and tenants.
    pub names: Arc<SettingNames>,
    /// Where jobs are submitted.
    pub job_queue: JobQueue<ForwardedRequest>,
    /// The counters of the scheduler.
    pub counters: SharedCounters,
    /// The stage of the shutdown.
    pub shutdown: Shutdown,
    /// The ids of the requests of this scheduler.
    pub request_ids: RequestIds,
    /// The connection that this clone serves.
    pub client_connection: Arc<ClientConnection>,
    /// The memory of the scheduler.
    pub memory: SharedMemory,
}

impl Service<Request<Incoming>> for JobHandler {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let handler = self.clone();
        let call = self.client_connection.begin_call();
        Box::pin(async move {
            let mut reply = handler.serve(request).await;
            // Bytes that follow an incomplete request cannot be distinguished from the body of the incomplete
            // request.
            if handler.client_connection.finish_request() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            drop(call);
            Ok(reply)
        })
    }
}

/// Why a request is rejected before the request becomes a job.
struct Rejection {
    status: StatusCode,
    reason: String,
}

impl Rejection {
    fn new(status: StatusCode, reason: impl Into<String>) -> Rejection {
        Rejection { status, reason: reason.into() }
    }
}

impl JobHandler {
    async fn serve(&self, request: Request<Incoming>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => self.health(),
            (&Method::POST, "/api") => {
                self.submit_job(request).await.unwrap_or_else(|rejection| self.reject(rejection))
            }
            (_, "/healthz" | "/api") => {
                self.reject(Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"))
            }
            (_, path) => self.reject(Rejection::new(StatusCode::NOT_FOUND, format!("no such path: {path}"))),
        }
    }

    fn health(&self) -> Reply {
        if self.job_queue.is_open() && !self.shutdown.has_begun() {
            reply(StatusCode::OK, "ok\n")
        } else {
            reply(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }

    fn reject(&self, Rejection { status, reason }: Rejection) -> Reply {
        self.counters.rejected.add();
        debug!(
            client = self.client_connection.number,
            status = status.as_u16(),
            why = reason,
            "request rejected"
        );
        reply(status, reason + "\n")
    }

    async fn submit_job(&self, request: Request<Incoming>) -> Result<Reply, Rejection> {
        let received_at = Instant::now();
        let (parts, body) = request.into_parts();
        let job = self
            .parse_head(parts, received_at)
            .map_err(|reason| Rejection::new(StatusCode::BAD_REQUEST, reason));
        // If the head is rejected, a body that has not arrived yet is not awaited.
        let mut job = if self.client_connection.is_request_complete() { job } else { Ok(job?) }?;
        let body_memory = self.memory.input.open_account(MemoryOwner::RequestBody, Eviction::IfStalled);
        let body_memory = body_memory.with_overhead(REQUEST_IN_TRANSIT_BYTES);
        let body = self.read_body(body, &body_memory, job.deadline).await?;
        // An attempt that is cancelled may keep the body a little longer than the job is open.
        job.request.body = charged_bytes(body, body_memory);
        let open_id = self.request_ids.open(&job.request.request_id, job.deadline);
        let open_id = open_id.map_err(|error| Rejection::new(StatusCode::CONFLICT, error.to_string()))?;
        let open_id = Arc::new(open_id);
        job.request.open_id = Some(open_id.clone());
        if permits::check_admission(Instant::now(), self.shutdown.answer_deadline()).is_err() {
            return Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "ending"));
        }
        let request_id = job.request.request_id.clone();
        self.client_connection.begin_job(&request_id);
        let answer = self.job_queue.submit(job).await;
        open_id.record_answer();
        debug!(
            client = self.client_connection.number,
            request = ?request_id,
            answer = answer.name(),
            "final answer"
        );
        Ok(match answer {
            FinalAnswer::Served(result) => reply(StatusCode::OK, result),
            FinalAnswer::Rejected { retry_after } => rejected_reply(retry_after),
            FinalAnswer::Failed => reply(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        })
    }

    /// Reads the body of a job. `memory` is the account of the body, which cannot be evicted any more once the
    /// body is complete. `deadline` is when the client gives up.
    async fn read_body(
        &self,
        body: Incoming,
        memory: &MemoryAccount,
        deadline: Instant,
    ) -> Result<Bytes, Rejection> {
        let too_large = || Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB");
        let out_of_memory = || Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "out of memory for input");
        // A body that is announced as too large is not awaited: the client may wait for the response before
        // sending the body.
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        let is_chunked = body.size_hint().upper().is_none();
        if is_chunked || body.size_hint().lower() > memory.free_bytes() as u64 {
            self.client_connection.forbid_eviction();
        }
        let trailer_bytes = if is_chunked { TRAILER_BYTES } else { 0 };
        let complete_body = read_body_within(body, MAX_BODY_BYTES as usize, memory, trailer_bytes);
        let deadline = self.client_connection.request_deadline().min(deadline);
        let complete_body = timeout_at(deadline.into(), complete_body);
        let complete_body = tokio::select! {
            biased;
            // What has arrived is read first: a body that is complete is kept.
            complete_body = complete_body => complete_body,
            () = self.shutdown.wait_for_answer_deadline() => {
                return Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "ending"));
            }
            () = memory.wait_for_eviction() => return Err(out_of_memory()),
            () = poll_fn(|cx| self.client_connection.poll_evicted(cx)) => return Err(out_of_memory()),
        };
        match complete_body {
            Ok(Ok(body)) => {
                memory.keep(body.len());
                Ok(body)
            }
            Ok(Err(BodyError::TooLarge(_))) => Err(too_large()),
            Ok(Err(BodyError::BudgetExceeded(_))) => Err(out_of_memory()),
            Ok(Err(BodyError::Transport(e))) => {
                Err(Rejection::new(StatusCode::BAD_REQUEST, format!("body: {e}")))
            }
            // Not the client's fault alone.
            Err(_) if memory.has_waited() => Err(out_of_memory()),
            Err(_) => Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, "body not whole in time")),
        }
    }

    /// Parses the parts of the head that the dispatcher needs. The method, the target and the headers
    /// `idempotency-key` and `content-type` are copied unchanged for forwarding.
    fn parse_head(
        &self,
        parts: Parts,
        received_at: Instant,
    ) -> Result<SubmittedJob<ForwardedRequest>, String> {
        let headers = &parts.headers;
        let request_id = detached(single_header(headers, "request-id")?.ok_or("request-id: missing")?)?;
        if request_id.is_empty() {
            return Err("request-id: empty".to_owned());
        }
        let class = header_text(headers, "request-class")?.ok_or("request-class: missing")?;
        let class = self.names.classes.iter().position(|name| name == class);
        let tenant = match header_text(headers, "tenant")? {
            Some(tenant) if !self.names.tenants.is_empty() => {
                let known = self.names.tenants.iter().position(|name| name == tenant);
                Some(known.ok_or("tenant: unknown")? as u32)
            }
            None if !self.names.tenants.is_empty() => return Err("tenant: missing".to_owned()),
            _ => None,
        };
        let timeout = header_text(headers, "request-timeout")?.ok_or("request-timeout: missing")?;
        let timeout =
            timeout.parse::<f64>().ok().filter(|timeout| *timeout > 0.0 && *timeout <= MAX_REQUEST_TIMEOUT_S);
        let timeout = Duration::from_secs_f64(timeout.ok_or("request-timeout: must be seconds above 0")?);
        let request_info = RequestInfo::parse(header_text(headers, "request-info")?.unwrap_or_default())?;
        let query = parts.uri.query().unwrap_or_default();
        let key = query.split('&').find_map(|pair| pair.strip_prefix("obj="));
        let forwarded = [HeaderName::from_static("idempotency-key"), CONTENT_TYPE];
        let forwarded =
            forwarded.into_iter().filter_map(|name| Some((name.clone(), detached(headers.get(name)?).ok()?)));
        Ok(SubmittedJob {
            request_id: request_id.clone(),
            class: class.ok_or("request-class: unknown")? as u32,
            tenant,
            slots: request_info.slots,
            memory: request_info.memory,
            key: key.filter(|key| !key.is_empty()).map(|key| fnv1a_hash(key.as_bytes())),
            is_retry: header_text(headers, "client-retry")? == Some("1"),
            deadline: received_at + timeout,
            request: ForwardedRequest {
                method: parts.method,
                target: detached_target(&parts.uri)?,
                request_id,
                headers: forwarded.collect(),
                body: Bytes::new(),
                open_id: None,
                client: {
                    let client_connection = self.client_connection.clone();
                    ClientPresence::new(move || client_connection.has_disconnected())
                },
            },
        })
    }
}

/// Copies a header value, so that it does not keep the buffer of the whole head.
fn detached(value: &HeaderValue) -> Result<HeaderValue, String> {
    let copy = HeaderValue::from_bytes(value.as_bytes());
    copy.map_err(|error| error.to_string())
}

/// Copies the path and query of a request, so that they do not keep the buffer of the whole head.
fn detached_target(uri: &Uri) -> Result<PathAndQuery, String> {
    let target = uri.path_and_query().ok_or("no path")?;
    target.as_str().parse().map_err(|error: InvalidUri| error.to_string())
}

/// Returns the value of a header that may be missing but must not be repeated.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a HeaderValue>, String> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(format!("{name}: more than once")),
        (value, None) => Ok(value),
    }
}

/// Returns the text of a header that may be missing but must not be repeated.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let value = single_header(headers, name)?;
    value.map(|value| value.to_str().map_err(|_| format!("{name}: not plain text"))).transpose()
}

/// The resources that a job needs, from the `request-info` header. The resource names in the header differ
/// from the resource names in the settings.
struct RequestInfo {
    slots: f64,
    memory: f64,
}

impl RequestInfo {
    fn parse(info: &str) -> Result<RequestInfo, String> {
        let mut request_info = RequestInfo { slots: 1.0, memory: 0.0 };
        for pair in info.split(',').filter(|pair| !pair.trim().is_empty()) {
            let (name, value) = pair.split_once('=').ok_or("request-info: must be name=value")?;
            let resource = match name.trim() {
                "slots" => &mut request_info.slots,
                "memory" => &mut request_info.memory,
                _ => continue,
            };
            let value = value.trim().parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
            *resource = value.ok_or_else(|| format!("request-info: {name}: must be a number from 0 up"))?;
        }
        Ok(request_info)
    }
}

/// Returns the response to a rejected job: a retry is harmless, and the client should wait for
/// `retry_after_ns` before the retry.
fn rejected_reply(retry_after_ns: u64) -> Reply {
    let mut rejection = reply(StatusCode::SERVICE_UNAVAILABLE, "refused, try again later\n");
    let seconds = Duration::from_nanos(retry_after_ns).as_secs_f64();
    if let Ok(seconds) = HeaderValue::try_from(format!("{seconds:.3}")) {
        rejection.headers_mut().insert(RETRY_AFTER, seconds);
    }
    rejection
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}
