//! The version of a rules step.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a rules step. Versions are ordered by number first. The term distinguishes steps that different
/// leaders activated under the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The number of the step. Each step has the number of the step before it plus one.
    pub number: u64,
    /// The Raft term of the leader that activated the step.
    pub term: u64,
}

impl fmt::Display for Version {
    /// Formats the version as `term.number`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
