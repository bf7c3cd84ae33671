//! One dispatcher instance: its engine, and the translation between the engine and the wire protocol.

use std::panic::{catch_unwind, AssertUnwindSafe};

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits, Tenant};
use nickelflow_engine::{
    fnv1a_hash, AttemptResult, Endpoint, Engine, FinalAnswer, Input, Job, ListKind, LoadReport, Nanos,
    Outcome, Output, Settings, StartAttempt, WorkerStatus,
};

use crate::wire::{self, Event, ResultCode, Step};

/// The engine of one instance. The wire identifies a job by its id and a worker by its address, which serves
/// as the worker's name, and carries no results.
type SimulatorEngine = Engine<String, (), ()>;

/// Runs one engine and keeps its outputs until the reply has been written.
#[derive(Default)]
pub struct Instance {
    engine: Option<SimulatorEngine>,
    now: Nanos,
    /// The engine's outputs for this batch.
    outputs: Vec<Output<String, ()>>,
    /// The earliest timer that has been requested and has not fired.
    pending_timer: Option<Nanos>,
    /// The timer to request in the reply to this batch.
    requested_timer: Option<Nanos>,
    /// The message of a panic of the engine. The engine gets no further inputs after a panic.
    panic_message: Option<String>,
}

impl Instance {
    /// Processes the events of one batch at the simulated time `now`.
    pub fn process_events(&mut self, now: Nanos, events: Vec<Event>) -> Result<(), String> {
        self.now = now;
        for event in events {
            match event {
                Event::Boot { random_seed, env } => {
                    let engine =
                        Engine::new(engine_settings(&env)?, random_seed).map_err(|e| e.to_string())?;
                    *self = Instance { engine: Some(engine), now, ..Instance::default() };
                }
                Event::Stop => *self = Instance::default(),
                other => {
                    if let Some(input) = self.translate_event(other) {
                        self.handle_input(input);
                    }
                }
            }
        }
        let next_wake = self.engine.as_ref().and_then(Engine::next_wake);
        if let Some(at) = next_wake.filter(|at| self.pending_timer.is_none_or(|pending| *at < pending)) {
            (self.pending_timer, self.requested_timer) = (next_wake, Some(at));
        }
        Ok(())
    }

    /// Passes an input to the engine and records a panic, after which the instance ignores all inputs.
    fn handle_input(&mut self, input: Input<String, (), ()>) {
        let (Some(engine), None) = (self.engine.as_mut(), self.panic_message.as_ref()) else { return };
        let (now, outputs) = (self.now, &mut self.outputs);
        match catch_unwind(AssertUnwindSafe(|| engine.handle(now, input, outputs))) {
            // The protocol requires that events for unknown jobs, attempts and workers are ignored.
            Ok(_) => {}
            Err(panic) => {
                let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
                let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
                self.panic_message = Some(text.unwrap_or_else(|| "the module panicked".to_owned()));
            }
        }
    }

    /// Returns the steps that answer the batch.
    pub fn steps(&self) -> Vec<Step<'_>> {
        if let Some(message) = &self.panic_message {
            return vec![Step::GiveIn { line: message.clone() }];
        }
        let timer = self.requested_timer.map(|at| Step::Arm { key_back: 0, moment_ns: at });
        self.outputs.iter().filter_map(|output| self.translate_output(output)).chain(timer).collect()
    }

    /// Translates an output of the engine, or returns `None` if the simulator needs no step for it.
    fn translate_output<'a>(&'a self, output: &'a Output<String, ()>) -> Option<Step<'a>> {
        let worker_name = |number: u32| Some(self.engine.as_ref()?.worker(number)?.name.as_str());
        Some(match output {
            Output::StartAttempt(StartAttempt { job_id: id, worker, deadline, .. }) => Step::Route {
                id,
                runner: worker_name(*worker)?,
                max_wait_ns: deadline.saturating_sub(self.now),
            },
            Output::Cancel { job_id: id, attempt } => Step::Revoke { id, seq_no: *attempt },
            // In the simulator an attempt starts at the moment of the decision, so that none is unstarted.
            Output::CancelUnstarted { .. } => return None,
            Output::FinalAnswer { job_id: id, answer: FinalAnswer::Rejected { retry_after } } => {
                Step::Decline { id, pause_ns: *retry_after }
            }
            Output::FinalAnswer { job_id: id, answer: FinalAnswer::Failed } => Step::Lose { id },
            // The simulator delivers the result to the client itself.
            Output::FinalAnswer { answer: FinalAnswer::Served(()), .. } => return None,
            Output::Probe { worker } => Step::Inspect { runner: worker_name(*worker)? },
            Output::Subscribe => Step::Follow { active: true },
        })
    }

    /// Discards the outputs and the timer request once the reply has been written.
    pub fn clear_outputs(&mut self) {
        self.outputs.clear();
        self.requested_timer = None;
    }

    /// Translates an event, or returns `None` if the engine has no input for it.
    fn translate_event(&mut self, event: Event) -> Option<Input<String, (), ()>> {
        Some(match event {
            Event::DirectoryUpdate { kind, nodes_list } => {
                let workers = nodes_list.unwrap_or_default().into_iter().map(endpoint).collect();
                let kind = match kind {
                    wire::ListUpdateKind::Incremental => ListKind::Changes,
                    wire::ListUpdateKind::Full => ListKind::Complete,
                    wire::ListUpdateKind::Saved => ListKind::Cached,
                    wire::ListUpdateKind::Failed => ListKind::Failed,
                };
                Input::WorkerList { kind, workers }
            }
            Event::Ingress(ingress) => Input::Job {
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
            Event::UnderWay { id, seq_no } => Input::Streaming { job_id: id, attempt: seq_no },
            Event::Progress { id, seq_no } => Input::Progress { job_id: id, attempt: seq_no },
            Event::Resolved { id, code, seq_no, health_info } => {
                let outcome = attempt_outcome(code);
                let result = (outcome == Outcome::Ok).then_some(());
                let attempt_result =
                    AttemptResult { outcome, result, report: health_info.as_ref().map(load_report) };
                Input::AttemptEnded { job_id: id, attempt: seq_no, result: attempt_result }
            }
            Event::CancelledByClient { id } => Input::ClientDisconnected { job_id: id },
            Event::Timer {} => {
                self.pending_timer = self.pending_timer.filter(|at| *at > self.now);
                Input::Wake
            }
            Event::Sampled { runner, code, health_info } => Input::ProbeCompleted {
                worker: self.engine.as_ref()?.worker_number(&runner)?,
                outcome: attempt_outcome(code),
                report: health_info.as_ref().map(load_report),
            },
            Event::Boot { .. } | Event::Stop | Event::Other => return None,
        })
    }
}

