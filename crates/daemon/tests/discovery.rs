//! How soon a new list is there, and when the old one may be stale: in virtual time by the figures of the program,
//! and with real connections.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::{config, Program, PATIENCE};
use nickelflow_daemon::discovery::{DiscoveryClient, WatchEnd, WatchTiming, TOLD};
use nickelflow_daemon::endpoint_list::{EndpointList, EntryNames};
use nickelflow_daemon::scheduler_loop::Event;
use nickelflow_engine::ListKind;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::sync::{mpsc, watch};

fn timing(pushed: bool, schedulers: u32, grace_ms: u64) -> WatchTiming {
    WatchTiming { pushed, schedulers, grace: Duration::from_millis(grace_ms) }
}

// ---- the figures -----------------------------------------------------------------------------------------

#[test]
fn the_last_of_many_that_ask_together_waits_for_its_turn() {
    // Discovery answered 15 calls a second on the days at size, given-up ones among them.
    for schedulers in [1, 2, 30, 100, 1_000] {
        let queue = Duration::from_secs(1) * schedulers / 15;
        let answer = timing(false, schedulers, 500).answer();
        assert!(answer > queue, "{schedulers} schedulers give up before their turn");
    }
    assert!(timing(false, u32::MAX, 500).answer() > timing(false, 1, 500).answer());
}

#[test]
fn calls_that_are_asked_again_come_more_rarely_than_they_are_worked_off() {
    // All of them again and again, each after its wait: a queue that nobody is answered from must not grow by that.
    for schedulers in [1, 2, 30, 100, 300, 1_000, 100_000] {
        let calls_per_s = f64::from(schedulers) / timing(false, schedulers, 500).answer().as_secs_f64();
        assert!(
            calls_per_s * WatchTiming::CALL.as_secs_f64() < 0.9,
            "{schedulers} schedulers: {calls_per_s}"
        );
    }
}

#[test]
fn a_silent_watch_is_opened_anew_before_what_it_misses_counts() {
    let mut rng = fastrand::Rng::with_seed(1);
    for grace in [0, 200, 500, 2_000, 60_000] {
        for schedulers in [1, 2, 12] {
            let timing = timing(false, schedulers, grace);
            // Even where the first new connection does not come up, and the last of all is answered last.
            let queue = Duration::from_secs(1) * schedulers / 15;
            let pause =
                timing.pause(WatchEnd::Silent, &mut rng).max(timing.pause(WatchEnd::Unreached, &mut rng));
            let anew = timing.silent() + 2 * (pause + timing.connect()) + queue;
            assert!(anew < TOLD + timing.grace, "{schedulers} schedulers, {grace} ms: {anew:?}");
        }
    }
}

#[test]
fn an_agent_is_heard_again_within_the_grace() {
    let mut rng = fastrand::Rng::with_seed(1);
    for grace in [300, 500, 700, 2_000, 60_000] {
        let timing = timing(true, 300, grace);
        for loss in [
            WatchEnd::Unreached,
            WatchEnd::Silent,
            WatchEnd::Ended,
            WatchEnd::Failed { waited: timing.answer() },
        ] {
            // A call that it left unanswered, and the next one.
            let heard = timing.answer() + timing.pause(loss, &mut rng);
            assert!(heard < timing.grace * 3 / 4, "{grace} ms: {heard:?}");
        }
    }
}

// ---- all schedulers and one discovery, in virtual time -----------------------------------------------------

/// What discovery does until it is back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// Connections are refused.
    Refuses,
    /// Nothing comes up, and what was open stays silent for good.
    CutOff,
    /// The same, after all have lost their watches and asked again: it is their calls that are lost.
    CutOffAsking,
    /// Connections come up, and calls are never answered, also not later.
    Loses,
    /// Connections come up, and calls are worked off when it is back, given-up ones too.
    Halts,
    /// Calls are answered 503, or reset, at once.
    Fails,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    /// It connects and asks, for the so many-th time.
    Calls {
        who: usize,
        call: u32,
    },
    /// It has waited for an answer long enough.
    GivesUp {
        who: usize,
        call: u32,
    },
    /// It looks whether discovery can be reached, and knows after the limit of a connect.
    Looks {
        who: usize,
        call: u32,
    },
    Knows {
        who: usize,
        call: u32,
        reached: bool,
    },
    /// Discovery is done with a call.
    Answers {
        who: usize,
        call: u32,
    },
    Back,
}

