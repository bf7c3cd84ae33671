//! Random numbers: PCG XSL 128/64 (O'Neill 2014, `rand_pcg`), one stream for each concern.
//!
//! Streams are apart so that a change of one thing (a policy, say) leaves all that others draw as it was: two
//! policies under one seed meet the same jobs at the same moments, and their difference can be taken pair by
//! pair. Functions come from `libm` and not from the machine's own library, whose last digit may differ.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal, Zipf};
use rand_pcg::Pcg64;

use crate::scenario::Size;

pub type Random = Pcg64;

/// What a stream is for.
#[derive(Clone, Copy)]
pub enum Concern {
    Arrivals = 1,
    Sizes,
    Network,
    Workers,
    Reports,
    Clients,
    Front,
    Faults,
    Policy,
    Discovery,
}

/// The stream of a concern; `part` tells several of one concern apart.
pub fn stream(seed: u64, concern: Concern, part: u64) -> Random {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..16].copy_from_slice(&(concern as u64).to_le_bytes());
    bytes[16..24].copy_from_slice(&part.to_le_bytes());
    // A PCG started from similar seeds begins similarly: the hash scatters them.
    let scattered = xxhash_rust::xxh3::xxh3_128(&bytes).to_le_bytes();
    bytes[..16].copy_from_slice(&scattered);
    Pcg64::from_seed(bytes)
}

/// Uniform in [0, 1).
pub fn unit(random: &mut Random) -> f64 {
    random.random::<f64>()
}

/// Uniform between two figures.
pub fn between(random: &mut Random, (low, high): (f64, f64)) -> f64 {
    low + (high - low) * unit(random)
}

/// Exponential with mean 1.
pub fn exponential(random: &mut Random) -> f64 {
    Exp1.sample(random)
}

/// Normal with mean 0 and deviation 1.
pub fn normal(random: &mut Random) -> f64 {
    StandardNormal.sample(random)
}

/// A job's size in units of the mean, drawn with mean 1.
pub fn size(random: &mut Random, size: Size) -> f64 {
    match size {
        Size::Fixed => 1.0,
        Size::Exponential => exponential(random),
        // exp(sigma N - sigma^2 / 2) has mean 1.
        Size::Lognormal { sigma } => libm::exp(sigma * normal(random) - sigma * sigma / 2.0),
        // (1 - U)^(-1/a) has mean a / (a - 1).
        Size::Pareto { shape } => {
            let raw = libm::pow(1.0 - unit(random), -1.0 / shape);
            raw * (shape - 1.0) / shape
        }
    }
}

/// Ranks from 0, rank k with weight (k + 1)^-s.
pub struct Ranks(Option<Zipf<f64>>);

impl Ranks {
    pub fn new(count: u64, exponent: f64) -> Ranks {
        Ranks(Zipf::new(count.max(1) as f64, exponent).ok())
    }

    pub fn draw(&self, random: &mut Random) -> u64 {
        self.0.as_ref().map_or(0, |zipf| zipf.sample(random) as u64 - 1)
    }
}
