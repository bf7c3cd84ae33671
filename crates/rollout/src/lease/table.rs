//! The leader's record of the leases that it has granted.

use std::collections::{BTreeMap, VecDeque};

use super::config::LeaseConfig;
use super::messages::{LeaseGrant, LeaseRequest};
use crate::step::RulesStep;
use crate::time::Nanos;
use crate::version::Version;

/// Maximum number of earlier incarnations that are remembered for each holder.
const MAX_PAST_INCARNATIONS: usize = 4;
/// Maximum number of departed holders whose incarnations are remembered; more than depart while a request is
/// in flight.
const MAX_DEPARTED_HOLDERS: usize = 1_024;

/// The state of a holder's leases on versions before a given one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorLease {
    /// The holder has acknowledged the given version and no longer applies earlier ones.
    Replaced,
    /// All leases on earlier versions have certainly expired.
    Expired,
    /// The holder may have a lease on an earlier version.
    Outstanding {
        /// The time, by the leader's clock, at which that lease has certainly expired.
        expiry: Nanos,
    },
}

impl PriorLease {
    /// Returns whether the holder can no longer have a lease on an earlier version.
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
    /// The time, by the leader's clock, at which the lease has certainly expired.
    pub expiry: Nanos,
}

/// A process that has left the membership.
#[derive(Clone, Debug)]
struct DepartedHolder {
    name: String,
    incarnation: u64,
}

/// The leader's record of a holder.
#[derive(Clone, Debug)]
struct HolderRecord {
    /// The incarnation whose first request arrived last.
    incarnation: u64,
    /// The incarnations that the current one has replaced, the latest last.
    past_incarnations: VecDeque<u64>,
    /// The latest version that the holder has acknowledged.
    acknowledged: Version,
    /// The latest version that was granted.
    granted_version: Version,
    /// The time of the last grant.
    last_granted_at: Nanos,
    /// The time of the last grant of a version before `granted_version`.
    prior_granted_at: Nanos,
}

impl HolderRecord {
    /// Creates the record of a holder at its first request in the term that began at `term_start`. Until
    /// `term_start` an earlier leader may have granted the holder a lease.
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

    /// Makes the incarnation of a request the current one.
    fn record_incarnation(&mut self, incarnation: u64) {
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
    fn record_grant(&mut self, now: Nanos, version: Version) {
        if self.granted_version < version {
            self.prior_granted_at = self.last_granted_at;
            self.granted_version = version;
        }
        self.last_granted_at = now;
    }
}

/// The leases that a leader has granted in its term.
///
/// The table is not replicated. The next leader starts with an empty table and waits until all leases that
/// this leader may have granted have expired.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    config: LeaseConfig,
    term_start: Nanos,
    holders: BTreeMap<String, HolderRecord>,
    departed_holders: VecDeque<DepartedHolder>,
}

impl LeaseTable {
    /// Creates the table of a leader whose term begins at `now`.
    pub fn new(config: LeaseConfig, now: Nanos) -> LeaseTable {
        LeaseTable { config, term_start: now, holders: BTreeMap::new(), departed_holders: VecDeque::new() }
    }

    /// Grants a lease on a version. Returns `None` for a [superseded](LeaseTable::is_superseded) process,
    /// because the process and its successor together would use two shares of each quota.
    ///
    /// Must be called only after a quorum has confirmed, after the request arrived, that this leader still
    /// leads and that `version` is the active one. Otherwise a lease on an old version could outlast
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
        record.record_incarnation(request.incarnation);
        record.acknowledged = record.acknowledged.max(request.acknowledged);
        record.record_grant(now, version);
        let step = (request.acknowledged != version).then(|| step.clone());
        Some(LeaseGrant { incarnation: request.incarnation, sequence: request.sequence, version, step })
    }

    /// Returns whether a holder can still have a lease on a version before the given one.
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

    /// Returns the latest version that a holder has acknowledged in this leader's term.
    pub fn acknowledged(&self, holder: &str) -> Option<Version> {
        self.holders.get(holder).map(|record| record.acknowledged)
    }

    /// Returns the last lease of each holder, in the order of the holders' names.
    pub fn outstanding_leases(&self) -> impl Iterator<Item = OutstandingLease<'_>> {
        let safe_expiry = self.config.safe_expiry();
        self.holders.iter().map(move |(name, record)| OutstandingLease {
            holder: name,
            version: record.granted_version,
            expiry: record.last_granted_at.saturating_add(safe_expiry),
        })
    }

    /// Removes a holder that has left the membership. Remembers its incarnation, so that a late request does
    /// not make it a member again.
    pub fn remove_departed(&mut self, holder: &str) {
        let Some(record) = self.holders.remove(holder) else { return };
        let departed = DepartedHolder { name: holder.to_owned(), incarnation: record.incarnation };
        self.departed_holders.push_back(departed);
        if self.departed_holders.len() > MAX_DEPARTED_HOLDERS {
            self.departed_holders.pop_front();
        }
    }

    /// Returns whether a request comes from a process that has left the membership or that a later process
    /// with the same name has replaced.
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
