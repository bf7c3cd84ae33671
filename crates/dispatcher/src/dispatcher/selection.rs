//! Selection of the worker that a request is sent to.

use std::collections::BTreeSet;

use super::{Dispatcher, LOW_TRAFFIC_MAX_REPORT_AGE};
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

/// How many workers a key has affinity to, unless traffic is low.
const MAX_AFFINITY_WORKERS: usize = 4;
/// How many ring neighbours of a key are ranked by a hash of key and worker to choose its affinity workers.
const AFFINITY_NEIGHBOURS: usize = 32;
/// How many ring neighbours of a key are ranked where traffic is low.
const LOW_TRAFFIC_NEIGHBOURS: usize = 128;
/// How many warm candidates a job has where traffic is low and its key's traffic fills one worker or less.
/// Each further worker that the key fills adds one. Warming workers do not count, because they have capacity
/// for few jobs.
const WARM_CANDIDATES: usize = 5;
/// How many candidates, warming ones included, a job has at most beyond the workers that its key fills.
const MAX_FURTHER_CANDIDATES: usize = 16;
/// Weight (in requests) of the prior assumption that a key is rare.
const RARE_KEY_PRIOR_WEIGHT: f64 = 20.0;
/// Random picks of a worker before a large set of workers is scanned. Of thousands of workers that may be
/// open, most are open for a given job, and a few picks find one as evenly as a draw among all open workers.
const MAX_RANDOM_PICKS: usize = 8;
/// A set with at most this many workers is scanned without random picks.
const SMALL_SET_MAX_WORKERS: usize = 64;
/// How long (ns) a worker stays open after a probe confirmed that it accepts work, while the worker list may
/// be stale.
const CONFIRMATION_VALIDITY: Nanos = MAX_REPORT_AGE;
/// Share of a worker's slots that is reserved for requests in time and within their tenants' quotas.
const RESERVED_SLOT_SHARE: f64 = 0.5;

impl Dispatcher {
    /// Returns whether another attempt of the request may start now.
    pub(super) fn may_start_attempt(&self, job: &Job) -> bool {
        let max_attempts = self.settings.max_attempts.min(self.active_rules.max_attempts());
        let may_have_run = job.first_possible_run().is_some();
        let is_non_idempotent = self.class_of(job).idempotency == Idempotency::NonIdempotent;
        !job.is_finished
            && !job.is_streaming
            && self.now < job.deadline.min(self.resend_deadline(job))
            && job.attempts.len() < max_attempts as usize
            && (self.settings.allows_hedging || !job.has_attempt_in_flight())
            && !(is_non_idempotent && may_have_run)
    }

    /// Returns the time until which another attempt of the request may be written to a connection.
    pub(super) fn resend_deadline(&self, job: &Job) -> Nanos {
        let Some(first_sent_at) = job.first_possible_run() else { return Nanos::MAX };
        self.class_of(job).resend_deadline(first_sent_at, self.settings.connect_timeout)
    }

    /// Returns whether a worker is open for the job.
    pub(super) fn is_open(&self, worker_index: usize, job: &Job) -> bool {
        self.is_open_ignoring_slow_start(worker_index, job) && self.slow_start_admits(worker_index, job)
    }

    /// Returns whether a worker is open for the job, regardless of the limit of a slow start.
    pub(super) fn is_open_ignoring_slow_start(&self, worker_index: usize, job: &Job) -> bool {
        let Some(worker) = self.workers.get(worker_index) else { return false };
        worker.is_ready
            && !worker.is_ejected()
            && self.covers_demand(worker, job)
            && self.is_eligible(worker, job)
            && (job.candidates.is_empty() || job.candidates.contains(&worker_index))
            && !self.is_silent(worker)
            && self.has_fresh_state(worker)
    }

    /// Returns whether the worker's free slots and memory cover the job's demand.
    fn covers_demand(&self, worker: &Worker, job: &Job) -> bool {
        let Some(free) = worker.load.free_slots() else { return false };
        let slots = job.request.slots;
        if free + self.queue_allowance(worker, job) < slots {
            return false;
        }
        // Requests that are late or over quota leave slots to those that can still be answered in time.
        let has_low_priority = job.is_over_quota() || self.now >= job.hold_until;
        if has_low_priority
            && free + worker.load.slots_for_others() < slots + self.reserved_slots(worker, slots)
        {
            return false;
        }
        worker.load.free_memory().is_none_or(|free| free >= job.request.memory)
    }

