//! Divides the memory that the configuration allows among the program, its connections and the input of peers.

use std::sync::Arc;

use nickelflow_input_memory::MemoryBudget;

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
/// What hyper keeps of a request that arrives in several reads: the part that it has passed on, and the part
/// that it has read ahead.
pub const REQUEST_IN_TRANSIT_BYTES: usize = 16 << 10;
/// What hyper may keep of the trailers of a chunked body. hyper limits trailers to 16 KiB, and its buffer
/// doubles as it grows.
pub const TRAILER_BYTES: usize = 32 << 10;

/// 1/`LONG_LINES_DIVISOR` of what is left for input is for long lines of workers, the rest for the budget.
const LONG_LINES_DIVISOR: usize = 4;
/// A long line of a worker: its buffer, its text as it is decoded, and the result in it.
const LONG_LINE_BYTES: usize = 192 << 10;

/// The division of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The budget of connections and of the input of peers (bytes).
    pub input_bytes: usize,
    /// How many long lines of workers may arrive at once.
    pub long_lines: usize,
}

impl MemoryPlan {
    /// Divides this memory for a scheduler whose endpoint list has this many workers.
    pub fn for_limit(memory_bytes: usize, listed_workers: usize) -> MemoryPlan {
        let own_bytes =
            PROGRAM_BYTES + LISTED_WORKER_BYTES * listed_workers + memory_bytes / ALLOCATOR_DIVISOR;
        let available_bytes = memory_bytes.saturating_sub(own_bytes).max(memory_bytes / MIN_BUDGET_DIVISOR);
        let long_line_bytes = available_bytes / LONG_LINES_DIVISOR;
        MemoryPlan {
            input_bytes: available_bytes - long_line_bytes,
            long_lines: (long_line_bytes / LONG_LINE_BYTES).max(1),
        }
    }

    /// Creates the budget of connections and of the input of peers.
    pub fn input_budget(&self) -> Arc<MemoryBudget> {
        MemoryBudget::new(self.input_bytes, FREE_INPUT_BYTES)
    }
}
