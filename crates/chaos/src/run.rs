//! One drill from its begin to its end: everything is started, traffic and events are played side by side, all is
//! ended, and the record is judged.

use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use nickelflow_simulator::report::{Document, Entry as Played, Lot, Plot, Span};
use nickelflow_simulator::scenario::Repeats;
use nickelflow_simulator::stats::Summary;
use nickelflow_simulator::time::{in_seconds, millis, seconds, MS};
use tokio::sync::Mutex;

use crate::agreement::{Agreement, Operator};
use crate::audit::{audit, Finding, Law, Repeat};
use crate::audit_rules::{self, audit_rules, Agreed, Overlaps};
use crate::clients::{self, Front};
use crate::discovery::{Discovery, Instance};
use crate::links::Link;
use crate::misbehaving::{Misbehaving, Names};
use crate::processes::{Faults, Process, Resources};
use crate::record::{Entry, Party, Record, Scribe};
use crate::scenario::Drill;
use crate::timeline::{self, Stage};
use crate::{settings, workers};

/// How often it is looked whether a scheduler has ended by itself.
const LOOK: Duration = Duration::from_millis(100);
/// What the platform adds to each limit of time on sockets.
const SLACK: u64 = 50 * MS;
/// How long after a fault of its link or process a request may still suffer from it: a connection that was not up
/// is tried again by TCP after a second, and then two.
const SETTLE: u64 = 4_000 * MS;

/// How a drill is played.
#[derive(Clone, Debug)]
pub struct Options {
    pub binary: PathBuf,
    /// An older build, for restarts that ask for it.
    pub older: Option<PathBuf>,
    pub seed: u64,
    /// Keeps the schedulers' files and logs; else they go when the drill ends.
    pub keep: Option<PathBuf>,
    /// System calls that fail, by scheduler.
    pub faults: BTreeMap<u32, Faults>,
    /// What the schedulers log (`NICKELFLOW_LOG`), where that is not the usual.
    pub log_filter: Option<String>,
    /// Clients that behave badly, beside the traffic.
    pub misbehaving: Vec<Misbehaving>,
}

/// What a drill came to.
pub struct Outcome {
    pub entries: Vec<Entry>,
    pub findings: Vec<Finding>,
    /// Where schedulers agree on rules: how well.
    pub overlaps: Option<Overlaps>,
    pub summary: Summary,
    /// When traffic began.
    pub begin: u64,
}

