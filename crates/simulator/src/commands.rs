//! The command line: reads words, plays, prints.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use nickelflow_simulator::policy::{self, Kind};
use nickelflow_simulator::report::{html, Document};
use nickelflow_simulator::runs::{self, Figure, Judgement, Mean, Run};
use nickelflow_simulator::scenario::Scenario;
use nickelflow_simulator::world::{Watch, World};
use serde_json::json;

/// Plays scenarios of the whole service in virtual time.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 done (compare: better), 1 failed or a rule broken under --strict, \
    2 wrong usage, 3 compare: worse, 4 compare: undecided."
)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Threads that play seeds side by side; all cores if not given. Results do not depend on it.
    #[arg(long, global = true)]
    threads: Option<usize>,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario and print its figures.
    Run(RunArgs),
    /// Play a scenario over a range of one of its figures.
    Sweep {
        #[command(flatten)]
        run: RunArgs,
        /// FIELD=FROM..TO:STEP, the field as in the file, as in traffic.load=0.5..1.2:0.1
        #[arg(long)]
        set: String,
    },
    /// Play A and B under the same seeds and judge B against A. Each is a policy or a scenario file.
    Compare {
        a: String,
        b: String,
        /// The scenario, where A or B is a policy.
        #[arg(long)]
        scenario: Option<PathBuf>,
        /// The policy, where A or B is a scenario.
        #[arg(long, default_value = "nickelflow")]
        policy: Kind,
        #[arg(long, value_enum, default_value = "goodput")]
        figure: Figure,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Print the life of one request, line by line.
    Trace {
        scenario: PathBuf,
        /// Its number: requests count from 0.
        request: u64,
        #[arg(long, default_value = "nickelflow")]
        policy: Kind,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Write one HTML page from results that `run --json` kept, the files beside each other.
    Report {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long, short)]
        output: PathBuf,
    },
    /// Play policies on scenarios and print one table.
    Table {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// All of them, if none is given.
        #[arg(long = "policy")]
        policies: Vec<Kind>,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Read scenarios and say what is wrong with them.
    Check { files: Vec<PathBuf> },
    /// Name the policies, and the scenarios of a folder.
    List {
        #[arg(default_value = "simulator/scenarios")]
        folder: PathBuf,
    },
}

#[derive(Args)]
struct Seeds {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
}

impl Seeds {
    fn all(&self) -> Vec<u64> {
        (self.seed..self.seed.saturating_add(self.seeds)).collect()
    }
}

#[derive(Args)]
struct RunArgs {
    scenario: PathBuf,
    #[arg(long = "policy", default_value = "nickelflow")]
    policies: Vec<Kind>,
    #[command(flatten)]
    seeds: Seeds,
    /// Write all figures of all runs as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a page with plots, the policies beside each other.
    #[arg(long)]
    html: Option<PathBuf>,
    /// Write one line a run as CSV.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Do not hold the runs to the rules: faster, for very large scenarios.
    #[arg(long)]
    no_audit: bool,
    /// Print this many breaches with the job's whole history.
    #[arg(long, default_value_t = 3)]
    findings: usize,
    /// A broken rule is a failure.
    #[arg(long)]
    strict: bool,
}

/// Tells how far the runs are: a bar on a terminal, else JSON lines.
struct Progress {
    bar: Option<ProgressBar>,
    what: String,
}

impl Progress {
    fn new(what: &str, runs: usize) -> Progress {
        let bar = std::io::stderr().is_terminal().then(|| {
            let bar = ProgressBar::new(runs as u64);
            let style = ProgressStyle::with_template("{msg:32} {bar:30} {pos}/{len} {elapsed}");
            bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
            bar.set_message(what.to_owned());
            bar.enable_steady_tick(Duration::from_millis(250));
            bar
        });
        Progress { bar, what: what.to_owned() }
    }

