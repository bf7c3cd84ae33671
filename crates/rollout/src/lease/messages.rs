//! The messages between lease holders and the leader. Their encoding is part of the wire format.

use serde::{Deserialize, Serialize};

use crate::step::RulesStep;
use crate::version::Version;

/// A holder's request for a new lease or a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identifies the process among all processes that have had the holder's name.
    pub incarnation: u64,
    /// The sequence number of the request within its incarnation.
    pub sequence: u64,
    /// The version that the holder has received. The holder no longer applies earlier versions.
    pub acknowledged: Version,
}

/// The leader's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The incarnation of the request.
    pub incarnation: u64,
    /// The sequence number of the request.
    pub sequence: u64,
    /// The version that the lease is for.
    pub version: Version,
    /// The rules of the version; `None` if the holder has acknowledged the version, because steps may be
    /// large and renewals are frequent.
    pub step: Option<RulesStep>,
}
