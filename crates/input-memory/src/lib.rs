//! Bounds on the memory that the input of peers occupies.
//!
//! A body that arrives in many small frames costs far more memory than it has bytes if the frames are kept:
//! each keeps the buffer alive that it was read into, and needs bookkeeping of its own. [`read_body`] copies
//! the frames into one buffer. [`MemoryBudget`] bounds what all peers occupy together.

mod account;
mod body;
mod budget;
mod charged_bytes;
mod eviction;

pub use account::MemoryAccount;
pub use body::{read_body, read_body_within, BodyError};
pub use budget::{BudgetExceeded, MemoryBudget, MemoryOwner, MemoryUsage};
pub use charged_bytes::charged_bytes;
pub use eviction::{Eviction, EvictionLimits};
