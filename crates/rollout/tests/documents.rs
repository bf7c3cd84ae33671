//! Tests of the parsing of documents. All errors are reported at once, each with its line and field.

use nickelflow_rollout::{RetryAfterRange, RulesDocument, WorkerState};
use rstest::rstest;

const VALID: &str = r#"
schedulers = 3
attempts = 4
retry_after_ms = [50, 2_000]
list = 41

[tenants.emmental]
quota_per_s = 30.5

[tenants.seeland]
quota_per_s = 20

[workers.w1]
standing = "cordoned"

[workers.w2]
standing = "pinned"
tenant = "seeland"

[careful]
share = 0.5
workers = ["w3", "w4"]
"#;

#[test]
fn a_valid_document_is_read_completely() {
    let document = RulesDocument::parse(VALID).expect("a valid document");
    assert_eq!((document.schedulers, document.max_attempts, document.list_version), (3, 4, 41));
    assert_eq!(document.retry_after, RetryAfterRange { min_ms: 50, max_ms: 2_000 });
    assert_eq!(document.quotas["emmental"], 30.5);
    assert_eq!(document.workers["w2"], WorkerState::Pinned("seeland".to_owned()));
    assert_eq!(document.degraded.quota_share, 0.5);
    assert!(document.degraded.allowed_workers.contains("w4"));
}

#[test]
fn missing_fields_have_their_default_values() {
    assert_eq!(RulesDocument::parse(""), Ok(RulesDocument::default()));
}

#[rstest]
#[case::not_toml("schedulers = = 3", &[(1, "the file")])]
#[case::unknown_field("schedulers = 3\nshedulers = 4", &[(2, "shedulers")])]
#[case::beyond_the_limit("attempts = 17", &[(1, "attempts")])]
#[case::not_a_number("schedulers = \"three\"", &[(1, "schedulers")])]
#[case::fraction_of_a_scheduler("schedulers = 1.5", &[(1, "schedulers")])]
#[case::reversed_range("retry_after_ms = [9, 8]", &[(1, "retry_after_ms")])]
#[case::negative("[tenants.a]\nquota_per_s = -1.0", &[(2, "tenants.a.quota_per_s")])]
#[case::infinite("[tenants.a]\nquota_per_s = inf", &[(2, "tenants.a.quota_per_s")])]
#[case::pinned_without_tenant("[workers.w]\nstanding = \"pinned\"", &[(1, "workers.w.tenant")])]
#[case::unknown_worker_state("[workers.w]\nstanding = \"tired\"", &[(2, "workers.w.standing")])]
#[case::not_a_table("tenants = 3", &[(1, "tenants")])]
#[case::duplicate("[careful]\nworkers = [\"a\", \"a\"]", &[(2, "careful.workers")])]
#[case::excluded_and_allowed_while_degraded(
    "[workers.w]\nstanding = \"never\"\n[careful]\nworkers = [\"w\"]",
    &[(4, "careful.workers")]
)]
#[case::several(
    "attempts = 0\nx = 1\n[tenants.a]\nquota = 1\n[careful]\nshare = 2",
    &[(1, "attempts"), (2, "x"), (4, "tenants.a.quota"), (6, "careful.share")]
)]
fn all_errors_are_reported_with_line_and_field(#[case] text: &str, #[case] expected: &[(usize, &str)]) {
    let invalid = RulesDocument::parse(text).expect_err("an invalid document");
    let found: Vec<(usize, &str)> =
        invalid.errors.iter().map(|error| (error.line, error.field.as_str())).collect();
    assert_eq!(found, expected);
}

#[test]
fn ten_thousand_workers_are_read_and_one_over_the_limit_is_rejected() {
    let workers =
        |n: usize| (0..n).map(|w| format!("[workers.w{w}]\nstanding = \"drained\"\n")).collect::<String>();
    assert_eq!(RulesDocument::parse(&workers(10_000)).expect("a valid document").workers.len(), 10_000);
    assert!(RulesDocument::parse(&workers(20_001)).is_err());
}
