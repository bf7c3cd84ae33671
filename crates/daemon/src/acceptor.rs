//! Accepts clients and divides the connection slots among them: which connection is shed when slots run short, what a client
//! is answered that makes no progress, and how a connection is closed.

use std::collections::HashMap;
use std::future::poll_fn;
use std::future::Future;
use std::io::{self, Read, Write};
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use nickelflow_engine::permits::{self, CloseFacts, Operation};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};
use tracing::{debug, warn};

use crate::client_connection::{ClientConnection, IDLE_RANK, LAST_HEAD};
use crate::counters::SharedCounters;
use crate::early_rejection::EarlyRejection;
use crate::job_handler::JobHandler;
use crate::listen::{is_shortage, BACKLOG};
use crate::request_reader::{ClientStream, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::shutdown::Shutdown;
use crate::throttle::Throttle;
use crate::violations;
use crate::DescriptorBudget;

/// How long accepting pauses after it failed; descriptors come free meanwhile.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The share (1/n) of the slots that may stay idle. Clients have a limited number of connections, and some open one for each
/// request and leave it idle: with more of them idle they could open no others.
const IDLE_PART: usize = 4;
/// Closed with input unread, a connection is reset, and the client may lose the answer that it has not read: so many bytes
/// are still read.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// For how long they are read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

const TOO_SLOW: EarlyRejection =
    EarlyRejection::new(StatusCode::REQUEST_TIMEOUT, "request not whole in time");
const TOO_MANY_CONNECTIONS: EarlyRejection =
    EarlyRejection::new(StatusCode::SERVICE_UNAVAILABLE, "too many connections");

/// The slots for connections of clients.
struct ConnectionSlots {
    max: usize,
    /// The number of connections beyond `max`, while those that have been shed for them are closing.
    spare: usize,
    counters: SharedCounters,
    occupied: Mutex<OccupiedSlots>,
    freed: Notify,
}

#[derive(Default)]
struct OccupiedSlots {
    next: u64,
    connections: HashMap<u64, Arc<ClientConnection>>,
}

/// A slot that is in use; dropping it frees the slot.
struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    number: u64,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.occupied().connections.remove(&self.number);
        self.slots.freed.notify_one();
    }
}

impl ConnectionSlots {
    fn occupied(&self) -> MutexGuard<'_, OccupiedSlots> {
        self.occupied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn crowded(&self) -> bool {
        self.occupied().connections.len() >= self.max + self.spare
    }

    /// Takes a slot for a new connection, for which another may be shed; `None` if all are in use.
    fn take(self: &Arc<Self>, client_connection: &Arc<ClientConnection>) -> Option<ConnectionSlot> {
        let mut occupied = self.occupied();
        if occupied.connections.len() >= self.max + self.spare {
            // None is shed for a connection that gets no slot.
            return None;
        }
        let idle = occupied
            .connections
            .values()
            .filter_map(|client_connection| Some((client_connection.eviction_rank()?, client_connection)));
        let idle: Vec<_> = idle.filter(|((rank, _), _)| *rank == IDLE_RANK).collect();
        if idle.len() > self.max / IDLE_PART {
            idle.iter().min_by_key(|(rank, _)| *rank)?.1.request_end();
            self.counters.shed.add();
        }
        let staying =
            occupied.connections.values().filter(|client_connection| !client_connection.is_shed()).count();
        if staying >= self.max {
            let ranked = occupied.connections.values().filter_map(|client_connection| {
                Some((client_connection.eviction_rank()?, client_connection))
            });
            ranked.min_by_key(|(rank, _)| *rank)?.1.request_end();
            self.counters.shed.add();
        }
        let number = occupied.next;
        occupied.next += 1;
        occupied.connections.insert(number, client_connection.clone());
        Some(ConnectionSlot { slots: self.clone(), number })
    }

    async fn empty(&self) {
        while !self.occupied().connections.is_empty() {
            self.freed.notified().await;
        }
    }
}

/// Accepts client connections until the shutdown closes the listener; returns when all connections have ended.
pub async fn serve(listener: TcpListener, handler: JobHandler, descriptors: DescriptorBudget) {
    let slots = Arc::new(ConnectionSlots {
        max: descriptors.clients,
        spare: descriptors.closing_clients,
        counters: handler.counters.clone(),
        occupied: Mutex::default(),
        freed: Notify::new(),
    });
    let mut shortages = Throttle::default();
    // Not by `select` alone: clients that come without a break, or an accept that always fails, would hide the close.
    while !handler.shutdown.is_closing() {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = handler.shutdown.closing() => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &handler, &slots).await,
            Err(error) => {
                handler.counters.accept_errors.add();
                if !concerns_one_client(&error) {
                    pause_accepting(&error, &mut shortages, &handler.shutdown).await;
                }
            }
        }
    }
    empty_backlog(listener, &handler, &slots).await;
    slots.empty().await;
}

