//! The HTTP server for requests of other processes: accepts connections, validates requests and limits them.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use nickelflow_input_memory::read_body;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;

use crate::messages::{
    PeerRequest, PeerResponse, FLEET_HEADER, FORMAT, FORMAT_HEADER, MAX_MESSAGE_BYTES, RAFT_PATH, RULES_PATH,
};
use crate::peer_error::PeerError;
use crate::request_handler::RequestHandler;

/// The maximum number of open connections. Further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 1_024;
/// The maximum number of requests in flight per path. It bounds memory, because each request may be large.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// The size of a connection's read buffer. It limits the request's headers, and each read of its body.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// The timeout for reading a request's headers.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for reading a request's body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout for handling a request.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(10);
/// The backoff after a failed accept. The usual cause is a lack of file descriptors, which lasts until some
/// are closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a request is rejected without a [`PeerResponse`].
#[derive(Clone, Copy, Debug, Error)]
enum RequestError {
    #[error("only POST /rules and /voters are answered here")]
    UnknownPath,
    #[error("this process belongs to another fleet")]
    WrongFleet,
    #[error("this process speaks format 1")]
    UnsupportedFormat,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("ending")]
    ShuttingDown,
    #[error("the body is too large, or broke off")]
    BodyReadFailed,
    #[error("the body came too slowly")]
    BodyTimeout,
    #[error("the body cannot be read")]
    UndecodableBody,
    #[error("the answer cannot be written")]
    UnencodableResponse,
}

impl RequestError {
    fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::WrongFleet => StatusCode::FORBIDDEN,
            RequestError::UnsupportedFormat => StatusCode::UPGRADE_REQUIRED,
            RequestError::BodyTooLarge | RequestError::BodyReadFailed => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::UndecodableBody => StatusCode::BAD_REQUEST,
            RequestError::UnencodableResponse => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    fn response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.to_string())));
        *response.status_mut() = self.status();
        response
    }
}

/// Reads and validates requests, and passes them to the handler.
pub struct HttpServer {
    handler: Arc<RequestHandler>,
    rules_permits: Semaphore,
    raft_permits: Semaphore,
}

impl HttpServer {
    /// Creates a server that passes requests to this handler.
    pub fn new(handler: Arc<RequestHandler>) -> HttpServer {
        HttpServer {
            handler,
            rules_permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
            raft_permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
        }
    }

    /// Accepts connections until it is cancelled, which closes all its connections.
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
            // Discards the results of connections that have ended.
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve_connection(self: Arc<Self>, socket: TcpStream, permit: OwnedSemaphorePermit) {
        // A failure only makes responses slower.
        let _ = socket.set_nodelay(true);
        let service = service_fn(move |request| self.clone().serve(request));
        let result = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(socket), service)
            .await;
        // An error means that the connection is broken: there is nobody to respond to.
        drop((result, permit));
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        Ok(self.process(request).await.unwrap_or_else(RequestError::response))
    }

    async fn process(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, RequestError> {
        let permits = self.check_headers(&request)?;
        // Held until the response is encoded, to bound the memory in use.
        let _permit = permits.acquire().await.map_err(|_| RequestError::ShuttingDown)?;
        let request = read_request(request).await?;
        let response = match tokio::time::timeout(HANDLER_TIMEOUT, self.handler.handle(request)).await {
            Ok(response) => response,
            Err(_) => PeerResponse::Error(PeerError::NoQuorum("no answer in time".to_owned())),
        };
        let bytes = postcard::to_stdvec(&response).map_err(|_| RequestError::UnencodableResponse)?;
        Ok(Response::new(Full::new(Bytes::from(bytes))))
    }

    /// Checks a request's method, path and headers, and returns the semaphore of its path.
    fn check_headers(&self, request: &Request<Incoming>) -> Result<&Semaphore, RequestError> {
        let permits = match (request.method(), request.uri().path()) {
            (&Method::POST, RULES_PATH) => &self.rules_permits,
            (&Method::POST, RAFT_PATH) => &self.raft_permits,
            _ => return Err(RequestError::UnknownPath),
        };
        let header = |name: &str| request.headers().get(name).map_or(&b""[..], |value| value.as_bytes());
        if header(FLEET_HEADER) != self.handler.fleet().as_bytes() {
            return Err(RequestError::WrongFleet);
        }
        if header(FORMAT_HEADER) != FORMAT.as_bytes() {
            return Err(RequestError::UnsupportedFormat);
        }
        if request.body().size_hint().lower() > MAX_MESSAGE_BYTES as u64 {
            return Err(RequestError::BodyTooLarge);
        }
        Ok(permits)
    }
}

/// Reads a request's body and decodes it. A message that belongs to the other path is rejected.
async fn read_request(request: Request<Incoming>) -> Result<PeerRequest, RequestError> {
    let path = request.uri().path().to_owned();
    let body = read_body(request.into_body(), MAX_MESSAGE_BYTES);
    let body = match tokio::time::timeout(BODY_READ_TIMEOUT, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return Err(RequestError::BodyReadFailed),
        Err(_) => return Err(RequestError::BodyTimeout),
    };
    let request = postcard::from_bytes::<PeerRequest>(&body).map_err(|_| RequestError::UndecodableBody)?;
    if request.path() == path {
        Ok(request)
    } else {
        Err(RequestError::UndecodableBody)
    }
}
