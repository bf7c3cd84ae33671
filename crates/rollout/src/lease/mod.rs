//! Leases: a scheduler acts on a step only for a while from when it last asked; the one that decides knows when that
//! while is surely over (Gray and Cheriton, SOSP 1989).

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::step::RulesStep;
use crate::{Nanos, Version};

/// The figures of leases; all schedulers must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseConfig {
    /// For how long a lease holds, from when its holder asked for it.
    pub duration: Nanos,
    /// How long after it asked a holder asks again.
    pub renewal_interval: Nanos,
    /// By which part of it a clock may run fast or slow at most.
    pub max_clock_drift: f64,
}

impl LeaseConfig {
    /// `None` for figures that cannot work: a lease must be renewed before it lapses, and drift be small.
    pub fn new(lease: Nanos, renewal: Nanos, drift: f64) -> Option<LeaseConfig> {
        let sound = 0 < renewal && renewal < lease && (0.0..=0.1).contains(&drift);
        sound.then_some(LeaseConfig { duration: lease, renewal_interval: renewal, max_clock_drift: drift })
    }

    /// T: from the moment at which a version is decided no scheduler acts on the one before for longer than this, by a
    /// true clock. Its last lease on that was asked for before then, and lasts this long by the slowest clock. What a
    /// process sends that stands still between its last look at the lease and the write comes on top.
    pub fn max_overlap(&self) -> Nanos {
        (self.duration as f64 / (1.0 - self.max_clock_drift)).ceil() as Nanos
    }

    /// How long by its own clock one that grants must wait until a lease that it granted is surely over.
    pub fn safe_expiry(&self) -> Nanos {
        (self.max_overlap() as f64 * (1.0 + self.max_clock_drift)).ceil() as Nanos
    }
}

/// A holder asks for its lease; the grant repeats life and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub incarnation: u64,
    pub sequence: u64,
    /// What it has, which tells that it acts on nothing earlier any more.
    pub acknowledged: Version,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    pub incarnation: u64,
    pub sequence: u64,
    pub version: Version,
    /// `None` where the holder has told that it has this version: documents may be large, and renewals are many.
    pub step: Option<RulesStep>,
}

/// What a scheduler acts on at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseState<'a> {
    Active(Version, &'a RulesStep),
    /// Its lease has lapsed: only what the step's careful rules allow.
    Lapsed(Version, &'a RulesStep),
    /// It never had one: it has no part of anything.
    NeverGranted,
}

/// A scheduler's side.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    terms: LeaseConfig,
    life: u64,
    next: u64,
    /// Requests that are not answered, with the time at which each was made: no more than fit into a lease.
    asked: BTreeMap<u64, Nanos>,
    held: Option<(Version, RulesStep)>,
    until: Nanos,
    renew: Nanos,
}

/// Unanswered requests that are remembered: more than there are renewals in any lease that makes sense.
const ASKED: usize = 64;

impl LeaseHolder {
    /// `life` must differ from that of every process before it under its name: a grant to one of those must not be
    /// taken for one of its own.
    pub fn new(terms: LeaseConfig, life: u64) -> LeaseHolder {
        LeaseHolder { terms, life, next: 0, asked: BTreeMap::new(), held: None, until: 0, renew: 0 }
    }

    /// When it wants to ask next.
    pub fn renewal_due(&self) -> Nanos {
        self.renew
    }

    /// Asks now. The lease that answers counts from here, however late it comes.
    pub fn next_request(&mut self, now: Nanos) -> LeaseRequest {
        let number = self.next;
        self.next += 1;
        if self.asked.len() >= ASKED {
            self.asked.pop_first();
        }
        self.asked.insert(number, now);
        self.renew = now.saturating_add(self.terms.renewal_interval);
        LeaseRequest { incarnation: self.life, sequence: number, acknowledged: self.version() }
    }

    /// The version that it acts on, or acted on last.
    pub fn version(&self) -> Version {
        self.held.as_ref().map_or(Version::default(), |(version, _)| *version)
    }

    /// Takes a grant: late, twice, or in any order. Tells whether it brought a new version.
    pub fn accept(&mut self, now: Nanos, grant: LeaseGrant) -> bool {
        if grant.incarnation != self.life {
            return false;
        }
        let Some(asked) = self.asked.remove(&grant.sequence) else { return false };
        let until = asked.saturating_add(self.terms.duration);
        // Over already, or of a time before what it acts on.
        if until <= now || grant.version < self.version() {
            return false;
        }
        if self.held.is_some() && grant.version == self.version() {
            self.until = self.until.max(until);
            return false;
        }
        let Some(step) = grant.step else { return false };
        (self.until, self.held) = (until, Some((grant.version, step)));
        true
    }

