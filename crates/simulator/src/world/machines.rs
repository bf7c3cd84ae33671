//! Machines: what reaches a worker, and what comes of it.

use super::{Breaks, Ev, World};
use crate::random;
use crate::record::{Ending, Record};
use crate::scenario::{Direction, Repeats};
use crate::time::{in_seconds, millis, seconds, Nanos};
use crate::worker::{AttemptId, Effect, Load, Task, Up, Worker};

impl World<'_> {
    /// Does something with a worker, and carries on with what comes of it.
    pub(super) fn with(&mut self, machine: u32, act: impl FnOnce(&mut Worker, Nanos, &mut Vec<Effect>)) {
        let mut effects = std::mem::take(&mut self.effects);
        let worker = &mut self.workers[machine as usize];
        worker.before(self.now);
        act(worker, self.now, &mut effects);
        if let Some(due) = worker.settle(self.now) {
            self.at(due, Ev::Due { worker: machine });
        }
        for effect in effects.drain(..) {
            self.effect(machine, effect);
        }
        self.effects = effects;
    }

    fn effect(&mut self, machine: u32, effect: Effect) {
        match effect {
            Effect::Started(id) => {
                self.note(Record::Started { job: id.job, attempt: id.attempt, worker: machine });
                if self.scenario.workers.tells_start && !self.deaf(id, machine) {
                    let way = self.way();
                    self.at(self.now + way, Ev::Note { id });
                }
                let gap = millis(self.scenario.workers.progress_ms.0);
                if gap > 0 {
                    self.at(self.now + gap, Ev::Progress { id, worker: machine });
                }
            }
            Effect::Fetch(id) => {
                if let Some(at) = self.archive.ask(self.now, machine, id) {
                    self.at(at, Ev::Fetched { id, worker: machine });
                }
            }
            Effect::Done(id) => self.done(id, machine),
        }
    }

    /// Whether what the machine says to an attempt's scheduler is lost.
    fn deaf(&self, id: AttemptId, machine: u32) -> bool {
        !self.cuts.is_empty()
            && self.get(id.job).is_some_and(|t| self.cut(t.scheduler, machine, Direction::Answers))
    }

    fn done(&mut self, id: AttemptId, machine: u32) {
        self.note(Record::Finished { job: id.job, attempt: id.attempt, worker: machine });
        let (rack, now) = (self.machines[machine as usize].rack, self.now);
        let deaf = self.deaf(id, machine);
        let classes = &self.scenario.classes;
        let Some(t) = self.tries.get_mut((id.job & 0xffff_ffff) as usize).filter(|t| t.id == id.job) else {
            return;
        };
        let class = &classes[t.request.first.class as usize];
        let work = t.request.first.work * t.request.first.slots;
        let doubled = t.ran.is_some_and(|(first, at)| match class.repeats {
            Repeats::Harmless => false,
            Repeats::Rack => first != rack || now > at + seconds(class.window_s.0),
            Repeats::Never => true,
        });
        let again = t.ran.is_some();
        t.ran.get_or_insert((rack, now));
        let breaks = t.attempts.get(id.attempt as usize).and_then(|a| a.breaks);
        self.stats.counts.doubled += u64::from(doubled);
        if again {
            self.stats.counts.wasted_s += work / 1e9;
        }
        if !deaf {
            let ending = if breaks == Some(Breaks::After) { Ending::Reset } else { Ending::Served };
            let way = self.way();
            self.at(now + way, Ev::Back { id, ending });
        }
    }

    /// An attempt is whole at its machine.
    pub(super) fn reach(&mut self, id: AttemptId) {
        let Some(t) = self.get(id.job) else { return };
        let Some(a) = t.attempts.get(id.attempt as usize) else { return };
        let Some(machine) = a.machine else { return };
        let (scheduler, first) = (t.scheduler, t.request.first);
        let (fresh, life, breaks) = (a.fresh, a.life, a.breaks);
        let (stalled, up) = (self.workers[machine as usize].stalled, self.workers[machine as usize].up);
        if stalled > self.now && up != Up::Vanished {
            return self.at(stalled, Ev::Reach { id });
        }
        let way = self.way();
        if life != Some(self.machines[machine as usize].life) || up == Up::Vanished {
            // The connection ended with the machine or the process.
            match up {
                Up::Vanished => self.machines[machine as usize].ghosts.push(id),
                Up::Stopped if fresh => {
                    self.at(self.now + way, Ev::Back { id, ending: Ending::NoConnection })
                }
                _ => self.at(self.now + way, Ev::Back { id, ending: Ending::Reset }),
            }
            return;
        }
        if self.cut(scheduler, machine, Direction::Requests) {
            return;
        }
        if breaks == Some(Breaks::Before) {
            return self.at(self.now + way, Ev::Back { id, ending: Ending::Reset });
        }
        let task = Task { id, work: first.work, slots: first.slots, memory: first.memory, key: first.key };
        let handshake = if fresh { millis(self.scenario.workers.handshake_ms.0) as f64 } else { 0.0 };
        let mut taken = false;
        self.with(machine, |worker, now, effects| {
            worker.burden(now, handshake);
            taken = worker.offer(now, task, effects);
        });
        let work = first.work * first.slots;
        self.note(Record::Reached {
            job: id.job,
            attempt: id.attempt,
            scheduler,
            worker: machine,
            work,
            taken,
        });
        // One that hangs does not say that it is full either.
        if !taken && !self.workers[machine as usize].hung && !self.cut(scheduler, machine, Direction::Answers)
        {
            self.at(self.now + way, Ev::Back { id, ending: Ending::TurnedAway });
        }
        self.press(machine, work);
    }

    /// Work has reached a machine: a cold one that is sent too much falls over, and stays down.
    fn press(&mut self, machine: u32, work: f64) {
        let worker = &self.workers[machine as usize];
        let warm = worker.warmth(self.now) >= 1.0;
        let rules = &self.scenario.rules;
        let window = seconds(rules.fall_s.0);
        let capacity = worker.capacity(self.now);
        let m = &mut self.machines[machine as usize];
        if warm || m.fell {
            m.pressure.clear();
            return;
        }
        let pressed = m.pressure.add(self.now, work, capacity, rules.fall_multiple.0, window);
        self.stats.counts.pressed = self.stats.counts.pressed.max(pressed);
        if pressed > 1.0 {
            m.fell = true;
            self.stats.counts.fallen += 1;
            self.note(Record::Fell { worker: machine });
            self.stop(machine, Up::Stopped);
        }
    }

    pub(super) fn due(&mut self, machine: u32) {
        if self.workers[machine as usize].wants(self.now) {
            self.with(machine, |worker, now, effects| worker.finish(now, effects));
        }
    }

    pub(super) fn fetched(&mut self, id: AttemptId, machine: u32) {
        if let Some((at, worker, id)) = self.archive.served(self.now) {
            self.at(at, Ev::Fetched { id, worker });
        }
        self.with(machine, |worker, now, _| worker.fetched(now, id));
    }

    /// A machine hears that nobody waits for an attempt any more.
    pub(super) fn closed(&mut self, id: AttemptId, machine: u32) {
        let mut wasted = None;
        self.with(machine, |worker, now, effects| wasted = worker.cancel(now, id, effects));
        if let Some(wasted) = wasted {
            self.stats.counts.wasted_s += wasted / 1e9;
            self.archive.forget(id);
            self.note(Record::Dropped { job: id.job, attempt: id.attempt, worker: machine });
        }
    }

    pub(super) fn noted(&mut self, id: AttemptId) {
        let Some(t) = self.get(id.job).filter(|t| t.held) else { return };
        let scheduler = t.scheduler;
        self.give(scheduler, crate::policy::Input::Progress { job_id: id.job, attempt: id.attempt });
    }

    /// A running job tells how far it is, unless the machine stands.
    pub(super) fn progressed(&mut self, id: AttemptId, machine: u32) {
        let worker = &self.workers[machine as usize];
        if worker.share(id).is_none() {
            return;
        }
        if !worker.stands(self.now) && !self.deaf(id, machine) {
            let way = self.way();
            self.at(self.now + way, Ev::Note { id });
        }
        let gap = millis(self.scenario.workers.progress_ms.0);
        self.at(self.now + gap, Ev::Progress { id, worker: machine });
    }

    /// The load that a probe is shown.
    pub(super) fn report(&mut self, machine: u32) -> Load {
        let seen = self.now.saturating_sub(self.report_lag);
        let reports = &self.machines[machine as usize].reports;
        let shown = reports.iter().rev().find(|(at, _)| *at <= seen).or(reports.front());
        let mut load = shown.map_or_else(|| self.workers[machine as usize].load(), |(_, load)| *load);
        let noise = self.scenario.workers.noise.0;
        if noise > 0.0 {
            let slots = self.workers[machine as usize].make.slots;
            load.free_slots = (load.free_slots + noise * slots * random::normal(&mut self.reports)).max(0.0);
        }
        load
    }

    pub(super) fn refresh(&mut self, machine: u32) {
        let worker = &self.workers[machine as usize];
        if !worker.stands(self.now) {
            let reports = &mut self.machines[machine as usize].reports;
            reports.push_back((self.now, worker.load()));
            if reports.len() > 16 {
                reports.pop_front();
            }
        }
        let gap = random::between(&mut self.reports, self.scenario.workers.refresh_ms.both()).max(1.0);
        // The last refresh needs no successor.
        if in_seconds(self.now) < self.scenario.duration_s.0 + 60.0 {
            self.at(self.now + millis(gap), Ev::Refresh { worker: machine });
        }
    }

    // ---- processes that come and go ----------------------------------------------------------------------

    /// A machine's process ends, or the machine vanishes: what it held is lost.
    pub(super) fn stop(&mut self, machine: u32, up: Up) {
        let lost = {
            let worker = &mut self.workers[machine as usize];
            let lost = worker.crash(self.now);
            worker.up = up;
            lost
        };
        let m = &mut self.machines[machine as usize];
        m.silent = (up == Up::Vanished).then_some(m.life);
        m.life += 1;
        m.pressure.clear();
        m.reports.clear();
        for (id, work) in lost {
            self.stats.counts.wasted_s += work / 1e9;
            self.archive.forget(id);
            self.note(Record::Dropped { job: id.job, attempt: id.attempt, worker: machine });
            if up == Up::Vanished {
                self.machines[machine as usize].ghosts.push(id);
            } else {
                let way = self.way();
                self.at(self.now + way, Ev::Back { id, ending: Ending::Reset });
            }
        }
    }

    /// A process starts on a machine, cold; what was out to it when it vanished is reset.
    pub(super) fn start(&mut self, machine: u32) {
        let worker = &mut self.workers[machine as usize];
        worker.up = Up::Serving;
        (worker.started, worker.hung, worker.neighbour) = (Some(self.now), false, 0.0);
        let load = worker.load();
        let m = &mut self.machines[machine as usize];
        m.life += 1;
        m.fell = false;
        if self.scenario.workers.refresh_ms.1 .0 > 0.0 {
            m.reports.push_back((self.now, load));
        }
        self.note(Record::Up { worker: machine });
        for id in std::mem::take(&mut self.machines[machine as usize].ghosts) {
            let way = self.way();
            self.at(self.now + way, Ev::Back { id, ending: Ending::Reset });
        }
    }

    /// A machine takes nothing new, and hands back what has not started.
    pub(super) fn drain(&mut self, machine: u32) {
        let worker = &mut self.workers[machine as usize];
        worker.up = Up::Draining;
        let back = if self.scenario.workers.drain_returns { worker.hand_back() } else { Vec::new() };
        for id in back {
            self.note(Record::Dropped { job: id.job, attempt: id.attempt, worker: machine });
            let way = self.way();
            self.at(self.now + way, Ev::Back { id, ending: Ending::TurnedAway });
        }
    }
}
