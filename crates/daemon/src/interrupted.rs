//! Calls that a signal has interrupted are repeated: an interruption says nothing about the connection.

use std::io;
use std::task::Poll;

/// Returns the result of a call, which is repeated while it is interrupted.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}
