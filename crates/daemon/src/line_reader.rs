//! The lines of an answer, as they come.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The lines of an answer, as they come.
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    searched: usize,
    longest: usize,
}

impl LineReader {
    pub fn new(body: Incoming, longest: usize) -> Self {
        LineReader { body, buffer: BytesMut::new(), searched: 0, longest }
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