/// From discovery's return to the last scheduler's new list, and how many calls were worked off until then.
#[allow(clippy::too_many_lines)] // Left over: to be split.
fn longest(timing: WatchTiming, outage: Outage, lasts: Duration, seed: u64) -> (Duration, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut due = BinaryHeap::new();
    let mut calls = vec![0; timing.schedulers as usize];
    let mut has_list = vec![false; calls.len()];
    // The call that each made first, and still waits for.
    let mut first: Vec<Option<u32>> = vec![None; calls.len()];
    let mut queue: VecDeque<(usize, u32)> = VecDeque::new();
    let (mut busy, mut down, mut worked_off) = (false, true, 0);
    due.push(Reverse((lasts, Happens::Back)));
    for who in 0..calls.len() {
        // A watch that ends is missed at once, a silent one only later; its last line is up to a heartbeat old.
        let (missed, loss) = match outage {
            Outage::Refuses | Outage::Fails | Outage::CutOffAsking => (Duration::ZERO, WatchEnd::Ended),
            _ => (timing.silent() - Duration::from_secs(2).mul_f64(rng.f64()), WatchEnd::Silent),
        };
        due.push(Reverse((missed + timing.pause(loss, &mut rng), Happens::Calls { who, call: 0 })));
    }
    while let Some(Reverse((now, happens))) = due.pop() {
        let mut later = |after: Duration, happens| due.push(Reverse((now + after, happens)));
        match happens {
            Happens::Back => {
                down = false;
                if outage != Outage::Halts {
                    queue.clear();
                }
            }
            Happens::Calls { who, call } if call == calls[who] && !has_list[who] => {
                let again = Happens::Calls { who, call: call + 1 };
                let ends = match outage {
                    Outage::Refuses if down => Some((Duration::ZERO, WatchEnd::Unreached)),
                    Outage::CutOff if down => Some((timing.connect(), WatchEnd::Unreached)),
                    Outage::CutOffAsking if down && call > 0 => Some((timing.connect(), WatchEnd::Unreached)),
                    Outage::Fails if down => {
                        Some((Duration::ZERO, WatchEnd::Failed { waited: Duration::ZERO }))
                    }
                    _ => None,
                };
                if let Some((after, loss)) = ends {
                    calls[who] += 1;
                    later(after + timing.pause(loss, &mut rng), again);
                    continue;
                }
                queue.push_back((who, call));
                later(timing.answer(), Happens::GivesUp { who, call });
                later(timing.reach(), Happens::Looks { who, call });
            }
            Happens::GivesUp { who, call } if call == calls[who] && !has_list[who] => {
                calls[who] += 1;
                first[who].get_or_insert(call);
                later(timing.pause(WatchEnd::Silent, &mut rng), Happens::Calls { who, call: call + 1 });
            }
            Happens::Looks { who, call } if call == calls[who] && !has_list[who] => {
                let reached = !(down && matches!(outage, Outage::CutOff | Outage::CutOffAsking));
                let after = if reached { Duration::ZERO } else { timing.connect() };
                later(after, Happens::Knows { who, call, reached });
            }
            Happens::Knows { who, call, reached } if call == calls[who] && !has_list[who] => {
                if reached {
                    later(timing.reach(), Happens::Looks { who, call });
                } else {
                    calls[who] += 1;
                    first[who] = None;
                    later(
                        timing.pause(WatchEnd::Unreached, &mut rng),
                        Happens::Calls { who, call: call + 1 },
                    );
                }
            }
            Happens::Answers { who, call } => {
                (busy, worked_off) = (false, worked_off + 1);
                let waits = call == calls[who] || first[who] == Some(call);
                if waits && !has_list[who] {
                    has_list[who] = true;
                    if has_list.iter().all(|has| *has) {
                        return (now - lasts, worked_off);
                    }
                }
            }
            _ => {}
        }
        if !busy && !down {
            if let Some((who, call)) = queue.pop_front() {
                busy = true;
                due.push(Reverse((now + WatchTiming::CALL, Happens::Answers { who, call })));
            }
        }
    }
    unreachable!("every scheduler asks until it has a list");
}

/// The formula of docs/design/races.md: the longest time to the new list from discovery's return.
fn bound(timing: WatchTiming, outage: Outage, lasts: Duration) -> Duration {
    let short = (timing.grace / 8).clamp(Duration::from_millis(20), Duration::from_millis(250))
        + Duration::from_secs(1).min(Duration::from_millis(10) * timing.schedulers);
    let failed =
        Duration::from_secs(1) + Duration::from_secs(4).min(Duration::from_millis(10) * timing.schedulers);
    let all = WatchTiming::CALL * timing.schedulers;
    // A watch that fell silent is missed so long after the outage's end.
    let missed = timing.silent().saturating_sub(lasts);
    match outage {
        Outage::Refuses => short + all,
        Outage::Fails => failed + all,
        Outage::CutOff => (missed + short).max(timing.connect() + short) + all,
        // The last call was lost up to `short` after the cut began; whether the look after it comes in time.
        Outage::CutOffAsking if lasts > short + timing.reach() => timing.connect() + short + all,
        Outage::CutOffAsking => timing.answer() + 2 * short + all,
        Outage::Loses => missed.max(timing.answer()) + short + all,
        Outage::Halts => {
            // The first call of each is answered, whatever was asked beside it.
            missed + short + all
        }
    }
}

