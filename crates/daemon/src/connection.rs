//! An outgoing HTTP/1.1 connection, used for attempts, probes and the watch of discovery. It is hyper's
//! low-level client connection, which never resends a request, over a stream that counts the bytes written
//! and checks with a [`WriteGuard`] before each write.

use std::fmt;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use nickelflow_engine::permits::Denial;
use nickelflow_input_memory::{Eviction, MemoryAccount};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::sleep_until;

use crate::interrupted::retry_interrupted;
use crate::listen::is_shortage;
use crate::write_guard::WriteGuard;

/// The size of a connection's read buffer, which limits the head of a response and each read of its body.
pub const MAX_READ_BUFFER_BYTES: usize = 8 << 10;

/// A connection to a worker or to discovery.
pub struct Connection {
    /// The unique number of this connection, for logs.
    pub number: u64,
    /// When the connection was established.
    pub opened_at: Instant,
    sender: SendRequest<Full<Bytes>>,
    send_state: Arc<SendState>,
    driver: AbortHandle,
    /// What the connection is charged to.
    memory: Option<Arc<MemoryAccount>>,
}

/// Waits until a connection with this account has to close for others that need its memory.
async fn wait_for_eviction(memory: Option<Arc<MemoryAccount>>) {
    match memory {
        Some(memory) => memory.wait_for_eviction().await,
        None => std::future::pending().await,
    }
}

/// The bytes written on a connection, and the request that is being written.
#[derive(Default)]
struct SendState {
    /// Bytes that the kernel has accepted over the life of the connection.
    bytes_written: AtomicU64,
    current_request: Mutex<RequestWrite>,
}

/// The state of the request that is being written.
#[derive(Default)]
struct RequestWrite {
    /// The guard of an attempt; `None` for probes and for requests to discovery.
    guard: Option<WriteGuard>,
    /// Bytes of this request that the kernel has accepted.
    bytes_written: u64,
    /// Why the guard denied a write.
    denied: Option<Denial>,
    /// The limit that a byte exceeded although the guard had permitted its write.
    violation: Option<Denial>,
}

impl SendState {
    fn lock_current_request(&self) -> MutexGuard<'_, RequestWrite> {
        self.current_request.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets the state for the next request.
    fn begin_request(&self, guard: Option<WriteGuard>) {
        *self.lock_current_request() = RequestWrite { guard, ..RequestWrite::default() };
    }

    /// Checks whether the guard permits a write now, and records the denial if it does not.
    fn check_write(&self) -> io::Result<()> {
        let mut request = self.lock_current_request();
        let denied = request.guard.as_ref().and_then(|guard| guard.permit(request.bytes_written > 0).err());
        let Some(denial) = denied else { return Ok(()) };
        request.denied = Some(denial);
        Err(io::Error::other(denial.name()))
    }

    /// Lets another attempt build its head.
    fn end_turn(&self) {
        let turn = self.lock_current_request().guard.as_mut().and_then(|guard| guard.turn.take());
        drop(turn);
    }

    /// Counts bytes that the kernel has accepted. A process that stalls between the check and the write may
    /// exceed a limit, which is recorded as a violation.
    fn record_written(&self, written: usize) {
        self.bytes_written.fetch_add(written as u64, Ordering::Relaxed);
        let mut request = self.lock_current_request();
        request.bytes_written += written as u64;
        let violation = request.guard.as_ref().and_then(|guard| guard.violation_at(Instant::now()));
        request.violation = request.violation.or(violation);
    }
}

/// Dropping a connection closes it even while a request is in flight: this is how an attempt is aborted.
impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// The peer did not answer within the timeout: it may be down or partitioned away.
    TimedOut,
    /// The peer, or the network on the way to it, refused the connection.
    Refused(io::Error),
    /// The local system lacks a resource that every connection needs. The peer was not contacted.
    Shortage(io::Error),
    /// The local system has no route or no free address, or a signal interrupted the call. This says
    /// something about the peer only if other peers can be reached.
    NoRoute(io::Error),
}

impl ConnectError {
    /// Classifies an error of `socket` or `connect`.
    pub fn from_io_error(error: io::Error) -> ConnectError {
        const NO_ROUTE_ERRNOS: [i32; 6] = [
            libc::EADDRNOTAVAIL,
            libc::ENETUNREACH,
            libc::ENETDOWN,
            libc::ECONNABORTED,
            libc::EAGAIN,
            libc::EINTR,
        ];
        match error.raw_os_error() {
            _ if is_shortage(&error) => ConnectError::Shortage(error),
            Some(errno) if NO_ROUTE_ERRNOS.contains(&errno) => ConnectError::NoRoute(error),
            _ => ConnectError::Refused(error),
        }
    }

    /// Returns whether the cause is local, so that a retry may soon succeed.
    pub fn is_local(&self) -> bool {
        matches!(self, ConnectError::Shortage(_) | ConnectError::NoRoute(_))
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::TimedOut => f.write_str("timed out"),
            ConnectError::Refused(error) => write!(f, "refused: {error}"),
            ConnectError::Shortage(error) => write!(f, "out of a local resource: {error}"),
            ConnectError::NoRoute(error) => write!(f, "no route: {error}"),
        }
    }
}

/// Why no response arrived, and how much of the request had been written by then.
#[derive(Debug)]
pub struct RequestError {
    /// How much of the request had been written.
    pub progress: WriteProgress,
    /// The cause, for logs.
    pub reason: String,
}

/// How much of a request the kernel has accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteProgress {
    /// No byte has been written.
    Nothing,
    /// Some bytes have been written, but not the last one.
    Partial,
    /// All bytes have been written.
    Complete,
    /// The last byte has not been written, and the guard denied further writes.
    Denied(Denial),
}

