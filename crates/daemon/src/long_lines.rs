//! Bounds the memory that long lines of workers occupy while they arrive.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A line of up to this size needs no permit.
pub const SHORT_LINE_BYTES: usize = 8 << 10;
/// A worker that sends nothing for this long gives its permit up if others wait for one.
pub const MAX_STALL: Duration = Duration::from_millis(250);

/// The permits for long lines. Whoever has none waits in order until another line is complete, so that many
/// large results at once are received one group after the other.
#[derive(Clone)]
pub struct LongLinePermits {
    permits: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
}

/// Counts one reader as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LongLinePermits {
    /// Creates this many permits.
    pub fn new(permits: usize) -> LongLinePermits {
        LongLinePermits { permits: Arc::new(Semaphore::new(permits)), waiting: Arc::default() }
    }

    /// Waits for a permit. Returns `None` only if the permits are closed, which never happens.
    pub async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(&self.waiting);
        self.permits.clone().acquire_owned().await.ok()
    }

    /// Returns whether others wait for a permit.
    pub fn are_awaited(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }
}
