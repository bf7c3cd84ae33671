//! Reads a client's requests by their bytes before hyper does.
//!
//! hyper hides from the service some of what makes a request ambiguous: of `Content-Length` and
//! `Transfer-Encoding` together it drops the former, and of several equal lengths all but one. What reads such
//! a request otherwise would find another request in its body. So each head is kept back until it is whole
//! and sound, and hyper gets no byte beyond the one request that it announces.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{ready, Context, Poll};
use std::time::Instant;

use bytes::{Buf, BytesMut};
use hyper::StatusCode;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::client_connection::{ClientConnection, DisconnectCheck};
use crate::early_rejection::EarlyRejection;
use crate::interrupted::retry_interrupted;

pub const MAX_BODY_BYTES: u64 = 64 << 10;
/// Heads are kept in memory for each connection, and memory may be 32 MB for hundreds of them.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 100;
/// The largest number of reads in one check for a client's disconnection: a client that writes without end is there.
const MAX_CHECK_READS: usize = 16;

const TOO_LARGE: EarlyRejection =
    EarlyRejection::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head over 16 KiB");
const MALFORMED: EarlyRejection = EarlyRejection::new(StatusCode::BAD_REQUEST, "malformed head");
const BAD_LENGTH: EarlyRejection =
    EarlyRejection::new(StatusCode::BAD_REQUEST, "content-length: must be one whole number");
const BAD_ENCODING: EarlyRejection =
    EarlyRejection::new(StatusCode::BAD_REQUEST, "transfer-encoding: must be chunked, once");
const TWO_FRAMINGS: EarlyRejection =
    EarlyRejection::new(StatusCode::BAD_REQUEST, "content-length and transfer-encoding");

/// The stream of one client as hyper sees it. Its clones are the same stream.
#[derive(Clone)]
pub struct ClientStream(Arc<Mutex<RequestReader>>);

struct RequestReader {
    stream: TcpStream,
    client_connection: Arc<ClientConnection>,
    buffer: BytesMut,
    /// How many bytes, from the start of the buffer on, belong to the request that hyper may see.
    pass: u64,
    /// How much of the buffer has been looked at in vain for a head.
    looked: usize,
    ended: bool,
}

impl ClientStream {
    pub fn new(stream: TcpStream, client_connection: Arc<ClientConnection>) -> ClientStream {
        let request_reader = RequestReader {
            stream,
            client_connection: client_connection.clone(),
            buffer: BytesMut::new(),
            pass: 0,
            looked: 0,
            ended: false,
        };
        let request_reader = Arc::new(Mutex::new(request_reader));
        let check: Weak<Mutex<RequestReader>> = Arc::downgrade(&request_reader);
        client_connection.set_disconnect_check(check);
        ClientStream(request_reader)
    }

    fn request_reader(&self) -> MutexGuard<'_, RequestReader> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the end of the client's stream has been read.
    pub fn has_ended(&self) -> bool {
        self.request_reader().ended
    }

    /// Is ready once the client has disconnected while its job is under way. hyper cannot tell where anything lies unread
    /// behind the request, and then reads no further.
    pub fn poll_gone(&self, cx: &mut Context) -> Poll<()> {
        let mut request_reader = self.request_reader();
        while !request_reader.ended && request_reader.passed() {
            if ready!(request_reader.fill(cx)).is_err() {
                request_reader.ended = true;
            }
            request_reader.drop_excess();
        }
        if request_reader.ended && request_reader.passed() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// Reads and discards; returns how many bytes, or 0 at the end.
    pub fn poll_discard(&self, cx: &mut Context) -> Poll<io::Result<usize>> {
        let mut request_reader = self.request_reader();
        request_reader.buffer.clear();
        ready!(request_reader.fill(cx))?;
        Poll::Ready(Ok(request_reader.buffer.len()))
    }
}

impl DisconnectCheck for Mutex<RequestReader> {
    fn has_disconnected(&self) -> bool {
        self.lock().unwrap_or_else(PoisonError::into_inner).poll_socket()
    }
}

impl RequestReader {
    /// Returns whether all of a request has come that has no answer yet.
    fn passed(&self) -> bool {
        self.client_connection.state().passed
    }

    /// So much ahead of its turn is no request of a client that waits for answers.
    fn drop_excess(&mut self) {
        if self.buffer.len() > MAX_HEAD_BYTES {
            (self.buffer, self.looked) = (BytesMut::new(), 0);
            self.client_connection.state().last = true;
        }
    }

