//! The auditor: judges a drill by its record. It shares no code with scheduler, module, worker model or stand-ins;
//! it knows the rules' figures ([`Law`]) and believes only what workers and clients saw.
//!
//! What the drill itself did to a link or a process excuses what follows from it, and no more: a request is excused
//! only while its own scheduler was killed or stopped, or its own link to that was not well.

use std::collections::{BTreeMap, HashMap, HashSet};

use nickelflow_simulator::time::Nanos;
use serde::Serialize;

use crate::record::{Entry, Life, Party, Record, Standing};

/// What the rules say, in figures.
#[derive(Clone, Debug)]
pub struct Law {
    /// By class: what a second run may do.
    pub classes: Vec<Repeat>,
    /// The rack of each worker.
    pub racks: Vec<u32>,
    /// A final answer may come so long after the deadline.
    pub slack: Nanos,
    /// From being told of a drain to the last send.
    pub drain: Nanos,
    /// From a client's leave to the last begin of an attempt for it.
    pub leave: Nanos,
    /// What an attempt may tell beyond the time that its client has left.
    pub told_slack: Nanos,
    /// For how long a client that does not get on may be left without answer or close.
    pub held: Nanos,
    /// Of one scheduler.
    pub most_memory_kib: u64,
    pub most_descriptors: u32,
    /// For how long a scheduler's own links need to settle after a fault of theirs.
    pub settle: Nanos,
}

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Any,
    /// In one rack, for so long from the first attempt that may have run.
    Rack(Nanos),
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Taken, and no final answer in time, with nothing to excuse it.
    NoAnswer,
    /// More than one final answer.
    TwoAnswers,
    /// Served with what no worker made for it.
    NobodysResult,
    /// An attempt after one that may have run, where the class allows none.
    Repeated,
    /// The client is told that to come again is harmless, and it is not.
    FalseRefusal,
    /// Reached a worker long after its scheduler was told that it drains or is gone.
    SentAfterDrain,
    /// A cold worker was sent more than it bears.
    PushedOver,
    /// An attempt began long after its client had left.
    SentAfterLeave,
    /// An attempt told its worker more time than its client has left.
    DeadlineTold,
    /// A client that does not get on with its request was neither answered nor closed in time.
    ClientHeld,
    /// More memory or descriptors than a scheduler is allowed.
    OverLimit,
    /// A scheduler found by itself that it broke a rule.
    Violation,
    /// A scheduler ended that nobody ended.
    Crashed,
    /// Sent under a version of the rules that nobody may act on any more.
    OldRules,
    /// Sent without rules, where schedulers agree on some.
    NoRules,
    /// Sent where the document that is in force forbids it.
    AgainstRules,
}

/// One breach.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    pub rule: Rule,
    pub at: Nanos,
    /// The request, where it is about one.
    pub id: Option<String>,
    pub what: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} at {:.3} s", self.rule, self.at as f64 / 1e9)?;
        if let Some(id) = &self.id {
            write!(f, ", request {id}")?;
        }
        write!(f, ": {}", self.what)
    }
}

/// Spans of time in which something was wrong.
#[derive(Default)]
struct Spans(Vec<(Nanos, Nanos)>);

impl Spans {
    fn begin(&mut self, at: Nanos) {
        if self.0.last().is_none_or(|(_, end)| *end != Nanos::MAX) {
            self.0.push((at, Nanos::MAX));
        }
    }

    fn end(&mut self, at: Nanos) {
        if let Some(last) = self.0.last_mut().filter(|(_, end)| *end == Nanos::MAX) {
            last.1 = at;
        }
    }

    fn touch(&self, from: Nanos, to: Nanos) -> bool {
        self.0.iter().any(|(begin, end)| *begin <= to && from <= *end)
    }
}

struct Request {
    scheduler: u32,
    class: u32,
    asked: Nanos,
    deadline: Nanos,
    /// Its client still waits.
    open: bool,
    answered: bool,
    left: Option<Nanos>,
}

struct Run {
    worker: u32,
    at: Nanos,
    /// It was turned away or handed back, which tells its scheduler that it never ran.
    unrun: bool,
    result: Option<String>,
}

