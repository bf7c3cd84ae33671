//! Runs: a scenario under a policy, over seeds, and what the seeds say together.

use rayon::prelude::*;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::audit::Verdict;
use crate::policy::Kind;
use crate::scenario::Scenario;
use crate::stats::Summary;
use crate::world::{Watch, World};

/// One run.
pub struct Run {
    pub seed: u64,
    pub summary: Summary,
    pub digest: u64,
    pub verdict: Verdict,
}

/// Plays one seed.
pub fn play(scenario: &Scenario, kind: Kind, seed: u64, audit: bool) -> Result<Run, String> {
    let played = World::new(scenario, kind, seed, Watch { audit, trace: None })?.play();
    Ok(Run { seed, summary: played.summary, digest: played.digest, verdict: played.verdict })
}

/// Plays seeds side by side, on the threads of the pool that it is called in. The results are in the order of
/// the seeds, and the same on any number of threads.
pub fn play_all(
    scenario: &Scenario,
    kind: Kind,
    seeds: &[u64],
    audit: bool,
    done: impl Fn(u64) + Sync,
) -> Result<Vec<Run>, String> {
    let one = |seed: &u64| {
        let run = play(scenario, kind, *seed, audit);
        done(*seed);
        run
    };
    seeds.par_iter().map(one).collect()
}

/// A mean with half the width of its 95% confidence interval; of a single value that is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    pub mean: f64,
    pub half: Option<f64>,
}

impl Mean {
    /// By Student's t, which takes the values for draws from a normal distribution.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n.max(1.0);
        if values.len() < 2 {
            return Mean { mean, half: None };
        }
        let variance = values.iter().map(|x| (x - mean) * (x - mean)).sum::<f64>() / (n - 1.0);
        let t = StudentsT::new(0.0, 1.0, n - 1.0).map(|t| t.inverse_cdf(0.975)).ok();
        Mean { mean, half: t.map(|t| t * (variance / n).sqrt()) }
    }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let digits = f.precision().unwrap_or(3);
        match self.half {
            Some(half) => write!(f, "{:.digits$} ±{:.digits$}", self.mean, half),
            None => write!(f, "{:.digits$}", self.mean),
        }
    }
}

/// The figures that runs are compared by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    Goodput,
    WorstTenant,
    P50Ms,
    P99Ms,
    P999Ms,
    AttemptsAJob,
    ProbesAJob,
    RulesBroken,
    Doubled,
    Wasted,
}

impl Figure {
    /// The figure of one run, of which so many rules were broken.
    pub fn of(self, s: &Summary, rules_broken: u64) -> f64 {
        match self {
            Figure::Goodput => s.goodput,
            Figure::WorstTenant => s.worst_tenant,
            Figure::P50Ms => s.p50_ms,
            Figure::P99Ms => s.p99_ms,
            Figure::P999Ms => s.p999_ms,
            Figure::AttemptsAJob => s.attempts_a_job,
            Figure::ProbesAJob => s.probes_a_job,
            Figure::RulesBroken => rules_broken as f64,
            Figure::Doubled => s.counts.doubled as f64,
            Figure::Wasted => s.counts.wasted_s,
        }
    }

    /// Whether more of it is better.
    pub fn more_is_better(self) -> bool {
        matches!(self, Figure::Goodput | Figure::WorstTenant)
    }

    pub fn of_run(self, run: &Run) -> f64 {
        self.of(&run.summary, run.verdict.broken())
    }

    pub fn over(self, runs: &[Run]) -> Mean {
        Mean::of(&runs.iter().map(|run| self.of_run(run)).collect::<Vec<_>>())
    }
}

/// What a comparison comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    Better,
    Worse,
    Undecided,
}

/// The second of two lots of runs against the first, seed by seed: the mean difference, and whether its
/// interval leaves out nought.
pub fn compare(figure: Figure, first: &[Run], second: &[Run]) -> (Mean, Judgement) {
    let pairs = first.iter().zip(second).filter(|(a, b)| a.seed == b.seed);
    let differences: Vec<f64> = pairs.map(|(a, b)| figure.of_run(b) - figure.of_run(a)).collect();
    let mean = Mean::of(&differences);
    let decided = mean.half.is_some_and(|half| mean.mean.abs() > half);
    let judgement = match (decided, (mean.mean > 0.0) == figure.more_is_better()) {
        (false, _) => Judgement::Undecided,
        (true, true) => Judgement::Better,
        (true, false) => Judgement::Worse,
    };
    (mean, judgement)
}