    /// Returns whether the client of a job that is under way has disconnected. Reads what the kernel has, whether or not the runtime has
    /// been notified of it yet; what is not the end of the stream is kept for the next call.
    fn poll_socket(&mut self) -> bool {
        let mut space = [0; 8 << 10];
        for _ in 0..MAX_CHECK_READS {
            if self.ended || !self.passed() {
                break;
            }
            match (&*SockRef::from(&self.stream)).read(&mut space) {
                Ok(0) => self.ended = true,
                Ok(n) => {
                    self.buffer.extend_from_slice(&space[..n]);
                    self.drop_excess();
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
        self.ended
    }

    /// Reads once from the stream.
    fn fill(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut space = [0; 8 << 10];
        let mut read = ReadBuf::new(&mut space);
        ready!(retry_interrupted(|| Pin::new(&mut self.stream).poll_read(cx, &mut read)))?;
        self.ended = read.filled().is_empty();
        self.buffer.extend_from_slice(read.filled());
        Poll::Ready(Ok(()))
    }

    /// Looks for a complete head at the start of the buffer, and lets it and its body pass to hyper.
    fn head(&mut self) {
        let blank = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        if self.looked == 0 {
            self.buffer.advance(blank);
        }
        let mut state = self.client_connection.state();
        if !self.buffer.is_empty() && !state.busy {
            state.begun = true;
            state.reading.get_or_insert_with(Instant::now);
        }
        // Parsed anew at each byte, a head that drips in would take the processor for itself.
        let new = &self.buffer[self.looked..];
        if new.is_empty() || self.looked > 0 && !new.contains(&b'\n') && self.buffer.len() < MAX_HEAD_BYTES {
            return;
        }
        self.looked = self.buffer.len();
        match framing(&self.buffer) {
            Ok(Some((head, Body::Length(length)))) => {
                self.pass = head as u64 + length;
                if length > MAX_BODY_BYTES {
                    (self.pass, state.last) = (u64::MAX, true);
                }
            }
            // Where such a body ends is for hyper to say: nothing behind it is read.
            Ok(Some((_, Body::Chunked))) => (self.pass, state.last) = (u64::MAX, true),
            Ok(None) if self.buffer.len() < MAX_HEAD_BYTES => {}
            Ok(None) => state.rejection = Some(TOO_LARGE),
            Err(refusal) => state.rejection = Some(refusal),
        }
    }
}

enum Body {
    Length(u64),
    Chunked,
}

/// Returns the length of the head with which the bytes begin, and its body; `None` while the head is not complete.
fn framing(bytes: &[u8]) -> Result<Option<(usize, Body)>, EarlyRejection> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(TOO_LARGE),
        Err(_) => return Err(MALFORMED),
    };
    let (mut length, mut chunked) = (None, false);
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = std::str::from_utf8(header.value).ok();
            let digits = digits.filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
            let value = digits.and_then(|text| text.parse().ok()).ok_or(BAD_LENGTH)?;
            if length.replace(value).is_some() {
                return Err(BAD_LENGTH);
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding")
            && (!header.value.eq_ignore_ascii_case(b"chunked") || std::mem::replace(&mut chunked, true))
        {
            return Err(BAD_ENCODING);
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(TWO_FRAMINGS),
        (_, true) => Ok(Some((head, Body::Chunked))),
        (length, _) => Ok(Some((head, Body::Length(length.unwrap_or(0))))),
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, out: &mut ReadBuf) -> Poll<io::Result<()>> {
        let reader = &mut *self.request_reader();
        loop {
            if reader.passed() {
                // What comes now is for the next call, and an end is for `poll_gone` to see.
                reader.client_connection.state().reader = Some(cx.waker().clone());
                return Poll::Pending;
            }
            if reader.pass == 0 {
                reader.head();
            }
            if reader.client_connection.rejection().is_some() {
                // An error would also break off the call that is under way before it.
                let broken = Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                return if reader.client_connection.is_busy() { Poll::Pending } else { broken };
            }
            if reader.pass > 0 && !reader.buffer.is_empty() {
                let most = reader.buffer.len().min(out.remaining());
                let n = most.min(usize::try_from(reader.pass).unwrap_or(usize::MAX));
                out.put_slice(&reader.buffer[..n]);
                reader.buffer.advance(n);
                reader.pass -= n as u64;
                reader.looked = 0;
                if reader.pass == 0 {
                    let mut state = reader.client_connection.state();
                    (state.reading, state.begun, state.passed) = (None, false, true);
                    state.idle_since = Instant::now();
                }
                if reader.buffer.is_empty() {
                    reader.buffer = BytesMut::new();
                }
                return Poll::Ready(Ok(()));
            }
            if reader.ended {
                return Poll::Ready(Ok(()));
            }
            ready!(reader.fill(cx))?;
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut request_reader = self.request_reader();
        let written = retry_interrupted(|| Pin::new(&mut request_reader.stream).poll_write(cx, bytes));
        request_reader.client_connection.state().stuck = written.is_pending();
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let mut request_reader = self.request_reader();
        let written =
            retry_interrupted(|| Pin::new(&mut request_reader.stream).poll_write_vectored(cx, bytes));
        request_reader.client_connection.state().stuck = written.is_pending();
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.request_reader().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.request_reader().stream).poll_shutdown(cx)
    }
}
