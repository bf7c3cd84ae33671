//! The auditor: holds a world's record to the rules. It shares no code with engine, module or world, knows no
//! policy, and sees only [`Record`]s and the figures in [`Law`].
//!
//! A breach is told with the job's whole history. What it keeps is bounded: histories only of jobs that are
//! open or have attempts out, budgets only of cold workers, and at most [`MOST`] findings in full.

use std::collections::{BTreeSet, VecDeque};

use fnv::FnvHashMap;
use smallvec::SmallVec;

use crate::record::{Ending, Final, Line, Record, Standing};
use crate::time::{Nanos, MS};

/// Findings kept in full; more are only counted.
pub const MOST: usize = 100;

/// Histories of jobs that are over that are kept for what may still come of them.
const PAST: usize = 1_000;

/// What the rules say, in figures.
#[derive(Clone, Debug)]
pub struct Law {
    pub classes: Vec<Repeat>,
    pub attempts: u32,
    /// Two attempts of one job may be out together.
    pub parallel: bool,
    /// A final answer may come so long after the deadline.
    pub slack: Nanos,
    /// From being told of a drain to the last send.
    pub drain: Nanos,
    /// From a decision to its being written.
    pub at_once: Nanos,
    pub connections: u32,
    pub cold_from: f64,
    pub cold: Nanos,
    pub fall_multiple: f64,
    pub fall: Nanos,
    /// Each worker's rack, and what it can do warm (ns of a standard core per ns).
    pub workers: Vec<(u32, f64)>,
}

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Any,
    /// In one rack, for so long from the first attempt that may have run.
    Rack(Nanos),
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Taken, and no final answer by the deadline.
    NoAnswer,
    /// More than one final answer.
    TwoAnswers,
    /// A final answer after the deadline.
    LateAnswer,
    /// A final answer written long after it was decided, or owed since nothing more could come.
    HeldBack,
    /// Served with what no worker made for it.
    NobodysResult,
    /// A second run where the class allows none.
    Repeated,
    /// The client is told that to come again is harmless, and it is not.
    FalseRefusal,
    /// Sent although long told that the worker drains or is gone.
    SentAfterDrain,
    /// A cold worker was sent more than it bears.
    PushedOver,
    TooManyAttempts,
    /// Two attempts out together where that is not allowed.
    Together,
    TooManyConnections,
    /// An attempt for a job that had its final answer.
    SentAfterAnswer,
}

/// One breach.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: Rule,
    pub at: Nanos,
    pub job: Option<u64>,
    pub what: String,
    /// The job's life so far.
    pub history: Vec<(Nanos, Record)>,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} at {:.6} s", self.rule, self.at as f64 / 1e9)?;
        if let Some(job) = self.job {
            write!(f, ", job {job:#x}")?;
        }
        write!(f, ": {}", self.what)?;
        for (at, record) in &self.history {
            write!(f, "\n    {}", Line(*at, *record))?;
        }
        Ok(())
    }
}

#[derive(Default)]
pub struct Verdict {
    pub findings: Vec<Finding>,
    pub counts: std::collections::BTreeMap<Rule, u64>,
}

impl Verdict {
    pub fn broken(&self) -> u64 {
        self.counts.values().sum()
    }
}

struct Attempt {
    worker: u32,
    sent: Nanos,
    ending: Option<Ending>,
    finished: bool,
}

struct Job {
    class: u32,
    scheduler: u32,
    deadline: Nanos,
    attempts: SmallVec<[Attempt; 1]>,
    decided: Option<Nanos>,
    answered: bool,
    left: bool,
    /// Its scheduler died: nothing is owed any more.
    orphan: bool,
    /// Since when nothing more could come of it, and it has had no answer.
    hopeless: Option<Nanos>,
    history: Vec<(Nanos, Record)>,
}

/// A cold worker's arrivals within the last window.
struct Cold {
    started: Nanos,
    arrivals: VecDeque<(Nanos, f64, bool)>,
    sum: f64,
    told: f64,
    fell: bool,
}

