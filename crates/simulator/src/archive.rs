//! The archive that workers fetch their data from: it serves so many fetches at once, the others wait in turn.
//! Stands for a shared store whose bandwidth is given out by connection.

use std::collections::VecDeque;

use fnv::FnvHashSet;

use crate::time::Nanos;
use crate::worker::AttemptId;

pub struct Archive {
    fetch: Nanos,
    streams: usize,
    busy: usize,
    waiting: VecDeque<(u32, AttemptId)>,
    /// Those in the queue that are still needed. Others are passed over when their turn comes, for a search
    /// through a long queue with each cancel would cost more than all the rest of a run.
    needed: FnvHashSet<AttemptId>,
}

impl Archive {
    /// One fetch takes `fetch` ns.
    pub fn new(fetch: Nanos, streams: usize) -> Archive {
        Archive { fetch, streams, busy: 0, waiting: VecDeque::new(), needed: FnvHashSet::default() }
    }

    /// A worker asks for a job's data. Tells when it comes, if it is served at once.
    pub fn ask(&mut self, now: Nanos, worker: u32, id: AttemptId) -> Option<Nanos> {
        if self.busy < self.streams {
            self.busy += 1;
            return Some(now + self.fetch);
        }
        self.waiting.push_back((worker, id));
        self.needed.insert(id);
        None
    }

    /// A fetch has ended. Tells the next that is served, and when it ends.
    pub fn served(&mut self, now: Nanos) -> Option<(Nanos, u32, AttemptId)> {
        self.busy = self.busy.saturating_sub(1);
        loop {
            let (worker, id) = self.waiting.pop_front()?;
            if self.needed.remove(&id) {
                self.busy += 1;
                return Some((now + self.fetch, worker, id));
            }
        }
    }

    /// An attempt no longer needs its data; a fetch that is on goes on.
    pub fn forget(&mut self, id: AttemptId) {
        self.needed.remove(&id);
    }
}
