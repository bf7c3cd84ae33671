//! The workers that have been listed, and the indexes that spare a pass over all of them.

use std::collections::BTreeSet;

use crate::hash_ring::{mix, HashRing};
use crate::index_set::IndexSet;
use crate::settings::Settings;
use crate::worker::Worker;
use crate::worker_entry::{WorkerEntry, WorkerStatus};

/// What a new entry of the list changes about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryChange {
    /// Neither its process nor whether it is ready.
    None,
    /// It is no longer ready.
    NoLongerReady,
    /// It is new, has restarted or is ready again: what was known of it is void.
    Started,
}

/// The workers by their index, which is the number of their [`WorkerId`](crate::WorkerId).
pub(crate) struct WorkerTable {
    own_zone: u32,
    reports_registered_size: bool,
    workers: Vec<Option<Worker>>,
    /// Workers of the own zone that may be open for something.
    open_in_zone: IndexSet,
    /// Workers of other zones that may be open for something.
    open_elsewhere: IndexSet,
    /// Workers that are ready, by the hash of their addresses.
    ready: HashRing,
    /// Workers that are ready and failing.
    failing: IndexSet,
    mean_registered_size: f64,
    list_is_stale: bool,
}

impl WorkerTable {
    /// Creates the table of a dispatcher without workers.
    pub(crate) fn new(settings: &Settings) -> Self {
        WorkerTable {
            own_zone: settings.zone,
            reports_registered_size: settings.reports_registered_size,
            workers: Vec::new(),
            open_in_zone: IndexSet::default(),
            open_elsewhere: IndexSet::default(),
            ready: HashRing::default(),
            failing: IndexSet::default(),
            mean_registered_size: 1.0,
            list_is_stale: false,
        }
    }

    /// Returns a worker, if it was ever listed.
    pub(crate) fn get(&self, index: usize) -> Option<&Worker> {
        self.workers.get(index).and_then(Option::as_ref)
    }

    /// Returns a worker to change. [`WorkerTable::update_indexes`] must follow where the change may open,
    /// close or eject it.
    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut Worker> {
        self.workers.get_mut(index).and_then(Option::as_mut)
    }

    /// Returns one more than the largest index.
    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns the number of workers that are ready.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns the workers that are ready, by the hash of their addresses.
    pub(crate) fn ready(&self) -> &HashRing {
        &self.ready
    }

    /// Returns the workers that may be open for something: those of the own zone, and then the others.
    pub(crate) fn open_sets(&self) -> [&IndexSet; 2] {
        [&self.open_in_zone, &self.open_elsewhere]
    }

    /// Returns whether more than half of the ready workers fail, which must have a cause that they share.
    pub(crate) fn most_are_failing(&self) -> bool {
        2 * self.failing.members().len() > self.ready.len()
    }

    /// Returns whether the list may lack changes that this dispatcher must already act on.
    pub(crate) fn list_is_stale(&self) -> bool {
        self.list_is_stale
    }

    /// Sets whether the list may be stale, and returns whether that is a change.
    pub(crate) fn set_list_is_stale(&mut self, is_stale: bool) -> bool {
        std::mem::replace(&mut self.list_is_stale, is_stale) != is_stale
    }

    /// Marks all workers that are not on a complete list as gone.
    pub(crate) fn retain_listed(&mut self, entries: &[WorkerEntry]) {
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

    /// Counts the entries of a list as ready or not before any of them is taken in, so that the number of
    /// ready workers is already known then.
    pub(crate) fn count_ready(&mut self, entries: &[WorkerEntry]) {
        for entry in entries {
            let is_ready = entry.status == WorkerStatus::Ready;
            self.set_ready(entry.address_hash, entry.worker.0 as usize, is_ready);
        }
    }

    /// Adds a worker to the ring of ready ones, or removes it.
    fn set_ready(&mut self, address_hash: u64, index: usize, is_ready: bool) {
        let position = mix(address_hash);
        if is_ready {
            self.ready.insert(position, index);
        } else {
            self.ready.remove(position, index);
        }
    }

    /// Takes in an entry of a worker that is known. What follows is the caller's: [`WorkerTable::insert`] if
    /// the worker has started, else [`WorkerTable::update_indexes`].
    pub(crate) fn update_entry(&mut self, entry: &WorkerEntry) -> EntryChange {
        let index = entry.worker.0 as usize;
        let is_ready = entry.status == WorkerStatus::Ready;
        let Some(worker) = self.workers.get_mut(index).and_then(Option::as_mut) else {
            return EntryChange::Started;
        };
        let has_restarted = entry.started_at.is_some() && entry.started_at > worker.entry.started_at;
        self.ready.remove(mix(worker.entry.address_hash), index);
        worker.entry = entry.clone();
        if !has_restarted && worker.is_ready == is_ready {
            return EntryChange::None;
        }
        worker.is_ready = is_ready;
        if is_ready {
            EntryChange::Started
        } else {
            EntryChange::NoLongerReady
        }
    }

    /// Adds a worker, or replaces all that is known of it.
    pub(crate) fn insert(&mut self, worker: Worker) {
        let index = worker.entry.worker.0 as usize;
        if self.workers.len() <= index {
            self.workers.resize_with(index + 1, || None);
        }
        self.workers[index] = Some(worker);
        self.update_indexes(index);
    }

    /// Brings the indexes up to date with a worker.
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

    /// Computes the mean registered size of the ready workers anew.
    pub(crate) fn update_mean_registered_size(&mut self) {
        let ready = self.workers.iter().flatten().filter(|worker| worker.is_ready);
        let (sum, count) = ready.fold((0.0, 0.0), |(sum, count), worker| {
            (sum + self.registered_size(&worker.entry), count + 1.0)
        });
        self.mean_registered_size = if count > 0.0 { sum / count } else { 1.0 };
    }

    /// Returns a worker's registered size, or 1 if that is not reported or impossible.
    fn registered_size(&self, entry: &WorkerEntry) -> f64 {
        let is_possible = entry.registered_size > 0.0 && entry.registered_size.is_finite();
        if self.reports_registered_size && is_possible {
            entry.registered_size
        } else {
            1.0
        }
    }

    /// Returns a worker's registered size against the mean of the ready workers.
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