impl Connection {
    /// Opens a connection. `memory` is what it is charged to, if it is charged: an eviction closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established within `connect_timeout`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        memory: Option<Arc<MemoryAccount>>,
    ) -> Result<Connection, ConnectError> {
        let open = async {
            let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
            let stream = socket
                .map_err(ConnectError::from_io_error)?
                .connect(address)
                .await
                .map_err(ConnectError::from_io_error)?;
            stream.set_nodelay(true).map_err(ConnectError::from_io_error)?;
            let send_state = Arc::<SendState>::default();
            let io = TokioIo::new(GuardedStream { stream, send_state: send_state.clone() });
            let handshake_result = Builder::new().max_buf_size(MAX_READ_BUFFER_BYTES).handshake(io).await;
            let (sender, connection) =
                handshake_result.map_err(|e| ConnectError::Refused(io::Error::other(e.to_string())))?;
            let driver_memory = memory.clone();
            let driver = tokio::spawn(async move {
                tokio::select! {
                    biased;
                    // The error also fails the request in flight, which reports it.
                    _ = connection => {}
                    () = wait_for_eviction(driver_memory) => {}
                }
            });
            static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
            let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
            Ok(Connection {
                number,
                opened_at: Instant::now(),
                sender,
                send_state,
                driver: driver.abort_handle(),
                memory,
            })
        };
        tokio::time::timeout(connect_timeout, open).await.unwrap_or(Err(ConnectError::TimedOut))
    }

    /// Returns whether the connection can take another request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.memory.as_ref().is_some_and(|memory| memory.is_evicted())
    }

    /// Sets when the connection may be closed for others that need its memory.
    pub fn set_eviction(&self, eviction: Eviction) {
        if let Some(memory) = &self.memory {
            memory.set_eviction(eviction);
        }
    }

    /// Waits until the last response has been read to its end. Returns whether the connection can take
    /// another request.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request that needs no write guard: a probe, or a request to discovery.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, RequestError> {
        self.send_state.begin_request(None);
        self.exchange(request, None).await
    }

    /// Sends an attempt. Bytes are written only while the guard permits them. If the guard denies some of
    /// them, the request has not run, and the connection must be dropped. Once the request is completely
    /// written, the guard no longer limits the wait for the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn send_attempt(
        &mut self,
        request: Request<Full<Bytes>>,
        guard: WriteGuard,
    ) -> Result<Response<Incoming>, RequestError> {
        let write_deadline = guard.write_deadline();
        self.send_state.begin_request(Some(guard));
        self.exchange(request, write_deadline).await
    }

    /// Returns how many bytes of the last request the kernel has accepted.
    pub fn bytes_written(&self) -> u64 {
        self.send_state.lock_current_request().bytes_written
    }

    /// Returns the limit that a write of the last attempt exceeded, if any.
    pub fn violation(&self) -> Option<Denial> {
        self.send_state.lock_current_request().violation
    }

    /// Sends a request and waits for the head of its response.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        write_deadline: Option<Instant>,
    ) -> Result<Response<Incoming>, RequestError> {
        let (request_size, send_state) = (encoded_size(&request), self.send_state.clone());
        let written_before = send_state.bytes_written.load(Ordering::Relaxed);
        let request_bytes_written = || send_state.bytes_written.load(Ordering::Relaxed) - written_before;
        let write_timeout = async {
            match write_deadline {
                Some(deadline) => sleep_until(deadline.into()).await,
                None => std::future::pending().await,
            }
            if request_bytes_written() >= request_size {
                std::future::pending::<()>().await;
            }
        };
        let reason = tokio::select! {
            biased;
            response = self.sender.send_request(request) => match response {
                Ok(response) => return Ok(response),
                Err(error) => error.to_string(),
            },
            () = write_timeout => "not written in time".to_owned(),
        };
        send_state.end_turn();
        let bytes_written = request_bytes_written();
        if bytes_written < request_size {
            // After a write timeout the guard has not been checked yet: this records its denial.
            let _ = send_state.check_write();
        }
        let denied = send_state.lock_current_request().denied;
        let progress = match (bytes_written, denied) {
            (n, _) if n >= request_size => WriteProgress::Complete,
            (_, Some(denial)) => WriteProgress::Denied(denial),
            (0, None) => WriteProgress::Nothing,
            (_, None) => WriteProgress::Partial,
        };
        Err(RequestError { progress, reason })
    }
}

/// Returns the number of bytes that a request takes on the wire. The request must have all its headers
/// already, because hyper then adds none.
fn encoded_size(request: &Request<Full<Bytes>>) -> u64 {
    let request_line =
        request.method().as_str().len() + 1 + request.uri().to_string().len() + " HTTP/1.1\r\n".len();
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let body = hyper::body::Body::size_hint(request.body()).lower();
    (request_line + headers + 2) as u64 + body
}

/// A stream that checks the write guard before each write, and counts the bytes that the kernel accepts.
struct GuardedStream {
    stream: TcpStream,
    send_state: Arc<SendState>,
}

impl GuardedStream {
    fn write(
        &mut self,
        mut write: impl FnMut(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.send_state.check_write()?;
        let written = retry_interrupted(|| write(Pin::new(&mut self.stream)));
        self.send_state.end_turn();
        if let Poll::Ready(Ok(n)) = written {
            self.send_state.record_written(n);
        }
        written
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        retry_interrupted(|| Pin::new(&mut self.stream).poll_read(cx, buf))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.write(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
