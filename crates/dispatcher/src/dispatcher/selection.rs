//! Which worker a request is sent to.

use std::collections::BTreeSet;

use super::{Dispatcher, FRESH, K, K_KEYED, REPORT_AGE};
use crate::index::{fill, mix};
use crate::interface::*;
use crate::meters::{FILL, SLOTS};
use crate::state::{Job, Worker};
use crate::SECOND;

/// Workers that a key is kept on: the first by a hash of both, of those that stand next to the key on a ring.
const HOMES: usize = 4;
const NEIGHBOURS: usize = 32;
const AROUND: usize = 128;
/// Draws of a worker that may be open before all of them are looked at, where there are more than a few.
const DRAWS: usize = 8;
const FEW: usize = 64;
/// A sparse dispatcher's jobs look at this many workers; a key's first ones are as many as its traffic fills.
const SOUGHT: usize = 5;
/// And at no more than so many, cold ones included.
const MOST_SOUGHT: usize = 16;
/// The weight (in jobs) of the guess that a key is rare.
const DOUBT: f64 = 20.0;
/// While the list may be stale, a worker is open for so long (ns) after it said itself that it takes work.
const WORD: Nanos = REPORT_AGE;
/// Part of a worker's slots left free for work within its tenant's share.
const RESERVE: f64 = 0.5;

impl Dispatcher {
    pub(super) fn may_go_on(&self, job: &Job) -> bool {
        let effect = self.settings.classes[job.request.class as usize].idempotency;
        !job.over
            && !job.streaming
            && self.now < job.deadline.min(self.send_by(job))
            && job.attempts.len() < self.settings.max_attempts.min(self.told.attempts()) as usize
            && (self.settings.allows_hedging || job.attempts.iter().all(|a| !a.out))
            && !(effect == Idempotency::NonIdempotent && job.first_ran().is_some())
    }

    /// Whether a worker is open for the job.
    pub(super) fn open(&self, index: usize, job: &Job) -> bool {
        self.covers(index, job) && self.admits(index, job)
    }

    /// The same, whatever it may be sent while it is cold.
    pub(super) fn covers(&self, index: usize, job: &Job) -> bool {
        let Some(worker) = &self.workers[index] else { return false };
        let class = &self.settings.classes[job.request.class as usize];
        let Some(free) = worker.load.free.filter(|_| worker.ready && !worker.shut) else { return false };
        // Work that is late already, or over its share, leaves slots for what can still earn in full.
        let lesser = job.over_share || self.now >= job.patience;
        let k = match job.request.key {
            _ if self.sparse() => self.luck(worker, job),
            Some(_) => K_KEYED,
            None => K,
        };
        free + k >= job.request.slots
            && (!lesser || free + worker.load.others >= job.request.slots + RESERVE * worker.load.size)
            && worker.load.memory.is_none_or(|m| m >= job.request.memory)
            && class.required_kind.is_none_or(|kind| kind == worker.entry.kind)
            && (job.homes.is_empty() || job.homes.contains(&index))
            && !self.silent(worker)
            && self.told.allows(worker.entry.address_hash, job.request.tenant, self.now)
            && self.in_group(worker, job)
            && !(self.sparse() && self.now > worker.read + FRESH)
            && !(self.stale && worker.takes_work.is_none_or(|at| self.now > at + WORD))
    }

    /// From 0 to 1: what a job finds beside the part of a slot that is left to its dispatcher. The same at
    /// all for one key and worker, so that a worker sheds whole keys: shed job by job, each key would be
    /// fetched at two workers, and push others out of both.
    pub(super) fn luck(&self, worker: &Worker, job: &Job) -> f64 {
        let drawn = mix(job.request.key.unwrap_or(job.arrived) ^ mix(!worker.entry.address_hash));
        drawn as f64 / u64::MAX as f64
    }

    /// A keyed request that may have run goes only where its repeat is dropped: both by what was listed of
    /// the earlier worker then and by what is now, for either may be the older news.
    pub(super) fn in_group(&self, worker: &Worker, job: &Job) -> bool {
        let class = &self.settings.classes[job.request.class as usize];
        let like = |entry: &WorkerEntry| class.deduplicates(entry, &worker.entry);
        let now_like = |n: usize| self.workers[n].as_ref().is_some_and(|first| like(&first.entry));
        job.attempts.iter().filter(|a| a.maybe_ran).all(|a| like(&a.entry) && now_like(a.worker))
    }

