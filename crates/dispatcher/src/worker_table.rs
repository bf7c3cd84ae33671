//! The table of all workers that have been listed, with indexes that avoid iterating over all of them.

use std::collections::BTreeSet;

use crate::hash_ring::{mix, HashRing};
use crate::index_set::IndexSet;
use crate::settings::Settings;
use crate::worker::Worker;
use crate::worker_entry::{WorkerEntry, WorkerStatus};

/// What a new list entry changes about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryChange {
    /// Neither the worker's process nor its readiness changed.
    Unchanged,
    /// The worker is no longer ready.
    NoLongerReady,
    /// The worker is new, has restarted or is ready again; earlier measurements do not apply any more.
    Started,
}

/// The workers by index, which is the number of their [`WorkerId`](crate::WorkerId).
pub(crate) struct WorkerTable {
    own_zone: u32,
    reports_registered_size: bool,
    workers: Vec<Option<Worker>>,
    /// Workers of this dispatcher's zone that may be open for some job.
    open_in_zone: IndexSet,
    /// Workers of other zones that may be open for some job.
    open_elsewhere: IndexSet,
    /// Ready workers by the hash of their addresses.
    ready_ring: HashRing,
    /// Ready workers that count as failing.
    failing: IndexSet,
    mean_registered_size: f64,
    list_is_stale: bool,
}

impl WorkerTable {
    /// Creates an empty table.
    pub(crate) fn new(settings: &Settings) -> Self {
        WorkerTable {
            own_zone: settings.zone,
            reports_registered_size: settings.reports_registered_size,
            workers: Vec::new(),
            open_in_zone: IndexSet::default(),
            open_elsewhere: IndexSet::default(),
            ready_ring: HashRing::default(),
            failing: IndexSet::default(),
            mean_registered_size: 1.0,
            list_is_stale: false,
        }
    }

    /// Returns a worker if it was ever listed.
    pub(crate) fn get(&self, index: usize) -> Option<&Worker> {
        self.workers.get(index).and_then(Option::as_ref)
    }

    /// Returns a worker for modification. If the modification may open, close or eject the worker, the caller
    /// must call [`WorkerTable::update_indexes`] afterwards.
    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut Worker> {
        self.workers.get_mut(index).and_then(Option::as_mut)
    }