/// Judges a whole record, in the order of its times.
pub fn audit(law: &Law, entries: &[Entry]) -> Vec<Finding> {
    let mut audit = Audit::new(law);
    audit.troubles(entries);
    for entry in entries {
        audit.note(entry.at, &entry.what);
    }
    audit.close(entries.last().map_or(0, |entry| entry.at));
    audit.findings
}

struct Audit<'a> {
    law: &'a Law,
    links: HashMap<(Party, Party), Spans>,
    processes: HashMap<u32, Spans>,
    requests: BTreeMap<String, Request>,
    runs: BTreeMap<u64, Run>,
    by_id: HashMap<String, Vec<u64>>,
    told: HashMap<(u32, u32), Nanos>,
    ending: HashSet<u32>,
    findings: Vec<Finding>,
}

impl<'a> Audit<'a> {
    fn new(law: &'a Law) -> Self {
        Audit {
            law,
            links: HashMap::new(),
            processes: HashMap::new(),
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            by_id: HashMap::new(),
            told: HashMap::new(),
            ending: HashSet::new(),
            findings: Vec::new(),
        }
    }

    fn breach(&mut self, rule: Rule, at: Nanos, id: Option<&str>, what: String) {
        self.findings.push(Finding { rule, at, id: id.map(str::to_owned), what });
    }

    /// First of all, when links and processes were not well: what happens is judged with that known.
    fn troubles(&mut self, entries: &[Entry]) {
        for Entry { at, what } in entries {
            match what {
                Record::Link { from, to, fault } => {
                    let spans = self.links.entry((*from, *to)).or_default();
                    match fault {
                        Some(_) => spans.begin(*at),
                        None => spans.end(at.saturating_add(self.law.settle)),
                    }
                }
                Record::Process { scheduler, life } => {
                    let spans = self.processes.entry(*scheduler).or_default();
                    match life {
                        Life::Killed | Life::Stopped => spans.begin(*at),
                        Life::Ready | Life::Continued => spans.end(at.saturating_add(self.law.settle)),
                        Life::ToldToEnd | Life::Ended(_) => {}
                    }
                }
                _ => {}
            }
        }
    }

    fn link_troubled(&self, from: Party, to: Party, since: Nanos, until: Nanos) -> bool {
        self.links.get(&(from, to)).is_some_and(|spans| spans.touch(since, until))
    }

    fn process_troubled(&self, scheduler: u32, since: Nanos, until: Nanos) -> bool {
        self.processes.get(&scheduler).is_some_and(|spans| spans.touch(since, until))
    }

    /// Whether what became of a request between two times may be the drill's doing.
    fn excused(&self, request: &Request, until: Nanos) -> bool {
        let scheduler = Party::Scheduler(request.scheduler);
        self.link_troubled(Party::Clients, scheduler, request.asked, until)
            || self.process_troubled(request.scheduler, request.asked, until)
    }

