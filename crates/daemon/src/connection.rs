//! One client connection, as attempts, probes and the watch use it: hyper's plain HTTP/1.1 connection, which never resends,
//! over a stream that counts what has been written and asks for leave before each write.

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
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use nickelflow_engine::permits::Denial;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::sleep_until;

use crate::interrupted::retry_interrupted;
use crate::listen::is_shortage;
use crate::write_guard::WriteGuard;

/// A connection to a worker or to discovery.
pub struct Connection {
    /// Its own number, for logs.
    pub number: u64,
    pub opened: Instant,
    sender: SendRequest<Full<Bytes>>,
    out: Arc<SendState>,
    driver: AbortHandle,
}

/// What goes out on a connection.
#[derive(Default)]
struct SendState {
    /// Bytes that the kernel has taken.
    written: AtomicU64,
    attempt: Mutex<AttemptWrite>,
}

/// The attempt that is being written.
#[derive(Default)]
struct AttemptWrite {
    /// `None` for what is no attempt: probes, and calls to discovery.
    guard: Option<WriteGuard>,
    /// Bytes of it that the kernel has taken.
    bytes: u64,
    /// Why it was not written on.
    denied: Option<Denial>,
    /// What a byte of it has broken that was written all the same.
    broken: Option<Denial>,
}

impl SendState {
    fn attempt(&self) -> MutexGuard<'_, AttemptWrite> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes way for another request.
    fn begin(&self, guard: Option<WriteGuard>) {
        *self.attempt() = AttemptWrite { guard, ..AttemptWrite::default() };
    }

    /// Asks for leave to write.
    fn permit(&self) -> io::Result<()> {
        let mut attempt = self.attempt();
        let denied = attempt.guard.as_ref().and_then(|guard| guard.permit(attempt.bytes > 0).err());
        let Some(denial) = denied else { return Ok(()) };
        attempt.denied = Some(denial);
        Err(io::Error::other(denial.name()))
    }

    fn count(&self, written: usize) {
        self.written.fetch_add(written as u64, Ordering::Relaxed);
        let mut attempt = self.attempt();
        attempt.bytes += written as u64;
        let broken = attempt.guard.as_ref().and_then(|guard| guard.violation_at(Instant::now()));
        attempt.broken = attempt.broken.or(broken);
    }
}

/// Dropping a connection closes it, whatever was on it: that is how an attempt is given up.
impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why there is no connection.
#[derive(Debug)]
pub enum ConnectError {
    /// Nothing was heard: the other side may have vanished, or be cut off.
    Silent,
    /// The other side, or the way to it, refused.
    Refused(io::Error),
    /// It failed here for want of something that all connections need: nothing was asked of the other side.
    Shortage(io::Error),
    /// There was no way out, or a signal came: of the other side it says something only if others can be reached.
    NoRoute(io::Error),
}

impl ConnectError {
    /// What an error of `socket` or `connect` tells.
    pub fn of(error: io::Error) -> ConnectError {
        const NO_WAY: [i32; 6] = [
            libc::EADDRNOTAVAIL,
            libc::ENETUNREACH,
            libc::ENETDOWN,
            libc::ECONNABORTED,
            libc::EAGAIN,
            libc::EINTR,
        ];
        match error.raw_os_error() {
            _ if is_shortage(&error) => ConnectError::Shortage(error),
            Some(errno) if NO_WAY.contains(&errno) => ConnectError::NoRoute(error),
            _ => ConnectError::Refused(error),
        }
    }

    /// Whether trying again soon may well succeed, for it was this side's trouble.
    pub fn is_local(&self) -> bool {
        matches!(self, ConnectError::Shortage(_) | ConnectError::NoRoute(_))
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Silent => f.write_str("not up in time"),
            ConnectError::Refused(error) => write!(f, "refused: {error}"),
            ConnectError::Shortage(error) => write!(f, "short of what a connection needs: {error}"),
            ConnectError::NoRoute(error) => write!(f, "no way out: {error}"),
        }
    }
}

