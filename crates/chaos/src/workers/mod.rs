//! Stand-in workers: the platform's protocol over the laboratory's worker model, driven by the drill's clock. All
//! of them live in this process; each has a listener of its own.

mod sockets;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use nickelflow_simulator::archive::Archive;
use nickelflow_simulator::fleet::{Machine, Pressure};
use nickelflow_simulator::random::{self, Random};
use nickelflow_simulator::scenario::Scenario;
use nickelflow_simulator::time::{millis, Nanos};
use nickelflow_simulator::worker::{AttemptId, Effect, Load, Up, Worker as Model};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use crate::discovery::Instance;
use crate::links::{bound, listen};
use crate::record::{lock, Record, Scribe};

/// What a request of the drill's clients says in its body about the work that it stands for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Work {
    /// Work of each slot (ns of a standard core).
    pub work: f64,
    pub slots: f64,
    pub memory: f64,
    pub key: Option<u64>,
}

/// Lines of an answer that wait for a slow reader, at most; a worker says fewer than that of a job that nobody reads.
const LINES: usize = 1_024;
/// Reports that are kept.
const REPORTS: usize = 16;

/// How the process behind a listener goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Phase {
    /// Grows with each process; connections of earlier ones are reset.
    life: u64,
    listening: bool,
}

/// What is to be told of an attempt.
enum Note {
    Started,
    Done(String),
    HandedBack,
}

struct State {
    model: Model,
    reports: VecDeque<Load>,
    pressure: Pressure,
    told: HashMap<AttemptId, mpsc::UnboundedSender<Note>>,
}

/// One stand-in worker.
pub struct Worker {
    pub number: u32,
    pub name: String,
    pub rack: u32,
    pub zone: u32,
    /// Where its process listens, through all its lives.
    pub address: SocketAddr,
    state: Mutex<State>,
    phase: watch::Sender<Phase>,
    fleet: Arc<Shared>,
}

/// What all workers have in common.
struct Shared {
    scribe: Scribe,
    scenario: Scenario,
    archive: Mutex<Archive>,
    runs: std::sync::atomic::AtomicU64,
    /// The workers themselves, for what the archive serves.
    all: std::sync::OnceLock<Vec<Arc<Worker>>>,
}

/// Starts the workers of a scenario, dealing its racks to so many zones in turn.
pub async fn start(
    scenario: &Scenario,
    zones: u32,
    seed: u64,
    scribe: Scribe,
) -> std::io::Result<Vec<Arc<Worker>>> {
    let mut random = random::stream(seed, random::Concern::Workers, 0);
    let data = scenario.data.as_ref();
    let streams = data.map_or(1, |data| data.streams.0 as usize);
    let shared = Arc::new(Shared {
        scribe,
        scenario: scenario.clone(),
        archive: Mutex::new(Archive::new(millis(data.map_or(0.0, |data| data.fetch_ms.0)), streams)),
        runs: Default::default(),
        all: Default::default(),
    });
    let mut workers = Vec::new();
    for (number, machine) in
        nickelflow_simulator::fleet::machines(scenario, &mut random).into_iter().enumerate()
    {
        workers.push(Worker::start(number as u32, machine, zones, &shared).await?);
    }
    let _ = shared.all.set(workers.clone());
    for worker in &workers {
        let reports = random::stream(seed, random::Concern::Reports, u64::from(worker.number));
        tokio::spawn(worker.clone().refresh(reports));
    }
    Ok(workers)
}

impl Instance for Worker {
    fn number(&self) -> u32 {
        self.number
    }

    fn name(&self) -> &str {
        &self.name
    }

    fn rack(&self) -> u32 {
        self.rack
    }

    fn zone(&self) -> u32 {
        self.zone
    }

    fn cores(&self) -> f64 {
        lock(&self.state).model.make.cores
    }

    fn started(&self) -> Option<Nanos> {
        lock(&self.state).model.started
    }
}

