//! Calls that a signal has interrupted are made again: it tells nothing of the connection.

use std::io;
use std::task::Poll;

/// The result of a call, made again while it is interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}
