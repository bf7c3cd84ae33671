//! A dispatcher with hands: feeds events, carries actions out by noting them.
#![allow(dead_code)]

use nickelflow_dispatcher::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(effect: Idempotency) -> Class {
    Class {
        idempotency: effect,
        deduplication_window: 10 * S,
        latency_objective: 100 * MS,
        latency_stretch: 2.0,
        deadline: 5 * S,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        required_kind: None,
    }
}

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

pub fn entry(worker: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(worker),
        address_hash: u64::from(worker) * 7919 + 13,
        zone: 0,
        kind: 0,
        cell: 0,
        status: WorkerStatus::Ready,
        weight: 1.0,
        started: None,
    }
}

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

pub fn free(slots: f64) -> LoadReport {
    LoadReport { free_slots: Some(slots), ..LoadReport::default() }
}

pub struct Bench {
    pub dispatcher: Dispatcher,
    pub now: Nanos,
    /// What came out since it was last taken, wakes apart.
    pub actions: Vec<Action>,
    wakes: Vec<Nanos>,
    /// What a probed worker answers; `None` leaves probes unanswered.
    pub report: Option<LoadReport>,
}

impl Bench {
    pub fn new(settings: Settings) -> Bench {
        Bench::seeded(settings, 1)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Bench {
        let dispatcher = Dispatcher::new(settings, seed).expect("settings work");
        Bench { dispatcher, now: S, actions: vec![], wakes: vec![], report: None }
    }

    /// A bench whose workers have been probed and opened with so many free slots each.
    pub fn open(settings: Settings, workers: Vec<WorkerEntry>, slots: f64) -> Bench {
        let mut bench = Bench::new(settings);
        bench.report = Some(free(slots));
        bench.workers(ListKind::Complete, workers);
        bench.pass(100 * MS);
        bench.report = None;
        bench.actions.clear();
        bench
    }

    pub fn event(&mut self, event: Event) {
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
                self.event(Event::ProbeCompleted { worker, outcome: Outcome::Ok, report: Some(report) });
            }
        }
    }

    /// Lets time pass, with the wakes that were asked for.
    pub fn pass(&mut self, time: Nanos) {
        let until = self.now + time;
        while let Some(at) = self.wakes.iter().copied().filter(|at| *at <= until).min() {
            self.wakes.retain(|w| *w > at);
            self.now = self.now.max(at);
            self.event(Event::Wake);
        }
        self.now = until;
    }

    pub fn workers(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        self.event(Event::WorkerList { kind, entries });
    }

    pub fn ask(&mut self, id: u64) {
        self.event(Event::Request(request(id)));
    }

    pub fn outcome(&mut self, id: u64, attempt: u32, outcome: Outcome) {
        self.event(Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            finished: outcome == Outcome::Ok,
            report: None,
        });
    }

    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Workers that a request was sent to, in order.
    pub fn sends(&self, id: u64) -> Vec<u32> {
        let sends = self.actions.iter().filter_map(|a| match a {
            Action::Send { request, worker, .. } if request.0 == id => Some(worker.0),
            _ => None,
        });
        sends.collect()
    }

    pub fn refused(&self, id: u64) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
    }

    pub fn failed(&self, id: u64) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Fail { request } if request.0 == id))
    }

    pub fn probes(&self, worker: u32) -> usize {
        self.actions.iter().filter(|a| **a == Action::Probe { worker: WorkerId(worker) }).count()
    }
}
