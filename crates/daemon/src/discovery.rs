//! The client of discovery. The endpoint list begins with what the scheduler knew at its start, and is kept current by a
//! watch once the dispatcher subscribes. Where it may lack changes that count as notified, the dispatcher is notified of
//! that too.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{header, Request, Response, StatusCode};
use nickelflow_engine::ListKind;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tracing::{info, warn};

use crate::attempt::host;
use crate::connection::{ConnectError, Connection};
use crate::endpoint_list::{EndpointList, EntryNames};
use crate::json::{self, Field, JsonError};
use crate::line_reader::LineReader;
use crate::scheduler_loop::{Event, WorkerEndpoint};

/// Discovery writes at least an empty line this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// A scheduler counts as notified of a change this long after discovery had it and could be reached, whatever became of the
/// calls.
pub const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// The list counts as stale this much sooner, so that the scheduler loop is notified in time also on a busy processor.
const STALE_MARGIN: Duration = Duration::from_millis(500);
/// A call unanswered for this long may be lost; and for this much longer for each scheduler that may have asked
/// before it. Discovery handles calls in turn, those that nobody waits for any more too, and takes [`WatchTiming::CALL`] for
/// each: what all ask again in that time is less than it works off.
const ANSWER: Duration = Duration::from_secs(1);
const ANSWER_EACH: Duration = Duration::from_millis(80);
/// While a call waits, a bare connection shows now and then whether discovery can still be reached. It adds nothing to
/// the calls that wait there. So often, and this much more rarely for each scheduler that does the same; a few
/// schedulers have made the call once more by then.
const REACH: Duration = Duration::from_millis(1500);
const REACH_EACH: Duration = Duration::from_millis(5);
/// Those who lost their watches together come back spread out, by this much for each, and at most so far.
const SPREAD_EACH: Duration = Duration::from_millis(10);
const SPREAD: Duration = Duration::from_secs(1);
/// The shortest pause after a call that failed at discovery, which is down or has too many callers. One that had
/// waited there comes back as much later.
const FAILED: Duration = Duration::from_millis(500);
/// After a move of discovery a scheduler counts as notified of its changes 4 s later. The watch at the new address is
/// begun at once, and for this long it is begun again after a short pause, also after calls that failed.
const MOVING: Duration = Duration::from_secs(4);
const MAX_LINE_BYTES: usize = 4 << 20;

/// How lists come, and the times that follow from it.
#[derive(Clone, Copy)]
pub struct WatchTiming {
    /// Lists are pushed to an agent beside the scheduler: the scheduler counts as notified of what the agent has at once,
    /// and calls to it cost nothing. Otherwise all schedulers call one service.
    pub pushed: bool,
    /// How many may ask discovery at once.
    pub schedulers: u32,
    /// How long after a scheduler was notified that a worker drains it may still send to it.
    pub grace: Duration,
}

impl WatchTiming {
    /// What discovery takes for a call, as it did on the days at size: 15 a second, given-up ones among them.
    pub const CALL: Duration = Duration::from_nanos(1_000_000_000 / 15);

    /// A watch that has been silent for this long is dead. A quarter of what is left after a missed heartbeat
    /// is for one that is late; the rest is for a new watch to be answered in.
    pub fn silent(&self) -> Duration {
        HEARTBEAT + (MAX_NOTIFICATION_DELAY - HEARTBEAT) / 4
    }

    /// A connection that is not up by then will not come up.
    pub fn connect(&self) -> Duration {
        (self.grace / 2).clamp(Duration::from_millis(100), Duration::from_secs(1))
    }

    /// How long the head of an answer may take before the call is made once more.
    pub fn answer(&self) -> Duration {
        match self.pushed {
            true => self.connect(),
            false => ANSWER.saturating_add(ANSWER_EACH.saturating_mul(self.schedulers)),
        }
    }

    /// From one look whether discovery can be reached to the next, while a call waits.
    pub fn reach(&self) -> Duration {
        REACH + REACH_EACH.saturating_mul(self.schedulers).min(SPREAD)
    }

    /// Returns how long after it was surely current a list may lack changes of which the scheduler counts as notified.
    pub fn stale(&self) -> Duration {
        MAX_NOTIFICATION_DELAY - STALE_MARGIN
    }

