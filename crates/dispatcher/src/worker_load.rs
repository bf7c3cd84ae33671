//! The load of one worker: its last report, less what this dispatcher has sent it since.

use std::collections::VecDeque;

use crate::event::LoadReport;
use crate::time::Nanos;

/// A load report may be this old (ns): own sends and ends younger than that are not in it yet.
pub(crate) const MAX_REPORT_AGE: Nanos = 1_000_000_000;

/// Times its even share of the reported slots that a dispatcher with much traffic takes: not all of them want
/// slots of the same worker at once.
const HIGH_TRAFFIC_FACTOR: f64 = 2.0;
/// Jobs for each slot that end before the next report and whose slots count as free too, for a dispatcher
/// with little traffic.
const COMPLETIONS_PER_SLOT: f64 = 4.0;
/// The same where the warm workers report none of their slots free: a key that is passed on to another worker
/// must be fetched there.
const COMPLETIONS_PER_SLOT_WHEN_BUSY: f64 = 10.0;
/// Share of free slots below which the fleet counts as busy.
const BUSY_FREE_SHARE: f64 = 0.25;
/// What the jobs of all dispatchers ask of a worker in a report's age is 1/OVERBOOKING of what the report
/// leaves them, or less.
const OVERBOOKING: f64 = 1.5;
/// The weight of one report in the mean share of free slots.
const FREE_SHARE_WEIGHT: f64 = 0.025;

/// What this dispatcher counts as its own of the free slots that a worker reports to all.
pub(crate) struct ReportShare {
    /// Jobs for each slot that end before the next report, and count as free too.
    completions_per_slot: f64,
    /// Slots of a usual worker of the kind: this one may have been seen only while it was busy.
    typical_slots: f64,
    /// The share of the free slots, from 0 to 1 or, for a dispatcher with little traffic, above.
    share: f64,
    /// A random number from 0 to 1 by which a fraction of a slot is rounded, so that the shares of all
    /// dispatchers add up. `None` keeps the fraction, for each job to draw.
    rounding: Option<f64>,
}

/// What the share of a dispatcher with little traffic follows from.
pub(crate) struct LowTrafficInputs {
    /// Jobs that the dispatcher sends a worker in a report's age.
    pub(crate) jobs_per_report: f64,
    /// What jobs ask of the worker, as a share of what they ask of a usual one.
    pub(crate) relative_demand: f64,
    /// The worker's slow start weight; `None` if it is warm.
    pub(crate) slow_start_weight: Option<f64>,
    /// Share of the slots that warm workers report free.
    pub(crate) fleet_free_share: f64,
}

impl ReportShare {
    /// Returns the share of a dispatcher with much traffic, rounded by a random number from 0 to 1: all
    /// dispatchers count the same free slots.
    pub(crate) fn for_high_traffic(dispatchers: u32, typical_slots: f64, random: f64) -> ReportShare {
        let share = (HIGH_TRAFFIC_FACTOR / f64::from(dispatchers)).min(1.0);
        ReportShare { completions_per_slot: 0.0, typical_slots, share, rounding: Some(random) }
    }

    /// Returns the share of a dispatcher with little traffic. Where each sends a worker less than one job in
    /// a report's age, that much fewer of them want its slots. What a warming worker completes follows its
    /// slow start weight; what jobs ask of it follows that of the other workers too.
    pub(crate) fn for_low_traffic(
        dispatchers: u32,
        typical_slots: f64,
        inputs: &LowTrafficInputs,
    ) -> ReportShare {
        let busy = match inputs.slow_start_weight {
            Some(_) => 0.0,
            None => 1.0 - (inputs.fleet_free_share / BUSY_FREE_SHARE).min(1.0),
        };
        let completions_per_slot = (COMPLETIONS_PER_SLOT
            + busy * (COMPLETIONS_PER_SLOT_WHEN_BUSY - COMPLETIONS_PER_SLOT))
            * inputs.slow_start_weight.unwrap_or(1.0);
        let even_share = 1.0 / f64::from(dispatchers) / inputs.jobs_per_report.min(1.0);
        let share = even_share / OVERBOOKING / inputs.relative_demand;
        ReportShare { completions_per_slot, typical_slots, share, rounding: None }
    }

    /// Returns the slots of a usual worker of the kind.
    pub(crate) fn typical_slots(&self) -> f64 {
        self.typical_slots
    }
}

/// A change of a worker's load by an own send (negative) or end (positive).
struct LoadChange {
    at: Nanos,
    slots: f64,
    memory: f64,
}

