//! The load of one worker: its last report, less the jobs that this dispatcher has sent it since.

use std::collections::VecDeque;

use crate::event::LoadReport;
use crate::time::Nanos;

/// Longest age (ns) of a load report. Own sends and ends within this time may be missing from it.
pub(crate) const MAX_REPORT_AGE: Nanos = 1_000_000_000;

/// Multiple of its even share of the reported slots that a dispatcher with high traffic uses. Not all
/// dispatchers need slots of the same worker at the same time.
const HIGH_TRAFFIC_FACTOR: f64 = 2.0;
/// Jobs for each slot that end before the next report. A dispatcher with low traffic counts the slots of
/// these jobs as free too.
const COMPLETIONS_PER_SLOT: f64 = 4.0;
/// The same where the warm workers report no free slots, because the data of a key that moves to another
/// worker must be fetched there.
const COMPLETIONS_PER_SLOT_WHEN_BUSY: f64 = 10.0;
/// Share of free slots below which the fleet counts as busy.
const BUSY_FREE_SHARE: f64 = 0.25;
/// During the age of a report, the jobs of all dispatchers request at most 1/`DEMAND_MARGIN` of the slots
/// that the report leaves them.
const DEMAND_MARGIN: f64 = 1.5;
/// Weight of a new report in the moving average of the share of free slots.
const FREE_SHARE_WEIGHT: f64 = 0.025;

/// This dispatcher's share of the free slots that a worker reports to all dispatchers.
pub(crate) struct ReportShare {
    /// Jobs for each slot that end before the next report, and whose slots count as free too.
    completions_per_slot: f64,
    /// Mean slots of the workers of the kind. This worker may have been seen only while it was busy.
    typical_slots: f64,
    /// Share of the free slots, from 0 to 1. For a dispatcher with low traffic, the share may be above 1.
    share: f64,
    /// Random number from 0 to 1 that decides whether a fraction of a slot is rounded up or down, so that the
    /// shares of all dispatchers add up. With `None` the fraction stays, and each job draws whether it may
    /// use it.
    rounding: Option<f64>,
}

/// The inputs to the share of a dispatcher with low traffic.
pub(crate) struct LowTrafficInputs {
    /// Jobs that the dispatcher sends a worker during the age of a report.
    pub(crate) jobs_per_report: f64,
    /// Demand of jobs for the worker, relative to the demand for an average worker.
    pub(crate) relative_demand: f64,
    /// The worker's slow start weight; `None` if it is warm.
    pub(crate) slow_start_weight: Option<f64>,
    /// Mean share of their slots that warm workers report as free.
    pub(crate) fleet_free_share: f64,
}

impl ReportShare {
    /// Returns the share of a dispatcher with high traffic. All dispatchers count the same free slots, so
    /// `random`, a number from 0 to 1, decides whether a fraction of a slot is rounded up or down.
    pub(crate) fn for_high_traffic(dispatchers: u32, typical_slots: f64, random: f64) -> ReportShare {
        let share = (HIGH_TRAFFIC_FACTOR / f64::from(dispatchers)).min(1.0);
        ReportShare { completions_per_slot: 0.0, typical_slots, share, rounding: Some(random) }
    }

    /// Returns the share of a dispatcher with low traffic. If each dispatcher sends a worker less than one
    /// job during the age of a report, correspondingly fewer dispatchers need its slots. The completions of a
    /// warming worker are proportional to its slow start weight, and the demand for it also depends on the
    /// weights of the other workers.
    pub(crate) fn for_low_traffic(
        dispatchers: u32,
        typical_slots: f64,
        inputs: &LowTrafficInputs,
    ) -> ReportShare {
        let busy_fraction = match inputs.slow_start_weight {
            Some(_) => 0.0,
            None => 1.0 - (inputs.fleet_free_share / BUSY_FREE_SHARE).min(1.0),
        };
        let completions_per_slot = (COMPLETIONS_PER_SLOT
            + busy_fraction * (COMPLETIONS_PER_SLOT_WHEN_BUSY - COMPLETIONS_PER_SLOT))
            * inputs.slow_start_weight.unwrap_or(1.0);
        let even_share = 1.0 / f64::from(dispatchers) / inputs.jobs_per_report.min(1.0);
        let share = even_share / DEMAND_MARGIN / inputs.relative_demand;
        ReportShare { completions_per_slot, typical_slots, share, rounding: None }
    }

