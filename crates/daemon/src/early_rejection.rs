//! Rejections of requests that hyper never gets to see.

use hyper::StatusCode;

/// Why a request is rejected by its bytes, its slowness or a lack of connections, before it is parsed as HTTP.
#[derive(Clone, Copy)]
pub struct EarlyRejection {
    /// The status of the response.
    pub status: StatusCode,
    /// The text of the response, which names the reason.
    pub reason: &'static str,
}

impl EarlyRejection {
    /// Creates a rejection with this status and text.
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        EarlyRejection { status, reason }
    }

    /// Returns the complete response on the wire, which announces that the connection is closed.
    pub fn to_bytes(self) -> Vec<u8> {
        let EarlyRejection { status, reason } = self;
        let length = reason.len() + "\n".len();
        format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{reason}\n")
            .into_bytes()
    }
}
