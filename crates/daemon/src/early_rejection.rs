//! Rejections of requests that are never passed to hyper.

use hyper::StatusCode;

/// The rejection of a request before hyper parses it: its head is invalid, it arrives too slowly, or no
/// connection slot is available.
#[derive(Clone, Copy)]
pub struct EarlyRejection {
    /// The status of the response.
    pub status: StatusCode,
    /// The reason, which is the body of the response.
    pub reason: &'static str,
}

impl EarlyRejection {
    /// Creates a rejection with this status and reason.
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        EarlyRejection { status, reason }
    }

    /// Returns the bytes of the complete response, which announces that the connection is closed.
    pub fn to_bytes(self) -> Vec<u8> {
        let EarlyRejection { status, reason } = self;
        let length = reason.len() + "\n".len();
        format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{reason}\n")
            .into_bytes()
    }
}
