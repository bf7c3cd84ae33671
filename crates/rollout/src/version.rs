//! Identification of rules steps.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The version of a rules step. Versions are ordered by number; the term makes the version of a step that another
/// leader put in force under the same number distinguishable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The number of the step, which grows by one with each step.
    pub number: u64,
    /// The Raft term of the leader that put the step in force.
    pub term: u64,
}

impl fmt::Display for Version {
    /// Writes `term.number`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
