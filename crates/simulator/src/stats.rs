//! What a run comes to, from the clients' side: worth, latency, messages, second by second and in all.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::time::{in_seconds, Nanos, SECOND};

/// How a client's request ended, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    InTime,
    Late,
    Refused,
    Failed,
    /// Its client left early.
    Left,
}

/// One request, when it is over.
#[derive(Clone, Copy, Debug)]
pub struct Settled {
    pub asked: Nanos,
    pub at: Nanos,
    pub tenant: u32,
    /// Work (ns of a standard core), and what part of it its worth is.
    pub work: f64,
    pub worth: f64,
    /// Within its tenant's share.
    pub within: bool,
    pub fate: Fate,
}

/// Messages and work that are counted beside the requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    pub tries: u64,
    pub attempts: u64,
    pub probes: u64,
    pub connections: u64,
    pub wasted_s: f64,
    /// Attempts that reached another machine than the list meant.
    pub misrouted: u64,
    /// Jobs that ran in two racks, or again after their window.
    pub doubled: u64,
    pub fallen: u64,
    /// The most that a cold worker was sent in one window of the rule, as a part of what pushes it over.
    pub pressed: f64,
    /// Calls for the list that reached discovery.
    pub calls: u64,
    pub events: u64,
    /// Most jobs open at once.
    pub most_open: u64,
}

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    pub asked: f64,
    pub good: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub queued: f64,
    pub probes: f64,
    pub connections: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// Worth answered in time over worth asked for.
    pub goodput: f64,
    /// The same of the tenant that fares worst, within its share.
    pub worst_tenant: f64,
    pub requests: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// From the first asking to the answer, of served requests (ms).
    pub mean_ms: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub attempts_a_job: f64,
    pub probes_a_job: f64,
    pub counts: Counts,
    pub tenants: Vec<f64>,
    pub seconds: Vec<Second>,
}

/// Latencies (us) from 10 us to 1,000 s, to two digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(10, 1_000_000_000, 2).expect("these bounds and digits are sound")
}

fn quantile(histogram: &Histogram<u64>, q: f64) -> f64 {
    if histogram.is_empty() {
        return 0.0;
    }
    histogram.value_at_quantile(q) as f64 / 1e3
}

pub struct Stats {
    from: Nanos,
    asked: f64,
    good: f64,
    fates: [u64; 5],
    served: Histogram<u64>,
    /// Worth asked for and answered in time, by tenant, within its share.
    tenants: Vec<(f64, f64)>,
    seconds: Vec<Second>,
    /// Latencies of the second that is being asked in, and of those still settling.
    by_second: Vec<Option<Histogram<u64>>>,
    pub counts: Counts,
}

impl Stats {
    /// Counts requests that are asked from a time on.
    pub fn new(from: Nanos, duration: Nanos, tenants: usize) -> Stats {
        let seconds = duration.div_ceil(SECOND) as usize;
        Stats {
            from,
            asked: 0.0,
            good: 0.0,
            fates: [0; 5],
            served: histogram(),
            tenants: vec![(0.0, 0.0); tenants.max(1)],
            seconds: vec![Second::default(); seconds],
            by_second: (0..seconds).map(|_| None).collect(),
            counts: Counts::default(),
        }
    }

    pub fn settle(&mut self, settled: Settled) {
        let worth = settled.work / 1e9 * settled.worth;
        let good = if settled.fate == Fate::InTime { worth } else { 0.0 };
        let latency = ((settled.at - settled.asked) / 1_000).clamp(10, 1_000_000_000);
        let served = matches!(settled.fate, Fate::InTime | Fate::Late);
        let second = in_seconds(settled.asked) as usize;
        if let Some(slot) = self.seconds.get_mut(second) {
            slot.asked += worth;
            slot.good += good;
        }
        if let Some(slot) = self.by_second.get_mut(second).filter(|_| served) {
            slot.get_or_insert_with(histogram).saturating_record(latency);
        }
        if settled.asked < self.from {
            return;
        }
        self.asked += worth;
        self.good += good;
        self.fates[settled.fate as usize] += 1;
        if settled.within {
            if let Some((asked, answered)) = self.tenants.get_mut(settled.tenant as usize) {
                *asked += worth;
                *answered += good;
            }
        }
        if served {
            self.served.saturating_record(latency);
        }
    }

    /// Notes the state of the world once a second.
    pub fn sample(&mut self, now: Nanos, queued: f64, probes: u64, connections: f64) {
        if let Some(slot) = self.seconds.get_mut((now / SECOND) as usize) {
            (slot.queued, slot.probes, slot.connections) = (queued, probes as f64, connections);
        }
    }

    pub fn close(self) -> Summary {
        let mut seconds = self.seconds;
        for (slot, histogram) in seconds.iter_mut().zip(&self.by_second) {
            if let Some(histogram) = histogram {
                (slot.p50_ms, slot.p99_ms) = (quantile(histogram, 0.5), quantile(histogram, 0.99));
            }
        }
        let part = |good: f64, asked: f64| if asked > 0.0 { good / asked } else { 1.0 };
        let tenants: Vec<f64> = self.tenants.iter().map(|(asked, good)| part(*good, *asked)).collect();
        let requests: u64 = self.fates.iter().sum();
        let a_job = |n: u64| if self.counts.tries > 0 { n as f64 / self.counts.tries as f64 } else { 0.0 };
        Summary {
            goodput: part(self.good, self.asked),
            worst_tenant: tenants.iter().copied().fold(1.0, f64::min),
            requests,
            in_time: self.fates[Fate::InTime as usize],
            late: self.fates[Fate::Late as usize],
            refused: self.fates[Fate::Refused as usize],
            failed: self.fates[Fate::Failed as usize],
            left: self.fates[Fate::Left as usize],
            mean_ms: self.served.mean() / 1e3,
            p50_ms: quantile(&self.served, 0.5),
            p99_ms: quantile(&self.served, 0.99),
            p999_ms: quantile(&self.served, 0.999),
            attempts_a_job: a_job(self.counts.attempts),
            probes_a_job: a_job(self.counts.probes),
            counts: self.counts,
            tenants,
            seconds,
        }
    }
}
