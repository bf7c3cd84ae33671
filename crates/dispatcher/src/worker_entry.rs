//! Entries of the worker list.

use crate::ids::WorkerId;
use crate::time::Nanos;

/// Whether a worker accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// The worker accepts new work.
    Ready,
    /// The worker finishes its jobs and accepts no new work.
    Draining,
    /// The worker no longer exists.
    Gone,
}

/// An entry of the worker list.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// The worker's identifier.
    pub worker: WorkerId,
    /// Hash of the worker's address. All dispatchers compute the same hash.
    pub address_hash: u64,
    /// The worker's zone.
    pub zone: u32,
    /// The worker's kind. Workers of one kind are alike.
    pub kind: u32,
    /// The worker's cell, which may be the scope within which repeats of a request with a key are dropped.
    pub cell: u32,
    /// Whether the worker accepts new work.
    pub status: WorkerStatus,
    /// The worker's registered size relative to other workers; 1 if none is registered.
    pub registered_size: f64,
    /// When the worker's process last started; `None` if that was long ago.
    pub started_at: Option<Nanos>,
}
