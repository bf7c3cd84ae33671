//! Tests that valid settings files, rules documents and arguments are accepted, and that the error for an invalid
//! one names the mistake and its place.

use std::path::Path;

use clap::Parser;
use nickelflow_cli::{exit_status, load_document, Arguments, CliCommand, CliError, RulesCommand, Settings};
use rstest::rstest;

fn load_settings(text: &str) -> Result<Settings, CliError> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.toml");
    std::fs::write(&file, text).expect("written");
    Ok(Settings::load(&file)?)
}

#[test]
fn the_example_settings_in_deploy_are_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/nickelflow.toml");
    let rules = Settings::load(&file).expect("a valid example").rules.expect("rules");
    assert_eq!(rules.voters().expect("voters").len(), 3);
    // The value of T that the documentation states, in milliseconds.
    assert_eq!(rules.lease_config().expect("a valid lease").max_overlap() / 1_000_000, 2_020);
}

const VALID_SETTINGS: &str =
    "[rules]\nfleet = \"f\"\nlisten = \"127.0.0.1:0\"\nvoter = 1\ndata = \"d\"\n[rules.voters]\n1 = \"a:1\"\n";

#[rstest]
#[case::unknown_field("fleet = \"f\"", "fleet = \"f\"\nflet = 1", "unknown field `flet`")]
#[case::empty_fleet("fleet = \"f\"", "fleet = \"\"", "rules.fleet")]
#[case::invalid_listen_address("listen = \"127.0.0.1:0\"", "listen = \"here\"", "listen")]
#[case::renewal_longer_than_lease("voter = 1", "voter = 1\nlease_ms = 100", "rules.renewal_ms")]
#[case::lease_too_long("voter = 1", "voter = 1\nlease_ms = 99999999999", "rules.lease_ms")]
#[case::drift_too_large("voter = 1", "voter = 1\ndrift = 0.5", "drift from 0 to 0.1")]
#[case::voter_without_data_folder("data = \"d\"\n", "", "rules.voter")]
#[case::unknown_voter("voter = 1", "voter = 7", "7 is not among the voters")]
#[case::invalid_voter_address("1 = \"a:1\"", "1 = \"a\"", "rules.voters.1")]
#[case::invalid_voter_id("1 = \"a:1\"", "x = \"a:1\"", "rules.voters.x")]
#[case::no_voters("1 = \"a:1\"", "", "rules.voters")]
fn invalid_settings_are_rejected_with_the_key(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] expected: &str,
) {
    assert!(load_settings(VALID_SETTINGS).is_ok());
    let error = load_settings(&VALID_SETTINGS.replace(valid, invalid)).expect_err("rejected");
    assert_eq!(error.exit_status(), exit_status::USAGE);
    let message = error.to_string();
    assert!(message.contains(expected), "{message}");
}

#[test]
fn all_errors_in_a_document_are_reported_with_file_and_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("rules.toml");
    std::fs::write(&file, "schedulers = 0\nattempts = 99\n").expect("written");
    let error = load_document(&file).expect_err("rejected");
    assert_eq!(error.exit_status(), exit_status::USAGE);
    let message = error.to_string();
    let lines: Vec<&str> = message.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(
        lines[0].contains("rules.toml: line 1: schedulers") && lines[1].contains("line 2: attempts"),
        "{message}"
    );
    let error = load_document(&folder.path().join("none")).expect_err("rejected");
    assert_eq!(error.exit_status(), exit_status::USAGE);
    assert!(error.to_string().contains("cannot be read"), "{error}");
}

#[rstest]
#[case::no_arguments(&[], true)]
#[case::run(&["run"], true)]
#[case::bootstrap(&["rules", "found", "x.toml", "--config", "y.toml"], true)]
#[case::propose_with_base(&["rules", "propose", "x.toml", "--over", "3"], true)]
#[case::json_log(&["--log-format", "json"], true)]
#[case::unknown_command(&["runn"], false)]
#[case::missing_file(&["rules", "propose"], false)]
#[case::proposal_is_not_a_number(&["rules", "rollback", "x"], false)]
fn valid_arguments_are_accepted_and_others_rejected(#[case] arguments: &[&str], #[case] is_valid: bool) {
    let parsed = Arguments::try_parse_from(std::iter::once(&"nickelflow").chain(arguments));
    assert_eq!(parsed.is_ok(), is_valid, "{parsed:?}");
}

#[test]
fn the_over_argument_sets_the_base_of_a_proposal() {
    let parsed = Arguments::parse_from(["nickelflow", "rules", "propose", "x.toml", "--over", "3"]);
    assert!(matches!(parsed.command, Some(CliCommand::Rules(RulesCommand::Propose { base: Some(3), .. }))));
}
