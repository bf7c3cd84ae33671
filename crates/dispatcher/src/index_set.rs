//! A set of small indexes that supports random picks.

/// A set of small indexes with access by position. Insertion, removal and access take constant time.
#[derive(Default)]
pub struct IndexSet {
    members: Vec<usize>,
    /// Position of each index among the members.
    positions: Vec<Option<usize>>,
}

impl IndexSet {
    /// Adds an index. An index that is already a member keeps its position.
    pub fn insert(&mut self, index: usize) {
        if self.positions.len() <= index {
            self.positions.resize(index + 1, None);
        }
        if self.positions[index].is_none() {
            self.positions[index] = Some(self.members.len());
            self.members.push(index);
        }
    }

    /// Removes an index. The last member takes over its position.
    pub fn remove(&mut self, index: usize) {
        let Some(position) = self.positions.get_mut(index).and_then(Option::take) else { return };
        self.members.swap_remove(position);
        if let Some(moved) = self.members.get(position) {
            self.positions[*moved] = Some(position);
        }
    }

    /// Returns the members, in an order that depends only on the sequence of changes.
    pub fn members(&self) -> &[usize] {
        &self.members
    }

    /// Returns whether an index is a member.
    pub fn contains(&self, index: usize) -> bool {
        self.positions.get(index).is_some_and(Option::is_some)
    }
}
