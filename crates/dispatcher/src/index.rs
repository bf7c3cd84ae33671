//! Indexes beside the decisions: what would otherwise be a pass over all workers. They decide nothing; each is
//! held against a naive model in `tests/indexes.rs`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
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

    /// Those of a weight (above 0) of which the places are nearest behind a key's, at most so many, in the order
    /// of a hash of both: everybody with the same members ranks them alike, a member's coming or going moves no
    /// other, and each comes first for as large a part of the keys as its weight is (weighted rendezvous hashing).
    pub fn rank(&self, key: u64, near: usize, weight: impl Fn(usize) -> Option<f64>) -> Vec<usize> {
        let at = mix(key);
        let round = self.0.range((at, 0)..).chain(self.0.range(..(at, 0)));
        let mut ranked: Vec<(f64, Reverse<(u64, usize)>)> = round
            .filter_map(|(place, number)| Some((*place, *number, weight(*number)?)))
            .take(near)
            .map(|(place, n, weight)| {
                let hash = mix(key ^ place);
                (-((hash as f64 + 0.5) / 2f64.powi(64)).ln() / weight, Reverse((hash, n)))
            })
            .collect();
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        ranked.into_iter().map(|(_, Reverse((_, number)))| number).collect()
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

/// Scatters a number over all 64 bits (the finalizer of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// What is due when, earliest first, and the one wake that is asked for ahead of it.
pub struct Agenda<T> {
    due: BinaryHeap<Reverse<(u64, T)>>,
    armed: u64,
}

impl<T: Ord> Default for Agenda<T> {
    fn default() -> Self {
        Agenda { due: BinaryHeap::new(), armed: u64::MAX }
    }
}

impl<T: Ord> Agenda<T> {
    /// What is due at `u64::MAX` never is.
    pub fn put(&mut self, at: u64, what: T) {
        if at < u64::MAX {
            self.due.push(Reverse((at, what)));
        }
    }

    /// The next that is due by now.
    pub fn next(&mut self, now: u64) -> Option<T> {
        if self.due.peek().is_none_or(|Reverse((at, _))| *at > now) {
            return None;
        }
        self.due.pop().map(|Reverse((_, what))| what)
    }

    /// A wake has come; one that was not asked for changes nothing.
    pub fn woken(&mut self, now: u64) {
        if self.armed <= now {
            self.armed = u64::MAX;
        }
    }

    /// The moment to be woken at, if that must be asked for: nothing as early has been.
    pub fn wake(&mut self, now: u64) -> Option<u64> {
        self.woken(now);
        let Reverse((at, _)) = self.due.peek()?;
        (*at < self.armed).then(|| {
            self.armed = *at;
            *at
        })
    }
}

/// How often keys come, remembered for about as many as it is given; takes no more than twice as many places.
pub struct Counts {
    seen: BTreeMap<u64, f64>,
    total: f64,
    most: f64,
}

impl Counts {
    pub fn new(most: f64) -> Self {
        Counts { seen: BTreeMap::new(), total: 0.0, most }
    }

    /// Counts a key once more.
    pub fn add(&mut self, key: u64) {
        *self.seen.entry(key).or_default() += 1.0;
        self.total += 1.0;
        if self.total >= self.most {
            self.seen.retain(|_, count| {
                *count /= 2.0;
                *count >= 0.5
            });
            self.total = self.seen.values().sum();
        }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// The part of all that a key makes up, taken low where little has been seen yet.
    pub fn share(&self, key: u64, doubt: f64) -> f64 {
        let count = self.seen.get(&key).copied().unwrap_or(0.0);
        (count - 1.0).max(0.0) / (self.total + doubt)
    }
}

/// How many of the first ranked, of such weights, take a need; they are put in any order, the weighty ones rather first,
/// by numbers that `random` draws from 0 to 1.
pub fn fill(ranked: &mut [usize], weights: &[f64], mut need: f64, mut random: impl FnMut() -> f64) -> usize {
    let mut first = 0;
    while first < ranked.len() && (first == 0 || need > 0.0) {
        need -= weights[first];
        first += 1;
    }
    let mut chance = |weight: f64| -random().max(f64::MIN_POSITIVE).ln() / weight;
    let mut drawn: Vec<(f64, usize)> = (0..first).map(|n| (chance(weights[n]), ranked[n])).collect();
    drawn.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    ranked.iter_mut().zip(drawn).for_each(|(place, (_, n))| *place = n);
    first
}
