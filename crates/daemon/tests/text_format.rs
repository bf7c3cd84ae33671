//! The keys of the file that RELAY_CONFIG names, pinned by a file with all of them, and those of the deploy file.

use std::path::Path;
use std::time::Duration;

use nickelflow_daemon::config::Config;
use nickelflow_dispatcher::{DeduplicationScope, Idempotency};
use nickelflow_engine::WorkerStatus;

const EVERY_KEY: &[u8] = include_bytes!("data/every_key.json");
const MS: u64 = 1_000_000;

fn repository_file(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(name);
    std::fs::read_to_string(&file).expect("a file of the repository")
}

fn decode(bytes: &[u8]) -> Config {
    Config::decode(bytes, |_| None).unwrap_or_else(|why| panic!("{why}"))
}

#[test]
fn every_key_of_the_process_and_its_connections_is_read() {
    let config = decode(EVERY_KEY);
    assert_eq!(config.name, "n3");
    assert_eq!(config.listen.to_string(), "127.0.0.2:3100");
    assert_eq!(config.discovery.to_string(), "127.0.0.2:8600");
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(config.max_descriptors, 512);
    assert_eq!(config.names.classes, ["reading", "search", "order", "cell", "fleet"]);
    assert_eq!(config.names.tenants, ["emmental", "seeland"]);
    assert_eq!(config.entry_names.zones, ["langnau", "thun"]);
    assert_eq!(config.entry_names.kinds, ["w5", "w7"]);
    assert_eq!(config.worker_connections.connect_timeout, Duration::from_millis(200));
    assert_eq!(config.worker_connections.idle_timeout, Duration::from_secs(9));
    assert_eq!(config.worker_connections.drain_grace, Duration::from_millis(700));
}

#[test]
fn every_key_of_the_known_list_is_read() {
    let known = decode(EVERY_KEY).initial_endpoints;
    assert_eq!((known.version, known.is_snapshot), (41, true));
    assert!(known.skipped.is_empty());
    let memberships: Vec<(&str, WorkerStatus)> =
        known.entries.iter().map(|entry| (entry.name.as_str(), entry.status)).collect();
    let expected = [("w1", WorkerStatus::Ready), ("w2", WorkerStatus::Draining), ("w3", WorkerStatus::Gone)];
    assert_eq!(memberships, expected);
    let full = &known.entries[0];
    assert_eq!(full.address.to_string(), "127.0.0.3:9000");
    assert_eq!((full.zone, full.kind, full.cell), (1, 1, 6));
    assert_eq!((full.registered_size, full.started_at), (2.5, Some(1_700 * MS)));
}

#[test]
fn every_key_of_the_settings_is_read() {
    let settings = decode(EVERY_KEY).settings;
    assert_eq!((settings.dispatchers, settings.zone), (3, 1));
    let quotas: Vec<f64> = settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(quotas, [30.0, 20.5]);
    let contract = &settings.limits;
    assert_eq!((contract.slow_start_initial_share, contract.slow_start_duration), (0.14, 24_000 * MS));
    assert_eq!((contract.overload_multiple, contract.overload_duration), (3.0, 1_500 * MS));
    assert_eq!(contract.unsubscribed_list_validity, 11_000 * MS);
    assert!(settings.requires_subscription && settings.can_probe && settings.reports_registered_size);
    assert!(settings.reports_free_slots && settings.notifies_job_start);
    assert!(settings.can_cancel && settings.allows_hedging);
    assert_eq!((settings.progress_interval, settings.max_attempts), (2_100 * MS, 4));
    assert_eq!((settings.max_retry_after, settings.connect_timeout), (2_000 * MS, 200 * MS));
    assert_eq!(settings.clock_resolution, 2 * MS);
}

#[test]
fn every_key_of_a_class_is_read() {
    let classes = decode(EVERY_KEY).settings.classes;
    let class = &classes[0];
    assert_eq!(
        (class.deduplication_window, class.latency_objective, class.deadline),
        (7_500 * MS, 200 * MS, 5_000 * MS)
    );
    assert_eq!((class.latency_stretch, class.priority_weight, class.late_weight_share), (1.5, 3.0, 0.25));
    let kinds: Vec<Option<u32>> = classes.iter().map(|class| class.required_kind).collect();
    assert_eq!(kinds, [Some(1), None, None, None, None]);
    // Without a stretch of its own a class has that of the specifics.
    assert_eq!((classes[1].latency_stretch, classes[2].latency_stretch), (3.5, 0.0));
    let effects: Vec<Idempotency> = classes.iter().map(|class| class.idempotency).collect();
    let expected = [
        Idempotency::IdempotentWithKey(DeduplicationScope::Zone),
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::IdempotentWithKey(DeduplicationScope::Cell),
        Idempotency::IdempotentWithKey(DeduplicationScope::All),
    ];
    assert_eq!(effects, expected);
}

#[test]
fn the_example_is_read() {
    let config = decode(repository_file("examples/config.json").as_bytes());
    assert_eq!((config.name.as_str(), config.max_descriptors), ("n0", 1024));
    assert_eq!(
        config.settings.classes[0].idempotency,
        Idempotency::IdempotentWithKey(DeduplicationScope::Cell)
    );
    assert_eq!(config.settings.classes[0].latency_stretch, 2.5);
    assert_eq!(config.settings.tenants[0].quota_per_s, 30.0);
}

#[test]
fn the_deploy_file_has_exactly_the_recorded_keys() {
    let text = repository_file("deploy/balancer.toml");
    let keys: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| Some(line.split_once(" = ")?.0))
        .collect();
    assert_eq!(keys, ["build", "run", "sim", "policy", "node", "packages"]);
}
