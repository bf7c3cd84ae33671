//! A harness that feeds events to a dispatcher and records its actions.
#![allow(dead_code)]

use nickelflow_dispatcher::*;

/// Nanoseconds in a millisecond.
pub const MS: Nanos = 1_000_000;
/// Nanoseconds in a second.
pub const S: Nanos = 1_000 * MS;

/// Returns a class with a latency objective of 0.1 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        deduplication_window: 10 * S,
        latency_objective: 100 * MS,
        latency_stretch: 2.0,
        deadline: 5 * S,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        required_kind: None,
    }
}

/// Returns the settings of a single dispatcher.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        dispatchers: 1,
        zone: 0,
        classes,
        tenants: vec![],
        limits: ServiceLimits {
            slow_start_initial_share: 0.2,
            slow_start_duration: 10 * S,
            overload_multiple: 3.0,
            overload_duration: S,
            unsubscribed_list_validity: 10 * S,
        },
        requires_subscription: false,
        can_probe: true,
        reports_registered_size: true,
        reports_free_slots: true,
        notifies_job_start: true,
        progress_interval: S,
        can_cancel: true,
        allows_hedging: true,
        max_attempts: 4,
        max_retry_after: 2 * S,
        connect_timeout: 200 * MS,
        clock_resolution: MS,
    }
}

/// Returns the entry of a ready worker that started long ago.
pub fn entry(worker: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(worker),
        address_hash: u64::from(worker) * 7919 + 13,
        zone: 0,
        kind: 0,
        cell: 0,
        status: WorkerStatus::Ready,
        registered_size: 1.0,
        started_at: None,
    }
}

/// Returns a request of one slot.
pub fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        tenant: None,
        slots: 1.0,
        memory: 0.0,
        key: None,
        time_left: 5 * S,
        is_retry: false,
    }
}

/// Draws from a lognormal distribution with a mean and a coefficient of variation.
pub fn lognormal(rng: &mut fastrand::Rng, mean: f64, variation: f64) -> f64 {
    let spread = (1.0 + variation * variation).ln();
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    mean * (normal * spread.sqrt() - spread / 2.0).exp()
}

/// Returns a load report of an empty queue and so many free slots.
pub fn free(slots: f64) -> LoadReport {
    LoadReport { free_slots: Some(slots), ..LoadReport::default() }
}

/// A dispatcher with a clock, whose actions are recorded.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Nanos,
    /// The actions since they were last taken, wake-ups apart.
    pub actions: Vec<Action>,
    wakes: Vec<Nanos>,
    /// What a probed worker answers; `None` leaves probes unanswered.
    pub report: Option<LoadReport>,
}

impl Harness {
    /// Creates a harness without workers.
    pub fn new(settings: Settings) -> Harness {
        Harness::with_seed(settings, 1)
    }

    /// Creates a harness without workers, whose random choices follow from a seed.
    pub fn with_seed(settings: Settings, seed: u64) -> Harness {
        let dispatcher = Dispatcher::new(settings, seed).expect("settings work");
        Harness { dispatcher, now: S, actions: vec![], wakes: vec![], report: None }
    }

    /// Creates a harness whose workers have been probed and opened with so many free slots each.
    pub fn with_open_workers(settings: Settings, workers: Vec<WorkerEntry>, slots: f64) -> Harness {
        let mut harness = Harness::new(settings);
        harness.report = Some(free(slots));
        harness.apply_list(ListKind::Complete, workers);
        harness.advance(100 * MS);
        harness.report = None;
        harness.actions.clear();
        harness
    }

    /// Feeds an event, and answers the probes that follow.
    pub fn handle(&mut self, event: Event) {
        let mut out = vec![];
        self.dispatcher.handle(self.now, event, &mut out);
        let mut probed = vec![];
        for action in out {
            match action {
                Action::Wake { at } => self.wakes.push(at),
                Action::Probe { worker } => {
                    self.actions.push(action);
                    probed.push(worker);
                }
                other => self.actions.push(other),
            }
        }
        if let Some(report) = self.report {
            for worker in probed {
                self.handle(Event::ProbeCompleted { worker, outcome: Outcome::Ok, report: Some(report) });
            }
        }
    }

    /// Lets time pass, with the wake-ups that were requested.
    pub fn advance(&mut self, time: Nanos) {
        let until = self.now + time;
        while let Some(at) = self.wakes.iter().copied().filter(|at| *at <= until).min() {
            self.wakes.retain(|w| *w > at);
            self.now = self.now.max(at);
            self.handle(Event::Wake);
        }
        self.now = until;
    }

    /// Feeds a list of workers.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        self.handle(Event::WorkerList { kind, entries });
    }

    /// Feeds a request.
    pub fn submit(&mut self, id: u64) {
        self.handle(Event::Request(request(id)));
    }

    /// Feeds the end of an attempt.
    pub fn end_attempt(&mut self, id: u64, attempt: u32, outcome: Outcome) {
        self.handle(Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            request_is_finished: outcome == Outcome::Ok,
            report: None,
        });
    }

    /// Returns and forgets the recorded actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the workers that a request was sent to, in order.
    pub fn workers_tried(&self, id: u64) -> Vec<u32> {
        let sends = self.actions.iter().filter_map(|a| match a {
            Action::Send { request, worker, .. } if request.0 == id => Some(worker.0),
            _ => None,
        });
        sends.collect()
    }

    /// Returns whether a request was rejected.
    pub fn was_rejected(&self, id: u64) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
    }

    /// Returns whether a request failed.
    pub fn has_failed(&self, id: u64) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Fail { request } if request.0 == id))
    }

    /// Returns how many probes a worker was sent.
    pub fn probe_count(&self, worker: u32) -> usize {
        self.actions.iter().filter(|a| **a == Action::Probe { worker: WorkerId(worker) }).count()
    }
}

/// Returns one of a hundred dispatchers, which get 400 requests a second between them.
pub fn one_of_a_hundred(seed: u64) -> Harness {
    let tenants = vec![Tenant { quota_per_s: 560.0 }];
    let settings = Settings { dispatchers: 100, tenants, ..settings(vec![class(Idempotency::Idempotent)]) };
    Harness::with_seed(settings, seed)
}

/// Returns the arrival of a request with a key.
pub fn keyed(id: u64, key: u64) -> Event {
    Event::Request(Request { key: Some(key), ..request(id) })
}