    /// Returns one more than the largest index.
    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns the number of ready workers.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready_ring.len()
    }

    /// Returns the ring of the ready workers, by the hash of their addresses.
    pub(crate) fn ready_ring(&self) -> &HashRing {
        &self.ready_ring
    }

    /// Returns the workers that may be open for some job: first those of this dispatcher's zone, and then the
    /// others.
    pub(crate) fn open_sets(&self) -> [&IndexSet; 2] {
        [&self.open_in_zone, &self.open_elsewhere]
    }

    /// Returns whether more than half of the ready workers are failing, which indicates a shared cause.
    pub(crate) fn most_are_failing(&self) -> bool {
        2 * self.failing.members().len() > self.ready_ring.len()
    }

    /// Returns whether the list may lack changes that this dispatcher must already act on.
    pub(crate) fn list_is_stale(&self) -> bool {
        self.list_is_stale
    }

    /// Sets whether the list may be stale, and returns whether that changed.
    pub(crate) fn set_list_is_stale(&mut self, is_stale: bool) -> bool {
        std::mem::replace(&mut self.list_is_stale, is_stale) != is_stale
    }

    /// Marks all workers that are not on a complete list as gone, which means not ready.
    pub(crate) fn mark_unlisted_gone(&mut self, entries: &[WorkerEntry]) {
        let listed: BTreeSet<usize> = entries.iter().map(|entry| entry.worker.0 as usize).collect();
        for index in 0..self.workers.len() {
            if listed.contains(&index) {
                continue;
            }
            if let Some(worker) = &mut self.workers[index] {
                worker.is_ready = false;
            }
            self.update_indexes(index);
        }
    }

    /// Adds the ready workers of a list to the ring of ready workers, and removes the others. The caller does
    /// so before it applies the entries, which requires the number of ready workers.
    pub(crate) fn update_ready_ring(&mut self, entries: &[WorkerEntry]) {
        for entry in entries {
            let is_ready = entry.status == WorkerStatus::Ready;
            self.set_ready(entry.address_hash, entry.worker.0 as usize, is_ready);
        }
    }

    /// Adds a worker to the ring of ready workers, or removes it.
    fn set_ready(&mut self, address_hash: u64, index: usize, is_ready: bool) {
        let position = mix(address_hash);
        if is_ready {
            self.ready_ring.insert(position, index);
        } else {
            self.ready_ring.remove(position, index);
        }
    }

    /// Applies an entry to a known worker. The caller must then call [`WorkerTable::insert`] if the result is
    /// [`EntryChange::Started`], and [`WorkerTable::update_indexes`] otherwise.
    pub(crate) fn update_entry(&mut self, entry: &WorkerEntry) -> EntryChange {
        let index = entry.worker.0 as usize;
        let is_ready = entry.status == WorkerStatus::Ready;
        let Some(worker) = self.workers.get_mut(index).and_then(Option::as_mut) else {
            return EntryChange::Started;
        };
        let has_restarted = entry.started_at.is_some() && entry.started_at > worker.entry.started_at;
        self.ready_ring.remove(mix(worker.entry.address_hash), index);
        worker.entry = entry.clone();
        if !has_restarted && worker.is_ready == is_ready {
            return EntryChange::Unchanged;
        }
        worker.is_ready = is_ready;
        if is_ready {
            EntryChange::Started
        } else {
            EntryChange::NoLongerReady
        }
    }

    /// Adds a worker, or replaces its entire state.
    pub(crate) fn insert(&mut self, worker: Worker) {
        let index = worker.entry.worker.0 as usize;
        if self.workers.len() <= index {
            self.workers.resize_with(index + 1, || None);
        }
        self.workers[index] = Some(worker);
        self.update_indexes(index);
    }

    /// Updates the indexes to the state of a worker.
    pub(crate) fn update_indexes(&mut self, index: usize) {
        let Some(worker) = self.get(index) else { return };
        let may_be_open = worker.may_be_open();
        let is_in_zone = worker.entry.zone == self.own_zone;
        let (address_hash, is_ready) = (worker.entry.address_hash, worker.is_ready);
        let is_failing = is_ready && worker.is_failing();
        set_member(&mut self.open_in_zone, index, may_be_open && is_in_zone);
        set_member(&mut self.open_elsewhere, index, may_be_open && !is_in_zone);
        self.set_ready(address_hash, index, is_ready);
        set_member(&mut self.failing, index, is_failing);
    }

    /// Recomputes the mean registered size of the ready workers.
    pub(crate) fn update_mean_registered_size(&mut self) {
        let ready = self.workers.iter().flatten().filter(|worker| worker.is_ready);
        let (sum, count) = ready.fold((0.0, 0.0), |(sum, count), worker| {
            (sum + self.registered_size(&worker.entry), count + 1.0)
        });
        self.mean_registered_size = if count > 0.0 { sum / count } else { 1.0 };
    }

    /// Returns a worker's registered size, or 1 if the size is not reported or invalid.
    fn registered_size(&self, entry: &WorkerEntry) -> f64 {
        let is_valid = entry.registered_size > 0.0 && entry.registered_size.is_finite();
        if self.reports_registered_size && is_valid {
            entry.registered_size
        } else {
            1.0
        }
    }

    /// Returns a worker's registered size relative to the mean of the ready workers.
    pub(crate) fn relative_size(&self, worker: &Worker) -> f64 {
        self.registered_size(&worker.entry) / self.mean_registered_size
    }
}

fn set_member(set: &mut IndexSet, index: usize, is_member: bool) {
    if is_member {
        set.insert(index);
    } else {
        set.remove(index);
    }
}
