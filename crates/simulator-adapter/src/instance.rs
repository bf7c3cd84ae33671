//! One instance: its engine, and the wire's words for what goes in and comes out.

use std::panic::{catch_unwind, AssertUnwindSafe};

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits, Tenant};
use nickelflow_engine::{
    fnv1a_hash, AttemptResult, Endpoint, Engine, FinalAnswer, Input, Job, ListKind, LoadReport, Nanos,
    Outcome, Output, Settings, StartAttempt, WorkerStatus,
};

use crate::wire::{self, Code, Incoming, Step};

/// On the wire a job is known by its id, an instance by its address, and results do not pass.
type Wired = Engine<String, (), ()>;

#[derive(Default)]
pub struct Instance {
    engine: Option<Wired>,
    now: Nanos,
    orders: Vec<Output<String, ()>>,
    /// The soonest timer that has been asked for and has not come.
    armed: Option<Nanos>,
    /// The timer to ask for with this batch's answer.
    arm: Option<Nanos>,
    failed: Option<String>,
}

impl Instance {
    pub fn take(&mut self, now: Nanos, inbox: Vec<Incoming>) -> Result<(), String> {
        self.now = now;
        for incoming in inbox {
            match incoming {
                Incoming::Boot { random_seed, env } => {
                    let engine = Engine::new(settings(&env)?, random_seed).map_err(|e| e.to_string())?;
                    *self = Instance { engine: Some(engine), now, ..Instance::default() };
                }
                Incoming::Stop => *self = Instance::default(),
                other => {
                    if let Some(input) = self.input(other) {
                        self.handle(input);
                    }
                }
            }
        }
        let wanted = self.engine.as_ref().and_then(Engine::next_wake);
        if let Some(at) = wanted.filter(|at| self.armed.is_none_or(|armed| *at < armed)) {
            (self.armed, self.arm) = (wanted, Some(at));
        }
        Ok(())
    }

    fn handle(&mut self, input: Input<String, (), ()>) {
        let (Some(engine), None) = (self.engine.as_mut(), self.failed.as_ref()) else { return };
        let (now, orders) = (self.now, &mut self.orders);
        match catch_unwind(AssertUnwindSafe(|| engine.handle(now, input, orders))) {
            // What the wire says of what is not there is passed over, as the wire asks.
            Ok(_) => {}
            Err(panic) => {
                let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
                let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
                self.failed = Some(text.unwrap_or_else(|| "the module panicked".to_owned()));
            }
        }
    }

    /// The answer to the batch.
    pub fn steps(&self) -> Vec<Step<'_>> {
        if let Some(line) = &self.failed {
            return vec![Step::GiveIn { line: line.clone() }];
        }
        let arm = self.arm.map(|at| Step::Arm { key_back: 0, moment_ns: at });
        self.orders.iter().filter_map(|order| self.step(order)).chain(arm).collect()
    }

    fn step<'a>(&'a self, order: &'a Output<String, ()>) -> Option<Step<'a>> {
        let runner = |number: u32| Some(self.engine.as_ref()?.worker(number)?.name.as_str());
        Some(match order {
            Output::StartAttempt(StartAttempt { job_id: id, worker: instance, deadline: until, .. }) => {
                Step::Route { id, runner: runner(*instance)?, max_wait_ns: until.saturating_sub(self.now) }
            }
            Output::Cancel { job_id: id, attempt } => Step::Revoke { id, seq_no: *attempt },
            // In the simulator an attempt begins as it is decided.
            Output::CancelUnstarted { .. } => return None,
            Output::FinalAnswer { job_id: id, answer: FinalAnswer::Rejected { retry_after } } => {
                Step::Decline { id, pause_ns: *retry_after }
            }
            Output::FinalAnswer { job_id: id, answer: FinalAnswer::Failed } => Step::Lose { id },
            // The simulator gives the client the result by itself.
            Output::FinalAnswer { answer: FinalAnswer::Served(()), .. } => return None,
            Output::Probe { worker: instance } => Step::Inspect { runner: runner(*instance)? },
            Output::Subscribe => Step::Follow { active: true },
        })
    }

    /// The answer has gone out: forgets it.
    pub fn sent(&mut self) {
        self.orders.clear();
        self.arm = None;
    }

    fn input(&mut self, incoming: Incoming) -> Option<Input<String, (), ()>> {
        Some(match incoming {
            Incoming::DirectoryUpdate { kind, nodes_list } => {
                let instances = nodes_list.unwrap_or_default().into_iter().map(listed).collect();
                let kind = match kind {
                    wire::Kind::Incremental => ListKind::Changes,
                    wire::Kind::Full => ListKind::Complete,
                    wire::Kind::Saved => ListKind::Cached,
                    wire::Kind::Failed => ListKind::Failed,
                };
                Input::WorkerList { kind, workers: instances }
            }
            Incoming::Ingress(ingress) => Input::Job {
                job_id: ingress.id,
                job: Job {
                    class: ingress.service,
                    tenant: ingress.owner,
                    slots: ingress.cores_needed.unwrap_or(1.0),
                    memory: ingress.mem.unwrap_or(0.0),
                    key: ingress.item.as_deref().map(|item| fnv1a_hash(item.as_bytes())),
                    deadline: self.now.saturating_add(ingress.left_ns),
                    is_retry: ingress.retry.unwrap_or(false),
                },
            },
            Incoming::UnderWay { id, seq_no } => Input::Streaming { job_id: id, attempt: seq_no },
            Incoming::Progress { id, seq_no } => Input::Progress { job_id: id, attempt: seq_no },
            Incoming::Resolved { id, code, seq_no, health_info } => {
                let outcome = outcome(code);
                let result = (outcome == Outcome::Ok).then_some(());
                let end = AttemptResult { outcome, result, report: health_info.as_ref().map(report) };
                Input::AttemptEnded { job_id: id, attempt: seq_no, result: end }
            }
            Incoming::CancelledByClient { id } => Input::ClientDisconnected { job_id: id },
            Incoming::Timer {} => {
                self.armed = self.armed.filter(|at| *at > self.now);
                Input::Wake
            }
            Incoming::Sampled { runner, code, health_info } => Input::ProbeCompleted {
                worker: self.engine.as_ref()?.worker_number(&runner)?,
                outcome: outcome(code),
                report: health_info.as_ref().map(report),
            },
            Incoming::Boot { .. } | Incoming::Stop | Incoming::Other => return None,
        })
    }
}

