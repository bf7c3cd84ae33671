//! The state of one client's connection, which its stream, its request handler and the acceptor share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use nickelflow_input_memory::{Eviction, MemoryAccount};
use tokio::sync::Notify;

use crate::early_rejection::EarlyRejection;

/// The time within which a request must be complete, counted from the first byte of the request or, for the
/// first request, from connecting. A client that makes no progress must receive an error or a close within
/// 3 s of connecting.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The time that a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// The time that a new connection has for the first request before the connection is shed ahead of all
/// connections that have submitted a job.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// The time within which the rest of a head must arrive on a connection that is to end.
pub const FINAL_HEAD_TIMEOUT: Duration = Duration::from_millis(200);
/// The time that a client has to read the last response on a connection. `FINAL_RESPONSE_TIMEOUT` equals the
/// time from the close of the listener to the end of a graceful shutdown.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The time within which hyper must finish the connection after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks the socket of a client for a disconnect.
pub(crate) trait DisconnectCheck: Send + Sync {
    /// Returns whether the client has disconnected by now.
    fn has_disconnected(&self) -> bool;
}

/// When a connection is shed because a new client needs its slot: the least is shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedOrder {
    /// The connection is closing, or never submitted a job.
    WithoutJob {
        /// When the connection was accepted.
        since: Instant,
    },
    /// The connection submitted a job and is idle now. The client retries a request that crosses the close.
    Idle {
        /// When the connection was last in use.
        since: Instant,
    },
    /// The first request of the connection may be in transit, and would be lost.
    New {
        /// When the connection was accepted.
        since: Instant,
    },
    /// A call is in flight or a response is not written, so that the connection is not shed.
    Busy,
    /// The connection is shed already.
    AlreadyShed,
}

/// The state of one client's connection, shared by its stream, its request handler and the acceptor.
pub struct ClientConnection {
    /// The number that identifies the connection in logs.
    pub number: u64,
    accepted_at: Instant,
    disconnect_check: OnceLock<Weak<dyn DisconnectCheck>>,
    state: Mutex<ConnectionState>,
    /// Is notified when the connection is shed.
    pub shed_notify: Notify,
}

pub(crate) struct ConnectionState {
    /// When the current request began, if the request has not arrived completely yet. On a new connection,
    /// the time of the accept.
    pub(crate) request_started_at: Option<Instant>,
    /// Whether a byte of the current, incomplete request has arrived.
    pub(crate) has_request_bytes: bool,
    /// Whether a call of the service is in flight.
    pub(crate) has_active_call: bool,
    /// Whether a request has arrived completely and its response is not complete yet.
    pub(crate) awaits_response: bool,
    /// Whether part of a response is not written yet because the client does not read.
    pub(crate) has_unwritten_response: bool,
    /// Wakes the reader of the stream when the call of the service ends.
    pub(crate) reader_waker: Option<Waker>,
    /// When the connection was last in use.
    pub(crate) idle_since: Instant,
    /// Whether a request has been received on the connection.
    has_received_request: bool,
    /// Whether a job has been received on the connection.
    has_received_job: bool,
    /// Whether the connection is to end because a new client needs the slot of the connection.
    is_shed: bool,
    /// Whether the last response has been written, so that only the client's close is awaited.
    is_closing: bool,
    /// Whether the connection closes after the current request, so that no bytes after the current request
    /// are read.
    pub(crate) closes_after_request: bool,
    /// Why the current request is rejected before parsing by hyper.
    pub(crate) rejection: Option<EarlyRejection>,
    /// The id of the request that is being served.
    request_id: Option<HeaderValue>,
    /// What the connection is charged to; `None` once it is closing.
    memory: Option<MemoryAccount>,
    /// When the client last read a part of a response.
    response_progress_at: Instant,
}

impl ConnectionState {
    /// Records that input of a request has arrived that is not complete yet.
    pub(crate) fn record_input(&self) {
        let Some(memory) = &self.memory else { return };
        if !self.has_active_call {
            memory.set_eviction(Eviction::IfStalled);
        }
        memory.record_progress();
    }

