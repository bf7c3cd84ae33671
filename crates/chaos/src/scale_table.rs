//! What samples of scale runs come to: for each figure a line over the workers by least squares, its error beside the
//! noise of repeats, and where it meets its limit; and the same over the load.

use std::collections::BTreeMap;
use std::fmt::Write;

use nickelflow_simulator::runs::Mean;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

use crate::scale::{Outcome, Sample};
use crate::scale_file::Limits;

/// A figure of a scheduler.
pub struct Figure {
    pub name: &'static str,
    of: fn(&Sample) -> f64,
    limit: fn(&Limits) -> Option<f64>,
}

fn none(_: &Limits) -> Option<f64> {
    None
}

pub const FIGURES: [Figure; 17] = [
    Figure {
        name: "control: bytes/s, both ways",
        of: |s| control(s, |c| c.bytes_in + c.bytes_out),
        limit: |l| l.control_bytes_per_s,
    },
    Figure { name: "control: bytes/s out", of: |s| control(s, |c| c.bytes_out), limit: none },
    Figure { name: "control: bytes/s in", of: |s| control(s, |c| c.bytes_in), limit: none },
    Figure { name: "control: probes/s", of: |s| s.probes.messages / s.seconds, limit: none },
    Figure { name: "control: changes/s told", of: |s| s.watch.messages / s.seconds, limit: none },
    Figure { name: "control: watch bytes/s in", of: |s| s.watch.bytes_in / s.seconds, limit: none },
    Figure { name: "control: connections/s", of: |s| control(s, |c| c.connections), limit: none },
    Figure { name: "control: first list, bytes", of: |s| s.list_bytes, limit: none },
    Figure { name: "work: jobs/s from clients", of: |s| s.clients.messages / s.seconds, limit: none },
    Figure { name: "work: attempts/s", of: |s| s.jobs.messages / s.seconds, limit: none },
    Figure { name: "work: bytes/s out", of: |s| work(s, |c| c.bytes_out), limit: none },
    Figure { name: "work: bytes/s in", of: |s| work(s, |c| c.bytes_in), limit: none },
    Figure { name: "work: connections/s to workers", of: |s| s.jobs.connections / s.seconds, limit: none },
    Figure { name: "work: connections/s of clients", of: |s| s.clients.connections / s.seconds, limit: none },
    Figure { name: "cpu, % of a core", of: |s| 100.0 * s.cpu_s / s.seconds, limit: |l| l.cpu_percent },
    Figure { name: "memory, MB", of: |s| s.memory_mb, limit: none },
    Figure { name: "memory at most, MB", of: |s| s.peak_mb, limit: |l| l.memory_mb },
];

fn control(sample: &Sample, of: impl Fn(&crate::hollow::Counts) -> f64) -> f64 {
    (of(&sample.probes) + of(&sample.watch)) / sample.seconds
}

fn work(sample: &Sample, of: impl Fn(&crate::hollow::Counts) -> f64) -> f64 {
    (of(&sample.jobs) + of(&sample.clients)) / sample.seconds
}

/// A line by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub at_0: f64,
    pub slope: f64,
    /// Half the width of the slope's 95% confidence interval; unknown of two points.
    pub half: Option<f64>,
    /// Standard deviation of what the line leaves.
    pub error: Option<f64>,
}

impl Line {
    /// Needs points at two places at least.
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let (xs, ys): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
        let spread = (&xs).variance();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = (&xs).covariance(&ys) / spread;
        let at_0 = (&ys).mean() - slope * (&xs).mean();
        let free = points.len() as f64 - 2.0;
        let left: f64 = points.iter().map(|(x, y)| (y - at_0 - slope * x).powi(2)).sum();
        let error = (free > 0.0).then(|| (left / free).sqrt());
        let t = StudentsT::new(0.0, 1.0, free).ok().map(|t| t.inverse_cdf(0.975));
        let half = error.zip(t).map(|(error, t)| t * error / (spread * (free + 1.0)).sqrt());
        Some(Line { at_0, slope, half, error })
    }

    pub fn at(&self, x: f64) -> f64 {
        self.at_0 + self.slope * x
    }

    /// Where it passes a limit from below: 0 where it is above it from the begin, nothing where it never does.
    pub fn passes(&self, limit: f64) -> Option<f64> {
        let x = (limit - self.at_0) / self.slope;
        match (self.at_0 > limit, self.slope > 0.0) {
            (true, _) => Some(0.0),
            (false, true) => Some(x),
            (false, false) => None,
        }
    }
}

/// Standard deviation of repeats at one place, pooled over places.
pub fn noise(points: &[(f64, f64)]) -> Option<f64> {
    let mut places: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for (x, y) in points {
        places.entry(x.to_bits()).or_default().push(*y);
    }
    let repeated = places.values().filter(|values| values.len() > 1);
    let free: f64 = repeated.clone().map(|values| values.len() as f64 - 1.0).sum();
    let sum: f64 = repeated.map(|values| values.variance() * (values.len() as f64 - 1.0)).sum();
    (free > 0.0).then(|| (sum / free).sqrt())
}

