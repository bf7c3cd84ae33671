//! What a dispatcher knows of one worker, one request and one class. Plain figures: what follows from them is
//! in `rules.rs`.

use crate::cold_start::{AskCount, TokenBucket};
use crate::interface::{Class, LoadReport, Nanos, Outcome, Request, RequestId, WorkerEntry};
use crate::load::{Load, Part, Signs};

/// A worker that was ever listed.
pub struct Worker {
    pub entry: WorkerEntry,
    /// On the list and not draining.
    pub ready: bool,
    /// When this entry began, or its worker restarted: what was sent before is void.
    pub since: Nanos,
    /// What it reported, and the same less own sends.
    pub reported: Option<LoadReport>,
    pub load: Load,
    /// Closed by a failure until its next probe.
    pub shut: bool,
    pub failures: f64,
    /// When it last reported, and when a job may have it probed again.
    pub read: Nanos,
    pub next: Nanos,
    /// When a probe last told that it takes work.
    pub takes_work: Option<Nanos>,
    /// When a job had it probed.
    pub asked: Nanos,
    pub signs: Signs,
    /// Number of the timer that leads to its next probe, whether that runs, and whether a probe is out.
    pub timer: u32,
    pub waiting: bool,
    pub probing: bool,
    /// The own part of what it may be sent while it is cold.
    pub bucket: TokenBucket,
    /// How often jobs asked for it while it was cold.
    pub asks: AskCount,
}

/// One sending of a request.
pub struct Attempt {
    pub worker: usize,
    /// As that worker was listed then.
    pub entry: WorkerEntry,
    pub sent: Nanos,
    pub out: bool,
    /// It may have run; false once it is known not to have.
    pub maybe_ran: bool,
    /// When it was first heard of.
    pub heard: Option<Nanos>,
    /// Since when it counts as a job at its worker.
    pub present: Option<Nanos>,
}

impl Attempt {
    pub fn begin(worker: usize, entry: WorkerEntry, now: Nanos) -> Self {
        Attempt { worker, entry, sent: now, out: true, maybe_ran: true, heard: None, present: None }
    }
}

/// A low-traffic dispatcher's draw of whether a job may go to a cold worker.
pub struct ColdDraw {
    pub worker: usize,
    pub at: Nanos,
    pub admitted: bool,
}

/// A request that is open, or of which attempts are still out.
pub struct Job {
    pub request: Request,
    pub arrived: Nanos,
    pub deadline: Nanos,
    /// When waiting on is of no more use.
    pub patience: Nanos,
    pub over_share: bool,
    pub place: Option<(u8, u64)>,
    /// The workers that its key is kept on.
    pub homes: Vec<usize>,
    /// Which cold ones of them it asked for, when, and whether it may go there.
    pub cold_draws: Vec<ColdDraw>,
    /// Number of the timer that leads to the probe of the next.
    pub seek: u32,
    pub attempts: Vec<Attempt>,
    pub over: bool,
    pub streaming: bool,
}

impl Job {
    /// When the first attempt that may have run was decided on.
    pub fn first_ran(&self) -> Option<Nanos> {
        self.attempts.iter().find(|a| a.maybe_ran).map(|a| a.sent)
    }
}

/// What is to be looked at when its time comes.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Deadline(RequestId),
    Patience(RequestId),
    Unheard(RequestId, u32),
    Probe(usize, u32),
    Serve(usize),
    Seek(RequestId, u32),
    Subscribe,
}

/// What is known of a class: mean time (ns) of an attempt, and the longest time a client gave a try.
pub struct ClassView {
    pub run: f64,
    pub longest: Nanos,
}

impl ClassView {
    pub fn new(class: &Class) -> Self {
        let run = 2.0 * class.latency_objective as f64;
        ClassView { run, longest: class.deadline }
    }

    /// An attempt has run, and taken so long (ns).
    pub fn ended(&mut self, attempt: f64) {
        self.run += 0.05 * (attempt - self.run);
    }
}

/// How an attempt ended, whether its request is over, and what was reported with it.
pub type End = (Outcome, bool, Option<LoadReport>);

impl Worker {
    /// One of which nothing is known yet.
    pub fn new(entry: WorkerEntry, timer: u32, now: Nanos) -> Self {
        Worker {
            entry,
            ready: false,
            since: now,
            reported: None,
            load: Load::default(),
            shut: false,
            failures: 0.0,
            read: 0,
            next: 0,
            takes_work: None,
            asked: 0,
            signs: Signs::default(),
            timer,
            waiting: false,
            probing: false,
            bucket: TokenBucket::new(u32::MAX, 0.0, now),
            asks: AskCount::default(),
        }
    }
}

/// Failures double the wait for the next probe, up to this many times.
pub const MAX_DOUBLINGS: f64 = 6.0;

impl Worker {
    /// Attempts that fail together fail for one cause: while it is shut only failed probes count further.
    pub fn failed(&mut self, weight: f64) {
        if !self.shut || self.probing {
            self.failures = (self.failures + weight).min(MAX_DOUBLINGS + 1.0);
        }
        self.shut = true;
    }

    /// Takes a report, of which `part` is this dispatcher's.
    pub fn report(&mut self, now: Nanos, report: &LoadReport, part: &Part) {
        self.reported = Some(*report);
        self.load.report(now, report, part);
        let rate = |r: Option<f64>| r.filter(|r| r.is_finite()).unwrap_or(0.0);
        if rate(report.errors_per_s) > 0.2 * rate(report.served_per_s) + 0.5 {
            // It fails what it takes, fast, and has free slots because of that.
            self.failed(1.0);
        }
    }
}