/// Why no answer came, and whether the request's last byte had been written by then.
#[derive(Debug)]
pub struct RequestError {
    pub written: WriteProgress,
    pub why: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteProgress {
    /// No byte has been written.
    Nothing,
    /// Some bytes have been written, but not the last one.
    Partial,
    /// All bytes have been written.
    Complete,
    /// The last byte has not been written, and no further byte may be.
    Denied(Denial),
}

impl Connection {
    /// Opens one, within a time.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Connection, ConnectError> {
        let open = async {
            let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
            let stream =
                socket.map_err(ConnectError::of)?.connect(address).await.map_err(ConnectError::of)?;
            stream.set_nodelay(true).map_err(ConnectError::of)?;
            let out = Arc::<SendState>::default();
            let io = TokioIo::new(GuardedStream { stream, out: out.clone() });
            let handshaken = handshake(io).await;
            let (sender, connection) =
                handshaken.map_err(|e| ConnectError::Refused(io::Error::other(e.to_string())))?;
            let driver = tokio::spawn(async move {
                // What ends it also ends the request on it, which tells why.
                let _ = connection.await;
            });
            static NUMBERS: AtomicU64 = AtomicU64::new(0);
            let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
            Ok(Connection { number, opened: Instant::now(), sender, out, driver: driver.abort_handle() })
        };
        tokio::time::timeout(limit, open).await.unwrap_or(Err(ConnectError::Silent))
    }

    /// Whether another request may go out on it.
    pub fn usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the last answer is done with.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Asks something that may be asked at any time: a probe, or a call to discovery.
    pub async fn ask(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, RequestError> {
        self.out.begin(None);
        self.exchange(request, None).await
    }

    /// Sends an attempt, each byte of it only by the guard's leave: where some of it is kept back, the request has not run,
    /// and the connection must be dropped. What was whole by then is waited for on.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        guard: WriteGuard,
    ) -> Result<Response<Incoming>, RequestError> {
        let by = guard.write_deadline();
        self.out.begin(Some(guard));
        self.exchange(request, by).await
    }

    /// How many bytes of the last request on it the kernel has taken.
    pub fn bytes_written(&self) -> u64 {
        self.out.attempt().bytes
    }

    /// What the attempt on it has broken in the write, if anything.
    pub fn violation(&self) -> Option<Denial> {
        self.out.attempt().broken
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        by: Option<Instant>,
    ) -> Result<Response<Incoming>, RequestError> {
        let (whole, out) = (size(&request), self.out.clone());
        let before = out.written.load(Ordering::Relaxed);
        let written = || out.written.load(Ordering::Relaxed) - before;
        let overdue = async {
            match by {
                Some(by) => sleep_until(by.into()).await,
                None => std::future::pending().await,
            }
            if written() >= whole {
                std::future::pending::<()>().await;
            }
        };
        let why = tokio::select! {
            biased;
            answer = self.sender.send_request(request) => match answer {
                Ok(answer) => return Ok(answer),
                Err(why) => why.to_string(),
            },
            () = overdue => "not written in time".to_owned(),
        };
        let bytes = written();
        if bytes < whole {
            // One that is overdue was not asked about again.
            let _ = out.permit();
        }
        let denied = out.attempt().denied;
        let written = match (bytes, denied) {
            (n, _) if n >= whole => WriteProgress::Complete,
            (_, Some(denial)) => WriteProgress::Denied(denial),
            (0, None) => WriteProgress::Nothing,
            (_, None) => WriteProgress::Partial,
        };
        Err(RequestError { written, why })
    }
}

/// The bytes that a request takes on the wire. All its headers must be set: hyper then adds none.
fn size(request: &Request<Full<Bytes>>) -> u64 {
    let line = request.method().as_str().len() + 1 + request.uri().to_string().len() + " HTTP/1.1\r\n".len();
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let body = hyper::body::Body::size_hint(request.body()).lower();
    (line + headers + 2) as u64 + body
}

/// A stream that counts the bytes the kernel has taken from it, and asks for leave before it hands them over.
struct GuardedStream {
    stream: TcpStream,
    out: Arc<SendState>,
}

impl GuardedStream {
    fn write(
        &mut self,
        mut write: impl FnMut(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.out.permit()?;
        let written = retry_interrupted(|| write(Pin::new(&mut self.stream)));
        if let Poll::Ready(Ok(n)) = written {
            self.out.count(n);
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
