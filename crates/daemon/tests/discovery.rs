//! How soon a new list is there, and when the old one may be stale: in virtual time by the figures of the program,
//! and with real connections.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::{config, Program, PATIENCE};
use nickelflow_daemon::discovery::{DiscoveryClient, WatchEnd, WatchTiming, MAX_NOTIFICATION_DELAY};
use nickelflow_daemon::endpoint_list::{EndpointList, EntryNames};
use nickelflow_daemon::scheduler_loop::Event;
use nickelflow_engine::ListKind;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};

fn timing(pushed: bool, schedulers: u32, grace_ms: u64) -> WatchTiming {
    WatchTiming {
        uses_agent: pushed,
        scheduler_count: schedulers,
        drain_grace: Duration::from_millis(grace_ms),
    }
}

// ---- the figures -----------------------------------------------------------------------------------------

#[test]
fn the_last_of_many_that_ask_together_waits_for_its_turn() {
    // Discovery answered 15 calls a second on the days at size, given-up ones among them.
    for schedulers in [1, 2, 30, 100, 1_000] {
        let queue = Duration::from_secs(1) * schedulers / 15;
        let answer = timing(false, schedulers, 500).response_timeout();
        assert!(answer > queue, "{schedulers} schedulers give up before their turn");
    }
    assert!(timing(false, u32::MAX, 500).response_timeout() > timing(false, 1, 500).response_timeout());
}

#[test]
fn calls_that_are_asked_again_come_more_rarely_than_they_are_worked_off() {
    // All of them again and again, each after its wait: a queue that nobody is answered from must not grow by that.
    for schedulers in [1, 2, 30, 100, 300, 1_000, 100_000] {
        let calls_per_s =
            f64::from(schedulers) / timing(false, schedulers, 500).response_timeout().as_secs_f64();
        assert!(
            calls_per_s * WatchTiming::CALL_SERVICE_TIME.as_secs_f64() < 0.9,
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
            let pause = timing
                .retry_delay(WatchEnd::Silent, &mut rng)
                .max(timing.retry_delay(WatchEnd::Unreachable, &mut rng));
            let anew = timing.silence_timeout() + 2 * (pause + timing.connect_timeout()) + queue;
            assert!(
                anew < MAX_NOTIFICATION_DELAY + timing.drain_grace,
                "{schedulers} schedulers, {grace} ms: {anew:?}"
            );
        }
    }
}

