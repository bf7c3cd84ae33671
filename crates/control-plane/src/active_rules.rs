//! The rules that a scheduler acts on.

use std::sync::Arc;
use std::time::Instant;

use nickelflow_rollout::{RulesStep, Version};

/// The rules that a scheduler was last granted a lease on.
#[derive(Clone, Debug)]
pub struct ActiveRules {
    /// The version of the rules.
    pub version: Version,
    /// What they say.
    pub step: Arc<RulesStep>,
    /// When the lease lapses: the scheduler acts on the step in full before, and on its degraded rules after.
    pub lease_expiry: Instant,
}
