//! One instance: its dispatcher, and the names that stand on the wire for the numbers that it uses.

use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use nickelflow::{
    Action, Class, Contract, Dispatcher, Effect, Event, Group, ListKind, Membership, Outcome, Report,
    Request, RequestId, Settings, Tenant, WorkerEntry, WorkerId,
};

use crate::wire::{self, Code, Incoming, Step};

#[derive(Default)]
pub struct Instance {
    dispatcher: Option<Dispatcher>,
    workers: Vec<String>,
    worker_numbers: HashMap<String, u32>,
    requests: HashMap<u64, Names>,
    request_numbers: HashMap<String, u64>,
    next_request: u64,
    actions: Vec<Action>,
    /// Requests of this batch that may be over.
    ended: Vec<u64>,
    failed: Option<String>,
}

/// A request's name, kept until it is over and all its attempts are in.
struct Names {
    id: String,
    out: u32,
    over: bool,
}

/// FNV-1a: the same for every instance and build, so that all hash a key or an address alike.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Instance {
    pub fn take(&mut self, now: u64, inbox: Vec<Incoming>) -> Result<(), String> {
        for incoming in inbox {
            match incoming {
                Incoming::Boot { random_seed, env } => {
                    *self = Instance::default();
                    let settings = settings(&env)?;
                    let dispatcher = Dispatcher::new(settings, random_seed).map_err(|e| e.to_string())?;
                    self.dispatcher = Some(dispatcher);
                }
                Incoming::Stop => *self = Instance::default(),
                other => {
                    if let Some(event) = self.event(other) {
                        self.handle(now, event);
                    }
                }
            }
        }
        Ok(())
    }

    fn handle(&mut self, now: u64, event: Event) {
        let over = match &event {
            Event::Outcome { request, finished, .. } => Some((*request, *finished, true)),
            Event::ClientGone { request } => Some((*request, true, false)),
            _ => None,
        };
        let (Some(dispatcher), None) = (self.dispatcher.as_mut(), self.failed.as_ref()) else { return };
        let before = self.actions.len();
        let actions = &mut self.actions;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| dispatcher.handle(now, event, actions))) {
            let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
            let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
            self.failed = Some(text.unwrap_or_else(|| "the module panicked".to_owned()));
        }
        for action in &self.actions[before..] {
            let (request, sent) = match action {
                Action::Send { request, .. } => (request, true),
                Action::Refuse { request, .. } | Action::Fail { request } => (request, false),
                _ => continue,
            };
            if let Some(names) = self.requests.get_mut(&request.0) {
                names.out += u32::from(sent);
                names.over |= !sent;
            }
        }
        if let Some((request, finished, returned)) = over {
            if let Some(names) = self.requests.get_mut(&request.0) {
                names.over |= finished;
                names.out = names.out.saturating_sub(u32::from(returned));
            }
            self.ended.push(request.0);
        }
    }

    /// The answer to the batch.
    pub fn steps(&self) -> Vec<Step<'_>> {
        if let Some(line) = &self.failed {
            return vec![Step::GiveIn { line: line.clone() }];
        }
        self.actions.iter().filter_map(|action| self.step(action)).collect()
    }

    fn step(&self, action: &Action) -> Option<Step<'_>> {
        let id = |request: &RequestId| Some(self.requests.get(&request.0)?.id.as_str());
        let runner = |worker: &WorkerId| Some(self.workers.get(worker.0 as usize)?.as_str());
        Some(match action {
            Action::Send { request, worker, timeout } => {
                Step::Route { id: id(request)?, runner: runner(worker)?, max_wait_ns: *timeout }
            }
            Action::Cancel { request, attempt } => Step::Revoke { id: id(request)?, seq_no: *attempt },
            Action::Refuse { request, retry_after } => {
                Step::Decline { id: id(request)?, pause_ns: *retry_after }
            }
            Action::Fail { request } => Step::Lose { id: id(request)? },
            Action::Probe { worker } => Step::Inspect { runner: runner(worker)? },
            Action::Subscribe => Step::Follow { active: true },
            Action::Wake { at } => Step::Arm { key_back: 0, moment_ns: *at },
        })
    }

    /// The answer has gone out: forgets it, and the names that no message can use any more.
    pub fn sent(&mut self) {
        let mut touched = std::mem::take(&mut self.ended);
        for action in self.actions.drain(..) {
            if let Action::Refuse { request, .. } | Action::Fail { request } = action {
                touched.push(request.0);
            }
        }
        for request in touched {
            self.forget(request);
        }
    }

    fn forget(&mut self, request: u64) {
        if self.requests.get(&request).is_some_and(|names| names.over && names.out == 0) {
            if let Some(names) = self.requests.remove(&request) {
                self.request_numbers.remove(&names.id);
            }
        }
    }

    fn worker(&mut self, name: &str) -> WorkerId {
        if let Some(number) = self.worker_numbers.get(name) {
            return WorkerId(*number);
        }
        let number = self.workers.len() as u32;
        self.workers.push(name.to_owned());
        self.worker_numbers.insert(name.to_owned(), number);
        WorkerId(number)
    }

    fn event(&mut self, incoming: Incoming) -> Option<Event> {
        Some(match incoming {
            Incoming::DirectoryUpdate { kind, nodes_list } => {
                let entries = nodes_list.unwrap_or_default().iter().map(|n| self.entry(n)).collect();
                let kind = match kind {
                    wire::Kind::Incremental => ListKind::Changes,
                    wire::Kind::Full => ListKind::Full,
                    wire::Kind::Saved => ListKind::Saved,
                    wire::Kind::Failed => ListKind::Failed,
                };
                Event::Workers { kind, entries }
            }
            Incoming::Ingress(ingress) => {
                let number = self.next_request;
                self.next_request += 1;
                self.request_numbers.insert(ingress.id.clone(), number);
                self.requests.insert(number, Names { id: ingress.id, out: 0, over: false });
                Event::Request(Request {
                    id: RequestId(number),
                    class: ingress.service,
                    tenant: ingress.owner,
                    slots: ingress.cores_needed.unwrap_or(1.0),
                    memory: ingress.mem.unwrap_or(0.0),
                    key: ingress.item.as_deref().map(hash),
                    time_left: ingress.left_ns,
                    retry: ingress.retry.unwrap_or(false),
                })
            }
            Incoming::UnderWay { id, seq_no } => {
                Event::Streaming { request: self.request(&id)?, attempt: seq_no }
            }
            Incoming::Progress { id, seq_no } => {
                Event::Progress { request: self.request(&id)?, attempt: seq_no }
            }
            Incoming::Resolved { id, finished, code, seq_no, health_info } => Event::Outcome {
                request: self.request(&id)?,
                attempt: seq_no,
                outcome: outcome(code),
                finished: finished.unwrap_or(false),
                report: health_info.as_ref().map(report),
            },
            Incoming::CancelledByClient { id } => Event::ClientGone { request: self.request(&id)? },
            Incoming::Timer {} => Event::Wake,
            Incoming::Sampled { runner, code, health_info } => Event::Probed {
                worker: WorkerId(*self.worker_numbers.get(&runner)?),
                outcome: outcome(code),
                report: health_info.as_ref().map(report),
            },
            Incoming::Boot { .. } | Incoming::Stop | Incoming::Other => return None,
        })
    }

    fn request(&self, id: &str) -> Option<RequestId> {
        self.request_numbers.get(id).map(|number| RequestId(*number))
    }

    fn entry(&mut self, node: &wire::Node) -> WorkerEntry {
        WorkerEntry {
            worker: self.worker(&node.runner),
            address_hash: hash(&node.runner),
            zone: node.hall.unwrap_or(0),
            kind: node.flavor.unwrap_or(0),
            cell: node.block.unwrap_or(0),
            membership: match node.state {
                wire::State::Ready => Membership::Ready,
                wire::State::Draining => Membership::Draining,
                wire::State::Gone => Membership::Gone,
            },
            started: node.born_ns.filter(|t| *t > 0),
        }
    }
}