#[rstest]
fn the_new_list_is_there_by_the_formula(
    #[values(2, 30, 80, 300)] schedulers: u32,
    #[values(
        Outage::Refuses,
        Outage::CutOff,
        Outage::CutOffAsking,
        Outage::Loses,
        Outage::Halts,
        Outage::Fails
    )]
    outage: Outage,
) {
    let timing = timing(false, schedulers, 500);
    let seeds = u64::from(6_000 / schedulers).clamp(20, 100);
    let mut worst_of = BTreeMap::new();
    for lasts in [0, 500, 2_000, 3_000, 5_000, 8_000, 20_000, 60_000].map(Duration::from_millis) {
        for seed in 0..seeds {
            let (took, worked_off) = longest(timing, outage, lasts, seed);
            let bound = bound(timing, outage, lasts);
            assert!(took <= bound, "{schedulers}, {outage:?} for {lasts:?}: {took:?} and not {bound:?}");
            // Up to 30 schedulers always; up to 80 where nobody waits for a call that was lost, or that a cut hid.
            let noticed =
                matches!(outage, Outage::Refuses | Outage::Fails) || lasts >= Duration::from_secs(3);
            let soon = schedulers <= 30 || schedulers <= 80 && noticed && outage != Outage::Loses;
            assert!(!soon || took < TOLD, "{schedulers}, {outage:?} for {lasts:?}: {took:?}");
            let worst = worst_of.entry(lasts).or_insert((took, worked_off));
            *worst = (took.max(worst.0), worked_off.max(worst.1));
        }
    }
    println!("{schedulers} schedulers, {outage:?}: {worst_of:?}");
}

// ---- with real connections -------------------------------------------------------------------------------

/// An address that refuses connections until it is listened on.
fn closed() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = socket.local_addr().expect("its address");
    (socket, address)
}

/// Reads the call for a watch that comes next, within the patience.
fn call(listener: &TcpListener, end: Instant) -> TcpStream {
    listener.set_nonblocking(true).expect("a listener");
    loop {
        match listener.accept() {
            Ok((mut stream, _)) => {
                stream.set_nonblocking(false).expect("a stream");
                stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
                let mut head = [0; 1024];
                // A connection that only looks whether discovery can be reached brings none.
                if stream.read(&mut head).is_ok_and(|n| n > 0) {
                    assert!(head.starts_with(b"GET /v1/servers?follow=1&since=41 "));
                    return stream;
                }
            }
            Err(_) if Instant::now() < end => std::thread::sleep(Duration::from_millis(2)),
            Err(e) => panic!("no call came: {e}"),
        }
    }
}

#[test]
fn however_often_a_call_failed_the_next_one_comes_soon() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    let _inside = runtime.enter();
    let (socket, address) = closed();
    let program = Program::configured(&config(&[]), &address.to_string(), &[], None);
    for _ in 0..8 {
        program.logs("*Connection refused*");
    }
    let listener = socket.listen(64).expect("to listen").into_std().expect("a listener");
    let end = Instant::now() + PATIENCE;
    for _ in 0..6 {
        let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        call(&listener, end).write_all(answer).expect("to answer");
    }
    call(&listener, end);
}

#[test]
fn a_call_that_is_not_answered_keeps_its_place() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let _program = Program::configured(
        &config(&[]),
        &listener.local_addr().expect("its address").to_string(),
        &[],
        None,
    );
    let end = Instant::now() + PATIENCE;
    let mut first = call(&listener, end);
    let (second, third) = (call(&listener, end), call(&listener, end));
    // Each further one takes the place of the one before, and never that of the first.
    let mut rest = vec![];
    (&second).read_to_end(&mut rest).expect("the second to be closed");
    first.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("to answer");
    (&third).read_to_end(&mut rest).expect("the last to be closed, for the first is answered");
    assert!(rest.is_empty());
    first.set_nonblocking(true).expect("a stream");
    let silent = first.read(&mut [0; 8]).expect_err("the watch to be open");
    assert_eq!(silent.kind(), std::io::ErrorKind::WouldBlock);
}

type Told = mpsc::UnboundedReceiver<Event<()>>;

