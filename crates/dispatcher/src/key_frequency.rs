//! Estimates how often each key occurs in recent traffic.

use std::collections::BTreeMap;

/// Decaying counts of recent keys. The counts cover about as many requests as the capacity, and at most twice
/// as many keys.
pub struct KeyFrequency {
    counts: BTreeMap<u64, f64>,
    total: f64,
    capacity: f64,
}

impl KeyFrequency {
    /// Creates empty counts that cover about `capacity` requests.
    pub fn new(capacity: f64) -> Self {
        KeyFrequency { counts: BTreeMap::new(), total: 0.0, capacity }
    }

    /// Counts an occurrence of a key. When the capacity is reached, all counts are halved and those below 0.5
    /// are dropped.
    pub fn add(&mut self, key: u64) {
        *self.counts.entry(key).or_default() += 1.0;
        self.total += 1.0;
        if self.total >= self.capacity {
            self.counts.retain(|_, count| {
                *count /= 2.0;
                *count >= 0.5
            });
            self.total = self.counts.values().sum();
        }
    }

    /// Returns the number of counted keys.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no key is counted.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Returns a key's share of the counted requests. The prior that a key is rare has the weight of
    /// `prior_weight` requests, so the share is an underestimate while few requests have been counted.
    pub fn share(&self, key: u64, prior_weight: f64) -> f64 {
        let count = self.counts.get(&key).copied().unwrap_or(0.0);
        (count - 1.0).max(0.0) / (self.total + prior_weight)
    }
}
