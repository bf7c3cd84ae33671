//! The list of workers, and the rules on which all dispatchers agree.

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

/// Longest delay (ns) of the first probe of a new worker, for each dispatcher that does the same.
const MAX_FIRST_PROBE_DELAY: Nanos = 3 * MILLISECOND;
/// Backoff (ns) before membership changes are subscribed to again. All dispatchers fail together when the
/// list service is overloaded, so it grows with their number.
const SUBSCRIBE_BACKOFF: Nanos = 500 * MILLISECOND;
const SUBSCRIBE_BACKOFF_PER_DISPATCHER: Nanos = 10 * MILLISECOND;
/// The part (1/n) of an unsubscribed list's validity that the backoff may take: the list must not lapse for
/// it.
const MAX_BACKOFF_DIVISOR: Nanos = 2;

impl Dispatcher {
    /// Takes in a list of workers.
    pub(super) fn apply_worker_list(
        &mut self,
        kind: ListKind,
        entries: Vec<WorkerEntry>,
        actions: &mut Vec<Action>,
    ) {
        if self.settings.requires_subscription && !self.is_subscribed {
            // Without a subscription the list grows old, and this dispatcher answers for changes that it
            // misses.
            self.is_subscribed = true;
            actions.push(Action::Subscribe);
        }
        match kind {
            ListKind::Failed => return self.schedule_subscription(),
            ListKind::Changes | ListKind::Stale => {}
            ListKind::Complete | ListKind::Cached => self.workers.retain_listed(&entries),
        }
        // All of them first: how many there are decides whether each is probed for a start.
        self.workers.count_ready(&entries);
        self.arrival_rate.record_worker_count(self.workers.ready_count());
        for entry in entries {
            self.apply_entry(entry);
        }
        self.workers.update_mean_registered_size();
        let stays_stale = self.workers.list_is_stale() && kind == ListKind::Cached;
        if self.workers.set_list_is_stale(kind == ListKind::Stale || stays_stale) {
            self.update_all_open_states(actions);
        }
    }

    /// Starts the backoff after which membership changes are subscribed to again.
    fn schedule_subscription(&mut self) {
        if !self.settings.requires_subscription {
            return;
        }
        let dispatchers = u64::from(self.settings.dispatchers);
        let delay = self.jittered(SUBSCRIBE_BACKOFF + SUBSCRIBE_BACKOFF_PER_DISPATCHER * dispatchers);
        let max_delay = self.settings.limits.unsubscribed_list_validity / MAX_BACKOFF_DIVISOR;
        self.timers.start(self.now + delay.min(max_delay), Timer::Subscribe);
    }

    /// Takes in one entry of the list.
    fn apply_entry(&mut self, entry: WorkerEntry) {
        let index = entry.worker.0 as usize;
        match self.workers.update_entry(&entry) {
            EntryChange::None => self.workers.update_indexes(index),
            EntryChange::NoLongerReady => self.update_open_state(index),
            EntryChange::Started => self.add_worker(entry),
        }
    }

    /// Adds a worker that is new, has restarted or is ready again, and schedules its first probe.
    fn add_worker(&mut self, entry: WorkerEntry) {
        let index = entry.worker.0 as usize;
        let is_ready = entry.status == WorkerStatus::Ready;
        let timer_number = self.workers.get(index).map_or(0, |former| former.probe.next_timer_number());
        let random = entry.started_at.map_or(0.0, |_| self.rng.f64());
        let bucket = TokenBucket::new(self.settings.dispatchers, random, self.now);
        let mut worker = Worker::new(entry, bucket, timer_number, self.now);
        worker.is_ready = is_ready;
        if is_ready && self.settings.can_probe && !self.has_low_traffic() {
            let number = worker.probe.schedule_first();
            let max_delay = MAX_FIRST_PROBE_DELAY * u64::from(self.settings.dispatchers);
            let delay = self.rng.u64(0..max_delay);
            self.timers.start(self.now + delay, Timer::Probe { worker: index, number });
        } else if is_ready && !self.settings.can_probe {
            worker.load.assume_idle();
        }
        self.workers.insert(worker);
    }

    /// Takes in rules on which all dispatchers agree.
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

    /// Cancels the attempts that drained workers have not started, where another attempt is allowed.
    fn cancel_attempts_at_drained_workers(&self, actions: &mut Vec<Action>) {
        let is_drained = |index: usize| {
            let worker = self.workers.get(index);
            worker.is_some_and(|worker| self.active_rules.drains(worker.entry.address_hash))
        };
        let may_run_again = |job: &Job| self.class_of(job).idempotency != Idempotency::NonIdempotent;
        for (request, job) in self.jobs.iter().filter(|(_, job)| may_run_again(job)) {
            for (number, attempt) in job.attempts.iter().enumerate() {
                if attempt.is_unconfirmed() && is_drained(attempt.worker) {
                    actions.push(Action::Cancel { request: *request, attempt: number as u32 });
                }
            }
        }
    }
}
