//! The keys of scenario files and the columns and keys that the program writes, pinned by values and by recorded files.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::{Command, Output};

use nickelflow_simulator::scenario::{Direction, Queueing, Repeats, Scenario, Shape, Size, What};
use rstest::rstest;
use serde_json::Value;

const EVERY_KEY: &str = include_str!("data/every_key.toml");

fn scenario() -> Scenario {
    Scenario::parse(EVERY_KEY).expect("a sound scenario")
}

#[rstest]
fn scenarios_of_the_repository_are_read(#[files("../../simulator/scenarios/*.toml")] file: PathBuf) {
    Scenario::load(&file).map(drop).expect("a sound scenario");
}

#[test]
fn every_key_of_the_fleet_is_read() {
    let read = scenario();
    assert_eq!((read.name.as_str(), read.about.as_str()), ("every-key", "what it shows"));
    assert_eq!((read.duration_s.0, read.warmup_s.0, read.schedulers.0), (30.0, 4.0, 3.0));
    let pool = &read.pools[0];
    assert_eq!((pool.count.0, pool.cores.0, pool.slots.0), (8.0, 4.0, 5.0));
    assert_eq!((pool.speed.both(), pool.memory.map(|memory| memory.0)), ((0.8, 1.2), Some(6.0)));
    assert_eq!((pool.rack.0, pool.cold), (2.0, true));
    let workers = &read.workers;
    assert_eq!((workers.queue.0, workers.order, workers.idle_until.0), (30.0, Queueing::Backfill, 2.0));
    assert_eq!((workers.thrash.0, workers.connections.0), (0.1, 500.0));
    assert_eq!((workers.handshake_ms.0, workers.probe_ms.0), (2.0, 3.0));
    assert_eq!((workers.refresh_ms.both(), workers.noise.0), ((100.0, 200.0), 0.05));
    assert_eq!((workers.tells_start, workers.progress_ms.0), (false, 1000.0));
    assert_eq!((workers.drain_returns, workers.cancel_stops), (false, false));
}

#[test]
fn every_key_of_data_network_and_discovery_is_read() {
    let read = scenario();
    let data = read.data.expect("data");
    assert_eq!((data.keys.0, data.zipf.0, data.hot.0), (100.0, 1.1, 0.2));
    assert_eq!((data.kept.0, data.fetch_ms.0, data.streams.0), (20.0, 40.0, 6.0));
    let network = &read.network;
    assert_eq!((network.latency_ms.0, network.jitter_ms.0, network.resets.0), (0.4, 0.1, 0.01));
    assert_eq!((network.connect_timeout_ms.0, network.idle_s.0), (300.0, 20.0));
    let discovery = &read.discovery;
    assert_eq!((discovery.lag_s.0, discovery.call_ms.0), (2.0, 3.0));
    assert_eq!((discovery.lines_ms.0, discovery.wait_ms.0), (4.0, 500.0));
}

#[test]
fn every_key_of_jobs_clients_and_rules_is_read() {
    let read = scenario();
    let class = &read.classes[0];
    assert_eq!((class.name.as_str(), class.weight.0, class.repeats), ("reading", 2.0, Repeats::Rack));
    assert_eq!((class.window_s.0, class.aim_ms.0, class.stretch.0), (7.5, 200.0, 2.5));
    assert_eq!((class.deadline_ms.0, class.work_ms.0), (5000.0, 50.0));
    assert_eq!((class.size, class.slots.0), (Size::Lognormal { sigma: 0.5 }, 2.0));
    assert_eq!((class.memory.0, class.keyed), (0.5, true));
    assert_eq!((read.tenants[0].name.as_str(), read.tenants[0].share.0), ("emmental", 2.0));
    assert_eq!(read.traffic.load.map(|load| load.0), Some(0.5));
    let Shape::Surge { tenant, from_s, for_s, factor } = &read.traffic.shape else { panic!("a surge") };
    assert_eq!((tenant.as_str(), from_s.0, for_s.0, factor.0), ("emmental", 5.0, 6.0, 3.0));
    let clients = &read.clients;
    assert_eq!((clients.retries.0, clients.backoff_ms.both(), clients.honour.0), (2.0, (60.0, 160.0), 0.7));
    assert_eq!((clients.max_retry_after_ms.0, clients.impatient.0), (1500.0, 0.1));
    assert_eq!((clients.front_notices_s.0, clients.marks_retry), (3.0, true));
    let rules = &read.rules;
    assert_eq!((rules.attempts.0, rules.parallel, rules.slack_ms.0), (5.0, false, 9.0));
    assert_eq!((rules.drain_ms.0, rules.cold_from.0, rules.cold_s.0), (400.0, 0.2, 20.0));
    assert_eq!((rules.fall_multiple.0, rules.fall_s.0, rules.over_share.0), (2.0, 1.0, 0.2));
}

