//! The memory budget in isolation: what it admits, who gives way, and that nothing is counted twice or lost.

use std::future::poll_fn;
use std::task::Poll;

use nickelflow_input_memory::{BudgetExceeded, Eviction, MemoryBudget};

#[test]
fn accounts_share_the_limit_and_give_back_what_they_used() {
    let budget = MemoryBudget::new(100, 0);
    let first = budget.open_account(Eviction::Forbidden);
    let second = budget.open_account(Eviction::Forbidden);
    assert_eq!(first.resize(60), Ok(()));
    assert_eq!(second.resize(41), Err(BudgetExceeded));
    assert_eq!(second.resize(40), Ok(()));
    drop(first);
    assert_eq!(second.resize(100), Ok(()));
    drop(second);
    let usage = budget.usage();
    assert_eq!((usage.used_bytes, usage.peak_bytes, usage.evictions, usage.shortages), (0, 100, 0, 1));
}

#[test]
fn the_account_that_used_the_most_for_the_longest_gives_way() {
    let budget = MemoryBudget::new(100, 0);
    let old = budget.open_account(Eviction::Allowed);
    let kept = budget.open_account(Eviction::Forbidden);
    old.resize(60).expect("room");
    kept.resize(40).expect("room");
    let new = budget.open_account(Eviction::Allowed);
    assert_eq!(new.resize(50), Ok(()));
    assert_eq!(budget.usage().used_bytes, 150, "the owner has not freed it yet");
    assert_eq!(old.resize(1), Err(BudgetExceeded), "it stays evicted");
    assert_eq!(new.resize(61), Err(BudgetExceeded), "nobody else may be evicted");
    drop((old, kept, new));
    assert_eq!((budget.usage().used_bytes, budget.usage().evictions), (0, 1));
}

#[test]
fn a_forced_account_evicts_others_and_may_exceed_the_limit() {
    let budget = MemoryBudget::new(100, 0);
    let partial = budget.open_account(Eviction::Allowed);
    partial.resize(60).expect("room");
    let forced = budget.open_account(Eviction::Forbidden);
    forced.force_resize(90);
    drop(partial);
    assert_eq!((budget.usage().used_bytes, budget.usage().evictions), (90, 1));
    forced.force_resize(110);
    assert_eq!(budget.usage().used_bytes, 110);
    drop(forced);
    assert_eq!(budget.usage().used_bytes, 0);
}

#[test]
fn a_small_account_is_neither_charged_nor_evicted() {
    let budget = MemoryBudget::new(100, 10);
    let small = budget.open_account(Eviction::Allowed);
    let large = budget.open_account(Eviction::Forbidden);
    large.resize(100).expect("room");
    assert_eq!(small.resize(10), Ok(()));
    assert_eq!(budget.usage().used_bytes, 100);
    assert_eq!(small.resize(11), Err(BudgetExceeded));
}

#[tokio::test]
async fn the_owner_of_an_evicted_account_is_woken() {
    let budget = MemoryBudget::new(100, 0);
    let old = budget.open_account(Eviction::Allowed);
    old.resize(80).expect("room");
    let evicted = tokio::spawn(async move { old.wait_for_eviction().await });
    // It waits by now.
    poll_fn(|cx| {
        cx.waker().wake_by_ref();
        Poll::Ready(())
    })
    .await;
    tokio::task::yield_now().await;
    let new = budget.open_account(Eviction::Forbidden);
    assert_eq!(new.resize(80), Ok(()));
    tokio::time::timeout(std::time::Duration::from_secs(10), evicted)
        .await
        .expect("woken")
        .expect("no panic");
}

/// Guards against peers that wait for memory that an evicted one has given back already.
#[test]
fn an_evicted_account_can_give_its_memory_back() {
    let budget = MemoryBudget::new(100, 0);
    let old = budget.open_account(Eviction::Allowed);
    old.resize(80).expect("room");
    let new = budget.open_account(Eviction::Forbidden);
    new.resize(40).expect("room");
    assert_eq!(budget.usage().used_bytes, 120);
    assert_eq!(old.resize(0), Err(BudgetExceeded), "it stays evicted");
    assert_eq!(budget.usage().used_bytes, 40);
    drop(old);
    assert_eq!(budget.usage().used_bytes, 40);
}

/// Guards against a peak over the limit: memory was given on before the evicted peer had freed it.
#[tokio::test]
async fn memory_is_given_on_once_its_owner_has_freed_it() {
    let budget = MemoryBudget::new(100, 0);
    let old = budget.open_account(Eviction::Allowed);
    old.resize(80).expect("room");
    let new = budget.open_account(Eviction::Forbidden);
    let resized = tokio::spawn(async move { new.resize_when_free(80).await });
    old.wait_for_eviction().await;
    tokio::task::yield_now().await;
    assert!(!resized.is_finished());
    assert_eq!(budget.usage().peak_bytes, 80);
    drop(old);
    let resized = tokio::time::timeout(std::time::Duration::from_secs(10), resized).await;
    assert_eq!(resized.expect("woken").expect("no panic"), Ok(()));
    assert_eq!(budget.usage().peak_bytes, 80);
}
