//! The slots for client connections, and the decision which connection is shed when slots run short.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use nickelflow_input_memory::{Eviction, MemoryBudget, MemoryOwner};
use tokio::sync::Notify;

use crate::client_connection::{ClientConnection, ShedOrder};
use crate::counters::SharedCounters;
use crate::memory_plan::CLIENT_CONNECTION_BYTES;
use crate::DescriptorBudget;

/// At most 1/`IDLE_SLOTS_DIVISOR` of the slots may hold idle connections. Some clients open a connection for
/// each request and leave the connection idle. The number of connections of a client is limited, so if more
/// slots held idle connections, such a client could reach the limit and open no new connection.
const IDLE_SLOTS_DIVISOR: usize = 4;

/// The slots for client connections.
pub struct ConnectionSlots {
    /// The largest number of open connections, not counting shed connections that are closing.
    max: usize,
    /// The largest number of connections beyond `max` that may be open while shed connections are closing.
    max_closing: usize,
    counters: SharedCounters,
    input_memory: Arc<MemoryBudget>,
    occupied: Mutex<OccupiedSlots>,
    freed: Notify,
}

#[derive(Default)]
struct OccupiedSlots {
    next_number: u64,
    connections: HashMap<u64, Arc<ClientConnection>>,
}

/// What decides which connection is shed, gathered in one pass: a flood of new clients has it taken thousands of
/// times a second.
#[derive(Default)]
struct ConnectionCensus<'a> {
    /// The number of connections that are not shed.
    not_shed_count: usize,
    /// The number of idle connections that have submitted a job.
    idle_count: usize,
    longest_idle: Option<&'a ClientConnection>,
    first_to_shed: Option<&'a ClientConnection>,
}

impl<'a> ConnectionCensus<'a> {
    fn take(connections: impl Iterator<Item = &'a Arc<ClientConnection>>, now: Instant) -> Self {
        let mut census = ConnectionCensus::default();
        let (mut idle_order, mut first_order) = (ShedOrder::Busy, ShedOrder::Busy);
        for client_connection in connections.map(Arc::as_ref) {
            let order = client_connection.shed_order(now);
            census.not_shed_count += usize::from(order != ShedOrder::AlreadyShed);
            if let ShedOrder::Idle { .. } = order {
                census.idle_count += 1;
                if order < idle_order {
                    (idle_order, census.longest_idle) = (order, Some(client_connection));
                }
            }
            if order < first_order {
                (first_order, census.first_to_shed) = (order, Some(client_connection));
            }
        }
        census
    }
}

/// A slot that is in use. Dropping a `ConnectionSlot` frees the slot.
pub struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    number: u64,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.occupied().connections.remove(&self.number);
        self.slots.freed.notify_one();
    }
}

impl ConnectionSlots {
    fn occupied(&self) -> MutexGuard<'_, OccupiedSlots> {
        self.occupied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the slots that the budget has descriptors for.
    pub fn new(
        descriptors: &DescriptorBudget,
        counters: SharedCounters,
        input_memory: Arc<MemoryBudget>,
    ) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            max: descriptors.clients,
            max_closing: descriptors.closing_clients,
            counters,
            input_memory,
            occupied: Mutex::default(),
            freed: Notify::new(),
        })
    }

    /// Returns whether no slot is free, not even for a connection whose slot another one gives up.
    pub fn is_full(&self) -> bool {
        self.occupied().connections.len() >= self.max + self.max_closing
    }

    /// Acquires a slot for a new connection, and may shed existing connections to make room. Returns `None`
    /// if all slots are in use, or if room is needed and no existing connection can be shed.
    pub fn acquire(self: &Arc<Self>, client_connection: &Arc<ClientConnection>) -> Option<ConnectionSlot> {
        let mut occupied = self.occupied();
        if occupied.connections.len() >= self.max + self.max_closing {
            // The new connection gets no slot here, so no existing connection is shed.
            return None;
        }
        let census = ConnectionCensus::take(occupied.connections.values(), Instant::now());
        if census.idle_count > self.max / IDLE_SLOTS_DIVISOR {
            self.shed(census.longest_idle?);
        } else if census.not_shed_count >= self.max {
            self.shed(census.first_to_shed?);
        }
        let memory = self.input_memory.open_account(MemoryOwner::ClientConnection, Eviction::IfStalled);
        // The slots bound the connections; a newcomer is not rejected because jobs fill the memory.
        memory.force_resize(CLIENT_CONNECTION_BYTES);
        client_connection.set_memory(memory);
        let number = occupied.next_number;
        occupied.next_number += 1;
        occupied.connections.insert(number, client_connection.clone());
        Some(ConnectionSlot { slots: self.clone(), number })
    }

    fn shed(&self, client_connection: &ClientConnection) {
        client_connection.shed();
        self.counters.shed.add();
    }

    /// Completes when no slot is in use.
    pub async fn wait_until_empty(&self) {
        while !self.occupied().connections.is_empty() {
            self.freed.notified().await;
        }
    }
}
