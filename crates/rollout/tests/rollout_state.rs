//! What is decided: two operators at once, a roll-back in the middle of a change, seats, and who is cut off.

use std::collections::BTreeMap;

use nickelflow_rollout::{
    BlockedBy, CommandError, Contradiction, DegradedRules, RolloutState, RulesDocument, Version,
    WorkerAccess, WorkerState,
};

fn document(quota: f64, workers: &[(&str, WorkerState)], core: &[&str]) -> RulesDocument {
    RulesDocument {
        schedulers: 3,
        quotas: BTreeMap::from([("a".to_owned(), quota), ("b".to_owned(), 10.0)]),
        workers: workers.iter().map(|(w, s)| ((*w).to_owned(), s.clone())).collect(),
        degraded: DegradedRules {
            quota_share: 0.5,
            allowed_workers: core.iter().map(|w| (*w).to_owned()).collect(),
            allows_unlisted_workers: false,
            allows_unlimited_tenants: false,
        },
        ..RulesDocument::default()
    }
}

fn pinned(tenant: &str) -> WorkerState {
    WorkerState::Pinned(tenant.to_owned())
}

/// A table at which three sit, who all have what is in force.
fn table(first: RulesDocument) -> RolloutState {
    let mut decider = RolloutState::new(first);
    for name in ["s0", "s1", "s2"] {
        decider.join(name).expect("a seat");
    }
    decider
}

fn told(decider: &RolloutState, names: &[&str]) -> BTreeMap<String, Version> {
    names.iter().map(|name| ((*name).to_owned(), decider.active().0)).collect()
}

/// Goes on for as long as nothing is waited for, all having told that they have each step.
fn finish(decider: &mut RolloutState) {
    while decider.pending_steps() > 0 {
        let has = told(decider, &["s0", "s1", "s2"]);
        decider.advance(1, &has).expect("nothing to wait for");
    }
}

#[test]
fn of_two_operators_who_propose_at_once_the_second_is_told() {
    let mut decider = table(document(30.0, &[], &[]));
    assert_eq!(decider.propose(1, document(40.0, &[], &[])), Ok(2));
    assert_eq!(decider.propose(1, document(50.0, &[], &[])), Err(CommandError::Conflict(2)));
    assert_eq!(decider.propose(2, document(50.0, &[], &[])), Ok(3));
    finish(&mut decider);
    assert_eq!(decider.active().1.quotas["a"], 50.0);
}

#[test]
fn a_roll_back_in_the_middle_of_a_change_goes_on_from_where_that_stands() {
    let first = document(30.0, &[("w", pinned("a"))], &[]);
    let mut decider = table(first);
    decider.propose(1, document(30.0, &[("w", pinned("b"))], &[])).expect("on the newest");
    let has = told(&decider, &["s0", "s1", "s2"]);
    decider.advance(1, &has).expect("nothing to wait for");
    let between = decider.active().1.clone();
    assert_ne!(between.worker_access["w"], WorkerAccess::Exclusive("a".to_owned()));
    assert_eq!(decider.roll_back(2, 1), Ok(3));
    assert_eq!(decider.roll_back(3, 9), Err(CommandError::UnknownProposal(9)));
    let mut last = between;
    while decider.pending_steps() > 0 {
        let has = told(&decider, &["s0", "s1", "s2"]);
        decider.advance(1, &has).expect("nothing to wait for");
        assert_eq!(last.contradiction_with(decider.active().1), None);
        last = decider.active().1.clone();
    }
    assert_eq!(last.worker_access["w"], WorkerAccess::Exclusive("a".to_owned()));
}

#[test]
fn a_hundred_changes_that_come_at_once_end_in_the_last() {
    let mut decider = table(document(30.0, &[], &[]));
    for n in 1..=100u32 {
        decider.propose(u64::from(n), document(30.0 + f64::from(n), &[], &[])).expect("on the newest");
    }
    assert!(decider.pending_steps() <= 8, "{} steps wait", decider.pending_steps());
    assert_eq!(decider.documents().count(), 32, "more are kept than a roll-back needs");
    finish(&mut decider);
    assert_eq!(decider.active().1.quotas["a"], 130.0);
}

#[test]
fn while_one_is_cut_off_what_its_careful_rules_allow_cannot_be_taken_away() {
    // s2 tells nothing from here on: its lease lapses, and it acts on the careful rules of the first step.
    let reach = |to: RulesDocument| {
        let mut decider = table(document(30.0, &[], &["core"]));
        decider.propose(1, to).expect("on the newest");
        loop {
            let has = told(&decider, &["s0", "s1"]);
            if let Some(waits) = decider.blocked_by(&has) {
                return Some(waits);
            }
            decider.advance(1, &has)?;
        }
    };
    // Not its worker, and not below its share: that goes through.
    assert_eq!(reach(document(15.0, &[("other", WorkerState::Cordoned)], &["core"])), None);
    let quota = Contradiction::QuotaExceeded("a".to_owned());
    assert_eq!(
        reach(document(14.9, &[], &["core"])),
        Some(BlockedBy::DegradedMember("s2".to_owned(), quota))
    );
    let worker = Contradiction::ReservedWorker("core".to_owned());
    let cordon = document(30.0, &[("core", WorkerState::Cordoned)], &[]);
    assert_eq!(reach(cordon.clone()), Some(BlockedBy::DegradedMember("s2".to_owned(), worker)));
    let moved = RulesDocument { list_version: 7, ..document(30.0, &[], &["core"]) };
    assert_eq!(reach(moved), Some(BlockedBy::DegradedMember("s2".to_owned(), Contradiction::KeyPlacement)));
    // Once the operator has made sure that it is down, its seat is taken and the change goes on.
    let mut decider = table(document(30.0, &[], &["core"]));
    decider.propose(1, cordon).expect("on the newest");
    decider.leave("s2");
    while decider.pending_steps() > 0 {
        let has = told(&decider, &["s0", "s1"]);
        decider.advance(1, &has).expect("nothing to wait for");
    }
    assert!(decider.active().1.worker_access.contains_key("core"));
}

#[test]
fn seats_are_no_more_than_parts_and_fewer_only_when_enough_have_left() {
    let mut decider = table(document(30.0, &[], &[]));
    assert_eq!(decider.join("s3"), Err(CommandError::MembershipFull));
    assert_eq!(decider.join("s0"), Ok(()), "it has its seat");
    decider.propose(1, RulesDocument { schedulers: 2, ..document(30.0, &[], &[]) }).expect("on the newest");
    let has = told(&decider, &["s0", "s1", "s2"]);
    assert_eq!(decider.blocked_by(&has), Some(BlockedBy::MemberLimit));
    decider.leave("s2");
    assert_eq!(
        decider.join("s3"),
        Err(CommandError::MembershipFull),
        "one that comes meanwhile holds up the others"
    );
    finish(&mut decider);
    assert_eq!((decider.active().1.max_members, decider.active().1.quota_shares), (2, 2));
    assert_eq!(decider.active().1.member_quota("a"), 15.0);
}

#[test]
fn who_finds_no_seat_is_told_so_without_a_change() {
    let mut decider = RolloutState::new(RulesDocument { schedulers: 1, ..RulesDocument::default() });
    assert_eq!(decider.can_join("a"), Ok(true));
    decider.join("a").expect("a seat");
    assert_eq!(decider.can_join("a"), Ok(false));
    let before = decider.clone();
    assert_eq!(
        (decider.can_join("b"), decider.join("b")),
        (Err(CommandError::MembershipFull), Err(CommandError::MembershipFull))
    );
    assert_eq!(decider, before);
}
