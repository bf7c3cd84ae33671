//! Checks the bytes of a client's requests before hyper parses them.
//!
//! hyper hides some ambiguities of a request from the service: if `Content-Length` and `Transfer-Encoding`
//! are both present, hyper drops `Content-Length`, and of several equal `Content-Length` headers hyper drops
//! all but one header. An intermediary that resolves an ambiguous request differently would find a second
//! request in the body of the ambiguous request (request smuggling). So the reader holds back each head until
//! the head is complete and valid, and hyper receives no byte beyond the request that the head announces.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{ready, Context, Poll};
use std::time::Instant;

use bytes::{Buf, BytesMut};
use hyper::StatusCode;
use nickelflow_input_memory::MemoryAccount;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::client_connection::{ClientConnection, DisconnectCheck};
use crate::early_rejection::EarlyRejection;
use crate::interrupted::retry_interrupted;

/// The largest body of a request.
pub const MAX_BODY_BYTES: u64 = 64 << 10;
/// The largest head of a request. Each connection buffers the head of a request, and the process may have
/// 32 MB for hundreds of connections.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 100;
/// How much is read at once.
const READ_BYTES: usize = 4 << 10;
/// How much hyper receives at once. hyper enlarges its buffers for larger reads.
const MAX_FORWARDED_BYTES: usize = 4 << 10;
/// The largest number of reads in one check for a client's disconnection: a client that keeps writing is
/// connected.
const MAX_CHECK_READS: usize = 16;

const TOO_LARGE: EarlyRejection =
    EarlyRejection::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head over 16 KiB");
/// The rejection of a request that the memory budget has no room for.
pub const OUT_OF_MEMORY: EarlyRejection =
    EarlyRejection::new(StatusCode::SERVICE_UNAVAILABLE, "out of memory for input");
const MALFORMED: EarlyRejection = EarlyRejection::new(StatusCode::BAD_REQUEST, "malformed head");
const BAD_LENGTH: EarlyRejection =
    EarlyRejection::new(StatusCode::BAD_REQUEST, "content-length: must be one whole number");
const BAD_ENCODING: EarlyRejection =
    EarlyRejection::new(StatusCode::BAD_REQUEST, "transfer-encoding: must be chunked, once");
const CONFLICTING_FRAMING: EarlyRejection =
    EarlyRejection::new(StatusCode::BAD_REQUEST, "content-length and transfer-encoding");

/// The stream of one client as hyper sees it. Clones share the stream.
#[derive(Clone)]
pub struct ClientStream(Arc<Mutex<RequestReader>>);

struct RequestReader {
    stream: TcpStream,
    client_connection: Arc<ClientConnection>,
    buffer: BytesMut,
    /// The account of the buffer.
    input_memory: MemoryAccount,
    /// The number of bytes, buffered or still to come, that belong to the request that hyper may read.
    forwardable_bytes: u64,
    /// The number of bytes at the start of the buffer that were searched without finding a complete head.
    searched: usize,
    /// The number of bytes of blank lines that came before the present head.
    blank_bytes: usize,
    has_ended: bool,
}

