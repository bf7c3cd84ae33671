//! The client of discovery. The endpoint list starts as the list that the scheduler had at its start; a watch
//! keeps it current once the dispatcher subscribes. When the list may lack changes that count as notified,
//! the client tells the dispatcher that it is stale.

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

use crate::attempt::host_header;
use crate::connection::{ConnectError, Connection};
use crate::endpoint_list::{EndpointList, EntryNames};
use crate::json::{self, JsonError};
use crate::line_reader::LineReader;
use crate::list_freshness::{monitor_staleness, ListFreshness};
use crate::scheduler_loop::{Event, WorkerEndpoint};
pub use crate::watch_timing::{WatchEnd, WatchTiming, MAX_NOTIFICATION_DELAY};
use crate::watch_timing::{HEARTBEAT_INTERVAL, MOVE_NOTIFICATION_DELAY};

/// The largest line of a watch, and the largest list.
const MAX_LINE_BYTES: usize = 4 << 20;

/// The client of discovery.
pub struct DiscoveryClient<P> {
    /// The address of discovery; it changes when discovery moves.
    pub address: watch::Receiver<SocketAddr>,
    /// The names of zones and kinds in lists.
    pub entry_names: EntryNames,
    /// The timeouts and delays of the watch.
    pub timing: WatchTiming,
    /// Spreads the calls of several schedulers.
    pub rng: fastrand::Rng,
    /// The queue of the scheduler loop.
    pub events: mpsc::UnboundedSender<Event<P>>,
    /// The dispatcher's requests for a watch; it makes none where the scheduler uses an agent.
    pub watch_requests: mpsc::UnboundedReceiver<()>,
}

/// Why a line of a watch could not be understood.
#[derive(Debug, Error)]
enum ListError {
    /// Another object or a heartbeat came before the end of the present object.
    #[error("an object without its end")]
    Unfinished,
    /// An object is too long.
    #[error("an object is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// An object is not a list.
    #[error(transparent)]
    Json(#[from] JsonError),
}

/// Assembles a JSON object of discovery from its lines; an indented object spans several lines.
#[derive(Default)]
struct JsonObjectReader {
    bytes: BytesMut,
    nesting: json::Nesting,
}

impl JsonObjectReader {
    /// Appends a line, and returns the object if the line completes it.
    fn push_line(&mut self, line: &[u8]) -> Result<Option<BytesMut>, ListError> {
        let blank = line.iter().all(u8::is_ascii_whitespace);
        if blank && self.bytes.is_empty() {
            return Ok(None);
        }
        // A heartbeat or another list shows that the rest of this object never came. Waiting for the rest
        // would hide everything that follows.
        let starts_another = || line.len() > 1 && line[0] == b'{' && is_list(line);
        if blank || !self.bytes.is_empty() && starts_another() {
            return Err(ListError::Unfinished);
        }
        self.bytes.extend_from_slice(line);
        self.bytes.extend_from_slice(b"\n");
        if self.bytes.len() > MAX_LINE_BYTES {
            return Err(ListError::TooLong);
        }
        let is_complete = self.nesting.scan(line)?;
        Ok(is_complete.then(|| std::mem::take(self).bytes))
    }
}

fn is_list(line: &[u8]) -> bool {
    // Where nothing is named, any list is that of this deployment.
    let names = EntryNames { zones: vec![], kinds: vec![] };
    EndpointList::parse(line, &names).is_ok()
}

/// Returns whether a connection to discovery can be established. A local failure does not count as
/// unreachable.
async fn is_reachable(address: SocketAddr, limit: Duration) -> bool {
    use std::io::ErrorKind::{
        ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
    };
    let remote_errors = [ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut];
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => true,
        Ok(Err(e)) => !remote_errors.contains(&e.kind()),
        Err(_) => false,
    }
}

/// A call that discovery has answered with a watch.
struct EstablishedWatch {
    /// Kept because dropping the connection ends the watch.
    _connection: Connection,
    response: Response<Incoming>,
    waited: Duration,
}

type PendingCall = Pin<Box<dyn Future<Output = Result<EstablishedWatch, (WatchEnd, String)>> + Send>>;