/// Whether accept has failed for the client that it was to take, or for a signal: the next may well be taken.
fn concerns_one_client(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted, TimedOut};
    // Linux passes errors that are pending on the new connection on; its manual page names these.
    const PASSED_ON: [i32; 9] = [
        libc::ENETDOWN,
        libc::EPROTO,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
        libc::EPERM,
    ];
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted | TimedOut)
        || error.raw_os_error().is_some_and(|errno| PASSED_ON.contains(&errno))
}

/// Descriptors or memory are short: tried again and again, accept would keep the processor from what frees them.
async fn pause_accepting(error: &io::Error, shortages: &mut Throttle, shutdown: &Shutdown) {
    if let Some(left_out) = shortages.write(Instant::now()) {
        warn!(%error, left_out, "accept failed");
    }
    tokio::select! {
        () = tokio::time::sleep(ACCEPT_PAUSE) => {}
        () = shutdown.closing() => {}
    }
}

/// Takes what has come before the door closes: closing the listener would reset it. No more than the backlog holds, and
/// where descriptors are short, for no longer than a head may take.
async fn empty_backlog(listener: TcpListener, handler: &JobHandler, slots: &Arc<ConnectionSlots>) {
    let Ok(listener) = listener.into_std() else { return };
    let until = Instant::now() + LAST_HEAD;
    for _ in 0..BACKLOG {
        match listener.accept() {
            Ok((stream, _)) => {
                if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                    admit(stream, handler, slots).await;
                }
            }
            Err(error) if concerns_one_client(&error) => {}
            Err(error) if is_shortage(&error) && Instant::now() < until => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            Err(_) => return,
        }
    }
}

/// Finds a slot for a new client, or rejects it.
async fn admit(stream: TcpStream, handler: &JobHandler, slots: &Arc<ConnectionSlots>) {
    handler.counters.accepted.add();
    let _ = stream.set_nodelay(true);
    let client_connection = ClientConnection::new();
    if slots.crowded() {
        // Those that have been shed get to close first.
        tokio::task::yield_now().await;
    }
    match slots.take(&client_connection) {
        Some(slot) => drop(tokio::spawn(serve_connection(
            stream,
            JobHandler { client_connection, ..handler.clone() },
            slot,
        ))),
        None => {
            handler.counters.turned_away.add();
            reject_connection(stream);
            // What is under way goes before those that come again at once.
            tokio::task::yield_now().await;
        }
    }
}

