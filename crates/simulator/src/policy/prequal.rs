//! Prequal's hot and cold rule (Wydrowski and others, "Load is not what you should balance", NSDI 2024).
//!
//! Each job sends a few probes to random workers for later jobs; answers go into a small pool. Of those whose
//! requests in flight are under a quantile of what was lately seen (cold) the fastest is taken, and if all are
//! hot the one with the fewest in flight. An answer is used so often, and is dropped when old; with each job
//! the worst or the oldest goes too. Reports here carry no latency, so that "fastest" is by requests that wait:
//! hence Prequal-style.

use std::collections::VecDeque;

use nickelflow_engine::{Job, LoadReport, Nanos};

use super::frame::{Facts, Pick};
use super::Truth;
use crate::time::SECOND;

const POOL: usize = 16;
const PROBES: usize = 3;
const USES: u32 = 2;
const OLD: Nanos = SECOND;
const HOT_FROM: f64 = 0.84;
const LATELY: usize = 128;

struct Answer {
    instance: u32,
    at: Nanos,
    queued: f64,
    /// In flight; free slots count below nothing.
    held: f64,
    uses: u32,
}

#[derive(Default)]
pub struct Prequal {
    pool: Vec<Answer>,
    lately: VecDeque<f64>,
    drop_oldest: bool,
}

impl Prequal {
    fn hot_from(&self) -> f64 {
        let mut seen: Vec<f64> = self.lately.iter().copied().collect();
        seen.sort_by(f64::total_cmp);
        seen.get((HOT_FROM * seen.len() as f64) as usize).copied().unwrap_or(f64::INFINITY)
    }

    fn drop_one(&mut self) {
        if self.pool.len() < 2 {
            return;
        }
        self.drop_oldest = !self.drop_oldest;
        let indices = 0..self.pool.len();
        let worst = if self.drop_oldest {
            indices.min_by_key(|i| self.pool[*i].at)
        } else {
            indices.max_by(|a, b| self.pool[*a].held.total_cmp(&self.pool[*b].held))
        };
        if let Some(worst) = worst {
            self.pool.remove(worst);
        }
    }
}

impl Pick for Prequal {
    fn pick(
        &mut self,
        now: Nanos,
        _: &Job,
        of: &[u32],
        facts: &mut Facts,
        _: Truth<'_>,
        probes: &mut Vec<u32>,
    ) -> Option<u32> {
        for _ in 0..PROBES {
            probes.extend(facts.any(of));
        }
        self.pool.retain(|a| a.at + OLD > now && facts.seen[a.instance as usize].ready);
        let hot = self.hot_from();
        let suits = |i: &usize| facts.all || of.contains(&self.pool[*i].instance);
        let usable: Vec<usize> = (0..self.pool.len()).filter(suits).collect();
        let by = |a: f64, b: f64| a.total_cmp(&b);
        let cold = usable.iter().filter(|i| self.pool[**i].held < hot);
        let cold = cold.min_by(|a, b| {
            let (a, b) = (&self.pool[**a], &self.pool[**b]);
            by(a.queued, b.queued).then(by(a.held, b.held))
        });
        let best = cold.or_else(|| usable.iter().min_by(|a, b| by(self.pool[**a].held, self.pool[**b].held)));
        let Some(&best) = best else { return facts.any(of) };
        let answer = &mut self.pool[best];
        let instance = answer.instance;
        answer.held += 1.0;
        answer.queued += if answer.held > 0.0 { 1.0 } else { 0.0 };
        answer.uses += 1;
        if answer.uses >= USES {
            self.pool.remove(best);
        }
        self.drop_one();
        Some(instance)
    }

    fn probed(&mut self, now: Nanos, instance: u32, report: Option<LoadReport>, _: &mut Facts) {
        let Some(report) = report else { return };
        let queued = report.queued.unwrap_or(0.0);
        let held = queued - report.free_slots.unwrap_or(0.0);
        self.lately.push_back(held);
        if self.lately.len() > LATELY {
            self.lately.pop_front();
        }
        if self.pool.len() >= POOL {
            self.drop_one();
        }
        self.pool.push(Answer { instance, at: now, queued, held, uses: 0 });
    }
}
