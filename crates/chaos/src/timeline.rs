//! Carries a drill's events out: each begins and ends at its time, whatever the others do.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use nickelflow_simulator::record::Standing;
use nickelflow_simulator::time::seconds;
use tokio::sync::Mutex;

use crate::agreement::Operator;
use crate::clients::Front;
use crate::discovery::Discovery;
use crate::links::{Link, State, Way as LinkWay};
use crate::processes::Process;
use crate::record::{Party, Record, Scribe};
use crate::scenario::{Event, Parties, Then, Way, What};
use crate::workers::Worker;

/// All that events can be done to.
pub struct Stage {
    pub scribe: Scribe,
    pub processes: Vec<Arc<Mutex<Process>>>,
    pub workers: Vec<Arc<Worker>>,
    pub links: Vec<Arc<Link>>,
    pub discovery: Arc<Discovery>,
    /// Who changes the rules that schedulers agree on, and the names that they are made of.
    pub operator: Option<Operator>,
    pub tenants: Vec<String>,
    pub names: Vec<String>,
    pub front: Arc<Front>,
    /// How long the front goes on sending clients to a scheduler that has died.
    pub front_notices: Duration,
}

/// Plays one event from `begin` on. The error is that of a process that does not start or end as it should.
pub async fn play(stage: Arc<Stage>, number: u32, event: Event, begin: u64) -> Result<(), String> {
    let scribe = &stage.scribe;
    tokio::time::sleep_until(scribe.moment(begin + seconds(event.at_s.0))).await;
    let name = event.what.name().to_owned();
    scribe.note(Record::Fault { number, name: name.clone(), begins: true });
    let length = Duration::from_secs_f64(event.for_s.0);
    let done = match &event.what {
        What::Kill { schedulers } => {
            each(&stage, schedulers, |stage, process| kill(stage, process, length)).await
        }
        What::Stop { schedulers } => each(&stage, schedulers, |_, process| stop(process, length)).await,
        What::Restart { schedulers, older } => {
            let older = *older;
            each(&stage, schedulers, move |stage, process| restart(stage, process, length, older)).await
        }
        What::HangUp { scheduler, times } => {
            let times = *times;
            each(&stage, &[*scheduler], move |_, process| hang_up(process, times, length)).await
        }
        What::Crash { workers }
        | What::Vanish { workers }
        | What::Hang { workers }
        | What::Drain { workers } => {
            let met =
                stage.workers.iter().filter(|w| meets(*workers, Party::Worker(w.number), &stage.workers));
            let met: Vec<Arc<Worker>> = met.cloned().collect();
            stage.workers_event(&event.what, &met, length).await;
            Ok(())
        }
        What::Propose { document } => match &stage.operator {
            Some(operator) => operator.propose(document).await,
            None => Ok(()),
        },
        What::RollBack { to } => match &stage.operator {
            Some(operator) => operator.roll_back(*to).await,
            None => Ok(()),
        },
        What::Changes { every_ms } => match &stage.operator {
            Some(operator) => {
                let every = Duration::from_secs_f64(every_ms.0 / 1e3);
                let changes = operator.changes(&stage.tenants, &stage.names, u64::from(number), every);
                tokio::time::timeout(length, changes).await.unwrap_or(Ok(()))
            }
            None => Ok(()),
        },
        What::DiscoveryDown => {
            stage.discovery.down(true);
            tokio::time::sleep(length).await;
            stage.discovery.down(false);
            Ok(())
        }
        What::DiscoveryStale => {
            stage.discovery.stale(true);
            tokio::time::sleep(length).await;
            stage.discovery.stale(false);
            Ok(())
        }
        link => {
            stage.links_event(link, length).await;
            Ok(())
        }
    };
    scribe.note(Record::Fault { number, name, begins: false });
    done
}

/// Does something with several schedulers side by side.
async fn each<F: Future<Output = Result<(), String>> + Send + 'static>(
    stage: &Arc<Stage>,
    schedulers: &[u32],
    act: impl Fn(Arc<Stage>, Arc<Mutex<Process>>) -> F,
) -> Result<(), String> {
    let mut acts = tokio::task::JoinSet::new();
    for number in schedulers {
        if let Some(process) = stage.processes.get(*number as usize) {
            acts.spawn(act(stage.clone(), process.clone()));
        }
    }
    let mut result = Ok(());
    while let Some(done) = acts.join_next().await {
        result = result.and(done.map_err(|e| e.to_string()).and_then(|done| done));
    }
    result
}

async fn kill(stage: Arc<Stage>, process: Arc<Mutex<Process>>, down: Duration) -> Result<(), String> {
    let mut process = process.lock().await;
    let number = process.number;
    process.kill();
    let front = stage.front.clone();
    let notices = stage.front_notices;
    let noticed = tokio::spawn(async move {
        tokio::time::sleep(notices).await;
        front.admit(number, false);
    });
    tokio::time::sleep(down).await;
    process.start(false).await?;
    noticed.abort();
    stage.front.admit(number, true);
    Ok(())
}

async fn stop(process: Arc<Mutex<Process>>, length: Duration) -> Result<(), String> {
    let process = process.lock().await;
    process.stop();
    tokio::time::sleep(length).await;
    process.go_on();
    Ok(())
}

/// SIGHUP in a row, and then the rest of the event's time.
async fn hang_up(process: Arc<Mutex<Process>>, times: u32, length: Duration) -> Result<(), String> {
    let pause = length.min(Duration::from_secs(1)) / (times + 1);
    for _ in 0..times {
        process.lock().await.hang_up();
        tokio::time::sleep(pause).await;
    }
    Ok(())
}