/// Sends one request for a watch, and waits for its response without a timeout.
async fn request_watch(
    mut connection: Connection,
    address: SocketAddr,
    since: u64,
) -> Result<EstablishedWatch, (WatchEnd, String)> {
    let started_at = Instant::now();
    let failed = |why| (WatchEnd::Failed { waited: started_at.elapsed() }, why);
    let mut request = Request::new(Full::<Bytes>::default());
    let uri = format!("/v1/servers?follow=1&since={since}");
    *request.uri_mut() = uri.parse().map_err(|e| failed(format!("request: {e}")))?;
    request.headers_mut().insert(header::HOST, host_header(address));
    let response = connection.send_request(request).await.map_err(|broken| failed(broken.reason))?;
    match response.status() {
        StatusCode::OK => {
            Ok(EstablishedWatch { _connection: connection, response, waited: started_at.elapsed() })
        }
        status => Err(failed(format!("status {}", status.as_u16()))),
    }
}

/// Returns the watch with which discovery answers an earlier call; never returns without such a call, or if
/// it fails.
async fn await_earlier_call(call: &mut Option<PendingCall>) -> EstablishedWatch {
    if let Some(pending) = call {
        match pending.await {
            Ok(established) => return established,
            Err((_, why)) => warn!(why, "an earlier request to discovery failed"),
        }
        *call = None;
    }
    std::future::pending().await
}

impl<P> DiscoveryClient<P> {
    /// Watches the list until the scheduler loop has ended. `initial_list` is the list at the start.
    pub async fn run(self, initial_list: EndpointList) {
        let (list_freshness, freshness) = ListFreshness::at_start();
        let (events, max_age) = (self.events.clone(), self.timing.max_list_age());
        tokio::select! {
            () = self.maintain_watch(initial_list, list_freshness) => {}
            () = monitor_staleness(events, max_age, freshness) => {}
        }
    }