    /// Returns the mean slots of the workers of the kind.
    pub(crate) fn typical_slots(&self) -> f64 {
        self.typical_slots
    }
}

/// A change of a worker's load by the send (negative) or the end (positive) of an own job.
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
    /// Sends and ends of own jobs during the last `MAX_REPORT_AGE`.
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
    /// Returns the reported free slots less own sends since the report; `None` before the first report after
    /// a start.
    pub(crate) fn free_slots(&self) -> Option<f64> {
        self.free_slots
    }

    /// Returns the reported free slots that are left to the other dispatchers.
    pub(crate) fn slots_for_others(&self) -> f64 {
        self.slots_for_others
    }

    /// Returns the reported free memory less own sends since the report; `None` if none is reported.
    pub(crate) fn free_memory(&self) -> Option<f64> {
        self.free_memory
    }

    /// Returns the most free memory that the worker was seen with.
    pub(crate) fn max_free_memory(&self) -> f64 {
        self.max_free_memory
    }

    /// Returns the most free slots that the worker was seen with, which is its size as far as known.
    pub(crate) fn known_slots(&self) -> f64 {
        self.known_slots
    }

    /// Treats all known slots as free, where workers cannot be probed.
    pub(crate) fn assume_idle(&mut self) {
        self.free_slots = Some(self.known_slots);
    }

    /// Subtracts the slots and memory of an own job that is sent.
    pub(crate) fn job_sent(&mut self, now: Nanos, slots: f64, memory: f64) {
        self.free_slots = self.free_slots.map(|free| free - slots);
        self.free_memory = self.free_memory.map(|free| free - memory);
        self.record_change(now, -slots, -memory);
    }

    /// Adds back the slots and memory of an own job that has ended.
    pub(crate) fn job_ended(&mut self, now: Nanos, slots: f64, memory: f64) {
        self.free_slots = self.free_slots.map(|free| (free + slots).min(self.known_slots.max(free)));
        self.free_memory = self.free_memory.map(|free| (free + memory).min(self.max_free_memory.max(free)));
        self.record_change(now, slots, memory);
    }

    /// Records a change for as long as reports may not include it.
    fn record_change(&mut self, now: Nanos, slots: f64, memory: f64) {
        while self.recent_changes.front().is_some_and(|change| change.at + MAX_REPORT_AGE < now) {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(LoadChange { at: now, slots, memory });
    }

    /// Applies this dispatcher's share of a report. Invalid values count as missing.
    pub(crate) fn apply_report(&mut self, now: Nanos, report: &LoadReport, share: &ReportShare) {
        self.record_change(now, 0.0, 0.0);
        let unreported_slots: f64 = self.recent_changes.iter().map(|change| change.slots).sum();
        let unreported_memory: f64 = self.recent_changes.iter().map(|change| change.memory).sum();
        if let Some(free) = report.valid_free_slots() {
            self.known_slots = self.known_slots.max(free);
            // Jobs in the worker's queue are the first to use the free slots.
            let queued = report.valid_queued();
            let slots = self.known_slots.max(share.typical_slots);
            let own_slots = (free - queued + share.completions_per_slot * slots) * share.share;
            let own_slots = share.rounding.map_or(own_slots, |random| (own_slots + random).floor());
            self.slots_for_others = free - queued - own_slots;
            self.free_slots = Some(own_slots + unreported_slots);
        } else if self.free_slots.is_none() {
            self.free_slots = Some(self.known_slots);
        }
        self.free_memory = report.free_memory.filter(|memory| memory.is_finite());
        self.max_free_memory = self.free_memory.map_or(0.0, |free| self.max_free_memory.max(free));
        self.free_memory = self.free_memory.map(|free| free + unreported_memory);
    }
}

/// Moving average of the share of free slots that warm workers report, from 0 to 1; 1 before the first
/// report.
pub(crate) struct FleetFreeShare(f64);

impl Default for FleetFreeShare {
    fn default() -> Self {
        FleetFreeShare(1.0)
    }
}

impl FleetFreeShare {
    /// Records the report of a worker that has `slots` slots. Jobs in its queue use the free slots.
    pub(crate) fn record(&mut self, report: &LoadReport, slots: f64) {
        let free = (report.valid_free_slots().unwrap_or(0.0) - report.valid_queued()) / slots.max(1.0);
        self.0 += FREE_SHARE_WEIGHT * (free.clamp(0.0, 1.0) - self.0);
    }

    /// Returns the mean share.
    pub(crate) fn share(&self) -> f64 {
        self.0
    }
}