async fn restart(
    stage: Arc<Stage>,
    process: Arc<Mutex<Process>>,
    down: Duration,
    older: bool,
) -> Result<(), String> {
    let mut process = process.lock().await;
    process.tell_to_end();
    // The front hears of a planned end a little later.
    tokio::time::sleep(Duration::from_millis(300)).await;
    stage.front.admit(process.number, false);
    process.ended().await?;
    tokio::time::sleep(down).await;
    process.start(older).await?;
    stage.front.admit(process.number, true);
    Ok(())
}

/// Whether a party is among those named.
pub fn meets(parties: Parties, party: Party, workers: &[Arc<Worker>]) -> bool {
    let worker = |n: u32| workers.get(n as usize);
    match (parties, party) {
        (Parties::Clients, Party::Clients)
        | (Parties::Discovery, Party::Discovery)
        | (Parties::Schedulers, Party::Scheduler(_))
        | (Parties::Workers, Party::Worker(_)) => true,
        (Parties::Scheduler(n), Party::Scheduler(m)) | (Parties::Worker(n), Party::Worker(m)) => n == m,
        (Parties::Rack(rack), Party::Worker(n)) => worker(n).is_some_and(|w| w.rack == rack),
        (Parties::Zone(zone), Party::Worker(n)) => worker(n).is_some_and(|w| w.zone == zone),
        _ => false,
    }
}

impl Stage {
    async fn workers_event(&self, what: &What, met: &[Arc<Worker>], length: Duration) {
        let silent: Vec<&Arc<Link>> = self
            .links
            .iter()
            .filter(|link| met.iter().any(|worker| link.to == Party::Worker(worker.number)))
            .collect();
        match what {
            What::Hang { .. } => {
                met.iter().for_each(|worker| worker.hang(true));
                tokio::time::sleep(length).await;
                met.iter().for_each(|worker| worker.hang(false));
            }
            What::Crash { .. } => {
                for worker in met {
                    worker.crash();
                    self.discovery.changed(worker.as_ref(), Standing::Gone);
                }
                tokio::time::sleep(length).await;
            }
            What::Vanish { .. } => {
                for link in &silent {
                    self.change(link, "vanished", cut(Way::Both));
                }
                for worker in met {
                    worker.vanish();
                    self.discovery.changed(worker.as_ref(), Standing::Gone);
                }
                tokio::time::sleep(length).await;
                for link in &silent {
                    self.heal(link, cut(Way::Both), true);
                }
            }
            _ => {
                for worker in met {
                    worker.drain();
                    self.discovery.changed(worker.as_ref(), Standing::Draining);
                }
                tokio::time::sleep(length).await;
                for worker in met {
                    worker.crash();
                    self.discovery.changed(worker.as_ref(), Standing::Gone);
                }
            }
        }
        if !matches!(what, What::Hang { .. }) {
            for worker in met {
                worker.restart();
                self.discovery.changed(worker.as_ref(), Standing::Ready);
            }
        }
    }

    async fn links_event(&self, what: &What, length: Duration) {
        let (from, to) = match what {
            What::Cut { from, to, .. }
            | What::Delay { from, to, .. }
            | What::Slow { from, to, .. }
            | What::ResetAfter { from, to, .. }
            | What::ResetAtRandom { from, to, .. }
            | What::Refuse { from, to } => (*from, *to),
            _ => return,
        };
        let met =
            |link: &&Arc<Link>| meets(from, link.from, &self.workers) && meets(to, link.to, &self.workers);
        let met: Vec<&Arc<Link>> = self.links.iter().filter(met).collect();
        for link in &met {
            self.change(link, what.name(), |state, wrong| fault(state, what, wrong));
        }
        tokio::time::sleep(length).await;
        let reset = matches!(what, What::Cut { then: Then::Reset, .. });
        for link in &met {
            self.heal(link, |state, wrong| fault(state, what, wrong), reset);
        }
    }

    fn change(&self, link: &Link, name: &str, apply: impl Fn(&mut State, bool)) {
        self.scribe.note(Record::Link { from: link.from, to: link.to, fault: Some(name.to_owned()) });
        link.change(|state| apply(state, true));
    }

    fn heal(&self, link: &Link, apply: impl Fn(&mut State, bool), reset: bool) {
        link.change(|state| {
            apply(state, false);
            state.resets += u64::from(reset);
        });
        if link.state().well() {
            self.scribe.note(Record::Link { from: link.from, to: link.to, fault: None });
        }
    }
}

fn cut(way: Way) -> impl Fn(&mut State, bool) {
    move |state, wrong| {
        if way != Way::Answers {
            state.requests.open = !wrong;
        }
        if way != Way::Requests {
            state.answers.open = !wrong;
        }
    }
}

/// Puts a fault on a link, or takes it off.
fn fault(state: &mut State, what: &What, wrong: bool) {
    let both = |state: &mut State, change: &dyn Fn(&mut LinkWay)| {
        change(&mut state.requests);
        change(&mut state.answers);
    };
    match what {
        What::Cut { way, .. } => cut(*way)(state, wrong),
        What::Delay { by_ms, jitter_ms, .. } => both(state, &|way| {
            let on = |ms: f64| if wrong { Duration::from_secs_f64(ms / 1e3) } else { Duration::ZERO };
            (way.delay, way.jitter) = (on(by_ms.0), on(jitter_ms.0));
        }),
        What::Slow { bytes_per_s, .. } => both(state, &|way| way.bytes_per_s = wrong.then_some(*bytes_per_s)),
        What::ResetAfter { bytes, .. } => state.reset_after = wrong.then_some(u64::from(*bytes)),
        What::ResetAtRandom { part, .. } => state.reset_part = if wrong { part.0 } else { 0.0 },
        What::Refuse { .. } => state.refuse = wrong,
        _ => {}
    }
}
