//! The lines of a streamed response, as they arrive.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Why the next line of a response could not be read.
#[derive(Debug, Error)]
pub enum LineError {
    /// A line is too long.
    #[error("a line of more than {0} bytes")]
    TooLong(usize),
    /// The response broke off.
    #[error(transparent)]
    Body(#[from] hyper::Error),
}

/// Reads the lines of a streamed response.
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    searched: usize,
    max_bytes: usize,
}

impl LineReader {
    /// Creates a reader of a response whose lines have at most `max_bytes`.
    pub fn new(body: Incoming, max_bytes: usize) -> Self {
        LineReader { body, buffer: BytesMut::new(), searched: 0, max_bytes }
    }

    /// Returns the next line without its end; `None` when the response has properly ended. Cancellation safe.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is too long or the response breaks off.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, LineError> {
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
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(e)) => return Err(e.into()),
                None if self.buffer.is_empty() => return Ok(None),
                None => {
                    self.searched = 0;
                    return Ok(Some(self.buffer.split().freeze()));
                }
            }
        }
    }
}
