//! Opens listeners, and retries while descriptors are short or the address is still in use.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;
use tracing::warn;

/// The number of connections that may wait to be accepted.
pub const BACKLOG: u32 = 1024;
/// The time for which opening a listener is retried: the platform requires a scheduler to be ready within
/// 10 s.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(8);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns whether an error is transient: descriptors or memory are short, or the previous process on this
/// address has not closed it yet.
fn is_transient(error: &io::Error) -> bool {
    is_shortage(error) || error.kind() == io::ErrorKind::AddrInUse
}

/// Returns whether the system or the process lacks descriptors or memory, in which case the error does not
/// concern the peer.
pub fn is_shortage(error: &io::Error) -> bool {
    const SHORTAGE_ERRORS: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    error.raw_os_error().is_some_and(|errno| SHORTAGE_ERRORS.contains(&errno))
}

fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns a listener on an address. Retries for a while after transient errors.
///
/// # Errors
///
/// Returns the last error of opening the listener.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    let mut has_warned = false;
    loop {
        match open_listener(address) {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                if !std::mem::replace(&mut has_warned, true) {
                    warn!(%address, %error, "cannot listen yet, retrying");
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}
