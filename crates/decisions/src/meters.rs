//! What a dispatcher measures of its traffic: how much comes, and which of it is within its tenant's share.

use crate::interface::{Nanos, Report, Settings, Tenant};

const SECOND: f64 = 1e9;
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

/// Requests a second that come in here: at first what the tenants' quotas make likely, then what came since the
/// first; infinite as long as nothing is known.
pub struct Demand {
    per_s: f64,
    guess: f64,
    first: Option<Nanos>,
    arrivals: f64,
}

impl Demand {
    pub fn new(settings: &Settings) -> Self {
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let guess = quotas / MARGIN / f64::from(settings.dispatchers);
        let per_s = if guess > 0.0 { guess } else { f64::INFINITY };
        Demand { per_s, guess, first: None, arrivals: 0.0 }
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
    pub fn seen(&mut self, report: &Report, slots: f64) {
        let sound = |figure: Option<f64>| figure.filter(|f| f.is_finite() && *f >= 0.0).unwrap_or(0.0);
        let free = (sound(report.free_slots) - sound(report.queued)) / slots.max(1.0);
        self.0 += ROOM_SEEN * (free.clamp(0.0, 1.0) - self.0);
    }

    pub fn part(&self) -> f64 {
        self.0
    }
}

/// What was saved up of something that grows evenly, and is spent in whole jobs.
pub struct Savings {
    left: f64,
    at: Nanos,
}

impl Savings {
    /// So much is left at a time.
    pub fn new(left: f64, at: Nanos) -> Self {
        Savings { left, at }
    }

    /// When it was last counted.
    pub fn at(&self) -> Nanos {
        self.at
    }

    /// What there is now, growing by `rate` a second and saved up to `most`. Where that is less than a `job`,
    /// one job is saved up, and lost again `good` seconds after it is whole: kept until wanted, all who save
    /// would have one at the moment when all want it.
    pub fn grown(&self, now: Nanos, rate: f64, most: f64, job: f64, good: f64) -> f64 {
        let grown = self.left + rate * now.saturating_sub(self.at) as f64 / SECOND;
        if most >= job || rate * good >= job {
            return grown.min(most.max(job));
        }
        let over = grown - job - rate * good;
        if over > 0.0 {
            rate * good + over % job
        } else {
            grown
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::*;

    /// The part of a tenant's requests that counts as over its share at one of a hundred dispatchers, where it
    /// sends so many times its quota and the others what is usual.
    fn over(times: f64) -> f64 {
        let quotas = [165.0, 136.0, 129.0, 129.0, 101.0, 57.0];
        let contract = Contract { cold_from: 0.2, cold: 0, fall_multiple: 3.0, fall: 0, must_ask: 0 };
        let settings = Settings {
            dispatchers: 100,
            zone: 0,
            classes: vec![],
            tenants: quotas.map(|quota_per_s| Tenant { quota_per_s }).to_vec(),
            contract,
            must_subscribe: false,
            can_probe: true,
            tells_size: true,
            reports_slots: true,
            tells_start: true,
            progress: 0,
            can_cancel: true,
            parallel_tries: true,
            max_attempts: 4,
            max_retry_after: 0,
            connect: 0,
            resolution: 1,
        };
        let (mut all, mut flagged) = (0.0, 0.0);
        for seed in 0..20 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut shares = Shares::new(&settings);
            let rates = quotas.map(|quota| quota / 100.0 / MARGIN);
            let mut next = rates.map(|rate| -(1.0 - rng.f64()).ln() / rate);
            loop {
                let tenant = (0..6).min_by(|a, b| next[*a].total_cmp(&next[*b])).unwrap_or(0);
                let at = next[tenant];
                if at > 60.0 {
                    break;
                }
                let over = shares.over(Some(tenant as u32), 1 + (at * SECOND) as Nanos);
                if tenant == 5 {
                    all += 1.0;
                    flagged += f64::from(u8::from(over));
                }
                let rate = rates[tenant] * if tenant == 5 { times } else { 1.0 };
                next[tenant] += -(1.0 - rng.f64()).ln() / rate;
            }
        }
        flagged / all
    }

    #[test]
    fn chance_does_not_put_a_small_tenant_over_its_share_and_a_surge_does() {
        assert!(over(1.0) < 0.05, "{} of what is within the quota is over the share", over(1.0));
        assert!(over(6.0) > 0.5, "{} of a surge is over the share", over(6.0));
    }
}
