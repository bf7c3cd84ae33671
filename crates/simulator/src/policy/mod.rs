//! What decides: the engine with the project's module, and baselines to hold it against.
//!
//! All stand behind [`Policy`] and see what a scheduler sees, in the engine's own words. The oracle alone looks
//! at [`Truth`].

mod bare;
mod frame;
mod hashing;
mod oracle;
mod prequal;
mod simple;
mod stale;

use std::str::FromStr;

use nickelflow_dispatcher::{
    Class, DeduplicationScope, Idempotency, ServiceLimits, Settings, SettingsError, Tenant,
};
use nickelflow_engine::{Engine, Nanos};

use crate::scenario::{Repeats, Scenario};
use crate::time::{millis, seconds, MS};
use crate::worker::Worker;

/// What a list says of where an instance is: the machine that it means, and the address that is dialled. Behind
/// that may be another machine by now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub machine: u32,
    pub address: u32,
}

/// What a scheduler is told: jobs are numbers, and results have no content.
pub type Input = nickelflow_engine::Input<u64, Place, ()>;
/// What it wants done.
pub type Order = nickelflow_engine::Output<u64, ()>;

/// The world as it is, for an oracle.
#[derive(Clone, Copy)]
pub struct Truth<'a> {
    pub workers: &'a [Worker],
    /// The machine behind each address.
    pub addresses: &'a [Option<u32>],
    /// Mean work of a job, and what fetching its data takes (ns).
    pub work: f64,
    pub fetch: f64,
}

/// One scheduler's decisions, under the promises of [`nickelflow_engine`].
pub trait Policy: Send {
    /// Takes what has happened, and appends what is to be done.
    fn handle(&mut self, now: Nanos, input: Input, truth: Truth<'_>, orders: &mut Vec<Order>);
    /// When it next wants [`nickelflow_engine::Input::Wake`].
    fn next_wake(&self) -> Option<Nanos>;
    /// Where an instance is, as last listed.
    fn place(&self, instance: u32) -> Option<Place>;
}

impl Policy for Engine<u64, Place, ()> {
    fn handle(&mut self, now: Nanos, input: Input, _: Truth<'_>, orders: &mut Vec<Order>) {
        let taken = Engine::handle(self, now, input, orders);
        debug_assert!(taken.is_ok(), "{taken:?}");
        let violations = self.take_violations();
        debug_assert!(violations.is_empty(), "{violations:?}");
    }

    fn next_wake(&self) -> Option<Nanos> {
        Engine::next_wake(self)
    }

    fn place(&self, instance: u32) -> Option<Place> {
        Some(self.worker(instance)?.address)
    }
}

/// The policies by name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Nickelflow,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    BoundedHashing,
    Prequal,
    Oracle,
    /// The paper's scheme as it stands there, with its K and tau (ns): it blocks and does not hold.
    Bare {
        k: u32,
        tau: Nanos,
    },
}

/// All that the table of policies compares.
pub const ALL: [Kind; 8] = [
    Kind::Nickelflow,
    Kind::Random,
    Kind::RoundRobin,
    Kind::LeastOutstanding,
    Kind::TwoChoices,
    Kind::BoundedHashing,
    Kind::Prequal,
    Kind::Oracle,
];

impl Kind {
    pub fn name(self) -> String {
        match self {
            Kind::Nickelflow => "nickelflow".to_owned(),
            Kind::Random => "random".to_owned(),
            Kind::RoundRobin => "round-robin".to_owned(),
            Kind::LeastOutstanding => "least-outstanding".to_owned(),
            Kind::TwoChoices => "two-choices".to_owned(),
            Kind::BoundedHashing => "bounded-hashing".to_owned(),
            Kind::Prequal => "prequal".to_owned(),
            Kind::Oracle => "oracle".to_owned(),
            Kind::Bare { k, tau } => format!("bare:{k}:{}", tau / MS),
        }
    }

