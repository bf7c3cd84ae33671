//! Reads a body into one buffer.

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

/// The capacity of a buffer when its first bytes arrive.
const INITIAL_CAPACITY_BYTES: usize = 1 << 10;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body could not be received.
    #[error("{0}")]
    Transport(E),
}

/// Reads a body of at most `max_bytes` into one buffer of at most `max_bytes`, however small the frames of the
/// body are. Trailers are dropped.
///
/// # Errors
///
/// Returns an error if the body is too large or cannot be received.
pub async fn read_body<B: Body + Unpin>(mut body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>> {
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.map_err(BodyError::Transport)?.into_data() else { continue };
        let length = buffer.len() + data.remaining();
        if length > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        if length > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(INITIAL_CAPACITY_BYTES);
            let capacity = length.max(doubled).min(max_bytes);
            buffer.reserve_exact(capacity - buffer.len());
        }
        while data.has_remaining() {
            let chunk = data.chunk();
            let chunk_length = chunk.len();
            buffer.extend_from_slice(chunk);
            data.advance(chunk_length);
        }
    }
    buffer.shrink_to_fit();
    Ok(Bytes::from(buffer))
}
