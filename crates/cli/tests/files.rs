//! The files and words that an operator gives: read, or refused with what is wrong where.

use std::path::Path;

use clap::Parser;
use nickelflow_cli::{check, status, Do, Failed, Options, RulesDo, Settings};
use rstest::rstest;

fn load(text: &str) -> Result<Settings, Failed> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("x.toml");
    std::fs::write(&file, text).expect("written");
    Settings::load(&file)
}

#[test]
fn the_example_that_is_deployed_is_sound() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/nickelflow.toml");
    let rules = Settings::load(&file).expect("a sound example").rules.expect("rules");
    assert_eq!(rules.voters().expect("voters").len(), 3);
    // T as the page gives it.
    assert_eq!(rules.terms().expect("terms").max_overlap() / 1_000_000, 2_020);
}

const SOUND: &str =
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
#[case::nobody("1 = \"a:1\"", "", "rules.voters")]
fn a_fault_in_the_settings_is_told_where_it_is(
    #[case] sound: &str,
    #[case] broken: &str,
    #[case] told: &str,
) {
    assert!(load(SOUND).is_ok());
    let Failed(status, why) = load(&SOUND.replace(sound, broken)).expect_err("refused");
    assert_eq!(status, status::USAGE);
    assert!(why.contains(told), "{why}");
}

#[test]
fn all_faults_of_a_document_are_told_with_file_and_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("rules.toml");
    std::fs::write(&file, "schedulers = 0\nattempts = 99\n").expect("written");
    let Failed(status, why) = check(&file).expect_err("refused");
    assert_eq!(status, status::USAGE);
    let lines: Vec<&str> = why.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(
        lines[0].contains("rules.toml: line 1: schedulers") && lines[1].contains("line 2: attempts"),
        "{why}"
    );
    let Failed(status, why) = check(&folder.path().join("none")).expect_err("refused");
    assert!(status == status::USAGE && why.contains("cannot be read"), "{why}");
}

#[rstest]
#[case::no_words(&[], true)]
#[case::run(&["run"], true)]
#[case::found(&["rules", "found", "x.toml", "--config", "y.toml"], true)]
#[case::over(&["rules", "propose", "x.toml", "--over", "3"], true)]
#[case::json(&["--log-format", "json"], true)]
#[case::nothing_known(&["runn"], false)]
#[case::no_file(&["rules", "propose"], false)]
#[case::no_number(&["rules", "rollback", "x"], false)]
fn words_are_understood_or_refused(#[case] words: &[&str], #[case] known: bool) {
    let read = Options::try_parse_from(std::iter::once(&"nickelflow").chain(words));
    assert_eq!(read.is_ok(), known, "{read:?}");
}

#[test]
fn a_change_over_an_older_proposal_keeps_that_number() {
    let read = Options::parse_from(["nickelflow", "rules", "propose", "x.toml", "--over", "3"]);
    assert!(matches!(read.to_do, Some(Do::Rules(RulesDo::Propose { over: Some(3), .. }))));
}
