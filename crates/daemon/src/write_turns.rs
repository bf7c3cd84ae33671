//! The turns of attempts to be written.
//!
//! The head of an attempt announces how much time is left, so that the head is outdated some milliseconds after it was
//! built. Hundreds of attempts may start at once. If all of them built their heads at once, each would wait for the
//! connections of all others to write, and would be outdated by then.

use std::sync::Arc;

use nickelflow_engine::Outcome;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// How many attempts may have a head that is built and not written.
const MAX_UNWRITTEN_HEADS: usize = 16;

/// The turns of all attempts.
pub struct WriteTurns(Arc<Semaphore>);

/// The turn of one attempt. Dropping it ends the turn.
pub struct WriteTurn {
    _permit: OwnedSemaphorePermit,
}

impl WriteTurns {
    /// Creates the turns.
    pub fn new() -> WriteTurns {
        WriteTurns(Arc::new(Semaphore::new(MAX_UNWRITTEN_HEADS)))
    }

    /// Waits until few other attempts have a head that is built and not written. They have their turns in order.
    ///
    /// # Errors
    ///
    /// Returns the outcome of an attempt that is not written.
    pub async fn next(&self) -> Result<WriteTurn, Outcome> {
        let permit = self.0.clone().acquire_owned().await;
        // The semaphore is never closed.
        permit.map(|permit| WriteTurn { _permit: permit }).map_err(|_| Outcome::NotSent)
    }
}
