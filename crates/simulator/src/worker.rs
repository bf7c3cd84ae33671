//! The worker model: one machine that runs jobs.
//!
//! What it stands for: a process with a few cores, a limit on jobs that run together (slots) and on their
//! memory, and a bounded queue. Running jobs share the cores evenly (processor sharing); with no more jobs
//! than cores each has one. Everything that slows the machine (a cold start, another program beside it, too
//! many jobs held, stand-stills) scales that one rate, so that all running jobs can be kept on one virtual
//! clock: `v` is the work (ns of a standard core) that each of them has been given since the start, and a job
//! ends when `v` passes the mark it was given at its begin.
//!
//! Units: time in nanoseconds of the world, work in nanoseconds of a standard core, slots, cores and memory in
//! the scenario's own units.

use std::collections::VecDeque;
use std::num::NonZeroUsize;

use lru::LruCache;

use crate::scenario::Queueing;
use crate::time::Nanos;

/// One attempt, as a worker knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    pub job: u64,
    pub attempt: u32,
}

/// What a worker is asked to run.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub id: AttemptId,
    /// Work of each of its slots (ns of a standard core).
    pub work: f64,
    pub slots: f64,
    pub memory: f64,
    pub key: Option<u64>,
}

/// A worker's make.
#[derive(Clone, Debug)]
pub struct Make {
    pub cores: f64,
    pub slots: f64,
    pub memory: f64,
    pub speed: f64,
    pub queue: usize,
    pub order: Queueing,
    pub thrash: f64,
    pub idle_until: usize,
    pub cold_from: f64,
    pub cold: Nanos,
    pub keys_kept: usize,
    pub cancel_stops: bool,
}

/// What has come of something, for the world to carry on with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Started(AttemptId),
    /// It needs its data from the archive.
    Fetch(AttemptId),
    Done(AttemptId),
}

/// Its load as it is at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub free_slots: f64,
    pub free_memory: f64,
    pub queued: f64,
}

#[derive(Clone, Debug)]
struct Running {
    task: Task,
    /// Its mark on the virtual clock; `None` while its data is fetched.
    ends: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Up {
    /// It runs.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// No process; the machine refuses connections.
    Stopped,
    /// No machine: nothing answers.
    Vanished,
}

pub struct Worker {
    pub make: Make,
    pub up: Up,
    /// When its process started, if that is not long ago.
    pub started: Option<Nanos>,
    pub hung: bool,
    /// Until when it stands still.
    pub stalled: Nanos,
    /// Share of the machine that another program takes.
    pub neighbour: f64,
    /// Connections open to it.
    pub connections: u32,
    running: Vec<Running>,
    queue: VecDeque<Task>,
    used_slots: f64,
    used_memory: f64,
    /// Slots of those that run and have their data.
    working: f64,
    v: f64,
    at: Nanos,
    rate: f64,
    /// The moment at which it wants to be looked at next.
    due: Option<Nanos>,
    /// The paper's forced idling: it stands idle until it holds enough.
    idle: bool,
    cache: LruCache<u64, ()>,
}

/// Marks may be missed by this much (ns of work), for virtual time is kept in floating point.
const ROUNDING: f64 = 0.01;

impl Worker {
    pub fn new(make: Make, started: Option<Nanos>) -> Worker {
        let kept = NonZeroUsize::new(make.keys_kept.max(1)).unwrap_or(NonZeroUsize::MIN);
        let idle = make.idle_until > 0;
        Worker {
            make,
            up: Up::Serving,
            started,
            hung: false,
            stalled: 0,
            neighbour: 0.0,
            connections: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            used_slots: 0.0,
            used_memory: 0.0,
            working: 0.0,
            v: 0.0,
            at: 0,
            rate: 0.0,
            due: None,
            idle,
            // Unbounded, it takes no memory beforehand: most workers of a large fleet never fill it.
            cache: LruCache::unbounded().also_resize(kept),
        }
    }

    /// Jobs that it holds, running or waiting.
    pub fn held(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    pub fn has(&self, key: u64) -> bool {
        self.cache.contains(&key)
    }

    pub fn load(&self) -> Load {
        Load {
            free_slots: (self.make.slots - self.used_slots).max(0.0),
            free_memory: (self.make.memory - self.used_memory).max(0.0),
            queued: self.queue.len() as f64,
        }
    }

    /// Work that is still to be done (ns of a standard core), over all slots.
    pub fn backlog(&self) -> f64 {
        let left = |r: &Running| r.ends.map_or(r.task.work, |ends| (ends - self.v).max(0.0)) * r.task.slots;
        let running: f64 = self.running.iter().map(left).sum();
        running + self.queue.iter().map(|task| task.work * task.slots).sum::<f64>()
    }

    /// Part of its warm capacity that it has at a moment: it rises evenly from the start on.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started);
        if self.make.cold == 0 || age >= self.make.cold {
            return 1.0;
        }
        self.make.cold_from + (1.0 - self.make.cold_from) * age as f64 / self.make.cold as f64
    }

