//! The part of a memory budget that one peer uses.

use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::time::timeout;

use crate::budget::{BudgetExceeded, MemoryBudget};
use crate::eviction::Eviction;

/// How often an account that waits for memory looks for accounts that have stalled meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// 1/`URGENT_DIVISOR` of the limit may be used beyond it for work that has been accepted.
const URGENT_DIVISOR: usize = 4;

/// The part of a budget that one peer uses. Dropping the account frees its part.
///
/// If the budget is used up, stalled accounts are evicted, those that have used the most memory for the longest
/// time first, and then idle ones.
pub struct MemoryAccount {
    pub(crate) budget: Arc<MemoryBudget>,
    pub(crate) id: u64,
    /// What is charged in addition if anything is charged.
    pub(crate) overhead_bytes: usize,
    /// Whether a call of [`MemoryAccount::resize_when_free`] has waited or waits.
    pub(crate) has_waited: AtomicBool,
}

impl MemoryAccount {
    /// Returns the account with this many bytes charged in addition whenever anything is charged.
    pub fn with_overhead(mut self, overhead_bytes: usize) -> MemoryAccount {
        self.overhead_bytes = overhead_bytes;
        self
    }

    /// Returns how many bytes the account may use without being charged.
    pub fn free_bytes(&self) -> usize {
        self.budget.free_bytes_per_account
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
        state.make_room(self.id, bytes, &self.budget.eviction_limits)?;
        state.set_bytes(self.id, bytes);
        Ok(())
    }

    /// Sets how many bytes the account uses as soon as the memory is free.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has been evicted, or the budget has no room and cannot make any now.
    pub fn poll_resize(&self, bytes: usize, cx: &mut Context<'_>) -> Poll<Result<(), BudgetExceeded>> {
        let bytes = self.charge(bytes);
        let mut state = self.budget.state();
        state.make_room(self.id, bytes, &self.budget.eviction_limits)?;
        if !state.fits(self.id, bytes) {
            state.waiting.push(cx.waker().clone());
            return Poll::Pending;
        }
        state.set_bytes(self.id, bytes);
        Poll::Ready(Ok(()))
    }

    /// Waits until the budget has room, and sets how many bytes the account uses. Those that wait are served in
    /// order, so that none is overtaken by others without end.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has been evicted, or needs more than the whole budget.
    pub async fn resize_when_free(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let present_bytes = self.budget.state().accounts.get(&self.id).map_or(0, |account| account.bytes);
        if self.charge(bytes) <= present_bytes {
            return self.resize(bytes);
        }
        let had_waited = self.has_waited.swap(true, Ordering::Relaxed);
        let started_at = Instant::now();
        let _turn = self.budget.turn.acquire().await;
        loop {
            self.check_can_fit(bytes)?;
            let resized = poll_fn(|cx| self.poll_resize_patiently(bytes, cx));
            if timeout(RETRY_INTERVAL, resized).await.is_ok() {
                break;
            }
        }
        let has_waited = had_waited || started_at.elapsed() >= RETRY_INTERVAL;
        self.has_waited.store(has_waited, Ordering::Relaxed);
        Ok(())
    }

    /// Returns an error if the account has been evicted, or needs more than the whole budget.
    fn check_can_fit(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let state = self.budget.state();
        let is_evicted = state.accounts.get(&self.id).is_none_or(|account| account.is_evicted);
        if is_evicted || self.charge(bytes) > state.limit_bytes {
            return Err(BudgetExceeded);
        }
        Ok(())
    }

    /// As [`MemoryAccount::poll_resize`], but waits also while the budget cannot make room.
    fn poll_resize_patiently(&self, bytes: usize, cx: &mut Context<'_>) -> Poll<()> {
        match self.poll_resize(bytes, cx) {
            Poll::Ready(Ok(())) => Poll::Ready(()),
            Poll::Ready(Err(BudgetExceeded)) => {
                self.budget.state().waiting.push(cx.waker().clone());
                Poll::Pending
            }
            Poll::Pending => Poll::Pending,
        }
    }

    /// Returns whether a call of [`MemoryAccount::resize_when_free`] waits, or has waited for a while.
    pub fn has_waited(&self) -> bool {
        self.has_waited.load(Ordering::Relaxed)
    }

    /// Sets how many bytes the account uses, if need be in the part of the memory beyond the budget that is for
    /// work that has been accepted. Others are evicted as far as that makes room.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has been evicted, or the memory is used up.
    pub fn resize_urgently(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let bytes = self.charge(bytes);
        let mut state = self.budget.state();
        if state.make_room(self.id, bytes, &self.budget.eviction_limits).is_err() {
            let present_bytes = state.accounts.get(&self.id).map_or(0, |account| account.bytes);
            let urgent_limit_bytes = state.limit_bytes + state.limit_bytes / URGENT_DIVISOR;
            if state.expected_bytes(present_bytes, bytes) > urgent_limit_bytes {
                return Err(BudgetExceeded);
            }
        }
        state.set_bytes(self.id, bytes);
        Ok(())
    }

    /// Sets how many bytes the account uses, also if the budget has no room for them. Others are evicted as far
    /// as that makes room.
    pub fn force_resize(&self, bytes: usize) {
        let bytes = self.charge(bytes);
        let mut state = self.budget.state();
        let _ = state.make_room(self.id, bytes, &self.budget.eviction_limits);
        state.set_bytes(self.id, bytes);
    }

    /// Records that input of the account has arrived. An eviction that has not been carried out is withdrawn.
    pub fn record_progress(&self) {
        let mut state = self.budget.state();
        if let Some(account) = state.accounts.get_mut(&self.id) {
            account.stalled_since = None;
        }
        state.withdraw_eviction(self.id);
    }

    /// Records that there is no input of the account to read, and that more is awaited.
    pub fn record_stall(&self) {
        if let Some(account) = self.budget.state().accounts.get_mut(&self.id) {
            account.stalled_since.get_or_insert_with(Instant::now);
        }
    }

    /// Sets when the account can be evicted from now on. An account that has been evicted stays evicted.
    pub fn set_eviction(&self, eviction: Eviction) {
        if let Some(account) = self.budget.state().accounts.get_mut(&self.id) {
            if account.eviction != eviction {
                (account.since, account.stalled_since) = (Instant::now(), None);
            }
            account.eviction = eviction;
        }
    }

    /// Sets how many bytes the account uses, and that it keeps them: its input is complete. An eviction that has
    /// not been carried out is withdrawn.
    pub fn keep(&self, bytes: usize) {
        let bytes = self.charge(bytes);
        let mut state = self.budget.state();
        if let Some(account) = state.accounts.get_mut(&self.id) {
            account.eviction = Eviction::Forbidden;
        }
        state.withdraw_eviction(self.id);
        state.set_bytes(self.id, bytes);
    }

    /// Returns whether the account has been evicted.
    pub fn is_evicted(&self) -> bool {
        self.budget.state().accounts.get(&self.id).is_none_or(|account| account.is_evicted)
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