    async fn maintain_watch(mut self, initial_list: EndpointList, mut freshness: ListFreshness) {
        let mut version = initial_list.version;
        self.send_list(ListKind::Cached, initial_list.entries);
        let mut moved_at = None;
        if !self.timing.uses_agent {
            tokio::select! {
                requested = self.watch_requests.recv() => if requested.is_none() { return },
                () = address_changed(&mut self.address) => {
                    moved_at = Some(Instant::now());
                    freshness.mark_moved();
                }
            }
        }
        while !self.events.is_closed() {
            let address = *self.address.borrow_and_update();
            let mut address_changes = self.address.clone();
            let (end, why) = tokio::select! {
                ended = self.follow_watch(address, &mut version, &mut freshness) => ended,
                () = address_changed(&mut address_changes) => {
                    moved_at = Some(Instant::now());
                    freshness.mark_moved();
                    continue;
                }
            };
            warn!(%address, why, "watch on discovery ended");
            let has_moved_recently =
                moved_at.is_some_and(|at: Instant| at.elapsed() < MOVE_NOTIFICATION_DELAY);
            let delay = self
                .timing
                .retry_delay(if has_moved_recently { WatchEnd::Ended } else { end }, &mut self.rng);
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = address_changed(&mut address_changes) => {
                    moved_at = Some(Instant::now());
                    freshness.mark_moved();
                }
            }
        }
    }

    fn send_list(&self, kind: ListKind, entries: Vec<WorkerEndpoint>) {
        let _ = self.events.send(Event::WorkerList { kind, entries });
    }

    /// Returns once discovery cannot be reached any more.
    async fn wait_until_unreachable(&self, address: SocketAddr) {
        let limit = self.timing.connect_timeout().max(Duration::from_millis(250));
        loop {
            tokio::time::sleep(self.timing.reachability_check_interval()).await;
            if !is_reachable(address, limit).await {
                return;
            }
        }
    }

    /// Opens a connection to discovery, and records whether discovery can be reached.
    async fn connect(
        &self,
        address: SocketAddr,
        freshness: &mut ListFreshness,
    ) -> Result<Connection, String> {
        let started_at = Instant::now();
        match Connection::open(address, self.timing.connect_timeout(), None).await {
            Ok(connection) => {
                // An agent accepts connections also while discovery is down.
                if !self.timing.uses_agent {
                    freshness.mark_reached();
                }
                Ok(connection)
            }
            Err(why) => {
                let is_reachable = match why {
                    ConnectError::TimedOut => false,
                    _ => is_reachable(address, self.timing.connect_timeout()).await,
                };
                if !is_reachable {
                    freshness.mark_unreachable(started_at);
                }
                Err(why.to_string())
            }
        }
    }

    /// Opens a watch from a version on. A call that is not answered in time may be lost, so that another call
    /// is made. The first call stays open, because it keeps its place in the queue of discovery; the first
    /// response counts.
    async fn open_watch(
        &mut self,
        address: SocketAddr,
        since: u64,
        freshness: &mut ListFreshness,
    ) -> Result<EstablishedWatch, (WatchEnd, String)> {
        let mut first_call = None;
        loop {
            let connection =
                self.connect(address, freshness).await.map_err(|why| (WatchEnd::Unreachable, why))?;
            let called_at = Instant::now();
            let mut call: PendingCall = Box::pin(request_watch(connection, address, since));
            let failure = tokio::select! {
                biased;
                established = await_earlier_call(&mut first_call) => return Ok(established),
                result = &mut call => {
                    freshness.mark_reached();
                    match result {
                        Ok(established) => return Ok(established),
                        Err(failure) => failure,
                    }
                }
                () = tokio::time::sleep(self.timing.response_timeout()) => {
                    if self.timing.uses_agent {
                        // An agent is silent while discovery is down, and learns nothing.
                        freshness.mark_unreachable(called_at);
                    } else {
                        first_call.get_or_insert(call);
                    }
                    (WatchEnd::Silent, "no answer in time".to_owned())
                }
                () = self.wait_until_unreachable(address), if !self.timing.uses_agent => {
                    return Err((WatchEnd::Unreachable, "cut off before an answer".to_owned()));
                }
            };
            if first_call.is_none() {
                return Err(failure);
            }
            warn!(%address, why = failure.1, "no answer from discovery yet, sending another request");
            let delay = self.timing.retry_delay(failure.0, &mut self.rng);
            tokio::select! {
                established = await_earlier_call(&mut first_call) => return Ok(established),
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    /// Decodes a line of a watch, and returns the list if the line completes it.
    fn decode_line(
        &self,
        object: &mut JsonObjectReader,
        line: &[u8],
    ) -> Result<Option<EndpointList>, ListError> {
        let Some(bytes) = object.push_line(line)? else { return Ok(None) };
        Ok(Some(EndpointList::parse(&bytes, &self.entry_names)?))
    }

    /// Opens a watch from the given version on, and applies its lists until it ends.
    async fn follow_watch(
        &mut self,
        address: SocketAddr,
        version: &mut u64,
        freshness: &mut ListFreshness,
    ) -> (WatchEnd, String) {
        let EstablishedWatch { _connection, response, waited } =
            match self.open_watch(address, *version, freshness).await {
                Ok(established) => established,
                Err(failure) => return failure,
            };
        info!(since = version, "watch established");
        let established_at = Instant::now();
        let watch_end = || {
            if established_at.elapsed() < HEARTBEAT_INTERVAL {
                WatchEnd::Failed { waited }
            } else {
                WatchEnd::Ended
            }
        };
        let mut lines = LineReader::new(response.into_body(), MAX_LINE_BYTES);
        let mut object = JsonObjectReader::default();
        loop {
            let line = match timeout(self.timing.silence_timeout(), lines.next_line()).await {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => return (watch_end(), "discovery ended the watch".to_owned()),
                Ok(Err(error)) => return (watch_end(), error.to_string()),
                Err(_) => return (WatchEnd::Silent, "silent for too long".to_owned()),
            };
            // A broken line may have held changes: the next watch asks for all changes since the last valid
            // list.
            let list = match self.decode_line(&mut object, &line) {
                Ok(Some(list)) => list,
                Ok(None) => {
                    if object.bytes.is_empty() {
                        freshness.mark_received();
                    }
                    continue;
                }
                Err(error) => return (watch_end(), format!("broken line: {error}")),
            };
            for error in &list.skipped {
                let why = error.to_string();
                warn!(why, "skipping an invalid entry of the worker list");
            }
            *version = list.version;
            // Only a snapshot without skipped entries is complete: workers missing from any other list are
            // not gone.
            let is_complete = list.is_snapshot && list.skipped.is_empty();
            let kind = if is_complete { ListKind::Complete } else { ListKind::Changes };
            self.send_list(kind, list.entries);
            freshness.mark_received();
        }
    }
}

/// Returns once the address of discovery has changed; never returns if the address cannot change any more.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