#[test]
fn every_key_of_a_fault_is_read() {
    let fault = &scenario().faults[0];
    assert_eq!((fault.at_s.0, fault.for_s.0, fault.part.0, fault.count.0), (10.0, 2.0, 0.5, 1.0));
    let What::RollingRestart { drain_s, down_s } = fault.what else { panic!("a rolling restart") };
    assert_eq!((drain_s.0, down_s.0), (1.5, 2.5));
}

/// The scenario with this in the place of its only fault's kind.
fn with_fault(what: &str) -> What {
    let (rest, _) = EVERY_KEY.rsplit_once("what = ").expect("a fault");
    let text = format!("{rest}what = {what}\n");
    Scenario::parse(&text).unwrap_or_else(|why| panic!("{what}: {why}")).faults[0].what.clone()
}

#[test]
fn every_kind_of_fault_is_read() {
    assert!(matches!(with_fault("\"hang\""), What::Hang));
    let still = with_fault("{ stand_still = { pause_ms = [1.0, 2.0], every_s = [3.0, 4.0] } }");
    assert!(matches!(still, What::StandStill { pause_ms, every_s }
        if pause_ms.both() == (1.0, 2.0) && every_s.both() == (3.0, 4.0)));
    let neighbour = with_fault("{ neighbour = { share = [0.1, 0.2], on_s = [3.0, 4.0] } }");
    assert!(matches!(neighbour, What::Neighbour { share, on_s }
        if share.both() == (0.1, 0.2) && on_s.both() == (3.0, 4.0)));
    assert!(
        matches!(with_fault("{ late_reports = { by_s = 2.0 } }"), What::LateReports { by_s } if by_s.0 == 2.0)
    );
    assert!(matches!(with_fault("{ resets = { part = 0.3 } }"), What::Resets { part } if part.0 == 0.3));
    assert!(matches!(with_fault("\"vanish\""), What::Vanish));
    assert!(matches!(with_fault("\"rack_lost\""), What::RackLost));
    assert!(matches!(with_fault("\"replace\""), What::Replace));
    for (word, expected) in
        [("requests", Direction::Requests), ("answers", Direction::Answers), ("both", Direction::Both)]
    {
        let partition = with_fault(&format!("{{ partition = {{ direction = \"{word}\" }} }}"));
        assert!(matches!(partition, What::Partition { direction } if direction == expected));
    }
    assert!(matches!(with_fault("\"kill_scheduler\""), What::KillScheduler));
    assert!(matches!(with_fault("\"restart_scheduler\""), What::RestartScheduler));
    assert!(matches!(with_fault("\"discovery_down\""), What::DiscoveryDown));
    assert!(matches!(with_fault("\"discovery_stale\""), What::DiscoveryStale));
}

fn lab(words: &[&str]) -> Output {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let output =
        Command::new(env!("CARGO_BIN_EXE_nickelflow-simulator")).current_dir(root).args(words).output();
    output.expect("it starts")
}

/// All keys below a value as paths; elements of an array have the path of the array.
fn key_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, below)| {
            let path = format!("{path}.{key}");
            paths.insert(path.clone());
            key_paths(below, &path, paths);
        }),
        Value::Array(items) => items.iter().for_each(|item| key_paths(item, &format!("{path}[]"), paths)),
        _ => {}
    }
}

#[test]
fn columns_of_the_csv_and_keys_of_the_json_equal_the_recorded_ones() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = |name: &str| folder.join(name).display().to_string();
    let (csv, json) = (file("run.csv"), file("run.json"));
    let output =
        lab(&["run", "simulator/scenarios/calm.toml", "--seeds", "1", "--csv", &csv, "--json", &json]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let csv = std::fs::read_to_string(csv).expect("a file");
    assert_eq!(csv.lines().next(), include_str!("data/run.columns.csv").lines().next());
    let json = std::fs::read_to_string(json).expect("a file");
    let mut paths = BTreeSet::new();
    key_paths(&serde_json::from_str(&json).expect("JSON"), "", &mut paths);
    let paths: Vec<String> = paths.into_iter().collect();
    let recorded: Vec<&str> = include_str!("data/run.keys.txt").lines().collect();
    assert_eq!(paths, recorded, "now:\n{}", paths.join("\n"));
}

#[test]
fn columns_of_the_table_equal_the_recorded_ones() {
    let words = ["table", "simulator/scenarios/calm.toml", "--seeds", "1", "--policy", "random"];
    let printed = String::from_utf8(lab(&words).stdout).expect("text");
    let head: Vec<&str> = printed.lines().take(2).collect();
    assert_eq!(head, include_str!("data/table.columns.md").lines().collect::<Vec<_>>());
}
