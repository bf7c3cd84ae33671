//! What schedulers act on at a time, and when two of them contradict each other.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{Careful, Document, Standing};

/// Whom a worker may be sent new work of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Use {
    /// Nobody; see the [`Standing`].
    None(Standing),
    /// Only this tenant, which still goes to others too: a step on the way to or from [`Use::Own`].
    Reserved(String),
    /// Only this tenant, which goes to no other worker.
    Own(String),
}

/// What keys are placed by: the list of workers and those that are not open to all. Who has another set places some
/// keys at other racks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    pub list: u64,
    pub without: BTreeSet<String>,
}

/// How keyed jobs find their rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Places {
    By(Set),
    /// Only where both sets place a key at the same rack; other keyed jobs wait for the next step.
    Both(Set, Set),
}

/// Rules as they are acted on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Schedulers that may hold a part at a time ...
    pub seats: u32,
    /// ... and into how many parts each limit is divided: never fewer.
    pub parts: u32,
    pub attempts: u32,
    pub retry_after_ms: (u32, u32),
    /// Requests a second at all schedulers together.
    pub quotas: BTreeMap<String, f64>,
    /// Workers that are not open to all.
    pub uses: BTreeMap<String, Use>,
    pub places: Places,
    pub careful: Careful,
}

/// Why two steps may not be in force at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Contradiction {
    /// All parts of a tenant's limit together could pass the whole.
    Quota(String),
    /// One keeps this worker for a tenant, and the other sends it another's work.
    Pinned(String),
    /// A key could be sent to two racks.
    Placed,
}

impl std::fmt::Display for Contradiction {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Contradiction::Quota(tenant) => write!(f, "the parts of {tenant}'s limit could pass the whole"),
            Contradiction::Pinned(worker) => write!(f, "{worker} could get another tenant's work"),
            Contradiction::Placed => write!(f, "keys could be sent to two racks"),
        }
    }
}

/// Sums of parts are rounded.
const ROUNDING: f64 = 1e-9;

impl Step {
    /// The one step of a document that nothing went before.
    pub fn of(document: &Document) -> Step {
        let uses = document.workers.iter().map(|(worker, standing)| {
            let put = match standing {
                Standing::Pinned(tenant) => Use::Own(tenant.clone()),
                closed => Use::None(closed.clone()),
            };
            (worker.clone(), put)
        });
        Step {
            seats: document.schedulers,
            parts: document.schedulers,
            attempts: document.attempts,
            retry_after_ms: document.retry_after_ms,
            quotas: document.quotas.clone(),
            uses: uses.collect(),
            places: Places::By(Set {
                list: document.list,
                without: document.workers.keys().cloned().collect(),
            }),
            careful: Careful {
                others: document.careful.others,
                unlimited: document.careful.unlimited,
                share: document.careful.share,
                workers: (document.careful.workers.iter())
                    .filter(|worker| !document.workers.contains_key(*worker))
                    .cloned()
                    .collect(),
            },
        }
    }

    /// A scheduler's part of a tenant's limit, with a lease; infinite for a tenant that has none.
    pub fn part(&self, tenant: &str) -> f64 {
        self.quotas.get(tenant).map_or(f64::INFINITY, |quota| quota / f64::from(self.parts))
    }

    /// Its part while it is cut off.
    pub fn careful_part(&self, tenant: &str) -> f64 {
        let without = if self.careful.unlimited { f64::INFINITY } else { 0.0 };
        self.quotas.get(tenant).map_or(without, |quota| quota / f64::from(self.parts) * self.careful.share)
    }

    /// Whether a tenant's new work may go to a worker.
    pub fn allows(&self, worker: &str, tenant: &str) -> bool {
        let owned = self.uses.values().any(|put| *put == Use::Own(tenant.to_owned()));
        match self.uses.get(worker) {
            None => !owned,
            Some(Use::None(_)) => false,
            Some(Use::Reserved(of) | Use::Own(of)) => of == tenant,
        }
    }

