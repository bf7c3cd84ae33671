//! Accepting service clients, and the places that they hold: who is shed when places run short, what a
//! client is told that does not get on, and how a connection is closed.

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

use crate::client_connection::{Visit, IDLE_RANK, LAST_HEAD};
use crate::counters::Shared;
use crate::job_handler::Front;
use crate::listen::{is_shortage, BACKLOG};
use crate::request_reader::{Inlet, Refusal, LARGEST_BODY, LARGEST_HEAD};
use crate::shutdown::Shutdown;
use crate::throttle::Throttle;
use crate::violations;
use crate::Descriptors;

/// Accepting goes on this long after it failed: descriptors come free meanwhile.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Clients may hold only so many connections for their requests, and some open one for each and let it stay:
/// more than this part (1/n) of the places does not stay idle, or they could open no others.
const IDLE_PART: usize = 4;
/// Closed with input unread, a connection is reset, and the client may lose the answer that it has not read:
/// so much is still read, for so long.
const DRAINED: usize = 256 << 10;
const DRAIN: Duration = Duration::from_millis(500);

const TOO_SLOW: Refusal = Refusal(StatusCode::REQUEST_TIMEOUT, "request not whole in time");
const CROWDED: Refusal = Refusal(StatusCode::SERVICE_UNAVAILABLE, "too many connections");

/// The connections of service clients.
struct Places {
    most: usize,
    /// Connections beyond these, while those that have been shed for them are closing.
    spare: usize,
    counters: Shared,
    held: Mutex<Held>,
    freed: Notify,
}

#[derive(Default)]
struct Held {
    next: u64,
    visits: HashMap<u64, Arc<Visit>>,
}

/// One place; dropped, it is free.
struct Place {
    places: Arc<Places>,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.held().visits.remove(&self.number);
        self.places.freed.notify_one();
    }
}

impl Places {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn crowded(&self) -> bool {
        self.held().visits.len() >= self.most + self.spare
    }

    /// A place for a newcomer, for which another may be told to go; `None` if all are in use.
    fn take(self: &Arc<Self>, visit: &Arc<Visit>) -> Option<Place> {
        let mut held = self.held();
        if held.visits.len() >= self.most + self.spare {
            // Nor is another told to go for one that gets no place.
            return None;
        }
        let idle = held.visits.values().filter_map(|visit| Some((visit.rank()?, visit)));
        let idle: Vec<_> = idle.filter(|((rank, _), _)| *rank == IDLE_RANK).collect();
        if idle.len() > self.most / IDLE_PART {
            idle.iter().min_by_key(|(rank, _)| *rank)?.1.tell_to_end();
            self.counters.shed.add();
        }
        let staying = held.visits.values().filter(|visit| !visit.shedding()).count();
        if staying >= self.most {
            let ranked = held.visits.values().filter_map(|visit| Some((visit.rank()?, visit)));
            ranked.min_by_key(|(rank, _)| *rank)?.1.tell_to_end();
            self.counters.shed.add();
        }
        let number = held.next;
        held.next += 1;
        held.visits.insert(number, visit.clone());
        Some(Place { places: self.clone(), number })
    }

    async fn empty(&self) {
        while !self.held().visits.is_empty() {
            self.freed.notified().await;
        }
    }
}

