//! The list of workers, their entries and indexes, and the rules on which all dispatchers agree.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Dispatcher, K_KEYED};
use crate::cold_start::TokenBucket;
use crate::index::mix;
use crate::interface::*;
use crate::state::{Due, Job, Worker};
use crate::MS;

/// Longest delay (ns) of the first probe of a new worker, for each dispatcher that does the same.
const FIRST_PROBE: Nanos = 3 * MS;

impl Dispatcher {
    pub(super) fn list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>, actions: &mut Vec<Action>) {
        if self.settings.requires_subscription && !self.asked {
            // Unasked for, the list grows old, and what it does not tell counts as told.
            self.asked = true;
            actions.push(Action::Subscribe);
        }
        match kind {
            ListKind::Failed if !self.settings.requires_subscription => return,
            ListKind::Failed => {
                // All dispatchers fail together when the list service is overloaded: come back spread out.
                let delay = self.jittered(500 * MS + 10 * MS * u64::from(self.settings.dispatchers));
                let at = self.now + delay.min(self.settings.limits.unsubscribed_list_validity / 2);
                return self.at(at, Due::Subscribe);
            }
            ListKind::Changes | ListKind::Stale => {}
            ListKind::Complete | ListKind::Cached => {
                let listed: BTreeSet<usize> = entries.iter().map(|entry| entry.worker.0 as usize).collect();
                for index in (0..self.workers.len()).filter(|index| !listed.contains(index)) {
                    self.workers[index].iter_mut().for_each(|worker| worker.ready = false);
                    self.note(index);
                }
            }
        }
        // All of them first: how many there are tells whether each is probed for a start.
        for entry in &entries {
            let ready = entry.status == WorkerStatus::Ready;
            self.ring.set(mix(entry.address_hash), entry.worker.0 as usize, ready);
        }
        self.demand.listed(self.ring.len());
        for entry in entries {
            self.entry(entry);
        }
        let ready = self.workers.iter().flatten().filter(|w| w.ready);
        let (sum, count) = ready.fold((0.0, 0.0), |(sum, count), w| (sum + self.told(w), count + 1.0));
        self.mean = if count > 0.0 { sum / count } else { 1.0 };
        let stale = kind == ListKind::Stale || self.stale && kind == ListKind::Cached;
        if std::mem::replace(&mut self.stale, stale) != stale {
            self.settle_all(actions);
        }
    }

    pub(super) fn entry(&mut self, entry: WorkerEntry) {
        let index = entry.worker.0 as usize;
        if self.workers.len() <= index {
            self.workers.resize_with(index + 1, || None);
        }
        let ready = entry.status == WorkerStatus::Ready;
        if let Some(worker) = &mut self.workers[index] {
            let restarted = entry.started.is_some() && entry.started > worker.entry.started;
            self.ring.set(mix(worker.entry.address_hash), index, false);
            worker.entry = entry.clone();
            if !restarted && worker.ready == ready {
                return self.note(index);
            }
            worker.ready = ready;
            if !ready {
                return self.settle(index);
            }
        }
        let timer = self.workers[index].as_ref().map_or(0, |old| old.timer.wrapping_add(1));
        let random = entry.started.map_or(0.0, |_| self.rng.f64());
        let bucket = TokenBucket::new(self.settings.dispatchers, random, self.now);
        let mut worker = Worker { ready, bucket, ..Worker::new(entry, timer, self.now) };
        if ready && self.settings.can_probe && !self.sparse() {
            worker.waiting = true;
            let delay = self.rng.u64(0..FIRST_PROBE * u64::from(self.settings.dispatchers));
            self.at(self.now + delay, Due::Probe(index, timer));
        } else if ready && !self.settings.can_probe {
            worker.load.free = Some(worker.load.size);
        }
        self.workers[index] = Some(worker);
        self.note(index);
    }

    /// Brings the indexes up to what a worker is now.
    pub(super) fn note(&mut self, index: usize) {
        let Some(worker) = &self.workers[index] else { return };
        let may = worker.ready && !worker.shut && worker.load.free.is_some_and(|free| free + K_KEYED > 0.0);
        let near = worker.entry.zone == self.settings.zone;
        self.near.set(index, may && near);
        self.far.set(index, may && !near);
        self.ring.set(mix(worker.entry.address_hash), index, worker.ready);
        self.failing.set(index, worker.ready && worker.failures >= 1.0);
    }

    pub(super) fn rules(&mut self, rules: Arc<Rules>, until: Nanos, actions: &mut Vec<Action>) {
        self.settings.dispatchers = rules.quota_shares.max(1);
        let changed = self.told.tell(rules, until, self.now);
        let tells = changed && self.settings.can_cancel && self.settings.notifies_job_start;
        let again = |job: &Job| {
            self.settings.classes[job.request.class as usize].idempotency != Idempotency::NonIdempotent
        };
        let hash = |n: usize| self.workers[n].as_ref().map(|w| w.entry.address_hash);
        let drained = |n: usize| hash(n).is_some_and(|hash| self.told.drained(hash));
        for (id, job) in self.jobs.iter().filter(|(_, job)| tells && again(job)) {
            let out = job.attempts.iter().enumerate();
            let out = out.filter(|(_, a)| a.out && a.heard.is_none() && drained(a.worker));
            actions.extend(out.map(|(n, _)| Action::Cancel { request: *id, attempt: n as u32 }));
        }
        if changed {
            self.settle_all(actions);
        }
    }

    /// Its registered size, if that is told and can be.
    pub(super) fn told(&self, worker: &Worker) -> f64 {
        let sound =
            |weight: &f64| self.settings.reports_registered_size && *weight > 0.0 && weight.is_finite();
        Some(worker.entry.weight).filter(sound).unwrap_or(1.0)
    }
}