    /// Records that there is no input to read.
    pub(crate) fn record_stall(&self) {
        if let Some(memory) = &self.memory {
            memory.record_stall();
        }
    }

    /// Records the result of writing a part of a response.
    pub(crate) fn record_write(&mut self, is_pending: bool) {
        if !is_pending || !self.has_unwritten_response {
            self.response_progress_at = Instant::now();
        }
        self.has_unwritten_response = is_pending;
    }

    fn set_eviction(&self, eviction: Eviction) {
        if let Some(memory) = &self.memory {
            memory.set_eviction(eviction);
        }
    }
}

impl ClientConnection {
    /// Creates the state of a connection that has just been accepted.
    pub fn new() -> Arc<ClientConnection> {
        let accepted_at = Instant::now();
        let state = ConnectionState {
            request_started_at: Some(accepted_at),
            has_request_bytes: false,
            has_active_call: false,
            awaits_response: false,
            has_unwritten_response: false,
            reader_waker: None,
            idle_since: accepted_at,
            has_received_request: false,
            has_received_job: false,
            is_shed: false,
            is_closing: false,
            closes_after_request: false,
            rejection: None,
            request_id: None,
            memory: None,
            response_progress_at: accepted_at,
        };
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let state = Mutex::new(state);
        Arc::new(ClientConnection {
            number,
            accepted_at,
            disconnect_check: OnceLock::new(),
            state,
            shed_notify: Notify::new(),
        })
    }

    /// Sets the check of the socket for the client's disconnection. Only the first call has an effect.
    pub(crate) fn set_disconnect_check(&self, check: Weak<dyn DisconnectCheck>) {
        let _ = self.disconnect_check.set(check);
    }

