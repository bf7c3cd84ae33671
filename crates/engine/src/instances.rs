//! Names of instances to the numbers that the module uses, and back.

use std::collections::HashMap;

use nickelflow_dispatcher::{Nanos, WorkerEntry, WorkerId, WorkerStatus};

/// One line of a list of instances, as the host has it.
#[derive(Clone, Debug)]
pub struct Endpoint<A> {
    /// Its lasting name, the same at every scheduler. Instances are ranked for a key by a hash of it, never
    /// by their address, which may differ from scheduler to scheduler.
    pub name: String,
    pub address: A,
    pub zone: u32,
    pub kind: u32,
    /// The group of instances that drop each other's repeats.
    pub cell: u32,
    pub status: WorkerStatus,
    /// Its registered size against others', above 0; 1 where none is told.
    pub weight: f64,
    /// When its process last started, on the engine's clock; `None` is long ago.
    pub started: Option<Nanos>,
}

/// What the engine knows of an instance.
#[derive(Debug)]
pub struct KnownWorker<A> {
    pub name: String,
    /// As last listed.
    pub address: A,
    pub(crate) entry: WorkerEntry,
    /// On the list and not told to leave.
    pub(crate) ready: bool,
}

pub(crate) struct Instances<A> {
    known: Vec<KnownWorker<A>>,
    numbers: HashMap<String, u32>,
}

impl<A> Instances<A> {
    pub(crate) fn new() -> Self {
        Instances { known: Vec::new(), numbers: HashMap::new() }
    }

    pub(crate) fn get(&self, number: u32) -> Option<&KnownWorker<A>> {
        self.known.get(number as usize)
    }

    pub(crate) fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn entry(&mut self, instance: Endpoint<A>) -> WorkerEntry {
        let Endpoint { name, address, zone, kind, cell, status: membership, weight, started } = instance;
        let address_hash = crate::hash(name.as_bytes());
        let number = self.numbers.get(&name).copied().unwrap_or(self.known.len() as u32);
        let worker = WorkerId(number);
        let entry =
            WorkerEntry { worker, address_hash, zone, kind, cell, status: membership, weight, started };
        let ready = membership == WorkerStatus::Ready;
        match self.known.get_mut(number as usize) {
            Some(known) => (known.address, known.entry, known.ready) = (address, entry.clone(), ready),
            None => {
                self.numbers.insert(name.clone(), number);
                self.known.push(KnownWorker { name, address, entry: entry.clone(), ready });
            }
        }
        entry
    }

    /// Takes all for gone, until they are listed again.
    pub(crate) fn none_ready(&mut self) {
        self.known.iter_mut().for_each(|known| known.ready = false);
    }
}