/// Converts a worker of the wire's endpoint list.
fn endpoint(node: wire::Node) -> Endpoint<()> {
    Endpoint {
        name: node.runner,
        address: (),
        zone: node.hall.unwrap_or(0),
        kind: node.flavor.unwrap_or(0),
        cell: node.block.unwrap_or(0),
        status: match node.state {
            wire::NodeState::Ready => WorkerStatus::Ready,
            wire::NodeState::Draining => WorkerStatus::Draining,
            wire::NodeState::Gone => WorkerStatus::Gone,
        },
        registered_size: node.nominal.unwrap_or(1.0),
        started_at: node.born_ns.filter(|t| *t > 0),
    }
}

/// Converts the result code of an attempt or a probe.
fn attempt_outcome(code: ResultCode) -> Outcome {
    match code {
        ResultCode::Pass => Outcome::Ok,
        ResultCode::Fault => Outcome::Error,
        ResultCode::NoRoom => Outcome::Rejected,
        ResultCode::TooSlow => Outcome::Timeout,
        ResultCode::NoRoute => Outcome::ConnectFailed,
        ResultCode::Cut => Outcome::Reset,
        ResultCode::Undone => Outcome::Cancelled,
        ResultCode::StaleSend => Outcome::NotSent,
    }
}

/// Converts a load report.
fn load_report(health: &wire::HealthInfo) -> LoadReport {
    LoadReport {
        free_slots: health.x0,
        free_memory: health.x1,
        queued: health.q,
        errors_per_s: health.fail_rate,
        served_per_s: health.rate,
    }
}

/// Converts the settings of an instance and fills in the defaults of absent fields.
fn engine_settings(env: &wire::Environment) -> Result<Settings, String> {
    let specifics = env.specifics.as_ref();
    let class = |(number, class): (usize, &wire::Class)| {
        let stretch = specifics.and_then(|s| s.class_stretch.as_ref()?.get(number).copied());
        let kind = specifics.and_then(|s| s.class_kind.as_ref()?.get(number).copied());
        Class {
            idempotency: match class.effect {
                wire::ClassEffect::Idempotent => Idempotency::Idempotent,
                wire::ClassEffect::NonIdempotent => Idempotency::NonIdempotent,
                wire::ClassEffect::IdempotentWithKey => Idempotency::IdempotentWithKey(match class.group {
                    None | Some(wire::DeduplicationGroup::Cell) => DeduplicationScope::Cell,
                    Some(wire::DeduplicationGroup::Zone) => DeduplicationScope::Zone,
                    Some(wire::DeduplicationGroup::All) => DeduplicationScope::All,
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
    let report_fields = env.load_report.as_ref().and_then(|r| r.fields.as_ref());
    let report_mode = env.load_report.as_ref().and_then(|r| r.how.as_deref());
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
        reports_free_slots: report_mode.is_some_and(|mode| mode != "silent")
            && report_fields.is_some_and(|fields| fields.iter().any(|name| name == "x0")),
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
