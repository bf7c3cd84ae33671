//! The listener for requests of other processes: connections, the checks of each request, and its limits.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;

use crate::messages::{
    PeerRequest, PeerResponse, FLEET_HEADER, FORMAT, FORMAT_HEADER, MAX_MESSAGE_BYTES, RAFT_PATH, RULES_PATH,
};
use crate::peer_error::PeerError;
use crate::request_handler::RequestHandler;

/// Connections of other processes at a time. More wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 1_024;
/// Requests of each path that are read or answered at a time, for each may be large.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Bytes that are read of a request's head, and at once of its body.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// How long a request's head may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a request's body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a failed accept. Descriptors are lacking mostly, and some must be closed first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a request is rejected before it is handled.
#[derive(Clone, Copy, Debug, Error)]
enum RequestError {
    #[error("only POST /rules and /voters are answered here")]
    UnknownPath,
    #[error("this process belongs to another fleet")]
    OtherFleet,
    #[error("this process speaks format 1")]
    OtherFormat,
    #[error("the body is too large")]
    TooLarge,
    #[error("ending")]
    ShuttingDown,
    #[error("the body is too large, or broke off")]
    BrokenBody,
    #[error("the body came too slowly")]
    SlowBody,
    #[error("the body cannot be read")]
    Undecodable,
    #[error("the answer cannot be written")]
    UnencodableResponse,
}

impl RequestError {
    fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::OtherFleet => StatusCode::FORBIDDEN,
            RequestError::OtherFormat => StatusCode::UPGRADE_REQUIRED,
            RequestError::TooLarge | RequestError::BrokenBody => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::SlowBody => StatusCode::REQUEST_TIMEOUT,
            RequestError::Undecodable => StatusCode::BAD_REQUEST,
            RequestError::UnencodableResponse => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    fn response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.to_string())));
        *response.status_mut() = self.status();
        response
    }
}

/// Reads requests, checks them, and hands them to the handler.
pub struct HttpServer {
    handler: Arc<RequestHandler>,
    rules_permits: Semaphore,
    raft_permits: Semaphore,
}

impl HttpServer {
    /// Creates the server of a handler.
    pub fn new(handler: Arc<RequestHandler>) -> HttpServer {
        HttpServer {
            handler,
            rules_permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
            raft_permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
        }
    }

    /// Accepts connections for as long as this runs. If it is cancelled, all its connections are closed.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let mut connections = JoinSet::new();
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let Ok((socket, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            connections.spawn(self.clone().serve_connection(socket, permit));
            // Those that have ended are dropped.
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve_connection(self: Arc<Self>, socket: TcpStream, permit: OwnedSemaphorePermit) {
        // Without it answers are only slower.
        let _ = socket.set_nodelay(true);
        let service = service_fn(move |request| self.clone().serve(request));
        let served = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(socket), service)
            .await;
        // A connection that broke needs no answer.
        drop((served, permit));
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        Ok(self.answer(request).await.unwrap_or_else(RequestError::response))
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, RequestError> {
        let permits = self.check_head(&request)?;
        // Held until the answer is written, for its memory.
        let _permit = permits.acquire().await.map_err(|_| RequestError::ShuttingDown)?;
        let request = read_request(request).await?;
        let response = match tokio::time::timeout(ANSWER_TIMEOUT, self.handler.handle(request)).await {
            Ok(response) => response,
            Err(_) => PeerResponse::Error(PeerError::NoQuorum("no answer in time".to_owned())),
        };
        let bytes = postcard::to_stdvec(&response).map_err(|_| RequestError::UnencodableResponse)?;
        Ok(Response::new(Full::new(Bytes::from(bytes))))
    }

    /// Checks a request's head, and returns the permits of its path.
    fn check_head(&self, request: &Request<Incoming>) -> Result<&Semaphore, RequestError> {
        let permits = match (request.method(), request.uri().path()) {
            (&Method::POST, RULES_PATH) => &self.rules_permits,
            (&Method::POST, RAFT_PATH) => &self.raft_permits,
            _ => return Err(RequestError::UnknownPath),
        };
        let header = |name: &str| request.headers().get(name).map_or(&b""[..], |value| value.as_bytes());
        if header(FLEET_HEADER) != self.handler.fleet().as_bytes() {
            return Err(RequestError::OtherFleet);
        }
        if header(FORMAT_HEADER) != FORMAT.as_bytes() {
            return Err(RequestError::OtherFormat);
        }
        if request.body().size_hint().lower() > MAX_MESSAGE_BYTES as u64 {
            return Err(RequestError::TooLarge);
        }
        Ok(permits)
    }
}

/// Reads a request's body, which must be a request of its path.
async fn read_request(request: Request<Incoming>) -> Result<PeerRequest, RequestError> {
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
    let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Err(RequestError::BrokenBody),
        Err(_) => return Err(RequestError::SlowBody),
    };
    let request = postcard::from_bytes::<PeerRequest>(&body).map_err(|_| RequestError::Undecodable)?;
    if request.path() == path {
        Ok(request)
    } else {
        Err(RequestError::Undecodable)
    }
}
