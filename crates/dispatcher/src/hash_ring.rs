//! A hash ring with weighted rendezvous ranking, and the hash function that all dispatchers share.

use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A set of indexes on a ring, each at a fixed position.
#[derive(Default)]
pub struct HashRing(BTreeSet<(u64, usize)>);

impl HashRing {
    /// Adds an index at a position.
    pub fn insert(&mut self, position: u64, index: usize) {
        self.0.insert((position, index));
    }

    /// Removes an index from a position.
    pub fn remove(&mut self, position: u64, index: usize) {
        self.0.remove(&(position, index));
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the ring has no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Ranks the entries that follow a key on the ring, at most `max_entries` of them.
    ///
    /// Only entries for which `weight` returns a weight (above 0) take part. They are ordered by a hash of
    /// key and position (weighted rendezvous hashing): all dispatchers with the same entries rank them alike,
    /// adding or removing an entry does not reorder the others, and each entry comes first for a share of the
    /// keys that is proportional to its weight.
    pub fn rank(&self, key: u64, max_entries: usize, weight: impl Fn(usize) -> Option<f64>) -> Vec<usize> {
        let start = mix(key);
        let clockwise = self.0.range((start, 0)..).chain(self.0.range(..(start, 0)));
        let mut ranked: Vec<(f64, Reverse<(u64, usize)>)> = clockwise
            .filter_map(|(position, index)| Some((*position, *index, weight(*index)?)))
            .take(max_entries)
            .map(|(position, index, weight)| {
                let hash = mix(key ^ position);
                let score = -((hash as f64 + 0.5) / 2f64.powi(64)).ln() / weight;
                (score, Reverse((hash, index)))
            })
            .collect();
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        ranked.into_iter().map(|(_, Reverse((_, index)))| index).collect()
    }
}

/// Hashes a number so that each bit of the result depends on all of its bits (the finalizer of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Shuffles the shortest prefix of the ranked indexes whose weights add up to `required_weight`, but at least
/// the first index, and returns the length of the prefix.
///
/// Indexes with a higher weight tend to come first. `random` returns numbers from 0 to 1.
pub fn shuffle_first(
    ranked: &mut [usize],
    weights: &[f64],
    mut required_weight: f64,
    mut random: impl FnMut() -> f64,
) -> usize {
    let mut prefix_len = 0;
    while prefix_len < ranked.len() && (prefix_len == 0 || required_weight > 0.0) {
        required_weight -= weights[prefix_len];
        prefix_len += 1;
    }
    let mut draw = |weight: f64| -random().max(f64::MIN_POSITIVE).ln() / weight;
    let mut drawn: Vec<(f64, usize)> = (0..prefix_len).map(|n| (draw(weights[n]), ranked[n])).collect();
    drawn.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    for (slot, (_, index)) in ranked.iter_mut().zip(drawn) {
        *slot = index;
    }
    prefix_len
}
