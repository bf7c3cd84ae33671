//! Tests of the replicated state: concurrent proposals, roll-back during a rollout, membership and disconnected members.

use std::collections::BTreeMap;

use nickelflow_rollout::{
    BlockedBy, CommandError, Contradiction, DegradedRules, RolloutState, RulesDocument, Version,
    WorkerAccess, WorkerState,
};

/// Creates a document for three schedulers whose degraded rules allow half a share on the given workers.
fn document(quota: f64, workers: &[(&str, WorkerState)], allowed_workers: &[&str]) -> RulesDocument {
    RulesDocument {
        schedulers: 3,
        quotas: BTreeMap::from([("a".to_owned(), quota), ("b".to_owned(), 10.0)]),
        workers: workers.iter().map(|(w, s)| ((*w).to_owned(), s.clone())).collect(),
        degraded: DegradedRules {
            quota_share: 0.5,
            allowed_workers: allowed_workers.iter().map(|w| (*w).to_owned()).collect(),
            allows_unlisted_workers: false,
            allows_unlimited_tenants: false,
        },
        ..RulesDocument::default()
    }
}

fn blocked_by_s2(contradiction: Contradiction) -> BlockedBy {
    BlockedBy::DegradedMember { member: "s2".to_owned(), contradiction }
}

fn pinned(tenant: &str) -> WorkerState {
    WorkerState::Pinned(tenant.to_owned())
}

/// Creates a state with three members.
fn state_with_three_members(first: RulesDocument) -> RolloutState {
    let mut state = RolloutState::new(first);
    for name in ["s0", "s1", "s2"] {
        state.join(name).expect("room for a member");
    }
    state
}

fn acknowledged_by(state: &RolloutState, names: &[&str]) -> BTreeMap<String, Version> {
    names.iter().map(|name| ((*name).to_owned(), state.active().version)).collect()
}

/// Activates all pending steps, each of which all members acknowledge.
fn activate_all_steps(state: &mut RolloutState) {
    while state.pending_steps() > 0 {
        let acknowledged = acknowledged_by(state, &["s0", "s1", "s2"]);
        state.advance(1, &acknowledged).expect("not blocked");
    }
}

#[test]
fn the_second_of_two_concurrent_proposals_is_rejected() {
    let mut state = state_with_three_members(document(30.0, &[], &[]));
    assert_eq!(state.propose(1, document(40.0, &[], &[])), Ok(2));
    assert_eq!(state.propose(1, document(50.0, &[], &[])), Err(CommandError::Conflict(2)));
    assert_eq!(state.propose(2, document(50.0, &[], &[])), Ok(3));
    activate_all_steps(&mut state);
    assert_eq!(state.active().step.quotas["a"], 50.0);
}

#[test]
fn a_roll_back_during_a_rollout_continues_from_the_active_step() {
    let first = document(30.0, &[("w", pinned("a"))], &[]);
    let mut state = state_with_three_members(first);
    state.propose(1, document(30.0, &[("w", pinned("b"))], &[])).expect("based on the newest");
    let acknowledged = acknowledged_by(&state, &["s0", "s1", "s2"]);
    state.advance(1, &acknowledged).expect("not blocked");
    let intermediate = state.active().step.clone();
    assert_ne!(intermediate.worker_access["w"], WorkerAccess::Exclusive("a".to_owned()));
    assert_eq!(state.roll_back(2, 1), Ok(3));
    assert_eq!(state.roll_back(3, 9), Err(CommandError::UnknownProposal(9)));
    let mut last = intermediate;
    while state.pending_steps() > 0 {
        let acknowledged = acknowledged_by(&state, &["s0", "s1", "s2"]);
        state.advance(1, &acknowledged).expect("not blocked");
        assert_eq!(last.contradiction_with(&state.active().step), None);
        last = state.active().step.clone();
    }
    assert_eq!(last.worker_access["w"], WorkerAccess::Exclusive("a".to_owned()));
}

