//! Documents: what is wrong is told all at once, each fault with its line and field.

use nickelflow_rollout::{DocumentError, RulesDocument, WorkerState};
use rstest::rstest;

const SOUND: &str = r#"
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
fn a_sound_document_is_read_whole() {
    let document = RulesDocument::parse(SOUND).expect("it is sound");
    assert_eq!((document.schedulers, document.max_attempts, document.list_version), (3, 4, 41));
    assert_eq!(document.retry_after_ms, (50, 2_000));
    assert_eq!(document.quotas["emmental"], 30.5);
    assert_eq!(document.workers["w2"], WorkerState::Pinned("seeland".to_owned()));
    assert_eq!(document.degraded.quota_share, 0.5);
    assert!(document.degraded.allowed_workers.contains("w4"));
}

#[test]
fn what_is_not_said_has_its_usual_value() {
    assert_eq!(RulesDocument::parse(""), Ok(RulesDocument::default()));
}

#[rstest]
#[case::no_toml("schedulers = = 3", &[(1, "the file")])]
#[case::unknown("schedulers = 3\nshedulers = 4", &[(2, "shedulers")])]
#[case::absurd("attempts = 17", &[(1, "attempts")])]
#[case::not_a_number("schedulers = \"three\"", &[(1, "schedulers")])]
#[case::half_a_scheduler("schedulers = 1.5", &[(1, "schedulers")])]
#[case::turned_round("retry_after_ms = [9, 8]", &[(1, "retry_after_ms")])]
#[case::negative("[tenants.a]\nquota_per_s = -1.0", &[(2, "tenants.a.quota_per_s")])]
#[case::endless("[tenants.a]\nquota_per_s = inf", &[(2, "tenants.a.quota_per_s")])]
#[case::pinned_to_nobody("[workers.w]\nstanding = \"pinned\"", &[(1, "workers.w.tenant")])]
#[case::unknown_standing("[workers.w]\nstanding = \"tired\"", &[(2, "workers.w.standing")])]
#[case::no_table("tenants = 3", &[(1, "tenants")])]
#[case::twice("[careful]\nworkers = [\"a\", \"a\"]", &[(2, "careful.workers")])]
#[case::apart_and_careful("[workers.w]\nstanding = \"never\"\n[careful]\nworkers = [\"w\"]", &[(4, "careful.workers")])]
#[case::all_of_them(
    "attempts = 0\nx = 1\n[tenants.a]\nquota = 1\n[careful]\nshare = 2",
    &[(1, "attempts"), (2, "x"), (4, "tenants.a.quota"), (6, "careful.share")]
)]
fn all_faults_are_told_with_line_and_field(#[case] text: &str, #[case] faults: &[(usize, &str)]) {
    let found: Vec<DocumentError> = RulesDocument::parse(text).expect_err("it is wrong");
    let found: Vec<(usize, &str)> = found.iter().map(|fault| (fault.line, fault.field.as_str())).collect();
    assert_eq!(found, faults);
}

#[test]
fn a_document_of_ten_thousand_workers_is_read_and_twice_as_many_and_one_are_refused() {
    let workers =
        |n: usize| (0..n).map(|w| format!("[workers.w{w}]\nstanding = \"drained\"\n")).collect::<String>();
    assert_eq!(RulesDocument::parse(&workers(10_000)).expect("it is sound").workers.len(), 10_000);
    assert!(RulesDocument::parse(&workers(20_001)).is_err());
}