    fn note(&mut self, at: Nanos, what: &Record) {
        match what {
            Record::Asked { id, scheduler, class, deadline, .. } => {
                let (scheduler, class, deadline) = (*scheduler, *class, *deadline);
                let request = Request {
                    scheduler,
                    class,
                    asked: at,
                    deadline,
                    open: true,
                    answered: false,
                    left: None,
                };
                self.requests.insert(id.clone(), request);
            }
            Record::Answered { id, status, result } => self.answered(at, id, *status, result.as_deref()),
            Record::Broken { id, crossed } => {
                // Read and sent on, it was taken, whatever the connection was before.
                let taken = self.by_id.contains_key(id);
                let Some(request) = self.requests.get_mut(id) else { return };
                request.open = false;
                let lost = (!crossed || taken) && !request.answered;
                if lost && !self.requests.get(id).is_some_and(|request| self.excused(request, at)) {
                    self.breach(Rule::NoAnswer, at, Some(id), "its connection ended without one".to_owned());
                }
            }
            Record::Left { id } => {
                let Some(request) = self.requests.get_mut(id) else { return };
                request.open = false;
                request.left = Some(at);
                let owed = !request.answered && at >= request.deadline;
                if owed && !self.requests.get(id).is_some_and(|request| self.excused(request, at)) {
                    self.breach(Rule::NoAnswer, at, Some(id), "its client's time is over".to_owned());
                }
            }
            Record::Forgotten { id } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.open = false;
                }
            }
            Record::Stayed { scheduler, since, waited, answered } => {
                let late = !answered || *waited > self.law.held;
                let (clients, party) = (Party::Clients, Party::Scheduler(*scheduler));
                let excused = self.link_troubled(clients, party, *since, at)
                    || self.process_troubled(*scheduler, *since, at);
                if late && !excused {
                    let what = format!("scheduler {scheduler} let it wait for {} ms", waited / 1_000_000);
                    self.breach(Rule::ClientHeld, at, None, what);
                }
            }
            Record::Uses { scheduler, peak_kib, descriptors } => {
                let (memory, most) = (self.law.most_memory_kib, self.law.most_descriptors);
                if *peak_kib > memory || *descriptors > most {
                    let what =
                        format!("scheduler {scheduler} uses {peak_kib} KiB and {descriptors} descriptors");
                    self.breach(Rule::OverLimit, at, None, what);
                }
            }
            Record::Violation { scheduler, line } => {
                self.breach(Rule::Violation, at, None, format!("scheduler {scheduler}: {line}"));
            }
            Record::Unasked { scheduler } => {
                let what = format!("scheduler {scheduler} sent an answer that nobody asked for");
                self.breach(Rule::TwoAnswers, at, None, what);
            }
            Record::Reached { id, run, scheduler, worker, taken, timeout, .. } => {
                self.for_whom(at, id, *scheduler, *worker, *timeout);
                self.reached(at, id, *run, *scheduler, *worker, *taken)
            }
            Record::Finished { run, result } => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.result = Some(result.clone());
                }
            }
            Record::HandedBack { run } => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.unrun = true;
                }
            }
            Record::Fell { worker } => {
                let what = format!("worker {worker}, cold, was sent more than it bears");
                self.breach(Rule::PushedOver, at, None, what);
            }
            Record::Told { scheduler, worker, standing } => match standing {
                Standing::Ready => drop(self.told.remove(&(*scheduler, *worker))),
                Standing::Draining | Standing::Gone => {
                    self.told.entry((*scheduler, *worker)).or_insert(at);
                }
            },
            Record::Process { scheduler, life } => match life {
                Life::ToldToEnd => drop(self.ending.insert(*scheduler)),
                Life::Ended(status) => {
                    if !self.ending.remove(scheduler) || *status != Some(0) {
                        let what = format!("scheduler {scheduler} ended with status {status:?}");
                        self.breach(Rule::Crashed, at, None, what);
                    }
                    self.told.retain(|(told, _), _| told != scheduler);
                }
                Life::Killed => self.told.retain(|(told, _), _| told != scheduler),
                Life::Ready | Life::Stopped | Life::Continued => {}
            },
            Record::Started { .. }
            | Record::Dropped { .. }
            | Record::Up { .. }
            | Record::Link { .. }
            | Record::Proposing
            | Record::Proposed { .. }
            | Record::InForce { .. }
            | Record::Fault { .. } => {}
        }
    }

    /// Runs of a request that its scheduler cannot know not to have run.
    fn may_have_run(&self, id: &str) -> impl Iterator<Item = &Run> {
        let runs = self.by_id.get(id).into_iter().flatten();
        runs.filter_map(|run| self.runs.get(run)).filter(|run| !run.unrun)
    }

    fn answered(&mut self, at: Nanos, id: &str, status: u16, result: Option<&str>) {
        let Some(request) = self.requests.get_mut(id) else {
            return self.breach(Rule::TwoAnswers, at, Some(id), "for a request never asked".to_owned());
        };
        let again = std::mem::replace(&mut request.answered, true);
        request.open = false;
        let (class, late) = (request.class, at > request.deadline.saturating_add(self.law.slack));
        if again {
            self.breach(Rule::TwoAnswers, at, Some(id), format!("status {status}"));
        }
        if late && !self.requests.get(id).is_some_and(|request| self.excused(request, at)) {
            self.breach(Rule::NoAnswer, at, Some(id), "its answer came after its client's time".to_owned());
        }
        if status == 200 {
            let made = self.by_id.get(id).into_iter().flatten().filter_map(|run| self.runs.get(run));
            if !made.filter_map(|run| run.result.as_deref()).any(|made| Some(made) == result) {
                self.breach(Rule::NobodysResult, at, Some(id), format!("{result:?}"));
            }
        }
        let harmless = self.law.classes.get(class as usize) == Some(&Repeat::Any);
        if matches!(status, 429 | 503) && !harmless {
            let taken = self.may_have_run(id).next().map(|run| run.worker);
            if let Some(worker) = taken {
                let what = format!("refused, although worker {worker} had taken it");
                self.breach(Rule::FalseRefusal, at, Some(id), what);
            }
        }
    }

    /// An attempt against its client: whether that is still there, and what is left to it.
    fn for_whom(&mut self, at: Nanos, id: &str, scheduler: u32, worker: u32, timeout: Option<Nanos>) {
        let Some(request) = self.requests.get(id) else { return };
        let (left, deadline, asked) = (request.left, request.deadline, request.asked);
        // What a link or a process kept was written sooner than it came, or read later.
        let kept = self.link_troubled(Party::Scheduler(scheduler), Party::Worker(worker), asked, at)
            || self.link_troubled(Party::Clients, Party::Scheduler(scheduler), asked, at)
            || self.process_troubled(scheduler, asked, at);
        if kept {
            return;
        }
        if left.is_some_and(|left| at > left + self.law.leave) {
            let what =
                format!("to worker {worker}, {} ms after it left", (at - left.unwrap_or(at)) / 1_000_000);
            self.breach(Rule::SentAfterLeave, at, Some(id), what);
        }
        let most = deadline.saturating_sub(at) + self.law.told_slack;
        if let Some(told) = timeout.filter(|told| *told > most) {
            let (told, most) = (told / 1_000_000, most / 1_000_000);
            self.breach(
                Rule::DeadlineTold,
                at,
                Some(id),
                format!("told {told} ms, at most {most} ms allowed"),
            );
        }
    }

    fn reached(&mut self, at: Nanos, id: &str, run: u64, scheduler: u32, worker: u32, taken: bool) {
        let class = self.requests.get(id).map_or(0, |request| request.class);
        let rack = |worker: u32| self.law.racks.get(worker as usize);
        let broken = match self.law.classes.get(class as usize) {
            Some(Repeat::Rack(window)) => {
                let outside = |first: &&Run| rack(first.worker) != rack(worker) || at >= first.at + window;
                self.may_have_run(id).find(outside).map(|first| first.worker)
            }
            Some(Repeat::Never) => self.may_have_run(id).next().map(|first| first.worker),
            Some(Repeat::Any) | None => None,
        };
        if let Some(first) = broken {
            let what = format!("to worker {worker} after one to worker {first} that may have run");
            self.breach(Rule::Repeated, at, Some(id), what);
        }
        let told = self.told.get(&(scheduler, worker)).copied();
        if let Some(told) = told.filter(|told| at > told.saturating_add(self.law.drain)) {
            // What a link kept may have been sent long before, and the news may have been kept too.
            let (own, news) = (Party::Scheduler(scheduler), (Party::Scheduler(scheduler), Party::Discovery));
            let kept = self.link_troubled(own, Party::Worker(worker), told, at)
                || self.link_troubled(news.0, news.1, told, at)
                || self.process_troubled(scheduler, told, at);
            if !kept {
                let late = (at - told) / 1_000_000;
                let what = format!("to worker {worker}, {late} ms after scheduler {scheduler} was told");
                self.breach(Rule::SentAfterDrain, at, Some(id), what);
            }
        }
        self.by_id.entry(id.to_owned()).or_default().push(run);
        self.runs.insert(run, Run { worker, at, unrun: !taken, result: None });
    }

    /// The drill is over: whoever still waits waits for nothing.
    fn close(&mut self, end: Nanos) {
        let waits = |request: &Request| request.open && !request.answered;
        let owed = self.requests.iter().filter(|(_, request)| waits(request));
        let owed: Vec<String> =
            owed.filter(|(_, request)| !self.excused(request, end)).map(|(id, _)| id.clone()).collect();
        for id in owed {
            self.breach(Rule::NoAnswer, end, Some(&id), "the drill ended before one came".to_owned());
        }
    }
}
