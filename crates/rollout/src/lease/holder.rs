//! The scheduler's side of a lease.

use std::collections::BTreeMap;

use super::config::LeaseConfig;
use super::messages::{LeaseGrant, LeaseRequest};
use crate::step::{RulesStep, VersionedStep};
use crate::time::Nanos;
use crate::version::Version;

/// Maximum number of remembered requests without a response; more than the number of renewals within any
/// reasonable lease.
const MAX_PENDING_REQUESTS: usize = 64;

/// The rules that a scheduler may apply at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseState<'a> {
    /// The lease is valid. The full rules of the step apply.
    Active(Version, &'a RulesStep),
    /// The lease has expired. Only the degraded rules of the step apply.
    Lapsed(Version, &'a RulesStep),
    /// No lease has been granted yet. The scheduler has no share of any quota.
    NeverGranted,
}

/// The lease of one scheduler process.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    config: LeaseConfig,
    incarnation: u64,
    next_sequence: u64,
    /// The time of each request without a response, by sequence number.
    pending_requests: BTreeMap<u64, Nanos>,
    /// The step of the last accepted grant.
    granted: Option<VersionedStep>,
    expiry: Nanos,
    renewal_due: Nanos,
}

impl LeaseHolder {
    /// Creates a holder without a lease. `incarnation` must differ from the incarnations of all earlier
    /// processes with the same name, so that the holder ignores grants to them.
    pub fn new(config: LeaseConfig, incarnation: u64) -> LeaseHolder {
        LeaseHolder {
            config,
            incarnation,
            next_sequence: 0,
            pending_requests: BTreeMap::new(),
            granted: None,
            expiry: 0,
            renewal_due: 0,
        }
    }

    /// Returns the time at which the next request is due.
    pub fn renewal_due(&self) -> Nanos {
        self.renewal_due
    }

    /// Creates the next request. A lease that is granted in response starts at `now`, however late the grant
    /// arrives.
    pub fn next_request(&mut self, now: Nanos) -> LeaseRequest {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            self.pending_requests.pop_first();
        }
        self.pending_requests.insert(sequence, now);
        self.renewal_due = now.saturating_add(self.config.renewal_interval);
        LeaseRequest { incarnation: self.incarnation, sequence, acknowledged: self.version() }
    }

    /// Returns the version of the last accepted grant; the default version if there was none.
    pub fn version(&self) -> Version {
        self.granted.as_ref().map_or(Version::default(), |granted| granted.version)
    }

    /// Processes a grant, which may be late, duplicated or out of order. Returns whether the grant contains a
    /// new version.
    pub fn accept(&mut self, now: Nanos, grant: LeaseGrant) -> bool {
        if grant.incarnation != self.incarnation {
            return false;
        }
        let Some(requested_at) = self.pending_requests.remove(&grant.sequence) else { return false };
        let expiry = requested_at.saturating_add(self.config.duration);
        let outdated = grant.version < self.version();
        if expiry <= now || outdated {
            return false;
        }
        if self.granted.is_some() && grant.version == self.version() {
            self.expiry = self.expiry.max(expiry);
            return false;
        }
        let Some(step) = grant.step else { return false };
        self.expiry = expiry;
        self.granted = Some(VersionedStep { version: grant.version, step });
        true
    }

    /// Returns the rules that the scheduler may apply now. Must be called before each send, because a process
    /// that was suspended detects only here that its lease has expired.
    pub fn state(&self, now: Nanos) -> LeaseState<'_> {
        match &self.granted {
            Some(granted) if now < self.expiry => LeaseState::Active(granted.version, &granted.step),
            Some(granted) => LeaseState::Lapsed(granted.version, &granted.step),
            None => LeaseState::NeverGranted,
        }
    }

    /// Returns the time at which the last lease expires or has expired; zero if none was granted.
    pub fn expiry(&self) -> Nanos {
        self.expiry
    }

    /// Returns the remaining time of the lease; zero if it has expired.
    pub fn remaining(&self, now: Nanos) -> Nanos {
        self.expiry.saturating_sub(now)
    }
}
