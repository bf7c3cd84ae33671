//! The service clients' side: the front that takes jobs over HTTP and gives each its single final answer.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tower::Service;
use tracing::{debug, warn};

use crate::config::Names;
use crate::core::{hash, Answer, Entrance, Job};
use crate::counters::Shared;
use crate::execution::Parcel;
use crate::shutdown::Shutdown;

const LARGEST_BODY: usize = 64 << 10;
const LARGEST_HEAD: usize = 64 << 10;
/// For how long a client may take over a head, or stay idle between requests.
const HEAD: Duration = Duration::from_secs(75);
/// For how long a client may take over a body.
const BODY: Duration = Duration::from_secs(10);
/// The longest wait that a client may ask for.
const LONGEST_WAIT: f64 = 3600.0;
/// For how long a connection that is to close may still bring the rest of a head.
const LAST_HEAD: Duration = Duration::from_millis(200);
/// Accepting goes on this long after it failed: descriptors come free meanwhile.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Reply = Response<Full<Bytes>>;

/// The service behind every client connection.
#[derive(Clone)]
pub struct Front {
    pub names: Arc<Names>,
    pub entrance: Entrance<Parcel>,
    pub counters: Shared,
    pub shutdown: Shutdown,
    /// One for each connection; every call under way on it holds a clone.
    pub under_way: Arc<()>,
}

impl Service<Request<Incoming>> for Front {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let front = self.clone();
        Box::pin(async move { Ok(front.serve(request).await) })
    }
}

/// What is wrong with a request, and the status that says so.
type Nack = (StatusCode, String);

impl Front {
    async fn serve(&self, request: Request<Incoming>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => self.health(),
            (&Method::POST, "/api") => self.job(request).await.unwrap_or_else(|nack| self.nack(nack)),
            (_, "/healthz" | "/api") => {
                self.nack((StatusCode::METHOD_NOT_ALLOWED, "method not allowed".to_owned()))
            }
            (_, path) => self.nack((StatusCode::NOT_FOUND, format!("no such path: {path}"))),
        }
    }

    fn health(&self) -> Reply {
        if self.entrance.open() && !self.shutdown.begun() {
            reply(StatusCode::OK, "ok\n")
        } else {
            reply(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }

    fn nack(&self, (status, why): Nack) -> Reply {
        self.counters.rejected.add();
        debug!(status = status.as_u16(), why, "nack");
        reply(status, why + "\n")
    }

    async fn job(&self, request: Request<Incoming>) -> Result<Reply, Nack> {
        let came = Instant::now();
        let (parts, body) = request.into_parts();
        let mut job = self.read(parts, came).map_err(|why| (StatusCode::BAD_REQUEST, why))?;
        let too_large = (StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB".to_owned());
        // Announced as too large, it is not waited for: the client may well wait for the answer.
        if body.size_hint().lower() > LARGEST_BODY as u64 {
            return Err(too_large);
        }
        let body = timeout(BODY, Limited::new(body, LARGEST_BODY).collect()).await;
        let body = body.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "body not whole in time".to_owned()))?;
        job.parcel.body = match body {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => {
                return Err(too_large);
            }
            Err(e) => return Err((StatusCode::BAD_REQUEST, format!("body: {e}"))),
        };
        Ok(match self.entrance.submit(job).await {
            Answer::Served(result) => reply(StatusCode::OK, result),
            Answer::Refused { retry_after } => {
                let mut nack = reply(StatusCode::SERVICE_UNAVAILABLE, "refused, try again later\n");
                if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())) {
                    nack.headers_mut().insert(RETRY_AFTER, seconds);
                }
                nack
            }
            Answer::Failed => reply(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        })
    }

    /// Takes out of the head what the decisions need; the rest goes on as it came.
    fn read(&self, parts: Parts, came: Instant) -> Result<Job<Parcel>, String> {
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
        let extras = Extras::read(text(headers, "request-info")?.unwrap_or_default())?;
        let query = parts.uri.query().unwrap_or_default();
        let key = query.split('&').find_map(|pair| pair.strip_prefix("obj="));
        let passed = [HeaderName::from_static("idempotency-key"), CONTENT_TYPE];
        let passed = passed.into_iter().filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
        Ok(Job {
            class: class.ok_or("request-class: unknown")? as u32,
            tenant,
            slots: extras.slots,
            memory: extras.memory,
            key: key.filter(|key| !key.is_empty()).map(|key| hash(key.as_bytes())),
            retry: text(headers, "client-retry")? == Some("1"),
            deadline: came + wait,
            parcel: Parcel {
                method: parts.method,
                target: parts.uri.path_and_query().cloned().ok_or("no path")?,
                request_id,
                headers: passed.collect(),
                body: Bytes::new(),
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

/// The further figures of a job. The sockets name them by what they are, not as the simulator does: read by
/// the wrong names, every job looks as if it needed no memory.
struct Extras {
    slots: f64,
    memory: f64,
}

impl Extras {
    fn read(info: &str) -> Result<Extras, String> {
        let mut extras = Extras { slots: 1.0, memory: 0.0 };
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

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

/// Accepts client connections until the shutdown has closed the door; returns when all have ended.
pub async fn serve(listener: TcpListener, front: Front, most: usize) {
    let places = Arc::new(Semaphore::new(most));
    let retire = Arc::new(Notify::new());
    loop {
        // Biased: what has come before the door closes is still taken from the queue of the listener, for
        // closing that would reset it.
        let stream = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = front.shutdown.closing() => break,
        };
        match stream {
            Ok((stream, _)) => {
                if places.available_permits() <= most / 8 {
                    retire.notify_one();
                }
                let Ok(place) = places.clone().acquire_owned().await else { return };
                front.counters.accepted.add();
                let _ = stream.set_nodelay(true);
                let front = Front { under_way: Arc::default(), ..front.clone() };
                tokio::spawn(connection(stream, front, place, retire.clone()));
            }
            Err(e) => {
                // Out of descriptors, or a client that left while it waited: neither may end the program,
                // and without a pause the first would spin it.
                front.counters.accept_errors.add();
                warn!(error = %e, "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    let _ = places.acquire_many(most as u32).await;
}

/// One client connection. Where places run short the ones longest here are retired, one for each that
/// comes: an idle one closes at once, which the protocol allows, a busy one after its answer.
async fn connection(stream: TcpStream, front: Front, place: OwnedSemaphorePermit, retire: Arc<Notify>) {
    let (shutdown, under_way) = (front.shutdown.clone(), front.under_way.clone());
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .max_buf_size(LARGEST_HEAD)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(front));
    let mut connection = std::pin::pin!(connection);
    let mut ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = retire.notified() => None,
        () = shutdown.closing() => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
    }
    while ended.is_none() {
        ended = match timeout(LAST_HEAD, connection.as_mut()).await {
            Ok(ended) => Some(ended),
            // One with half a head is not idle to hyper, which would wait for the rest. Held are two: by this function and by the service. A call under way holds one more.
            Err(_) if Arc::strong_count(&under_way) <= 2 => break,
            Err(_) => None,
        };
    }
    if let Some(Err(e)) = ended {
        debug!(error = %e, "client connection ended");
    }
    drop(place);
}
