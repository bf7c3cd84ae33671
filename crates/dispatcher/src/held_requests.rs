//! The requests that are held until a worker opens, and the slots and memory that a worker must cover for
//! them.

use std::ops::Bound;

use crate::hold_queue::HoldQueue;
use crate::ids::RequestId;

/// Weight of a new request in the moving average of the memory that requests need.
const MEMORY_WEIGHT: f64 = 0.05;

/// Rank of a held request. Requests of an earlier variant are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HoldRank {
    /// Within the tenant's quota, and an answer in time is still possible.
    InTime,
    /// Only a late answer is possible.
    Late,
    /// Over the tenant's quota.
    OverQuota,
}

/// A request's position in the hold queue, ordered by rank and then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HoldPosition {
    /// The request's rank.
    pub(crate) rank: HoldRank,
    /// Its number in the order of arrival.
    pub(crate) arrival_number: u64,
}

impl HoldPosition {
    /// Returns the position after all requests of a rank.
    pub(crate) fn end_of(rank: HoldRank) -> Self {
        HoldPosition { rank, arrival_number: u64::MAX }
    }
}

/// The held requests.
pub(crate) struct HeldRequests {
    queue: HoldQueue<HoldPosition, RequestId>,
    /// Slots that a worker must cover to count as open: the most that any held request has needed since the
    /// queue was last empty.
    required_slots: f64,
    /// The most memory that any held request has needed since the queue was last empty.
    required_memory: f64,
    /// Moving average of the memory that requests need.
    mean_memory: f64,
}

impl HeldRequests {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        HeldRequests {
            queue: HoldQueue::default(),
            required_slots: 1.0,
            required_memory: 0.0,
            mean_memory: 0.0,
        }
    }

    /// Records the memory that an arriving request needs.
    pub(crate) fn record_memory(&mut self, memory: f64) {
        self.mean_memory += MEMORY_WEIGHT * (memory - self.mean_memory);
    }

    /// Returns the slots that a worker must cover to count as open.
    pub(crate) fn required_slots(&self) -> f64 {
        self.required_slots
    }

    /// Returns the memory that a worker must cover to count as open: that of the most demanding held request,
    /// or of an average request if that is more.
    pub(crate) fn required_memory(&self) -> f64 {
        self.required_memory.max(self.mean_memory)
    }

    /// Puts a request at a position, and removes it from its former one.
    pub(crate) fn put(
        &mut self,
        request: RequestId,
        former: Option<HoldPosition>,
        position: HoldPosition,
        candidates: &[usize],
    ) {
        if let Some(former) = former {
            self.queue.remove(former, candidates);
        }
        self.queue.insert(position, request, candidates);
    }

    /// Raises the slots and memory that a worker must cover to count as open, and returns whether they
    /// changed.
    pub(crate) fn raise_requirements(&mut self, slots: f64, memory: f64) -> bool {
        if slots <= self.required_slots && memory <= self.required_memory {
            return false;
        }
        self.required_slots = slots.max(self.required_slots);
        self.required_memory = memory.max(self.required_memory);
        true
    }

    /// Removes the request at a position.
    pub(crate) fn remove(&mut self, position: HoldPosition, candidates: &[usize]) {
        self.queue.remove(position, candidates);
        if self.queue.is_empty() {
            self.required_slots = 1.0;
            self.required_memory = 0.0;
        }
    }

    /// Returns the first request after a position that may go to a worker, with its own position.
    pub(crate) fn next(
        &self,
        worker: usize,
        after: Bound<HoldPosition>,
    ) -> Option<(HoldPosition, RequestId)> {
        self.queue.next(worker, after)
    }
}
