//! When an account of a memory budget gives its memory up to others, and in which order.

use std::task::Waker;
use std::time::{Duration, Instant};

use crate::budget::MemoryOwner;

/// When an account can be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// While its input is incomplete: if others need its memory, and its input has stalled or takes long.
    IfStalled,
    /// While nothing is under way: if others need its memory, no stalled account is left, and it has been idle
    /// for a while.
    IfIdle,
    /// The account keeps its memory until it is closed.
    Forbidden,
}

/// How long an account keeps its memory although others need it.
#[derive(Clone, Copy, Debug)]
pub struct EvictionLimits {
    /// Input of which nothing arrives for this long has stalled.
    pub min_stall: Duration,
    /// Input that is incomplete for this long may be evicted despite progress.
    pub max_input_time: Duration,
    /// The connection of a client is not evicted before it has been idle, or its input has stalled, for this
    /// long.
    pub min_connection_idle: Duration,
}

/// An account as its budget keeps it.
pub(crate) struct AccountState {
    pub(crate) owner: MemoryOwner,
    pub(crate) bytes: usize,
    pub(crate) eviction: Eviction,
    pub(crate) is_evicted: bool,
    /// When the account was opened, or when its eviction was last changed.
    pub(crate) since: Instant,
    /// Since when the rest of its input has been awaited; `None` while there is input to read.
    pub(crate) stalled_since: Option<Instant>,
    /// Wakes the owner of the account when the account is evicted.
    pub(crate) waker: Option<Waker>,
}

/// The order in which accounts are evicted, the largest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    is_stalled: bool,
    /// How much memory the account occupies for how long, as a measure of its cost to others.
    cost: u128,
    /// Distinguishes accounts of the same cost.
    pub(crate) account: u64,
}

impl AccountState {
    fn has_stalled_for(&self, duration: Duration, now: Instant) -> bool {
        self.stalled_since.is_some_and(|since| now.saturating_duration_since(since) >= duration)
    }

    /// Returns the rank of the account; `None` if it cannot be evicted now.
    pub(crate) fn eviction_rank(
        &self,
        account: u64,
        now: Instant,
        limits: &EvictionLimits,
    ) -> Option<EvictionRank> {
        let age = now.saturating_duration_since(self.since);
        let is_evictable = match self.eviction {
            Eviction::IfStalled if self.owner == MemoryOwner::ClientConnection => {
                self.has_stalled_for(limits.min_connection_idle, now)
            }
            Eviction::IfStalled => {
                self.has_stalled_for(limits.min_stall, now) || age >= limits.max_input_time
            }
            // Another connection to a worker can be opened at any time.
            Eviction::IfIdle if self.owner == MemoryOwner::WorkerConnection => true,
            Eviction::IfIdle => age >= limits.min_connection_idle,
            Eviction::Forbidden => false,
        };
        (is_evictable && !self.is_evicted && self.bytes > 0).then(|| EvictionRank {
            is_stalled: self.eviction == Eviction::IfStalled,
            cost: self.bytes as u128 * (age.as_nanos() + 1),
            account,
        })
    }
}
