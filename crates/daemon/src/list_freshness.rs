//! Up to when the endpoint list is surely current, and the notification of the scheduler loop when it may be
//! stale.

use std::time::{Duration, Instant};

use nickelflow_engine::ListKind;
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use crate::scheduler_messages::Event;
use crate::watch_timing::{MAX_NOTIFICATION_DELAY, MOVE_NOTIFICATION_DELAY};

/// The time up to which the list surely has every change of which the scheduler counts as notified.
pub(crate) struct ListFreshness {
    current_until: watch::Sender<Instant>,
    /// No connection has been established since `current_until`, so that discovery could not be asked for
    /// newer changes.
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
        self.current_until.send_replace(Instant::now());
        self.is_unreached = true;
    }

    /// Records that discovery can be reached; its response may take longer than a notification may.
    pub(crate) fn mark_reached(&mut self) {
        self.is_unreached = false;
    }

    /// Records that discovery could not be reached at a time.
    pub(crate) fn mark_unreachable(&mut self, tried_at: Instant) {
        if self.is_unreached {
            self.current_until.send_modify(|current_until| *current_until = tried_at.max(*current_until));
        }
    }

    /// Records that discovery has moved, so that the scheduler counts as notified sooner.
    pub(crate) fn mark_moved(&mut self) {
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
                warn!("worker list may be stale");
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
