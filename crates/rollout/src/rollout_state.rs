//! What is decided, as a state that all who vote keep alike: the same commands in the same order lead to the same state.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::document::RulesDocument;
use crate::rollout_plan::plan_steps;
use crate::step::{Contradiction, RulesStep};
use crate::Version;

/// Documents that a roll-back may go to.
const KEPT: usize = 32;
/// Steps that are kept because somebody may still act on their careful rules; more changes then wait.
const MOST_STEPS: usize = 256;

/// Why a command has changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandError {
    /// Somebody else proposed first: the newest proposal is of this number.
    Conflict(u64),
    /// No document of this number is kept.
    UnknownProposal(u64),
    /// All seats are taken.
    MembershipFull,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Conflict(now) => {
                write!(f, "the rules have changed meanwhile: the newest are proposal {now}")
            }
            CommandError::UnknownProposal(number) => write!(f, "proposal {number} is not kept"),
            CommandError::MembershipFull => write!(f, "all seats are taken"),
        }
    }
}

impl std::error::Error for CommandError {}

/// Why the next step is not in force yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockedBy {
    /// More sit at the table than the next step has seats.
    MemberLimit,
    /// This one may be cut off and act on careful rules that the next step contradicts.
    DegradedMember(String, Contradiction),
    /// Too many steps are kept for this one.
    LaggingMember(String),
}

impl fmt::Display for BlockedBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BlockedBy::MemberLimit => {
                write!(f, "more schedulers sit at the table than the next step has seats")
            }
            BlockedBy::DegradedMember(who, why) => {
                write!(f, "{who} may be cut off and act carefully, and {why}")
            }
            BlockedBy::LaggingMember(who) => write!(f, "{who} is too many steps behind"),
        }
    }
}

/// The rules in force, those on their way, and who sits at the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    version: Version,
    /// The steps from the earliest that somebody may still act on to the one in force.
    steps: VecDeque<(Version, RulesStep)>,
    next: VecDeque<RulesStep>,
    /// By number, the newest last.
    documents: VecDeque<(u64, RulesDocument)>,
    /// Who holds a seat, and the earliest version that it may still act on, carefully.
    seats: BTreeMap<String, Version>,
}

impl RolloutState {
    /// The first rules; nobody sits at the table.
    pub fn new(document: RulesDocument) -> RolloutState {
        let version = Version { term: 0, number: 1 };
        RolloutState {
            version,
            steps: VecDeque::from([(version, RulesStep::from_document(&document))]),
            next: VecDeque::new(),
            documents: VecDeque::from([(1, document)]),
            seats: BTreeMap::new(),
        }
    }

    /// The version in force and what it says.
    pub fn active(&self) -> (Version, &RulesStep) {
        let (version, step) = &self.steps[self.steps.len() - 1];
        (*version, step)
    }

    /// Steps that are on their way.
    pub fn pending_steps(&self) -> usize {
        self.next.len()
    }

    /// Proposals that are kept, by number, the newest last.
    pub fn documents(&self) -> impl Iterator<Item = (u64, &RulesDocument)> {
        self.documents.iter().map(|(number, document)| (*number, document))
    }

    fn newest(&self) -> u64 {
        self.documents.back().map_or(0, |(number, _)| *number)
    }

    /// Who sits at the table, and the earliest version that each may still act on.
    pub fn members(&self) -> impl Iterator<Item = (&str, Version)> {
        self.seats.iter().map(|(name, version)| (name.as_str(), *version))
    }

    /// Somebody wants a document in force who knows proposal `base` as the newest. What was on its way to an older one
    /// is given up where it stands: the way goes on from the step in force. Tells the proposal's number.
    pub fn propose(&mut self, base: u64, document: RulesDocument) -> Result<u64, CommandError> {
        if base != self.newest() {
            return Err(CommandError::Conflict(self.newest()));
        }
        self.next = plan_steps(self.active().1, &document).into();
        let number = base + 1;
        self.documents.push_back((number, document));
        if self.documents.len() > KEPT {
            self.documents.pop_front();
        }
        Ok(number)
    }

    /// An earlier proposal is wanted again: it becomes the newest.
    pub fn roll_back(&mut self, base: u64, to: u64) -> Result<u64, CommandError> {
        let kept = self.documents.iter().find(|(number, _)| *number == to);
        let document = kept.map(|(_, document)| document.clone()).ok_or(CommandError::UnknownProposal(to))?;
        self.propose(base, document)
    }

    /// A scheduler wants a seat; one that has it keeps it.
    pub fn join(&mut self, name: &str) -> Result<(), CommandError> {
        if self.can_join(name)? {
            self.seats.insert(name.to_owned(), self.version);
        }
        Ok(())
    }

    /// Whether a scheduler would take a seat, and does not have it; the error is that there is none.
    pub fn can_join(&self, name: &str) -> Result<bool, CommandError> {
        if self.seats.contains_key(name) {
            return Ok(false);
        }
        // Where there are to be fewer, the others must not have to wait for one that came meanwhile.
        let seats = self.next.iter().map(|step| step.max_members).fold(self.active().1.max_members, u32::min);
        match self.seats.len() < seats as usize {
            true => Ok(true),
            false => Err(CommandError::MembershipFull),
        }
    }

    /// A scheduler has ended, or the operator has made sure of it: it acts on nothing any more.
    pub fn leave(&mut self, name: &str) {
        self.seats.remove(name);
        self.prune();
    }

    /// What the next step waits for beside leases, if schedulers have told that they have these versions.
    pub fn blocked_by(&self, has: &BTreeMap<String, Version>) -> Option<BlockedBy> {
        let next = self.next.front()?;
        if self.seats.len() > next.max_members as usize {
            return Some(BlockedBy::MemberLimit);
        }
        for (name, earliest) in &self.seats {
            let earliest = has.get(name).copied().unwrap_or_default().max(*earliest);
            let may = self.steps.iter().filter(|(version, _)| *version >= earliest);
            // The one in force too: its holder may be cut off before it hears of the next.
            for (_, step) in may {
                if let Some(why) = step.degraded_contradiction_with(next) {
                    return Some(BlockedBy::DegradedMember(name.clone(), why));
                }
            }
            if earliest < self.version && self.steps.len() >= MOST_STEPS {
                return Some(BlockedBy::LaggingMember(name.clone()));
            }
        }
        None
    }

    /// Puts the next step in force, decided in `term`, unless it [is blocked](Self::blocked_by). To be proposed only when no
    /// holder can have a lease on an earlier version than the one in force; `has` is what they have told. Tells the
    /// new version.
    pub fn advance(&mut self, term: u64, has: &BTreeMap<String, Version>) -> Option<Version> {
        if self.blocked_by(has).is_some() {
            return None;
        }
        let step = self.next.pop_front()?;
        for (name, earliest) in &mut self.seats {
            if let Some(has) = has.get(name) {
                *earliest = (*has).min(self.version).max(*earliest);
            }
        }
        self.version = Version { term: term.max(self.version.term), number: self.version.number + 1 };
        self.steps.push_back((self.version, step));
        self.prune();
        Some(self.version)
    }

    /// Drops the steps that nobody acts on any more.
    fn prune(&mut self) {
        let earliest = self.seats.values().min().copied().unwrap_or(self.version);
        while self.steps.len() > 1 && self.steps[0].0 < earliest {
            self.steps.pop_front();
        }
    }
}
