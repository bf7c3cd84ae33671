//! Accepts clients, serves their connections, answers clients that make no progress, and closes connections.

use std::future::poll_fn;
use std::future::Future;
use std::io::{self, Read, Write};
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use nickelflow_engine::permits::{self, CloseFacts, Operation};
use nickelflow_input_memory::{Eviction, MemoryOwner};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep_until, timeout, Sleep};
use tracing::{debug, warn};

use crate::client_connection::{ClientConnection, FINAL_HEAD_TIMEOUT};
use crate::connection_slots::{ConnectionSlot, ConnectionSlots};
use crate::counters::SharedCounters;
use crate::early_rejection::EarlyRejection;
use crate::job_handler::JobHandler;
use crate::listen::{is_shortage, BACKLOG};
use crate::memory_plan::REQUEST_IN_TRANSIT_BYTES;
use crate::request_reader::{ClientStream, MAX_BODY_BYTES, MAX_HEAD_BYTES, OUT_OF_MEMORY};
use crate::result_memory::{ResultMemory, MAX_CLIENT_STALL};
use crate::shutdown::Shutdown;
use crate::throttle::Throttle;
use crate::violations;
use crate::DescriptorBudget;

/// The pause after a failed accept, in which descriptors may be released.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How many clients are accepted before all other tasks that are ready have a turn. The rest of the clients wait in
/// the backlog, so that the turns of those who are served stay short.
const MAX_ACCEPTS_PER_TURN: u64 = 4;
/// The largest number of input bytes that are read and discarded before a connection is closed. The kernel
/// resets a connection that is closed with unread input, and the client may then lose an unread response.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// The longest time for writing a rejection and then discarding input before a connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a connection is checked for a response that its client does not read.
const RESULT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

const TOO_SLOW: EarlyRejection =
    EarlyRejection::new(StatusCode::REQUEST_TIMEOUT, "request not whole in time");
const TOO_MANY_CONNECTIONS: EarlyRejection =
    EarlyRejection::new(StatusCode::SERVICE_UNAVAILABLE, "too many connections");

/// Accepts client connections until the shutdown closes the listener; returns when all connections have
/// ended.
pub async fn serve(listener: TcpListener, handler: JobHandler, descriptors: DescriptorBudget) {
    let slots = ConnectionSlots::new(&descriptors, handler.counters.clone(), handler.memory.input.clone());
    let mut shortage_throttle = Throttle::default();
    // The loop condition checks for the close because the `select` below prefers a ready accept: a steady
    // stream of clients, or an accept that always fails, would hide the close from the `select`.
    for accept_count in 1_u64.. {
        if handler.shutdown.is_closing() {
            break;
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = handler.shutdown.wait_for_closing() => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &handler, &slots).await,
            Err(error) => {
                handler.counters.accept_errors.add();
                if !affects_single_connection(&error) {
                    pause_accepting(&error, &mut shortage_throttle, &handler.shutdown).await;
                }
            }
        }
        if accept_count.is_multiple_of(MAX_ACCEPTS_PER_TURN) {
            tokio::task::yield_now().await;
        }
    }
    drain_backlog(listener, &handler, &slots).await;
    slots.wait_until_empty().await;
}

/// Returns whether accept failed because of a single client's connection or because of a signal. After such a
/// failure the next accept may succeed at once.
fn affects_single_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted, TimedOut};
    // On Linux, accept returns the errors that are pending on the new connection. The manual page accept(2)
    // lists the pending errors.
    const PENDING_CONNECTION_ERRORS: [i32; 9] = [
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
        || error.raw_os_error().is_some_and(|errno| PENDING_CONNECTION_ERRORS.contains(&errno))
}

/// Pauses accepting while descriptors or memory are short. Retrying without a pause would take processor time
/// from the tasks that release descriptors and memory.
async fn pause_accepting(error: &io::Error, shortage_throttle: &mut Throttle, shutdown: &Shutdown) {
    if let Some(left_out) = shortage_throttle.record(Instant::now()) {
        warn!(%error, left_out, "accept failed");
    }
    tokio::select! {
        () = tokio::time::sleep(ACCEPT_RETRY_DELAY) => {}
        () = shutdown.wait_for_closing() => {}
    }
}

/// Accepts the connections that are still in the backlog, because closing the listener would reset the
/// connections in the backlog. Calls accept at most [`BACKLOG`] times, and if descriptors are short, retries
/// for at most [`FINAL_HEAD_TIMEOUT`].
async fn drain_backlog(listener: TcpListener, handler: &JobHandler, slots: &Arc<ConnectionSlots>) {
    let Ok(listener) = listener.into_std() else { return };
    let retry_deadline = Instant::now() + FINAL_HEAD_TIMEOUT;
    for _ in 0..BACKLOG {
        match listener.accept() {
            Ok((stream, _)) => {
                if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                    admit(stream, handler, slots).await;
                }
            }
            Err(error) if affects_single_connection(&error) => {}
            Err(error) if is_shortage(&error) && Instant::now() < retry_deadline => {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Err(_) => return,
        }
    }
}

