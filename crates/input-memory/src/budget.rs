//! A budget of memory that many peers share. A peer whose input stalls can be evicted in favour of others, so
//! that peers that send a part and wait cannot use up the budget.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Instant;

use thiserror::Error;
use tokio::sync::Semaphore;

use crate::account::MemoryAccount;
use crate::eviction::{AccountState, Eviction, EvictionLimits};

/// The budget has no room for more input of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("out of memory for input")]
pub struct BudgetExceeded;

/// What the memory of an account is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryOwner {
    /// The connection of a client.
    ClientConnection,
    /// Input of a client that has not been passed on: heads and pipelined requests.
    ClientInput,
    /// The body of a request.
    RequestBody,
    /// The connection to a worker.
    WorkerConnection,
}

impl MemoryOwner {
    /// All owners, in the order of [`MemoryUsage::used_by_owner`].
    pub const ALL: [MemoryOwner; 4] = [
        MemoryOwner::ClientConnection,
        MemoryOwner::ClientInput,
        MemoryOwner::RequestBody,
        MemoryOwner::WorkerConnection,
    ];

    /// Returns the name of the owner in the counters.
    pub fn name(self) -> &'static str {
        match self {
            MemoryOwner::ClientConnection => "client_connection",
            MemoryOwner::ClientInput => "client_input",
            MemoryOwner::RequestBody => "request_body",
            MemoryOwner::WorkerConnection => "worker_connection",
        }
    }
}

/// The use of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// The memory that all accounts use (bytes).
    pub used_bytes: usize,
    /// The most memory that all accounts have used together (bytes).
    pub peak_bytes: usize,
    /// How many accounts have been evicted.
    pub evictions: u64,
    /// How many times the budget had no room for an account.
    pub shortages: u64,
    /// The memory that the accounts of each owner use (bytes), in the order of [`MemoryOwner::ALL`].
    pub used_by_owner: [usize; MemoryOwner::ALL.len()],
}

/// A budget of memory for the input of many peers.
pub struct MemoryBudget {
    pub(crate) free_bytes_per_account: usize,
    pub(crate) eviction_limits: EvictionLimits,
    state: Mutex<BudgetState>,
    /// Held by the account that waits for memory; the others wait for it in order.
    pub(crate) turn: Semaphore,
}

/// The accounts of a budget.
pub(crate) struct BudgetState {
    pub(crate) limit_bytes: usize,
    usage: MemoryUsage,
    /// The part of the used bytes that belongs to evicted accounts, whose owners have not freed it yet.
    evicted_bytes: usize,
    next_account: u64,
    pub(crate) accounts: HashMap<u64, AccountState>,
    /// Wake those that wait until memory is freed.
    pub(crate) waiting: Vec<Waker>,
}

impl BudgetState {
    /// Returns the memory that all accounts would use if the evicted ones had freed theirs and one account used
    /// this much.
    pub(crate) fn expected_bytes(&self, present_bytes: usize, bytes: usize) -> usize {
        self.usage.used_bytes - self.evicted_bytes - present_bytes + bytes
    }

    /// Evicts other accounts in the order of their ranks until `needed_bytes` are evicted, or none is left.
    fn evict_others(&mut self, account: u64, needed_bytes: usize, limits: &EvictionLimits) -> usize {
        let now = Instant::now();
        let mut evicted_bytes = 0;
        while evicted_bytes < needed_bytes {
            let others = self.accounts.iter().filter(|(id, _)| **id != account);
            let ranks = others.filter_map(|(id, other)| other.eviction_rank(*id, now, limits));
            let Some(first) = ranks.max() else { break };
            evicted_bytes += self.evict(first.account);
        }
        evicted_bytes
    }

    /// Evicts an account, and returns its bytes.
    fn evict(&mut self, account: u64) -> usize {
        let Some(account) = self.accounts.get_mut(&account) else { return 0 };
        account.is_evicted = true;
        account.waker.take().into_iter().for_each(Waker::wake);
        self.evicted_bytes += account.bytes;
        self.usage.evictions += 1;
        account.bytes
    }

    /// Withdraws the eviction of an account that still uses all of its memory.
    pub(crate) fn withdraw_eviction(&mut self, account: u64) {
        let Some(account) = self.accounts.get_mut(&account) else { return };
        if std::mem::take(&mut account.is_evicted) {
            self.evicted_bytes -= account.bytes;
        }
    }

