//! Links: between every two parties that speak stands a small relay, whose link can fail in ways of its own while
//! connections are open on it.
//!
//! A party is given the relay's address in place of the other's. The relay connects on from an address that tells
//! who it is ([`source`]), so that the one behind it knows who speaks. What a cut or slow link cannot pass is
//! kept and comes late, as TCP would have it; a new connection over a cut link never comes up, for the relay's
//! queue of connections is kept full meanwhile.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nickelflow_simulator::random::{self, Random};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::record::Party;

/// Connections that wait to be accepted, at most.
const BACKLOG: u32 = 1024;
/// Pieces under way on one direction of a connection, at most, and their size.
const PIECES: usize = 64;
const PIECE: usize = 16 << 10;
/// For how long the relay itself tries to reach the one behind it.
const REACH: Duration = Duration::from_secs(2);

/// The loopback address that a relay for a party connects on from.
pub fn source(party: Party) -> Ipv4Addr {
    match party {
        Party::Scheduler(n) => Ipv4Addr::new(127, 0, 1, (n + 1).min(254) as u8),
        Party::Clients => Ipv4Addr::new(127, 0, 4, 1),
        Party::Discovery => Ipv4Addr::new(127, 0, 4, 2),
        Party::Worker(n) => Ipv4Addr::new(127, 0, 5, (n % 254 + 1) as u8),
    }
}

/// The scheduler that a relay speaks for, by the address that it connects from.
pub fn scheduler_at(peer: SocketAddr) -> Option<u32> {
    match peer.ip() {
        IpAddr::V4(ip) if ip.octets()[..3] == [127, 0, 1] => u32::from(ip.octets()[3]).checked_sub(1),
        _ => None,
    }
}

/// What one direction of a link does to what passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    pub open: bool,
    pub delay: Duration,
    /// Up to this much more, drawn for each piece; the order stays.
    pub jitter: Duration,
    pub bytes_per_s: Option<u32>,
}

impl Default for Way {
    fn default() -> Self {
        Way { open: true, delay: Duration::ZERO, jitter: Duration::ZERO, bytes_per_s: None }
    }
}

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    pub requests: Way,
    pub answers: Way,
    pub refuse: bool,
    /// A connection is reset after so many bytes.
    pub reset_after: Option<u64>,
    /// The part of the pieces that resets its connection.
    pub reset_part: f64,
    /// When this grows, all open connections are reset.
    pub resets: u64,
}

impl State {
    fn cut(&self) -> bool {
        !(self.requests.open && self.answers.open)
    }

    /// Nothing is wrong; how many resets there have been does not matter for that.
    pub fn well(&self) -> bool {
        State { resets: 0, ..*self } == State::default()
    }
}

/// What has passed over a link so far, counted as it comes in: bytes, without those of TCP itself.
#[derive(Default)]
pub struct Passed {
    pub connections: AtomicU64,
    pub requests: AtomicU64,
    pub answers: AtomicU64,
}

/// One link. Dropped, it goes down with its connections.
pub struct Link {
    pub from: Party,
    pub to: Party,
    /// Where `from` finds it.
    pub address: SocketAddr,
    pub passed: Arc<Passed>,
    state: watch::Sender<State>,
}