    /// What it can do at a moment, in ns of a standard core per ns.
    pub fn capacity(&self, now: Nanos) -> f64 {
        self.make.cores.min(self.make.slots) * self.make.speed * self.warmth(now)
    }

    /// Whether nothing moves in it.
    pub fn stands(&self, now: Nanos) -> bool {
        self.hung || now < self.stalled || matches!(self.up, Up::Stopped | Up::Vanished)
    }

    /// The rate of each running slot, by what slows the machine now.
    fn pace(&self, now: Nanos) -> f64 {
        if self.working <= 0.0 || self.idle || self.stands(now) {
            return 0.0;
        }
        let cores = self.make.cores * (1.0 - self.neighbour);
        let shared = (cores / self.working).min(1.0);
        let crowd = (self.held() as f64 / self.make.slots - 1.0).clamp(0.0, 1.0 / self.make.thrash.max(1e-9));
        let thrash = 1.0 - self.make.thrash * crowd.min(0.9 / self.make.thrash.max(1e-9));
        self.make.speed * self.warmth(now) * shared * thrash.max(0.1)
    }

    /// Brings the virtual clock up to now, at the rate that has held since.
    fn advance(&mut self, now: Nanos) {
        self.v += self.rate * now.saturating_sub(self.at) as f64;
        self.at = now;
    }

    /// Something that slows or speeds the machine is about to change: call before, and [`settle`](Self::settle)
    /// after.
    pub fn before(&mut self, now: Nanos) {
        self.advance(now);
    }

    /// Work beside the jobs (a handshake, a probe): takes their time only when no core is free.
    pub fn burden(&mut self, now: Nanos, work: f64) {
        self.advance(now);
        if self.working >= self.make.cores && self.rate > 0.0 {
            self.v -= work / self.working;
        }
    }

    /// Takes a job, or says that its queue is full.
    pub fn offer(&mut self, now: Nanos, task: Task, effects: &mut Vec<Effect>) -> bool {
        self.advance(now);
        // A job that could start at once is not kept out by a queue of none.
        let starts = self.queue.is_empty() && self.fits(&task);
        let serving = self.up == Up::Serving;
        if !serving || !starts && self.queue.len() >= self.make.queue || !self.ever_fits(&task) {
            return false;
        }
        self.queue.push_back(task);
        if self.held() >= self.make.idle_until {
            self.idle = false;
        }
        self.start(now, effects);
        true
    }

    fn ever_fits(&self, task: &Task) -> bool {
        task.slots <= self.make.slots && task.memory <= self.make.memory
    }

    fn fits(&self, task: &Task) -> bool {
        self.used_slots + task.slots <= self.make.slots + 1e-9
            && self.used_memory + task.memory <= self.make.memory + 1e-9
    }

    /// Starts what fits, in the order of the queue.
    fn start(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let mut index = 0;
        while index < self.queue.len() && !self.stands(now) {
            if self.used_slots >= self.make.slots {
                break;
            }
            if !self.fits(&self.queue[index]) {
                if self.make.order == Queueing::Fifo {
                    break;
                }
                index += 1;
                continue;
            }
            let Some(task) = self.queue.remove(index) else { break };
            self.used_slots += task.slots;
            self.used_memory += task.memory;
            let ready = task.key.is_none_or(|key| self.cache.get(&key).is_some());
            let ends = ready.then_some(self.v + task.work);
            if ready {
                self.working += task.slots;
            }
            self.running.push(Running { task, ends });
            effects.push(Effect::Started(task.id));
            if !ready {
                effects.push(Effect::Fetch(task.id));
            }
        }
    }

    /// The data of a running job has come.
    pub fn fetched(&mut self, now: Nanos, id: AttemptId) {
        self.advance(now);
        let Some(running) = self.running.iter_mut().find(|r| r.task.id == id && r.ends.is_none()) else {
            return;
        };
        running.ends = Some(self.v + running.task.work);
        self.working += running.task.slots;
        if let Some(key) = running.task.key {
            self.cache.put(key, ());
        }
    }