    /// The same while the scheduler is cut off.
    pub fn careful_allows(&self, worker: &str, tenant: &str) -> bool {
        self.careful_covers(worker) && self.allows(worker, tenant)
    }

    fn careful_covers(&self, worker: &str) -> bool {
        self.careful.workers.contains(worker) || self.careful.others && !self.uses.contains_key(worker)
    }

    /// Whether a scheduler that acts on this one and others that act on `other` may together do what neither allows.
    pub fn contradicts(&self, other: &Step) -> Option<Contradiction> {
        let tenants: BTreeSet<&String> = self.quotas.keys().chain(other.quotas.keys()).collect();
        for tenant in tenants {
            let (Some(a), Some(b)) = (self.quotas.get(tenant), other.quotas.get(tenant)) else { continue };
            if self.worst_sum(other, tenant) > a.max(*b) * (1.0 + ROUNDING) {
                return Some(Contradiction::Quota(tenant.clone()));
            }
        }
        let workers: BTreeSet<&String> = self.uses.keys().chain(other.uses.keys()).collect();
        for worker in workers {
            if foreign(self.uses.get(worker), other.uses.get(worker))
                || foreign(other.uses.get(worker), self.uses.get(worker))
            {
                return Some(Contradiction::Pinned(worker.clone()));
            }
        }
        (!self.places.agrees(&other.places)).then_some(Contradiction::Placed)
    }

    /// The most that all who sit at the table come to, some acting on this and some on the other.
    fn worst_sum(&self, other: &Step, tenant: &str) -> f64 {
        let (mine, theirs) = (self.part(tenant), other.part(tenant));
        let ((large, many), (small, few)) = match mine >= theirs {
            true => ((mine, self.seats), (theirs, other.seats)),
            false => ((theirs, other.seats), (mine, self.seats)),
        };
        let all = many.max(few);
        f64::from(many) * large + f64::from(all - many) * small
    }

    /// Whether a scheduler that is cut off, and acts on this one's careful rules, may do what `now` does not allow.
    pub fn careful_contradicts(&self, now: &Step) -> Option<Contradiction> {
        for (tenant, quota) in &now.quotas {
            // Its seat is its own: it must not take more than the part that goes with that.
            if self.careful_part(tenant) > quota / f64::from(now.parts) * (1.0 + ROUNDING) {
                return Some(Contradiction::Quota(tenant.clone()));
            }
        }
        for worker in now.uses.keys() {
            if self.careful_covers(worker) {
                return Some(Contradiction::Pinned(worker.clone()));
            }
        }
        // Keys are placed by the hash that ranks highest: one that is taken out moves its own keys and no other, and
        // the cut off send keys only where their careful workers rank first.
        let kept = |mine: &Set| {
            now.places.sets().any(|set| set.list == mine.list && set.without.is_superset(&mine.without))
        };
        let sends = self.careful.others || !self.careful.workers.is_empty();
        (sends && !self.places.sets().any(kept)).then_some(Contradiction::Placed)
    }
}

/// Whether one keeps a worker for a tenant to which the other sends somebody else's work.
fn foreign(kept: Option<&Use>, other: Option<&Use>) -> bool {
    let Some(Use::Own(tenant)) = kept else { return false };
    match other {
        None => true,
        Some(Use::None(_)) => false,
        Some(Use::Reserved(of) | Use::Own(of)) => of != tenant,
    }
}

impl Places {
    fn sets(&self) -> impl Iterator<Item = &Set> {
        let (first, second) = match self {
            Places::By(set) => (set, None),
            Places::Both(old, new) => (old, Some(new)),
        };
        std::iter::once(first).chain(second)
    }

    /// Whether no key is sent to two racks: both place by one set, or each key that one sends the other would send to
    /// the same rack or not at all.
    fn agrees(&self, other: &Places) -> bool {
        match (self, other) {
            (Places::By(a), Places::By(b)) => a == b,
            (Places::By(set), Places::Both(old, new)) | (Places::Both(old, new), Places::By(set)) => {
                set == old || set == new
            }
            (Places::Both(a, b), Places::Both(c, d)) => a == c || a == d || b == c || b == d,
        }
    }
}