/// Starts serving a new client if a slot is available, and rejects it otherwise.
async fn admit(stream: TcpStream, handler: &JobHandler, slots: &Arc<ConnectionSlots>) {
    handler.counters.accepted.add();
    let _ = stream.set_nodelay(true);
    let client_connection = ClientConnection::new();
    if slots.is_full() {
        // Yields so that shed connections can close and free slots before a slot is acquired.
        tokio::task::yield_now().await;
    }
    match slots.acquire(&client_connection) {
        Some(slot) => drop(tokio::spawn(serve_connection(
            stream,
            JobHandler { client_connection, ..handler.clone() },
            slot,
        ))),
        None => {
            handler.counters.turned_away.add();
            reject_connection(stream);
            // Yields so that requests in flight proceed before rejected clients that reconnect at once.
            tokio::task::yield_now().await;
        }
    }
}

/// Answers a client with [`TOO_MANY_CONNECTIONS`] because no slot is available, and closes the connection.
fn reject_connection(stream: TcpStream) {
    // The function calls the non-blocking socket directly, because the runtime does not know yet whether a
    // new connection is ready.
    let Ok(mut stream) = stream.into_std() else { return };
    // The function returns unless the whole response is written: a request that is read below but answered
    // only in part would be lost.
    if stream.write_all(&TOO_MANY_CONNECTIONS.to_bytes()).is_err() {
        return;
    }
    // The kernel resets a connection that is closed with an unread request, and the client might then lose
    // the response.
    let mut remaining_bytes = MAX_HEAD_BYTES + MAX_BODY_BYTES as usize;
    let mut chunk = [0; 8 << 10];
    while remaining_bytes > 0 {
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(n) => remaining_bytes = remaining_bytes.saturating_sub(n),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseReason {
    /// The client closed the connection, or the connection failed.
    ClientLeft,
    /// The connection ended after the last response.
    LastAnswer,
    /// The client took too long to send a request or to read a response, or was idle for too long.
    TooSlow,
    /// A new client needed the slot of the connection.
    Shed,
    /// Others needed the memory of the connection, or of the result that its client does not read.
    OutOfMemory,
    /// The scheduler is shutting down.
    Ending,
}

type HttpConnection = http1::Connection<TokioIo<ClientStream>, TowerToHyperService<JobHandler>>;

/// Serves one client connection until the connection is closed. The task holds the slot of the connection
/// until the close, because the acceptor returns when all slots are free.
async fn serve_connection(stream: TcpStream, handler: JobHandler, slot: ConnectionSlot) {
    let (shutdown, counters) = (handler.shutdown.clone(), handler.counters.clone());
    let result_memory = handler.memory.results.clone();
    let client_connection = handler.client_connection.clone();
    debug!(client = client_connection.number, peer = ?stream.peer_addr().ok(), "client accepted");
    let input_memory = handler.memory.input.open_account(MemoryOwner::ClientInput, Eviction::IfStalled);
    let input_memory = input_memory.with_overhead(REQUEST_IN_TRANSIT_BYTES);
    let client_stream = ClientStream::new(stream, client_connection.clone(), input_memory);
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(client_stream.clone()), TowerToHyperService::new(handler));
    // `end_requested` lives until the function returns: a future dropped earlier would pass a received
    // notification on to the `select` below.
    let mut end_requested = pin!(async {
        tokio::select! {
            () = client_connection.shed_notify.notified() => {}
            () = shutdown.wait_for_closing() => {}
        }
    });
    let reason =
        drive(&mut connection, &client_stream, &client_connection, &result_memory, end_requested.as_mut())
            .await;
    check_close(&client_connection, reason, &counters);
    // Dropping the connection cancels the job in flight on the connection.
    drop(connection);
    client_connection.release_memory();
    // A connection that is shed during the discard of input closes at once.
    tokio::select! {
        _ = timeout(DISCARD_TIMEOUT, close(client_stream, &client_connection, reason, &counters)) => {}
        () = client_connection.shed_notify.notified() => {}
    }
    drop(slot);
}

/// Drives a connection until the connection ends by itself, the client exceeds a timeout or disconnects, the
/// connection is shed, or the scheduler shuts down. On shedding and on shutdown, an idle connection ends at
/// once, which HTTP allows, and a busy connection ends after the response.
async fn drive(
    connection: &mut HttpConnection,
    client_stream: &ClientStream,
    client_connection: &ClientConnection,
    result_memory: &ResultMemory,
    mut end_requested: Pin<&mut impl Future<Output = ()>>,
) -> CloseReason {
    let (mut end_requested_at, mut is_closing) = (None, false);
    let mut timer = pin!(sleep_until(Instant::now().into()));
    poll_fn(|cx| {
        if let Poll::Ready(ended) = connection.poll_without_shutdown(cx) {
            return Poll::Ready(match ended {
                Err(error) => {
                    debug!(client = client_connection.number, %error, "client connection failed");
                    CloseReason::ClientLeft
                }
                Ok(()) if client_stream.has_ended() => CloseReason::ClientLeft,
                Ok(()) if end_requested_at.is_some() => CloseReason::Ending,
                Ok(()) => CloseReason::LastAnswer,
            });
        }
        if client_stream.poll_disconnected(cx).is_ready() {
            return Poll::Ready(CloseReason::ClientLeft);
        }
        if end_requested_at.is_none() && end_requested.as_mut().poll(cx).is_ready() {
            end_requested_at = Some(Instant::now());
        }
        if client_connection.is_shed() && client_connection.is_idle() {
            return Poll::Ready(CloseReason::Shed);
        }
        // A call that is in flight, and a response that is being written, are finished first.
        if client_connection.poll_evicted(cx).is_ready() && client_connection.is_idle() {
            return Poll::Ready(CloseReason::OutOfMemory);
        }
        // The stream withholds a partial head from hyper, so hyper would consider the connection idle.
        if end_requested_at.is_some() && !is_closing && !client_connection.has_partial_request() {
            is_closing = true;
            Pin::new(&mut *connection).graceful_shutdown();
            cx.waker().wake_by_ref();
        }
        let deadline = client_connection.deadline(end_requested_at);
        poll_time_limits(deadline, client_connection, result_memory, timer.as_mut(), cx)
    })
    .await
}

/// Completes when the client has exceeded `deadline`, or has read nothing of a response for so long that others that
/// wait for memory may have that of the result.
fn poll_time_limits(
    deadline: Option<Instant>,
    client_connection: &ClientConnection,
    result_memory: &ResultMemory,
    mut timer: Pin<&mut Sleep>,
    cx: &mut Context,
) -> Poll<CloseReason> {
    let Some(deadline) = deadline else { return Poll::Pending };
    loop {
        let now = Instant::now();
        if now >= deadline {
            return Poll::Ready(CloseReason::TooSlow);
        }
        let mut wake_at = deadline;
        if let Some(unread_since) = client_connection.unread_response_since() {
            if now >= unread_since + MAX_CLIENT_STALL && result_memory.is_awaited() {
                return Poll::Ready(CloseReason::OutOfMemory);
            }
            wake_at = wake_at.min(now + RESULT_CHECK_INTERVAL);
        }
        if timer.deadline() != wake_at.into() {
            timer.as_mut().reset(wake_at.into());
        }
        ready!(timer.as_mut().poll(cx));
    }
}

/// Checks that a connection may be closed, and reports a violation if the close is not permitted.
fn check_close(client_connection: &ClientConnection, reason: CloseReason, counters: &SharedCounters) {
    let request_id = client_connection.request_id();
    let facts = CloseFacts {
        has_unanswered_request: client_connection.has_active_call(),
        // `close` answers a partial request, so a partial request is no obstacle to closing the connection.
        has_partial_request: false,
        // An unwritten response counts only on a shed connection: on any other connection, the client has
        // used up the time for reading the response.
        has_unwritten_response: client_connection.has_unwritten_response() && reason == CloseReason::Shed,
        client_disconnected: reason == CloseReason::ClientLeft,
    };
    debug!(client = client_connection.number, ?reason, unanswered = ?request_id, "client closed");
    if let Err(denial) = permits::check_close(facts) {
        let request_id = request_id.unwrap_or(HeaderValue::from_static("none"));
        violations::report(counters, Operation::Close, denial, &request_id);
    }
}

/// Answers a request that was not read completely, shuts the stream down, and then discards input up to
/// [`MAX_DISCARDED_BYTES`].
async fn close(
    mut client_stream: ClientStream,
    client_connection: &ClientConnection,
    reason: CloseReason,
    counters: &SharedCounters,
) -> io::Result<()> {
    let rejection = match reason {
        _ if !client_connection.has_partial_request() => client_connection.rejection(),
        CloseReason::Shed => Some(TOO_MANY_CONNECTIONS),
        CloseReason::TooSlow if client_connection.is_shed() => Some(TOO_MANY_CONNECTIONS),
        CloseReason::TooSlow => Some(TOO_SLOW),
        CloseReason::OutOfMemory => Some(OUT_OF_MEMORY),
        CloseReason::ClientLeft | CloseReason::LastAnswer | CloseReason::Ending => {
            client_connection.rejection()
        }
    };
    if let Some(rejection) = rejection {
        counters.rejected.add();
        let status = rejection.status.as_u16();
        debug!(client = client_connection.number, status, why = rejection.reason, "request rejected");
        client_stream.write_all(&rejection.to_bytes()).await?;
    }
    client_connection.begin_close();
    client_stream.shutdown().await?;
    // A new client needs the slot of a shed connection, so a shed connection discards no input.
    let mut remaining_bytes = if client_connection.is_shed() { 0 } else { MAX_DISCARDED_BYTES };
    while remaining_bytes > 0 {
        match poll_fn(|cx| client_stream.poll_discard(cx)).await? {
            0 => break,
            discarded => remaining_bytes = remaining_bytes.saturating_sub(discarded),
        }
    }
    Ok(())
}