    /// From a watch that ended to the next one.
    pub fn pause(&self, loss: WatchEnd, rng: &mut fastrand::Rng) -> Duration {
        let others = if self.pushed { Duration::ZERO } else { SPREAD_EACH.saturating_mul(self.schedulers) };
        match loss {
            WatchEnd::Failed { waited } if !self.pushed => {
                FAILED + (FAILED + others.min(4 * SPREAD)).mul_f64(rng.f64()) + waited.min(self.answer())
            }
            _ => {
                let least = (self.grace / 8).clamp(Duration::from_millis(20), Duration::from_millis(250));
                least + others.min(SPREAD).mul_f64(rng.f64())
            }
        }
    }
}

/// The client of discovery.
pub struct DiscoveryClient<P> {
    /// Where discovery is, and whether it has moved.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The names of zones and kinds in lists.
    pub names: EntryNames,
    /// How lists come.
    pub timing: WatchTiming,
    /// Spreads the calls of several schedulers.
    pub rng: fastrand::Rng,
    /// The queue of the scheduler loop.
    pub queue: mpsc::UnboundedSender<Event<P>>,
    /// The module's request for a watch; where lists are pushed it makes none.
    pub asked: mpsc::UnboundedReceiver<()>,
}

/// Why a line of a watch could not be understood.
#[derive(Debug, Error)]
enum ListError {
    /// Another object began, or a heartbeat came, before the end of one.
    #[error("an object without its end")]
    Unfinished,
    /// An object is too long.
    #[error("an object of more than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// An object is not a list.
    #[error(transparent)]
    Json(#[from] JsonError),
}

/// One object of discovery's, as its lines come: it may be indented over several.
#[derive(Default)]
struct JsonObjectReader {
    bytes: BytesMut,
    nesting: json::Nesting,
}

impl JsonObjectReader {
    /// Takes a line; the object, if it is whole with it.
    fn take(&mut self, line: &[u8]) -> Result<Option<BytesMut>, ListError> {
        let blank = line.iter().all(u8::is_ascii_whitespace);
        if blank && self.bytes.is_empty() {
            return Ok(None);
        }
        // Both show that the rest of this one never came; waited for, it would hide all that follows.
        let another = || line.len() > 1 && line[0] == b'{' && is_list(line);
        if blank || !self.bytes.is_empty() && another() {
            return Err(ListError::Unfinished);
        }
        self.bytes.extend_from_slice(line);
        self.bytes.extend_from_slice(b"\n");
        if self.bytes.len() > MAX_LINE_BYTES {
            return Err(ListError::TooLong);
        }
        let closed = self.nesting.scan(line)?;
        Ok(closed.then(|| std::mem::take(self).bytes))
    }
}

fn is_list(line: &[u8]) -> bool {
    json::decode(line).is_ok_and(|value| Field::root(&value).required("endpoints").is_ok())
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchEnd {
    /// No connection comes up: discovery has not heard of the call, or is cut off from it.
    Unreached,
    /// Nothing was received any more, or ever; the scheduler counts as notified of what it misses all the same.
    Silent,
    /// It had lasted, and was ended.
    Ended,
    /// It did not come about, or not for long: discovery is down, or has too many callers. So long it had waited there.
    Failed {
        /// How long discovery had the call before it failed.
        waited: Duration,
    },
}

/// The time up to which the list surely has every change of which the scheduler counts as notified.
struct ListFreshness {
    at: watch::Sender<Instant>,
    /// Nothing was reached since: what discovery has had in the meantime could not be asked for.
    out_of_reach: bool,
}

impl ListFreshness {
    /// Discovery has sent all it had.
    fn received(&mut self) {
        self.at.send_replace(Instant::now());
        self.out_of_reach = true;
    }

    /// It can be reached, and the answer may take longer than a change may.
    fn reached(&mut self) {
        self.out_of_reach = false;
    }

    /// It could not be reached then.
    fn unreached(&mut self, then: Instant) {
        if self.out_of_reach {
            self.at.send_modify(|at| *at = then.max(*at));
        }
    }

    /// Discovery has moved, so that the scheduler counts as notified sooner.
    fn moved(&mut self) {
        let at = Instant::now().checked_sub(MAX_NOTIFICATION_DELAY - MOVING);
        self.at.send_modify(|now| *now = at.map_or(*now, |at| at.min(*now)));
    }
}

/// Notifies the scheduler loop when the list may be stale and when it is current again, until the loop has ended.
async fn watch_age<P>(
    queue: mpsc::UnboundedSender<Event<P>>,
    stale: Duration,
    mut current: watch::Receiver<Instant>,
) {
    let notify = |kind| drop(queue.send(Event::WorkerList { kind, entries: vec![] }));
    loop {
        let lapses = *current.borrow_and_update() + stale;
        tokio::select! {
            biased;
            changed = current.changed() => if changed.is_err() { return },
            () = tokio::time::sleep_until(lapses.into()) => {
                warn!("the list may be stale");
                notify(ListKind::Stale);
                while current.borrow_and_update().elapsed() >= stale {
                    if current.changed().await.is_err() {
                        return;
                    }
                }
                info!("the list is current");
                notify(ListKind::Changes);
            }
        }
    }
}

/// Whether a connection to discovery comes up. What fails here itself is no sign that it would not.
async fn reachable(address: SocketAddr, limit: Duration) -> bool {
    use std::io::ErrorKind::{
        ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
    };
    let there = [ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut];
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => true,
        Ok(Err(e)) => !there.contains(&e.kind()),
        Err(_) => false,
    }
}

/// A call that discovery has answered with a watch.
struct EstablishedWatch {
    /// Dropped, it would end the watch.
    _connection: Connection,
    answer: Response<Incoming>,
    waited: Duration,
}

type ActiveCall = Pin<Box<dyn Future<Output = Result<EstablishedWatch, (WatchEnd, String)>> + Send>>;

/// Makes one call, and waits for its answer for as long as it is not dropped.
async fn ask(
    mut connection: Connection,
    address: SocketAddr,
    since: u64,
) -> Result<EstablishedWatch, (WatchEnd, String)> {
    let began = Instant::now();
    let failed = |why| (WatchEnd::Failed { waited: began.elapsed() }, why);
    let mut request = Request::new(Full::<Bytes>::default());
    let uri = format!("/v1/servers?follow=1&since={since}");
    *request.uri_mut() = uri.parse().map_err(|e| failed(format!("request: {e}")))?;
    request.headers_mut().insert(header::HOST, host(address));
    let answer = connection.ask(request).await.map_err(|broken| failed(broken.why))?;
    match answer.status() {
        StatusCode::OK => Ok(EstablishedWatch { _connection: connection, answer, waited: began.elapsed() }),
        status => Err(failed(format!("status {}", status.as_u16()))),
    }
}

/// The answer to a call that was made before, if there is one and it is answered with a watch.
async fn earlier(call: &mut Option<ActiveCall>) -> EstablishedWatch {
    if let Some(waiting) = call {
        match waiting.await {
            Ok(answered) => return answered,
            Err((_, why)) => warn!(why, "an earlier call failed"),
        }
        *call = None;
    }
    std::future::pending().await
}

impl<P> DiscoveryClient<P> {
    /// Watches the list until the scheduler loop has ended. `known` is the list at the start.
    pub async fn run(self, known: EndpointList) {
        let (at, age) = watch::channel(Instant::now());
        let (queue, stale, pushed) = (self.queue.clone(), self.timing.stale(), self.timing.pushed);
        tokio::select! {
            () = self.keep(known, ListFreshness { at, out_of_reach: true }) => {}
            // The scheduler counts as notified of what an agent has, and of nothing else.
            () = watch_age(queue, stale, age), if !pushed => {}
        }
    }