pub struct Auditor {
    law: Law,
    jobs: FnvHashMap<u64, Job>,
    due: BTreeSet<(Nanos, u64)>,
    /// Since when a scheduler knows that a worker drains or is gone.
    told: FnvHashMap<(u32, u32), Nanos>,
    /// Of which start a scheduler knows.
    starts: FnvHashMap<(u32, u32), Nanos>,
    cold: FnvHashMap<u32, Cold>,
    past: VecDeque<(u64, Vec<(Nanos, Record)>)>,
    verdict: Verdict,
}

impl Auditor {
    pub fn new(law: Law) -> Auditor {
        Auditor {
            law,
            jobs: FnvHashMap::default(),
            due: BTreeSet::new(),
            told: FnvHashMap::default(),
            starts: FnvHashMap::default(),
            cold: FnvHashMap::default(),
            past: VecDeque::new(),
            verdict: Verdict::default(),
        }
    }

    /// Workers that are added to the world while it runs.
    pub fn worker(&mut self, rack: u32, capacity: f64) {
        self.law.workers.push((rack, capacity));
    }

    /// Jobs that it has not forgotten.
    pub fn open(&self) -> usize {
        self.jobs.len()
    }

    fn breach(&mut self, rule: Rule, at: Nanos, job: Option<u64>, what: String) {
        *self.verdict.counts.entry(rule).or_default() += 1;
        if self.verdict.findings.len() < MOST {
            let open = |job| Some(self.jobs.get(&job)?.history.clone());
            let past = |job| Some(self.past.iter().rev().find(|(id, _)| *id == job)?.1.clone());
            let history = job.and_then(|job| open(job).or_else(|| past(job))).unwrap_or_default();
            self.verdict.findings.push(Finding { rule, at, job, what, history });
        }
    }