#[test]
fn an_agent_is_heard_again_within_the_grace() {
    let mut rng = fastrand::Rng::with_seed(1);
    for grace in [300, 500, 700, 2_000, 60_000] {
        let timing = timing(true, 300, grace);
        for loss in [
            WatchEnd::Unreachable,
            WatchEnd::Silent,
            WatchEnd::Ended,
            WatchEnd::Failed { waited: timing.response_timeout() },
        ] {
            // A call that it left unanswered, and the next one.
            let heard = timing.response_timeout() + timing.retry_delay(loss, &mut rng);
            assert!(heard < timing.drain_grace * 3 / 4, "{grace} ms: {heard:?}");
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

/// A call to discovery by one of the schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallId {
    scheduler: usize,
    number: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum OutageEvent {
    /// A scheduler connects and makes a call.
    Call(CallId),
    /// A scheduler has waited long enough for the response to a call.
    GiveUp(CallId),
    /// A scheduler begins to check whether discovery can be reached.
    Check(CallId),
    /// The check is done.
    Checked { call: CallId, reached: bool },
    /// Discovery is done with a call.
    Response(CallId),
    /// Discovery is back.
    Back,
}

/// How long the last scheduler waited for its new list after an outage.
struct Recovery {
    /// From discovery's return to the last scheduler's new list.
    duration: Duration,
    /// How many calls discovery was done with until then.
    handled_calls: usize,
}

/// Simulates an outage of discovery, with all schedulers and the queue of their calls.
struct OutageSimulation {
    timing: WatchTiming,
    outage: Outage,
    rng: fastrand::Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, OutageEvent)>>,
    /// The number of each scheduler's present call.
    calls: Vec<u32>,
    has_list: Vec<bool>,
    /// The call that each scheduler made first and still waits for.
    first_call: Vec<Option<u32>>,
    /// The calls that wait at discovery.
    queue: VecDeque<CallId>,
    is_busy: bool,
    is_down: bool,
    handled_calls: usize,
}

impl OutageSimulation {
    fn new(timing: WatchTiming, outage: Outage, outage_duration: Duration, seed: u64) -> Self {
        let schedulers = timing.scheduler_count as usize;
        let mut simulation = OutageSimulation {
            timing,
            outage,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            calls: vec![0; schedulers],
            has_list: vec![false; schedulers],
            first_call: vec![None; schedulers],
            queue: VecDeque::new(),
            is_busy: false,
            is_down: true,
            handled_calls: 0,
        };
        simulation.schedule(outage_duration, OutageEvent::Back);
        for scheduler in 0..schedulers {
            simulation.lose_watch(scheduler);
        }
        simulation
    }

    fn schedule(&mut self, after: Duration, event: OutageEvent) {
        self.events.push(Reverse((self.now + after, event)));
    }

    /// Schedules a scheduler's first call. It misses a watch that ends at once, and a silent one only later; the last line of
    /// that is up to a heartbeat old.
    fn lose_watch(&mut self, scheduler: usize) {
        let (missed, loss) = match self.outage {
            Outage::Refuses | Outage::Fails | Outage::CutOffAsking => (Duration::ZERO, WatchEnd::Ended),
            _ => {
                let heartbeat = Duration::from_secs(2);
                (self.timing.silence_timeout() - heartbeat.mul_f64(self.rng.f64()), WatchEnd::Silent)
            }
        };
        let pause = self.timing.retry_delay(loss, &mut self.rng);
        self.schedule(missed + pause, OutageEvent::Call(CallId { scheduler, number: 0 }));
    }

    fn run(mut self, outage_duration: Duration) -> Recovery {
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.now = now;
            let may_be_last = matches!(event, OutageEvent::Response(_));
            let retries_at_once = self.handle(event);
            if may_be_last && self.has_list.iter().all(|has| *has) {
                return Recovery { duration: now - outage_duration, handled_calls: self.handled_calls };
            }
            if !retries_at_once {
                self.handle_next_call();
            }
        }
        unreachable!("every scheduler asks until it has a list");
    }

    fn is_current(&self, call: CallId) -> bool {
        call.number == self.calls[call.scheduler] && !self.has_list[call.scheduler]
    }

    /// Handles an event; returns whether it was a call that failed at once.
    fn handle(&mut self, event: OutageEvent) -> bool {
        match event {
            OutageEvent::Back => {
                self.is_down = false;
                if self.outage != Outage::Halts {
                    self.queue.clear();
                }
            }
            OutageEvent::Call(call) if self.is_current(call) => return self.call(call),
            OutageEvent::GiveUp(call) if self.is_current(call) => {
                self.first_call[call.scheduler].get_or_insert(call.number);
                self.call_again(call, Duration::ZERO, WatchEnd::Silent);
            }
            OutageEvent::Check(call) if self.is_current(call) => {
                let reached = !(self.is_down && matches!(self.outage, Outage::CutOff | Outage::CutOffAsking));
                let after = if reached { Duration::ZERO } else { self.timing.connect_timeout() };
                self.schedule(after, OutageEvent::Checked { call, reached });
            }
            OutageEvent::Checked { call, reached } if self.is_current(call) => {
                if reached {
                    self.schedule(self.timing.reachability_check_interval(), OutageEvent::Check(call));
                } else {
                    self.first_call[call.scheduler] = None;
                    self.call_again(call, Duration::ZERO, WatchEnd::Unreachable);
                }
            }
            OutageEvent::Response(call) => {
                (self.is_busy, self.handled_calls) = (false, self.handled_calls + 1);
                let scheduler = call.scheduler;
                let waits =
                    call.number == self.calls[scheduler] || self.first_call[scheduler] == Some(call.number);
                self.has_list[scheduler] |= waits;
            }
            _ => {}
        }
        false
    }

    /// Makes a call; returns whether it failed at once and is made again.
    fn call(&mut self, call: CallId) -> bool {
        let connect = self.timing.connect_timeout();
        let failed = WatchEnd::Failed { waited: Duration::ZERO };
        let failure = match self.outage {
            Outage::Refuses if self.is_down => Some((Duration::ZERO, WatchEnd::Unreachable)),
            Outage::CutOff if self.is_down => Some((connect, WatchEnd::Unreachable)),
            Outage::CutOffAsking if self.is_down && call.number > 0 => Some((connect, WatchEnd::Unreachable)),
            Outage::Fails if self.is_down => Some((Duration::ZERO, failed)),
            _ => None,
        };
        if let Some((after, loss)) = failure {
            self.call_again(call, after, loss);
            return true;
        }
        self.queue.push_back(call);
        self.schedule(self.timing.response_timeout(), OutageEvent::GiveUp(call));
        self.schedule(self.timing.reachability_check_interval(), OutageEvent::Check(call));
        false
    }

    /// Schedules a scheduler's next call, for which it pauses from `after` now.
    fn call_again(&mut self, call: CallId, after: Duration, loss: WatchEnd) {
        self.calls[call.scheduler] += 1;
        let pause = self.timing.retry_delay(loss, &mut self.rng);
        self.schedule(after + pause, OutageEvent::Call(CallId { number: call.number + 1, ..call }));
    }

    fn handle_next_call(&mut self) {
        if self.is_busy || self.is_down {
            return;
        }
        if let Some(call) = self.queue.pop_front() {
            self.is_busy = true;
            self.schedule(WatchTiming::CALL_SERVICE_TIME, OutageEvent::Response(call));
        }
    }
}

/// The formula of docs/design/races.md: the longest time to the new list from discovery's return.
fn bound(timing: WatchTiming, outage: Outage, lasts: Duration) -> Duration {
    let short = (timing.drain_grace / 8).clamp(Duration::from_millis(20), Duration::from_millis(250))
        + Duration::from_secs(1).min(Duration::from_millis(10) * timing.scheduler_count);
    let failed = Duration::from_secs(1)
        + Duration::from_secs(4).min(Duration::from_millis(10) * timing.scheduler_count);
    let all = WatchTiming::CALL_SERVICE_TIME * timing.scheduler_count;
    // A watch that fell silent is missed so long after the outage's end.
    let missed = timing.silence_timeout().saturating_sub(lasts);
    match outage {
        Outage::Refuses => short + all,
        Outage::Fails => failed + all,
        Outage::CutOff => (missed + short).max(timing.connect_timeout() + short) + all,
        // The last call was lost up to `short` after the cut began; whether the look after it comes in time.
        Outage::CutOffAsking if lasts > short + timing.reachability_check_interval() => {
            timing.connect_timeout() + short + all
        }
        Outage::CutOffAsking => timing.response_timeout() + 2 * short + all,
        Outage::Loses => missed.max(timing.response_timeout()) + short + all,
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
            let simulation = OutageSimulation::new(timing, outage, lasts, seed);
            let Recovery { duration: took, handled_calls: worked_off } = simulation.run(lasts);
            let bound = bound(timing, outage, lasts);
            assert!(took <= bound, "{schedulers}, {outage:?} for {lasts:?}: {took:?} and not {bound:?}");
            // Up to 30 schedulers always; up to 80 where nobody waits for a call that was lost, or that a cut hid.
            let noticed =
                matches!(outage, Outage::Refuses | Outage::Fails) || lasts >= Duration::from_secs(3);
            let soon = schedulers <= 30 || schedulers <= 80 && noticed && outage != Outage::Loses;
            assert!(
                !soon || took < MAX_NOTIFICATION_DELAY,
                "{schedulers}, {outage:?} for {lasts:?}: {took:?}"
            );
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
        address: discovery,
        entry_names: EntryNames { zones: vec![], kinds: vec![] },
        timing: timing(pushed, 1, 500),
        rng: fastrand::Rng::with_seed(1),
        events: queue,
        watch_requests: asked,
    };
    tokio::spawn(async move {
        let _asks = ask;
        client.run(EndpointList { version: 41, is_snapshot: true, entries: vec![], skipped: vec![] }).await;
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
    let stale = tokio::time::timeout(MAX_NOTIFICATION_DELAY + Duration::from_secs(1), next(&mut told)).await;
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
    let stale = tokio::time::timeout(MAX_NOTIFICATION_DELAY + Duration::from_secs(1), async {
        tokio::select! {
            kind = next(&mut told) => panic!("{kind:?}"),
            () = keep(&listener, &mut streams) => {}
        }
    });
    assert!(stale.await.is_err());
}

/// How discovery goes down after it has sent a line.
#[derive(Clone, Copy, Debug, PartialEq)]
enum GoesDown {
    /// Its watches end, and connections are refused.
    Refuses,
    /// Its watches fall silent first. They end once the client has given the silent one up.
    SilentFirst,
    /// Its watches end, and connections are not accepted any more.
    CutOff,
    /// It comes back for a moment, in which its watches are answered with nothing, and is down again.
    Twice,
}

const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const HEARTBEAT: &[u8] = b"1\r\n\n\r\n";

/// Accepts the next call for a watch, and answers it with a line.
async fn answer_watch(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // A connection that only looks whether discovery can be reached brings no call.
        if stream.read(&mut [0; 1024]).await.is_ok_and(|length| length > 0) {
            stream.write_all(&[WATCH_HEAD, HEARTBEAT].concat()).await.expect("to write");
            return stream;
        }
    }
}

/// Guards against work for draining workers: refused connections counted as proof that discovery had nothing to tell since
/// the last line of a watch, although the watch may have been silent and discovery within reach until then.
#[rstest]
#[tokio::test]
async fn an_outage_right_after_a_silent_watch_does_not_hide_that_the_list_is_stale(
    #[values(GoesDown::Refuses, GoesDown::SilentFirst, GoesDown::CutOff, GoesDown::Twice)] down: GoesDown,
) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let mut told = client(address, false);
    assert_eq!(next(&mut told).await, ListKind::Cached);
    let watch = answer_watch(&listener).await;
    // From here on the watch may miss changes, all of which count as told by then.
    let told_by = tokio::time::Instant::now() + MAX_NOTIFICATION_DELAY;
    let stale = async {
        match down {
            GoesDown::SilentFirst => drop(listener.accept().await.expect("another call")),
            GoesDown::CutOff => {
                drop(watch);
                let kept = fill_backlog(&listener).await;
                let kind = next(&mut told).await;
                drop(kept);
                return kind;
            }
            GoesDown::Twice => {
                drop(watch);
                drop(listener.accept().await.expect("another call"));
            }
            GoesDown::Refuses => drop(watch),
        }
        drop(listener);
        next(&mut told).await
    };
    let kind = tokio::time::timeout_at(told_by, stale).await.expect("to be told in time");
    assert_eq!(kind, ListKind::Stale);
}

/// Lets no further connection to the listener come up.
async fn fill_backlog(listener: &tokio::net::TcpListener) -> Vec<tokio::net::TcpStream> {
    let address = listener.local_addr().expect("its address");
    let mut kept = vec![];
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(100), tokio::net::TcpStream::connect(address)).await
    {
        kept.push(stream);
    }
    kept
}

