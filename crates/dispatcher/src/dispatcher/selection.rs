//! Which worker a request is sent to.

use std::collections::BTreeSet;

use super::{Dispatcher, LOW_TRAFFIC_REPORT_AGE};
use crate::hash_ring::{mix, shuffle_first};
use crate::ids::RequestId;
use crate::job::Job;
use crate::parameters::{K, K_WITH_AFFINITY};
use crate::settings::Idempotency;
use crate::slow_start_admission::WarmingSample;
use crate::time::{Nanos, NANOS_PER_SECOND};
use crate::traffic::{DEFAULT_SLOTS, TYPICAL_UTILIZATION};
use crate::worker::Worker;
use crate::worker_entry::WorkerEntry;
use crate::worker_load::MAX_REPORT_AGE;

/// Workers that a key has affinity to, where traffic is not low.
const AFFINITY_WORKERS: usize = 4;
/// Workers next to a key on the ring from which those are taken, by a hash of both.
const AFFINITY_NEIGHBOURS: usize = 32;
/// Workers next to a key on the ring that are ranked where traffic is low.
const LOW_TRAFFIC_NEIGHBOURS: usize = 128;
/// Candidates of a job where traffic is low, beside the first ones of a key, which are as many as its traffic
/// fills. Warming ones do not count: they have capacity for few jobs.
const CANDIDATES: usize = 5;
/// The same, warming ones included.
const MAX_CANDIDATES: usize = 16;
/// Weight (in requests) of the prior that a key is rare.
const RARE_KEY_WEIGHT: f64 = 20.0;
/// Random draws of a worker that may be open before all of them are looked at ...
const PICK_DRAWS: usize = 8;
/// ... where there are more than so many. Of thousands most that may be open are, and a few draws find one as
/// evenly as a draw among all.
const FEW_WORKERS: usize = 64;
/// While the list may be stale, a worker is open for so long (ns) after a probe confirmed that it accepts
/// work.
const CONFIRMATION_VALIDITY: Nanos = MAX_REPORT_AGE;
/// Share of a worker's slots left free for work that is in time and within its tenant's quota.
const RESERVED_SLOT_SHARE: f64 = 0.5;

impl Dispatcher {
    /// Returns whether another attempt of the request may be started.
    pub(super) fn may_be_attempted(&self, job: &Job) -> bool {
        let max_attempts = self.settings.max_attempts.min(self.active_rules.max_attempts());
        let may_have_run = job.first_possible_run().is_some();
        let must_not_repeat = self.class_of(job).idempotency == Idempotency::NonIdempotent;
        !job.is_finished
            && !job.is_streaming
            && self.now < job.deadline.min(self.send_by(job))
            && job.attempts.len() < max_attempts as usize
            && (self.settings.allows_hedging || !job.has_attempt_in_flight())
            && !(must_not_repeat && may_have_run)
    }

    /// Returns until when a further attempt of the request may be written.
    pub(super) fn send_by(&self, job: &Job) -> Nanos {
        let Some(first) = job.first_possible_run() else { return Nanos::MAX };
        self.class_of(job).resend_deadline(first, self.settings.connect_timeout)
    }

    /// Returns whether a worker is open for the job.
    pub(super) fn is_open(&self, index: usize, job: &Job) -> bool {
        self.has_capacity_for(index, job) && self.slow_start_admits(index, job)
    }

    /// Returns whether a worker is open for the job, whatever it may be sent while it is warming up.
    pub(super) fn has_capacity_for(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = self.workers.get(index) else { return false };
        worker.is_ready
            && !worker.is_ejected()
            && self.covers_demand(worker, job)
            && self.is_suitable(worker, job)
            && (job.candidates.is_empty() || job.candidates.contains(&index))
            && !self.is_silent(worker)
            && self.is_confirmed(worker)
    }

