//! The clients' side: the service that accepts jobs over HTTP and gives each its single final answer.

use std::collections::HashSet;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use nickelflow_engine::{fnv1a_hash, permits};
use tokio::time::timeout_at;
use tower::Service;
use tracing::debug;

use crate::attempt::ForwardedRequest;
use crate::client_connection::ClientConnection;
use crate::config::SettingNames;
use crate::counters::SharedCounters;
use crate::request_reader::MAX_BODY_BYTES;
use crate::scheduler_loop::{FinalAnswer, JobQueue, SubmittedJob};
use crate::shutdown::Shutdown;
use crate::write_guard::ClientPresence;

/// The longest wait that a client may ask for.
const LONGEST_WAIT: f64 = 3600.0;

type Reply = Response<Full<Bytes>>;

/// The service behind a client connection; each connection has a clone.
#[derive(Clone)]
pub struct JobHandler {
    /// The names of classes and tenants.
    pub names: Arc<SettingNames>,
    /// Where jobs are submitted.
    pub job_queue: JobQueue<ForwardedRequest>,
    /// The counters of the scheduler.
    pub counters: SharedCounters,
    /// How far the shutdown has come.
    pub shutdown: Shutdown,
    /// The ids of all requests that are open here.
    pub open: OpenRequestIds,
    /// The connection that it serves.
    pub client_connection: Arc<ClientConnection>,
}

/// The ids of all open requests; an id is open once at a time.
#[derive(Clone, Default)]
pub struct OpenRequestIds(Arc<Mutex<HashSet<HeaderValue>>>);

impl OpenRequestIds {
    fn ids(&self) -> MutexGuard<'_, HashSet<HeaderValue>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an id until what this gives is dropped; `None` if it is open already.
    fn open(&self, id: &HeaderValue) -> Option<OpenRequestId> {
        self.ids().insert(id.clone()).then(|| OpenRequestId(self.clone(), id.clone()))
    }
}

struct OpenRequestId(OpenRequestIds, HeaderValue);

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.0.ids().remove(&self.1);
    }
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
            // What follows an incomplete request cannot be distinguished from its body.
            if handler.client_connection.finish_request() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            drop(call);
            Ok(reply)
        })
    }
}

/// Why a request is rejected before it becomes a job.
struct Rejection {
    status: StatusCode,
    why: String,
}

impl Rejection {
    fn new(status: StatusCode, why: impl Into<String>) -> Rejection {
        Rejection { status, why: why.into() }
    }
}

impl JobHandler {
    async fn serve(&self, request: Request<Incoming>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => self.health(),
            (&Method::POST, "/api") => self.job(request).await.unwrap_or_else(|why| self.reject(why)),
            (_, "/healthz" | "/api") => {
                self.reject(Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"))
            }
            (_, path) => self.reject(Rejection::new(StatusCode::NOT_FOUND, format!("no such path: {path}"))),
        }
    }