/// Accepts client connections until the shutdown has closed the door; returns when all have ended.
pub async fn serve(listener: TcpListener, front: Front, descriptors: Descriptors) {
    let places = Arc::new(Places {
        most: descriptors.clients,
        spare: descriptors.closing,
        counters: front.counters.clone(),
        held: Mutex::default(),
        freed: Notify::new(),
    });
    let mut shortages = Throttle::default();
    // Not by `select` alone: clients that come without a break, or an accept that always fails, would hide the close.
    while !front.shutdown.is_closing() {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = front.shutdown.closing() => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &front, &places).await,
            Err(error) => {
                front.counters.accept_errors.add();
                if !concerns_one_client(&error) {
                    pause_accepting(&error, &mut shortages, &front.shutdown).await;
                }
            }
        }
    }
    empty_backlog(listener, &front, &places).await;
    places.empty().await;
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
async fn empty_backlog(listener: TcpListener, front: &Front, places: &Arc<Places>) {
    let Ok(listener) = listener.into_std() else { return };
    let until = Instant::now() + LAST_HEAD;
    for _ in 0..BACKLOG {
        match listener.accept() {
            Ok((stream, _)) => {
                if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                    admit(stream, front, places).await;
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

/// Finds a place for a new client, or turns it away.
async fn admit(stream: TcpStream, front: &Front, places: &Arc<Places>) {
    front.counters.accepted.add();
    let _ = stream.set_nodelay(true);
    let visit = Visit::begin();
    if places.crowded() {
        // Those that have been shed get to close first.
        tokio::task::yield_now().await;
    }
    match places.take(&visit) {
        Some(place) => drop(tokio::spawn(connection(stream, Front { visit, ..front.clone() }, place))),
        None => {
            front.counters.turned_away.add();
            turn_away(stream);
            // What is under way goes before those that come again at once.
            tokio::task::yield_now().await;
        }
    }
}

/// Tells a client that there is no place for it, and closes.
fn turn_away(stream: TcpStream) {
    // Not by its readiness: of a connection that was accepted just now nothing is known yet.
    let Ok(mut stream) = stream.into_std() else { return };
    // All of it: a request that is read below and answered in part would be lost.
    if stream.write_all(&words(CROWDED)).is_err() {
        return;
    }
    // Closed over its unread request, the connection is reset, and the answer may go with it.
    let mut left = LARGEST_HEAD + LARGEST_BODY as usize;
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

/// A whole answer to a request that hyper never gets to see.
fn words(Refusal(status, why): Refusal) -> Vec<u8> {
    let length = why.len() + 1;
    format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{why}\n").into_bytes()
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
    /// Another needed its place.
    Shed,
    /// The program ends.
    Ending,
}

/// One client connection. It ends by itself, or when its client takes too long over a request or stays away;
/// told to end, an idle one closes at once, which the protocol allows, and a busy one after its answer.
async fn connection(stream: TcpStream, front: Front, place: Place) {
    let (shutdown, counters, visit) = (front.shutdown.clone(), front.counters.clone(), front.visit.clone());
    debug!(client = visit.number, peer = ?stream.peer_addr().ok(), "client accepted");
    let mut inlet = Inlet::new(stream, visit.clone());
    let mut connection = http1::Builder::new()
        .max_buf_size(LARGEST_HEAD)
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(inlet.clone()), TowerToHyperService::new(front));
    let mut told = pin!(async {
        tokio::select! {
            () = visit.shed.notified() => {}
            () = shutdown.closing() => {}
        }
    });
    let (mut told_at, mut closing) = (None, false);
    let mut timer = pin!(sleep_until(Instant::now().into()));
    let reason = poll_fn(|cx| {
        if let Poll::Ready(ended) = connection.poll_without_shutdown(cx) {
            return Poll::Ready(match ended {
                Err(error) => {
                    debug!(client = visit.number, %error, "client connection broke");
                    CloseReason::ClientLeft
                }
                Ok(()) if inlet.has_ended() => CloseReason::ClientLeft,
                Ok(()) if told_at.is_some() => CloseReason::Ending,
                Ok(()) => CloseReason::LastAnswer,
            });
        }
        if inlet.poll_gone(cx).is_ready() {
            return Poll::Ready(CloseReason::ClientLeft);
        }
        if told_at.is_none() && told.as_mut().poll(cx).is_ready() {
            told_at = Some(Instant::now());
        }
        if visit.shedding() && visit.idle() {
            return Poll::Ready(CloseReason::Shed);
        }
        // To hyper, which has not seen it, half a head is nothing, and the connection idle.
        if told_at.is_some() && !closing && !visit.half() {
            closing = true;
            Pin::new(&mut connection).graceful_shutdown();
            cx.waker().wake_by_ref();
        }
        let Some(due) = visit.due(told_at) else { return Poll::Pending };
        if timer.deadline() != due.into() {
            timer.as_mut().reset(due.into());
        }
        timer.as_mut().poll(cx).map(|()| CloseReason::TooSlow)
    })
    .await;
    let request = visit.request();
    let facts = CloseFacts {
        has_unanswered_request: visit.busy(),
        // It is answered with the close, below.
        has_partial_request: false,
        // One that does not read has had its time.
        has_unwritten_response: visit.stuck() && reason == CloseReason::Shed,
        client_disconnected: reason == CloseReason::ClientLeft,
    };
    let late = matches!(reason, CloseReason::Shed | CloseReason::TooSlow);
    debug!(client = visit.number, ?reason, unanswered = ?request, "client closed");
    if let Err(denial) = permits::close(facts) {
        let none = HeaderValue::from_static("none");
        violations::found(&counters, Operation::Close, denial, request.as_ref().unwrap_or(&none));
    }
    // With it goes what it was serving.
    drop(connection);
    let refusal = match (late, visit.half()) {
        (true, true) if visit.shedding() => Some(CROWDED),
        (true, true) => Some(TOO_SLOW),
        _ => visit.refusal(),
    };
    let close = async {
        if let Some(refusal) = refusal {
            counters.rejected.add();
            debug!(client = visit.number, status = refusal.0.as_u16(), why = refusal.1, "rejected");
            inlet.write_all(&words(refusal)).await?;
        }
        inlet.shutdown().await?;
        // Another waits for the place of one that is shed.
        let mut left = if visit.shedding() { 0 } else { DRAINED };
        while left > 0 {
            match poll_fn(|cx| inlet.poll_discard(cx)).await? {
                0 => break,
                n => left = left.saturating_sub(n),
            }
        }
        std::io::Result::Ok(())
    };
    // So may it be while it drains.
    tokio::select! {
        _ = timeout(DRAIN, close) => {}
        () = visit.shed.notified() => {}
    }
    drop(place);
}
