//! Reads the lines of a streamed response as they arrive.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use crate::long_lines::{LongLinePermits, MAX_STALL, SHORT_LINE_BYTES};

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
    max_bytes: usize,
    /// The permits that a long line needs; `None` if the memory of long lines is not bounded here.
    long_lines: Option<LongLinePermits>,
    /// The permit of the present line, if it is long.
    permit: Option<OwnedSemaphorePermit>,
}

impl LineReader {
    /// Creates a reader of a response whose lines have at most `max_bytes`.
    pub fn new(body: Incoming, max_bytes: usize) -> Self {
        LineReader { body, buffer: BytesMut::new(), searched: 0, max_bytes, long_lines: None, permit: None }
    }

    /// Returns the reader with long lines bounded by these permits.
    pub fn with_permits(self, long_lines: LongLinePermits) -> Self {
        LineReader { long_lines: Some(long_lines), ..self }
    }

    /// Returns the next line without its line end; `None` when the response has ended normally. The permit of a
    /// long line is kept until the next call. Cancellation safe.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is too long, stalls while others need its memory, or the response is aborted.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, LineError> {
        if self.searched == 0 {
            self.permit = None;
        }
        loop {
            if let Some(end) = self.buffer[self.searched..].iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(self.searched + end).freeze();
                self.buffer.advance(1);
                self.searched = 0;
                return Ok(Some(line));
            }
            self.searched = self.buffer.len();
            if self.searched > self.max_bytes {
                return Err(LineError::TooLong(self.max_bytes));
            }
            self.acquire_permit().await;
            match self.next_frame().await? {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(error.into()),
                None if self.buffer.is_empty() => return Ok(None),
                None => {
                    self.searched = 0;
                    return Ok(Some(self.buffer.split().freeze()));
                }
            }
        }
    }

    /// Waits for a permit if the present line is long and has none.
    async fn acquire_permit(&mut self) {
        let Some(long_lines) = &self.long_lines else { return };
        if self.permit.is_some() || self.buffer.len() <= SHORT_LINE_BYTES {
            return;
        }
        self.permit = long_lines.acquire().await;
        // Allocated at once: a buffer that doubles would become larger.
        self.buffer.reserve(self.max_bytes + SHORT_LINE_BYTES - self.buffer.len());
    }

    /// Returns the next frame of the response; `None` at its end.
    async fn next_frame(&mut self) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, LineError> {
        let Some(long_lines) = self.long_lines.as_ref().filter(|_| self.permit.is_some()) else {
            return Ok(self.body.frame().await);
        };
        loop {
            match timeout(MAX_STALL, self.body.frame()).await {
                Ok(frame) => return Ok(frame),
                Err(_) if long_lines.are_awaited() => return Err(LineError::Stalled),
                Err(_) => {}
            }
        }
    }
}