    /// Ends what is done, and starts what then fits.
    pub fn finish(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.advance(now);
        if self.stands(now) {
            return;
        }
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].ends.is_some_and(|ends| ends <= self.v + ROUNDING) {
                let done = self.running.remove(index);
                self.release(&done);
                effects.push(Effect::Done(done.task.id));
            } else {
                index += 1;
            }
        }
        self.start(now, effects);
    }

    fn release(&mut self, ended: &Running) {
        self.used_slots -= ended.task.slots;
        self.used_memory -= ended.task.memory;
        if ended.ends.is_some() {
            self.working -= ended.task.slots;
        }
        if self.running.is_empty() {
            // Sums of parts that come and go drift.
            (self.used_slots, self.used_memory, self.working) = (0.0, 0.0, 0.0);
        }
    }

    /// Nobody waits for an attempt any more: it leaves the queue, and stops where cancels stop what runs.
    /// Tells the work that was done for nothing (ns of a standard core), and whether it has ended.
    pub fn cancel(&mut self, now: Nanos, id: AttemptId, effects: &mut Vec<Effect>) -> Option<f64> {
        self.advance(now);
        if let Some(index) = self.queue.iter().position(|task| task.id == id) {
            self.queue.remove(index);
            self.start(now, effects);
            return Some(0.0);
        }
        let index = self.running.iter().position(|r| r.task.id == id)?;
        if !self.make.cancel_stops {
            return None;
        }
        let stopped = self.running.remove(index);
        self.release(&stopped);
        self.start(now, effects);
        let left = stopped.ends.map_or(stopped.task.work, |ends| (ends - self.v).max(0.0));
        Some((stopped.task.work - left).max(0.0) * stopped.task.slots)
    }

    /// Empties the queue: what has not started is handed back.
    pub fn hand_back(&mut self) -> Vec<AttemptId> {
        self.queue.drain(..).map(|task| task.id).collect()
    }

    /// The process ends: all that it holds is lost. Tells what that was, those running first, and with it the
    /// work that was done on it.
    pub fn crash(&mut self, now: Nanos) -> Vec<(AttemptId, f64)> {
        self.advance(now);
        let v = self.v;
        let done = |r: &Running| {
            let left = r.ends.map_or(r.task.work, |ends| (ends - v).max(0.0));
            (r.task.id, (r.task.work - left).max(0.0) * r.task.slots)
        };
        let mut lost: Vec<(AttemptId, f64)> = self.running.iter().map(done).collect();
        lost.extend(self.queue.iter().map(|task| (task.id, 0.0)));
        self.running.clear();
        self.queue.clear();
        self.cache.clear();
        (self.used_slots, self.used_memory, self.working) = (0.0, 0.0, 0.0);
        self.rate = 0.0;
        self.due = None;
        self.idle = self.make.idle_until > 0;
        self.connections = 0;
        lost
    }

    /// A report goes out that shows this queue: with too few, a worker of the paper's baseline stands idle.
    pub fn reported(&mut self, now: Nanos) {
        if self.make.idle_until > 0 {
            self.advance(now);
            self.idle = self.held() < self.make.idle_until;
        }
    }

    /// The part of a running job that is done.
    pub fn share(&self, id: AttemptId) -> Option<f64> {
        let running = self.running.iter().find(|r| r.task.id == id)?;
        Some(running.ends.map_or(0.0, |ends| 1.0 - (ends - self.v).max(0.0) / running.task.work.max(1.0)))
    }

    /// Takes up the rate that holds from now on. Tells when it wants [`finish`](Self::finish), if that is not
    /// already asked for.
    pub fn settle(&mut self, now: Nanos) -> Option<Nanos> {
        self.advance(now);
        self.rate = self.pace(now);
        let next = self.running.iter().filter_map(|r| r.ends).fold(f64::INFINITY, f64::min);
        let mut due = None;
        if self.rate > 0.0 && next.is_finite() {
            due = Some(now + libm::ceil(((next - self.v) / self.rate).max(0.0)) as Nanos);
            if self.warmth(now) < 1.0 {
                // Its rate rises: looked at often enough, in steps of a hundredth.
                due = due.map(|due| due.min(now + self.make.cold / 100 + 1));
            }
        }
        if due == self.due {
            return None;
        }
        self.due = due;
        due
    }

    /// Whether it still wants to be looked at now; others that it asked for are out of date.
    pub fn wants(&mut self, now: Nanos) -> bool {
        let wants = self.due == Some(now);
        if wants {
            self.due = None;
        }
        wants
    }
}

/// Resizing an unbounded cache bounds it without reserving its whole size.
trait Bound {
    fn also_resize(self, most: NonZeroUsize) -> Self;
}

impl Bound for LruCache<u64, ()> {
    fn also_resize(mut self, most: NonZeroUsize) -> Self {
        self.resize(most);
        self
    }
}
