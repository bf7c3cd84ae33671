//! The state of one worker, as the dispatcher knows it.

use crate::event::LoadReport;
use crate::health_signals::HealthSignals;
use crate::parameters::{K, K_WITH_AFFINITY};
use crate::slow_start::TokenBucket;
use crate::slow_start_admission::RequestFrequency;
use crate::time::Nanos;
use crate::worker_entry::WorkerEntry;
use crate::worker_load::{ReportShare, WorkerLoad};

/// Largest number of times that failures double the delay of the next probe.
pub(crate) const MAX_DOUBLINGS: f64 = 6.0;
/// Share of a worker's failure count that a success removes.
const SUCCESS_DECAY: f64 = 0.2;

/// The weight of a failure in a worker's failure count.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailureWeight {
    /// The worker is at fault.
    Full,
    /// A rejection or a broken connection, which also happens to healthy workers, one attempt at a time. The
    /// next probe shows whether the worker is at fault.
    Minor,
}

impl FailureWeight {
    fn value(self) -> f64 {
        match self {
            FailureWeight::Full => 1.0,
            FailureWeight::Minor => 0.2,
        }
    }
}

/// The state of a worker's probes: the timer of the next one, whether one is in flight, and the result of the
/// last one.
pub(crate) struct ProbeState {
    /// Generation of the probe timer; timers of earlier generations are ignored.
    timer_generation: u32,
    is_scheduled: bool,
    is_in_flight: bool,
    /// When a job last requested a probe.
    requested_at: Nanos,
    /// Earliest time at which a job may request another probe.
    next_request_at: Nanos,
    /// When the last probe ended.
    last_ended_at: Nanos,
    /// When a probe last confirmed that the worker accepts work.
    confirmed_at: Option<Nanos>,
}

impl ProbeState {
    fn new(timer_generation: u32) -> Self {
        ProbeState {
            timer_generation,
            is_scheduled: false,
            is_in_flight: false,
            requested_at: 0,
            next_request_at: 0,
            last_ended_at: 0,
            confirmed_at: None,
        }
    }

    /// Returns the first timer generation of the state that replaces this one after a restart.
    pub(crate) fn next_timer_generation(&self) -> u32 {
        self.timer_generation.wrapping_add(1)
    }

    /// Returns whether a timer belongs to the current generation.
    pub(crate) fn is_current(&self, timer_generation: u32) -> bool {
        self.timer_generation == timer_generation
    }

    /// Returns whether a probe is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.is_in_flight
    }

    /// Returns whether no probe is scheduled or in flight.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_scheduled && !self.is_in_flight
    }

    /// Schedules the first probe, and returns the generation of its timer.
    pub(crate) fn schedule_first(&mut self) -> u32 {
        self.is_scheduled = true;
        self.timer_generation
    }

    /// Schedules a probe, and returns the generation of its timer.
    pub(crate) fn schedule(&mut self) -> u32 {
        self.is_scheduled = true;
        self.timer_generation = self.timer_generation.wrapping_add(1);
        self.timer_generation
    }

    /// Schedules a probe that a job requests, and returns the generation of its timer. Other jobs may not
    /// request a probe before `next_request_at`.
    pub(crate) fn schedule_for_job(&mut self, now: Nanos, next_request_at: Nanos) -> u32 {
        self.requested_at = now;
        self.next_request_at = next_request_at;
        self.schedule()
    }

    /// Cancels the scheduled probe.
    pub(crate) fn cancel(&mut self) {
        if self.take_scheduled() {
            self.timer_generation = self.timer_generation.wrapping_add(1);
        }
    }

    /// Clears the schedule of a probe that is due, and returns whether a probe was scheduled.
    pub(crate) fn take_scheduled(&mut self) -> bool {
        std::mem::take(&mut self.is_scheduled)
    }

    /// Records that a probe was sent.
    pub(crate) fn mark_sent(&mut self) {
        self.is_in_flight = true;
    }

    /// Records that the probe in flight timed out.
    pub(crate) fn mark_lost(&mut self) {
        self.is_in_flight = false;
    }

    /// Records that a probe ended.
    pub(crate) fn mark_ended(&mut self, now: Nanos) {
        self.is_in_flight = false;
        self.last_ended_at = now;
    }

    /// Records that a probe confirmed that the worker accepts work.
    pub(crate) fn mark_confirmed(&mut self, now: Nanos) {
        self.confirmed_at = Some(now);
    }

    /// Returns whether the last probe ended more than `max_age` (ns) ago.
    pub(crate) fn is_older_than(&self, max_age: Nanos, now: Nanos) -> bool {
        now > self.last_ended_at + max_age
    }

    /// Returns whether a probe confirmed within the last `max_age` (ns) that the worker accepts work.
    pub(crate) fn is_confirmed(&self, max_age: Nanos, now: Nanos) -> bool {
        self.confirmed_at.is_some_and(|at| now <= at + max_age)
    }

    /// Returns whether a probe may still provide a report for a job: either a probe is in flight and was
    /// requested less than `max_wait` (ns) ago, or the job may request one now.
    pub(crate) fn may_answer_job(&self, max_wait: Nanos, now: Nanos) -> bool {
        if self.is_in_flight {
            now < self.requested_at + max_wait
        } else {
            now >= self.next_request_at
        }
    }
}

