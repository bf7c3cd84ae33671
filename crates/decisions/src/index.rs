//! Indexes beside the decisions: what would otherwise be a pass over all workers. They decide nothing; each is
//! held against a naive model in `tests/indexes.rs`.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// A set of small numbers with a pick by position: insert, remove and pick take the same time at any size.
#[derive(Default)]
pub struct Pool {
    members: Vec<usize>,
    /// Where each number stands among the members.
    places: Vec<Option<usize>>,
}

impl Pool {
    /// Puts a number in or takes it out.
    pub fn set(&mut self, number: usize, member: bool) {
        if self.places.len() <= number {
            self.places.resize(number + 1, None);
        }
        match (self.places[number], member) {
            (None, true) => {
                self.places[number] = Some(self.members.len());
                self.members.push(number);
            }
            (Some(place), false) => {
                self.members.swap_remove(place);
                self.places[number] = None;
                if let Some(moved) = self.members.get(place) {
                    self.places[*moved] = Some(place);
                }
            }
            _ => {}
        }
    }

    /// The members, in an order that follows from the order of changes alone.
    pub fn members(&self) -> &[usize] {
        &self.members
    }

    pub fn contains(&self, number: usize) -> bool {
        self.places.get(number).is_some_and(Option::is_some)
    }
}

/// Numbers on a ring, each at a place that it keeps.
#[derive(Default)]
pub struct Ring(BTreeSet<(u64, usize)>);

impl Ring {
    pub fn set(&mut self, place: u64, number: usize, member: bool) {
        if member {
            self.0.insert((place, number));
        } else {
            self.0.remove(&(place, number));
        }
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Those that stand from a place on, round the ring, each once.
    pub fn from(&self, place: u64) -> impl Iterator<Item = usize> + '_ {
        self.0.range((place, 0)..).chain(self.0.range(..(place, 0))).map(|(_, number)| *number)
    }
}

/// What waits, in the order of places, found by whom it may go to: some wait for a few workers, others for any.
pub struct Hold<P, T> {
    anywhere: BTreeMap<P, T>,
    by_worker: BTreeMap<usize, BTreeMap<P, T>>,
    len: usize,
}

impl<P, T> Default for Hold<P, T> {
    fn default() -> Self {
        Hold { anywhere: BTreeMap::new(), by_worker: BTreeMap::new(), len: 0 }
    }
}

impl<P: Copy + Ord, T: Copy> Hold<P, T> {
    /// Puts one in that waits for some workers, or for any if there are none. A place is taken once.
    pub fn insert(&mut self, place: P, what: T, workers: &[usize]) {
        self.len += 1;
        for worker in workers {
            self.by_worker.entry(*worker).or_default().insert(place, what);
        }
        if workers.is_empty() {
            self.anywhere.insert(place, what);
        }
    }

    /// Takes out what was put in at a place, for the same workers.
    pub fn remove(&mut self, place: P, workers: &[usize]) {
        self.len -= 1;
        for worker in workers {
            if let Some(waiting) = self.by_worker.get_mut(worker) {
                waiting.remove(&place);
                if waiting.is_empty() {
                    self.by_worker.remove(worker);
                }
            }
        }
        if workers.is_empty() {
            self.anywhere.remove(&place);
        }
    }

    /// The next behind a place that may go to a worker.
    pub fn next(&self, worker: usize, after: Bound<P>) -> Option<(P, T)> {
        let behind = (after, Bound::Unbounded);
        let own = self.by_worker.get(&worker).and_then(|waiting| waiting.range(behind).next());
        let any = self.anywhere.range(behind).next();
        let next = own.into_iter().chain(any).min_by_key(|(place, _)| **place)?;
        Some((*next.0, *next.1))
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
