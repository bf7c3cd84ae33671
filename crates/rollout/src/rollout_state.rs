//! The replicated state of a rollout. The same commands in the same order lead to the same state on every
//! voter.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::contradiction::Contradiction;
use crate::document::RulesDocument;
use crate::rollout_plan::plan_steps;
use crate::step::{RulesStep, VersionedStep};
use crate::version::Version;

/// Maximum number of proposals that are stored for roll-backs. It limits the size of a snapshot.
const MAX_STORED_PROPOSALS: usize = 32;
/// Maximum number of steps that are stored because a member may still apply their degraded rules. It limits
/// the size of a snapshot. When it is reached, the rollout waits for the member that lags most.
const MAX_STORED_STEPS: usize = 256;

/// The reason why a command was rejected without changing the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum CommandError {
    /// The proposal is based on a proposal that is not the newest; contains the number of the newest.
    #[error("the rules have changed meanwhile: the newest proposal is {0}")]
    Conflict(u64),
    /// No proposal with this number is stored.
    #[error("proposal {0} is not stored")]
    UnknownProposal(u64),
    /// The maximum number of members is reached.
    #[error("the maximum number of members is reached")]
    MembershipFull,
}

/// The reason why the next step cannot be activated yet.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BlockedBy {
    /// There are more members than the next step allows.
    #[error("more schedulers sit at the table than the next step has seats")]
    MemberLimit,
    /// A member may be disconnected and apply degraded rules that the next step contradicts.
    #[error("{member} may be cut off and act carefully, and {contradiction}")]
    DegradedMember {
        /// The name of the member.
        member: String,
        /// The contradiction between the member's degraded rules and the next step.
        contradiction: Contradiction,
    },
    /// The maximum number of steps is stored, because a member has not acknowledged a later one.
    #[error("{member} is too many steps behind")]
    LaggingMember {
        /// The name of the member.
        member: String,
    },
}

/// A document that was proposed, with its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The number of the proposal. The first document has number 1, and each later one has the next number.
    pub number: u64,
    /// The proposed rules.
    pub document: RulesDocument,
}

/// The active rules, the pending steps and the membership.
///
/// Voters store this type in their snapshots, so the order and types of its fields are part of the storage
/// format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The version of the active step.
    version: Version,
    /// All steps from the earliest one that a member may still apply to the active one; never empty.
    steps: VecDeque<VersionedStep>,
    /// The steps that lead from the active one to the newest proposal.
    pending: VecDeque<RulesStep>,
    /// The stored proposals in the order of their numbers.
    proposals: VecDeque<Proposal>,
    /// The members, each with the earliest version whose rules or degraded rules it may still apply.
    members: BTreeMap<String, Version>,
}

impl RolloutState {
    /// Creates a state without members in which the document is active as proposal 1.
    pub fn new(document: RulesDocument) -> RolloutState {
        let version = Version { term: 0, number: 1 };
        let first_step = VersionedStep { version, step: RulesStep::from_document(&document) };
        RolloutState {
            version,
            steps: VecDeque::from([first_step]),
            pending: VecDeque::new(),
            proposals: VecDeque::from([Proposal { number: 1, document }]),
            members: BTreeMap::new(),
        }
    }

    /// Returns the active step, which is the last one that was activated.
    pub fn active(&self) -> &VersionedStep {
        &self.steps[self.steps.len() - 1]
    }

    /// Returns the number of steps that have not been activated yet.
    pub fn pending_steps(&self) -> usize {
        self.pending.len()
    }

    /// Returns the stored proposals in the order of their numbers.
    pub fn proposals(&self) -> impl Iterator<Item = &Proposal> {
        self.proposals.iter()
    }

    /// Returns the number of the newest proposal.
    fn newest_proposal(&self) -> u64 {
        self.proposals.back().map_or(0, |proposal| proposal.number)
    }

    /// Returns the members in the order of their names, each with the earliest version that it may still
    /// apply.
    pub fn members(&self) -> impl Iterator<Item = (&str, Version)> {
        self.members.iter().map(|(name, version)| (name.as_str(), *version))
    }

    /// Makes a document the newest proposal, plans the steps to it from the active step, and returns the
    /// number of the proposal. Drops the pending steps to an earlier proposal. `base` is the newest proposal
    /// that the proposer knows.
    ///
    /// # Errors
    ///
    /// [`CommandError::Conflict`] if `base` is not the newest proposal.
    pub fn propose(&mut self, base: u64, document: RulesDocument) -> Result<u64, CommandError> {
        if base != self.newest_proposal() {
            return Err(CommandError::Conflict(self.newest_proposal()));
        }
        self.pending = plan_steps(&self.active().step, &document).into();
        let number = base + 1;
        self.proposals.push_back(Proposal { number, document });
        if self.proposals.len() > MAX_STORED_PROPOSALS {
            self.proposals.pop_front();
        }
        Ok(number)
    }

