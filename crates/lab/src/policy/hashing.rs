//! Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018): a key's workers are ranked by
//! rendezvous hashing, and the first that holds less than 1.25 times the mean of own attempts takes the job.
//! Jobs without a key are spread evenly.

use nickelflow_engine::{Job, Nanos};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::frame::{Facts, Pick};
use super::Truth;

const BOUND: f64 = 1.25;

pub struct BoundedHashing;

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
        let out: u32 = of.iter().map(|n| facts.seen[*n as usize].out).sum();
        let most = (BOUND * f64::from(out + 1) / of.len() as f64).ceil() as u32;
        let below = of.iter().filter(|n| facts.seen[**n as usize].out < most);
        below.max_by_key(|n| xxh3_64_with_seed(&facts.seen[**n as usize].hash.to_le_bytes(), key)).copied()
    }
}
