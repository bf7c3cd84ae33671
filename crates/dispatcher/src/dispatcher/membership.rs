//! Updates of the worker list, and of the rules on which all dispatchers agree.

use std::sync::Arc;

use super::Dispatcher;
use crate::action::Action;
use crate::active_rules::RulesUpdate;
use crate::event::ListKind;
use crate::job::Job;
use crate::rules::Rules;
use crate::settings::Idempotency;
use crate::slow_start::TokenBucket;
use crate::time::{Nanos, MILLISECOND};
use crate::timers::Timer;
use crate::worker::Worker;
use crate::worker_entry::{WorkerEntry, WorkerStatus};
use crate::worker_table::EntryChange;

/// Longest delay (ns) of the first probe of a new worker, per dispatcher: all of them probe the worker.
const MAX_FIRST_PROBE_DELAY_PER_DISPATCHER: Nanos = 3 * MILLISECOND;
/// Backoff (ns) before the dispatcher subscribes to membership changes again, without the part per
/// dispatcher.
const SUBSCRIBE_BACKOFF: Nanos = 500 * MILLISECOND;
/// Part of the backoff (ns) per dispatcher. All dispatchers fail at the same time when the list service is
/// overloaded, so the backoff grows with their number.
const SUBSCRIBE_BACKOFF_PER_DISPATCHER: Nanos = 10 * MILLISECOND;
/// The backoff takes at most 1/n of the validity of an unsubscribed list, so that the list does not lapse
/// during the backoff.
const MAX_BACKOFF_DIVISOR: Nanos = 2;

impl Dispatcher {
    /// Applies a list of workers.
    pub(super) fn apply_worker_list(
        &mut self,
        kind: ListKind,
        entries: Vec<WorkerEntry>,
        actions: &mut Vec<Action>,
    ) {
        if self.settings.requires_subscription && !self.has_subscribed {
            // Without a subscription the list becomes outdated, and this dispatcher is responsible for the
            // changes that it misses.
            self.has_subscribed = true;
            actions.push(Action::Subscribe);
        }
        match kind {
            ListKind::Failed => return self.schedule_subscription(),
            ListKind::Changes | ListKind::Stale => {}
            ListKind::Complete | ListKind::Cached => self.workers.mark_unlisted_gone(&entries),
        }
        // All entries are counted before any is applied, because the number of ready workers decides whether
        // a new worker is probed at once.
        self.workers.update_ready_ring(&entries);
        self.arrival_rate.record_worker_count(self.workers.ready_count());
        for entry in entries {
            self.apply_entry(entry);
        }
        self.workers.update_mean_registered_size();
        let remains_stale = self.workers.list_is_stale() && kind == ListKind::Cached;
        if self.workers.set_list_is_stale(kind == ListKind::Stale || remains_stale) {
            self.update_all_open_states(actions);
        }
    }

    /// Starts the backoff after which the dispatcher subscribes to membership changes again.
    fn schedule_subscription(&mut self) {
        if !self.settings.requires_subscription {
            return;
        }
        let dispatchers = u64::from(self.settings.dispatchers);
        let delay = self.jittered(SUBSCRIBE_BACKOFF + SUBSCRIBE_BACKOFF_PER_DISPATCHER * dispatchers);
        let max_delay = self.settings.limits.unsubscribed_list_validity / MAX_BACKOFF_DIVISOR;
        self.timers.start(self.now + delay.min(max_delay), Timer::Subscribe);
    }

    /// Applies one entry of a worker list.
    fn apply_entry(&mut self, entry: WorkerEntry) {
        let worker_index = entry.worker.0 as usize;
        match self.workers.update_entry(&entry) {
            EntryChange::Unchanged => self.workers.update_indexes(worker_index),
            EntryChange::NoLongerReady => self.update_open_state(worker_index),
            EntryChange::Started => self.add_worker(entry),
        }
    }

    /// Adds a worker that is new, has restarted or is ready again, and schedules its first probe.
    fn add_worker(&mut self, entry: WorkerEntry) {
        let worker_index = entry.worker.0 as usize;
        let is_ready = entry.status == WorkerStatus::Ready;
        let timer_generation =
            self.workers.get(worker_index).map_or(0, |previous| previous.probe.next_timer_generation());
        let bucket_jitter = entry.started_at.map_or(0.0, |_| self.rng.f64());
        let bucket = TokenBucket::new(self.settings.dispatchers, bucket_jitter, self.now);
        let mut worker = Worker::new(entry, bucket, timer_generation, self.now);
        worker.is_ready = is_ready;
        if is_ready && self.settings.can_probe && !self.has_low_traffic() {
            let generation = worker.probe.schedule_first();
            let max_delay = MAX_FIRST_PROBE_DELAY_PER_DISPATCHER * u64::from(self.settings.dispatchers);
            let delay = self.rng.u64(0..max_delay);
            self.timers.start(self.now + delay, Timer::Probe { worker: worker_index, generation });
        } else if is_ready && !self.settings.can_probe {
            worker.load.assume_idle();
        }
        self.workers.insert(worker);
    }

    /// Applies new rules, or extends the validity of the current ones.
    pub(super) fn apply_rules(&mut self, rules: Arc<Rules>, valid_until: Nanos, actions: &mut Vec<Action>) {
        self.settings.dispatchers = rules.quota_shares.max(1);
        if self.active_rules.update(rules, valid_until, self.now) == RulesUpdate::Extended {
            return;
        }
        if self.settings.can_cancel && self.settings.notifies_job_start {
            self.cancel_attempts_at_drained_workers(actions);
        }
        self.update_all_open_states(actions);
    }

    /// Cancels the attempts that drained workers have not started, if their class allows another attempt.
    fn cancel_attempts_at_drained_workers(&self, actions: &mut Vec<Action>) {
        let is_drained = |worker_index: usize| {
            let worker = self.workers.get(worker_index);
            worker.is_some_and(|worker| self.active_rules.drains(worker.entry.address_hash))
        };
        let is_repeatable = |job: &Job| self.class_of(job).idempotency != Idempotency::NonIdempotent;
        for (request, job) in self.jobs.iter().filter(|(_, job)| is_repeatable(job)) {
            for (number, attempt) in job.attempts.iter().enumerate() {
                if attempt.is_unconfirmed() && is_drained(attempt.worker) {
                    actions.push(Action::Cancel { request: *request, attempt: number as u32 });
                }
            }
        }
    }
}
