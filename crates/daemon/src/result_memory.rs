//! Bounds the memory that results of workers occupy, from the long line in which one arrives until its client has
//! been sent all of it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A line of up to this size is not charged: it is part of what is set aside for its connection.
pub const SHORT_LINE_BYTES: usize = 4 << 10;
/// A worker that sends nothing for this long gives its memory up if others wait for some.
pub const MAX_WORKER_STALL: Duration = Duration::from_millis(250);
/// A client that reads nothing of its response for this long loses its connection if others wait for memory.
pub const MAX_CLIENT_STALL: Duration = Duration::from_secs(1);
/// The unit in which memory is granted (bytes).
const PERMIT_BYTES: usize = 1 << 10;

/// The memory for results. Whoever finds too little left waits in order, so that many large results at once are
/// received one group after the other.
#[derive(Clone)]
pub struct ResultMemory {
    total_permits: usize,
    permits: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
}

/// Memory that is granted until this is dropped.
#[derive(Debug)]
pub struct ResultMemoryGrant(OwnedSemaphorePermit);

impl ResultMemoryGrant {
    /// Gives back what exceeds this many bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.0.num_permits().saturating_sub(permits_for(bytes));
        drop(self.0.split(excess));
    }
}

/// Counts one reader as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn permits_for(bytes: usize) -> usize {
    bytes.div_ceil(PERMIT_BYTES)
}

impl ResultMemory {
    /// Creates a memory of this many bytes.
    pub fn new(bytes: usize) -> ResultMemory {
        let total_permits = (bytes / PERMIT_BYTES).min(Semaphore::MAX_PERMITS);
        let permits = Arc::new(Semaphore::new(total_permits));
        ResultMemory { total_permits, permits, waiting: Arc::default() }
    }

    /// Waits for this many bytes, or for all of the memory if it has fewer. Returns `None` only if the memory is
    /// closed, which never happens.
    pub async fn acquire(&self, bytes: usize) -> Option<ResultMemoryGrant> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(&self.waiting);
        let permits = u32::try_from(permits_for(bytes).min(self.total_permits)).ok()?;
        self.permits.clone().acquire_many_owned(permits).await.ok().map(ResultMemoryGrant)
    }

    /// Returns whether others wait for memory.
    pub fn is_awaited(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    /// Returns how much of the memory is granted (bytes).
    pub fn used_bytes(&self) -> usize {
        (self.total_permits - self.permits.available_permits()) * PERMIT_BYTES
    }
}