    /// Returns whether the worker's free slots and memory cover the job.
    fn covers_demand(&self, worker: &Worker, job: &Job) -> bool {
        let Some(free) = worker.load.free_slots() else { return false };
        let slots = job.request.slots;
        if free + self.queue_allowance(worker, job) < slots {
            return false;
        }
        // Work that is late already, or over its quota, leaves slots for what can still be answered in time.
        let has_lesser_claim = job.is_over_quota() || self.now >= job.hold_until;
        let reserved = RESERVED_SLOT_SHARE * worker.load.known_slots();
        if has_lesser_claim && free + worker.load.slots_for_others() < slots + reserved {
            return false;
        }
        worker.load.free_memory().is_none_or(|free| free >= job.request.memory)
    }

    /// Returns the slots that the job may exceed the free ones by: K, or what takes its place.
    fn queue_allowance(&self, worker: &Worker, job: &Job) -> f64 {
        if self.has_low_traffic() {
            return sampling_allowance(worker, job);
        }
        match job.request.key {
            Some(_) => K_WITH_AFFINITY,
            None => K,
        }
    }

    /// Returns whether the worker may run the job at all, by class, rules and earlier attempts.
    fn is_suitable(&self, worker: &Worker, job: &Job) -> bool {
        self.class_of(job).required_kind.is_none_or(|kind| kind == worker.entry.kind)
            && self.active_rules.allows(worker.entry.address_hash, job.request.tenant, self.now)
            && self.deduplicates_earlier_attempts(worker, job)
    }

    /// Returns whether the worker's last report is fresh enough to send by.
    fn is_confirmed(&self, worker: &Worker) -> bool {
        let report_is_old =
            self.has_low_traffic() && worker.probe.is_older_than(LOW_TRAFFIC_REPORT_AGE, self.now);
        let status_is_unknown =
            self.workers.list_is_stale() && !worker.probe.is_confirmed(CONFIRMATION_VALIDITY, self.now);
        !report_is_old && !status_is_unknown
    }

    /// Returns whether the worker drops the repeats of all earlier attempts that may have run. Both the entry
    /// of the earlier worker at the time of the attempt and its present one count, for either may be out of
    /// date.
    pub(super) fn deduplicates_earlier_attempts(&self, worker: &Worker, job: &Job) -> bool {
        let class = self.class_of(job);
        let drops_repeats_of = |earlier: &WorkerEntry| class.deduplicates(earlier, &worker.entry);
        job.attempts.iter().filter(|attempt| attempt.may_have_run).all(|attempt| {
            let present = self.workers.get(attempt.worker);
            drops_repeats_of(&attempt.entry)
                && present.is_some_and(|earlier| drops_repeats_of(&earlier.entry))
        })
    }

    /// Returns an open worker for the job, at random among those that suit it best.
    pub(super) fn pick_worker(&mut self, id: RequestId) -> Option<usize> {
        let job = self.jobs.get(&id)?;
        if !self.may_be_attempted(job) {
            return None;
        }
        if self.has_low_traffic() {
            return self.first_open_candidate(id);
        }
        if !job.candidates.is_empty() {
            return job.candidates.iter().copied().find(|index| self.is_open(*index, job));
        }
        for set in self.workers.open_sets() {
            let members = set.members();
            let draws = if members.len() > FEW_WORKERS { PICK_DRAWS } else { 0 };
            for _ in 0..draws {
                let drawn = members[self.rng.usize(0..members.len())];
                if self.is_open(drawn, job) {
                    return Some(drawn);
                }
            }
            let mut open: Vec<usize> =
                members.iter().copied().filter(|index| self.is_open(*index, job)).collect();
            if !open.is_empty() {
                open.sort_unstable();
                return Some(open[self.rng.usize(0..open.len())]);
            }
        }
        None
    }

    /// Returns the workers that a key has affinity to, in the order of preference. All dispatchers agree on
    /// them.
    pub(super) fn affinity_workers(&self, key: u64, tenant: Option<u32>) -> Vec<usize> {
        let weight = |index: usize| {
            let worker = self.workers.get(index)?;
            let is_allowed = self.active_rules.allows(worker.entry.address_hash, tenant, self.now);
            is_allowed.then_some(1.0)
        };
        let mut ranked = self.workers.ready_ring().rank(key, AFFINITY_NEIGHBOURS, weight);
        ranked.truncate(AFFINITY_WORKERS);
        ranked
    }

