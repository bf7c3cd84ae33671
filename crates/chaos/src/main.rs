//! nickelflow-chaos: many schedulers under faults, on the command line.
// Left over: not yet documented and split (see DEVELOPERS.md, "Lints").
#![allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines, clippy::type_complexity)]

use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use nickelflow_chaos::misbehaving::Misbehaving;
use nickelflow_chaos::processes::Faults;
use nickelflow_chaos::run::{run, Options, Outcome};
use nickelflow_chaos::scale::{self, Outcome as Measured};
use nickelflow_chaos::scale_file::Scale;
use nickelflow_chaos::scale_table::table;
use nickelflow_chaos::scenario::{Drill, Event};
use nickelflow_chaos::{nemesis, soak};
use nickelflow_simulator::scenario::Bounded;
use serde::Serialize;

/// Plays several processes of the scheduler against stand-ins, with faults between them, and judges the record.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 all rules kept, 1 a rule broken, 2 wrong usage, 3 could not be played."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario with its events.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        play: Play,
    },
    /// Play a scenario under faults that are drawn from the seed, and print what was drawn.
    Nemesis {
        /// What takes part; its own events are left out.
        #[arg(long, default_value = "chaos/scenarios/nemesis.toml")]
        scenario: PathBuf,
        #[arg(long, default_value_t = 1.0, value_parser = minutes)]
        minutes: f64,
        /// Seconds from one fault to the next, on average.
        #[arg(long, default_value_t = 2.0, value_parser = minutes)]
        gap: f64,
        /// Only print what would be drawn.
        #[arg(long)]
        draw: bool,
        #[command(flatten)]
        play: Play,
    },
    /// Play many schedulers under two or three troubles at a time, failing system calls and clients that behave badly, all
    /// drawn from the seed. One seed is played again by the same line.
    Soak {
        /// What takes part; its own events are left out.
        #[arg(long, default_value = "chaos/scenarios/soak.toml")]
        scenario: PathBuf,
        #[arg(long, default_value_t = 1.0, value_parser = minutes)]
        minutes: f64,
        /// The library that makes system calls fail.
        #[arg(long, default_value = "target/release/libnickelflow_faultshim.so")]
        shim: PathBuf,
        #[command(flatten)]
        play: Play,
    },
    /// Measure what a scheduler sends, receives and uses against fleets of growing size, and fit lines to it.
    Scale(Measure),
    /// Name the scenarios of a folder.
    List {
        #[arg(default_value = "chaos/scenarios")]
        folder: PathBuf,
    },
}

#[derive(Args)]
struct Measure {
    /// Scale files to play (TOML), and results of earlier runs to print again (JSON).
    #[arg(required = true)]
    files: Vec<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The scheduler to start.
    #[arg(long, default_value = "target/release/nickelflow")]
    binary: PathBuf,
    /// Write the results, to print again.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn minutes(text: &str) -> Result<f64, String> {
    let figure = text.parse::<f64>().ok().filter(|x| (0.05..=600.0).contains(x));
    figure.ok_or_else(|| "must be from 0.05 to 600".to_owned())
}

#[derive(Args)]
struct Play {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The scheduler to start.
    #[arg(long, default_value = "target/release/nickelflow")]
    binary: PathBuf,
    /// An older build, for restarts that ask for it.
    #[arg(long)]
    older: Option<PathBuf>,
    /// Write the record, one JSON object a line.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write one HTML page with plots.
    #[arg(long)]
    html: Option<PathBuf>,
    /// Keep the schedulers' files and logs in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// What the schedulers log, as NICKELFLOW_LOG says it.
    #[arg(long)]
    log_filter: Option<String>,
}

/// What could not be done.
type Failed = String;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Command::Scale(measure) => return measure.run(),
        Command::Run { scenario, play } => Drill::load(&scenario).and_then(|drill| play.play(&drill)),
        Command::Nemesis { scenario, minutes, gap, draw, play } => {
            Drill::load(&scenario).and_then(|mut drill| {
                drill.world.duration_s = Bounded(minutes * 60.0);
                drill.events = nemesis::draw(&drill, play.seed, gap);
                print_events(&drill.events)?;
                if draw {
                    Ok(true)
                } else {
                    play.play(&drill)
                }
            })
        }
        Command::Soak { scenario, minutes, shim, play } => Drill::load(&scenario).and_then(|mut drill| {
            drill.world.duration_s = Bounded(minutes * 60.0);
            let drawn = soak::draw(&drill, play.seed);
            drill.events = drawn.events.clone();
            if !shim.exists() {
                return Err(format!("{}: is not there", shim.display()));
            }
            println!(
                "seed {}: {} troubles, {} clients that misbehave",
                play.seed,
                drill.events.len(),
                drawn.misbehaving.len()
            );
            for (scheduler, plan) in &drawn.plans {
                println!("  scheduler {scheduler}: {plan}");
            }
            let faults = soak::faults(&drawn, &shim);
            play.play_with(&drill, faults, drawn.misbehaving)
        }),
        Command::List { folder } => list(&folder).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("nickelflow-chaos: {why}");
            ExitCode::from(3)
        }
    }
}