    /// Returns how many slots of a worker a job of low priority leaves to others: not more than a worker has
    /// beside the job, so that an idle worker is used whatever its size.
    fn reserved_slots(&self, worker: &Worker, job_slots: f64) -> f64 {
        let known_slots = worker.load.known_slots();
        // The worker may have been seen only while it was busy.
        let size = known_slots.max(self.service_rates.typical_slots(worker.entry.kind));
        (RESERVED_SLOT_SHARE * known_slots).min((size - job_slots).max(0.0))
    }

    /// Returns by how many slots the job may exceed the free slots: K, K with affinity or, where traffic is
    /// low, the rounding allowance.
    fn queue_allowance(&self, worker: &Worker, job: &Job) -> f64 {
        if self.has_low_traffic() {
            return rounding_allowance(worker, job);
        }
        match job.request.key {
            Some(_) => K_WITH_AFFINITY,
            None => K,
        }
    }

    /// Returns whether the job's class, the rules and the earlier attempts allow the worker to run the job.
    fn is_eligible(&self, worker: &Worker, job: &Job) -> bool {
        self.class_of(job).required_kind.is_none_or(|kind| kind == worker.entry.kind)
            && self.active_rules.allows(worker.entry.address_hash, job.request.tenant, self.now)
            && self.deduplicates_earlier_attempts(worker, job)
    }

    /// Returns whether the worker's last probe is recent enough to send work by.
    fn has_fresh_state(&self, worker: &Worker) -> bool {
        let report_is_old =
            self.has_low_traffic() && worker.probe.is_older_than(LOW_TRAFFIC_MAX_REPORT_AGE, self.now);
        let status_is_unknown =
            self.workers.list_is_stale() && !worker.probe.is_confirmed(CONFIRMATION_VALIDITY, self.now);
        !report_is_old && !status_is_unknown
    }

    /// Returns whether the worker deduplicates all earlier attempts that may have run. Both the earlier
    /// worker's entry at the time of the attempt and its current entry are checked, because either may be
    /// outdated.
    pub(super) fn deduplicates_earlier_attempts(&self, worker: &Worker, job: &Job) -> bool {
        let class = self.class_of(job);
        let is_deduplicated = |earlier: &WorkerEntry| class.deduplicates(earlier, &worker.entry);
        job.attempts.iter().filter(|attempt| attempt.may_have_run).all(|attempt| {
            let current = self.workers.get(attempt.worker);
            is_deduplicated(&attempt.entry) && current.is_some_and(|earlier| is_deduplicated(&earlier.entry))
        })
    }

    /// Returns an open worker for the job: its first open candidate or, if it may go to any worker, a random
    /// one, from another zone only if none is open in the own zone.
    pub(super) fn pick_worker(&mut self, request_id: RequestId) -> Option<usize> {
        let job = self.jobs.get(&request_id)?;
        if !self.may_start_attempt(job) {
            return None;
        }
        if self.has_low_traffic() {
            return self.first_open_candidate(request_id);
        }
        if !job.candidates.is_empty() {
            return job.candidates.iter().copied().find(|index| self.is_open(*index, job));
        }
        for set in self.workers.open_sets() {
            let members = set.members();
            let random_picks = if members.len() > SMALL_SET_MAX_WORKERS { MAX_RANDOM_PICKS } else { 0 };
            for _ in 0..random_picks {
                let picked = members[self.rng.usize(0..members.len())];
                if self.is_open(picked, job) {
                    return Some(picked);
                }
            }
            let mut open_workers: Vec<usize> =
                members.iter().copied().filter(|index| self.is_open(*index, job)).collect();
            if !open_workers.is_empty() {
                open_workers.sort_unstable();
                return Some(open_workers[self.rng.usize(0..open_workers.len())]);
            }
        }
        None
    }

