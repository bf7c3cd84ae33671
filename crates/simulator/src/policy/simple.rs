//! The plainest baselines.

use nickelflow_engine::{Job, Nanos};

use super::frame::{Facts, Pick};
use super::Truth;

/// Any ready worker, evenly.
pub struct Random;

impl Pick for Random {
    fn pick(
        &mut self,
        _: Nanos,
        _: &Job,
        of: &[u32],
        facts: &mut Facts,
        _: Truth<'_>,
        _: &mut Vec<u32>,
    ) -> Option<u32> {
        facts.any(of)
    }
}

/// Each ready worker in turn, from one that each scheduler draws for itself: begun at the same one, hundreds of
/// schedulers would go round in step.
#[derive(Default)]
pub struct RoundRobin(Option<usize>);

impl Pick for RoundRobin {
    fn pick(
        &mut self,
        _: Nanos,
        _: &Job,
        of: &[u32],
        facts: &mut Facts,
        _: Truth<'_>,
        _: &mut Vec<u32>,
    ) -> Option<u32> {
        let last = self.0.or_else(|| Some(facts.any(of)? as usize));
        self.0 = last.map(|last| last.wrapping_add(1));
        of.get(self.0? % of.len()).copied()
    }
}

/// The worker with the fewest own attempts out; among equals any. What other schedulers send it does not see.
pub struct LeastOutstanding;

impl Pick for LeastOutstanding {
    fn pick(
        &mut self,
        _: Nanos,
        _: &Job,
        of: &[u32],
        facts: &mut Facts,
        _: Truth<'_>,
        _: &mut Vec<u32>,
    ) -> Option<u32> {
        let least = of.iter().map(|n| facts.seen[*n as usize].out).min()?;
        let equals: Vec<u32> = of.iter().filter(|n| facts.seen[**n as usize].out == least).copied().collect();
        facts.any(&equals)
    }
}
