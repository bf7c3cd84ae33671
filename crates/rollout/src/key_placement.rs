//! The inputs that decide to which rack a keyed job goes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The inputs of key placement. Schedulers with different inputs place some keys in different racks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementInputs {
    /// The version of the worker list.
    pub list_version: u64,
    /// The workers that take no part in the placement because they are not open to all tenants.
    pub excluded_workers: BTreeSet<String>,
}

/// How a scheduler places the keys of keyed jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyPlacement {
    /// By one set of inputs.
    Single(PlacementInputs),
    /// By the old and the new set, only where both place a key in the same rack. Other keyed jobs wait for the next step.
    Transition(PlacementInputs, PlacementInputs),
}

impl KeyPlacement {
    /// All sets of inputs, the latest last.
    pub(crate) fn inputs(&self) -> impl Iterator<Item = &PlacementInputs> {
        let (first, second) = match self {
            KeyPlacement::Single(inputs) => (inputs, None),
            KeyPlacement::Transition(old, new) => (old, Some(new)),
        };
        std::iter::once(first).chain(second)
    }

    /// The set of inputs that the placement leads to.
    pub(crate) fn latest_inputs(&self) -> &PlacementInputs {
        match self {
            KeyPlacement::Single(inputs) | KeyPlacement::Transition(_, inputs) => inputs,
        }
    }

    /// Whether two schedulers with these placements never send one key to two racks: they share a set of inputs, by which
    /// each either sends a key to the same rack or does not send it. Two single placements must be equal.
    pub(crate) fn is_compatible_with(&self, other: &KeyPlacement) -> bool {
        self.inputs().any(|inputs| other.inputs().any(|other_inputs| inputs == other_inputs))
    }
}
