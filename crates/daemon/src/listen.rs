//! The program's listeners, which are opened as soon as the system has the descriptors and the address.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;
use tracing::warn;

/// Clients that may wait to be accepted.
pub const BACKLOG: u32 = 1024;
/// For how long a start waits for what the system lacks: the platform wants a scheduler to be ready within 10 s.
const PATIENCE: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(50);

/// Whether an error passes by itself: descriptors or memory are short, or the process that ends on this address has not
/// closed it yet.
fn passes(error: &io::Error) -> bool {
    is_shortage(error) || error.kind() == io::ErrorKind::AddrInUse
}

/// Whether the system or the process lacks descriptors or memory, which says nothing of whoever is spoken to.
pub fn is_shortage(error: &io::Error) -> bool {
    const SHORT: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    error.raw_os_error().is_some_and(|errno| SHORT.contains(&errno))
}

fn open(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns a listener on an address. Retries for a while after errors that pass by themselves.
///
/// # Errors
///
/// Returns the last error of opening the listener.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + PATIENCE;
    let mut has_warned = false;
    loop {
        match open(address) {
            Err(error) if passes(&error) && Instant::now() < until => {
                if !std::mem::replace(&mut has_warned, true) {
                    warn!(%address, %error, "cannot listen yet");
                }
                tokio::time::sleep(PAUSE).await;
            }
            done => return done,
        }
    }
}
