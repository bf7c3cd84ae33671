//! Open-loop arrivals: jobs come when they come, whatever becomes of earlier ones.
//!
//! The rate moves by the scenario's shape; arrivals are drawn by thinning (Lewis and Shedler 1979): candidates
//! at the highest rate, each kept with the part that the rate of its moment is of that. All that an arrival is
//! comes from its own streams, so that every policy meets the same.

use std::path::Path;

use crate::random::{self, Concern, Random, Ranks};
use crate::scenario::{Class, Scenario, Shape};
use crate::time::{in_seconds, millis, seconds, Nanos};

/// One client's request, as it would be asked for the first time.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Nanos,
    pub class: u32,
    pub tenant: u32,
    pub key: Option<u64>,
    /// Work of each of its slots (ns of a standard core).
    pub work: f64,
    pub slots: f64,
    pub memory: f64,
    /// Which client it is, for the front: uniform in [0, 1).
    pub client: f64,
    /// Its client waits for as long as it is told.
    pub honours: bool,
    /// The part of its time after which its client leaves, if it does.
    pub leaves: Option<f64>,
    /// Beyond its tenant's share.
    pub over: bool,
}

/// Burst (s of share) that counts as within it.
const SHARE_BURST: f64 = 3.0;

pub struct Traffic {
    classes: Vec<Class>,
    weights: f64,
    shares: Vec<f64>,
    /// Jobs a second that are within each tenant's share, tokens left, and when those were counted.
    quota: Vec<f64>,
    tokens: Vec<(f64, Nanos)>,
    base: f64,
    most: f64,
    shape: Shape,
    surging: Option<usize>,
    /// Ends of the spells of a bursty shape, the first one of few arrivals.
    spells: Vec<Nanos>,
    spell: usize,
    duration: Nanos,
    at: Nanos,
    keys: Option<(Ranks, f64)>,
    honour: f64,
    impatient: f64,
    arrivals: Random,
    sizes: Random,
    replay: Option<std::vec::IntoIter<Row>>,
}

/// One line of a trace.
struct Row {
    at: Nanos,
    work: f64,
    tenant: u32,
    key: Option<u64>,
}

impl Traffic {
    /// The error is that of a trace that cannot be read.
    pub fn new(scenario: &Scenario, seed: u64) -> Result<Traffic, String> {
        let mut arrivals = random::stream(seed, Concern::Arrivals, 0);
        let shape = scenario.traffic.shape.clone();
        let duration = seconds(scenario.duration_s.0);
        let shares: f64 = scenario.tenants.iter().map(|t| t.share.0).sum();
        let shares: Vec<f64> = match scenario.tenants.is_empty() {
            true => vec![1.0],
            false => scenario.tenants.iter().map(|t| t.share.0 / shares.max(1e-9)).collect(),
        };
        let base = scenario.rate();
        let (mut highest, mut surging, mut spells) = (1.0, None, Vec::new());
        match &shape {
            Shape::Even | Shape::Replay { .. } => {}
            Shape::Wave { depth, .. } => highest = 1.0 + depth.0,
            Shape::SpringMorning { peak } => highest = peak.0,
            Shape::Surge { tenant, factor, .. } => {
                surging = scenario.tenants.iter().position(|t| t.name == *tenant);
                let share = surging.map_or(0.0, |index| shares[index]);
                highest = 1.0 + share * (factor.0 - 1.0).max(0.0);
            }
            Shape::Bursty { on_s, off_s, factor } => {
                highest = factor.0;
                let mut at = 0;
                while at < duration {
                    let mean = if spells.len() % 2 == 0 { off_s.0 } else { on_s.0 };
                    at += seconds(mean * random::exponential(&mut arrivals)).max(1);
                    spells.push(at);
                }
            }
        }
        let replay = match &shape {
            Shape::Replay { file } => Some(read(Path::new(file))?.into_iter()),
            _ => None,
        };
        let capacity = scenario.capacity() / scenario.mean_work();
        let quota: Vec<f64> = shares.iter().map(|share| share * capacity).collect();
        Ok(Traffic {
            weights: scenario.classes.iter().map(|c| c.weight.0).sum(),
            classes: scenario.classes.clone(),
            tokens: quota.iter().map(|quota| ((quota * SHARE_BURST).max(1.0), 0)).collect(),
            quota: if scenario.tenants.is_empty() { vec![f64::INFINITY] } else { quota },
            shares,
            base,
            most: base * highest,
            shape,
            surging,
            spells,
            spell: 0,
            duration,
            at: 0,
            keys: scenario
                .data
                .as_ref()
                .map(|data| (Ranks::new(data.keys.0 as u64, data.zipf.0), data.hot.0)),
            honour: scenario.clients.honour.0,
            impatient: scenario.clients.impatient.0,
            arrivals,
            sizes: random::stream(seed, Concern::Sizes, 0),
            replay,
        })
    }