    async fn keep(mut self, known: EndpointList, mut current: ListFreshness) {
        let mut index = known.index;
        self.send_list(ListKind::Cached, known.entries);
        let mut moved_at = None;
        if !self.timing.pushed {
            tokio::select! {
                asked = self.asked.recv() => if asked.is_none() { return },
                () = moved(&mut self.discovery) => moved_at = Some(Instant::now()),
            }
        }
        while !self.queue.is_closed() {
            let address = *self.discovery.borrow_and_update();
            let mut discovery = self.discovery.clone();
            let (loss, why) = tokio::select! {
                lost = self.watch(address, &mut index, &mut current) => lost,
                () = moved(&mut discovery) => {
                    moved_at = Some(Instant::now());
                    current.moved();
                    continue;
                }
            };
            warn!(%address, why, "watch ended");
            let moving = moved_at.is_some_and(|at: Instant| at.elapsed() < MOVING);
            let pause = self.timing.pause(if moving { WatchEnd::Ended } else { loss }, &mut self.rng);
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = moved(&mut discovery) => {
                    moved_at = Some(Instant::now());
                    current.moved();
                }
            }
        }
    }

    fn send_list(&self, kind: ListKind, entries: Vec<WorkerEndpoint>) {
        let _ = self.queue.send(Event::WorkerList { kind, entries });
    }

