//! Tests that compare the text format and the error messages of rules documents with recorded files, so that no key and no
//! message changes unnoticed.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use nickelflow_rollout::{DegradedRules, RetryAfterRange, RulesDocument, WorkerState};
use rstest::rstest;

const RULES: &str = include_str!("data/rules.toml");
const WRITTEN: &str = include_str!("data/rules.written.toml");

/// Creates a document in which no field has its default value and each state of a worker occurs.
fn document_with_every_field() -> RulesDocument {
    RulesDocument {
        schedulers: 3,
        max_attempts: 5,
        retry_after: RetryAfterRange { min_ms: 50, max_ms: 1_500 },
        quotas: BTreeMap::from([("emmental".to_owned(), 30.5), ("seeland".to_owned(), 20.0)]),
        workers: BTreeMap::from([
            ("w1".to_owned(), WorkerState::Cordoned),
            ("w2".to_owned(), WorkerState::Drained),
            ("w3".to_owned(), WorkerState::Excluded),
            ("w4".to_owned(), WorkerState::Pinned("seeland".to_owned())),
        ]),
        degraded: DegradedRules {
            quota_share: 0.5,
            allowed_workers: BTreeSet::from(["w5".to_owned(), "w6".to_owned()]),
            allows_unlisted_workers: false,
            allows_unlimited_tenants: false,
        },
        list_version: 41,
    }
}

/// Compares a text with the recorded one, and writes the text to a file for inspection.
fn assert_matches_recorded(name: &str, recorded: &str, actual: &str) {
    let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&written, actual).expect("written");
    assert!(
        recorded == actual,
        "{name} differs from the recorded text; the actual text, also in {}:\n{actual}",
        written.display()
    );
}

#[test]
fn every_key_of_a_rules_document_is_read() {
    assert_eq!(RulesDocument::parse(RULES), Ok(document_with_every_field()));
}

#[test]
fn a_written_document_equals_the_recorded_file() {
    assert_matches_recorded("rules.written.toml", WRITTEN, &document_with_every_field().to_toml());
}

#[test]
fn the_recorded_file_reads_back_to_the_same_document() {
    assert_eq!(RulesDocument::parse(WRITTEN), Ok(document_with_every_field()));
}

#[rstest]
#[case::values("broken.txt", include_str!("data/broken.toml"), include_str!("data/broken.txt"))]
#[case::syntax("syntax_error.txt", include_str!("data/syntax_error.toml"), include_str!("data/syntax_error.txt"))]
fn errors_of_a_broken_document_equal_the_recorded_texts(
    #[case] name: &str,
    #[case] broken: &str,
    #[case] recorded: &str,
) {
    let invalid = RulesDocument::parse(broken).expect_err("a broken document");
    let texts: String = invalid.errors.iter().map(|error| format!("{error}\n")).collect();
    assert_eq!(format!("{invalid}\n"), texts);
    assert_matches_recorded(name, recorded, &texts);
}
