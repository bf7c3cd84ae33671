//! The ids of requests: which are open, and which may have run and must not run again.

use std::collections::hash_map::RandomState;
use std::collections::{BTreeSet, HashSet};
use std::hash::BuildHasher;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use hyper::header::HeaderValue;
use thiserror::Error;

/// How many ids of ended requests are remembered at most, so that they occupy about 1 MiB. Beyond it, those whose clients
/// give up first are forgotten.
const MAX_ENDED_IDS: usize = 8_192;

/// Why a request with an id is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestIdError {
    /// A request with the id is open. A worker could not distinguish the two.
    #[error("request-id: open already")]
    Open,
    /// A request with the id may have run, and its client has left without an answer.
    #[error("request-id: may have run already")]
    MayHaveRun,
}

/// An id, hashed, of a request that has ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EndedId {
    forgotten_at: Instant,
    hash: u64,
}

#[derive(Default)]
struct IdTable {
    open: HashSet<HeaderValue>,
    ended: HashSet<u64>,
    /// The same ids, in the order in which they are forgotten.
    ended_in_order: BTreeSet<EndedId>,
}

impl IdTable {
    fn remember(&mut self, hash: u64, forgotten_at: Instant) {
        if self.ended.insert(hash) {
            self.ended_in_order.insert(EndedId { forgotten_at, hash });
        }
        if self.ended.len() > MAX_ENDED_IDS {
            self.forget_first();
        }
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.ended_in_order.first().is_some_and(|first| first.forgotten_at <= now) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some(first) = self.ended_in_order.pop_first() {
            self.ended.remove(&first.hash);
        }
    }
}

/// The ids of the requests of one scheduler. Clones share the ids.
#[derive(Clone, Default)]
pub struct RequestIds {
    table: Arc<Mutex<IdTable>>,
    hasher: RandomState,
}

impl RequestIds {
    fn table(&self) -> MutexGuard<'_, IdTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an id until the returned value is dropped. `deadline` is when the client gives up.
    ///
    /// # Errors
    ///
    /// Returns an error if the id is open, or belongs to a request that may have run and must not run again.
    pub fn open(&self, id: &HeaderValue, deadline: Instant) -> Result<OpenRequestId, RequestIdError> {
        let hash = self.hasher.hash_one(id.as_bytes());
        let mut table = self.table();
        table.forget_expired(Instant::now());
        if table.ended.contains(&hash) {
            return Err(RequestIdError::MayHaveRun);
        }
        if !table.open.insert(id.clone()) {
            return Err(RequestIdError::Open);
        }
        drop(table);
        Ok(OpenRequestId {
            ids: self.clone(),
            id: id.clone(),
            hash,
            deadline,
            may_have_run: AtomicBool::new(false),
            is_answered: AtomicBool::new(false),
        })
    }

    /// Returns how many ids of ended requests are remembered.
    pub fn ended_count(&self) -> usize {
        self.table().ended.len()
    }
}

/// An id that is open. It lives as long as the request or an attempt of it. Dropping it closes the id.
pub struct OpenRequestId {
    ids: RequestIds,
    id: HeaderValue,
    hash: u64,
    deadline: Instant,
    may_have_run: AtomicBool,
    is_answered: AtomicBool,
}

impl OpenRequestId {
    /// Records that the request may have run and must not run again: if it ends without an answer because its client
    /// has left, its id is not taken again before that client would have given up.
    pub fn record_possible_run(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }

    /// Records that the request has its final answer, after which its id is free.
    pub fn record_answer(&self) {
        self.is_answered.store(true, Ordering::Relaxed);
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        let mut table = self.ids.table();
        table.open.remove(&self.id);
        if self.may_have_run.load(Ordering::Relaxed) && !self.is_answered.load(Ordering::Relaxed) {
            table.remember(self.hash, self.deadline);
        }
    }
}
