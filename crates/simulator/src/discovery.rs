//! Discovery: one service that knows the machines' processes some seconds late, answers calls in turn, and
//! tells those who watch it of changes. Stands for a registry of fixed capacity with health checks behind it.

use std::collections::VecDeque;

use crate::record::Standing;
use crate::time::Nanos;

/// What the list says of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listing {
    pub machine: u32,
    pub address: u32,
    pub standing: Standing,
    pub started: Option<Nanos>,
}

/// What a call leads to.
pub enum Call {
    Failed,
    /// Answered at this time.
    Answered(Nanos),
}

pub struct Discovery {
    call: Nanos,
    lines: Nanos,
    longest: Nanos,
    busy: Nanos,
    pub down: bool,
    /// Nothing new is listed.
    pub stale: bool,
    /// By machine.
    listed: Vec<Option<Listing>>,
    /// Machines that changed, by version from `first` on.
    log: VecDeque<u32>,
    first: u64,
    /// Changes on their way, and how many of them should have been listed while nothing was.
    coming: VecDeque<Listing>,
    overdue: usize,
}

/// Changes that are kept for those who ask since a version; who is further behind gets the whole list.
const KEPT: usize = 20_000;

impl Discovery {
    /// `call` is the work of a call, `lines` that of 1,000 lines of an answer, `longest` the longest wait (ns).
    pub fn new(call: Nanos, lines: Nanos, longest: Nanos) -> Discovery {
        Discovery {
            call,
            lines,
            longest,
            busy: 0,
            down: false,
            stale: false,
            listed: Vec::new(),
            log: VecDeque::new(),
            first: 0,
            coming: VecDeque::new(),
            overdue: 0,
        }
    }

    pub fn version(&self) -> u64 {
        self.first + self.log.len() as u64
    }

    /// The whole list.
    pub fn list(&self) -> impl Iterator<Item = Listing> + '_ {
        self.listed.iter().flatten().filter(|l| l.standing != Standing::Gone).copied()
    }

    /// Machines that were listed and have gone.
    pub fn gone(&self) -> Vec<u32> {
        let gone = self.listed.iter().flatten().filter(|l| l.standing == Standing::Gone);
        gone.map(|l| l.machine).collect()
    }

    /// Begins with what it lists from the start.
    pub fn begin(&mut self, listing: Listing) {
        self.put(listing);
    }

    fn put(&mut self, listing: Listing) {
        let index = listing.machine as usize;
        if self.listed.len() <= index {
            self.listed.resize(index + 1, None);
        }
        self.listed[index] = Some(listing);
    }

    /// A change has happened; [`publish`](Self::publish) once for each, in order, after the lag.
    pub fn changed(&mut self, listing: Listing) {
        self.coming.push_back(listing);
    }

    /// Lists the oldest change on its way; tells whether watchers are to hear of it.
    pub fn publish(&mut self) -> bool {
        if self.stale {
            self.overdue += 1;
            return false;
        }
        let Some(listing) = self.coming.pop_front() else { return false };
        self.put(listing);
        self.log.push_back(listing.machine);
        if self.log.len() > KEPT {
            self.log.pop_front();
            self.first += 1;
        }
        !self.down
    }

    /// Lists again what changes; tells whether watchers are to hear of something.
    pub fn thaw(&mut self) -> bool {
        self.stale = false;
        let overdue = std::mem::take(&mut self.overdue);
        (0..overdue).fold(false, |news, _| self.publish() || news)
    }

    /// Those that changed since a version, each once; `None` where that is too long ago.
    pub fn since(&self, version: u64) -> Option<Vec<Listing>> {
        let skip = version.checked_sub(self.first)? as usize;
        let mut machines: Vec<u32> = self.log.iter().skip(skip).copied().collect();
        machines.sort_unstable();
        machines.dedup();
        Some(machines.iter().filter_map(|m| self.listed[*m as usize]).collect())
    }

    /// A call comes in for so many lines.
    pub fn call(&mut self, now: Nanos, lines: usize) -> Call {
        let begins = self.busy.max(now);
        if self.down || begins - now > self.longest {
            return Call::Failed;
        }
        self.busy = begins + self.call + self.lines * lines as Nanos / 1_000;
        Call::Answered(self.busy)
    }
}
