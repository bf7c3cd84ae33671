//! The workers that have ever been listed, indexed by name and by the number that the dispatcher uses.

use std::collections::HashMap;

use nickelflow_dispatcher::{WorkerEntry, WorkerId, WorkerStatus};

use crate::input::Endpoint;

/// A worker that has been on an endpoint list.
#[derive(Debug)]
pub struct KnownWorker<A> {
    /// The worker's permanent name.
    pub name: String,
    /// The address by which the host reaches the worker, as last listed.
    pub address: A,
    /// The worker's entry as last passed to the dispatcher.
    pub(crate) entry: WorkerEntry,
    /// The worker is on the current endpoint list and not draining.
    pub(crate) is_ready: bool,
}

/// All workers that have ever been listed. A worker keeps its number for the lifetime of the engine.
pub(crate) struct WorkerRegistry<A> {
    workers: Vec<KnownWorker<A>>,
    numbers: HashMap<String, u32>,
}

impl<A> WorkerRegistry<A> {
    /// Creates an empty registry.
    pub(crate) fn new() -> Self {
        WorkerRegistry { workers: Vec::new(), numbers: HashMap::new() }
    }

    /// Returns the number of workers.
    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns the worker with this number.
    pub(crate) fn get(&self, number: u32) -> Option<&KnownWorker<A>> {
        self.workers.get(number as usize)
    }

    /// Returns the number of the worker with this name.
    pub(crate) fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Records an entry of an endpoint list and returns it in the dispatcher's form. A new name gets the next
    /// number.
    pub(crate) fn update(&mut self, endpoint: Endpoint<A>) -> WorkerEntry {
        let Endpoint { name, address, zone, kind, cell, status, registered_size, started_at } = endpoint;
        let number = self.number(&name).unwrap_or(self.workers.len() as u32);
        let entry = WorkerEntry {
            worker: WorkerId(number),
            address_hash: crate::fnv1a_hash(name.as_bytes()),
            zone,
            kind,
            cell,
            status,
            registered_size,
            started_at,
        };
        let is_ready = status == WorkerStatus::Ready;
        match self.workers.get_mut(number as usize) {
            Some(known) => {
                known.address = address;
                known.entry = entry.clone();
                known.is_ready = is_ready;
            }
            None => {
                self.numbers.insert(name.clone(), number);
                self.workers.push(KnownWorker { name, address, entry: entry.clone(), is_ready });
            }
        }
        entry
    }

    /// Marks all workers as not ready until they are listed again.
    pub(crate) fn mark_all_unlisted(&mut self) {
        for known in &mut self.workers {
            known.is_ready = false;
        }
    }
}
