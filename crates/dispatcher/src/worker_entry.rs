//! Entries of the list of workers.

use crate::ids::WorkerId;
use crate::time::Nanos;

/// Whether a worker accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// The worker accepts new work.
    Ready,
    /// The worker finishes what it has and accepts nothing new.
    Draining,
    /// The worker has gone.
    Gone,
}

/// One entry of the list of workers.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// The worker's number.
    pub worker: WorkerId,
    /// A hash of the worker's address, the same at every dispatcher.
    pub address_hash: u64,
    /// The worker's zone.
    pub zone: u32,
    /// The worker's kind; workers of one kind are alike.
    pub kind: u32,
    /// The worker's cell, within which repeats of keyed requests may be dropped.
    pub cell: u32,
    /// Whether the worker accepts new work.
    pub status: WorkerStatus,
    /// The worker's registered size, relative to that of other workers; 1 where none is registered.
    pub registered_size: f64,
    /// When the worker's process last started; `None` is long ago.
    pub started_at: Option<Nanos>,
}