/// Plays a drill. The error is that of one that could not be played as it should, which is no finding.
pub async fn run(drill: &Drill, options: &Options) -> Result<Outcome, String> {
    let temporary = tempfile::tempdir().map_err(|e| format!("a folder for the schedulers: {e}"))?;
    let folder: &Path = options.keep.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let scribe = Scribe::default();
    let io = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let zones = drill.zones.0 as u32;
    let workers =
        workers::start(&drill.world, zones, options.seed, scribe.clone()).await.map_err(io("workers"))?;
    let (mut links, mut named) = (Vec::new(), HashMap::new());
    for scheduler in 0..drill.schedulers() {
        for worker in &workers {
            let (from, to) = (Party::Scheduler(scheduler), Party::Worker(worker.number));
            let link = Link::new(from, to, worker.address, options.seed).await.map_err(io("a link"))?;
            named.insert((scheduler, worker.number), link.address);
            links.push(Arc::new(link));
        }
    }
    let listed = workers.iter().map(|worker| worker.clone() as Arc<dyn Instance>).collect();
    let discovery = Discovery::start(&drill.world, scribe.clone(), listed, named).map_err(io("discovery"))?;
    let (mut processes, mut fronts) = (Vec::new(), Vec::new());
    for scheduler in 0..drill.schedulers() {
        let older = options.older.as_deref();
        let process = Process::new(scheduler, &options.binary, older, folder, scribe.clone());
        let mut process = process.map_err(io("a scheduler's address"))?;
        process.faults = options.faults.get(&scheduler).cloned();
        process.log_filter = options.log_filter.clone();
        let (from, to) = (Party::Scheduler(scheduler), Party::Discovery);
        let news = Link::new(from, to, discovery.address, options.seed).await.map_err(io("a link"))?;
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(u64::from(scheduler));
        let config = settings::of(&drill.world, zones, scheduler, process.address, news.address, seed);
        process.configure(&config).map_err(io("a scheduler's file"))?;
        let front = Link::new(Party::Clients, to_scheduler(scheduler), process.address, options.seed).await;
        let front = front.map_err(io("a link"))?;
        fronts.push(front.address);
        links.extend([Arc::new(news), Arc::new(front)]);
        processes.push(Arc::new(Mutex::new(process)));
    }
    let operator = match &drill.rules {
        Some(agreement) => {
            let scribe = scribe.clone();
            let done = agree(agreement, options, folder, &processes, &mut links, scribe).await;
            Some(done?)
        }
        None => None,
    };
    let addresses = fronts.clone();
    let front = Front::new(fronts);
    for process in &processes {
        let mut process = process.lock().await;
        process.start(false).await?;
        front.admit(process.number, true);
    }
    if let (Some(operator), Some(agreement)) = (&operator, &drill.rules) {
        operator.found(&agreement.document).await?;
    }
    let front_notices = Duration::from_secs_f64(drill.world.clients.front_notices_s.0);
    let stage = Arc::new(Stage {
        scribe: scribe.clone(),
        processes: processes.clone(),
        workers: workers.clone(),
        links,
        discovery,
        operator,
        tenants: drill.world.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        names: workers.iter().map(|worker| worker.name.clone()).collect(),
        front: front.clone(),
        front_notices,
    });
    let watched = processes.clone();
    let looking = tokio::spawn(async move {
        loop {
            tokio::time::sleep(LOOK).await;
            for process in &watched {
                // One that is held is being ended or started.
                if let Ok(mut process) = process.try_lock() {
                    process.look();
                }
            }
        }
    });
    let begin = scribe.now();
    let mut misbehaving = tokio::task::JoinSet::new();
    let mut events = tokio::task::JoinSet::new();
    for (number, event) in drill.events.iter().enumerate() {
        events.spawn(timeline::play(stage.clone(), number as u32, event.clone(), begin));
    }
    for (number, client) in options.misbehaving.iter().enumerate() {
        let Some(address) = addresses.get(client.scheduler as usize).copied() else { continue };
        let (client, names, scribe) = (*client, names(drill), scribe.clone());
        let at = scribe.moment(begin + seconds(client.at_s));
        misbehaving.spawn(async move {
            tokio::time::sleep_until(at).await;
            client.play(number, address, names, scribe).await;
        });
    }
    let stats = clients::play(&drill.world, options.seed, scribe.clone(), front).await?;
    while misbehaving.join_next().await.is_some() {}
    while let Some(done) = events.join_next().await {
        done.map_err(|e| format!("an event: {e}"))??;
    }
    looking.abort();
    let mut endings = tokio::task::JoinSet::new();
    for process in processes {
        endings.spawn(async move {
            let mut process = process.lock().await;
            process.look();
            let used = process.resources();
            process.tell_to_end();
            process.ended().await.map(|()| (process.number, used, process.log().unwrap_or_default()))
        });
    }
    while let Some(done) = endings.join_next().await {
        let (scheduler, used, log) = done.map_err(|e| format!("an end: {e}"))??;
        note_end(&scribe, scheduler, used, &log);
    }
    let entries = scribe.entries();
    let racks = workers.iter().map(|worker| worker.rack).collect();
    let mut findings = audit(&law(drill, racks), &entries);
    let names = workers.iter().map(|worker| worker.name.clone()).collect();
    let overlaps =
        drill.rules.as_ref().map(|agreement| audit_rules(&agreed(drill, agreement, names), &entries));
    findings.extend(overlaps.iter().flat_map(|overlaps| overlaps.findings.iter().cloned()));
    Ok(Outcome { findings, overlaps, summary: stats.close(), entries, begin })
}

/// The names that a sound request needs.
fn names(drill: &Drill) -> Names {
    let class = drill.world.classes.first().map(|class| class.name.clone()).unwrap_or_default();
    Names { class, tenant: drill.world.tenants.first().map(|tenant| tenant.name.clone()) }
}

/// What a scheduler's process used, and what it found broken by itself.
fn note_end(scribe: &Scribe, scheduler: u32, used: Option<Resources>, log: &str) {
    if let Some(Resources { peak_kib, descriptors }) = used {
        scribe.note(Record::Uses { scheduler, peak_kib, descriptors });
    }
    for line in log.lines().filter(|line| line.contains("a rule was broken")) {
        scribe.note(Record::Violation { scheduler, line: line.to_owned() });
    }
}

/// Gives each scheduler its settings and each voter its folder, with a link from each scheduler to each voter.
async fn agree(
    agreement: &Agreement,
    options: &Options,
    folder: &Path,
    processes: &[Arc<Mutex<Process>>],
    links: &mut Vec<Arc<Link>>,
    scribe: Scribe,
) -> Result<Operator, String> {
    let io = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let mut voters = Vec::new();
    for process in &processes[..agreement.voters.0 as usize] {
        voters.push(process.lock().await.peers);
    }
    let operator = Operator::new(agreement, &options.binary, folder, &voters, scribe);
    let operator = operator.map_err(io("the operator's settings"))?;
    for process in processes {
        let mut process = process.lock().await;
        let from = Party::Scheduler(process.number);
        let mut reached = Vec::new();
        for (voter, address) in voters.iter().enumerate() {
            // To itself it needs none.
            if voter as u32 == process.number {
                reached.push(*address);
                continue;
            }
            let link = Link::new(from, Party::Scheduler(voter as u32), *address, options.seed);
            let link = link.await.map_err(io("a link"))?;
            reached.push(link.address);
            links.push(Arc::new(link));
        }
        let own = folder.join(format!("n{}.toml", process.number));
        let settings = agreement.settings(process.number, process.peers, &reached, folder);
        std::fs::write(&own, settings).map_err(io("a scheduler's settings"))?;
        if (process.number as usize) < voters.len() {
            operator.command(Some(&own), &["prepare"]).await?;
        }
        process.own = Some(own);
    }
    Ok(operator)
}

