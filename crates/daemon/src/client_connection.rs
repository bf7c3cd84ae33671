//! What is known of one client's connection, for its stream, the service behind it, and the front.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::task::Waker;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use tokio::sync::Notify;

use crate::early_rejection::EarlyRejection;

/// For how long a client may take over a request, from its first byte or, for the first, from connecting:
/// one that does not get on is owed an error or a close within 3 s of connecting.
pub const WHOLE: Duration = Duration::from_millis(2500);
/// For how long a client may stay between requests.
const IDLE: Duration = Duration::from_secs(75);
/// A newcomer gets this long to bring its first request before it counts as one that says nothing.
const NEW: Duration = Duration::from_millis(100);
/// The rank of those that have brought a job and are between two.
pub const IDLE_RANK: u8 = 1;
/// For how long a connection that is to end may still bring the rest of a head.
pub const LAST_HEAD: Duration = Duration::from_millis(200);
/// For how long a client may take over reading an answer where its connection is to end with it: from the close of
/// the door to the end of a planned end.
const TAKING: Duration = Duration::from_millis(700);
/// For how long hyper may take to be done after the last answer.
const CLOSING: Duration = Duration::from_millis(200);

/// Checks a client's socket for its disconnection.
pub(crate) trait DisconnectCheck: Send + Sync {
    /// Returns whether the client has disconnected by now.
    fn has_disconnected(&self) -> bool;
}

/// The state of one client's connection, shared by its stream, its request handler and the acceptor.
pub struct ClientConnection {
    /// Its own number, for logs.
    pub number: u64,
    began: Instant,
    disconnect_check: OnceLock<Weak<dyn DisconnectCheck>>,
    state: Mutex<ConnectionState>,
    /// Told to end, so that another finds a place.
    pub shed: Notify,
}

pub(crate) struct ConnectionState {
    /// Since when a request has been coming in that is not whole yet.
    pub(crate) reading: Option<Instant>,
    /// Whether any byte of it has come.
    pub(crate) begun: bool,
    /// Whether a call is under way.
    pub(crate) busy: bool,
    /// Whether all of a request has come to which there is no answer yet.
    pub(crate) passed: bool,
    /// Whether part of an answer is not written yet, for its client does not read.
    pub(crate) stuck: bool,
    /// Reads on once there is an answer.
    pub(crate) reader: Option<Waker>,
    pub(crate) idle_since: Instant,
    /// Whether it has ever brought a request, and one that was a job.
    asked: bool,
    proven: bool,
    shedding: bool,
    /// Nothing behind the present request is read.
    pub(crate) last: bool,
    pub(crate) refusal: Option<EarlyRejection>,
    /// The id of the request that is being served.
    request: Option<HeaderValue>,
}

impl ClientConnection {
    pub fn begin() -> Arc<ClientConnection> {
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
            refusal: None,
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

    /// A call on it is under way until what this gives is dropped.
    pub fn call(self: &Arc<Self>) -> ActiveCall {
        let mut state = self.state();
        (state.busy, state.asked) = (true, true);
        drop(state);
        ActiveCall(self.clone())
    }

    /// It has brought a job of this id, which is being handed in.
    pub fn prove(&self, request: &HeaderValue) {
        let mut state = self.state();
        (state.proven, state.passed) = (true, true);
        state.request = Some(request.clone());
    }

    /// The id of the request that is being served.
    pub fn request(&self) -> Option<HeaderValue> {
        self.state().request.clone()
    }

    /// Whether part of an answer is not written yet.
    pub fn stuck(&self) -> bool {
        self.state().stuck
    }

    pub fn busy(&self) -> bool {
        self.state().busy
    }

    /// Whether it has nothing to do for its client: no call is under way, and the last answer is written.
    pub fn idle(&self) -> bool {
        let state = self.state();
        !state.busy && !state.stuck
    }

    /// Whether all of the present request has come.
    pub fn whole(&self) -> bool {
        self.state().reading.is_none()
    }

    /// Whether part of a request has come that is not under way.
    pub fn half(&self) -> bool {
        let state = self.state();
        !state.busy && state.reading.is_some() && state.begun
    }

    /// Takes note of the answer to the present request; whether the connection must end with it.
    pub fn answered(&self) -> bool {
        let mut state = self.state();
        state.last |= state.reading.is_some();
        (state.reading, state.begun) = (None, false);
        state.last
    }

    pub fn refusal(&self) -> Option<EarlyRejection> {
        self.state().refusal
    }

    /// When the present request must be whole.
    pub fn whole_by(&self) -> Instant {
        self.state().reading.unwrap_or(self.began) + WHOLE
    }

    /// When the client has taken too long, as things stand; `None` while the program is the one to act. `told`:
    /// since when the connection is to end.
    pub fn due(&self, told: Option<Instant>) -> Option<Instant> {
        let state = self.state();
        if state.busy {
            return None;
        }
        if state.stuck {
            let taken = |told: Instant| (told + TAKING).max(state.idle_since + CLOSING);
            return Some(told.map_or(state.idle_since + IDLE, taken));
        }
        let from_idle = state.idle_since + if state.last { CLOSING } else { IDLE };
        let due = state.reading.map_or(from_idle, |since| since + WHOLE);
        Some(told.map_or(due, |told| due.min(told + LAST_HEAD)))
    }

    /// The least comes first to be shed: whoever never brought a job, then who has been idle longest, and
    /// last a newcomer, whose first request may be on its way and would be lost; others repeat one that
    /// crosses the close. `None` while a call is under way, its answer is not written, or it has been told already.
    pub fn rank(&self) -> Option<(u8, Instant)> {
        let state = self.state();
        let new = !state.asked && self.began.elapsed() < NEW;
        let rank = match state.proven {
            true => (IDLE_RANK, state.idle_since),
            false => (if new { 2 } else { 0 }, self.began),
        };
        (!state.busy && !state.stuck && !state.shedding).then_some(rank)
    }

    pub fn shedding(&self) -> bool {
        self.state().shedding
    }

    pub fn tell_to_end(&self) {
        self.state().shedding = true;
        self.shed.notify_one();
    }
}

/// One call under way on a connection.
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