    /// Returns once discovery cannot be reached any more.
    async fn cut_off(&self, address: SocketAddr) {
        let limit = self.timing.connect().max(Duration::from_millis(250));
        loop {
            tokio::time::sleep(self.timing.reach()).await;
            if !reachable(address, limit).await {
                return;
            }
        }
    }

    /// A connection to discovery.
    async fn connect(&self, address: SocketAddr, current: &mut ListFreshness) -> Result<Connection, String> {
        let began = Instant::now();
        match Connection::open(address, self.timing.connect()).await {
            Ok(connection) => {
                current.reached();
                Ok(connection)
            }
            Err(why) => {
                let there = match why {
                    ConnectError::Silent => false,
                    _ => reachable(address, self.timing.connect()).await,
                };
                if !there {
                    current.unreached(began);
                }
                Err(why.to_string())
            }
        }
    }

    /// Asks for a watch from a version on. A call that is not answered in time keeps its place among those that
    /// wait there, and another is made beside it, for it may be lost; whichever is answered first counts.
    async fn call(
        &mut self,
        address: SocketAddr,
        since: u64,
        current: &mut ListFreshness,
    ) -> Result<EstablishedWatch, (WatchEnd, String)> {
        let mut first = None;
        loop {
            let connection =
                self.connect(address, current).await.map_err(|why| (WatchEnd::Unreached, why))?;
            let mut call: ActiveCall = Box::pin(ask(connection, address, since));
            let lost = tokio::select! {
                biased;
                answered = earlier(&mut first) => return Ok(answered),
                answered = &mut call => match answered {
                    Ok(answered) => return Ok(answered),
                    Err(lost) => lost,
                },
                () = tokio::time::sleep(self.timing.answer()) => {
                    if !self.timing.pushed {
                        first.get_or_insert(call);
                    }
                    (WatchEnd::Silent, "no answer in time".to_owned())
                }
                () = self.cut_off(address), if !self.timing.pushed => {
                    return Err((WatchEnd::Unreached, "cut off before an answer".to_owned()));
                }
            };
            if first.is_none() {
                return Err(lost);
            }
            warn!(%address, why = lost.1, "asked once more");
            let pause = self.timing.pause(lost.0, &mut self.rng);
            tokio::select! {
                answered = earlier(&mut first) => return Ok(answered),
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Takes a line of a watch, and returns the list that is complete with it.
    fn decode_line(
        &self,
        object: &mut JsonObjectReader,
        line: &[u8],
    ) -> Result<Option<EndpointList>, ListError> {
        let Some(bytes) = object.take(line)? else { return Ok(None) };
        let value = json::decode(&bytes)?;
        Ok(Some(EndpointList::decode(&Field::root(&value), &self.names)?))
    }

    /// Keeps a watch, from the given version on, until it is lost.
    async fn watch(
        &mut self,
        address: SocketAddr,
        index: &mut u64,
        current: &mut ListFreshness,
    ) -> (WatchEnd, String) {
        let EstablishedWatch { _connection, answer, waited } = match self.call(address, *index, current).await
        {
            Ok(answered) => answered,
            Err(lost) => return lost,
        };
        info!(since = index, "watching");
        let since = Instant::now();
        let ended =
            || if since.elapsed() < HEARTBEAT { WatchEnd::Failed { waited } } else { WatchEnd::Ended };
        let mut lines = LineReader::new(answer.into_body(), MAX_LINE_BYTES);
        let mut object = JsonObjectReader::default();
        loop {
            let line = match timeout(self.timing.silent(), lines.next_line()).await {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => return (ended(), "discovery ended it".to_owned()),
                Ok(Err(error)) => return (ended(), error.to_string()),
                Err(_) => return (WatchEnd::Silent, "silent for too long".to_owned()),
            };
            // A broken line may have held changes: the next watch asks for all since the last good one.
            let list = match self.decode_line(&mut object, &line) {
                Ok(Some(list)) => list,
                Ok(None) => {
                    if object.bytes.is_empty() {
                        current.received();
                    }
                    continue;
                }
                Err(error) => return (ended(), format!("broken line: {error}")),
            };
            for error in &list.skipped {
                let why = error.to_string();
                warn!(why, "entry left out");
            }
            *index = list.index;
            // Only a whole snapshot is complete: what else a list leaves out has not gone.
            let whole = list.snapshot && list.skipped.is_empty();
            let kind = if whole { ListKind::Complete } else { ListKind::Changes };
            self.send_list(kind, list.entries);
            current.received();
        }
    }
}

/// Returns once discovery has moved; never if nothing is left that could move it.
async fn moved(discovery: &mut watch::Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
