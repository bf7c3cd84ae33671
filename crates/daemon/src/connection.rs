//! One client connection, as executions, probes and the watch use it: hyper's plain HTTP/1.1 connection,
//! which never resends, over a stream that counts what has been written.

use std::fmt;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::sleep_until;

pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    out: Arc<Out>,
    driver: AbortHandle,
}

/// What goes out on a connection.
#[derive(Default)]
struct Out {
    /// Bytes that the kernel has taken.
    written: AtomicU64,
    /// Nothing more is handed to it after this.
    by: Mutex<Option<Instant>>,
}

impl Out {
    fn by(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.by.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn late(&self) -> bool {
        self.by().is_some_and(|by| by <= Instant::now())
    }
}

/// Dropping a connection closes it, whatever was on it: that is how an attempt is given up.
impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why there is no connection.
pub enum Unconnected {
    /// Nothing was heard: the other side may have vanished, or be cut off.
    Silent,
    Refused(String),
}

impl fmt::Display for Unconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unconnected::Silent => f.write_str("not up in time"),
            Unconnected::Refused(why) => f.write_str(why),
        }
    }
}

/// Why no answer came, and whether the request's last byte had been written by then.
pub struct Broken {
    pub written: Written,
    pub why: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Written {
    Nothing,
    Part,
    Whole,
    /// Not all of it, and what is left must not be any more.
    Late,
}

impl Connection {
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Connection, Unconnected> {
        let open = async {
            let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
            let socket = socket.map_err(|e| format!("socket: {e}"))?;
            let stream = socket.connect(address).await.map_err(|e| format!("connect: {e}"))?;
            stream.set_nodelay(true).map_err(|e| e.to_string())?;
            let out = Arc::<Out>::default();
            let io = TokioIo::new(Counted { stream, out: out.clone() });
            let (sender, connection) = handshake(io).await.map_err(|e| e.to_string())?;
            let driver = tokio::spawn(async move {
                // What ends it also ends the request on it, which tells why.
                let _ = connection.await;
            });
            Ok(Connection { sender, out, driver: driver.abort_handle() })
        };
        match tokio::time::timeout(limit, open).await {
            Ok(opened) => opened.map_err(Unconnected::Refused),
            Err(_) => Err(Unconnected::Silent),
        }
    }

    /// Whether another request may go out on it.
    pub fn usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the last answer is done with.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request, of which no byte is written any more from `by` on: where that keeps some of it back, the request
    /// has not run, and the connection must be dropped. What was whole by then is waited for on.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        by: Option<Instant>,
    ) -> Result<Response<Incoming>, Broken> {
        let (whole, out) = (size(&request), self.out.clone());
        let before = out.written.load(Ordering::Relaxed);
        let written = || out.written.load(Ordering::Relaxed) - before;
        *out.by() = by;
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
        let written = match written() {
            n if n >= whole => Written::Whole,
            _ if out.late() => Written::Late,
            0 => Written::Nothing,
            _ => Written::Part,
        };
        Err(Broken { written, why })
    }
}

/// The bytes that a request takes on the wire. All its headers must be set: hyper then adds none.
fn size(request: &Request<Full<Bytes>>) -> u64 {
    let line = request.method().as_str().len() + 1 + request.uri().to_string().len() + " HTTP/1.1\r\n".len();
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let body = hyper::body::Body::size_hint(request.body()).lower();
    (line + headers + 2) as u64 + body
}

/// A stream that counts the bytes the kernel has taken from it, and looks at the time before it hands them over.
struct Counted {
    stream: TcpStream,
    out: Arc<Out>,
}

impl Counted {
    fn in_time(&self) -> io::Result<()> {
        if self.out.late() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "not written in time"));
        }
        Ok(())
    }

    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = written {
            self.out.written.fetch_add(n as u64, Ordering::Relaxed);
        }
        written
    }
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.in_time()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.in_time()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(written)
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

/// The lines of an answer, as they come.
pub struct Lines {
    body: Incoming,
    buffer: BytesMut,
    searched: usize,
    longest: usize,
}

impl Lines {
    pub fn new(body: Incoming, longest: usize) -> Self {
        Lines { body, buffer: BytesMut::new(), searched: 0, longest }
    }

    /// The next line without its end; `None` when the answer has properly ended.
    pub async fn next(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            if let Some(end) = self.buffer[self.searched..].iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(self.searched + end).freeze();
                self.buffer.advance(1);
                self.searched = 0;
                return Ok(Some(line));
            }
            self.searched = self.buffer.len();
            if self.searched > self.longest {
                return Err(format!("a line of more than {} bytes", self.longest));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(e)) => return Err(e.to_string()),
                None if self.buffer.is_empty() => return Ok(None),
                None => {
                    self.searched = 0;
                    return Ok(Some(self.buffer.split().freeze()));
                }
            }
        }
    }
}
