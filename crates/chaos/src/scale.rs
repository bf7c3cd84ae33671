//! Runs of a scale file: real schedulers against hollow workers, with discovery's stand-in and open-loop clients. What a
//! scheduler sends and receives is counted at the other end, its processor time and memory are the kernel's.

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use nickelflow_simulator::record::Standing as Listed;
use nickelflow_simulator::scenario::Scenario;
use nickelflow_simulator::time::{in_seconds, Nanos};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinSet;

use crate::clients::{self, Front};
use crate::discovery::{Discovery, Instance};
use crate::hollow::{Counts, Fleet, CORES};
use crate::links::Link;
use crate::processes::Process;
use crate::record::{Entry, Party, Record, Scribe};
use crate::scale_file::Scale;
use crate::settings;

/// How long schedulers may take to learn the first list, and the whole of a run beside what its file says.
const LEARN: Duration = Duration::from_secs(15);
const BESIDE: Duration = Duration::from_secs(45);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// What is started with what.
#[derive(Clone, Debug)]
pub struct Options {
    pub binary: PathBuf,
    pub seed: u64,
}

/// What one scheduler did while it was measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sample {
    pub workers: u32,
    pub repeat: u32,
    pub scheduler: u32,
    pub seconds: f64,
    /// Control: probes of workers, and the watch. Messages of the watch are changes told to it; its empty lines are
    /// in the bytes.
    pub probes: Counts,
    pub watch: Counts,
    /// Work: attempts at workers, and requests of clients.
    pub jobs: Counts,
    pub clients: Counts,
    /// The first list, before it was measured.
    pub list_bytes: f64,
    /// Processor time, of all its threads.
    pub cpu_s: f64,
    /// Resident, at the end and the most since its start.
    pub memory_mb: f64,
    pub peak_mb: f64,
}

/// All samples of one file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    pub scale: Scale,
    pub seed: u64,
    pub samples: Vec<Sample>,
}

/// Plays all sizes of a file, each so often as it says, with a runtime of its own that ends with it.
pub fn play(scale: &Scale, options: &Options, told: impl Fn(&str)) -> Result<Outcome, String> {
    let mut samples = Vec::new();
    for repeat in 0..scale.repeats {
        for &workers in &scale.workers {
            told(&format!("{}: {workers} workers, run {} of {}", scale.name, repeat + 1, scale.repeats));
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
            let bound = Duration::from_secs_f64(scale.warmup_s + scale.seconds) + BESIDE;
            let one = runtime.block_on(unless_told(async {
                let run = tokio::time::timeout(bound, run(scale, workers, repeat, options));
                run.await.unwrap_or_else(|_| Err(format!("not over after {} s", bound.as_secs())))
            }));
            samples.extend(one.map_err(|why| format!("{}, {workers} workers: {why}", scale.name))?);
        }
    }
    Ok(Outcome { scale: scale.clone(), seed: options.seed, samples })
}

/// Goes on until it is over or the program is told to end; what is dropped then ends its processes.
pub async fn unless_told<T>(play: impl std::future::Future<Output = Result<T, String>>) -> Result<T, String> {
    let told = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (mut term, mut hangup) = (told(SignalKind::terminate())?, told(SignalKind::hangup())?);
    tokio::select! {
        outcome = play => outcome,
        _ = tokio::signal::ctrl_c() => Err("interrupted".to_owned()),
        _ = term.recv() => Err("told to end".to_owned()),
        _ = hangup.recv() => Err("its terminal has gone".to_owned()),
    }
}

/// The laboratory's world of this size, which says what schedulers are told and what clients ask.
fn world(scale: &Scale, workers: u32) -> Result<Scenario, String> {
    // Quotas add up to what the fleet can do: so much work a job has, of which hollow workers do none.
    let work_ms = 1e3 * f64::from(workers) * CORES / scale.quota_per_s;
    let tenants: Vec<_> =
        (0..scale.tenants).map(|n| json!({"name": format!("tenant-{n:03}"), "share": 1.0})).collect();
    let world = json!({
        "name": scale.name,
        "duration_s": scale.warmup_s + scale.seconds,
        "schedulers": f64::from(scale.balancers),
        "classes": [{"name": "work", "repeats": "harmless", "aim_ms": 1000.0, "deadline_ms": 3000.0,
            "work_ms": work_ms, "size": "fixed"}],
        "tenants": tenants,
        "pools": [{"count": f64::from(workers), "cores": CORES, "slots": CORES}],
        "network": {"idle_s": scale.idle_s},
        "discovery": {"lag_s": 0.02},
        "traffic": {"per_s": scale.share() * f64::from(scale.schedulers)},
    });
    Scenario::parse(&toml::to_string(&world).map_err(|e| e.to_string())?)
}

