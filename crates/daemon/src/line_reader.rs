//! Reads the lines of a streamed response as they arrive.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use thiserror::Error;
use tokio::time::timeout;

use crate::connection::MAX_READ_BUFFER_BYTES;
use crate::result_memory::{ResultMemory, ResultMemoryGrant, MAX_WORKER_STALL, SHORT_LINE_BYTES};

/// Why the next line of a response could not be read.
#[derive(Debug, Error)]
pub enum LineError {
    /// A line has more bytes than allowed.
    #[error("line longer than {0} bytes")]
    TooLong(usize),
    /// A long line made no progress while others needed its memory.
    #[error("a long line made no progress while others waited for memory")]
    Stalled,
    /// The response was aborted.
    #[error(transparent)]
    Body(#[from] hyper::Error),
}

/// Reads the lines of a streamed response.
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    /// The length of the buffer's start that contains no line end.
    searched: usize,
    /// A frame that has arrived and has not been copied into the buffer. It needs no memory of its own: it is a
    /// part of the connection's read buffer.
    unread_frame: Bytes,
    max_bytes: usize,
    /// The memory that a long line needs; `None` if the memory of long lines is not bounded here.
    result_memory: Option<ResultMemory>,
    /// The memory of the present line, if it is long.
    grant: Option<ResultMemoryGrant>,
}

impl LineReader {
    /// Creates a reader of a response whose lines have at most `max_bytes`.
    pub fn new(body: Incoming, max_bytes: usize) -> Self {
        LineReader {
            body,
            buffer: BytesMut::new(),
            searched: 0,
            unread_frame: Bytes::new(),
            max_bytes,
            result_memory: None,
            grant: None,
        }
    }

    /// Returns the reader with long lines bounded by this memory.
    pub fn with_result_memory(self, result_memory: ResultMemory) -> Self {
        LineReader { result_memory: Some(result_memory), ..self }
    }

    /// Takes the memory of the line that was returned last, if it was long. Otherwise the next call of
    /// [`LineReader::next_line`] gives the memory back.
    pub fn take_grant(&mut self) -> Option<ResultMemoryGrant> {
        self.grant.take()
    }

    /// Returns the next line without its line end; `None` when the response has ended normally. Cancellation
    /// safe.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is too long, stalls while others need its memory, or the response is aborted.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, LineError> {
        if self.searched == 0 {
            self.grant = None;
        }
        loop {
            if let Some(end) = self.buffer[self.searched..].iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(self.searched + end).freeze();
                self.buffer.advance(1);
                self.end_line();
                return Ok(Some(line));
            }
            self.searched = self.buffer.len();
            if self.searched > self.max_bytes {
                return Err(LineError::TooLong(self.max_bytes));
            }
            if !self.unread_frame.is_empty() {
                self.read_frame().await;
                continue;
            }
            match self.next_frame().await? {
                Some(Ok(frame)) => self.unread_frame = frame.into_data().unwrap_or_default(),
                Some(Err(error)) => return Err(error.into()),
                None if self.buffer.is_empty() => return Ok(None),
                None => {
                    let line = self.buffer.split().freeze();
                    self.end_line();
                    return Ok(Some(line));
                }
            }
        }
    }

    /// Prepares for the next line. An empty buffer is replaced, so that the line alone keeps its memory.
    fn end_line(&mut self) {
        self.searched = 0;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Moves the unread frame into the buffer, up to the end of the present line. Waits for memory if the line is
    /// long.
    async fn read_frame(&mut self) {
        let line_end = self.unread_frame.iter().position(|b| *b == b'\n');
        let length = line_end.map_or(self.unread_frame.len(), |end| end + 1);
        self.acquire_memory(self.buffer.len() + length).await;
        self.buffer.extend_from_slice(&self.unread_frame.split_to(length));
        if self.unread_frame.is_empty() {
            // The frame keeps the connection's read buffer alive.
            self.unread_frame = Bytes::new();
        }
    }

    /// Waits for memory if the present line, with a length of at least `line_bytes`, is long and has none.
    async fn acquire_memory(&mut self, line_bytes: usize) {
        let Some(result_memory) = &self.result_memory else { return };
        if self.grant.is_some() || line_bytes <= SHORT_LINE_BYTES {
            return;
        }
        let buffer_bytes = self.max_bytes + MAX_READ_BUFFER_BYTES;
        self.grant = result_memory.acquire(buffer_bytes).await;
        // Allocated at once: a buffer that doubles would become larger.
        self.buffer.reserve(buffer_bytes - self.buffer.len());
    }

    /// Returns the next frame of the response; `None` at its end.
    async fn next_frame(&mut self) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, LineError> {
        let Some(result_memory) = self.result_memory.as_ref().filter(|_| self.grant.is_some()) else {
            return Ok(self.body.frame().await);
        };
        loop {
            match timeout(MAX_WORKER_STALL, self.body.frame()).await {
                Ok(frame) => return Ok(frame),
                Err(_) if result_memory.is_awaited() => return Err(LineError::Stalled),
                Err(_) => {}
            }
        }
    }
}
