//! The queue of what is to happen: in the order of times, and at one time in the order of being asked for.
//!
//! A binary heap holds what is near. What is further off waits unsorted by slots of 2^22 ns, and comes into the
//! heap slot by slot: most of what is asked for is a deadline seconds ahead, and a heap that holds all of them
//! is larger than any cache.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::time::Nanos;

const SLOT: u32 = 22;

struct Coming<E> {
    at: Nanos,
    number: u64,
    event: E,
}

impl<E> PartialEq for Coming<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<E> Eq for Coming<E> {}
impl<E> PartialOrd for Coming<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Coming<E> {
    /// The next is the greatest, as the heap wants it.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

pub struct Queue<E> {
    near: BinaryHeap<Coming<E>>,
    /// The first slot that is not in the heap.
    horizon: u64,
    far: BTreeMap<u64, Vec<Coming<E>>>,
    number: u64,
}

impl<E> Queue<E> {
    pub fn new() -> Queue<E> {
        Queue { near: BinaryHeap::new(), horizon: 0, far: BTreeMap::new(), number: 0 }
    }

    pub fn push(&mut self, at: Nanos, event: E) {
        self.number += 1;
        let coming = Coming { at, number: self.number, event };
        let slot = at >> SLOT;
        if slot < self.horizon {
            self.near.push(coming);
        } else {
            self.far.entry(slot).or_default().push(coming);
        }
    }

    pub fn pop(&mut self) -> Option<(Nanos, E)> {
        while self.near.is_empty() {
            let (slot, events) = self.far.pop_first()?;
            self.horizon = slot + 1;
            self.near = BinaryHeap::from(events);
        }
        self.near.pop().map(|coming| (coming.at, coming.event))
    }
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue::new()
    }
}