/// A worker that has been listed.
pub(crate) struct Worker {
    /// The worker's last entry on the list.
    pub(crate) entry: WorkerEntry,
    /// Whether it is on the list and not draining.
    pub(crate) is_ready: bool,
    /// When the worker was first listed, or restarted; attempts that were sent earlier are ignored.
    pub(crate) valid_since: Nanos,
    /// The last load report.
    pub(crate) last_report: Option<LoadReport>,
    /// The worker's load, including this dispatcher's own sends.
    pub(crate) load: WorkerLoad,
    /// The signals of the worker about its attempts.
    pub(crate) health: HealthSignals,
    /// The worker's probes.
    pub(crate) probe: ProbeState,
    /// What this dispatcher may send the worker while it is warming up.
    pub(crate) bucket: TokenBucket,
    /// How often jobs requested the worker while it was warming up.
    pub(crate) slow_start_requests: RequestFrequency,
    /// Whether a failure keeps the worker closed until its next probe.
    is_ejected: bool,
    /// Decaying count of failures.
    failure_count: f64,
}

impl Worker {
    /// Creates a worker without measurements, which is not ready.
    pub(crate) fn new(entry: WorkerEntry, bucket: TokenBucket, timer_generation: u32, now: Nanos) -> Self {
        Worker {
            entry,
            is_ready: false,
            valid_since: now,
            last_report: None,
            load: WorkerLoad::default(),
            health: HealthSignals::default(),
            probe: ProbeState::new(timer_generation),
            bucket,
            slow_start_requests: RequestFrequency::default(),
            is_ejected: false,
            failure_count: 0.0,
        }
    }

    /// Returns whether a failure keeps the worker closed until its next probe.
    pub(crate) fn is_ejected(&self) -> bool {
        self.is_ejected
    }

    /// Returns whether the worker counts as failing.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_count >= 1.0
    }

    /// Returns whether the worker has failed more than once.
    pub(crate) fn fails_repeatedly(&self) -> bool {
        self.failure_count > 1.0
    }

    /// Returns the factor by which failures lengthen the delay of the next probe: one doubling for each
    /// counted failure, up to `max_doublings`.
    pub(crate) fn backoff_factor(&self, max_doublings: f64) -> f64 {
        self.failure_count.min(max_doublings).exp2()
    }

    /// Returns whether the worker may be open for some job.
    pub(crate) fn may_be_open(&self) -> bool {
        let free = self.load.free_slots();
        self.is_ready && !self.is_ejected && free.is_some_and(|free| free + K_WITH_AFFINITY > 0.0)
    }

    /// Returns whether the worker is closed to a job that uses the given slots and memory.
    pub(crate) fn is_closed_to(&self, slots: f64, memory: f64) -> bool {
        // A worker without free memory accepts hardly any jobs. If its free slots kept it open, it would
        // never be probed again.
        let lacks_memory =
            self.load.free_memory().is_some_and(|free| free < memory.min(self.load.max_free_memory()));
        let needed = slots.min(self.load.known_slots().max(1.0));
        self.is_ejected || lacks_memory || self.load.free_slots().is_none_or(|free| free + K < needed)
    }

    /// Ejects the worker because of a failure. Attempts that fail together have one cause, so while the
    /// worker is ejected, only failed probes add to the failure count.
    pub(crate) fn record_failure(&mut self, weight: FailureWeight) {
        if !self.is_ejected || self.probe.is_in_flight() {
            self.failure_count = (self.failure_count + weight.value()).min(MAX_DOUBLINGS + 1.0);
        }
        self.is_ejected = true;
    }

    /// Reduces the failure count because of a success.
    pub(crate) fn record_success(&mut self) {
        self.failure_count *= 1.0 - SUCCESS_DECAY;
    }

    /// Ends the ejection because a probe confirmed that the worker accepts work.
    pub(crate) fn confirm(&mut self, now: Nanos) {
        self.is_ejected = false;
        self.probe.mark_confirmed(now);
    }

    /// Applies this dispatcher's share of a load report, and ejects the worker if the report shows a fault.
    pub(crate) fn apply_report(&mut self, now: Nanos, report: &LoadReport, share: &ReportShare) {
        self.last_report = Some(*report);
        self.load.apply_report(now, report, share);
        if report.shows_fault() {
            self.record_failure(FailureWeight::Full);
        }
    }
}
