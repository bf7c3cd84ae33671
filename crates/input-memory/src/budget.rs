//! A budget of memory that many peers share. A peer whose input is incomplete can be evicted in favour of
//! others, so that peers that send a part and wait cannot use up the budget.

use std::collections::HashMap;
use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use thiserror::Error;

/// The budget has no room for more input of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("out of memory for input")]
pub struct BudgetExceeded;

/// Whether an account can be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The account is evicted if others need its memory: its input is incomplete.
    Allowed,
    /// The account keeps its memory until it is closed.
    Forbidden,
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
}

/// A budget of memory for the input of many peers.
pub struct MemoryBudget {
    limit_bytes: usize,
    free_bytes_per_account: usize,
    state: Mutex<BudgetState>,
}

#[derive(Default)]
struct BudgetState {
    usage: MemoryUsage,
    /// The part of the used bytes that belongs to evicted accounts, whose owners have not freed it yet.
    evicted_bytes: usize,
    next_account: u64,
    accounts: HashMap<u64, AccountState>,
    /// Wake those that wait until memory is freed.
    waiting: Vec<Waker>,
}

struct AccountState {
    bytes: usize,
    eviction: Eviction,
    is_evicted: bool,
    /// When the account was opened, or when its eviction was last allowed.
    since: Instant,
    /// Wakes the owner of the account when the account is evicted.
    waker: Option<Waker>,
}

impl AccountState {
    /// Returns how much memory the account occupies for how long, as a measure of its cost to others.
    fn cost(&self, bytes: usize, now: Instant) -> u128 {
        let age = now.saturating_duration_since(self.since).as_nanos() + 1;
        bytes as u128 * age
    }

    fn can_be_evicted(&self) -> bool {
        self.eviction == Eviction::Allowed && !self.is_evicted && self.bytes > 0
    }
}

impl BudgetState {
    /// Evicts other accounts that cost more than `min_cost`, the most costly first, until `needed_bytes` are
    /// evicted. Evicts none if there are not enough.
    fn evict_others(
        &mut self,
        account: u64,
        min_cost: u128,
        needed_bytes: usize,
    ) -> Result<(), BudgetExceeded> {
        let now = Instant::now();
        let others = self.accounts.iter().filter(|(id, other)| **id != account && other.can_be_evicted());
        let costs = others.map(|(id, other)| (other.cost(other.bytes, now), *id, other.bytes));
        let mut victims: Vec<_> = costs.filter(|(cost, ..)| *cost > min_cost).collect();
        if victims.iter().map(|(_, _, bytes)| bytes).sum::<usize>() < needed_bytes {
            return Err(BudgetExceeded);
        }
        victims.sort_unstable_by(|one, other| other.cmp(one));
        let mut evicted_bytes = 0;
        for (_, victim, bytes) in victims {
            if evicted_bytes >= needed_bytes {
                break;
            }
            evicted_bytes += bytes;
            self.evict(victim);
        }
        Ok(())
    }

    fn evict(&mut self, account: u64) {
        let Some(account) = self.accounts.get_mut(&account) else { return };
        account.is_evicted = true;
        account.waker.take().into_iter().for_each(Waker::wake);
        self.evicted_bytes += account.bytes;
        self.usage.evictions += 1;
    }

    /// Makes room for a new size of an account by evictions. The memory is free only once the owners of the
    /// evicted accounts have run. An evicted account may only shrink.
    fn make_room(&mut self, id: u64, bytes: usize, limit_bytes: usize) -> Result<(), BudgetExceeded> {
        let account = self.accounts.get(&id).ok_or(BudgetExceeded)?;
        if account.is_evicted {
            self.set_bytes(id, bytes.min(account.bytes));
            return Err(BudgetExceeded);
        }
        let expected_bytes = self.usage.used_bytes - self.evicted_bytes - account.bytes + bytes;
        if bytes <= account.bytes || expected_bytes <= limit_bytes {
            return Ok(());
        }
        let cost = match account.eviction {
            Eviction::Allowed => account.cost(bytes, Instant::now()),
            Eviction::Forbidden => 0,
        };
        let made = self.evict_others(id, cost, expected_bytes - limit_bytes);
        made.inspect_err(|_| self.usage.shortages += 1)
    }

    /// Returns whether the new size of an account is within the limit now.
    fn fits(&self, id: u64, bytes: usize, limit_bytes: usize) -> bool {
        let present_bytes = self.accounts.get(&id).map_or(0, |account| account.bytes);
        bytes <= present_bytes || self.usage.used_bytes - present_bytes + bytes <= limit_bytes
    }

