//! Links that fail in each of their ways, between plain sockets.

use std::net::SocketAddr;
use std::time::Duration;

use nickelflow_chaos::links::{listen, scheduler_at, Link};
use nickelflow_chaos::record::Party;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Only so that a broken link fails the test instead of hanging it.
const PATIENCE: Duration = Duration::from_secs(10);
/// Long enough for anything on loopback, where nothing must come.
const NOTHING: Duration = Duration::from_millis(150);

async fn world() -> (TcpListener, Link) {
    let far = listen(SocketAddr::from(([127, 0, 0, 1], 0)), 16).expect("a listener");
    let target = far.local_addr().expect("its address");
    let link = Link::new(Party::Scheduler(3), Party::Worker(0), target, 1).await.expect("a link");
    (far, link)
}

async fn pair(far: &TcpListener, link: &Link) -> (TcpStream, TcpStream) {
    let near = soon(TcpStream::connect(link.address)).await.expect("to connect");
    let (other, peer) = soon(far.accept()).await.expect("a connection");
    assert_eq!(scheduler_at(peer), Some(3), "the one behind the link does not see who speaks");
    (near, other)
}

async fn soon<T>(what: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(PATIENCE, what).await.expect("in time")
}

async fn passes(from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(b"x").await.expect("to write");
    assert_eq!(soon(to.read_u8()).await.expect("a byte"), b'x');
}

async fn nothing_passes(from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(b"y").await.expect("to write");
    assert!(tokio::time::timeout(NOTHING, to.read_u8()).await.is_err(), "it passed");
}

#[tokio::test]
async fn a_link_passes_both_ways_and_ends_with_its_ends() {
    let (far, link) = world().await;
    let (mut near, mut other) = pair(&far, &link).await;
    passes(&mut near, &mut other).await;
    passes(&mut other, &mut near).await;
    near.shutdown().await.expect("to end sending");
    assert_eq!(soon(other.read(&mut [0; 8])).await.expect("its end"), 0);
    passes(&mut other, &mut near).await;
}

#[tokio::test]
async fn a_cut_keeps_what_is_sent_and_brings_it_late() {
    let (far, link) = world().await;
    let (mut near, mut other) = pair(&far, &link).await;
    link.change(|state| state.requests.open = false);
    nothing_passes(&mut near, &mut other).await;
    // One way only: the other still passes.
    passes(&mut other, &mut near).await;
    link.change(|state| state.requests.open = true);
    assert_eq!(soon(other.read_u8()).await.expect("late"), b'y');
    passes(&mut near, &mut other).await;
}

#[tokio::test]
async fn over_a_cut_link_no_connection_comes_up_and_after_it_one_does() {
    let (far, link) = world().await;
    // Twice: what keeps new ones out must go with the cut.
    for _ in 0..2 {
        link.change(|state| state.answers.open = false);
        // The link takes the change up beside us: until then a connection may still slip in.
        let mut kept_out = 0;
        for _ in 0..20 {
            match tokio::time::timeout(NOTHING, TcpStream::connect(link.address)).await {
                Err(_) => kept_out += 1,
                Ok(_) => kept_out = 0,
            }
            if kept_out == 2 {
                break;
            }
        }
        assert_eq!(kept_out, 2, "connections came up over a cut link");
        link.change(|state| state.answers.open = true);
        let up = async {
            loop {
                // What slipped in, or kept the others out, ends at once.
                let Ok(near) = TcpStream::connect(link.address).await else { continue };
                let accepted = tokio::time::timeout(NOTHING, far.accept()).await;
                if let (Ok(Ok(_)), true) = (accepted, near.peer_addr().is_ok()) {
                    return;
                }
            }
        };
        soon(up).await;
    }
}

#[tokio::test]
async fn connections_are_reset_together_or_after_so_many_bytes() {
    let (far, link) = world().await;
    let (mut near, mut other) = pair(&far, &link).await;
    link.change(|state| state.resets += 1);
    for stream in [&mut near, &mut other] {
        let ended = soon(stream.read_u8()).await.expect_err("no more bytes");
        assert_eq!(ended.kind(), std::io::ErrorKind::ConnectionReset);
    }
    link.change(|state| state.reset_after = Some(2));
    let (mut near, mut other) = pair(&far, &link).await;
    passes(&mut near, &mut other).await;
    passes(&mut other, &mut near).await;
    near.write_all(b"z").await.expect("to write");
    assert!(soon(other.read_u8()).await.is_err(), "a third byte passed");
}

#[tokio::test]
async fn a_link_that_refuses_keeps_open_connections_and_listens_again_at_its_address() {
    let (far, link) = world().await;
    let (mut near, mut other) = pair(&far, &link).await;
    link.change(|state| state.refuse = true);
    let refused = async {
        while !TcpStream::connect(link.address)
            .await
            .is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)
        {
            tokio::task::yield_now().await;
        }
    };
    soon(refused).await;
    passes(&mut near, &mut other).await;
    link.change(|state| state.refuse = false);
    let again = async {
        while TcpStream::connect(link.address).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    soon(again).await;
}

#[tokio::test]
async fn pieces_are_delayed_in_their_order() {
    let (far, link) = world().await;
    let (mut near, mut other) = pair(&far, &link).await;
    let delay = Duration::from_millis(60);
    link.change(|state| (state.requests.delay, state.requests.jitter) = (delay, delay));
    let begin = std::time::Instant::now();
    for byte in 0..20u8 {
        near.write_all(&[byte]).await.expect("to write");
        tokio::task::yield_now().await;
    }
    let mut got = [0; 20];
    soon(other.read_exact(&mut got)).await.expect("all of them");
    assert!(begin.elapsed() >= delay, "nothing was delayed");
    assert!(got.is_sorted(), "{got:?}");
}