/// A client that has been asked for a watch, and what it tells the core.
fn client(discovery: SocketAddr, pushed: bool) -> Told {
    client_that_moves(discovery, pushed).0
}

/// The same, and the way to move discovery.
fn client_that_moves(discovery: SocketAddr, pushed: bool) -> (Told, watch::Sender<SocketAddr>) {
    let (queue, told) = mpsc::unbounded_channel();
    let (ask, asked) = mpsc::unbounded_channel();
    ask.send(()).expect("a client");
    let (sender, discovery) = watch::channel(discovery);
    let client = DiscoveryClient {
        discovery,
        names: EntryNames { zones: vec![], kinds: vec![] },
        timing: timing(pushed, 1, 500),
        rng: fastrand::Rng::with_seed(1),
        queue,
        asked,
    };
    tokio::spawn(async move {
        let _asks = ask;
        client.run(EndpointList { index: 41, snapshot: true, entries: vec![], skipped: vec![] }).await;
    });
    (told, sender)
}

async fn next(told: &mut Told) -> ListKind {
    match tokio::time::timeout(PATIENCE, told.recv()).await {
        Ok(Some(Event::WorkerList { kind, .. })) => kind,
        Ok(_) => panic!("not a list"),
        Err(_) => panic!("the core was told nothing"),
    }
}

/// Accepts all that come, and keeps them.
async fn keep(listener: &tokio::net::TcpListener, streams: &mut Vec<tokio::net::TcpStream>) {
    loop {
        streams.push(listener.accept().await.expect("a connection").0);
    }
}

#[tokio::test]
async fn a_list_that_discovery_does_not_renew_is_stale_until_it_speaks() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut told = client(listener.local_addr().expect("its address"), false);
    let mut streams = vec![];
    assert_eq!(next(&mut told).await, ListKind::Cached);
    tokio::select! {
        kind = next(&mut told) => assert_eq!(kind, ListKind::Stale),
        () = keep(&listener, &mut streams) => {}
    }
    // A heartbeat: nothing has changed.
    for stream in &streams {
        let _ = stream.try_write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    }
    tokio::select! {
        kind = next(&mut told) => assert_eq!(kind, ListKind::Changes),
        () = keep(&listener, &mut streams) => {}
    }
    // The watch falls silent again, and nobody answers.
    tokio::select! {
        kind = next(&mut told) => assert_eq!(kind, ListKind::Stale),
        () = keep(&listener, &mut streams) => {}
    }
}

#[tokio::test]
async fn what_discovery_cannot_be_asked_for_makes_no_list_stale_and_what_it_could_does() {
    let (socket, address) = closed();
    let mut told = client(address, false);
    assert_eq!(next(&mut told).await, ListKind::Cached);
    let stale = tokio::time::timeout(TOLD + Duration::from_secs(1), next(&mut told)).await;
    assert!(stale.is_err(), "stale while discovery could not be reached");
    // Once reached, it may have had a change, which no later outage takes back.
    let listener = socket.listen(64).expect("to listen");
    // A connection that only looks whether it can be reached brings no call.
    while listener.accept().await.expect("a connection").0.read(&mut [0; 64]).await.expect("a call") == 0 {}
    drop(listener);
    assert_eq!(next(&mut told).await, ListKind::Stale);
}

#[tokio::test]
async fn what_an_agent_has_not_is_not_told_and_makes_no_list_stale() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut told = client(listener.local_addr().expect("its address"), true);
    assert_eq!(next(&mut told).await, ListKind::Cached);
    let mut streams = vec![];
    let stale = tokio::time::timeout(TOLD + Duration::from_secs(1), async {
        tokio::select! {
            kind = next(&mut told) => panic!("{kind:?}"),
            () = keep(&listener, &mut streams) => {}
        }
    });
    assert!(stale.await.is_err());
}

#[tokio::test]
async fn after_a_move_the_list_may_be_stale_sooner() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let other = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let mut stays = client(address, false);
    assert_eq!(next(&mut stays).await, ListKind::Cached);
    // The one that moves begins later, when the other has asked once more: unmoved, its list would be stale later.
    let mut streams = vec![];
    for _ in 0..2 {
        streams.push(listener.accept().await.expect("a call").0);
    }
    let (mut moves, discovery) = client_that_moves(address, false);
    assert_eq!(next(&mut moves).await, ListKind::Cached);
    discovery.send(other.local_addr().expect("its address")).expect("a client");
    let mut others = vec![];
    tokio::select! {
        kind = next(&mut moves) => assert_eq!(kind, ListKind::Stale),
        kind = next(&mut stays) => panic!("{kind:?}"),
        () = keep(&listener, &mut streams) => {}
        () = keep(&other, &mut others) => {}
    }
}