fn listed(node: wire::Node) -> Endpoint<()> {
    Endpoint {
        name: node.runner,
        address: (),
        zone: node.hall.unwrap_or(0),
        kind: node.flavor.unwrap_or(0),
        cell: node.block.unwrap_or(0),
        status: match node.state {
            wire::State::Ready => WorkerStatus::Ready,
            wire::State::Draining => WorkerStatus::Draining,
            wire::State::Gone => WorkerStatus::Gone,
        },
        registered_size: node.nominal.unwrap_or(1.0),
        started_at: node.born_ns.filter(|t| *t > 0),
    }
}

fn outcome(code: Code) -> Outcome {
    match code {
        Code::Pass => Outcome::Ok,
        Code::Fault => Outcome::Error,
        Code::NoRoom => Outcome::Rejected,
        Code::TooSlow => Outcome::Timeout,
        Code::NoRoute => Outcome::ConnectFailed,
        Code::Cut => Outcome::Reset,
        Code::Undone => Outcome::Cancelled,
        Code::StaleSend => Outcome::NotSent,
    }
}

fn report(health: &wire::Health) -> LoadReport {
    LoadReport {
        free_slots: health.x0,
        free_memory: health.x1,
        queued: health.q,
        errors_per_s: health.fail_rate,
        served_per_s: health.rate,
    }
}

fn settings(env: &wire::Env) -> Result<Settings, String> {
    let specifics = env.specifics.as_ref();
    let class = |(number, class): (usize, &wire::Class)| {
        let stretch = specifics.and_then(|s| s.class_stretch.as_ref()?.get(number).copied());
        let kind = specifics.and_then(|s| s.class_kind.as_ref()?.get(number).copied());
        Class {
            idempotency: match class.effect {
                wire::Effect::Safe => Idempotency::Idempotent,
                wire::Effect::Unsafe => Idempotency::NonIdempotent,
                wire::Effect::Keyed => Idempotency::IdempotentWithKey(match class.group {
                    None | Some(wire::Group::Cell) => DeduplicationScope::Cell,
                    Some(wire::Group::Zone) => DeduplicationScope::Zone,
                    Some(wire::Group::All) => DeduplicationScope::All,
                }),
            },
            deduplication_window: class.window_ns.unwrap_or(0),
            latency_objective: class.on_time_ns,
            latency_stretch: class.aim_stretch.or(stretch).unwrap_or(0.0),
            deadline: class.deadline_ns,
            priority_weight: class.importance.unwrap_or(1.0),
            late_weight_share: class.late_value.unwrap_or(0.0),
            required_kind: kind.and_then(|k| u32::try_from(k).ok()),
        }
    };
    let fields = env.load_report.as_ref().and_then(|r| r.fields.as_ref());
    let how = env.load_report.as_ref().and_then(|r| r.how.as_deref());
    let tenants = env.customers.as_deref().unwrap_or_default();
    Ok(Settings {
        dispatchers: env.balancers,
        zone: env.az.unwrap_or(0),
        classes: env.classes.iter().enumerate().map(class).collect(),
        tenants: tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s.unwrap_or(0.0) }).collect(),
        limits: ServiceLimits {
            slow_start_initial_share: env.contract.cold_from.unwrap_or(1.0),
            slow_start_duration: env.contract.cold_ns.unwrap_or(0),
            overload_multiple: env.contract.fall_multiple.unwrap_or(1.0),
            overload_duration: env.contract.fall_ns.unwrap_or(1_000_000_000),
            unsubscribed_list_validity: env.contract.must_ask_in_ns.unwrap_or(10_000_000_000),
        },
        requires_subscription: env.membership_mode.as_deref() == Some("on_request"),
        can_probe: env.caps.probing.unwrap_or(false),
        reports_registered_size: matches!(env.weights.as_deref(), Some("nominal" | "rough")),
        reports_free_slots: how.is_some_and(|h| h != "silent")
            && fields.is_some_and(|f| f.iter().any(|n| n == "x0")),
        notifies_job_start: specifics.and_then(|s| s.tells_start).unwrap_or(false),
        progress_interval: specifics.and_then(|s| s.progress_ns).unwrap_or(0),
        can_cancel: env.caps.cancel.unwrap_or(false),
        allows_hedging: env.caps.parallel_tries.unwrap_or(false),
        max_attempts: env.caps.most_tries.unwrap_or(1),
        max_retry_after: env.caps.max_retry_after_ns.unwrap_or(0),
        connect_timeout: env.caps.connect_timeout_ns.unwrap_or(1_000_000_000),
        clock_resolution: env.resolution_ns.unwrap_or(1_000_000),
    })
}