/// Everything that takes part in one run.
struct Stage {
    scribe: Scribe,
    fleet: Fleet,
    processes: Vec<Process>,
    /// To discovery and from clients, by scheduler.
    news: Vec<Link>,
    fronts: Vec<Link>,
}

/// What has been counted of one scheduler until a moment.
struct Mark {
    at: Nanos,
    probes: Counts,
    watch: Counts,
    jobs: Counts,
    clients: Counts,
    cpu_s: f64,
}

async fn run(scale: &Scale, workers: u32, repeat: u32, options: &Options) -> Result<Vec<Sample>, String> {
    let io = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let folder = tempfile::tempdir().map_err(io("a folder for the schedulers"))?;
    let world = world(scale, workers)?;
    let seed = options.seed.wrapping_add(u64::from(repeat));
    let scribe = Scribe::default();
    let fleet = Fleet::start(workers, scale.schedulers).map_err(io("hollow workers"))?;
    let listed = fleet.workers.iter().map(|worker| worker.clone() as Arc<dyn Instance>).collect();
    let discovery = Discovery::start(&world, scribe.clone(), listed, fleet.addresses.clone());
    let discovery = discovery.map_err(io("discovery"))?;
    let mut stage = Stage { scribe: scribe.clone(), fleet, processes: vec![], news: vec![], fronts: vec![] };
    for scheduler in 0..scale.schedulers {
        let process = Process::new(scheduler, &options.binary, None, folder.path(), scribe.clone());
        let process = process.map_err(io("a scheduler's address"))?;
        let news = Link::new(Party::Scheduler(scheduler), Party::Discovery, discovery.address, seed).await;
        let front = Link::new(Party::Clients, Party::Scheduler(scheduler), process.address, seed).await;
        let (news, front) = (news.map_err(io("a link"))?, front.map_err(io("a link"))?);
        let own = seed.wrapping_mul(1_000).wrapping_add(u64::from(scheduler));
        let config = settings::of(&world, 1, scheduler, process.address, news.address, own);
        process.configure(&config).map_err(io("a scheduler's file"))?;
        stage.news.push(news);
        stage.fronts.push(front);
        stage.processes.push(process);
    }
    for process in &mut stage.processes {
        process.start(false).await?;
    }
    let lists = stage.first_lists(workers).await?;
    let front = Front::new(stage.fronts.iter().map(|link| link.address).collect());
    (0..scale.schedulers).for_each(|scheduler| front.admit(scheduler, true));
    let mut changing = JoinSet::new();
    if scale.changes_per_s > 0.0 {
        let gap = Duration::from_secs_f64(1.0 / scale.changes_per_s);
        changing.spawn(change(discovery, stage.fleet.workers.clone(), gap));
    }
    let measured = async {
        tokio::time::sleep(Duration::from_secs_f64(scale.warmup_s)).await;
        let before = stage.marks()?;
        tokio::time::sleep(Duration::from_secs_f64(scale.seconds)).await;
        let after = stage.marks()?;
        let pairs = before.into_iter().zip(after).zip(&stage.processes).zip(lists);
        let sample = |(((before, after), process), list_bytes): (((Mark, Mark), &Process), f64)| {
            let status = status(process)?;
            Ok(Sample {
                workers,
                repeat,
                scheduler: process.number,
                seconds: in_seconds(after.at - before.at),
                probes: after.probes.since(before.probes),
                watch: after.watch.since(before.watch),
                jobs: after.jobs.since(before.jobs),
                clients: after.clients.since(before.clients),
                list_bytes,
                cpu_s: after.cpu_s - before.cpu_s,
                memory_mb: field(&status, "VmRSS:")?,
                peak_mb: field(&status, "VmHWM:")?,
            })
        };
        pairs.map(sample).collect::<Result<Vec<Sample>, String>>()
    };
    if world.rate() == 0.0 {
        return measured.await;
    }
    let traffic = clients::play(&world, seed, scribe, front);
    let (samples, stats) = tokio::join!(measured, traffic);
    let summary = stats?.close();
    // Hollow workers refuse nothing: what is not served was lost on the way, and its figures say nothing.
    if summary.in_time + summary.left < summary.requests * 9 / 10 {
        return Err(format!("of {} requests {} were served in time", summary.requests, summary.in_time));
    }
    samples
}