/// Slots and memory of a worker, as far as known.
pub(crate) struct WorkerLoad {
    free_slots: Option<f64>,
    slots_for_others: f64,
    free_memory: Option<f64>,
    max_free_memory: f64,
    known_slots: f64,
    /// Own sends and ends of the last `MAX_REPORT_AGE`.
    recent_changes: VecDeque<LoadChange>,
}

impl Default for WorkerLoad {
    fn default() -> Self {
        WorkerLoad {
            free_slots: None,
            slots_for_others: 0.0,
            free_memory: None,
            max_free_memory: 0.0,
            known_slots: 1.0,
            recent_changes: VecDeque::new(),
        }
    }
}

impl WorkerLoad {
    /// Returns the reported free slots less own sends since; `None` before the first report after a start.
    pub(crate) fn free_slots(&self) -> Option<f64> {
        self.free_slots
    }

    /// Returns the reported free slots that are left to the other dispatchers.
    pub(crate) fn slots_for_others(&self) -> f64 {
        self.slots_for_others
    }

    /// Returns the reported free memory less own sends since; `None` where none is reported.
    pub(crate) fn free_memory(&self) -> Option<f64> {
        self.free_memory
    }

    /// Returns the most free memory that the worker was seen with.
    pub(crate) fn max_free_memory(&self) -> f64 {
        self.max_free_memory
    }

    /// Returns the most free slots that the worker was seen with: its size, as far as known.
    pub(crate) fn known_slots(&self) -> f64 {
        self.known_slots
    }

    /// Takes all known slots for free, where no report can be had.
    pub(crate) fn assume_idle(&mut self) {
        self.free_slots = Some(self.known_slots);
    }

    /// Takes the slots and memory of an own job that is sent.
    pub(crate) fn job_sent(&mut self, now: Nanos, slots: f64, memory: f64) {
        self.free_slots = self.free_slots.map(|free| free - slots);
        self.free_memory = self.free_memory.map(|free| free - memory);
        self.record_change(now, -slots, -memory);
    }

    /// Returns the slots and memory of an own job that has ended.
    pub(crate) fn job_ended(&mut self, now: Nanos, slots: f64, memory: f64) {
        self.free_slots = self.free_slots.map(|free| (free + slots).min(self.known_slots.max(free)));
        self.free_memory = self.free_memory.map(|free| (free + memory).min(self.max_free_memory.max(free)));
        self.record_change(now, slots, memory);
    }

    /// Remembers a change for as long as reports may not show it.
    fn record_change(&mut self, now: Nanos, slots: f64, memory: f64) {
        while self.recent_changes.front().is_some_and(|change| change.at + MAX_REPORT_AGE < now) {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(LoadChange { at: now, slots, memory });
    }

    /// Takes this dispatcher's share of a report. Impossible figures count as missing.
    pub(crate) fn apply_report(&mut self, now: Nanos, report: &LoadReport, share: &ReportShare) {
        self.record_change(now, 0.0, 0.0);
        let unreported_slots: f64 = self.recent_changes.iter().map(|change| change.slots).sum();
        let unreported_memory: f64 = self.recent_changes.iter().map(|change| change.memory).sum();
        if let Some(free) = report.valid_free_slots() {
            self.known_slots = self.known_slots.max(free);
            // Jobs in the worker's queue take the slots that come free first.
            let queued = report.valid_queued();
            let slots = self.known_slots.max(share.typical_slots);
            let own = (free - queued + share.completions_per_slot * slots) * share.share;
            let own = share.rounding.map_or(own, |random| (own + random).floor());
            self.slots_for_others = free - queued - own;
            self.free_slots = Some(own + unreported_slots);
        } else if self.free_slots.is_none() {
            self.free_slots = Some(self.known_slots);
        }
        self.free_memory = report.free_memory.filter(|memory| memory.is_finite());
        self.max_free_memory = self.free_memory.map_or(0.0, |free| self.max_free_memory.max(free));
        self.free_memory = self.free_memory.map(|free| free + unreported_memory);
    }
}

/// The mean share of free slots over the reports of warm workers, from 0 to 1; 1 before the first report.
pub(crate) struct FleetFreeShare(f64);

impl Default for FleetFreeShare {
    fn default() -> Self {
        FleetFreeShare(1.0)
    }
}

impl FleetFreeShare {
    /// Takes in the report of a worker with so many slots. Jobs in its queue take the free ones.
    pub(crate) fn record(&mut self, report: &LoadReport, slots: f64) {
        let free = (report.valid_free_slots().unwrap_or(0.0) - report.valid_queued()) / slots.max(1.0);
        self.0 += FREE_SHARE_WEIGHT * (free.clamp(0.0, 1.0) - self.0);
    }

    /// Returns the mean share.
    pub(crate) fn share(&self) -> f64 {
        self.0
    }
}