    /// Until when a further attempt may be written.
    pub(super) fn send_by(&self, job: &Job) -> Nanos {
        let class = &self.settings.classes[job.request.class as usize];
        job.first_ran()
            .map_or(Nanos::MAX, |first| class.resend_deadline(first, self.settings.connect_timeout))
    }

    /// An open worker for the job, at random among those that suit it best.
    pub(super) fn pick(&mut self, id: RequestId) -> Option<usize> {
        let job = self.jobs.get(&id)?;
        if !self.may_go_on(job) {
            return None;
        }
        if self.sparse() {
            return self.in_turn(id);
        }
        if !job.homes.is_empty() {
            return job.homes.iter().copied().find(|home| self.open(*home, job));
        }
        for pool in [&self.near, &self.far] {
            let members = pool.members();
            // Of thousands most that may be open are: a few draws find one, as evenly as one among all.
            let draws = if members.len() > FEW { DRAWS } else { 0 };
            for _ in 0..draws {
                let drawn = members[self.rng.usize(0..members.len())];
                if self.open(drawn, job) {
                    return Some(drawn);
                }
            }
            let mut open: Vec<usize> =
                members.iter().copied().filter(|index| self.open(*index, job)).collect();
            if !open.is_empty() {
                open.sort_unstable();
                return Some(open[self.rng.usize(0..open.len())]);
            }
        }
        None
    }

    pub(super) fn homes(&self, key: u64, tenant: Option<u32>) -> Vec<usize> {
        let hash = |index: usize| self.workers[index].as_ref().map(|w| w.entry.address_hash);
        let allowed = |index| hash(index).is_some_and(|hash| self.told.allows(hash, tenant, self.now));
        let mut ranked = self.ring.rank(key, NEIGHBOURS, |index| allowed(index).then_some(1.0));
        ranked.truncate(HOMES);
        ranked
    }

    /// The workers that a sparse dispatcher looks at for a job, in their order: those that its key's traffic
    /// fills in any order, then the next that rank highest for the key, or for none in particular.
    pub(super) fn sought(
        &mut self,
        key: Option<u64>,
        class: u32,
        cell: Option<u32>,
        tenant: Option<u32>,
    ) -> Vec<usize> {
        let share = key.map_or(0.0, |key| self.keys.share(key, DOUBT));
        let busy = share * self.demand.per_s() * f64::from(self.settings.dispatchers);
        let need = busy * self.classes[class as usize].run / SECOND / SLOTS / FILL;
        let inside = |index: usize| {
            self.workers[index].as_ref().is_some_and(|w| {
                cell.is_none_or(|cell| w.entry.cell == cell)
                    && self.told.allows(w.entry.address_hash, tenant, self.now)
            })
        };
        let key = key.unwrap_or_else(|| self.rng.u64(..));
        let weight = |n: usize| self.workers[n].as_ref().filter(|_| inside(n)).map(|w| self.weight(w));
        let mut ranked = self.ring.rank(key, AROUND, weight);
        let weights: Vec<f64> = ranked.iter().filter_map(|n| weight(*n)).collect();
        let is_cold = |n: &usize| self.workers[*n].as_ref().is_some_and(|w| self.warm(w).is_some());
        let cold: BTreeSet<usize> = ranked.iter().copied().filter(is_cold).collect();
        let cold_weight: f64 = cold.iter().filter_map(|n| weight(*n)).sum();
        let (all, seen) = (weights.iter().sum::<f64>(), ranked.len().max(1) as f64);
        if cell.is_none() {
            self.cold_admission.weigh(cold_weight, all, self.ring.len() as f64 / seen, SOUGHT);
        }
        self.mean_weight = all / seen;
        let first = fill(&mut ranked, &weights, need, || self.rng.f64());
        // Cold ones have room for few: there are as many others as if there were none.
        let mut others = 0;
        ranked.retain(|n| {
            others += usize::from(!cold.contains(n));
            others < first + SOUGHT
        });
        ranked.truncate(first + MOST_SOUGHT);
        ranked
    }

    /// A sparse dispatcher's first open candidate. Those before it are heard first: sent past one, a key
    /// would be fetched at one more worker.
    pub(super) fn in_turn(&mut self, id: RequestId) -> Option<usize> {
        for place in 0.. {
            let index = *self.jobs.get(&id)?.homes.get(place)?;
            self.draw_cold(index, id);
            let job = self.jobs.get(&id)?;
            if self.open(index, job) {
                return Some(index);
            }
            if self.unheard_of(index, job) {
                return None;
            }
        }
        None
    }
}
