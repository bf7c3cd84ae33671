//! The scale tool: what it counts at real schedulers keeps its shape over sizes, what is wrong with its files is told at
//! once, and its lines are those of least squares. Counts and shapes only, no times.

mod common;

use std::path::{Path, PathBuf};
use std::process::Command;

use nickelflow_chaos::scale::{play, Options, Outcome, Sample};
use nickelflow_chaos::scale_file::Scale;
use nickelflow_chaos::scale_table::{noise, table, Line};
use rstest::rstest;

/// The empty line of a watch as a chunk, and how many of them may fall into what is measured.
const BEAT: f64 = 6.0;
const BEATS: f64 = 3.0;

/// So few jobs are likely for each scheduler that even the smallest fleet is large for it.
const FILE: &str = "
name = \"shapes\"
balancers = 8
schedulers = 2
jobs_per_s = 0.0
quota_per_s = 40.0
changes_per_s = 0.0
tenants = 3
warmup_s = 0.5
seconds = 2.0
sizes = { small = { workers = 50 }, middle = { workers = 200 }, large = { workers = 800 } }
";

fn measure(old: &str, new: &str) -> Outcome {
    assert!(FILE.contains(old), "the file has no {old:?}");
    let scale = Scale::parse(&FILE.replacen(old, new, 1)).expect("a sound file");
    let options = Options { binary: common::binary(), seed: 1 };
    let outcome = play(&scale, &options, |_| ()).expect("it can be played");
    // Two schedulers at each of three sizes.
    assert_eq!(outcome.samples.len(), 6);
    outcome
}

fn of_size(outcome: &Outcome, workers: u32, of: impl Fn(&Sample) -> f64) -> f64 {
    outcome.samples.iter().filter(|sample| sample.workers == workers).map(of).sum()
}

#[test]
fn control_at_rest_does_not_grow_with_the_workers_beyond_the_first_list() {
    let outcome = measure("jobs_per_s = 0.0", "jobs_per_s = 0.0");
    for sample in &outcome.samples {
        assert_eq!(sample.probes.messages, 0.0, "{sample:?}");
        assert_eq!(sample.watch.messages, 0.0, "{sample:?}");
        assert_eq!(sample.watch.connections + sample.probes.connections, 0.0, "{sample:?}");
        let bytes = sample.watch.bytes_in + sample.watch.bytes_out;
        assert!(bytes <= BEATS * BEAT, "{sample:?}");
        // The list itself does, by one entry for each.
        let entry = sample.list_bytes / f64::from(sample.workers);
        assert!((100.0..=200.0).contains(&entry), "{entry} bytes a worker: {sample:?}");
    }
}

#[test]
fn a_change_of_the_list_costs_the_same_at_each_size() {
    let outcome = measure("changes_per_s = 0.0", "changes_per_s = 20.0");
    let costs: Vec<f64> = [50, 200, 800]
        .into_iter()
        .map(|size| {
            let changes = of_size(&outcome, size, |sample| sample.watch.messages);
            assert!(changes > 0.0, "no changes at {size} workers");
            assert_eq!(of_size(&outcome, size, |sample| sample.probes.messages), 0.0);
            let bytes = of_size(&outcome, size, |sample| sample.watch.bytes_in);
            // One for each scheduler may have been told and not have arrived when it was counted.
            assert!(
                bytes <= 300.0 * (changes + 2.0),
                "{bytes} bytes for {changes} changes at {size} workers"
            );
            bytes / changes
        })
        .collect();
    let (least, most) = costs.iter().fold((f64::MAX, 0.0f64), |(a, b), cost| (a.min(*cost), b.max(*cost)));
    assert!(most <= 1.25 * least, "{costs:?}");
}

#[test]
fn a_job_costs_so_many_messages_and_bytes_at_each_size() {
    let outcome = measure("jobs_per_s = 0.0", "jobs_per_s = 160.0");
    for size in [50, 200, 800] {
        let sum = |of: fn(&Sample) -> f64| of_size(&outcome, size, of);
        let (asked, attempts) = (sum(|s| s.clients.messages), sum(|s| s.jobs.messages));
        // Those under way when it was counted, beside it.
        assert!(
            asked > 20.0 && (attempts - asked).abs() <= 0.2 * asked,
            "{attempts} attempts of {asked} jobs"
        );
        let bytes = sum(|s| s.jobs.bytes_in + s.jobs.bytes_out + s.clients.bytes_in + s.clients.bytes_out);
        assert!(bytes <= 1_000.0 * (asked + attempts), "{bytes} bytes for {asked} jobs at {size} workers");
        let probes = sum(|s| s.probes.messages);
        assert!(probes <= 4.0 * asked, "{probes} probes for {asked} jobs at {size} workers");
        let bytes = sum(|s| s.probes.bytes_in + s.probes.bytes_out);
        assert!(bytes <= 300.0 * probes, "{bytes} bytes for {probes} probes at {size} workers");
    }
}

const WRONG: &str = "name = \"wrong\"
balancers = 0
jobs_per_s = \"many\"
quota_per_s = 938.0
tenants = 1.5
secnods = 3.0

[sizes.a]
workers = 60
[sizes.b]
wrokers = 500
[sizes.c]
workers = 1_000_000

[limits]
memory_mb = -1
";

