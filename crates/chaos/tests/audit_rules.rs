//! The auditor of agreed rules shown to fail: a record that is sound, and the same with one thing changed.

use nickelflow_chaos::audit::Rule;
use nickelflow_chaos::audit_rules::{audit_rules, Agreed};
use nickelflow_chaos::record::{Entry, Party, Record};
use rstest::rstest;

const MS: u64 = 1_000_000;

fn law() -> Agreed {
    Agreed {
        bound: 1_000 * MS,
        transit: 50 * MS,
        saved_s: 0.25,
        schedulers: 2,
        workers: vec!["w0".to_owned(), "w1".to_owned()],
    }
}

fn reached(run: u64, scheduler: u32, worker: u32, version: &str) -> Record {
    let version = Some(version.to_owned());
    Record::Reached {
        id: format!("r{run}"),
        run,
        scheduler,
        worker,
        taken: true,
        work: 1.0,
        version,
        timeout: None,
    }
}

fn proposed(number: u64, document: &str) -> Record {
    Record::Proposed { number, document: document.to_owned() }
}

fn in_force(number: u64, version: &str) -> Record {
    Record::InForce { number, version: version.to_owned() }
}

const CLOSED: &str =
    "schedulers = 2\n[workers.w1]\nstanding = \"cordoned\"\n[tenants.milk]\nquota_per_s = 4\n";

/// Two schedulers go from version 1 over 2 to 3, which closes w1; one of them is cut off on the way.
fn sound() -> Vec<(u64, Record)> {
    vec![
        (0, reached(1, 0, 1, "1.1")),
        (5, reached(2, 1, 1, "1.1")),
        (10, Record::Proposing),
        (20, proposed(2, CLOSED)),
        (30, reached(3, 0, 0, "1.2")),
        (900, reached(4, 1, 1, "1.1")),
        (1_100, reached(5, 1, 0, "1.1 careful")),
        (1_500, reached(6, 0, 0, "2.3")),
        (1_520, in_force(2, "2.3")),
        (2_000, reached(7, 1, 1, "1.2 careful")),
        (3_000, reached(8, 0, 0, "2.3")),
        (3_500, reached(9, 1, 0, "2.3")),
    ]
}

fn judge(records: &[(u64, Record)]) -> Vec<Rule> {
    let entries: Vec<Entry> =
        records.iter().map(|(at, what)| Entry { at: at * MS, what: what.clone() }).collect();
    let mut rules: Vec<Rule> = audit_rules(&law(), &entries).findings.iter().map(|f| f.rule).collect();
    rules.dedup();
    rules
}

fn and(at: u64, record: Record) -> Vec<(u64, Record)> {
    let mut records = sound();
    records.push((at, record));
    records.sort_by_key(|(at, _)| *at);
    records
}

#[test]
fn a_sound_record_has_no_findings_and_its_overlaps_are_told() {
    let entries: Vec<Entry> = sound().into_iter().map(|(at, what)| Entry { at: at * MS, what }).collect();
    let told = audit_rules(&law(), &entries);
    assert!(told.findings.is_empty(), "{:?}", told.findings);
    assert_eq!(told.overlaps, [870 * MS, 0, 0]);
    assert_eq!((told.versions, told.careful), (3, 2));
}

#[rstest]
#[case::too_long(and(1_090, reached(20, 1, 0, "1.1")), Rule::OldRules)]
#[case::beside_the_next_but_one(and(1_560, reached(20, 1, 0, "1.1")), Rule::OldRules)]
#[case::without_rules(and(40, reached(20, 1, 0, "none")), Rule::NoRules)]
#[case::to_a_closed_worker(and(3_600, reached(20, 1, 1, "2.3")), Rule::AgainstRules)]
#[case::to_a_closed_worker_carefully(and(3_600, reached(20, 1, 1, "1.2 careful")), Rule::AgainstRules)]
fn one_thing_changed_is_found(#[case] records: Vec<(u64, Record)>, #[case] rule: Rule) {
    assert_eq!(judge(&records), [rule]);
}

/// So many requests of a tenant within half a second, after T.
fn requests(many: u64) -> Vec<(u64, Record)> {
    let mut records = sound();
    for n in 0..many {
        let (id, tenant) = (format!("r{}", 100 + n), Some("milk".to_owned()));
        records.push((3_600 + n, Record::Asked { id, scheduler: 0, class: 0, tenant, deadline: 9_000 * MS }));
        records.push((3_600 + n, reached(100 + n, 0, 0, "2.3")));
    }
    records
}

#[test]
fn more_than_a_tenants_limit_at_all_together_is_found() {
    // Four a second, one that each of two has saved up, and one for the edge.
    assert!(judge(&requests(7)).is_empty());
    assert_eq!(judge(&requests(8)), [Rule::AgainstRules]);
}

#[test]
fn what_a_link_kept_and_what_may_be_changed_by_the_next_proposal_is_no_finding() {
    let link = |fault: Option<&str>| Record::Link {
        from: Party::Scheduler(1),
        to: Party::Worker(0),
        fault: fault.map(str::to_owned),
    };
    let mut kept = and(2_500, reached(20, 1, 0, "1.1"));
    kept.extend([(800, link(Some("cut"))), (2_490, link(None))]);
    kept.sort_by_key(|(at, _)| *at);
    assert!(judge(&kept).is_empty());
    let mut changed = and(3_600, reached(20, 1, 1, "2.3"));
    changed.push((3_550, Record::Proposing));
    changed.sort_by_key(|(at, _)| *at);
    assert!(judge(&changed).is_empty());
}
