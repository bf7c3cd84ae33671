//! The state of one client's connection, which its stream, its request handler and the acceptor share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::task::Waker;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use tokio::sync::Notify;

use crate::early_rejection::EarlyRejection;

/// How long a client may take over a request, from its first byte or, for the first request, from connecting: a client that
/// does not make progress must get an error or a close within 3 s of connecting.
pub const WHOLE: Duration = Duration::from_millis(2500);
/// How long a connection may be idle between requests.
const IDLE: Duration = Duration::from_secs(75);
/// How long a new connection has for its first request before it counts as one that brings none.
const NEW: Duration = Duration::from_millis(100);
/// The rank of connections that have brought a job and are idle.
pub const IDLE_RANK: u8 = 1;
/// How long the rest of a head may take to come on a connection that is to end.
pub const LAST_HEAD: Duration = Duration::from_millis(200);
/// How long a client may take to read an answer with which its connection is to end: from the close of the listener to the
/// end of a graceful shutdown.
const TAKING: Duration = Duration::from_millis(700);
/// How long hyper may take to finish after the last answer.
const CLOSING: Duration = Duration::from_millis(200);

/// Checks a client's socket for its disconnection.
pub(crate) trait DisconnectCheck: Send + Sync {
    /// Returns whether the client has disconnected by now.
    fn has_disconnected(&self) -> bool;
}

/// The state of one client's connection, shared by its stream, its request handler and the acceptor.
pub struct ClientConnection {
    /// The number of the connection, for logs.
    pub number: u64,
    began: Instant,
    disconnect_check: OnceLock<Weak<dyn DisconnectCheck>>,
    state: Mutex<ConnectionState>,
    /// Notified when the connection is to end for another client.
    pub shed: Notify,
}

pub(crate) struct ConnectionState {
    /// Since when a request has been coming in that is not complete yet.
    pub(crate) reading: Option<Instant>,
    /// A byte of that request has come.
    pub(crate) begun: bool,
    /// A call of the service is under way.
    pub(crate) busy: bool,
    /// All of a request has come that has no answer yet.
    pub(crate) passed: bool,
    /// Part of an answer is not written yet, because the client does not read.
    pub(crate) stuck: bool,
    /// Wakes the stream's reader once there is an answer.
    pub(crate) reader: Option<Waker>,
    /// When the connection was last in use.
    pub(crate) idle_since: Instant,
    /// The connection has brought a request.
    asked: bool,
    /// The connection has brought a job.
    proven: bool,
    /// The connection is to end for another client.
    shedding: bool,
    /// Nothing behind the present request is read.
    pub(crate) last: bool,
    /// Why the present request is rejected by its bytes.
    pub(crate) rejection: Option<EarlyRejection>,
    /// The id of the request that is being served.
    request: Option<HeaderValue>,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted now.
    pub fn new() -> Arc<ClientConnection> {
        let began = Instant::now();
        let state = ConnectionState {
            reading: Some(began),
            begun: false,
            busy: false,
            passed: false,
            stuck: false,
            reader: None,
            idle_since: began,
            asked: false,
            proven: false,
            shedding: false,
            last: false,
            rejection: None,
            request: None,
        };
        static NUMBERS: AtomicU64 = AtomicU64::new(0);
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        let state = Mutex::new(state);
        Arc::new(ClientConnection {
            number,
            began,
            disconnect_check: OnceLock::new(),
            state,
            shed: Notify::new(),
        })
    }

    /// Sets how the socket is checked for the client's disconnection. Only the first call counts.
    pub(crate) fn set_disconnect_check(&self, check: Weak<dyn DisconnectCheck>) {
        let _ = self.disconnect_check.set(check);
    }

