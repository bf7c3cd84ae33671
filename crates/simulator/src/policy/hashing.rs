//! Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018): workers stand on a ring at
//! places drawn from their names; a job goes to the first from its key's place on that holds less than 1.25
//! times the mean of own attempts. Jobs without a key are spread evenly.

use nickelflow_engine::{Job, Nanos};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::frame::{Facts, Pick};
use super::Truth;

const BOUND: f64 = 1.25;
/// Places of each worker on the ring.
const PLACES: u64 = 20;

#[derive(Default)]
pub struct BoundedHashing {
    ring: Vec<(u64, u32)>,
    /// The list that the ring was made of.
    made: u64,
}

impl Pick for BoundedHashing {
    fn pick(
        &mut self,
        _: Nanos,
        job: &Job,
        of: &[u32],
        facts: &mut Facts,
        _: Truth<'_>,
        _: &mut Vec<u32>,
    ) -> Option<u32> {
        let Some(key) = job.key else { return facts.any(of) };
        if self.made != facts.changes {
            self.made = facts.changes;
            let seen = facts.seen.iter().enumerate().filter(|(_, seen)| seen.ready);
            let place = |hash: u64, n: u64| xxh3_64_with_seed(&hash.to_le_bytes(), n);
            let places = seen.flat_map(|(i, seen)| (0..PLACES).map(move |n| (place(seen.hash, n), i as u32)));
            self.ring = places.collect();
            self.ring.sort_unstable();
        }
        let most = (BOUND * f64::from(facts.out + 1) / of.len() as f64).ceil() as u32;
        let from = self.ring.partition_point(|(place, _)| *place < key);
        let ring = self.ring[from..].iter().chain(&self.ring[..from]).map(|(_, n)| *n);
        let mut suits = ring.filter(|n| facts.all || of.contains(n));
        // Where few are candidates all of them may be over the mean: then the next on the ring.
        let first = suits.clone().next();
        suits.find(|n| facts.seen[*n as usize].out < most).or(first)
    }
}