impl ClientStream {
    /// Creates the stream and registers its check for the client's disconnection. `input_memory` is the
    /// account of the input that is buffered.
    pub fn new(
        stream: TcpStream,
        client_connection: Arc<ClientConnection>,
        input_memory: MemoryAccount,
    ) -> ClientStream {
        let request_reader = RequestReader {
            stream,
            client_connection: client_connection.clone(),
            buffer: BytesMut::new(),
            input_memory,
            forwardable_bytes: 0,
            searched: 0,
            blank_bytes: 0,
            has_ended: false,
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
        self.request_reader().has_ended
    }

    /// Completes when the client has disconnected while a job of the client is in flight. When unread bytes
    /// follow the request, hyper stops reading, so hyper cannot detect the disconnect.
    pub fn poll_disconnected(&self, cx: &mut Context) -> Poll<()> {
        let mut request_reader = self.request_reader();
        while !request_reader.has_ended && request_reader.awaits_response() {
            ready!(request_reader.poll_reserve(cx));
            if ready!(request_reader.fill_buffer(cx)).is_err() {
                request_reader.has_ended = true;
            }
            request_reader.discard_excess();
        }
        if request_reader.has_ended && request_reader.awaits_response() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// Reads and discards input. Returns the number of bytes read, or 0 at the end of the stream.
    pub fn poll_discard(&self, cx: &mut Context) -> Poll<io::Result<usize>> {
        let mut request_reader = self.request_reader();
        request_reader.buffer = BytesMut::new();
        request_reader.charge_buffer();
        ready!(request_reader.fill_buffer(cx))?;
        Poll::Ready(Ok(request_reader.buffer.len()))
    }
}

impl DisconnectCheck for Mutex<RequestReader> {
    fn has_disconnected(&self) -> bool {
        self.lock().unwrap_or_else(PoisonError::into_inner).check_disconnected()
    }
}

impl RequestReader {
    /// Returns whether a request has arrived completely and its response is not complete yet.
    fn awaits_response(&self) -> bool {
        self.client_connection.state().awaits_response
    }

    /// Discards pipelined input of more than [`MAX_HEAD_BYTES`]: a client that waits for responses does not
    /// send more than [`MAX_HEAD_BYTES`] ahead.
    fn discard_excess(&mut self) {
        if self.buffer.len() > MAX_HEAD_BYTES {
            self.discard_pipelined();
        }
    }

    /// Discards the input behind the current request. The connection closes after the current request.
    fn discard_pipelined(&mut self) {
        (self.buffer, self.searched) = (BytesMut::new(), 0);
        self.client_connection.state().closes_after_request = true;
        self.charge_buffer();
    }

    /// Charges the memory of the buffer. Input that the memory budget has no room for is given up.
    fn charge_buffer(&mut self) {
        if self.input_memory.resize(self.buffer.capacity()).is_err() {
            self.give_up_input();
        }
    }

    /// Charges the memory that the buffer has after the next read, as soon as that memory is free. Input that
    /// the memory budget has no room for is given up.
    fn poll_reserve(&mut self, cx: &mut Context) -> Poll<()> {
        if ready!(self.input_memory.poll_resize(self.buffer.len() + self.next_read_bytes(), cx)).is_err() {
            self.give_up_input();
        }
        Poll::Ready(())
    }

    /// Discards what is buffered: pipelined input, or a request that has not arrived completely, which is
    /// rejected.
    fn give_up_input(&mut self) {
        if self.buffer.is_empty() {
            return;
        }
        if self.awaits_response() {
            return self.discard_pipelined();
        }
        (self.buffer, self.searched) = (BytesMut::new(), 0);
        self.client_connection.state().rejection.get_or_insert(OUT_OF_MEMORY);
    }

    /// Returns whether the client of a job that is in flight has disconnected. Reads the input that the
    /// kernel has buffered, whether or not the runtime has been notified of the input. Bytes that are read
    /// are kept for the next call of the service.
    fn check_disconnected(&mut self) -> bool {
        let mut chunk = [0; READ_BYTES];
        for _ in 0..MAX_CHECK_READS {
            if self.has_ended || !self.awaits_response() {
                break;
            }
            match (&*SockRef::from(&self.stream)).read(&mut chunk) {
                Ok(0) => self.has_ended = true,
                Ok(n) => {
                    self.buffer.extend_from_slice(&chunk[..n]);
                    self.charge_buffer();
                    self.discard_excess();
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.has_ended = true,
            }
        }
        self.has_ended
    }

    /// Returns how much the next read takes at most: up to the next multiple of [`READ_BYTES`], so that a
    /// request that arrives in pieces needs no more memory than one that arrives at once.
    fn next_read_bytes(&self) -> usize {
        READ_BYTES - self.buffer.len() % READ_BYTES
    }

    /// Reads once from the stream.
    fn poll_stream(&mut self, cx: &mut Context, read: &mut ReadBuf) -> Poll<io::Result<()>> {
        let result = retry_interrupted(|| Pin::new(&mut self.stream).poll_read(cx, read));
        if result.is_pending() {
            self.client_connection.state().record_stall();
            self.input_memory.record_stall();
        } else {
            self.input_memory.record_progress();
        }
        result
    }

    /// Reads once from the stream into the buffer.
    fn fill_buffer(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_BYTES];
        let mut read = ReadBuf::new(&mut chunk[..self.next_read_bytes()]);
        ready!(self.poll_stream(cx, &mut read))?;
        self.has_ended = read.filled().is_empty();
        self.buffer.extend_from_slice(read.filled());
        Poll::Ready(Ok(()))
    }

    /// Returns how many bytes hyper may receive at once now.
    fn max_forwarded(&self, output: &ReadBuf) -> usize {
        let forwardable = usize::try_from(self.forwardable_bytes).unwrap_or(usize::MAX);
        forwardable.min(output.remaining()).min(MAX_FORWARDED_BYTES)
    }

    /// Passes buffered bytes of the request on to hyper.
    fn forward_buffered(&mut self, output: &mut ReadBuf) {
        let length = self.buffer.len().min(self.max_forwarded(output));
        output.put_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        self.searched = 0;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.charge_buffer();
        }
        self.record_forwarded(length);
    }

    /// Reads the rest of the request from the stream, and passes it on to hyper without buffering it.
    fn forward_from_stream(&mut self, cx: &mut Context, output: &mut ReadBuf) -> Poll<io::Result<()>> {
        let mut chunk = [0; MAX_FORWARDED_BYTES];
        let mut read = ReadBuf::new(&mut chunk[..self.max_forwarded(output)]);
        ready!(self.poll_stream(cx, &mut read))?;
        self.has_ended = read.filled().is_empty();
        output.put_slice(read.filled());
        self.record_forwarded(read.filled().len());
        Poll::Ready(Ok(()))
    }

    /// Counts bytes of the request that hyper has received. After the last one, the request awaits its response.
    fn record_forwarded(&mut self, length: usize) {
        self.forwardable_bytes -= length as u64;
        let mut state = self.client_connection.state();
        state.record_input();
        if self.forwardable_bytes == 0 {
            (state.request_started_at, state.has_request_bytes, state.awaits_response) = (None, false, true);
            state.idle_since = Instant::now();
        }
    }

    /// Discards blank lines in front of a head.
    fn skip_blank_lines(&mut self) {
        if self.searched == 0 {
            let blank_bytes = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            self.buffer.advance(blank_bytes);
            self.blank_bytes += blank_bytes;
        }
    }

    /// Searches the start of the buffer for a complete head, and releases the head and the body of the
    /// request to hyper.
    fn parse_next_head(&mut self) {
        self.skip_blank_lines();
        let mut state = self.client_connection.state();
        if self.blank_bytes > MAX_HEAD_BYTES {
            // Nothing but blank lines would otherwise be read at full speed for as long as a connection may be idle.
            state.rejection = Some(TOO_LARGE);
            return;
        }
        if !self.buffer.is_empty() && !state.has_active_call {
            state.has_request_bytes = true;
            state.record_input();
            state.request_started_at.get_or_insert_with(Instant::now);
        }
        // Parsing again after each byte would let a head that arrives byte by byte use up the processor.
        let unsearched = &self.buffer[self.searched..];
        if unsearched.is_empty()
            || self.searched > 0 && !unsearched.contains(&b'\n') && self.buffer.len() < MAX_HEAD_BYTES
        {
            return;
        }
        self.searched = self.buffer.len();
        self.blank_bytes = 0;
        match parse_framing(&self.buffer) {
            Ok(Some((head, BodyFraming::Length(length)))) => {
                self.forwardable_bytes = head as u64 + length;
                if length > MAX_BODY_BYTES {
                    (self.forwardable_bytes, state.closes_after_request) = (u64::MAX, true);
                }
            }
            // Only hyper knows where a chunked body ends, so no bytes after a chunked body are read, and the
            // connection closes.
            Ok(Some((_, BodyFraming::Chunked))) => {
                (self.forwardable_bytes, state.closes_after_request) = (u64::MAX, true)
            }
            Ok(None) if self.buffer.len() < MAX_HEAD_BYTES => {}
            Ok(None) => state.rejection = Some(TOO_LARGE),
            Err(rejection) => state.rejection = Some(rejection),
        }
    }
}

/// How the end of a request body is determined.
enum BodyFraming {
    /// The body has this number of bytes.
    Length(u64),
    /// The body has the chunked transfer encoding.
    Chunked,
}

/// Returns the length of the head at the start of the bytes and the framing of the body; `None` while the
/// head is not complete.
fn parse_framing(bytes: &[u8]) -> Result<Option<(usize, BodyFraming)>, EarlyRejection> {
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
        (Some(_), true) => Err(CONFLICTING_FRAMING),
        (_, true) => Ok(Some((head, BodyFraming::Chunked))),
        (length, _) => Ok(Some((head, BodyFraming::Length(length.unwrap_or(0))))),
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, output: &mut ReadBuf) -> Poll<io::Result<()>> {
        let reader = &mut *self.request_reader();
        loop {
            if reader.input_memory.poll_evicted(cx).is_ready() {
                reader.give_up_input();
            }
            if reader.awaits_response() {
                // Bytes that arrive now belong to the next call of the service, and `poll_disconnected`
                // detects the end of the stream.
                reader.client_connection.state().reader_waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            if reader.forwardable_bytes == 0 {
                reader.parse_next_head();
            }
            if reader.client_connection.rejection().is_some() {
                // An error from the stream would also abort the call in flight for the preceding request.
                let invalid = Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                return if reader.client_connection.has_active_call() { Poll::Pending } else { invalid };
            }
            if reader.forwardable_bytes > 0 && !reader.buffer.is_empty() {
                reader.forward_buffered(output);
                return Poll::Ready(Ok(()));
            }
            if reader.has_ended {
                return Poll::Ready(Ok(()));
            }
            if reader.forwardable_bytes > 0 {
                return reader.forward_from_stream(cx, output);
            }
            ready!(reader.poll_reserve(cx));
            ready!(reader.fill_buffer(cx))?;
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut request_reader = self.request_reader();
        let written = retry_interrupted(|| Pin::new(&mut request_reader.stream).poll_write(cx, bytes));
        request_reader.client_connection.state().record_write(written.is_pending());
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
        request_reader.client_connection.state().record_write(written.is_pending());
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