impl Link {
    /// A link that listens on an address of its own and leads to `target`.
    pub async fn new(from: Party, to: Party, target: SocketAddr, seed: u64) -> std::io::Result<Link> {
        // Held for as long as the link lives, it keeps the port while nobody listens on it.
        let held = bound(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = held.local_addr()?;
        let (state, watched) = watch::channel(State::default());
        let listener = listen(address, BACKLOG)?;
        let random = random::stream(seed, random::Concern::Network, u64::from(address.port()));
        let passed = Arc::<Passed>::default();
        let onward = Onward { from, target, state: watched, passed: passed.clone() };
        tokio::spawn(serve(listener, held, address, onward, random));
        Ok(Link { from, to, address, passed, state })
    }

    pub fn change(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }

    pub fn state(&self) -> State {
        *self.state.borrow()
    }
}

#[derive(Clone)]
struct Onward {
    from: Party,
    target: SocketAddr,
    state: watch::Receiver<State>,
    passed: Arc<Passed>,
}

/// A socket that has an address and does not listen.
pub fn bound(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Listens on an address that may be held by [`bound`] sockets.
pub fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    bound(address)?.listen(backlog)
}

/// Accepts for as long as the link lives.
async fn serve(
    listener: TcpListener,
    held: TcpSocket,
    address: SocketAddr,
    onward: Onward,
    mut random: Random,
) {
    let mut state = onward.state.clone();
    let mut listener = Some(listener);
    let mut fillers: Vec<TcpStream> = Vec::new();
    loop {
        let now = *state.borrow_and_update();
        if now.refuse {
            listener = None;
        } else if listener.is_none() {
            listener = listen(address, BACKLOG).ok();
        }
        if let Some(listener) = &listener {
            let queue = if now.cut() { 0 } else { BACKLOG };
            let _ = SockRef::from(listener).listen(queue as i32);
            if now.cut() && fillers.is_empty() {
                fillers = fill(address).await;
            } else if !now.cut() {
                fillers.clear();
            }
        }
        let accepting = listener.as_ref().filter(|_| !now.cut());
        tokio::select! {
            changed = state.changed() => {
                if changed.is_err() {
                    drop(held);
                    return;
                }
            }
            accepted = accept(accepting) => {
                let seed = random::unit(&mut random).to_bits();
                let random = random::stream(seed, random::Concern::Network, 0);
                tokio::spawn(connection(accepted, onward.clone(), random));
            }
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else { return std::future::pending().await };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            // Out of descriptors, say: it passes.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Connections that keep a queue of one full, so that nobody else's comes up.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    // A queue of length 0 takes one, and the kernel may take one more while that is handed over.
    for _ in 0..3 {
        match tokio::time::timeout(Duration::from_millis(5), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

async fn connection(near: TcpStream, onward: Onward, mut random: Random) {
    let Onward { from, target, mut state, passed } = onward;
    passed.connections.fetch_add(1, Ordering::Relaxed);
    let resets = state.borrow().resets;
    let reach = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((source(from), 0)))?;
        socket.connect(target).await
    };
    let Ok(Ok(far)) = tokio::time::timeout(REACH, reach).await else {
        return reset(&near);
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // Kept to be reset, last of all: what ends in order before that is no reset any more.
    let (near_socket, far_socket) = (near.into_std(), far.into_std());
    let (Ok(near_socket), Ok(far_socket)) = (near_socket, far_socket) else { return };
    let twins = (near_socket.try_clone(), far_socket.try_clone());
    let (Ok(near), Ok(far)) = (TcpStream::from_std(near_socket), TcpStream::from_std(far_socket)) else {
        return;
    };
    let ((near_read, near_write), (far_read, far_write)) = (tokio::io::split(near), tokio::io::split(far));
    let carried = Arc::new(AtomicU64::new(0));
    let streams = (random::unit(&mut random).to_bits(), random::unit(&mut random).to_bits());
    let (asked, answered) = (carried.clone(), carried);
    let requests =
        carry(near_read, far_write, state.clone(), |s| s.requests, asked, &passed.requests, streams.0);
    let answers =
        carry(far_read, near_write, state.clone(), |s| s.answers, answered, &passed.answers, streams.1);
    let reset_all = async {
        loop {
            if state.changed().await.is_err() || state.borrow().resets != resets {
                return;
            }
        }
    };
    let both = async { tokio::try_join!(requests, answers) };
    let broken = tokio::select! {
        ended = both => ended.is_err(),
        () = reset_all => true,
    };
    if let (true, Ok(near), Ok(far)) = (broken, twins.0, twins.1) {
        for socket in [near, far] {
            let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// The link has torn the connection, or one side has.
struct Torn;

/// Carries one direction until its end, which passes on too.
async fn carry(
    mut read: ReadHalf<TcpStream>,
    mut write: WriteHalf<TcpStream>,
    mut state: watch::Receiver<State>,
    way: fn(&State) -> Way,
    carried: Arc<AtomicU64>,
    passed: &AtomicU64,
    seed: u64,
) -> Result<(), Torn> {
    let mut random = random::stream(seed, random::Concern::Network, 1);
    let (sender, mut pieces) = mpsc::channel::<(Instant, Option<Bytes>)>(PIECES);
    let watched = state.clone();
    let take = async move {
        let mut buffer = vec![0; PIECE];
        loop {
            let n = read.read(&mut buffer).await.map_err(|_| Torn)?;
            passed.fetch_add(n as u64, Ordering::Relaxed);
            let Way { delay, jitter, .. } = way(&watched.borrow());
            let due = Instant::now() + delay + jitter.mul_f64(random::unit(&mut random));
            let reset_part = watched.borrow().reset_part;
            if reset_part > 0.0 && random::unit(&mut random) < reset_part {
                return Err(Torn);
            }
            let piece = (n > 0).then(|| Bytes::copy_from_slice(&buffer[..n]));
            sender.send((due, piece)).await.map_err(|_| Torn)?;
            if n == 0 {
                return Ok(());
            }
        }
    };
    let give = async move {
        while let Some((due, piece)) = pieces.recv().await {
            tokio::time::sleep_until(due).await;
            state.wait_for(|state| way(state).open).await.map_err(|_| Torn)?;
            let Some(piece) = piece else {
                let _ = write.shutdown().await;
                return Ok(());
            };
            let rate = way(&state.borrow()).bytes_per_s;
            if let Some(rate) = rate {
                tokio::time::sleep(Duration::from_secs_f64(piece.len() as f64 / f64::from(rate.max(1))))
                    .await;
            }
            let sum = carried.fetch_add(piece.len() as u64, Ordering::Relaxed) + piece.len() as u64;
            if state.borrow().reset_after.is_some_and(|most| sum > most) {
                return Err(Torn);
            }
            write.write_all(&piece).await.map_err(|_| Torn)?;
        }
        Ok(())
    };
    tokio::try_join!(take, give).map(|_| ())
}