    /// Returns the candidates of a job where traffic is low, in the order of preference: those that its key's
    /// traffic fills, shuffled, then the next that rank highest for the key, or for a random one. Where
    /// `cell` is given, only its workers are candidates.
    pub(super) fn candidates(
        &mut self,
        key: Option<u64>,
        class: u32,
        cell: Option<u32>,
        tenant: Option<u32>,
    ) -> Vec<usize> {
        let required_weight = self.workers_filled_by(key, class);
        let key = key.unwrap_or_else(|| self.rng.u64(..));
        let mut ranked = self.rank_candidates(key, cell, tenant);
        let weights: Vec<f64> = ranked.iter().filter_map(|index| self.traffic_weight(*index)).collect();
        let warming: BTreeSet<usize> =
            ranked.iter().copied().filter(|index| self.is_warming_up(*index)).collect();
        let warming_weight: f64 = warming.iter().filter_map(|index| self.traffic_weight(*index)).sum();
        let (total_weight, ranked_count) = (weights.iter().sum::<f64>(), ranked.len().max(1) as f64);
        if cell.is_none() {
            let scale = self.workers.ready_count() as f64 / ranked_count;
            let sample = WarmingSample { warming_weight, total_weight, scale, candidates: CANDIDATES };
            self.slow_start_admission.update(&sample);
        }
        self.mean_traffic_weight = total_weight / ranked_count;
        let first = shuffle_first(&mut ranked, &weights, required_weight, || self.rng.f64());
        // Warming workers have capacity for few jobs: there are as many others as if there were none.
        let mut warm_count = 0;
        ranked.retain(|index| {
            warm_count += usize::from(!warming.contains(index));
            warm_count < first + CANDIDATES
        });
        ranked.truncate(first + MAX_CANDIDATES);
        ranked
    }

    /// Returns how many usual workers the traffic of a key fills, over all dispatchers.
    fn workers_filled_by(&self, key: Option<u64>, class: u32) -> f64 {
        let share = key.map_or(0.0, |key| self.key_frequency.share(key, RARE_KEY_WEIGHT));
        let jobs_per_s = share * self.arrival_rate.per_s() * f64::from(self.settings.dispatchers);
        let mean_run_ns = self.classes[class as usize].mean_run_ns();
        jobs_per_s * mean_run_ns / NANOS_PER_SECOND / DEFAULT_SLOTS / TYPICAL_UTILIZATION
    }

    /// Ranks the workers that a job may go to, by its key and their traffic weights.
    fn rank_candidates(&self, key: u64, cell: Option<u32>, tenant: Option<u32>) -> Vec<usize> {
        let weight = |index: usize| {
            let entry = &self.workers.get(index)?.entry;
            let is_in_cell = cell.is_none_or(|cell| entry.cell == cell);
            if !is_in_cell || !self.active_rules.allows(entry.address_hash, tenant, self.now) {
                return None;
            }
            self.traffic_weight(index)
        };
        self.workers.ready_ring().rank(key, LOW_TRAFFIC_NEIGHBOURS, weight)
    }

    /// Returns the job's first open candidate. Those before it are probed first: sent past one, a key would
    /// be fetched at one more worker.
    pub(super) fn first_open_candidate(&mut self, id: RequestId) -> Option<usize> {
        for position in 0.. {
            let index = *self.jobs.get(&id)?.candidates.get(position)?;
            self.draw_slow_start(index, id);
            let job = self.jobs.get(&id)?;
            if self.is_open(index, job) {
                return Some(index);
            }
            if self.awaits_report(index, job) {
                return None;
            }
        }
        None
    }
}

/// Returns a number from 0 to 1: what a job finds beside the fraction of a slot that is left to its
/// dispatcher.
///
/// It is the same at all dispatchers for one key and worker, so that a worker sheds whole keys: shed job by
/// job, each key would be fetched at two workers, and push others out of both.
fn sampling_allowance(worker: &Worker, job: &Job) -> f64 {
    let drawn = mix(job.request.key.unwrap_or(job.arrival_number) ^ mix(!worker.entry.address_hash));
    drawn as f64 / u64::MAX as f64
}