fn outcome(code: Code) -> Outcome {
    match code {
        Code::Pass => Outcome::Ok,
        Code::Fault => Outcome::Error,
        Code::NoRoom => Outcome::Full,
        Code::TooSlow => Outcome::Timeout,
        Code::NoRoute => Outcome::ConnectFailed,
        Code::Cut => Outcome::Reset,
        Code::Undone => Outcome::Cancelled,
        Code::StaleSend => Outcome::NotSent,
    }
}

fn report(health: &wire::Health) -> Report {
    Report {
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
            effect: match class.effect {
                wire::Effect::Safe => Effect::Safe,
                wire::Effect::Unsafe => Effect::Unsafe,
                wire::Effect::Keyed => Effect::Keyed(match class.group {
                    None | Some(wire::Group::Cell) => Group::Cell,
                    Some(wire::Group::Zone) => Group::Zone,
                    Some(wire::Group::All) => Group::All,
                }),
            },
            window: class.window_ns.unwrap_or(0),
            aim: class.on_time_ns,
            stretch: class.aim_stretch.or(stretch).unwrap_or(0.0),
            deadline: class.deadline_ns,
            worth: class.importance.unwrap_or(1.0),
            late_worth: class.late_value.unwrap_or(0.0),
            kind: kind.and_then(|k| u32::try_from(k).ok()),
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
        contract: Contract {
            cold_from: env.contract.cold_from.unwrap_or(1.0),
            cold: env.contract.cold_ns.unwrap_or(0),
            fall_multiple: env.contract.fall_multiple.unwrap_or(1.0),
            fall: env.contract.fall_ns.unwrap_or(1_000_000_000),
            must_ask: env.contract.must_ask_in_ns.unwrap_or(10_000_000_000),
        },
        must_subscribe: env.membership_mode.as_deref() == Some("on_request"),
        can_probe: env.caps.probing.unwrap_or(false),
        reports_slots: how.is_some_and(|h| h != "silent")
            && fields.is_some_and(|f| f.iter().any(|n| n == "x0")),
        tells_start: specifics.and_then(|s| s.tells_start).unwrap_or(false),
        progress: specifics.and_then(|s| s.progress_ns).unwrap_or(0),
        can_cancel: env.caps.cancel.unwrap_or(false),
        parallel_tries: env.caps.parallel_tries.unwrap_or(false),
        max_attempts: env.caps.most_tries.unwrap_or(1),
        max_retry_after: env.caps.max_retry_after_ns.unwrap_or(0),
        resolution: env.resolution_ns.unwrap_or(1_000_000),
    })
}
