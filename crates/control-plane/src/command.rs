//! The commands of the replicated log, and the outcomes of applying them.
//!
//! Both types are encoded as postcard, in the log on disk and between voters. The encoding depends on the
//! order, number and types of fields and variants, so these must not change.

use std::collections::BTreeMap;

use nickelflow_rollout::{CommandError, RulesDocument, Version};
use serde::{Deserialize, Serialize};

/// A change that takes effect when it is committed to the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing. When it is committed, all entries before it are committed too.
    ReadBarrier,
    /// Makes this document the first proposal.
    Bootstrap(RulesDocument),
    /// Appends a document as the newest proposal.
    Propose {
        /// The newest proposal that the operator has seen. The command is rejected if a newer one exists.
        base: u64,
        /// The proposed rules.
        document: RulesDocument,
    },
    /// Appends the document of an earlier proposal as the newest proposal.
    RollBack {
        /// The newest proposal that the operator has seen. The command is rejected if a newer one exists.
        base: u64,
        /// The number of the earlier proposal.
        to: u64,
    },
    /// Adds the scheduler with this name to the membership.
    Join(String),
    /// Removes the scheduler with this name from the membership. The scheduler must have stopped acting on
    /// rules.
    Leave(String),
    /// Activates the next step.
    Advance {
        /// The active version that the leader saw. Nothing changes if another version is active.
        from: Version,
        /// The latest version that each lease holder has acknowledged.
        acknowledged: BTreeMap<String, Version>,
    },
}

/// The outcome of applying a committed log entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The entry changes no rules: it belongs to the Raft library or is a read barrier.
    Nothing,
    /// The command was applied. Holds the number of the proposal or version that it created, or 0.
    Applied(u64),
    /// The current state of the rollout does not allow the command.
    Rejected(CommandError),
    /// The command needs rules, and none have been bootstrapped.
    NotBootstrapped,
    /// The rules have already been bootstrapped.
    AlreadyBootstrapped,
}