    /// Proposes the document of an earlier proposal again and returns the number of the new proposal.
    ///
    /// # Errors
    ///
    /// [`CommandError::UnknownProposal`] if proposal `to` is not stored, and the errors of
    /// [`RolloutState::propose`].
    pub fn roll_back(&mut self, base: u64, to: u64) -> Result<u64, CommandError> {
        let earlier = self.proposals.iter().find(|proposal| proposal.number == to);
        let document =
            earlier.map(|proposal| proposal.document.clone()).ok_or(CommandError::UnknownProposal(to))?;
        self.propose(base, document)
    }

    /// Adds a scheduler to the members. Has no effect if it already is a member.
    ///
    /// # Errors
    ///
    /// [`CommandError::MembershipFull`] if the maximum number of members is reached.
    pub fn join(&mut self, name: &str) -> Result<(), CommandError> {
        if self.can_join(name)? {
            self.members.insert(name.to_owned(), self.version);
        }
        Ok(())
    }

    /// Returns whether [`RolloutState::join`] would add a scheduler; `false` if it already is a member.
    ///
    /// # Errors
    ///
    /// [`CommandError::MembershipFull`] if it is not a member and the maximum number of members is reached.
    pub fn can_join(&self, name: &str) -> Result<bool, CommandError> {
        if self.members.contains_key(name) {
            return Ok(false);
        }
        // Pending steps that lower the limit count too, because a new member would delay them further.
        let pending_limits = self.pending.iter().map(|step| step.max_members);
        let max_members = pending_limits.fold(self.active().step.max_members, u32::min);
        if self.members.len() < max_members as usize {
            Ok(true)
        } else {
            Err(CommandError::MembershipFull)
        }
    }

    /// Removes a member that no longer applies any rules, because it has shut down or because the operator
    /// has verified that it is down.
    pub fn leave(&mut self, name: &str) {
        self.members.remove(name);
        self.drop_unused_steps();
    }

    /// Returns the reason why the next step cannot be activated, given the versions that members have
    /// acknowledged. Returns `None` if no step is pending or nothing blocks the next one. Does not consider
    /// leases.
    pub fn blocked_by(&self, acknowledged: &BTreeMap<String, Version>) -> Option<BlockedBy> {
        let next = self.pending.front()?;
        if self.members.len() > next.max_members as usize {
            return Some(BlockedBy::MemberLimit);
        }
        self.members.iter().find_map(|(member, earliest)| {
            let acknowledged = acknowledged.get(member).copied().unwrap_or_default();
            self.blocked_by_member(member, acknowledged.max(*earliest), next)
        })
    }

    /// Returns the reason why a member that may apply any version from `earliest` on blocks the next step.
    fn blocked_by_member(&self, member: &str, earliest: Version, next: &RulesStep) -> Option<BlockedBy> {
        // Includes the active step, because the member may be disconnected before it receives the next one.
        let usable_steps = self.steps.iter().filter(|versioned| versioned.version >= earliest);
        let contradiction = usable_steps
            .map(|versioned| &versioned.step)
            .find_map(|step| step.degraded_contradiction_with(next));
        if let Some(contradiction) = contradiction {
            return Some(BlockedBy::DegradedMember { member: member.to_owned(), contradiction });
        }
        if earliest < self.version && self.steps.len() >= MAX_STORED_STEPS {
            return Some(BlockedBy::LaggingMember { member: member.to_owned() });
        }
        None
    }

    /// Activates the next step under the leader's term, unless it [is blocked](Self::blocked_by), and returns
    /// its version. `acknowledged` contains the versions that members have acknowledged.
    ///
    /// The leader may propose this command only if no member can hold a lease on a version before the active
    /// one.
    pub fn advance(&mut self, term: u64, acknowledged: &BTreeMap<String, Version>) -> Option<Version> {
        if self.blocked_by(acknowledged).is_some() {
            return None;
        }
        let step = self.pending.pop_front()?;
        for (name, earliest) in &mut self.members {
            if let Some(acknowledged) = acknowledged.get(name) {
                *earliest = (*acknowledged).min(self.version).max(*earliest);
            }
        }
        self.version = Version { term: term.max(self.version.term), number: self.version.number + 1 };
        self.steps.push_back(VersionedStep { version: self.version, step });
        self.drop_unused_steps();
        Some(self.version)
    }

    /// Drops the steps before the earliest one that a member may still apply.
    fn drop_unused_steps(&mut self) {
        let earliest = self.members.values().min().copied().unwrap_or(self.version);
        while self.steps.len() > 1 && self.steps[0].version < earliest {
            self.steps.pop_front();
        }
    }
}
