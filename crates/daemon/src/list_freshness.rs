//! Up to when the endpoint list is surely current, and the notification of the scheduler loop when it may be
//! stale.

use std::time::{Duration, Instant};

use nickelflow_engine::ListKind;
use tokio::sync::{mpsc, watch};
use tracing::{debug, info, warn};

use crate::scheduler_messages::Event;
use crate::watch_timing::{MAX_NOTIFICATION_DELAY, MOVE_NOTIFICATION_DELAY};

/// The longest time between two calls that could not reach discovery for which discovery counts as unreachable
/// in between.
const MAX_UNOBSERVED_GAP: Duration = Duration::from_millis(500);

/// The time up to which the list surely has every change of which the scheduler counts as notified.
///
/// Only a line of a watch proves that the list is current. A call that cannot reach discovery proves nothing
/// about the time since the last line: the watch may have been silent, and changes that discovery had while it
/// could be reached count as notified although they did not arrive. Only the list at the start has no such time
/// before it: it stays current for as long as no call has ever reached discovery.
pub(crate) struct ListFreshness {
    current_until: watch::Sender<Instant>,
    /// Discovery has been unreachable since the start.
    is_unreached: bool,
}

impl ListFreshness {
    /// Creates the freshness of the list that the scheduler has at its start, and the receiver for
    /// [`monitor_staleness`].
    pub(crate) fn at_start() -> (ListFreshness, watch::Receiver<Instant>) {
        let (current_until, receiver) = watch::channel(Instant::now());
        (ListFreshness { current_until, is_unreached: true }, receiver)
    }

    /// Records that discovery has sent all changes it had.
    pub(crate) fn mark_received(&mut self) {
        self.is_unreached = false;
        self.current_until.send_replace(Instant::now());
    }

    /// Records that discovery can be reached; its response may take longer than a notification may.
    pub(crate) fn mark_reached(&mut self) {
        self.is_unreached = false;
    }

    /// Records that a call that began at `tried_at` and ended now could not reach discovery.
    pub(crate) fn mark_unreachable(&mut self, tried_at: Instant) {
        let current_until = *self.current_until.borrow();
        let gap = tried_at.saturating_duration_since(current_until);
        self.is_unreached &= gap <= MAX_UNOBSERVED_GAP;
        debug!(
            is_unreached = self.is_unreached,
            age_ms = current_until.elapsed().as_millis() as u64,
            "discovery cannot be reached"
        );
        if self.is_unreached {
            self.current_until.send_replace(Instant::now());
        }
    }

    /// Records that discovery has moved, so that the scheduler counts as notified sooner, whether or not
    /// discovery can be reached.
    pub(crate) fn mark_moved(&mut self) {
        self.is_unreached = false;
        let limit = Instant::now().checked_sub(MAX_NOTIFICATION_DELAY - MOVE_NOTIFICATION_DELAY);
        self.current_until.send_modify(|current_until| {
            *current_until = limit.map_or(*current_until, |limit| limit.min(*current_until))
        });
    }
}

/// Notifies the scheduler loop when the list may be stale and when it is current again, until the loop has
/// ended.
pub(crate) async fn monitor_staleness<P>(
    events: mpsc::UnboundedSender<Event<P>>,
    max_age: Duration,
    mut current_until: watch::Receiver<Instant>,
) {
    let notify = |kind| drop(events.send(Event::WorkerList { kind, entries: vec![] }));
    loop {
        let stale_at = *current_until.borrow_and_update() + max_age;
        tokio::select! {
            biased;
            changed = current_until.changed() => if changed.is_err() { return },
            () = tokio::time::sleep_until(stale_at.into()) => {
                let age_ms = current_until.borrow().elapsed().as_millis() as u64;
                warn!(age_ms, "worker list may be stale");
                notify(ListKind::Stale);
                while current_until.borrow_and_update().elapsed() >= max_age {
                    if current_until.changed().await.is_err() {
                        return;
                    }
                }
                info!("worker list is current");
                notify(ListKind::Changes);
            }
        }
    }
}
