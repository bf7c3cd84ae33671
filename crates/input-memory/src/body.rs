//! Reads a body into one buffer.

use std::future::poll_fn;
use std::pin::Pin;

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame};
use thiserror::Error;

use crate::account::MemoryAccount;
use crate::budget::BudgetExceeded;

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

/// Reads a body as [`read_body`] does, within a memory budget. `extra_bytes` is for what else the body occupies
/// meanwhile. A body that needs to be charged is charged for its whole length, or for `max_bytes` if its length
/// is not announced, before its buffer grows: a body that waits for memory thus holds none.
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
    // Nothing is read before there is memory for all of it: a frame would keep its buffer meanwhile.
    let announced_bytes = body.size_hint().lower() as usize;
    if announced_bytes <= max_bytes && announced_bytes + extra_bytes > account.free_bytes() {
        account.resize_when_free(announced_bytes + extra_bytes).await?;
    }
    read_frames(body, max_bytes, Some((account, extra_bytes))).await
}

/// Returns the next frame, and records in the account whether it had to be awaited.
async fn next_frame<B: Body + Unpin>(
    body: &mut B,
    account: Option<&MemoryAccount>,
) -> Option<Result<Frame<B::Data>, B::Error>> {
    let mut body = Pin::new(body);
    poll_fn(|cx| {
        let frame = body.as_mut().poll_frame(cx);
        match account {
            Some(account) if frame.is_pending() => account.record_stall(),
            Some(account) => account.record_progress(),
            None => {}
        }
        frame
    })
    .await
}

async fn read_frames<B: Body + Unpin>(
    mut body: B,
    max_bytes: usize,
    charged: Option<(&MemoryAccount, usize)>,
) -> Result<Bytes, BodyError<B::Error>> {
    let expected_bytes = body.size_hint().exact().map_or(max_bytes, |bytes| bytes as usize).min(max_bytes);
    let mut buffer = Vec::new();
    while let Some(frame) = next_frame(&mut body, charged.map(|(account, _)| account)).await {
        let Ok(mut data) = frame.map_err(BodyError::Transport)?.into_data() else { continue };
        let length = buffer.len() + data.remaining();
        if length > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        if length > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(INITIAL_CAPACITY_BYTES);
            let capacity = doubled.min(expected_bytes).max(length);
            if let Some((account, extra_bytes)) = charged {
                let is_free = capacity + extra_bytes <= account.free_bytes();
                let bytes = if is_free { capacity } else { capacity.max(expected_bytes) };
                account.resize_when_free(bytes + extra_bytes).await?;
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