fn points<'a>(samples: impl Iterator<Item = (f64, &'a Sample)>, figure: &Figure) -> Vec<(f64, f64)> {
    samples.map(|(x, sample)| (x, (figure.of)(sample))).collect()
}

fn short(x: f64) -> String {
    match x.abs() {
        y if y >= 1_000.0 => format!("{x:.0}"),
        y if y >= 10.0 => format!("{x:.1}"),
        y if y >= 0.0005 => format!("{x:.3}"),
        _ => "0".to_owned(),
    }
}

fn maybe(x: Option<f64>) -> String {
    x.map_or("-".to_owned(), short)
}

/// The table, in Markdown.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut page = String::new();
    for outcome in outcomes {
        by_workers(&mut page, outcome);
    }
    by_load(&mut page, outcomes);
    page
}

fn heading(page: &mut String, columns: &[String]) {
    let _ = writeln!(page, "| {} |", columns.join(" | "));
    let _ = writeln!(page, "| {} |", vec!["---"; columns.len()].join(" | "));
}

/// One figure's line: means at the places, the fit, and its limit.
fn row(
    page: &mut String,
    figure: &Figure,
    points: &[(f64, f64)],
    places: &[f64],
    unit: f64,
    limits: &Limits,
) {
    let mean = |place: &f64| {
        let values: Vec<f64> = points.iter().filter(|(x, _)| x == place).map(|(_, y)| *y).collect();
        short(Mean::of(&values).mean)
    };
    let mut cells = vec![figure.name.to_owned()];
    cells.extend(places.iter().map(mean));
    let line = Line::fit(points);
    cells.push(maybe(line.map(|line| line.at_0)));
    let half =
        line.and_then(|line| line.half).map_or(String::new(), |half| format!(" ±{}", short(half * unit)));
    cells.push(format!("{}{half}", maybe(line.map(|line| line.slope * unit))));
    cells.push(maybe(line.and_then(|line| line.error)));
    cells.push(maybe(noise(points)));
    let limit = (figure.limit)(limits);
    cells.push(maybe(limit));
    cells.push(match (line, limit) {
        (Some(line), Some(limit)) => line.passes(limit).map_or("never".to_owned(), short),
        _ => "-".to_owned(),
    });
    let _ = writeln!(page, "| {} |", cells.join(" | "));
}

fn by_workers(page: &mut String, outcome: &Outcome) {
    let scale = &outcome.scale;
    let _ = writeln!(
        page,
        "\n{}: {} balancers of which {} run, each with {} jobs/s; {} changes/s, {} tenants; {} s after {} s, {} repeats, seed {}\n",
        scale.name,
        scale.balancers,
        scale.schedulers,
        short(scale.share()),
        short(scale.changes_per_s),
        scale.tenants,
        scale.seconds,
        scale.warmup_s,
        scale.repeats,
        outcome.seed,
    );
    let mut columns = vec!["a scheduler's".to_owned()];
    columns.extend(scale.workers.iter().map(|workers| format!("{workers} workers")));
    columns
        .extend(["fit at 0", "per 1,000 workers", "error", "noise", "limit", "passes at"].map(str::to_owned));
    heading(page, &columns);
    let places: Vec<f64> = scale.workers.iter().copied().map(f64::from).collect();
    for figure in &FIGURES {
        let samples = outcome.samples.iter().map(|sample| (f64::from(sample.workers), sample));
        row(page, figure, &points(samples, figure), &places, 1_000.0, &scale.limits);
    }
}

/// Over the load of one scheduler, at the largest size of each file that has it.
fn by_load(page: &mut String, outcomes: &[Outcome]) {
    let Some(largest) = outcomes.iter().filter_map(|o| o.scale.workers.last()).max().copied() else { return };
    // Changes of the list are another load.
    let alike = |outcome: &&Outcome| {
        outcome.scale.changes_per_s == outcomes[0].scale.changes_per_s
            && outcome.scale.workers.contains(&largest)
    };
    let alike: Vec<&Outcome> = outcomes.iter().filter(alike).collect();
    let mut places: Vec<f64> = alike.iter().map(|outcome| outcome.scale.share()).collect();
    places.sort_by(f64::total_cmp);
    places.dedup();
    if places.len() < 2 {
        return;
    }
    let _ = writeln!(page, "\nOver the load, at {largest} workers\n");
    let mut columns = vec!["a scheduler's".to_owned()];
    columns.extend(places.iter().map(|share| format!("{} jobs/s", short(*share))));
    columns.extend(["fit at 0", "per job/s", "error", "noise", "limit", "passes at"].map(str::to_owned));
    heading(page, &columns);
    for figure in &FIGURES {
        let of = |outcome: &&'_ Outcome| outcome.scale.share();
        let samples = alike.iter().flat_map(|outcome| {
            let share = of(outcome);
            outcome.samples.iter().filter(|s| s.workers == largest).map(move |sample| (share, sample))
        });
        row(page, figure, &points(samples, figure), &places, 1.0, &outcomes[0].scale.limits);
    }
}