#[test]
fn the_last_of_a_hundred_proposals_becomes_active() {
    let mut state = state_with_three_members(document(30.0, &[], &[]));
    for n in 1..=100u32 {
        state.propose(u64::from(n), document(30.0 + f64::from(n), &[], &[])).expect("based on the newest");
    }
    assert!(state.pending_steps() <= 8, "{} steps are pending", state.pending_steps());
    assert_eq!(state.proposals().count(), 32, "the number of stored proposals is limited");
    activate_all_steps(&mut state);
    assert_eq!(state.active().step.quotas["a"], 130.0);
}

#[test]
fn a_step_waits_for_a_disconnected_member_whose_degraded_rules_it_contradicts() {
    // s2 acknowledges no step, so its lease expires and it applies the degraded rules of the first step.
    let blocked_by = |to: RulesDocument| {
        let mut state = state_with_three_members(document(30.0, &[], &["core"]));
        state.propose(1, to).expect("based on the newest");
        loop {
            let acknowledged = acknowledged_by(&state, &["s0", "s1"]);
            if let Some(reason) = state.blocked_by(&acknowledged) {
                return Some(reason);
            }
            state.advance(1, &acknowledged)?;
        }
    };
    // A change that does not restrict the worker of s2, and leaves s2 at least its degraded share, is not blocked.
    assert_eq!(blocked_by(document(15.0, &[("other", WorkerState::Cordoned)], &["core"])), None);
    let quota = Contradiction::QuotaExceeded("a".to_owned());
    assert_eq!(blocked_by(document(14.9, &[], &["core"])), Some(blocked_by_s2(quota)));
    let worker = Contradiction::RestrictedWorker("core".to_owned());
    let cordon = document(30.0, &[("core", WorkerState::Cordoned)], &[]);
    assert_eq!(blocked_by(cordon.clone()), Some(blocked_by_s2(worker)));
    let relisted = RulesDocument { list_version: 7, ..document(30.0, &[], &["core"]) };
    assert_eq!(blocked_by(relisted), Some(blocked_by_s2(Contradiction::KeyPlacement)));
    // After the operator has verified that s2 is down and has removed it, the rollout continues.
    let mut state = state_with_three_members(document(30.0, &[], &["core"]));
    state.propose(1, cordon).expect("based on the newest");
    state.leave("s2");
    while state.pending_steps() > 0 {
        let acknowledged = acknowledged_by(&state, &["s0", "s1"]);
        state.advance(1, &acknowledged).expect("not blocked");
    }
    assert!(state.active().step.worker_access.contains_key("core"));
}

#[test]
fn members_are_limited_and_the_limit_shrinks_only_after_enough_have_left() {
    let mut state = state_with_three_members(document(30.0, &[], &[]));
    assert_eq!(state.join("s3"), Err(CommandError::MembershipFull));
    assert_eq!(state.join("s0"), Ok(()), "s0 already is a member");
    state
        .propose(1, RulesDocument { schedulers: 2, ..document(30.0, &[], &[]) })
        .expect("based on the newest");
    let acknowledged = acknowledged_by(&state, &["s0", "s1", "s2"]);
    assert_eq!(state.blocked_by(&acknowledged), Some(BlockedBy::MemberLimit));
    state.leave("s2");
    assert_eq!(
        state.join("s3"),
        Err(CommandError::MembershipFull),
        "a new member would delay the pending step"
    );
    activate_all_steps(&mut state);
    assert_eq!((state.active().step.max_members, state.active().step.quota_shares), (2, 2));
    assert_eq!(state.active().step.member_quota("a"), 15.0);
}

#[test]
fn a_rejected_join_does_not_change_the_state() {
    let mut state = RolloutState::new(RulesDocument { schedulers: 1, ..RulesDocument::default() });
    assert_eq!(state.can_join("a"), Ok(true));
    state.join("a").expect("room for a member");
    assert_eq!(state.can_join("a"), Ok(false));
    let before = state.clone();
    assert_eq!(
        (state.can_join("b"), state.join("b")),
        (Err(CommandError::MembershipFull), Err(CommandError::MembershipFull))
    );
    assert_eq!(state, before);
}
