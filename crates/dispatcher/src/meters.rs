//! What a dispatcher measures of its traffic: how much comes, which of it is within its tenant's share, and how full
//! workers are.

use crate::interface::{LoadReport, Nanos, Settings, Tenant};
use crate::SECOND;

/// Slots of a worker that has not told them, and the part of them that is in use on an ordinary day.
pub const SLOTS: f64 = 4.0;
pub const FILL: f64 = 0.5;
/// Memory (s) of the arrival rates, and burst (s of quota) that counts as within a share.
const RATE_MEMORY: f64 = 12.0;
const SHARE_BURST: f64 = 3.0;
/// So many requests are within a share at once at least: where a tenant's part is less than one a second, two or
/// three come together by chance every few seconds.
const FEWEST: f64 = 4.0;
/// Quota over use of the middle tenant.
const MARGIN: f64 = 1.4;
/// How long (s) the demand that quotas make likely counts beside the demand seen.
const GUESSED: f64 = 5.0;

/// Requests a second that come in here: at first what the tenants' quotas make likely, or else the workers, then what
/// came since the first; infinite as long as nothing is known.
pub struct Demand {
    per_s: f64,
    guess: f64,
    /// Of each worker, where no quotas tell.
    each: Option<f64>,
    first: Option<Nanos>,
    arrivals: f64,
}

impl Demand {
    pub fn new(settings: &Settings) -> Self {
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let guess = quotas / MARGIN / f64::from(settings.dispatchers);
        let per_s = if guess > 0.0 { guess } else { f64::INFINITY };
        // A run is taken for twice its aim, as at the module's start, and for a second at most: a few dispatchers with
        // long jobs are not many with little traffic.
        let runs: f64 = settings.classes.iter().map(|c| 2.0 * c.latency_objective as f64 / SECOND).sum();
        let run = (runs / settings.classes.len().max(1) as f64).min(1.0);
        let each = SLOTS * FILL / run / f64::from(settings.dispatchers);
        let each = Some(each).filter(|each| guess <= 0.0 && each.is_finite());
        Demand { per_s, guess, each, first: None, arrivals: 0.0 }
    }

    /// So many workers are listed. Where no quotas tell, they are taken to be there for the traffic that fills them:
    /// without that, each of hundreds of dispatchers counts itself busy until it has seen jobs for a while, and asks
    /// every worker again and again.
    pub fn listed(&mut self, workers: usize) {
        if let Some(each) = self.each.filter(|_| self.arrivals < 1.0 && workers > 0) {
            self.per_s = each * workers as f64;
        }
    }

    pub fn count(&mut self, now: Nanos) {
        self.arrivals += 1.0;
        let passed = (now - *self.first.get_or_insert(now)) as f64 / SECOND;
        if self.guess > 0.0 {
            self.per_s = (self.guess * GUESSED + self.arrivals) / (GUESSED + passed);
        } else if passed > 1.0 {
            self.per_s = self.arrivals / passed;
        }
    }

    pub fn per_s(&self) -> f64 {
        self.per_s
    }
}

struct Share {
    quota_per_s: f64,
    rate: f64,
    at: Nanos,
    tokens: f64,
}

/// The tenants' quotas, of which this dispatcher keeps its own part.
pub struct Shares {
    even: f64,
    tenants: Vec<Share>,
}

impl Shares {
    pub fn new(settings: &Settings) -> Self {
        let even = 1.0 / f64::from(settings.dispatchers);
        let full = |t: &Tenant| Share {
            quota_per_s: t.quota_per_s,
            rate: t.quota_per_s * even / MARGIN,
            at: 0,
            tokens: (SHARE_BURST * even * t.quota_per_s).max(FEWEST),
        };
        Shares { even, tenants: settings.tenants.iter().map(full).collect() }
    }

    /// Counts a tenant's request, and tells whether it exceeds the quota.
    pub fn over(&mut self, tenant: Option<u32>, now: Nanos) -> bool {
        let part = self.own_part();
        let Some(share) = tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize)) else {
            return false;
        };
        let quota = share.quota_per_s * part;
        let passed = (now - share.at.min(now)) as f64 / SECOND;
        let passed = if share.at == 0 { 0.0 } else { passed };
        share.rate = share.rate * (-passed / RATE_MEMORY).exp() + 1.0 / RATE_MEMORY;
        share.tokens = (share.tokens + passed * quota).min((quota * SHARE_BURST).max(FEWEST));
        share.at = now;
        if share.tokens < 1.0 {
            return true;
        }
        share.tokens -= 1.0;
        false
    }

    /// A request that was within the share could never be run: it takes nothing of it.
    pub fn give_back(&mut self, tenant: Option<u32>) {
        if let Some(share) = tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize)) {
            share.tokens += 1.0;
        }
    }

    /// This dispatcher's part of the traffic: most tenants stay within their quotas, so that the middle one
    /// shows it; a single tenant far over its quota does not move the middle.
    fn own_part(&self) -> f64 {
        let quotas = self.tenants.iter().filter(|share| share.quota_per_s > 0.0);
        let mut ratios: Vec<f64> = quotas.map(|share| share.rate / share.quota_per_s).collect();
        if ratios.len() < 3 {
            return self.even;
        }
        ratios.sort_by(f64::total_cmp);
        (MARGIN * ratios[ratios.len() / 2]).clamp(0.3 * self.even, 4.0 * self.even).min(1.0)
    }
}

/// Which part of workers' slots is free, by their reports; all of it before the first.
pub struct Room(f64);

/// What one report weighs.
const ROOM_SEEN: f64 = 0.025;

impl Default for Room {
    fn default() -> Self {
        Room(1.0)
    }
}

impl Room {
    /// Counts the report of a worker with so many slots; what waits there takes the free ones.
    pub fn seen(&mut self, report: &LoadReport, slots: f64) {
        let sound = |figure: Option<f64>| figure.filter(|f| f.is_finite() && *f >= 0.0).unwrap_or(0.0);
        let free = (sound(report.free_slots) - sound(report.queued)) / slots.max(1.0);
        self.0 += ROOM_SEEN * (free.clamp(0.0, 1.0) - self.0);
    }

    pub fn part(&self) -> f64 {
        self.0
    }
}
