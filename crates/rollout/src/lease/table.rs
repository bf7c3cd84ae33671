//! The leader's record of the leases that it has granted.

use std::collections::{BTreeMap, VecDeque};

use super::config::LeaseConfig;
use super::messages::{LeaseGrant, LeaseRequest};
use crate::monotonic::Nanos;
use crate::step::RulesStep;
use crate::version::Version;

/// Number of earlier incarnations that are remembered of each holder.
const MAX_PAST_INCARNATIONS: usize = 4;
/// Number of departed holders of which the incarnation is remembered: more than depart while a request is under way.
const MAX_DEPARTED_HOLDERS: usize = 1_024;

/// What is known about a holder's leases on versions before a given one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorLease {
    /// The holder has acknowledged the version and acts on no earlier one.
    Replaced,
    /// Every lease on an earlier version has expired for certain.
    Expired,
    /// The holder may have a lease on an earlier version.
    Outstanding {
        /// The time at which that lease has expired for certain, by the leader's clock.
        expiry: Nanos,
    },
}

impl PriorLease {
    /// Whether the holder cannot have a lease on an earlier version.
    pub fn is_over(&self) -> bool {
        match self {
            PriorLease::Replaced | PriorLease::Expired => true,
            PriorLease::Outstanding { .. } => false,
        }
    }
}

/// The last lease that was granted to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutstandingLease<'a> {
    /// The name of the holder.
    pub holder: &'a str,
    /// The version that was granted.
    pub version: Version,
    /// The time at which the lease has expired for certain, by the leader's clock.
    pub expiry: Nanos,
}

/// A name and incarnation that gave its membership up.
#[derive(Clone, Debug)]
struct DepartedHolder {
    name: String,
    incarnation: u64,
}

/// What the leader knows about a holder.
#[derive(Clone, Debug)]
struct HolderRecord {
    /// The incarnation that first asked last.
    incarnation: u64,
    /// The incarnations that it has replaced, the latest last.
    past_incarnations: VecDeque<u64>,
    /// The latest version that the holder has acknowledged.
    acknowledged: Version,
    /// The latest version that was granted.
    granted_version: Version,
    /// The time of the last grant.
    last_granted_at: Nanos,
    /// The time of the last grant of a version before the latest.
    prior_granted_at: Nanos,
}

impl HolderRecord {
    /// Creates the record of a holder that asks for the first time in this term, which began at `term_start`. Until then
    /// an earlier leader may have granted it a lease.
    fn new(request: &LeaseRequest, term_start: Nanos) -> HolderRecord {
        HolderRecord {
            incarnation: request.incarnation,
            past_incarnations: VecDeque::new(),
            acknowledged: request.acknowledged,
            granted_version: Version::default(),
            last_granted_at: term_start,
            prior_granted_at: term_start,
        }
    }

    /// Records the incarnation of a request as the present one.
    fn set_incarnation(&mut self, incarnation: u64) {
        if self.incarnation == incarnation {
            return;
        }
        let replaced = std::mem::replace(&mut self.incarnation, incarnation);
        self.past_incarnations.push_back(replaced);
        if self.past_incarnations.len() > MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
    }

    /// Records a grant.
    fn set_granted(&mut self, now: Nanos, version: Version) {
        if self.granted_version < version {
            self.prior_granted_at = self.last_granted_at;
            self.granted_version = version;
        }
        self.last_granted_at = now;
    }
}

/// The leases that a leader has granted in its term.
///
/// The table is not replicated. The next leader starts with an empty one and waits until every lease that this one may
/// have granted has expired.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    config: LeaseConfig,
    term_start: Nanos,
    holders: BTreeMap<String, HolderRecord>,
    departed_holders: VecDeque<DepartedHolder>,
}

impl LeaseTable {
    /// Creates the table of a leader whose term begins now.
    pub fn new(config: LeaseConfig, now: Nanos) -> LeaseTable {
        LeaseTable { config, term_start: now, holders: BTreeMap::new(), departed_holders: VecDeque::new() }
    }

    /// Grants a lease on a version. Returns `None` for a process that [was superseded](LeaseTable::is_superseded), because
    /// together with its successor it would use two shares of each quota.
    ///
    /// To be called only after a quorum has confirmed, later than the request arrived, that this leader still leads and
    /// that `version` is the last one decided. Otherwise a lease on an old version could outlast
    /// [`LeaseConfig::max_overlap`].
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
        let new_record = || HolderRecord::new(&request, self.term_start);
        let record = self.holders.entry(holder.to_owned()).or_insert_with(new_record);
        record.set_incarnation(request.incarnation);
        record.acknowledged = record.acknowledged.max(request.acknowledged);
        record.set_granted(now, version);
        let step = (request.acknowledged != version).then(|| step.clone());
        Some(LeaseGrant { incarnation: request.incarnation, sequence: request.sequence, version, step })
    }

    /// Whether a holder can still have a lease on a version before the given one.
    pub fn prior_lease(&self, now: Nanos, holder: &str, version: Version) -> PriorLease {
        let last_prior_grant = match self.holders.get(holder) {
            Some(record) if record.acknowledged >= version => return PriorLease::Replaced,
            Some(record) if record.granted_version >= version => record.prior_granted_at,
            Some(record) => record.last_granted_at,
            None => self.term_start,
        };
        let expiry = last_prior_grant.saturating_add(self.config.safe_expiry());
        if now >= expiry {
            PriorLease::Expired
        } else {
            PriorLease::Outstanding { expiry }
        }
    }

    /// The latest version that a holder has acknowledged in this leader's term.
    pub fn acknowledged(&self, holder: &str) -> Option<Version> {
        self.holders.get(holder).map(|record| record.acknowledged)
    }

    /// The last lease of each holder, in the order of their names.
    pub fn outstanding_leases(&self) -> impl Iterator<Item = OutstandingLease<'_>> {
        let safe_expiry = self.config.safe_expiry();
        self.holders.iter().map(move |(name, record)| OutstandingLease {
            holder: name,
            version: record.granted_version,
            expiry: record.last_granted_at.saturating_add(safe_expiry),
        })
    }

    /// Removes a holder that has left the membership. Its incarnation is remembered, so that a request that arrives late
    /// does not make it a member again.
    pub fn remove_departed(&mut self, holder: &str) {
        let Some(record) = self.holders.remove(holder) else { return };
        let departed = DepartedHolder { name: holder.to_owned(), incarnation: record.incarnation };
        self.departed_holders.push_back(departed);
        if self.departed_holders.len() > MAX_DEPARTED_HOLDERS {
            self.departed_holders.pop_front();
        }
    }

    /// Whether a request comes from a process that has left the membership or whose name a later process has taken over.
    pub fn is_superseded(&self, holder: &str, request: &LeaseRequest) -> bool {
        let replaced = self
            .holders
            .get(holder)
            .is_some_and(|record| record.past_incarnations.contains(&request.incarnation));
        let departed = self
            .departed_holders
            .iter()
            .any(|departed| departed.name == holder && departed.incarnation == request.incarnation);
        replaced || departed
    }
}
