//! What the stand-ins need of HTTP/1.1: bodies that stream, answers, and reading a small body.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Response, StatusCode};
use nickelflow_input_memory::read_body;
use tokio::sync::mpsc;

pub type Body = BoxBody<Bytes, Infallible>;

/// The longest body that a stand-in reads.
const LONGEST: usize = 64 << 10;

/// An answer with a whole body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut answer = Response::new(Full::new(body.into()).boxed());
    *answer.status_mut() = status;
    answer
}

/// An answer whose pieces come from a channel, until that closes.
pub fn streamed(pieces: mpsc::Receiver<Bytes>) -> Response<Body> {
    Response::new(BodyExt::boxed(StreamBody::new(Pieces(pieces))))
}

struct Pieces(mpsc::Receiver<Bytes>);

impl futures_core::Stream for Pieces {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx).map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

/// Reads a body to its end; `None` if it breaks or is too long.
pub async fn whole(body: Incoming) -> Option<Bytes> {
    read_body(body, LONGEST).await.ok()
}
