//! Two choices on old reports: of two random workers the one that was less loaded when it last reported, own
//! sends since added (Mitzenmacher, "How useful is old information?", 2000). The two are then probed, each at
//! most every 200 ms, so that messages stay under two a job.

use fnv::FnvHashMap;
use nickelflow_engine::{Job, Nanos};

use super::frame::{Facts, Pick};
use super::Truth;
use crate::time::MS;

const APART: Nanos = 200 * MS;

#[derive(Default)]
pub struct TwoChoices {
    probed: FnvHashMap<u32, Nanos>,
}

impl Pick for TwoChoices {
    fn pick(
        &mut self,
        now: Nanos,
        _: &Job,
        of: &[u32],
        facts: &mut Facts,
        _: Truth<'_>,
        probes: &mut Vec<u32>,
    ) -> Option<u32> {
        let (a, b) = (facts.any(of)?, facts.any(of)?);
        for n in [a, b] {
            if self.probed.get(&n).is_none_or(|at| at + APART <= now) {
                self.probed.insert(n, now);
                probes.push(n);
            }
        }
        let held = |n: u32| facts.seen[n as usize].held();
        Some(if held(b) < held(a) { b } else { a })
    }
}