/// Answers a client that there is no slot for it, and closes the connection.
fn reject_connection(stream: TcpStream) {
    // Not by its readiness: of a connection that was accepted just now nothing is known yet.
    let Ok(mut stream) = stream.into_std() else { return };
    // All of it: a request that is read below and answered in part would be lost.
    if stream.write_all(&TOO_MANY_CONNECTIONS.to_bytes()).is_err() {
        return;
    }
    // Closed over its unread request, the connection is reset, and the answer may go with it.
    let mut left = MAX_HEAD_BYTES + MAX_BODY_BYTES as usize;
    let mut space = [0; 8 << 10];
    while left > 0 {
        match stream.read(&mut space) {
            Ok(0) => return,
            Ok(n) => left = left.saturating_sub(n),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseReason {
    /// The client has closed it, or it broke.
    ClientLeft,
    /// It was to end with its last answer.
    LastAnswer,
    /// The client took too long over a request or an answer, or had nothing to ask for too long.
    TooSlow,
    /// Another client needed its slot.
    Shed,
    /// The program ends.
    Ending,
}

type HttpConnection = http1::Connection<TokioIo<ClientStream>, TowerToHyperService<JobHandler>>;

/// Serves one client connection until it is closed. The task that runs it is owned by the connection's slot: the acceptor
/// returns when all slots are free.
async fn serve_connection(stream: TcpStream, handler: JobHandler, slot: ConnectionSlot) {
    let (shutdown, counters) = (handler.shutdown.clone(), handler.counters.clone());
    let client_connection = handler.client_connection.clone();
    debug!(client = client_connection.number, peer = ?stream.peer_addr().ok(), "client accepted");
    let client_stream = ClientStream::new(stream, client_connection.clone());
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(client_stream.clone()), TowerToHyperService::new(handler));
    // Lives until the function returns: dropped earlier, it would leave its notification to the select below.
    let mut end_requested = pin!(async {
        tokio::select! {
            () = client_connection.shed.notified() => {}
            () = shutdown.closing() => {}
        }
    });
    let reason = drive(&mut connection, &client_stream, &client_connection, end_requested.as_mut()).await;
    check_close(&client_connection, reason, &counters);
    // Dropping it cancels the job that it was serving.
    drop(connection);
    // A connection that is shed while its input is discarded closes at once.
    tokio::select! {
        _ = timeout(DISCARD_TIMEOUT, close(client_stream, &client_connection, reason, &counters)) => {}
        () = client_connection.shed.notified() => {}
    }
    drop(slot);
}

/// Drives a connection until it ends by itself, its client takes too long over a request or stays away, or it is to end for
/// another client or a shutdown. Then an idle one ends at once, which the protocol allows, and a busy one after its answer.
async fn drive(
    connection: &mut HttpConnection,
    client_stream: &ClientStream,
    client_connection: &ClientConnection,
    mut end_requested: Pin<&mut impl Future<Output = ()>>,
) -> CloseReason {
    let (mut end_requested_at, mut closing) = (None, false);
    let mut timer = pin!(sleep_until(Instant::now().into()));
    poll_fn(|cx| {
        if let Poll::Ready(ended) = connection.poll_without_shutdown(cx) {
            return Poll::Ready(match ended {
                Err(error) => {
                    debug!(client = client_connection.number, %error, "client connection broke");
                    CloseReason::ClientLeft
                }
                Ok(()) if client_stream.has_ended() => CloseReason::ClientLeft,
                Ok(()) if end_requested_at.is_some() => CloseReason::Ending,
                Ok(()) => CloseReason::LastAnswer,
            });
        }
        if client_stream.poll_gone(cx).is_ready() {
            return Poll::Ready(CloseReason::ClientLeft);
        }
        if end_requested_at.is_none() && end_requested.as_mut().poll(cx).is_ready() {
            end_requested_at = Some(Instant::now());
        }
        if client_connection.is_shed() && client_connection.is_idle() {
            return Poll::Ready(CloseReason::Shed);
        }
        // hyper has not seen a partial head and takes the connection for idle.
        if end_requested_at.is_some() && !closing && !client_connection.has_partial_request() {
            closing = true;
            Pin::new(&mut *connection).graceful_shutdown();
            cx.waker().wake_by_ref();
        }
        let Some(due) = client_connection.deadline(end_requested_at) else { return Poll::Pending };
        if timer.deadline() != due.into() {
            timer.as_mut().reset(due.into());
        }
        timer.as_mut().poll(cx).map(|()| CloseReason::TooSlow)
    })
    .await
}

/// Checks that a connection may be closed, and reports a violation if it may not.
fn check_close(client_connection: &ClientConnection, reason: CloseReason, counters: &SharedCounters) {
    let request = client_connection.request();
    let facts = CloseFacts {
        has_unanswered_request: client_connection.is_busy(),
        // It is answered when the connection is closed.
        has_partial_request: false,
        // A client that does not read has had its time.
        has_unwritten_response: client_connection.has_unwritten_response() && reason == CloseReason::Shed,
        client_disconnected: reason == CloseReason::ClientLeft,
    };
    debug!(client = client_connection.number, ?reason, unanswered = ?request, "client closed");
    if let Err(denial) = permits::check_close(facts) {
        let request = request.unwrap_or(HeaderValue::from_static("none"));
        violations::report(counters, Operation::Close, denial, &request);
    }
}

/// Answers a request that was not read completely, and closes the stream. Input that comes meanwhile is discarded.
async fn close(
    mut client_stream: ClientStream,
    client_connection: &ClientConnection,
    reason: CloseReason,
    counters: &SharedCounters,
) -> io::Result<()> {
    let is_late = matches!(reason, CloseReason::Shed | CloseReason::TooSlow);
    let rejection = match (is_late, client_connection.has_partial_request()) {
        (true, true) if client_connection.is_shed() => Some(TOO_MANY_CONNECTIONS),
        (true, true) => Some(TOO_SLOW),
        _ => client_connection.rejection(),
    };
    if let Some(rejection) = rejection {
        counters.rejected.add();
        let status = rejection.status.as_u16();
        debug!(client = client_connection.number, status, why = rejection.reason, "rejected");
        client_stream.write_all(&rejection.to_bytes()).await?;
    }
    client_stream.shutdown().await?;
    // Another client waits for the slot of a connection that is shed.
    let mut left = if client_connection.is_shed() { 0 } else { MAX_DISCARDED_BYTES };
    while left > 0 {
        match poll_fn(|cx| client_stream.poll_discard(cx)).await? {
            0 => break,
            discarded => left = left.saturating_sub(discarded),
        }
    }
    Ok(())
}
