//! Reads a body into one buffer.

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

use crate::budget::{BudgetExceeded, MemoryAccount};

/// The capacity of a buffer when its first bytes arrive.
const INITIAL_CAPACITY_BYTES: usize = 1 << 10;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The memory budget has no room for the body.
    #[error(transparent)]
    BudgetExceeded(#[from] BudgetExceeded),
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
pub async fn read_body<B: Body + Unpin>(body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>> {
    read_frames(body, max_bytes, None).await
}

/// Reads a body as [`read_body`] does, within a memory budget. The capacity of the buffer and `extra_bytes`, for
/// what else the body occupies meanwhile, are charged to `account` before the buffer is allocated or grows.
///
/// # Errors
///
/// Returns an error if the body is too large or cannot be received, or if the budget has no room for it.
pub async fn read_body_within<B: Body + Unpin>(
    body: B,
    max_bytes: usize,
    account: &MemoryAccount,
    extra_bytes: usize,
) -> Result<Bytes, BodyError<B::Error>> {
    account.resize_when_free(extra_bytes).await?;
    read_frames(body, max_bytes, Some((account, extra_bytes))).await
}

async fn read_frames<B: Body + Unpin>(
    mut body: B,
    max_bytes: usize,
    charged: Option<(&MemoryAccount, usize)>,
) -> Result<Bytes, BodyError<B::Error>> {
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
            if let Some((account, extra_bytes)) = charged {
                account.resize_when_free(capacity + extra_bytes).await?;
            }
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