    /// Returns the workers that a key has affinity to, in order of preference. The result is the same at all
    /// dispatchers.
    pub(super) fn affinity_workers(&self, key: u64, tenant: Option<u32>) -> Vec<usize> {
        let weight = |worker_index: usize| {
            let worker = self.workers.get(worker_index)?;
            let is_allowed = self.active_rules.allows(worker.entry.address_hash, tenant, self.now);
            is_allowed.then_some(1.0)
        };
        let mut ranked = self.workers.ready_ring().rank(key, AFFINITY_NEIGHBOURS, weight);
        ranked.truncate(MAX_AFFINITY_WORKERS);
        ranked
    }

    /// Returns the candidates of a job where traffic is low, in order of preference: first, shuffled, as many
    /// workers as the traffic of its key fills, then the workers that rank next. Workers are ranked by the
    /// key, or by a random key if the job has none. If `cell` is given, only its workers are candidates.
    pub(super) fn select_candidates(
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
            let sample = WarmingSample { warming_weight, total_weight, scale, candidates: WARM_CANDIDATES };
            self.slow_start_admission.update(&sample);
        }
        self.mean_traffic_weight = total_weight / ranked_count;
        let shuffled_count = shuffle_first(&mut ranked, &weights, required_weight, || self.rng.f64());
        // Warming workers have capacity for few jobs, so they do not reduce the number of warm candidates.
        let mut warm_count = 0;
        ranked.retain(|index| {
            warm_count += usize::from(!warming.contains(index));
            warm_count < shuffled_count + WARM_CANDIDATES
        });
        ranked.truncate(shuffled_count + MAX_FURTHER_CANDIDATES);
        ranked
    }

    /// Returns how many typical workers the traffic of a key fills, over all dispatchers.
    fn workers_filled_by(&self, key: Option<u64>, class: u32) -> f64 {
        let share = key.map_or(0.0, |key| self.key_frequency.share(key, RARE_KEY_PRIOR_WEIGHT));
        let jobs_per_s = share * self.arrival_rate.per_s() * f64::from(self.settings.dispatchers);
        let mean_run_ns = self.class_stats[class as usize].mean_run_ns();
        jobs_per_s * mean_run_ns / NANOS_PER_SECOND / DEFAULT_SLOTS / TYPICAL_UTILIZATION
    }

    /// Ranks the workers that the rules and `cell` allow, by key and traffic weight.
    fn rank_candidates(&self, key: u64, cell: Option<u32>, tenant: Option<u32>) -> Vec<usize> {
        let weight = |worker_index: usize| {
            let entry = &self.workers.get(worker_index)?.entry;
            let is_in_cell = cell.is_none_or(|cell| entry.cell == cell);
            if !is_in_cell || !self.active_rules.allows(entry.address_hash, tenant, self.now) {
                return None;
            }
            self.traffic_weight(worker_index)
        };
        self.workers.ready_ring().rank(key, LOW_TRAFFIC_NEIGHBOURS, weight)
    }

    /// Returns the job's first open candidate, or `None` if a probe may open an earlier one. If the job
    /// skipped that candidate, its key's data would be fetched at one more worker.
    pub(super) fn first_open_candidate(&mut self, request_id: RequestId) -> Option<usize> {
        for position in 0.. {
            let worker_index = *self.jobs.get(&request_id)?.candidates.get(position)?;
            self.draw_slow_start_admission(worker_index, request_id);
            let job = self.jobs.get(&request_id)?;
            if self.is_open(worker_index, job) {
                return Some(worker_index);
            }
            if self.may_open_after_probe(worker_index, job) {
                return None;
            }
        }
        None
    }
}

/// Returns a number from 0 to 1 that is added to the fraction of a slot that a dispatcher has left, which
/// rounds the fraction up for some jobs and down for others.
///
/// The number is a hash of key and worker, the same at all dispatchers, so that a worker sheds whole keys. If
/// it shed single jobs, each key's data would be fetched at two workers and displace other keys at both.
fn rounding_allowance(worker: &Worker, job: &Job) -> f64 {
    let hash = mix(job.request.key.unwrap_or(job.arrival_number) ^ mix(!worker.entry.address_hash));
    hash as f64 / u64::MAX as f64
}