/// Changes the list again and again: a worker leaves, and is back with the next change.
async fn change(discovery: Arc<Discovery>, workers: Vec<Arc<crate::hollow::Hollow>>, gap: Duration) {
    let mut ticks = tokio::time::interval(gap);
    for worker in workers.iter().cycle() {
        for standing in [Listed::Draining, Listed::Ready] {
            ticks.tick().await;
            discovery.changed(worker.as_ref(), standing);
        }
    }
}

impl Stage {
    /// Waits until every scheduler has the first list; the bytes of each.
    async fn first_lists(&self, workers: u32) -> Result<Vec<f64>, String> {
        let whole = workers as usize * self.processes.len();
        let learned = async {
            let told = |entry: &Entry| matches!(entry.what, Record::Told { .. });
            while self.scribe.entries().iter().filter(|entry| told(entry)).count() < whole {
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::time::timeout(LEARN, learned).await.map_err(|_| "schedulers do not ask for the list")?;
        // Written; and now passed on.
        let bytes = || -> Vec<f64> {
            self.news.iter().map(|link| link.passed.answers.load(Ordering::Relaxed) as f64).collect()
        };
        let mut before = bytes();
        loop {
            tokio::time::sleep(5 * LOOK).await;
            let now = bytes();
            if now == before {
                return Ok(now);
            }
            before = now;
        }
    }

    fn marks(&self) -> Result<Vec<Mark>, String> {
        let entries = self.scribe.entries();
        let count =
            |of: &dyn Fn(&Record) -> bool| entries.iter().filter(|entry| of(&entry.what)).count() as f64;
        let mark = |process: &Process| {
            let number = process.number;
            let told = count(&|what| matches!(what, Record::Told { scheduler, .. } if *scheduler == number));
            let asked =
                count(&|what| matches!(what, Record::Asked { scheduler, .. } if *scheduler == number));
            let (news, front) = (&self.news[number as usize].passed, &self.fronts[number as usize].passed);
            let figure = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed) as f64;
            let meter = &self.fleet.meters[number as usize];
            Ok(Mark {
                at: self.scribe.now(),
                probes: meter.probes(),
                jobs: meter.jobs(),
                watch: Counts {
                    messages: told,
                    bytes_out: figure(&news.requests),
                    bytes_in: figure(&news.answers),
                    connections: figure(&news.connections),
                },
                clients: Counts {
                    messages: asked,
                    bytes_out: figure(&front.answers),
                    bytes_in: figure(&front.requests),
                    connections: figure(&front.connections),
                },
                cpu_s: cpu_s(process)?,
            })
        };
        self.processes.iter().map(mark).collect()
    }
}

fn proc(process: &Process) -> Result<PathBuf, String> {
    let id = process.id().ok_or("a scheduler has no process")?;
    Ok(Path::new("/proc").join(id.to_string()))
}

/// Time on a processor, of all threads: the first figure of each one's `schedstat`, in nanoseconds.
fn cpu_s(process: &Process) -> Result<f64, String> {
    let tasks = proc(process)?.join("task");
    let failed = |e: std::io::Error| format!("scheduler {}: {}: {e}", process.number, tasks.display());
    let mut sum = 0.0;
    for task in std::fs::read_dir(&tasks).map_err(failed)? {
        let text = std::fs::read_to_string(task.map_err(failed)?.path().join("schedstat")).map_err(failed)?;
        let first = text.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
        sum += first.ok_or("schedstat has no figures")?;
    }
    Ok(sum / 1e9)
}

fn status(process: &Process) -> Result<String, String> {
    let path = proc(process)?.join("status");
    std::fs::read_to_string(&path)
        .map_err(|e| format!("scheduler {}: {}: {e}", process.number, path.display()))
}

/// A field of `status` that is told in kB, in MB.
fn field(status: &str, name: &str) -> Result<f64, String> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let figure = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    figure.map(|kb| kb * 1024.0 / 1e6).ok_or_else(|| format!("status has no {name}"))
}
