//! Retries system calls that a signal interrupted: an interruption says nothing about the connection.

use std::io;
use std::task::Poll;

/// Returns the result of a call, which is retried while it fails with `Interrupted`.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