fn to_scheduler(number: u32) -> Party {
    Party::Scheduler(number)
}

/// From the write of an attempt to its note, with the drill's own work between.
const TRANSIT: u64 = 200 * MS;

/// The figures of the agreement. The last is the program's own: part of a limit that is saved up.
fn agreed(drill: &Drill, agreement: &Agreement, workers: Vec<String>) -> Agreed {
    let schedulers = drill.schedulers();
    Agreed { bound: agreement.bound(), transit: TRANSIT, saved_s: 0.25, schedulers, workers }
}

/// The rules' figures, with the platform's slack.
fn law(drill: &Drill, racks: Vec<u32>) -> Law {
    let rules = &drill.world.rules;
    let class = |class: &nickelflow_simulator::scenario::Class| match class.repeats {
        Repeats::Harmless => Repeat::Any,
        Repeats::Rack => Repeat::Rack(seconds(class.window_s.0) + SLACK),
        Repeats::Never => Repeat::Never,
    };
    Law {
        classes: drill.world.classes.iter().map(class).collect(),
        racks,
        slack: millis(rules.slack_ms.0) + SLACK,
        drain: millis(rules.drain_ms.0) + SLACK,
        // The page gives 0.1 s; the drill's own tasks and links take their part of a busy machine.
        leave: 100 * MS + TRANSIT,
        told_slack: 150 * MS,
        held: 3_000 * MS + TRANSIT,
        most_memory_kib: u64::from(settings::MEMORY_MB) * 1_024,
        most_descriptors: settings::SOCKETS,
        settle: SETTLE,
    }
}

impl Outcome {
    /// The spans of the drill's faults, from the begin of traffic on.
    pub fn spans(&self) -> Vec<Span> {
        let mut spans: HashMap<u32, Span> = HashMap::new();
        for Entry { at, what } in &self.entries {
            let Record::Fault { number, name, .. } = what else { continue };
            let at = in_seconds(at.saturating_sub(self.begin));
            let span = spans.entry(*number).or_insert(Span { name: name.clone(), from_s: at, to_s: at });
            span.to_s = at;
        }
        let mut spans: Vec<(u32, Span)> = spans.into_iter().collect();
        spans.sort_by_key(|(number, _)| *number);
        spans.into_iter().map(|(_, span)| span).collect()
    }

    /// The versions that each scheduler's attempts told, over time, and how many were under careful rules.
    fn versions(&self) -> Vec<Plot> {
        let mut lines: BTreeMap<u32, Vec<(f64, f64)>> = BTreeMap::new();
        let mut careful: BTreeMap<u32, BTreeMap<u64, f64>> = BTreeMap::new();
        for Entry { at, what } in &self.entries {
            let Record::Reached { scheduler, version: Some(told), .. } = what else { continue };
            let Some((number, cut_off)) = audit_rules::read(told) else { continue };
            let (at, number) = (in_seconds(at.saturating_sub(self.begin)), number as f64);
            let line = lines.entry(*scheduler).or_default();
            // Steps, and not every attempt.
            if let Some((_, last)) = line.last().copied().filter(|(_, last)| *last != number) {
                line.push((at, last));
            }
            if line.last().is_none_or(|(_, last)| *last != number) {
                line.push((at, number));
            }
            let second = careful.entry(*scheduler).or_default().entry(at as u64).or_default();
            *second += f64::from(u8::from(cut_off));
        }
        let name = |scheduler: u32| format!("scheduler {scheduler}");
        let steps = lines.into_iter().map(|(scheduler, line)| (name(scheduler), line)).collect();
        let seconds = |line: BTreeMap<u64, f64>| line.into_iter().map(|(s, n)| (s as f64 + 0.5, n)).collect();
        let careful = careful.into_iter().map(|(scheduler, line)| (name(scheduler), seconds(line))).collect();
        let plot = |caption: &str, unit: &str, lines| Plot {
            caption: caption.to_owned(),
            unit: unit.to_owned(),
            lines,
        };
        vec![
            plot("Versions that attempts were decided under", "number", steps),
            plot("Attempts under careful rules", "a second", careful),
        ]
    }

    /// The laboratory's document, for its page.
    pub fn document(&self, drill: &Drill, seed: u64) -> Document {
        let mut document = Document::new(&drill.world);
        document.faults = self.spans();
        let entry = Played {
            seed,
            digest: "real time".to_owned(),
            rules_broken: self.findings.len() as u64,
            findings: self.findings.iter().map(ToString::to_string).collect(),
            summary: self.summary.clone(),
        };
        document.lots.push(Lot { label: "drill".to_owned(), runs: vec![entry] });
        if drill.rules.is_some() {
            document.plots = self.versions();
        }
        document
    }
}
