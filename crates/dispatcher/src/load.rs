//! What is known of one worker: its load by its last report, less what was sent to it since, and its signs of
//! life.

use std::collections::VecDeque;

use crate::interface::{LoadReport, Nanos, Settings};

/// What of a report's free slots a dispatcher counts as its own.
pub struct Part {
    /// Jobs for each slot that end before the next report, and count as free too.
    pub run_off: f64,
    /// Slots of workers like it: it may have been seen only while it was busy.
    pub size: f64,
    /// Its part of that.
    pub part: f64,
    /// From 0 to 1, drawn: a part of a slot is rounded up as often as it is large, so that all the parts
    /// together come to the whole. `None` keeps the part of a slot, for each job to draw.
    pub luck: Option<f64>,
}

/// Times its even part of the reported slots that one of a few dispatchers takes.
const PART: f64 = 2.0;
/// Of a report, all low-traffic dispatchers together take the free slots, and for each slot RUN_OFF jobs that end
/// before the next report; what jobs ask of a worker in that time is 1/OVERBOOKED of that or less. Where warm
/// workers report less than ROOM of their slots free it goes up to RUN_OFF_BUSY: keys passed on cost fetches.
const RUN_OFF: f64 = 4.0;
const RUN_OFF_BUSY: f64 = 10.0;
const ROOM: f64 = 0.25;
const OVERBOOKED: f64 = 1.5;

impl Part {
    /// Every dispatcher counts the same free slots: each takes its part, rounded by a random number from 0 to 1.
    pub fn of_few(dispatchers: u32, size: f64, random: f64) -> Part {
        let part = (PART / f64::from(dispatchers)).min(1.0);
        Part { run_off: 0.0, size, part, luck: Some(random) }
    }

    /// Where each sends a worker less than one job in a report's age (it wants to send it `wanted`), that much fewer of
    /// them want its slots. What a cold worker ends is by how warm it is; what jobs ask of it, by how warm the others are
    /// too. `room` is the part of the slots that warm workers report free.
    pub fn of_many(
        dispatchers: u32,
        size: f64,
        wanted: f64,
        asked: f64,
        warm: Option<f64>,
        room: f64,
    ) -> Part {
        let busy = if warm.is_some() { 0.0 } else { 1.0 - (room / ROOM).min(1.0) };
        let run_off = (RUN_OFF + busy * (RUN_OFF_BUSY - RUN_OFF)) * warm.unwrap_or(1.0);
        let even = 1.0 / f64::from(dispatchers) / wanted.min(1.0);
        Part { run_off, size, part: even / OVERBOOKED / asked, luck: None }
    }
}

/// Slots and memory of a worker, as far as known.
pub struct Load {
    /// Last reported free slots less own sends since; `None` before the first report after a start.
    pub free: Option<f64>,
    /// Reported free slots that were left to the other dispatchers.
    pub others: f64,
    /// Last reported free memory, counted on like the slots, and the most that it was ever seen with.
    pub memory: Option<f64>,
    pub room: f64,
    /// Most free slots it was ever seen with: its size, as far as known.
    pub size: f64,
    /// Own sends (-) and ends (+) of the last REPORT_AGE, in slots and memory.
    recent: VecDeque<(Nanos, f64, f64)>,
}

impl Default for Load {
    fn default() -> Self {
        Load { free: None, others: 0.0, memory: None, room: 0.0, size: 1.0, recent: VecDeque::new() }
    }
}

impl Load {
    /// A report may be this old (ns): own sends and ends younger than that are not in it yet.
    pub const REPORT_AGE: Nanos = 1_000_000_000;

    /// An own job takes its slots and memory.
    pub fn sent(&mut self, now: Nanos, slots: f64, memory: f64) {
        self.free = self.free.map(|free| free - slots);
        self.memory = self.memory.map(|free| free - memory);
        self.moved(now, -slots, -memory);
    }

    /// An own job gives them back.
    pub fn ended(&mut self, now: Nanos, slots: f64, memory: f64) {
        self.free = self.free.map(|free| (free + slots).min(self.size.max(free)));
        self.memory = self.memory.map(|free| (free + memory).min(self.room.max(free)));
        self.moved(now, slots, memory);
    }

    fn moved(&mut self, now: Nanos, slots: f64, memory: f64) {
        while self.recent.front().is_some_and(|(at, ..)| at + Self::REPORT_AGE < now) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, slots, memory));
    }

    /// Takes the own part of a report. Figures that cannot be count as not told.
    pub fn report(&mut self, now: Nanos, report: &LoadReport, part: &Part) {
        self.moved(now, 0.0, 0.0);
        let unseen: f64 = self.recent.iter().map(|(_, slots, _)| slots).sum();
        let unseen_memory: f64 = self.recent.iter().map(|(.., memory)| memory).sum();
        let sound = |figure: Option<f64>| figure.filter(|f| f.is_finite() && *f >= 0.0);
        if let Some(free) = sound(report.free_slots) {
            self.size = self.size.max(free);
            // What waits in its queue will take the slots that come free first.
            let queued = sound(report.queued).unwrap_or(0.0);
            let own = (free - queued + part.run_off * self.size.max(part.size)) * part.part;
            let own = part.luck.map_or(own, |luck| (own + luck).floor());
            self.others = free - queued - own;
            self.free = Some(own + unseen);
        } else if self.free.is_none() {
            self.free = Some(self.size);
        }
        self.memory = report.free_memory.filter(|m| m.is_finite());
        self.room = self.memory.map_or(0.0, |free| self.room.max(free));
        self.memory = self.memory.map(|free| free + unseen_memory);
    }
}

/// A worker with unheard work that tells nothing for this long (ns), beyond its usual notes, may hang.
const SILENCE: Nanos = 500_000_000;

/// Which attempts a worker has given no sign of yet, and since when it is silent.
#[derive(Default)]
pub struct Signs {
    /// When it last gave a sign of life, or was first sent what it has given none of.
    since: Option<Nanos>,
    /// How many of those there are.
    out: u32,
}

impl Signs {
    pub fn sent(&mut self, now: Nanos) {
        self.since.get_or_insert(now);
        self.out += 1;
    }

    /// An attempt is heard of no more, or for the first time; `sign` if that came from the worker.
    pub fn ended(&mut self, now: Nanos, first: bool, sign: bool) {
        self.out = self.out.saturating_sub(u32::from(first));
        if self.out == 0 {
            self.since = None;
        } else if sign {
            self.since = Some(now);
        }
    }

    /// How long a worker with work may go without a sign of life, where the longest usual run is known (ns).
    pub fn silence(settings: &Settings, longest_run: f64) -> Nanos {
        if settings.notifies_job_start {
            SILENCE
        } else if settings.progress_interval > 0 {
            settings.progress_interval + SILENCE
        } else {
            (4.0 * longest_run) as Nanos + SILENCE
        }
    }

    /// Whether it has said nothing of what it took for so long.
    pub fn silent(&self, now: Nanos, long: Nanos) -> bool {
        self.since.is_some_and(|since| now > since + long)
    }
}
