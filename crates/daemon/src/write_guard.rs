//! The last look before bytes of an attempt go to the kernel: the facts as they are at that moment, for the permit.
//!
//! Between the decision on an attempt and its first byte lie a wait for a place, a connect, and turns of other tasks; and a
//! process may be held up anywhere. What has happened meanwhile may be known to the kernel and not yet to the core, so that
//! the client's socket is looked at here.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nickelflow_engine::permits::{self, Denial, Permit, StopLevel, WriteFacts};
use tokio::sync::watch;

/// The time left that a head tells was read at most this long before its first byte, and is told shorter by as much: the
/// slack of 0.15 s that the platform gives is for a process that is held up in the write itself.
pub const MAX_HEAD_AGE: Duration = Duration::from_millis(20);

/// Whether a client is still there, by a look at its socket.
#[derive(Clone)]
pub struct ClientPresence(Arc<dyn Fn() -> bool + Send + Sync>);

impl ClientPresence {
    /// Known by a look that tells whether the client has left.
    pub fn new(has_left: impl Fn() -> bool + Send + Sync + 'static) -> ClientPresence {
        ClientPresence(Arc::new(has_left))
    }

    /// Of somebody who never leaves.
    pub fn always_connected() -> ClientPresence {
        ClientPresence::new(|| false)
    }

    /// Returns whether the client has disconnected.
    pub fn has_disconnected(&self) -> bool {
        (self.0)()
    }
}

/// What bounds the write of one attempt.
pub struct WriteGuard {
    /// How far the attempt may still proceed.
    pub stop_level: watch::Receiver<StopLevel>,
    /// Whether the client is still there.
    pub client: ClientPresence,
    /// When its client gives up.
    pub deadline: Instant,
    /// Until when a repeat may be written.
    pub resend_deadline: Option<Instant>,
    /// Until when the rules hold that it was decided by.
    pub rules_valid_until: Option<Instant>,
    /// When the time left that its head tells was read.
    pub head_built_at: Instant,
}

impl WriteGuard {
    /// Grants the write of a byte now; `started` if one has been written already.
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

    /// What a write that began with a permit has broken all the same, as the process stood still in it.
    pub fn violation_at(&self, written: Instant) -> Option<Denial> {
        let over = |until: Option<Instant>| until.is_some_and(|until| until <= written);
        let found = [
            (over(self.resend_deadline), Denial::DeduplicationWindowExpired),
            (over(self.rules_valid_until), Denial::RulesExpired),
        ];
        found.into_iter().find(|(broken, _)| *broken).map(|(_, denial)| denial)
    }

    /// When it is too late to write anything more of it.
    pub fn write_deadline(&self) -> Option<Instant> {
        [self.resend_deadline, self.rules_valid_until].into_iter().flatten().min()
    }
}