    /// One scheduler's policy.
    pub fn make(self, settings: &Settings, seed: u64) -> Result<Box<dyn Policy>, SettingsError> {
        let frame = || frame::Facts::new(settings, seed);
        Ok(match self {
            Kind::Nickelflow => Box::new(Engine::<u64, Place, ()>::new(settings.clone(), seed)?),
            Kind::Random => Box::new(frame::Frame::new(frame(), simple::Random)),
            Kind::RoundRobin => Box::new(frame::Frame::new(frame(), simple::RoundRobin::default())),
            Kind::LeastOutstanding => Box::new(frame::Frame::new(frame(), simple::LeastOutstanding)),
            Kind::TwoChoices => Box::new(frame::Frame::new(frame(), stale::TwoChoices::default())),
            Kind::BoundedHashing => Box::new(frame::Frame::new(frame(), hashing::BoundedHashing::default())),
            Kind::Prequal => Box::new(frame::Frame::new(frame(), prequal::Prequal::default())),
            Kind::Oracle => Box::new(frame::Frame::new(frame(), oracle::Oracle)),
            Kind::Bare { k, tau } => Box::new(bare::Bare::new(settings, seed, k, tau)),
        })
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        if let Some(kind) = ALL.into_iter().find(|kind| kind.name() == text) {
            return Ok(kind);
        }
        let mut parts = text.split(':');
        let bare = (parts.next(), parts.next(), parts.next(), parts.next());
        if let (Some("bare"), Some(k), Some(tau), None) = bare {
            let figures = (k.parse().ok().filter(|k| (1..=1_000).contains(k)), tau.parse::<u64>().ok());
            if let (Some(k), Some(tau @ 1..=1_000_000)) = figures {
                return Ok(Kind::Bare { k, tau: tau * MS });
            }
        }
        let names: Vec<String> = ALL.into_iter().map(Kind::name).collect();
        Err(format!("no such policy: {text}; there are {} and bare:K:TAU_MS", names.join(", ")))
    }
}

/// What the schedulers of a scenario are told at their start.
pub fn settings(scenario: &Scenario) -> Settings {
    let rules = &scenario.rules;
    let class = |class: &crate::scenario::Class| Class {
        idempotency: match class.repeats {
            Repeats::Harmless => Idempotency::Idempotent,
            Repeats::Rack => Idempotency::IdempotentWithKey(DeduplicationScope::Cell),
            Repeats::Never => Idempotency::NonIdempotent,
        },
        deduplication_window: seconds(class.window_s.0),
        latency_objective: millis(class.aim_ms.0),
        latency_stretch: class.stretch.0,
        deadline: millis(class.deadline_ms.0),
        priority_weight: 1.0,
        late_weight_share: 0.0,
        required_kind: None,
    };
    let shares: f64 = scenario.tenants.iter().map(|t| t.share.0).sum();
    let capacity = scenario.capacity() / scenario.mean_work();
    let tenant =
        |t: &crate::scenario::Tenant| Tenant { quota_per_s: capacity * t.share.0 / shares.max(1e-9) };
    Settings {
        dispatchers: scenario.schedulers.0 as u32,
        zone: 0,
        classes: scenario.classes.iter().map(class).collect(),
        tenants: scenario.tenants.iter().map(tenant).collect(),
        limits: ServiceLimits {
            slow_start_initial_share: rules.cold_from.0,
            slow_start_duration: seconds(rules.cold_s.0),
            overload_multiple: rules.fall_multiple.0,
            overload_duration: seconds(rules.fall_s.0),
            unsubscribed_list_validity: seconds(10.0),
        },
        requires_subscription: true,
        can_probe: true,
        reports_registered_size: true,
        reports_free_slots: true,
        notifies_job_start: scenario.workers.tells_start,
        progress_interval: millis(scenario.workers.progress_ms.0),
        can_cancel: true,
        allows_hedging: rules.parallel,
        max_attempts: rules.attempts.0 as u32,
        max_retry_after: millis(scenario.clients.max_retry_after_ms.0),
        connect_timeout: millis(scenario.network.connect_timeout_ms.0),
        clock_resolution: MS,
    }
}
