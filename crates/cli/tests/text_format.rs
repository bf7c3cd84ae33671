//! The keys of the scheduler's own settings and the texts for a broken rules document, pinned by values and by a recorded
//! file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nickelflow_cli::{exit_status, load_document, CliError, RulesSettings, Settings};

const EVERY_KEY: &str = include_str!("data/settings.toml");

fn load(text: &str) -> Result<Settings, CliError> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.toml");
    std::fs::write(&file, text).expect("written");
    Ok(Settings::load(&file)?)
}

fn rules(settings: Settings) -> RulesSettings {
    settings.rules.expect("a table of rules")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn every_key_of_the_settings_is_read() {
    let read = rules(load(EVERY_KEY).expect("valid settings"));
    assert_eq!(read.fleet, "seeland");
    assert_eq!(read.name.as_deref(), Some("n2"));
    assert_eq!(read.listen, address("127.0.0.2:7502"));
    assert_eq!(read.voter_id, Some(2));
    assert_eq!(read.data_dir, Some(PathBuf::from("folder")));
    assert_eq!((read.lease_ms, read.renewal_ms, read.max_clock_drift), (3_000, 700, 0.02));
    assert_eq!(read.injected_lease_ms, Some(4_000));
    let voters: Vec<(u64, String)> = read.voters().expect("voters").into_iter().collect();
    let expected = [(1, "127.0.0.2:7501".to_owned()), (2, "127.0.0.2:7502".to_owned())];
    assert_eq!(voters, expected);
}

#[test]
fn the_deployed_settings_have_the_recorded_values() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/nickelflow.toml");
    let read = rules(Settings::load(&file).expect("valid settings"));
    assert_eq!(read.fleet, "emmental");
    assert_eq!(read.name, None);
    assert_eq!(read.listen, address("127.0.0.1:7401"));
    assert_eq!(read.voter_id, Some(1));
    assert_eq!(read.data_dir, Some(PathBuf::from("rules")));
    assert_eq!((read.lease_ms, read.renewal_ms, read.max_clock_drift), (2_000, 500, 0.01));
    assert_eq!(read.injected_lease_ms, None);
    let voters = read.voters().expect("voters");
    assert!(voters.keys().eq(&[1, 2, 3]));
    assert!(voters.values().eq(&["127.0.0.1:7401", "127.0.0.1:7402", "127.0.0.1:7403"]));
}

#[test]
fn an_unknown_key_is_rejected_with_the_list_of_the_known_ones() {
    let broken = EVERY_KEY.replace("fleet =", "flet = 1\nfleet =");
    let error = load(&broken).expect_err("rejected");
    assert_eq!(error.exit_status(), exit_status::USAGE);
    let known =
        "unknown field `flet`, expected one of `fleet`, `name`, `listen`, `voter`, `data`, `lease_ms`, \
                 `renewal_ms`, `drift`, `drill_honour_ms`, `voters`";
    assert!(error.to_string().contains(known), "{error}");
}

#[test]
fn check_prints_the_recorded_texts_for_a_broken_document() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../rollout/tests/data/broken.toml");
    let error = load_document(&file).expect_err("rejected");
    assert_eq!(error.exit_status(), exit_status::USAGE);
    let recorded: Vec<String> = include_str!("../../rollout/tests/data/broken.txt")
        .lines()
        .map(|fault| format!("{}: {fault}", file.display()))
        .collect();
    assert_eq!(error.to_string(), recorded.join("\n"));
}