    /// Makes room for a new size of an account by evictions. The memory is free only once the owners of the
    /// evicted accounts have run. An evicted account may only shrink.
    pub(crate) fn make_room(
        &mut self,
        id: u64,
        bytes: usize,
        limits: &EvictionLimits,
    ) -> Result<(), BudgetExceeded> {
        let account = self.accounts.get(&id).ok_or(BudgetExceeded)?;
        let present_bytes = account.bytes;
        if account.is_evicted {
            self.set_bytes(id, bytes.min(present_bytes));
            return Err(BudgetExceeded);
        }
        let excess_bytes = self.expected_bytes(present_bytes, bytes).saturating_sub(self.limit_bytes);
        if bytes <= present_bytes || excess_bytes == 0 {
            return Ok(());
        }
        if self.evict_others(id, excess_bytes, limits) >= excess_bytes {
            return Ok(());
        }
        self.usage.shortages += 1;
        Err(BudgetExceeded)
    }

    /// Returns whether the new size of an account is within the limit now.
    pub(crate) fn fits(&self, id: u64, bytes: usize) -> bool {
        let present_bytes = self.accounts.get(&id).map_or(0, |account| account.bytes);
        bytes <= present_bytes || self.usage.used_bytes - present_bytes + bytes <= self.limit_bytes
    }

    pub(crate) fn set_bytes(&mut self, id: u64, bytes: usize) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        let present_bytes = std::mem::replace(&mut account.bytes, bytes);
        if account.is_evicted {
            self.evicted_bytes = self.evicted_bytes - present_bytes + bytes;
        }
        if present_bytes == 0 && bytes > 0 {
            // The time that the account has waited for memory does not count against its input.
            account.since = Instant::now();
        }
        let used_by_owner = &mut self.usage.used_by_owner[account.owner as usize];
        *used_by_owner = *used_by_owner - present_bytes + bytes;
        self.usage.used_bytes = self.usage.used_bytes - present_bytes + bytes;
        self.usage.peak_bytes = self.usage.peak_bytes.max(self.usage.used_bytes);
        if bytes < present_bytes {
            self.waiting.drain(..).for_each(Waker::wake);
        }
    }
}

impl MemoryBudget {
    /// Creates a budget of this many bytes. An account that uses at most `free_bytes_per_account` is not
    /// charged, so that it needs no room and is never evicted.
    pub fn new(
        limit_bytes: usize,
        free_bytes_per_account: usize,
        eviction_limits: EvictionLimits,
    ) -> Arc<MemoryBudget> {
        let state = BudgetState {
            limit_bytes,
            usage: MemoryUsage::default(),
            evicted_bytes: 0,
            next_account: 0,
            accounts: HashMap::new(),
            waiting: Vec::new(),
        };
        Arc::new(MemoryBudget {
            free_bytes_per_account,
            eviction_limits,
            state: Mutex::new(state),
            turn: Semaphore::new(1),
        })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the use of the budget.
    pub fn usage(&self) -> MemoryUsage {
        self.state().usage
    }

    /// Returns whether this many more bytes are within the limit.
    pub fn has_room(&self, bytes: usize) -> bool {
        let state = self.state();
        state.expected_bytes(0, bytes) <= state.limit_bytes
    }

    /// Sets the limit. If more is used, nothing is evicted before an account grows.
    pub fn set_limit(&self, limit_bytes: usize) {
        let mut state = self.state();
        state.limit_bytes = limit_bytes;
        state.waiting.drain(..).for_each(Waker::wake);
    }

    /// Opens an account that uses nothing yet.
    pub fn open_account(self: &Arc<Self>, owner: MemoryOwner, eviction: Eviction) -> MemoryAccount {
        let mut state = self.state();
        let id = state.next_account;
        state.next_account += 1;
        let now = Instant::now();
        let account = AccountState {
            owner,
            bytes: 0,
            eviction,
            is_evicted: false,
            since: now,
            stalled_since: None,
            waker: None,
        };
        state.accounts.insert(id, account);
        drop(state);
        MemoryAccount { budget: self.clone(), id, overhead_bytes: 0, has_waited: AtomicBool::new(false) }
    }
}
