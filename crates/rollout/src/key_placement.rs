//! Key placement: the inputs that determine the rack of a keyed job.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The inputs of key placement. Schedulers with different inputs place some keys in different racks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementInputs {
    /// The version of the worker list.
    pub list_version: u64,
    /// The workers that get no keys because they are not open to all tenants.
    pub excluded_workers: BTreeSet<String>,
}

/// How a scheduler places the keys of keyed jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyPlacement {
    /// Places keys by one set of inputs.
    Single(PlacementInputs),
    /// Places only the keys that the old and the new set of inputs place in the same rack. Jobs with other
    /// keys wait for the next step.
    Transition(PlacementInputs, PlacementInputs),
}

impl KeyPlacement {
    /// Returns all sets of inputs, the latest last.
    pub(crate) fn inputs(&self) -> impl Iterator<Item = &PlacementInputs> {
        let (first, second) = match self {
            KeyPlacement::Single(inputs) => (inputs, None),
            KeyPlacement::Transition(old, new) => (old, Some(new)),
        };
        std::iter::once(first).chain(second)
    }

    /// Returns the set of inputs that remains after a transition.
    pub(crate) fn latest_inputs(&self) -> &PlacementInputs {
        match self {
            KeyPlacement::Single(inputs) | KeyPlacement::Transition(_, inputs) => inputs,
        }
    }

    /// Returns whether two schedulers with these placements never send the same key to two racks.
    ///
    /// That holds if the placements share a set of inputs: each scheduler sends a key to the rack that the
    /// shared inputs determine, or does not send it. Two single placements must therefore be equal.
    pub(crate) fn is_compatible_with(&self, other: &KeyPlacement) -> bool {
        self.inputs().any(|inputs| other.inputs().any(|other_inputs| inputs == other_inputs))
    }
}