    fn done(&self, seed: u64) {
        match &self.bar {
            Some(bar) => bar.inc(1),
            None => eprintln!("{}", json!({"event": "played", "what": self.what, "seed": seed})),
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}

fn load(path: &Path) -> Result<Scenario, String> {
    Scenario::load(path).map_err(|e| e.to_string())
}

/// Runs of one policy on one scenario, with the time that they took.
fn play(scenario: &Scenario, kind: Kind, seeds: &[u64], audit: bool) -> Result<(Vec<Run>, Duration), String> {
    let progress = Progress::new(&format!("{} {}", scenario.name, kind.name()), seeds.len());
    let began = Instant::now();
    let runs = runs::play_all(scenario, kind, seeds, audit, |seed| progress.done(seed))?;
    Ok((runs, began.elapsed()))
}

impl Cli {
    pub fn run(self) -> Result<ExitCode, String> {
        let mut pool = rayon::ThreadPoolBuilder::new();
        if let Some(threads) = self.threads {
            pool = pool.num_threads(threads.max(1));
        }
        let pool = pool.build().map_err(|e| format!("threads: {e}"))?;
        pool.install(|| match self.command {
            Command::Run(args) => run(&args, &load(&args.scenario)?, ""),
            Command::Sweep { run, set } => sweep(&run, &set),
            Command::Compare { a, b, scenario, policy, figure, seeds } => {
                compare(&a, &b, scenario.as_deref(), policy, figure, &seeds.all())
            }
            Command::Trace { scenario, request, policy, seed } => {
                trace(&load(&scenario)?, request, policy, seed)
            }
            Command::Report { files, output } => report(&files, &output),
            Command::Table { scenarios, policies, seeds } => table(&scenarios, &policies, &seeds.all()),
            Command::Check { files } => check(&files),
            Command::List { folder } => list(&folder),
        })
    }
}

fn run(args: &RunArgs, scenario: &Scenario, prefix: &str) -> Result<ExitCode, String> {
    let mut broken = 0;
    let mut all = Vec::new();
    for &kind in &args.policies {
        let (runs, took) = play(scenario, kind, &args.seeds.all(), !args.no_audit)?;
        print(scenario, kind, &runs, took, prefix);
        for finding in runs.iter().flat_map(|run| &run.verdict.findings).take(args.findings) {
            println!("  {finding}");
        }
        broken += runs.iter().map(|run| run.verdict.broken()).sum::<u64>();
        all.push((kind, runs));
    }
    let mut document = Document::new(scenario);
    all.iter().for_each(|(kind, runs)| document.add(kind.name(), runs));
    if let Some(path) = &args.json {
        let text = serde_json::to_string(&document).map_err(|e| format!("JSON: {e}"))?;
        write(path, &(text + "\n"))?;
    }
    if let Some(path) = &args.html {
        write(path, &html(&document)?)?;
    }
    if let Some(path) = &args.csv {
        write(path, &as_csv(scenario, &all)?)?;
    }
    Ok(if args.strict && broken > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn print(scenario: &Scenario, kind: Kind, runs: &[Run], took: Duration, prefix: &str) {
    let over = |figure: Figure| figure.over(runs);
    let events: u64 = runs.iter().map(|run| run.summary.counts.events).sum();
    println!(
        "{prefix}{} {}: goodput {:.3}, worst tenant {:.3}, p50 {:.0} ms, p99 {:.0} ms, p99.9 {:.0} ms, \
         attempts a job {:.2}, probes a job {:.2}, rules broken {}",
        scenario.name,
        kind.name(),
        over(Figure::Goodput),
        over(Figure::WorstTenant),
        over(Figure::P50Ms),
        over(Figure::P99Ms),
        over(Figure::P999Ms),
        over(Figure::AttemptsAJob),
        over(Figure::ProbesAJob),
        broken(runs),
    );
    println!(
        "  {} seeds, {events} events in {:.2} s, digest of seed {} {:016x}",
        runs.len(),
        took.as_secs_f64(),
        runs[0].seed,
        runs[0].digest
    );
}

/// The rules that were broken, by name and number.
fn broken(runs: &[Run]) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for (rule, count) in runs.iter().flat_map(|run| &run.verdict.counts) {
        *counts.entry(*rule).or_insert(0) += count;
    }
    if counts.is_empty() {
        return "0".to_owned();
    }
    let named: Vec<String> = counts.iter().map(|(rule, count)| format!("{count} {rule:?}")).collect();
    named.join(", ")
}

/// Results of one scenario from several files; where labels meet, the file's name tells them apart.
fn report(files: &[PathBuf], output: &Path) -> Result<ExitCode, String> {
    let mut whole: Option<Document> = None;
    for file in files {
        let path = file.display();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{path}: {e}"))?;
        let mut document: Document = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
        if files.len() > 1 {
            let stem = file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
            document.lots.iter_mut().for_each(|lot| lot.label = format!("{stem}: {}", lot.label));
        }
        match &mut whole {
            Some(whole) if whole.scenario != document.scenario => {
                return Err(format!("{path}: of scenario {}, not {}", document.scenario, whole.scenario));
            }
            Some(whole) => whole.lots.append(&mut document.lots),
            None => whole = Some(document),
        }
    }
    write(output, &html(&whole.ok_or("no files")?)?)?;
    Ok(ExitCode::SUCCESS)
}

fn as_csv(scenario: &Scenario, all: &[(Kind, Vec<Run>)]) -> Result<String, String> {
    let mut out = csv::Writer::from_writer(Vec::new());
    let head = [
        "scenario",
        "policy",
        "seed",
        "digest",
        "goodput",
        "worst_tenant",
        "requests",
        "in_time",
        "late",
        "refused",
        "failed",
        "left",
        "p50_ms",
        "p99_ms",
        "p999_ms",
        "attempts_a_job",
        "probes_a_job",
        "connections",
        "wasted_s",
        "doubled",
        "rules_broken",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for (kind, runs) in all {
        for run in runs {
            let s = &run.summary;
            let mut row = vec![scenario.name.clone(), kind.name(), run.seed.to_string()];
            row.push(format!("{:016x}", run.digest));
            row.extend([s.goodput, s.worst_tenant].map(|x| format!("{x:.6}")));
            row.extend([s.requests, s.in_time, s.late, s.refused, s.failed, s.left].map(|n| n.to_string()));
            row.extend(
                [s.p50_ms, s.p99_ms, s.p999_ms, s.attempts_a_job, s.probes_a_job].map(|x| format!("{x:.4}")),
            );
            row.push(s.counts.connections.to_string());
            row.push(format!("{:.3}", s.counts.wasted_s));
            row.extend([s.counts.doubled, run.verdict.broken()].map(|n| n.to_string()));
            rows.push(row);
        }
    }
    for row in rows {
        out.write_record(row).map_err(|e| format!("CSV: {e}"))?;
    }
    let bytes = out.into_inner().map_err(|e| format!("CSV: {e}"))?;
    String::from_utf8(bytes).map_err(|e| format!("CSV: {e}"))
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    let done = std::fs::File::create(path).and_then(|mut file| file.write_all(text.as_bytes()));
    done.map_err(|e| format!("{}: {e}", path.display()))
}

/// FIELD=FROM..TO:STEP
fn range(set: &str) -> Option<(&str, Vec<f64>)> {
    let (field, rest) = set.split_once('=')?;
    let (from, rest) = rest.split_once("..")?;
    let (to, step) = rest.split_once(':')?;
    let (from, to, step): (f64, f64, f64) = (from.parse().ok()?, to.parse().ok()?, step.parse().ok()?);
    let sound = from.is_finite() && to >= from && step > 0.0 && (to - from) / step <= 10_000.0;
    sound.then(|| {
        (field, (0..).map(|n| from + f64::from(n) * step).take_while(|x| *x <= to + step / 1e6).collect())
    })
}

/// Puts a figure into a scenario's text at a path such as `classes.0.aim_ms`.
fn put(table: &mut toml::Value, field: &str, figure: f64) -> Result<(), String> {
    let mut at = table;
    for part in field.split('.') {
        let missing = || format!("--set: the scenario has no {field}");
        at = match at {
            toml::Value::Table(table) => table.entry(part).or_insert(toml::Value::Table(toml::Table::new())),
            toml::Value::Array(array) => {
                part.parse::<usize>().ok().and_then(|index| array.get_mut(index)).ok_or_else(missing)?
            }
            _ => return Err(missing()),
        };
    }
    *at = toml::Value::Float(figure);
    Ok(())
}

fn sweep(args: &RunArgs, set: &str) -> Result<ExitCode, String> {
    let (field, figures) = range(set).ok_or("--set: must be FIELD=FROM..TO:STEP, rising")?;
    let path = args.scenario.display();
    let text = std::fs::read_to_string(&args.scenario).map_err(|e| format!("{path}: {e}"))?;
    let table: toml::Table = text.parse().map_err(|e| format!("{path}: {e}"))?;
    let mut code = ExitCode::SUCCESS;
    for figure in figures {
        let mut changed = toml::Value::Table(table.clone());
        put(&mut changed, field, figure)?;
        let text = toml::to_string(&changed).map_err(|e| e.to_string())?;
        let scenario = Scenario::parse(&text).map_err(|e| format!("{field} = {figure}: {e}"))?;
        if run(args, &scenario, &format!("{field}={figure:.4} "))? != ExitCode::SUCCESS {
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}

fn compare(
    a: &str,
    b: &str,
    scenario: Option<&Path>,
    policy: Kind,
    figure: Figure,
    seeds: &[u64],
) -> Result<ExitCode, String> {
    let side = |text: &str| -> Result<(Scenario, Kind), String> {
        if text.ends_with(".toml") {
            return Ok((load(Path::new(text))?, policy));
        }
        let path = scenario.ok_or("--scenario: say on which scenario the policies are to be played")?;
        Ok((load(path)?, text.parse()?))
    };
    let (a, b) = (side(a)?, side(b)?);
    let (first, _) = play(&a.0, a.1, seeds, true)?;
    let (second, _) = play(&b.0, b.1, seeds, true)?;
    let (difference, judgement) = runs::compare(figure, &first, &second);
    let (of_a, of_b): (Mean, Mean) = (figure.over(&first), figure.over(&second));
    println!("{figure:?}: A {of_a:.4}, B {of_b:.4}; B - A {difference:.4} over {} paired seeds", seeds.len());
    for (name, runs) in [("A", &first), ("B", &second)] {
        println!("  rules broken by {name}: {}", broken(runs));
    }
    println!("  B is {judgement:?}");
    Ok(match judgement {
        Judgement::Better => ExitCode::SUCCESS,
        Judgement::Worse => ExitCode::from(3),
        Judgement::Undecided => ExitCode::from(4),
    })
}

fn trace(scenario: &Scenario, request: u64, kind: Kind, seed: u64) -> Result<ExitCode, String> {
    let watch = Watch { audit: true, trace: Some(request) };
    let played = World::new(scenario, kind, seed, watch)?.play();
    if played.trace.is_empty() {
        return Err(format!("there is no request {request} in this run"));
    }
    played.trace.iter().for_each(|line| println!("{line}"));
    Ok(ExitCode::SUCCESS)
}

fn table(scenarios: &[PathBuf], policies: &[Kind], seeds: &[u64]) -> Result<ExitCode, String> {
    println!("| scenario | policy | goodput | p50 ms | p99 ms | p99.9 ms | attempts a job | probes a job | rules broken |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for path in scenarios {
        let scenario = load(path)?;
        let policies = if policies.is_empty() { &policy::ALL } else { policies };
        for &kind in policies {
            let (runs, _) = play(&scenario, kind, seeds, true)?;
            let over = |figure: Figure| figure.over(&runs);
            println!(
                "| {} | {} | {:.3} | {:.0} | {:.0} | {:.0} | {:.2} | {:.2} | {} |",
                scenario.name,
                kind.name(),
                over(Figure::Goodput),
                over(Figure::P50Ms),
                over(Figure::P99Ms),
                over(Figure::P999Ms),
                over(Figure::AttemptsAJob),
                over(Figure::ProbesAJob),
                broken(&runs),
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn check(files: &[PathBuf]) -> Result<ExitCode, String> {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match load(file) {
            Ok(scenario) => println!(
                "{}: sound; {} workers, {} schedulers, {:.0} jobs a second",
                file.display(),
                scenario.workers_count(),
                scenario.schedulers.0,
                scenario.rate()
            ),
            Err(why) => {
                eprintln!("{why}");
                code = ExitCode::FAILURE;
            }
        }
    }
    Ok(code)
}

fn list(folder: &Path) -> Result<ExitCode, String> {
    println!("policies: {}", policy::ALL.map(Kind::name).join(", "));
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.sort();
    for file in files.iter().filter(|file| file.extension().is_some_and(|e| e == "toml")) {
        match load(file) {
            Ok(scenario) => println!("{:40} {}", file.display(), scenario.about),
            Err(why) => println!("{why}"),
        }
    }
    Ok(ExitCode::SUCCESS)
}