    /// Checks the socket for a disconnect of the client, because the runtime has not yet reported input that
    /// has arrived since the last poll.
    pub fn has_disconnected(&self) -> bool {
        let Some(check) = self.disconnect_check.get() else { return false };
        match check.upgrade() {
            Some(check) => check.has_disconnected(),
            // The stream has been dropped.
            None => true,
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a call of the service, which is in flight until the returned value is dropped.
    pub fn begin_call(self: &Arc<Self>) -> ActiveCall {
        let mut state = self.state();
        (state.has_active_call, state.has_received_request) = (true, true);
        drop(state);
        ActiveCall(self.clone())
    }

    /// Records that the current request is a job with this id, which is being submitted.
    pub fn begin_job(&self, request_id: &HeaderValue) {
        let mut state = self.state();
        (state.has_received_job, state.awaits_response) = (true, true);
        state.set_eviction(Eviction::Forbidden);
        state.request_id = Some(request_id.clone());
    }

    /// Returns the id of the request that is being served.
    pub fn request_id(&self) -> Option<HeaderValue> {
        self.state().request_id.clone()
    }

    /// Returns whether part of a response is not written yet.
    pub fn has_unwritten_response(&self) -> bool {
        self.state().has_unwritten_response
    }

    /// Returns whether a call of the service is in flight.
    pub fn has_active_call(&self) -> bool {
        self.state().has_active_call
    }

    /// Returns whether no call is in flight and the last response is written.
    pub fn is_idle(&self) -> bool {
        let state = self.state();
        !state.has_active_call && !state.has_unwritten_response
    }

    /// Returns whether the current request has arrived completely.
    pub fn is_request_complete(&self) -> bool {
        self.state().request_started_at.is_none()
    }

    /// Returns whether part of a request has arrived while no call of the service is in flight.
    pub fn has_partial_request(&self) -> bool {
        let state = self.state();
        !state.has_active_call && state.request_started_at.is_some() && state.has_request_bytes
    }

    /// Records that the current request is answered, and returns whether the connection must close after the
    /// response.
    pub fn finish_request(&self) -> bool {
        let mut state = self.state();
        state.closes_after_request |= state.request_started_at.is_some();
        (state.request_started_at, state.has_request_bytes) = (None, false);
        state.closes_after_request
    }

    /// Returns why the current request is rejected before parsing by hyper; `None` if the request is not
    /// rejected.
    pub fn rejection(&self) -> Option<EarlyRejection> {
        self.state().rejection
    }

    /// Returns when the current request must be complete.
    pub fn request_deadline(&self) -> Instant {
        self.state().request_started_at.unwrap_or(self.accepted_at) + REQUEST_TIMEOUT
    }

    /// Returns when the client exceeds the time limit that applies now; `None` while the scheduler works on a
    /// request of the client. `end_requested_at` is the time at which the connection was asked to end; `None`
    /// if the connection was not asked to end.
    pub fn deadline(&self, end_requested_at: Option<Instant>) -> Option<Instant> {
        let state = self.state();
        if state.has_active_call {
            return None;
        }
        if state.has_unwritten_response {
            let read_deadline = |end_requested_at: Instant| {
                (end_requested_at + FINAL_RESPONSE_TIMEOUT).max(state.idle_since + CLOSE_TIMEOUT)
            };
            return Some(end_requested_at.map_or(state.idle_since + IDLE_TIMEOUT, read_deadline));
        }
        let idle_deadline =
            state.idle_since + if state.closes_after_request { CLOSE_TIMEOUT } else { IDLE_TIMEOUT };
        let request_deadline =
            state.request_started_at.map_or(idle_deadline, |since| since + REQUEST_TIMEOUT);
        Some(end_requested_at.map_or(request_deadline, |end_requested_at| {
            request_deadline.min(end_requested_at + FINAL_HEAD_TIMEOUT)
        }))
    }

    /// Sets what the connection is charged to.
    pub fn set_memory(&self, memory: MemoryAccount) {
        self.state().memory = Some(memory);
    }

    /// Keeps the connection from being evicted during the present call: what it waits for is not its client's
    /// input, or is charged to an account of its own.
    pub fn forbid_eviction(&self) {
        self.state().set_eviction(Eviction::Forbidden);
    }

    /// Ends the charge of a connection of which only the close is left.
    pub fn release_memory(&self) {
        let memory = self.state().memory.take();
        drop(memory);
    }

    /// Completes when others need the memory of the connection.
    pub fn poll_evicted(&self, cx: &mut Context<'_>) -> Poll<()> {
        match &self.state().memory {
            Some(memory) => memory.poll_evicted(cx),
            None => Poll::Pending,
        }
    }

    /// Returns since when the client has read nothing of a response; `None` if the last response is written.
    pub fn unread_response_since(&self) -> Option<Instant> {
        let state = self.state();
        state.has_unwritten_response.then_some(state.response_progress_at)
    }

    /// Records that the last response has been written, so that only the client's close is awaited.
    pub fn begin_close(&self) {
        self.state().is_closing = true;
    }

    /// Returns whether the connection may be shed for a new client, and which connections are shed before it.
    pub fn shed_order(&self, now: Instant) -> ShedOrder {
        let state = self.state();
        if state.is_shed {
            return ShedOrder::AlreadyShed;
        }
        if state.has_active_call || state.has_unwritten_response {
            return ShedOrder::Busy;
        }
        if state.has_received_job && !state.is_closing {
            return ShedOrder::Idle { since: state.idle_since };
        }
        let grace_end = self.accepted_at + FIRST_REQUEST_GRACE;
        let is_new = !state.is_closing && !state.has_received_request && now < grace_end;
        match is_new {
            true => ShedOrder::New { since: self.accepted_at },
            false => ShedOrder::WithoutJob { since: self.accepted_at },
        }
    }

    /// Returns whether the connection is to end because a new client needs the slot of the connection.
    pub fn is_shed(&self) -> bool {
        self.state().is_shed
    }

    /// Requests the end of the connection because a new client needs the slot of the connection.
    pub fn shed(&self) {
        self.state().is_shed = true;
        self.shed_notify.notify_one();
    }
}

/// A call of the service that is in flight. Dropping an `ActiveCall` ends the call.
pub struct ActiveCall(Arc<ClientConnection>);

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let mut state = self.0.state();
        (state.has_active_call, state.awaits_response) = (false, false);
        state.request_id = None;
        state.idle_since = Instant::now();
        state.set_eviction(Eviction::IfIdle);
        state.reader_waker.take().into_iter().for_each(Waker::wake);
    }
}