    fn set_bytes(&mut self, id: u64, bytes: usize) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        let present_bytes = std::mem::replace(&mut account.bytes, bytes);
        if account.is_evicted {
            self.evicted_bytes = self.evicted_bytes - present_bytes + bytes;
        }
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
    pub fn new(limit_bytes: usize, free_bytes_per_account: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { limit_bytes, free_bytes_per_account, state: Mutex::default() })
    }

    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the use of the budget.
    pub fn usage(&self) -> MemoryUsage {
        self.state().usage
    }

    /// Opens an account that uses nothing yet.
    pub fn open_account(self: &Arc<Self>, eviction: Eviction) -> MemoryAccount {
        let mut state = self.state();
        let id = state.next_account;
        state.next_account += 1;
        let since = Instant::now();
        state.accounts.insert(id, AccountState { bytes: 0, eviction, is_evicted: false, since, waker: None });
        drop(state);
        MemoryAccount { budget: self.clone(), id, overhead_bytes: 0 }
    }
}

/// The part of a budget that one peer uses. Dropping the account frees its part.
///
/// If the budget is used up, the accounts that have used the most memory for the longest time are evicted: a
/// request for memory fails if the account that makes it would be the first of them.
pub struct MemoryAccount {
    budget: Arc<MemoryBudget>,
    id: u64,
    /// What is charged in addition if anything is charged.
    overhead_bytes: usize,
}

impl MemoryAccount {
    /// Returns the account with this many bytes charged in addition whenever anything is charged.
    pub fn with_overhead(mut self, overhead_bytes: usize) -> MemoryAccount {
        self.overhead_bytes = overhead_bytes;
        self
    }

    /// Returns what the account is charged for this many bytes.
    fn charge(&self, bytes: usize) -> usize {
        if bytes > self.budget.free_bytes_per_account {
            bytes + self.overhead_bytes
        } else {
            0
        }
    }

    /// Sets how many bytes the account uses. Memory of evicted accounts counts as free, although their owners
    /// have yet to free it.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has been evicted, or the budget has no room.
    pub fn resize(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let bytes = self.charge(bytes);
        let mut state = self.budget.state();
        state.make_room(self.id, bytes, self.budget.limit_bytes)?;
        state.set_bytes(self.id, bytes);
        Ok(())
    }

    /// Sets how many bytes the account uses as soon as the memory is free.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has been evicted, or the budget has no room.
    pub fn poll_resize(&self, bytes: usize, cx: &mut Context<'_>) -> Poll<Result<(), BudgetExceeded>> {
        let bytes = self.charge(bytes);
        let mut state = self.budget.state();
        state.make_room(self.id, bytes, self.budget.limit_bytes)?;
        if !state.fits(self.id, bytes, self.budget.limit_bytes) {
            state.waiting.push(cx.waker().clone());
            return Poll::Pending;
        }
        state.set_bytes(self.id, bytes);
        Poll::Ready(Ok(()))
    }

    /// Waits until the memory is free, and sets how many bytes the account uses.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has been evicted, or the budget has no room.
    pub async fn resize_when_free(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        poll_fn(|cx| self.poll_resize(bytes, cx)).await
    }

    /// Sets how many bytes the account uses, also if the budget has no room for them. Others are evicted as far
    /// as that makes room.
    pub fn force_resize(&self, bytes: usize) {
        let bytes = self.charge(bytes);
        let mut state = self.budget.state();
        let _ = state.make_room(self.id, bytes, self.budget.limit_bytes);
        state.set_bytes(self.id, bytes);
    }

    /// Allows or forbids to evict the account from now on. An account that has been evicted stays evicted.
    pub fn set_eviction(&self, eviction: Eviction) {
        if let Some(account) = self.budget.state().accounts.get_mut(&self.id) {
            if account.eviction != eviction {
                account.since = Instant::now();
            }
            account.eviction = eviction;
        }
    }

    /// Completes when the account has been evicted. Only the last task that polls is woken.
    pub fn poll_evicted(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.budget.state();
        let Some(account) = state.accounts.get_mut(&self.id) else { return Poll::Ready(()) };
        if account.is_evicted {
            return Poll::Ready(());
        }
        if !account.waker.as_ref().is_some_and(|waker| waker.will_wake(cx.waker())) {
            account.waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Waits until the account has been evicted.
    pub async fn wait_for_eviction(&self) {
        poll_fn(|cx| self.poll_evicted(cx)).await;
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.set_bytes(self.id, 0);
        state.accounts.remove(&self.id);
    }
}
