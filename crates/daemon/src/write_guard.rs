//! The last check before bytes of an attempt are written to the kernel, with the facts at the time of the
//! write.
//!
//! Between the decision to start an attempt and its first byte, the attempt waits for a connection slot and a
//! connect while other tasks run, and the process may be suspended at any point. The kernel may know of a
//! disconnect that the engine has not received yet, so the client's socket is checked here.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nickelflow_engine::permits::{self, Denial, Permit, StopLevel, WriteFacts};
use tokio::sync::watch;

use crate::write_turns::WriteTurn;

/// The largest age of a head when the first byte of the head is written. The remaining time that the head
/// announces is reduced by at most `MAX_HEAD_AGE`, because the slack of 0.15 s that the platform allows is
/// for a process that is suspended during the write itself.
pub const MAX_HEAD_AGE: Duration = Duration::from_millis(20);

/// Checks whether a client is still connected.
#[derive(Clone)]
pub struct ClientPresence(Arc<dyn Fn() -> bool + Send + Sync>);

impl ClientPresence {
    /// Creates a check that calls `has_left`.
    pub fn new(has_left: impl Fn() -> bool + Send + Sync + 'static) -> ClientPresence {
        ClientPresence(Arc::new(has_left))
    }

    /// Creates a check of a client that never disconnects.
    pub fn always_connected() -> ClientPresence {
        ClientPresence::new(|| false)
    }

    /// Returns whether the client has disconnected.
    pub fn has_disconnected(&self) -> bool {
        (self.0)()
    }
}

/// The conditions under which one attempt may be written.
pub struct WriteGuard {
    /// How far the attempt may still proceed.
    pub stop_level: watch::Receiver<StopLevel>,
    /// The check whether the client is still connected.
    pub client: ClientPresence,
    /// When the client gives up.
    pub deadline: Instant,
    /// Until when a resent request may be written.
    pub resend_deadline: Option<Instant>,
    /// Until when the rules that permitted the attempt are valid.
    pub rules_valid_until: Option<Instant>,
    /// When the head, including the announced remaining time, was built.
    pub head_built_at: Instant,
    /// The turn to write, which the first write ends.
    pub turn: Option<WriteTurn>,
}

impl WriteGuard {
    /// Permits the write of a byte now. `started` tells whether a byte of the attempt has been written
    /// already.
    ///
    /// # Errors
    ///
    /// Returns the reason why no byte may be written.
    pub fn permit(&self, started: bool) -> Result<Permit<()>, Denial> {
        let facts = WriteFacts {
            now: Instant::now(),
            started,
            stop: *self.stop_level.borrow(),
            client_disconnected: !started && self.client.has_disconnected(),
            deadline: self.deadline,
            resend_deadline: self.resend_deadline,
            rules_valid_until: self.rules_valid_until,
            headers_valid_until: self.head_built_at + MAX_HEAD_AGE,
        };
        permits::check_write(&facts)
    }

    /// Returns the violation by a permitted write that ended at `written`, after the permitted time had
    /// expired, because the process was suspended during the write.
    pub fn violation_at(&self, written: Instant) -> Option<Denial> {
        let has_expired = |expiry: Option<Instant>| expiry.is_some_and(|expiry| expiry <= written);
        let violations = [
            (has_expired(self.resend_deadline), Denial::DeduplicationWindowExpired),
            (has_expired(self.rules_valid_until), Denial::RulesExpired),
        ];
        violations.into_iter().find(|(is_violated, _)| *is_violated).map(|(_, denial)| denial)
    }

    /// Returns the time from which no further byte of the attempt may be written.
    pub fn write_deadline(&self) -> Option<Instant> {
        [self.resend_deadline, self.rules_valid_until].into_iter().flatten().min()
    }
}