/// Guards against work for draining workers where lists are pushed: whether a silent watch had missed something was not
/// considered at all.
#[rstest]
#[tokio::test]
async fn an_agent_that_is_silent_after_a_line_makes_the_list_stale(#[values(true, false)] watch_ends: bool) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut told = client(listener.local_addr().expect("its address"), true);
    assert_eq!(next(&mut told).await, ListKind::Cached);
    let mut streams = vec![answer_watch(&listener).await];
    let told_by = tokio::time::Instant::now() + MAX_NOTIFICATION_DELAY;
    if watch_ends {
        streams.clear();
    }
    let stale = async {
        tokio::select! {
            kind = next(&mut told) => kind,
            () = keep(&listener, &mut streams) => unreachable!("it accepts all that come"),
        }
    };
    let kind = tokio::time::timeout_at(told_by, stale).await.expect("to be told in time");
    assert_eq!(kind, ListKind::Stale);
    // Discovery is back: the agent speaks again.
    drop(streams);
    let watch = answer_watch(&listener).await;
    assert_eq!(next(&mut told).await, ListKind::Changes);
    drop(watch);
}

/// Guards against work for draining workers where lists are pushed and the agent, which knew something, falls silent
/// before the first watch has brought it.
#[tokio::test]
async fn an_agent_that_is_silent_within_its_first_answer_makes_the_list_stale() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut told = client(listener.local_addr().expect("its address"), true);
    assert_eq!(next(&mut told).await, ListKind::Cached);
    let (mut stream, _) = listener.accept().await.expect("a call");
    assert!(stream.read(&mut [0; 1024]).await.expect("a call") > 0);
    stream.write_all(WATCH_HEAD).await.expect("to write");
    let told_by = tokio::time::Instant::now() + MAX_NOTIFICATION_DELAY;
    let mut streams = vec![stream];
    let stale = async {
        tokio::select! {
            kind = next(&mut told) => kind,
            () = keep(&listener, &mut streams) => unreachable!("it accepts all that come"),
        }
    };
    let kind = tokio::time::timeout_at(told_by, stale).await.expect("to be told in time");
    assert_eq!(kind, ListKind::Stale);
}

/// Guards against work for draining workers where discovery has moved to an address that nobody answers at: what it has to
/// tell counts as told 4 s after the move, whether or not it can be reached.
#[rstest]
#[tokio::test]
async fn a_move_to_where_nobody_answers_makes_the_list_stale(
    #[values(true, false)] was_reached: bool,
    #[values(true, false)] pushed: bool,
) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_closed_socket, unreachable) = closed();
    let first = if was_reached { listener.local_addr().expect("its address") } else { unreachable };
    let (mut told, discovery) = client_that_moves(first, pushed);
    assert_eq!(next(&mut told).await, ListKind::Cached);
    let _watch = if was_reached { Some(answer_watch(&listener).await) } else { None };
    let (_other_socket, other) = closed();
    let told_by = tokio::time::Instant::now() + Duration::from_secs(4);
    discovery.send(other).expect("a client");
    let kind = tokio::time::timeout_at(told_by, next(&mut told)).await.expect("to be told in time");
    assert_eq!(kind, ListKind::Stale);
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
