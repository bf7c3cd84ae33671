//! Divides the memory that the configuration allows among the program, its connections and the input of peers.

use std::sync::Arc;
use std::time::Duration;

use nickelflow_input_memory::{EvictionLimits, MemoryBudget};

use crate::result_memory::ResultMemory;

/// The program without connections and lists.
const PROGRAM_BYTES: usize = 8 << 20;
/// A worker of the endpoint list, with what is known about it.
const LISTED_WORKER_BYTES: usize = 4 << 10;
/// 1/`ALLOCATOR_DIVISOR` of the memory is left for the allocator's fragmentation.
const ALLOCATOR_DIVISOR: usize = 6;
/// The budget is at least 1/`MIN_BUDGET_DIVISOR` of the memory, also for an endpoint list that leaves less.
const MIN_BUDGET_DIVISOR: usize = 4;
/// A client connection: the buffers of hyper, the futures, and as much input as an account has free.
pub const CLIENT_CONNECTION_BYTES: usize = 24 << 10;
/// Input that is not charged: an account of up to this size belongs to a connection that is charged.
const FREE_INPUT_BYTES: usize = 4 << 10;
/// A connection to a worker with the attempt on it: the buffers of hyper, its queue of requests, the futures, and
/// a line that is not long.
pub const WORKER_CONNECTION_BYTES: usize = 32 << 10;
/// What hyper keeps of a request that arrives in several reads: the part that it has passed on, and the part
/// that it has read ahead.
pub const REQUEST_IN_TRANSIT_BYTES: usize = 16 << 10;
/// What hyper may keep of the trailers of a chunked body. hyper limits trailers to 16 KiB, and its buffer
/// doubles as it grows.
pub const TRAILER_BYTES: usize = 32 << 10;

/// 1/`RESULTS_DIVISOR` of what is left for input is for results of workers, the rest for the budget.
const RESULTS_DIVISOR: usize = 6;
/// How long connections and input keep their memory although others need it. The input of a client that sends
/// without a pause is awaited for a few milliseconds at most, also where many clients are served.
const EVICTION_LIMITS: EvictionLimits = EvictionLimits {
    min_stall: Duration::from_millis(50),
    max_input_time: Duration::from_millis(500),
    min_connection_idle: Duration::from_secs(1),
};

/// The division of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The budget of connections and of the input of clients (bytes).
    pub input_bytes: usize,
    /// The memory for results of workers (bytes).
    pub result_bytes: usize,
}

impl MemoryPlan {
    /// Divides this memory for a scheduler that knows this many workers.
    pub fn for_limit(memory_bytes: usize, known_workers: usize) -> MemoryPlan {
        let own_bytes =
            PROGRAM_BYTES + LISTED_WORKER_BYTES * known_workers + memory_bytes / ALLOCATOR_DIVISOR;
        let available_bytes = memory_bytes.saturating_sub(own_bytes).max(memory_bytes / MIN_BUDGET_DIVISOR);
        let result_bytes = available_bytes / RESULTS_DIVISOR;
        MemoryPlan { input_bytes: available_bytes - result_bytes, result_bytes }
    }
}

/// The memory that the parts of the scheduler share. Clones share the same memory.
#[derive(Clone)]
pub struct SharedMemory {
    limit_bytes: usize,
    /// The budget of connections and of the input of clients.
    pub input: Arc<MemoryBudget>,
    /// The memory for results of workers.
    pub results: ResultMemory,
}

impl SharedMemory {
    /// Divides this memory for a scheduler that knows this many workers.
    pub fn for_limit(limit_bytes: usize, known_workers: usize) -> SharedMemory {
        let plan = MemoryPlan::for_limit(limit_bytes, known_workers);
        SharedMemory {
            limit_bytes,
            input: MemoryBudget::new(plan.input_bytes, FREE_INPUT_BYTES, EVICTION_LIMITS),
            results: ResultMemory::new(plan.result_bytes),
        }
    }

    /// Sets memory aside for this many workers, at the cost of the input of clients.
    pub fn reserve_for_workers(&self, known_workers: usize) {
        self.input.set_limit(MemoryPlan::for_limit(self.limit_bytes, known_workers).input_bytes);
    }
}
