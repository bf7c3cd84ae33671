//! The record: what workers, discovery and clients saw, and what was done to processes and links, in the order of
//! one monotonic clock. As JSON, one object a line; times in nanoseconds since the drill's begin.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nickelflow_simulator::time::Nanos;
use serde::{Deserialize, Serialize};

/// Locks what no holder leaves half done: a panic of one is no reason for the others to stop.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One who speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Party {
    Clients,
    Scheduler(u32),
    Worker(u32),
    Discovery,
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// What has become of a scheduler's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Life {
    /// It answers that it serves.
    Ready,
    Killed,
    Stopped,
    Continued,
    /// SIGTERM went to it.
    ToldToEnd,
    /// It ended by itself, with this status if it was not a signal.
    Ended(Option<i32>),
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record {
    /// A client has written the last byte of a request.
    Asked {
        id: String,
        scheduler: u32,
        class: u32,
        tenant: Option<String>,
        deadline: Nanos,
    },
    /// The last byte of an answer has come.
    Answered {
        id: String,
        status: u16,
        result: Option<String>,
    },
    /// The connection ended without an answer; `crossed` if it was a kept one that ended before a byte came, which
    /// a scheduler may do between requests.
    Broken {
        id: String,
        crossed: bool,
    },
    /// The client's time is over, and it has closed the connection.
    Left {
        id: String,
    },
    /// A client that misbehaves has had an answer, and waits for nothing more: what it was is not judged.
    Forgotten {
        id: String,
    },
    /// A client that does not get on with its request stayed for so long, from `since` on, until it was answered or closed.
    Stayed {
        scheduler: u32,
        since: Nanos,
        waited: Nanos,
        answered: bool,
    },
    /// What a scheduler's process uses: resident memory at its most (KiB), and descriptors.
    Uses {
        scheduler: u32,
        peak_kib: u64,
        descriptors: u32,
    },
    /// A scheduler has itself logged that a rule was broken.
    Violation {
        scheduler: u32,
        line: String,
    },
    /// A scheduler has sent something that nobody asked for.
    Unasked {
        scheduler: u32,
    },
    /// The last byte of an attempt has come in at a worker. `run` is the drill's own number of the attempt, `work`
    /// in nanoseconds of a standard core, `version` what the attempt says that it was decided under.
    Reached {
        id: String,
        run: u64,
        scheduler: u32,
        worker: u32,
        taken: bool,
        work: f64,
        version: Option<String>,
        /// The time left that the attempt told.
        #[serde(default)]
        timeout: Option<Nanos>,
    },
    Started {
        run: u64,
    },
    /// It has run to its end and made this result.
    Finished {
        run: u64,
        result: String,
    },
    /// The worker has told that it never started.
    HandedBack {
        run: u64,
    },
    /// Given up by its scheduler, or lost with its worker.
    Dropped {
        run: u64,
    },
    /// A worker's process has started, cold.
    Up {
        worker: u32,
    },
    /// A cold worker was sent more than it bears, and stays down.
    Fell {
        worker: u32,
    },
    /// Discovery has written this to a scheduler.
    Told {
        scheduler: u32,
        worker: u32,
        standing: Standing,
    },
    Process {
        scheduler: u32,
        life: Life,
    },
    /// What is wrong between two from now on; `None` when all is well again.
    Link {
        from: Party,
        to: Party,
        fault: Option<String>,
    },
    /// The operator begins to propose something.
    Proposing,
    /// The operator has proposed this document, under this number.
    Proposed {
        number: u64,
        document: String,
    },
    /// The operator has been told that this proposal is in force, with this version.
    InForce {
        number: u64,
        version: String,
    },
    /// A fault of the timeline begins or ends; its number there, and its name.
    Fault {
        number: u32,
        name: String,
        begins: bool,
    },
}

/// A record with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: Nanos,
    #[serde(flatten)]
    pub what: Record,
}

/// The drill's clock and its record; everybody who sees something holds a clone.
#[derive(Clone)]
pub struct Scribe {
    origin: Instant,
    unix: Duration,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for Scribe {
    fn default() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Scribe { origin: Instant::now(), unix, entries: Arc::default() }
    }
}

impl Scribe {
    /// Time since the drill's begin.
    pub fn now(&self) -> Nanos {
        self.origin.elapsed().as_nanos() as Nanos
    }

    /// The moment of a time, for timers.
    pub fn moment(&self, at: Nanos) -> tokio::time::Instant {
        (self.origin + Duration::from_nanos(at)).into()
    }

    /// A time as Unix time in milliseconds, as discovery tells it.
    pub fn unix_ms(&self, at: Nanos) -> u64 {
        (self.unix + Duration::from_nanos(at)).as_millis() as u64
    }

    /// Notes what has just happened. The time is taken under the lock, so that entries stand in its order.
    pub fn note(&self, what: Record) {
        let mut entries = lock(&self.entries);
        let at = self.now();
        entries.push(Entry { at, what });
    }

    /// All that has been noted so far.
    pub fn entries(&self) -> Vec<Entry> {
        lock(&self.entries).clone()
    }
}
