//! The commands of the replicated log, and what they lead to.
//!
//! Both are postcard, in the log on disk and between voters: it stores the order, number and types of fields
//! and variants, which must not change.

use std::collections::BTreeMap;

use nickelflow_rollout::{CommandError, RulesDocument, Version};
use serde::{Deserialize, Serialize};

/// A change of the rules that is made by committing it to the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing. Once it is committed, so is everything before it.
    ReadBarrier,
    /// Makes this document the first rules.
    Bootstrap(RulesDocument),
    /// Makes a document the newest proposal.
    Propose {
        /// The newest proposal that the operator knows of; the command is rejected if there is a newer one.
        base: u64,
        /// The proposed rules.
        document: RulesDocument,
    },
    /// Proposes the document of an earlier proposal again.
    RollBack {
        /// The newest proposal that the operator knows of; the command is rejected if there is a newer one.
        base: u64,
        /// The number of the earlier proposal.
        to: u64,
    },
    /// Makes the scheduler of this name a member.
    Join(String),
    /// Ends the membership of the scheduler of this name, which must not act on any rules any more.
    Leave(String),
    /// Makes the next step the active one.
    Advance {
        /// The version that must still be active, or else nothing changes.
        from: Version,
        /// The version that each lease holder has acknowledged.
        acknowledged: BTreeMap<String, Version>,
    },
}

/// What a committed entry of the log has led to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// Nothing: an entry of the Raft library, or a read barrier.
    Nothing,
    /// The command was applied; the number of the proposal or version that it has made, or 0.
    Applied(u64),
    /// The rules do not allow it.
    Rejected(CommandError),
    /// It needs rules, and there are none yet.
    NotBootstrapped,
    /// There are rules already.
    AlreadyBootstrapped,
}