    /// Takes note of what happened. Records come in the order of their times.
    pub fn note(&mut self, now: Nanos, record: Record) {
        self.overdue(now);
        if let Some(job) = record.job().and_then(|job| self.jobs.get_mut(&job)) {
            job.history.push((now, record));
        }
        match record {
            Record::Asked { job, class, scheduler, deadline, .. } => {
                let history = vec![(now, record)];
                let new = Job {
                    class,
                    scheduler,
                    deadline,
                    attempts: SmallVec::new(),
                    decided: None,
                    answered: false,
                    left: false,
                    orphan: false,
                    hopeless: None,
                    history,
                };
                self.jobs.insert(job, new);
                self.due.insert((deadline + self.law.slack, job));
            }
            Record::Told { scheduler, worker, standing, started } => match standing {
                Standing::Ready => {
                    self.told.remove(&(scheduler, worker));
                    if let Some(started) = started {
                        self.starts.insert((scheduler, worker), started);
                    }
                }
                Standing::Draining | Standing::Gone => {
                    self.told.entry((scheduler, worker)).or_insert(now);
                }
            },
            Record::Sent { job, attempt, scheduler, worker } => {
                self.sent(now, job, attempt, scheduler, worker)
            }
            Record::Reached { scheduler, worker, work, .. } => self.reached(now, scheduler, worker, work),
            Record::Finished { job, attempt, .. } => {
                if let Some(attempt) = self.attempt(job, attempt) {
                    attempt.finished = true;
                }
            }
            Record::Ended { job, attempt, ending } => self.ended(now, job, attempt, ending),
            Record::Decided { job, .. } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.decided.get_or_insert(now);
                }
            }
            Record::Answered { job, answer } => self.answered(now, job, answer),
            Record::Left { job, overdue } => {
                let Some(open) = self.jobs.get_mut(&job) else { return };
                let owed = overdue && !open.answered && !open.orphan && !open.left;
                open.left = true;
                if owed {
                    self.breach(Rule::NoAnswer, now, Some(job), "its client's time is over".to_owned());
                }
                self.forget(job);
            }
            Record::Killed { scheduler } => {
                let held = self.jobs.iter().filter(|(_, job)| job.scheduler == scheduler);
                let held: Vec<u64> = held.map(|(id, _)| *id).collect();
                for id in held {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.orphan = true;
                        // Nobody is told any more how its attempts end.
                        job.attempts.iter_mut().for_each(|a| a.ending = a.ending.or(Some(Ending::Reset)));
                    }
                    self.forget(id);
                }
                self.told.retain(|(told, _), _| *told != scheduler);
                self.starts.retain(|(told, _), _| *told != scheduler);
            }
            Record::Connected { worker, open } => {
                if open > self.law.connections {
                    let what = format!("worker {worker} holds {open} connections");
                    self.breach(Rule::TooManyConnections, now, None, what);
                }
            }
            Record::Up { worker } => {
                let arrivals = VecDeque::new();
                self.cold.insert(worker, Cold { started: now, arrivals, sum: 0.0, told: 0.0, fell: false });
            }
            Record::Started { .. } | Record::Dropped { .. } | Record::Booted { .. } | Record::Fell { .. } => {
            }
        }
    }

    fn attempt(&mut self, job: u64, attempt: u32) -> Option<&mut Attempt> {
        self.jobs.get_mut(&job)?.attempts.get_mut(attempt as usize)
    }

    /// Those whose time has passed without an answer.
    fn overdue(&mut self, now: Nanos) {
        while let Some(&(due, id)) = self.due.first().filter(|(due, _)| *due < now) {
            self.due.remove(&(due, id));
            let owed = self.jobs.get(&id).is_some_and(|job| !job.answered && !job.left && !job.orphan);
            if owed {
                self.breach(Rule::NoAnswer, due, Some(id), "no final answer by its deadline".to_owned());
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.orphan = true;
                }
            }
        }
    }

    fn sent(&mut self, now: Nanos, id: u64, number: u32, scheduler: u32, worker: u32) {
        if let Some(since) = self.told.get(&(scheduler, worker)).copied() {
            if now > since + self.law.drain {
                let late = (now - since) / MS;
                let what = format!("to worker {worker}, {late} ms after scheduler {scheduler} was told");
                self.breach(Rule::SentAfterDrain, now, Some(id), what);
            }
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let (count, answered) = (job.attempts.len() as u32, job.answered);
        let together = !self.law.parallel && job.attempts.iter().any(|a| a.ending.is_none());
        let ran = |a: &&Attempt| a.ending.is_none_or(|ending| !ending.proves_unrun());
        let repeated = match self.law.classes[job.class as usize] {
            Repeat::Any => None,
            Repeat::Never => job.attempts.iter().find(ran).map(|a| a.worker),
            Repeat::Rack(window) => {
                let rack = |worker: u32| self.law.workers.get(worker as usize).map(|w| w.0);
                let outside = |a: &&Attempt| rack(a.worker) != rack(worker) || now >= a.sent + window;
                job.attempts.iter().filter(ran).find(outside).map(|a| a.worker)
            }
        };
        if answered {
            self.breach(Rule::SentAfterAnswer, now, Some(id), format!("attempt {number}"));
        }
        if count >= self.law.attempts {
            self.breach(Rule::TooManyAttempts, now, Some(id), format!("attempt {number}"));
        }
        if together {
            self.breach(Rule::Together, now, Some(id), format!("attempt {number} beside another"));
        }
        if let Some(first) = repeated {
            let what =
                format!("attempt {number} to worker {worker} after one to worker {first} that may have run");
            self.breach(Rule::Repeated, now, Some(id), what);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.attempts.push(Attempt { worker, sent: now, ending: None, finished: false });
            job.hopeless = None;
        }
    }

    fn ended(&mut self, now: Nanos, id: u64, number: u32, ending: Ending) {
        let law = &self.law;
        if let Some(job) = self.jobs.get_mut(&id) {
            if let Some(attempt) = job.attempts.get_mut(number as usize) {
                attempt.ending = Some(ending);
            }
            let all = job.attempts.iter().all(|a| a.ending.is_some());
            let ran = job.attempts.iter().find(|a| a.ending.is_some_and(|e| !e.proves_unrun()));
            let spent = job.attempts.len() as u32 >= law.attempts;
            let closed = ran.is_some_and(|first| match law.classes[job.class as usize] {
                Repeat::Any => false,
                Repeat::Never => true,
                Repeat::Rack(window) => now >= first.sent + window,
            });
            if all && (spent || closed) && !job.answered {
                job.hopeless.get_or_insert(now);
            }
        }
        self.forget(id);
    }

    fn answered(&mut self, now: Nanos, id: u64, answer: Final) {
        // Forgotten is only what was answered, or what nobody waits for.
        let Some(job) = self.jobs.get(&id) else {
            return self.breach(
                Rule::TwoAnswers,
                now,
                Some(id),
                format!("{answer:?}, for a job that is over"),
            );
        };
        let mut breaches = Vec::new();
        if job.answered {
            breaches.push((Rule::TwoAnswers, format!("{answer:?}")));
        } else if now > job.deadline + self.law.slack && !job.left {
            breaches.push((Rule::LateAnswer, format!("{} ms late", (now - job.deadline) / MS)));
        }
        let owed = job.decided.into_iter().chain(job.hopeless).min();
        if owed.is_some_and(|owed| now > owed + self.law.at_once) && !job.answered {
            let since = now - owed.unwrap_or(now);
            breaches.push((Rule::HeldBack, format!("{answer:?}, {} ms after it was owed", since / MS)));
        }
        let result = |a: &Attempt| a.finished && a.ending == Some(Ending::Served);
        if answer == Final::Served && !job.attempts.iter().any(result) {
            breaches.push((Rule::NobodysResult, "no worker has served it".to_owned()));
        }
        let ran = job.attempts.iter().any(|a| a.ending.is_none_or(|ending| !ending.proves_unrun()));
        if matches!(answer, Final::Refused(_)) && ran && self.law.classes[job.class as usize] != Repeat::Any {
            breaches.push((Rule::FalseRefusal, "an attempt may have run".to_owned()));
        }
        for (rule, what) in breaches {
            self.breach(rule, now, Some(id), what);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.answered = true;
        }
        self.forget(id);
    }

    /// The budget of a cold worker: what reaches it within any window must stay under a multiple of what it
    /// can do in that time, with one window's even share of slack for chance.
    fn reached(&mut self, now: Nanos, scheduler: u32, worker: u32, work: f64) {
        let law = &self.law;
        let known = self.starts.get(&(scheduler, worker));
        let Some(cold) = self.cold.get_mut(&worker) else { return };
        let age = now.saturating_sub(cold.started);
        if age >= law.cold {
            self.cold.remove(&worker);
            return;
        }
        let told = known.is_some_and(|started| *started + MS >= cold.started);
        cold.arrivals.push_back((now, work, told));
        cold.sum += work;
        cold.told += if told { work } else { 0.0 };
        while let Some(&(at, work, told)) = cold.arrivals.front().filter(|(at, ..)| *at + law.fall < now) {
            let _ = at;
            cold.sum -= work;
            cold.told -= if told { work } else { 0.0 };
            cold.arrivals.pop_front();
        }
        let warmth = law.cold_from + (1.0 - law.cold_from) * age as f64 / law.cold as f64;
        let capacity = law.workers.get(worker as usize).map_or(1.0, |w| w.1) * warmth;
        let most = law.fall_multiple * capacity * law.fall as f64;
        let largest = cold.arrivals.iter().map(|a| a.1).fold(0.0, f64::max);
        if cold.sum > most + 2.0 * largest && cold.told >= cold.sum * 2.0 / 3.0 && !cold.fell {
            cold.fell = true;
            let what = format!("worker {worker}: sent {:.1} times what it bears", cold.sum / most);
            self.breach(Rule::PushedOver, now, None, what);
        }
    }

    /// Drops what nothing can be said of any more.
    fn forget(&mut self, id: u64) {
        let done = |job: &Job| {
            let over = job.answered || job.left || job.orphan;
            over && job.attempts.iter().all(|a| a.ending.is_some())
        };
        if self.jobs.get(&id).is_some_and(done) {
            if let Some(job) = self.jobs.remove(&id) {
                self.due.remove(&(job.deadline + self.law.slack, id));
                self.past.push_back((id, job.history));
                if self.past.len() > PAST {
                    self.past.pop_front();
                }
            }
        }
    }

    /// The end of the record: what is still owed by then is a breach.
    pub fn close(mut self, now: Nanos) -> Verdict {
        self.overdue(now);
        self.verdict
    }
}
