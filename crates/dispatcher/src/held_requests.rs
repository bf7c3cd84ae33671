//! The requests that wait for a worker to open, and what the most demanding of them takes.

use std::ops::Bound;

use crate::hold_queue::HoldQueue;
use crate::ids::RequestId;

/// Weight of one more request in the memory that a usual one takes.
const MEMORY_WEIGHT: f64 = 0.05;

/// The order in which groups of held requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HoldRank {
    /// Within their tenants' quotas, and they can be answered in time.
    InTime,
    /// They can only be answered late.
    Late,
    /// Over their tenants' quotas.
    OverQuota,
}

/// A request's position in the hold queue: by rank, and then in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HoldPosition {
    /// The request's rank.
    pub(crate) rank: HoldRank,
    /// Its number in the order of arrival.
    pub(crate) arrival_number: u64,
}

impl HoldPosition {
    /// Returns the position behind all requests of a rank.
    pub(crate) fn end_of(rank: HoldRank) -> Self {
        HoldPosition { rank, arrival_number: u64::MAX }
    }
}

/// The held requests.
pub(crate) struct HeldRequests {
    queue: HoldQueue<HoldPosition, RequestId>,
    /// Slots that a worker must cover to count as open: those of the widest held request.
    required_slots: f64,
    /// Memory of the held request that takes the most.
    required_memory: f64,
    /// Memory of a usual request.
    typical_memory: f64,
}

impl HeldRequests {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        HeldRequests {
            queue: HoldQueue::default(),
            required_slots: 1.0,
            required_memory: 0.0,
            typical_memory: 0.0,
        }
    }

    /// Takes in the memory of a request that arrives.
    pub(crate) fn record_memory(&mut self, memory: f64) {
        self.typical_memory += MEMORY_WEIGHT * (memory - self.typical_memory);
    }

    /// Returns the slots that a worker must cover to count as open.
    pub(crate) fn required_slots(&self) -> f64 {
        self.required_slots
    }

    /// Returns the memory that a worker must cover to count as open: what the most demanding held request
    /// takes, or a usual one.
    pub(crate) fn required_memory(&self) -> f64 {
        self.required_memory.max(self.typical_memory)
    }

    /// Puts a request at a position, in place of its former one.
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

    /// Raises what a worker must cover to count as open, and returns whether that is a change.
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

    /// Returns the next request after a position that may go to a worker, with its own position.
    pub(crate) fn next(
        &self,
        worker: usize,
        after: Bound<HoldPosition>,
    ) -> Option<(HoldPosition, RequestId)> {
        self.queue.next(worker, after)
    }
}
