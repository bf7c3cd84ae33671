//! The rules that a scheduler may act on, with the expiry of its lease.

use std::sync::Arc;
use std::time::Instant;

use nickelflow_rollout::{RulesStep, Version};

/// The rules of the latest lease that was granted to a scheduler.
#[derive(Clone, Debug)]
pub struct ActiveRules {
    /// The version of the rules.
    pub version: Version,
    /// The content of the rules.
    pub step: Arc<RulesStep>,
    /// When the lease expires. The scheduler applies the full rules of the step until then, and the step's
    /// degraded rules afterwards.
    pub lease_expiry: Instant,
}