#[test]
fn all_that_is_wrong_with_a_file_is_told_with_its_lines() {
    let folder = tempfile::tempdir().expect("a folder");
    let (wrong, torn) = (folder.path().join("wrong.toml"), folder.path().join("torn.toml"));
    std::fs::write(&wrong, WRONG).expect("a file");
    std::fs::write(&torn, "name = \"torn\nseconds = 1").expect("a file");
    let none = folder.path().join("none.toml");
    let told = Command::new(env!("CARGO_BIN_EXE_nickelflow-chaos"))
        .arg("scale")
        .args([&wrong, &torn, &none])
        .output()
        .expect("the drill runs");
    assert_eq!(told.status.code(), Some(2));
    assert!(told.stdout.is_empty());
    let told = String::from_utf8(told.stderr).expect("text");
    let all = [
        "wrong.toml: line 1: seconds: must be given",
        "wrong.toml: line 2: balancers: must be a whole number from 1 to 10000, and is 0",
        "wrong.toml: line 3: jobs_per_s: must be a number",
        "wrong.toml: line 5: tenants: must be a whole number from 1 to 1000, and is 1.5",
        "wrong.toml: line 6: secnods: unknown",
        "wrong.toml: line 10: sizes.b.workers: must be given",
        "wrong.toml: line 11: sizes.b.wrokers: unknown",
        "wrong.toml: line 13: sizes.c.workers: must be a whole number from 1 to 10000, and is 1000000",
        "wrong.toml: line 16: limits.memory_mb: must be from 0.1 to 1000000, and is -1",
        "torn.toml: line 1: ",
        "none.toml: ",
    ];
    let lines: Vec<&str> = told.lines().collect();
    assert_eq!(lines.len(), all.len(), "{told}");
    for (line, wanted) in lines.iter().zip(all) {
        assert!(line.contains(wanted), "{line:?} is not {wanted:?}");
    }
}

#[rstest]
#[case::more_schedulers_than_balancers(
    "balancers = 8",
    "balancers = 1",
    "line 4: schedulers: must not be more"
)]
#[case::more_sockets_than_descriptors(
    "schedulers = 2",
    "schedulers = 8",
    "schedulers: times the workers must be 14000 at most"
)]
#[case::more_jobs_than_clients_ask(
    "jobs_per_s = 0.0",
    "jobs_per_s = 20_000.0",
    "line 5: jobs_per_s: must be 2000"
)]
#[case::no_sizes(
    "sizes = { small = { workers = 50 }, middle = { workers = 200 }, large = { workers = 800 } }",
    "",
    "sizes: must have one"
)]
fn what_no_single_field_shows_is_told_too(#[case] old: &str, #[case] new: &str, #[case] why: &str) {
    assert!(FILE.contains(old), "the file has no {old:?}");
    let text = FILE.replacen(old, new, 1).replacen("workers = 800", "workers = 8_000", 1);
    let faults = Scale::parse(&text).expect_err("it cannot be");
    let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(told.iter().any(|fault| fault.contains(why)), "{told:?}");
}

#[rstest]
fn files_of_the_repository_are_sound(#[files("../../chaos/scale/*.toml")] file: PathBuf) {
    let text = std::fs::read_to_string(&file).expect("a file");
    Scale::parse(&text).map(drop).expect("a sound file");
}

#[rstest]
fn measured_figures_of_the_repository_can_be_printed_again(
    #[files("../../chaos/scale/*.json")] file: PathBuf,
) {
    let text = std::fs::read_to_string(&file).expect("a file");
    let outcomes: Vec<Outcome> = serde_json::from_str(&text).expect("results");
    let printed = Command::new(env!("CARGO_BIN_EXE_nickelflow-chaos")).arg("scale").arg(&file).output();
    let printed = printed.expect("the drill runs");
    assert!(printed.status.success());
    let printed = String::from_utf8(printed.stdout).expect("text");
    assert_eq!(printed.trim(), table(&outcomes).trim());
    // The page has no other figures than these.
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(page).expect("the page");
    assert!(page.contains(printed.trim()), "docs/CAPACITY.md shows another table");
}

#[test]
fn lines_are_those_of_least_squares() {
    // By hand: means 2 and 4, slope (1 * 2 + 0 + 1 * 2) / 2, left over 1/6 + 4/6 + 1/6 beside the noise.
    let points = [(1.0, 2.0), (2.0, 5.0), (3.0, 5.0)];
    let line = Line::fit(&points).expect("a line");
    assert!((line.slope - 1.5).abs() < 1e-12 && (line.at_0 - 1.0).abs() < 1e-12, "{line:?}");
    let error = line.error.expect("of three points");
    assert!((error - 1.5f64.sqrt()).abs() < 1e-12, "{error}");
    // Student's t with one degree of freedom is 12.706 at 97.5%.
    let half = line.half.expect("of three points");
    assert!((half - 12.706_204_736 * error / 2f64.sqrt()).abs() < 1e-6, "{half}");
    assert_eq!(line.passes(4.0), Some(2.0));
    assert_eq!(line.passes(0.5), Some(0.0));
    assert_eq!(Line::fit(&[(1.0, 4.0), (2.0, 3.0)]).expect("a line").passes(9.0), None);
    assert_eq!(Line::fit(&[(1.0, 4.0), (1.0, 3.0)]), None);
    let noise = noise(&[(1.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).expect("one was repeated");
    assert!((noise - 2f64.sqrt()).abs() < 1e-12, "{noise}");
}
