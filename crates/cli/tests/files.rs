//! Files and arguments that an operator gives: read, or rejected with what is wrong and where.

use std::path::Path;

use clap::Parser;
use nickelflow_cli::{exit_status, load_document, Arguments, CliCommand, CliError, RulesCommand, Settings};
use rstest::rstest;

fn load(text: &str) -> Result<Settings, CliError> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("x.toml");
    std::fs::write(&file, text).expect("written");
    Ok(Settings::load(&file)?)
}

#[test]
fn the_deployed_example_is_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/nickelflow.toml");
    let rules = Settings::load(&file).expect("a valid example").rules.expect("rules");
    assert_eq!(rules.voters().expect("voters").len(), 3);
    // T as the documentation states it.
    assert_eq!(rules.lease_config().expect("a valid lease").max_overlap() / 1_000_000, 2_020);
}

const VALID: &str =
    "[rules]\nfleet = \"f\"\nlisten = \"127.0.0.1:0\"\nvoter = 1\ndata = \"d\"\n[rules.voters]\n1 = \"a:1\"\n";

#[rstest]
#[case::unknown_field("fleet = \"f\"", "fleet = \"f\"\nflet = 1", "unknown field `flet`")]
#[case::no_fleet("fleet = \"f\"", "fleet = \"\"", "rules.fleet")]
#[case::address("listen = \"127.0.0.1:0\"", "listen = \"here\"", "listen")]
#[case::renewal("voter = 1", "voter = 1\nlease_ms = 100", "rules.renewal_ms")]
#[case::lease("voter = 1", "voter = 1\nlease_ms = 99999999999", "rules.lease_ms")]
#[case::drift("voter = 1", "voter = 1\ndrift = 0.5", "drift from 0 to 0.1")]
#[case::no_folder("data = \"d\"\n", "", "rules.voter")]
#[case::no_such_voter("voter = 1", "voter = 7", "7 is not among the voters")]
#[case::voters_address("1 = \"a:1\"", "1 = \"a\"", "rules.voters.1")]
#[case::voters_number("1 = \"a:1\"", "x = \"a:1\"", "rules.voters.x")]
#[case::no_voters("1 = \"a:1\"", "", "rules.voters")]
fn an_error_in_the_settings_is_reported_with_its_key(
    #[case] valid: &str,
    #[case] broken: &str,
    #[case] expected: &str,
) {
    assert!(load(VALID).is_ok());
    let error = load(&VALID.replace(valid, broken)).expect_err("rejected");
    assert_eq!(error.exit_status(), exit_status::USAGE);
    let message = error.to_string();
    assert!(message.contains(expected), "{message}");
}

#[test]
fn all_errors_of_a_document_are_reported_with_file_and_line() {
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
#[case::found(&["rules", "found", "x.toml", "--config", "y.toml"], true)]
#[case::over(&["rules", "propose", "x.toml", "--over", "3"], true)]
#[case::json(&["--log-format", "json"], true)]
#[case::unknown_command(&["runn"], false)]
#[case::no_file(&["rules", "propose"], false)]
#[case::no_number(&["rules", "rollback", "x"], false)]
fn arguments_are_parsed_or_rejected(#[case] arguments: &[&str], #[case] valid: bool) {
    let read = Arguments::try_parse_from(std::iter::once(&"nickelflow").chain(arguments));
    assert_eq!(read.is_ok(), valid, "{read:?}");
}

#[test]
fn a_proposal_over_another_has_that_one_as_its_base() {
    let read = Arguments::parse_from(["nickelflow", "rules", "propose", "x.toml", "--over", "3"]);
    assert!(matches!(read.command, Some(CliCommand::Rules(RulesCommand::Propose { base: Some(3), .. }))));
}