impl Worker {
    async fn start(
        number: u32,
        machine: Machine,
        zones: u32,
        fleet: &Arc<Shared>,
    ) -> std::io::Result<Arc<Worker>> {
        let held = bound(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = held.local_addr()?;
        let (phase, watched) = watch::channel(Phase { life: 0, listening: true });
        let started = machine.cold.then(|| fleet.scribe.now().max(1));
        if started.is_some() {
            fleet.scribe.note(Record::Up { worker: number });
        }
        let model = Model::new(machine.make, started);
        let reports = VecDeque::from([model.load()]);
        let state = State { model, reports, pressure: Pressure::default(), told: HashMap::new() };
        let worker = Arc::new(Worker {
            number,
            name: format!("w-{number:03}"),
            rack: machine.rack,
            zone: (machine.rack - 1) % zones,
            address,
            state: Mutex::new(state),
            phase,
            fleet: fleet.clone(),
        });
        let listener = listen(address, 1024)?;
        tokio::spawn(worker.clone().serve(listener, held, watched));
        Ok(worker)
    }

    // ---- what is done to it ------------------------------------------------------------------------------

    /// Takes work and answers nothing, or goes on where it stood.
    pub fn hang(self: &Arc<Self>, hung: bool) {
        self.with(|state, _, _| state.model.hung = hung);
    }

    /// Takes nothing new, and hands back what has not started.
    pub fn drain(self: &Arc<Self>) {
        let returns = self.fleet.scenario.workers.drain_returns;
        self.with(|state, _, _| {
            state.model.up = Up::Draining;
            let back = if returns { state.model.hand_back() } else { Vec::new() };
            for id in back {
                if let Some(told) = state.told.remove(&id) {
                    let _ = told.send(Note::HandedBack);
                }
            }
        });
    }

    /// Its process ends; what it had is lost and its connections are reset.
    pub fn crash(self: &Arc<Self>) {
        self.stop(Up::Stopped);
        self.phase.send_modify(|phase| {
            phase.life += 1;
            phase.listening = false;
        });
    }

    /// Its machine falls silent: what it had is lost, and nobody is told.
    pub fn vanish(self: &Arc<Self>) {
        self.stop(Up::Vanished);
    }

    fn stop(self: &Arc<Self>, up: Up) {
        let scribe = self.fleet.scribe.clone();
        self.with(|state, now, _| {
            let lost = state.model.crash(now);
            state.model.up = up;
            state.pressure.clear();
            for (id, _) in lost {
                lock(&self.fleet.archive).forget(id);
                scribe.note(Record::Dropped { run: id.job });
                // Kept, for a silent machine does not even end its connections.
                if up != Up::Vanished {
                    state.told.remove(&id);
                }
            }
        });
    }

    /// A process starts on the machine, cold; what was open from before is reset.
    pub fn restart(self: &Arc<Self>) {
        self.fleet.scribe.note(Record::Up { worker: self.number });
        self.with(|state, now, _| {
            state.model.up = Up::Serving;
            state.model.hung = false;
            state.model.started = Some(now.max(1));
            state.told.clear();
            state.reports = VecDeque::from([state.model.load()]);
        });
        self.phase.send_modify(|phase| {
            phase.life += 1;
            phase.listening = true;
        });
    }

    // ---- the model in real time --------------------------------------------------------------------------

    /// Does something with the model, and carries on with what comes of it.
    fn with<T>(self: &Arc<Self>, act: impl FnOnce(&mut State, Nanos, &mut Vec<Effect>) -> T) -> T {
        let scribe = &self.fleet.scribe;
        let mut state = lock(&self.state);
        let now = scribe.now();
        let mut effects = Vec::new();
        state.model.before(now);
        let result = act(&mut state, now, &mut effects);
        if let Some(due) = state.model.settle(now) {
            let (worker, moment) = (self.clone(), scribe.moment(due));
            tokio::spawn(async move {
                tokio::time::sleep_until(moment).await;
                worker.due(due);
            });
        }
        for effect in effects {
            match effect {
                Effect::Started(id) => {
                    scribe.note(Record::Started { run: id.job });
                    if let Some(told) = state.told.get(&id) {
                        let _ = told.send(Note::Started);
                    }
                }
                Effect::Fetch(id) => {
                    if let Some(at) = lock(&self.fleet.archive).ask(now, self.number, id) {
                        self.clone().fetch(at, id);
                    }
                }
                Effect::Done(id) => {
                    let result = format!("{}/{}", self.name, id.job);
                    scribe.note(Record::Finished { run: id.job, result: result.clone() });
                    if let Some(told) = state.told.remove(&id) {
                        let _ = told.send(Note::Done(result));
                    }
                }
            }
        }
        result
    }

    fn due(self: &Arc<Self>, due: Nanos) {
        if lock(&self.state).model.wants(due) {
            self.with(|state, now, effects| state.model.finish(now, effects));
        }
    }

    /// Its data comes from the archive at a time; then the archive's next is served.
    fn fetch(self: Arc<Self>, at: Nanos, id: AttemptId) {
        tokio::spawn(async move {
            tokio::time::sleep_until(self.fleet.scribe.moment(at)).await;
            let next = lock(&self.fleet.archive).served(self.fleet.scribe.now());
            if let Some((at, worker, id)) = next {
                let all = self.fleet.all.get().map_or(&[][..], Vec::as_slice);
                if let Some(worker) = all.get(worker as usize) {
                    worker.clone().fetch(at, id);
                }
            }
            self.with(|state, now, _| state.model.fetched(now, id));
        });
    }

    /// Renews what a probe is shown, every now and then.
    async fn refresh(self: Arc<Self>, mut random: Random) {
        let gap = self.fleet.scenario.workers.refresh_ms.both();
        if gap.1 <= 0.0 {
            return;
        }
        loop {
            let gap = millis(random::between(&mut random, gap).max(1.0));
            tokio::time::sleep(std::time::Duration::from_nanos(gap)).await;
            let now = self.fleet.scribe.now();
            let mut state = lock(&self.state);
            if !state.model.stands(now) {
                let load = state.model.load();
                state.reports.push_back(load);
                if state.reports.len() > REPORTS {
                    state.reports.pop_front();
                }
            }
        }
    }
}
