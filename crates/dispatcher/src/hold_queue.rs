//! A queue of items that wait for workers, with lookup by worker.

use std::collections::BTreeMap;
use std::ops::Bound;

/// Items ordered by position. Each waits for certain workers, or for any worker.
pub struct HoldQueue<P, T> {
    for_any_worker: BTreeMap<P, T>,
    by_worker: BTreeMap<usize, BTreeMap<P, T>>,
    len: usize,
}

impl<P, T> Default for HoldQueue<P, T> {
    fn default() -> Self {
        HoldQueue { for_any_worker: BTreeMap::new(), by_worker: BTreeMap::new(), len: 0 }
    }
}

impl<P: Copy + Ord, T: Copy> HoldQueue<P, T> {
    /// Adds an item that waits for the given workers, or for any worker if none are given. No two items may
    /// have the same position.
    pub fn insert(&mut self, position: P, item: T, workers: &[usize]) {
        self.len += 1;
        for worker in workers {
            self.by_worker.entry(*worker).or_default().insert(position, item);
        }
        if workers.is_empty() {
            self.for_any_worker.insert(position, item);
        }
    }

    /// Removes the item at a position. `workers` must be the same as when the item was added.
    pub fn remove(&mut self, position: P, workers: &[usize]) {
        self.len -= 1;
        for worker in workers {
            if let Some(waiting) = self.by_worker.get_mut(worker) {
                waiting.remove(&position);
                if waiting.is_empty() {
                    self.by_worker.remove(worker);
                }
            }
        }
        if workers.is_empty() {
            self.for_any_worker.remove(&position);
        }
    }

    /// Returns the first item after a position that may go to a worker, with its own position.
    pub fn next(&self, worker: usize, after: Bound<P>) -> Option<(P, T)> {
        let rest = (after, Bound::Unbounded);
        let for_worker = self.by_worker.get(&worker).and_then(|waiting| waiting.range(rest).next());
        let for_any = self.for_any_worker.range(rest).next();
        let next = for_worker.into_iter().chain(for_any).min_by_key(|(position, _)| **position)?;
        Some((*next.0, *next.1))
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