    fn health(&self) -> Reply {
        if self.job_queue.is_open() && !self.shutdown.begun() {
            reply(StatusCode::OK, "ok\n")
        } else {
            reply(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }

    fn reject(&self, Rejection { status, why }: Rejection) -> Reply {
        self.counters.rejected.add();
        debug!(client = self.client_connection.number, status = status.as_u16(), why, "rejected");
        reply(status, why + "\n")
    }

    async fn job(&self, request: Request<Incoming>) -> Result<Reply, Rejection> {
        let came = Instant::now();
        let (parts, body) = request.into_parts();
        let job = self.read(parts, came).map_err(|why| Rejection::new(StatusCode::BAD_REQUEST, why));
        // Where the answer is known, a body that is not there yet is not waited for.
        let mut job = if self.client_connection.is_request_complete() { job } else { Ok(job?) }?;
        job.request.body = self.body(body).await?;
        let id = self.open.open(&job.request.request_id);
        // A worker could not distinguish the two.
        let _id = id.ok_or(Rejection::new(StatusCode::CONFLICT, "request-id: open already"))?;
        if permits::check_admission(Instant::now(), self.shutdown.answered_by()).is_err() {
            return Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "ending"));
        }
        let request_id = job.request.request_id.clone();
        self.client_connection.begin_job(&request_id);
        let answer = self.job_queue.submit(job).await;
        debug!(client = self.client_connection.number, request = ?request_id, answer = answer.name(), "final answer");
        Ok(match answer {
            FinalAnswer::Served(result) => reply(StatusCode::OK, result),
            FinalAnswer::Rejected { retry_after } => rejected_reply(retry_after),
            FinalAnswer::Failed => reply(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        })
    }

    async fn body(&self, body: Incoming) -> Result<Bytes, Rejection> {
        let too_large = || Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB");
        // Announced as too large, it is not waited for: the client may well wait for the answer.
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        let whole = Limited::new(body, MAX_BODY_BYTES as usize).collect();
        let whole = timeout_at(self.client_connection.request_deadline().into(), whole);
        let whole = tokio::select! {
            whole = whole => whole,
            () = self.shutdown.over() => {
                return Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "ending"));
            }
        };
        match whole {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(e)) => Err(Rejection::new(StatusCode::BAD_REQUEST, format!("body: {e}"))),
            Err(_) => Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, "body not whole in time")),
        }
    }

    /// Reads from the head what the dispatcher needs; the rest is forwarded unchanged.
    fn read(&self, parts: Parts, came: Instant) -> Result<SubmittedJob<ForwardedRequest>, String> {
        let headers = &parts.headers;
        let request_id = one(headers, "request-id")?.ok_or("request-id: missing")?.clone();
        if request_id.is_empty() {
            return Err("request-id: empty".to_owned());
        }
        let class = text(headers, "request-class")?.ok_or("request-class: missing")?;
        let class = self.names.classes.iter().position(|name| name == class);
        let tenant = match text(headers, "tenant")? {
            Some(tenant) if !self.names.tenants.is_empty() => {
                let known = self.names.tenants.iter().position(|name| name == tenant);
                Some(known.ok_or("tenant: unknown")? as u32)
            }
            None if !self.names.tenants.is_empty() => return Err("tenant: missing".to_owned()),
            _ => None,
        };
        let wait = text(headers, "request-timeout")?.ok_or("request-timeout: missing")?;
        let wait = wait.parse::<f64>().ok().filter(|wait| *wait > 0.0 && *wait <= LONGEST_WAIT);
        let wait = Duration::from_secs_f64(wait.ok_or("request-timeout: must be seconds above 0")?);
        let extras = RequestInfo::read(text(headers, "request-info")?.unwrap_or_default())?;
        let query = parts.uri.query().unwrap_or_default();
        let key = query.split('&').find_map(|pair| pair.strip_prefix("obj="));
        let passed = [HeaderName::from_static("idempotency-key"), CONTENT_TYPE];
        let passed = passed.into_iter().filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
        Ok(SubmittedJob {
            request_id: request_id.clone(),
            class: class.ok_or("request-class: unknown")? as u32,
            tenant,
            slots: extras.slots,
            memory: extras.memory,
            key: key.filter(|key| !key.is_empty()).map(|key| fnv1a_hash(key.as_bytes())),
            is_retry: text(headers, "client-retry")? == Some("1"),
            deadline: came + wait,
            request: ForwardedRequest {
                method: parts.method,
                target: parts.uri.path_and_query().cloned().ok_or("no path")?,
                request_id,
                headers: passed.collect(),
                body: Bytes::new(),
                client: {
                    let client_connection = self.client_connection.clone();
                    ClientPresence::new(move || client_connection.has_disconnected())
                },
            },
        })
    }
}

/// A header that may be missing but must not come twice.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a HeaderValue>, String> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(format!("{name}: more than once")),
        (value, None) => Ok(value),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let value = one(headers, name)?;
    value.map(|value| value.to_str().map_err(|_| format!("{name}: not plain text"))).transpose()
}

/// The resources that a job needs, from its `request-info` header. The names there are not those of the settings.
struct RequestInfo {
    slots: f64,
    memory: f64,
}

impl RequestInfo {
    fn read(info: &str) -> Result<RequestInfo, String> {
        let mut extras = RequestInfo { slots: 1.0, memory: 0.0 };
        for pair in info.split(',').filter(|pair| !pair.trim().is_empty()) {
            let (name, value) = pair.split_once('=').ok_or("request-info: must be name=value")?;
            let figure = match name.trim() {
                "slots" => &mut extras.slots,
                "memory" => &mut extras.memory,
                _ => continue,
            };
            let value = value.trim().parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
            *figure = value.ok_or_else(|| format!("request-info: {name}: must be a number from 0 up"))?;
        }
        Ok(extras)
    }
}

/// Returns the answer that a retry is harmless, best after so long (ns).
fn rejected_reply(retry_after: u64) -> Reply {
    let mut rejection = reply(StatusCode::SERVICE_UNAVAILABLE, "refused, try again later\n");
    let seconds = Duration::from_nanos(retry_after).as_secs_f64();
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
