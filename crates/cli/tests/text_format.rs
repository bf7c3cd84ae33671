//! Tests that the keys of the settings file and the error messages for an invalid rules document do not change. The
//! expected values and messages are recorded here and in files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nickelflow_cli::{exit_status, load_document, CliError, RulesSettings, Settings};

const SETTINGS_WITH_ALL_KEYS: &str = include_str!("data/settings.toml");

fn load_settings(text: &str) -> Result<Settings, CliError> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.toml");
    std::fs::write(&file, text).expect("written");
    Ok(Settings::load(&file)?)
}

fn rules_settings(settings: Settings) -> RulesSettings {
    settings.rules.expect("a rules table")
}

fn parse_address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn all_keys_of_the_settings_are_read() {
    let rules = rules_settings(load_settings(SETTINGS_WITH_ALL_KEYS).expect("valid settings"));
    assert_eq!(rules.fleet, "seeland");
    assert_eq!(rules.name.as_deref(), Some("n2"));
    assert_eq!(rules.listen, parse_address("127.0.0.2:7502"));
    assert_eq!(rules.voter_id, Some(2));
    assert_eq!(rules.data_dir, Some(PathBuf::from("folder")));
    assert_eq!((rules.lease_ms, rules.renewal_ms, rules.max_clock_drift), (3_000, 700, 0.02));
    assert_eq!(rules.injected_lease_ms, Some(4_000));
    let voters: Vec<(u64, String)> = rules.voters().expect("voters").into_iter().collect();
    let expected = [(1, "127.0.0.2:7501".to_owned()), (2, "127.0.0.2:7502".to_owned())];
    assert_eq!(voters, expected);
}

#[test]
fn the_example_settings_in_deploy_have_the_recorded_values() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/nickelflow.toml");
    let rules = rules_settings(Settings::load(&file).expect("valid settings"));
    assert_eq!(rules.fleet, "emmental");
    assert_eq!(rules.name, None);
    assert_eq!(rules.listen, parse_address("127.0.0.1:7401"));
    assert_eq!(rules.voter_id, Some(1));
    assert_eq!(rules.data_dir, Some(PathBuf::from("rules")));
    assert_eq!((rules.lease_ms, rules.renewal_ms, rules.max_clock_drift), (2_000, 500, 0.01));
    assert_eq!(rules.injected_lease_ms, None);
    let voters = rules.voters().expect("voters");
    assert!(voters.keys().eq(&[1, 2, 3]));
    assert!(voters.values().eq(&["127.0.0.1:7401", "127.0.0.1:7402", "127.0.0.1:7403"]));
}

#[test]
fn an_unknown_key_is_rejected_with_a_list_of_the_known_keys() {
    let with_unknown_key = SETTINGS_WITH_ALL_KEYS.replace("fleet =", "flet = 1\nfleet =");
    let error = load_settings(&with_unknown_key).expect_err("rejected");
    assert_eq!(error.exit_status(), exit_status::USAGE);
    let expected =
        "unknown field `flet`, expected one of `fleet`, `name`, `listen`, `voter`, `data`, `lease_ms`, \
                 `renewal_ms`, `drift`, `drill_honour_ms`, `voters`";
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn an_invalid_document_is_rejected_with_the_recorded_messages() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../rollout/tests/data/broken.toml");
    let error = load_document(&file).expect_err("rejected");
    assert_eq!(error.exit_status(), exit_status::USAGE);
    let recorded: Vec<String> = include_str!("../../rollout/tests/data/broken.txt")
        .lines()
        .map(|message| format!("{}: {message}", file.display()))
        .collect();
    assert_eq!(error.to_string(), recorded.join("\n"));
}