fn print_events(events: &[Event]) -> Result<(), Failed> {
    #[derive(Serialize)]
    struct Events<'a> {
        events: &'a [Event],
    }
    println!("{}", toml::to_string(&Events { events }).map_err(|e| e.to_string())?);
    Ok(())
}

fn list(folder: &Path) -> Result<(), Failed> {
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|e| e == "toml"));
    files.sort();
    for file in files {
        let drill = Drill::load(&file)?;
        println!("{:<40} {}", file.display(), drill.world.about);
    }
    Ok(())
}

/// What one file asks for.
enum Wanted {
    Run(Scale),
    Again(Vec<Measured>),
}

impl Measure {
    fn run(&self) -> ExitCode {
        // All files are read before the first is played, and all that is wrong with any is told.
        let (wanted, wrong): (Vec<_>, Vec<_>) =
            self.files.iter().map(|file| read(file)).partition(Result::is_ok);
        let wrong: Vec<String> = wrong.into_iter().filter_map(Result::err).flatten().collect();
        if !wrong.is_empty() {
            wrong.iter().for_each(|why| eprintln!("nickelflow-chaos: {why}"));
            return ExitCode::from(2);
        }
        match self.measure(wanted.into_iter().flatten()) {
            Ok(measured) => {
                println!("{}", table(&measured));
                ExitCode::SUCCESS
            }
            Err(why) => {
                eprintln!("nickelflow-chaos: {why}");
                ExitCode::from(3)
            }
        }
    }

    fn measure(&self, wanted: impl Iterator<Item = Wanted>) -> Result<Vec<Measured>, Failed> {
        let options = scale::Options { binary: self.binary.clone(), seed: self.seed };
        let mut measured = Vec::new();
        for wanted in wanted {
            match wanted {
                Wanted::Again(outcomes) => measured.extend(outcomes),
                Wanted::Run(file) => measured.push(scale::play(&file, &options, |told| eprintln!("{told}"))?),
            }
        }
        if let Some(path) = &self.json {
            let text = serde_json::to_string(&measured).map_err(|e| e.to_string())?;
            std::fs::write(path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Ok(measured)
    }
}

fn read(file: &Path) -> Result<Wanted, Vec<String>> {
    let named = |why: &dyn std::fmt::Display| format!("{}: {why}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| vec![named(&e)])?;
    if file.extension().is_some_and(|e| e == "json") {
        return serde_json::from_str(&text).map(Wanted::Again).map_err(|e| vec![named(&e)]);
    }
    let scale =
        Scale::parse(&text).map_err(|faults| faults.iter().map(|fault| named(fault)).collect::<Vec<_>>());
    scale.map(Wanted::Run)
}

impl Play {
    fn play(&self, drill: &Drill) -> Result<bool, Failed> {
        self.play_with(drill, BTreeMap::new(), Vec::new())
    }

    /// Plays, prints and writes; tells whether all rules were kept.
    fn play_with(
        &self,
        drill: &Drill,
        faults: BTreeMap<u32, Faults>,
        misbehaving: Vec<Misbehaving>,
    ) -> Result<bool, Failed> {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        let options = Options {
            binary: self.binary.clone(),
            older: self.older.clone(),
            seed: self.seed,
            keep: self.logs.clone(),
            faults,
            log_filter: self.log_filter.clone(),
            misbehaving,
        };
        // Told to end, the drill drops what it plays, and with it ends its processes.
        let outcome = runtime.block_on(scale::unless_told(run(drill, &options)))?;
        self.write(drill, &outcome)?;
        let summary = &outcome.summary;
        println!(
            "{}: {} requests, goodput {:.3}; in time {}, late {}, refused {}, failed {}; p50 {:.0} ms, p99 {:.0} ms",
            drill.world.name,
            summary.requests,
            summary.goodput,
            summary.in_time,
            summary.late,
            summary.refused,
            summary.failed,
            summary.p50_ms,
            summary.p99_ms,
        );
        for span in outcome.spans() {
            println!("  {:>6.2} to {:>6.2} s  {}", span.from_s, span.to_s, span.name);
        }
        if let Some(overlaps) = &outcome.overlaps {
            println!("{overlaps}");
        }
        for finding in &outcome.findings {
            println!("BROKEN {finding}");
        }
        if outcome.findings.is_empty() {
            println!("all rules kept");
        }
        Ok(outcome.findings.is_empty())
    }

    fn write(&self, drill: &Drill, outcome: &Outcome) -> Result<(), Failed> {
        if let Some(path) = &self.json {
            let failed = |e: std::io::Error| format!("{}: {e}", path.display());
            let mut file = std::io::BufWriter::new(std::fs::File::create(path).map_err(failed)?);
            for entry in &outcome.entries {
                let line = serde_json::to_string(entry).map_err(|e| e.to_string())?;
                writeln!(file, "{line}").map_err(failed)?;
            }
            file.flush().map_err(failed)?;
        }
        if let Some(path) = &self.html {
            let page = nickelflow_simulator::report::html(&outcome.document(drill, self.seed))?;
            std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Ok(())
    }
}