    /// The rate at a moment, as a part of the mean.
    fn level(&mut self, at: Nanos) -> f64 {
        let t = in_seconds(at);
        match &self.shape {
            Shape::Even | Shape::Replay { .. } => 1.0,
            Shape::Wave { period_s, depth } => {
                1.0 + depth.0 * libm::sin(2.0 * std::f64::consts::PI * t / period_s.0)
            }
            Shape::SpringMorning { peak } => {
                let half = libm::sin(std::f64::consts::PI * t / in_seconds(self.duration));
                0.1 + (peak.0 - 0.1) * half * half
            }
            Shape::Surge { .. } => {
                1.0 + self.surge(at).map_or(0.0, |(tenant, f)| self.shares[tenant] * (f - 1.0))
            }
            Shape::Bursty { on_s, off_s, factor } => {
                while self.spells.get(self.spell).is_some_and(|end| *end <= at) {
                    self.spell += 1;
                }
                // What is sent more in one kind of spell is sent less in the other.
                let on = on_s.0 / (on_s.0 + off_s.0);
                let few = ((1.0 - factor.0 * on) / (1.0 - on)).max(0.0);
                if self.spell.is_multiple_of(2) {
                    few
                } else {
                    factor.0
                }
            }
        }
    }

    fn surge(&self, at: Nanos) -> Option<(usize, f64)> {
        let Shape::Surge { from_s, for_s, factor, .. } = &self.shape else { return None };
        let on = (seconds(from_s.0)..seconds(from_s.0 + for_s.0)).contains(&at);
        self.surging.filter(|_| on).map(|tenant| (tenant, factor.0))
    }

    fn draw(&mut self, at: Nanos) -> Arrival {
        let surge = self.surge(at);
        let random = &mut self.sizes;
        let mut ticket = random::unit(random) * self.weights;
        let mut class = 0;
        while class + 1 < self.classes.len() && ticket >= self.classes[class].weight.0 {
            ticket -= self.classes[class].weight.0;
            class += 1;
        }
        let factor = |tenant: usize| surge.map_or(1.0, |(of, f)| if of == tenant { f } else { 1.0 });
        let total: f64 = (0..self.shares.len()).map(|t| self.shares[t] * factor(t)).sum();
        let mut ticket = random::unit(random) * total;
        let mut tenant = 0;
        while tenant + 1 < self.shares.len() && ticket >= self.shares[tenant] * factor(tenant) {
            ticket -= self.shares[tenant] * factor(tenant);
            tenant += 1;
        }
        let make = &self.classes[class];
        let size = random::size(random, make.size);
        let key = self.keys.as_ref().filter(|_| make.keyed).map(|(ranks, hot)| {
            let common = random::unit(random) < *hot;
            let rank = ranks.draw(random);
            let rank = if common { 0 } else { rank };
            // Keys are names: near ranks must not hash near each other.
            xxhash_rust::xxh3::xxh3_64(&rank.to_le_bytes())
        });
        let memory = make.memory.0 * (0.5 + random::unit(random));
        let client = random::unit(random);
        let honours = random::unit(random) < self.honour;
        let (early, part) = (random::unit(random) < self.impatient, 0.1 + 0.4 * random::unit(random));
        let (tokens, counted) = &mut self.tokens[tenant];
        let quota = self.quota[tenant];
        *tokens = (*tokens + quota * in_seconds(at - *counted)).min((quota * SHARE_BURST).max(1.0));
        *counted = at;
        let over = *tokens < 1.0;
        if !over {
            *tokens -= 1.0;
        }
        Arrival {
            at,
            class: class as u32,
            tenant: tenant as u32,
            key,
            work: (millis(1.0) as f64 * make.work_ms.0 * size).max(1.0),
            slots: make.slots.0,
            memory,
            client,
            honours,
            leaves: early.then_some(part),
            over,
        }
    }
}

impl Iterator for Traffic {
    type Item = Arrival;

    /// The next arrival, until the run's end.
    fn next(&mut self) -> Option<Arrival> {
        if let Some(replay) = &mut self.replay {
            let row = replay.next().filter(|row| row.at < self.duration)?;
            let mut arrival = self.draw(row.at);
            (arrival.work, arrival.tenant) = (row.work, row.tenant.min(self.shares.len() as u32 - 1));
            arrival.key = row.key.or(arrival.key);
            return Some(arrival);
        }
        if self.most <= 0.0 {
            return None;
        }
        loop {
            self.at += (random::exponential(&mut self.arrivals) / self.most * 1e9).max(1.0) as Nanos;
            if self.at >= self.duration {
                return None;
            }
            let kept = self.level(self.at) * self.base / self.most;
            if random::unit(&mut self.arrivals) < kept {
                return Some(self.draw(self.at));
            }
        }
    }
}

/// Reads a trace: lines `seconds,work_ms,tenant,key`, ascending; the key may be empty.
fn read(path: &Path) -> Result<Vec<Row>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut rows: Vec<Row> = Vec::new();
    for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let fail = |what: &str| format!("{}:{}: {what}", path.display(), number + 1);
        let mut fields = line.split(',').map(str::trim);
        let mut figure = |name: &str| {
            let field = fields.next().ok_or_else(|| fail(&format!("{name} is missing")))?;
            let figure = field.parse::<f64>().ok().filter(|x| (0.0..=1e9).contains(x));
            figure.ok_or_else(|| fail(&format!("{name} must be a number from 0 to 1e9, not {field}")))
        };
        let (at, work, tenant) = (seconds(figure("seconds")?), figure("work_ms")?, figure("tenant")? as u32);
        let key = fields
            .next()
            .filter(|key| !key.is_empty())
            .map(|key| nickelflow_engine::fnv1a_hash(key.as_bytes()));
        if rows.last().is_some_and(|last| last.at > at) {
            return Err(fail("seconds go backwards"));
        }
        rows.push(Row { at, work: work * 1e6, tenant, key });
    }
    Ok(rows)
}