    /// Checks at the socket whether the client has disconnected: what has arrived since the last poll nobody knows yet.
    pub fn has_disconnected(&self) -> bool {
        let Some(check) = self.disconnect_check.get() else { return false };
        match check.upgrade() {
            Some(check) => check.has_disconnected(),
            // The stream is closed.
            None => true,
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a call of the service; it is under way until the returned value is dropped.
    pub fn begin_call(self: &Arc<Self>) -> ActiveCall {
        let mut state = self.state();
        (state.busy, state.asked) = (true, true);
        drop(state);
        ActiveCall(self.clone())
    }

    /// Notes that the present request is a job with this id, which is being submitted.
    pub fn begin_job(&self, request: &HeaderValue) {
        let mut state = self.state();
        (state.proven, state.passed) = (true, true);
        state.request = Some(request.clone());
    }

    /// Returns the id of the request that is being served.
    pub fn request(&self) -> Option<HeaderValue> {
        self.state().request.clone()
    }

    /// Returns whether part of an answer is not written yet.
    pub fn has_unwritten_response(&self) -> bool {
        self.state().stuck
    }

    /// Returns whether a call of the service is under way.
    pub fn is_busy(&self) -> bool {
        self.state().busy
    }

    /// Returns whether no call is under way and the last answer is written.
    pub fn is_idle(&self) -> bool {
        let state = self.state();
        !state.busy && !state.stuck
    }

    /// Returns whether all of the present request has come.
    pub fn is_request_complete(&self) -> bool {
        self.state().reading.is_none()
    }

    /// Returns whether part of a request has come for which no call is under way.
    pub fn has_partial_request(&self) -> bool {
        let state = self.state();
        !state.busy && state.reading.is_some() && state.begun
    }

    /// Notes that the present request is answered, and returns whether the connection must end with the answer.
    pub fn finish_request(&self) -> bool {
        let mut state = self.state();
        state.last |= state.reading.is_some();
        (state.reading, state.begun) = (None, false);
        state.last
    }

    /// Returns why the present request is rejected by its bytes, if it is.
    pub fn rejection(&self) -> Option<EarlyRejection> {
        self.state().rejection
    }

    /// Returns when the present request must be complete.
    pub fn request_deadline(&self) -> Instant {
        self.state().reading.unwrap_or(self.began) + WHOLE
    }

    /// Returns when the client will have taken too long; `None` while the program is the one to act. `end_requested_at` is
    /// the time since which the connection is to end.
    pub fn deadline(&self, end_requested_at: Option<Instant>) -> Option<Instant> {
        let state = self.state();
        if state.busy {
            return None;
        }
        if state.stuck {
            let taken =
                |end_requested_at: Instant| (end_requested_at + TAKING).max(state.idle_since + CLOSING);
            return Some(end_requested_at.map_or(state.idle_since + IDLE, taken));
        }
        let from_idle = state.idle_since + if state.last { CLOSING } else { IDLE };
        let due = state.reading.map_or(from_idle, |since| since + WHOLE);
        Some(end_requested_at.map_or(due, |end_requested_at| due.min(end_requested_at + LAST_HEAD)))
    }

    /// Returns the order in which connections are shed, the lowest first: those that never brought a job, then those that
    /// have been idle longest, and last new ones, whose first request may be on its way and would be lost; clients retry a
    /// later request that crosses the close. `None` while a call is under way, its answer is not written, or the connection
    /// is being shed already.
    pub fn eviction_rank(&self) -> Option<(u8, Instant)> {
        let state = self.state();
        let new = !state.asked && self.began.elapsed() < NEW;
        let rank = match state.proven {
            true => (IDLE_RANK, state.idle_since),
            false => (if new { 2 } else { 0 }, self.began),
        };
        (!state.busy && !state.stuck && !state.shedding).then_some(rank)
    }

    /// Returns whether the connection is to end for another client.
    pub fn is_shed(&self) -> bool {
        self.state().shedding
    }

    /// Requests that the connection ends for another client.
    pub fn request_end(&self) {
        self.state().shedding = true;
        self.shed.notify_one();
    }
}

/// A call of the service that is under way; dropping it ends the call.
pub struct ActiveCall(Arc<ClientConnection>);

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let mut state = self.0.state();
        (state.busy, state.passed) = (false, false);
        state.request = None;
        state.idle_since = Instant::now();
        state.reader.take().into_iter().for_each(Waker::wake);
    }
}