    /// What it may act on now. To be asked before every send: a process that stood still sees its lapse here.
    pub fn state(&self, now: Nanos) -> LeaseState<'_> {
        match &self.held {
            Some((version, step)) if now < self.until => LeaseState::Active(*version, step),
            Some((version, step)) => LeaseState::Lapsed(*version, step),
            None => LeaseState::NeverGranted,
        }
    }

    /// When its last lease lapses or has lapsed.
    pub fn expiry(&self) -> Nanos {
        self.until
    }

    /// What is left of its lease.
    pub fn remaining(&self, now: Nanos) -> Nanos {
        self.until.saturating_sub(now)
    }
}

/// Lives of a holder before its present one that are remembered.
const LIVES: usize = 4;
/// Holders that left, of which the life is remembered: more than leave while a request is on its way.
const GONE: usize = 1_024;

/// What the one that decides knows of a holder.
#[derive(Clone, Debug)]
struct Known {
    /// Its present life, the last that came anew, and those before.
    life: u64,
    before: VecDeque<u64>,
    /// What it has told that it has: it acts on nothing earlier any more.
    has: Version,
    /// The last version that it was granted, and when an earlier one was granted last.
    granted: Version,
    at: Nanos,
    earlier: Nanos,
}

/// The side of the one that decides now. What it knows dies with its term: who follows it waits until all that it may
/// have granted is over.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    terms: LeaseConfig,
    begun: Nanos,
    holders: BTreeMap<String, Known>,
    /// Names and lives that have left.
    gone: VecDeque<(String, u64)>,
}

impl LeaseTable {
    /// One that has just become the one that decides.
    pub fn new(terms: LeaseConfig, now: Nanos) -> LeaseTable {
        LeaseTable { terms, begun: now, holders: BTreeMap::new(), gone: VecDeque::new() }
    }

    /// Answers a request. To be called only once it is confirmed, after the request came in, that it still decides and
    /// that `version` is the last one decided: else a lease on an old version could outlast the bound. `None` for a
    /// process whose place another one of the same name has taken: both together would take two parts.
    pub fn grant(
        &mut self,
        now: Nanos,
        holder: &str,
        request: LeaseRequest,
        version: Version,
        step: &RulesStep,
    ) -> Option<LeaseGrant> {
        if self.is_superseded(holder, &request) {
            return None;
        }
        let known = self.holders.entry(holder.to_owned()).or_insert_with(|| Known {
            life: request.incarnation,
            before: VecDeque::new(),
            has: request.acknowledged,
            granted: Version::default(),
            at: self.begun,
            earlier: self.begun,
        });
        if known.life != request.incarnation {
            known.before.push_back(std::mem::replace(&mut known.life, request.incarnation));
            if known.before.len() > LIVES {
                known.before.pop_front();
            }
        }
        known.has = known.has.max(request.acknowledged);
        if known.granted < version {
            known.earlier = known.at;
            known.granted = version;
        }
        known.at = now;
        let step = (request.acknowledged != version).then(|| step.clone());
        Some(LeaseGrant { incarnation: request.incarnation, sequence: request.sequence, version, step })
    }

    /// Whether a holder can have a lease on nothing but a version, and else until when it may have one on an earlier.
    pub fn prior_lease(&self, now: Nanos, holder: &str, version: Version) -> Result<PriorLease, Nanos> {
        let earlier = match self.holders.get(holder) {
            Some(known) if known.has >= version => return Ok(PriorLease::Replaced),
            Some(known) if known.granted >= version => known.earlier,
            Some(known) => known.at,
            None => self.begun,
        };
        let over = earlier.saturating_add(self.terms.safe_expiry());
        if now >= over {
            Ok(PriorLease::Expired)
        } else {
            Err(over)
        }
    }

    /// What a holder has told that it has, in this one's time.
    pub fn acknowledged(&self, holder: &str) -> Option<Version> {
        self.holders.get(holder).map(|known| known.has)
    }

    /// Until when by this one's clock each holder may act on what it was granted last.
    pub fn outstanding_leases(&self) -> impl Iterator<Item = (&str, Version, Nanos)> {
        let surely = self.terms.safe_expiry();
        self.holders
            .iter()
            .map(move |(name, known)| (name.as_str(), known.granted, known.at.saturating_add(surely)))
    }

    /// Forgets one that has given up its seat, but for its life: a request of its that comes late must not take the seat
    /// again.
    pub fn remove_departed(&mut self, holder: &str) {
        if let Some(known) = self.holders.remove(holder) {
            self.gone.push_back((holder.to_owned(), known.life));
            if self.gone.len() > GONE {
                self.gone.pop_front();
            }
        }
    }

    /// Whether a request is of a process that has given up its seat, or whose place another has taken.
    pub fn is_superseded(&self, holder: &str, request: &LeaseRequest) -> bool {
        self.holders.get(holder).is_some_and(|known| known.before.contains(&request.incarnation))
            || self.gone.iter().any(|(name, life)| name == holder && *life == request.incarnation)
    }
}

/// What is known of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorLease {
    /// It has told that it has the version.
    Replaced,
    /// Every lease on an earlier one is over.
    Expired,
}
