//! A model check of the lease protocol. It visits every order of events with three schedulers, three versions, lost and
//! reordered messages, crashes, a new leader and expired leases. It runs the real state machines, with time in ticks.
//!
//! A lease lasts two ticks, and clocks do not drift. Version 3 must not be in effect at the same time as version 1 or the
//! degraded rules of version 1.

use std::hash::{Hash, Hasher};

use nickelflow_rollout::{
    LeaseConfig, LeaseGrant, LeaseHolder, LeaseRequest, LeaseState, LeaseTable, Nanos, RulesDocument,
    RulesStep, Version,
};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

const SCHEDULERS: usize = 3;
const LEASE_DURATION: Nanos = 2;
// Bounds of the search: the time, the requests of each scheduler, and the delayed exchanges, crashes and leader changes in
// total. A delayed message that is still in flight at the end is lost. All schedulers start with a lease on version 1 and
// have acknowledged it.
const MAX_TIME: Nanos = 3;
const MAX_REQUESTS: u64 = 2;
const MAX_DELAYED_EXCHANGES: u64 = 1;
const MAX_CRASHES: u64 = 1;
const MAX_LEADER_CHANGES: u64 = 1;

/// The fault that is injected into the protocol, to show that the properties find it.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Holders use their leases for one tick longer.
    LeaseUsedTooLong,
    /// Version 3 is activated before all holders have acknowledged version 2 or their leases have expired.
    NoWaiting,
    /// The leader waits for leases, but not for holders whose degraded rules contradict the next version.
    DegradedRulesIgnored,
    /// Degraded rules are ignored, and a new leader does not wait for the leases that its predecessor granted.
    EarlierGrantsForgotten,
}

/// The difference between consecutive incarnations of a scheduler; more than the number of schedulers.
const INCARNATION_STEP: u64 = 10;

struct LeaseModel {
    fault: Fault,
    config: LeaseConfig,
    step: RulesStep,
}

#[derive(Clone, Debug)]
struct State {
    now: Nanos,
    version: u64,
    /// The time at which each version was activated, the first at index 0.
    activated_at: Vec<Nanos>,
    lease_table: LeaseTable,
    holders: Vec<LeaseHolder>,
    incarnations: Vec<u64>,
    request_counts: Vec<u64>,
    delayed_exchanges: u64,
    leader_changes: u64,
    requests: Vec<(usize, LeaseRequest)>,
    grants: Vec<(usize, LeaseGrant)>,
}

impl State {
    /// Returns the whole state as text. Steps contain floats, which do not implement `Hash`.
    fn key(&self) -> String {
        format!("{self:?}")
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.key() == other.key()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    /// A holder sends a request and receives the grant within a tick.
    Renew(usize),
    /// A holder sends a request that is delayed.
    SendRequest(usize),
    /// The delayed request at this index arrives, and the grant is sent.
    DeliverRequest(usize),
    /// The delayed grant at this index arrives.
    DeliverGrant(usize),
    Advance,
    Crash(usize),
    ReplaceLeader,
}

fn version(number: u64) -> Version {
    Version { term: 1, number }
}

fn holder_name(n: usize) -> &'static str {
    ["a", "b", "c"][n]
}

impl LeaseModel {
    fn new(fault: Fault) -> LeaseModel {
        let config = LeaseConfig::new(LEASE_DURATION, 1, 0.0).expect("a valid configuration");
        LeaseModel { fault, config, step: RulesStep::from_document(&RulesDocument::default()) }
    }

    fn holder(&self, incarnation: u64) -> LeaseHolder {
        let lease = if self.fault == Fault::LeaseUsedTooLong { LEASE_DURATION + 1 } else { LEASE_DURATION };
        LeaseHolder::new(LeaseConfig::new(lease, 1, 0.0).expect("a valid configuration"), incarnation)
    }

    /// Returns whether the next version may be activated.
    fn can_advance(&self, state: &State) -> bool {
        let prior_leases_over = (0..SCHEDULERS).all(|n| {
            self.fault == Fault::NoWaiting
                || state.lease_table.prior_lease(state.now, holder_name(n), version(state.version)).is_over()
        });
        // Version 3 forbids what the degraded rules of version 1 allow.
        let all_acknowledged =
            (0..SCHEDULERS).all(|n| state.lease_table.acknowledged(holder_name(n)) >= Some(version(2)));
        let degraded_respected = state.version < 2
            || all_acknowledged
            || matches!(
                self.fault,
                Fault::DegradedRulesIgnored | Fault::NoWaiting | Fault::EarlierGrantsForgotten
            );
        state.version < 3 && prior_leases_over && degraded_respected
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut initial = State {
            now: 1,
            version: 1,
            activated_at: vec![0],
            lease_table: LeaseTable::new(self.config, 1),
            holders: (0..SCHEDULERS).map(|n| self.holder(n as u64)).collect(),
            incarnations: (0..SCHEDULERS as u64).collect(),
            request_counts: vec![0; SCHEDULERS],
            delayed_exchanges: 0,
            leader_changes: 0,
            requests: vec![],
            grants: vec![],
        };
        for n in (0..SCHEDULERS).chain(0..SCHEDULERS) {
            let request = initial.holders[n].next_request(1);
            let grant = initial.lease_table.grant(1, holder_name(n), request, version(1), &self.step);
            initial.holders[n].accept(1, grant.expect("not superseded"));
        }
        vec![initial]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < MAX_TIME {
            actions.push(Action::Tick);
        }
        for n in (0..SCHEDULERS).filter(|n| state.request_counts[*n] < MAX_REQUESTS) {
            actions.push(Action::Renew(n));
            actions
                .extend((state.delayed_exchanges < MAX_DELAYED_EXCHANGES).then_some(Action::SendRequest(n)));
        }
        actions.extend((0..state.requests.len()).map(Action::DeliverRequest));
        actions.extend((0..state.grants.len()).map(Action::DeliverGrant));
        if self.can_advance(state) {
            actions.push(Action::Advance);
        }
        let crashes: u64 = state.incarnations.iter().map(|incarnation| incarnation / INCARNATION_STEP).sum();
        if crashes < MAX_CRASHES {
            // The schedulers are interchangeable, so it is enough that one of them crashes.
            actions.push(Action::Crash(0));
        }
        if state.leader_changes < MAX_LEADER_CHANGES {
            actions.push(Action::ReplaceLeader);
        }
    }

    fn next_state(&self, last: &State, act: Action) -> Option<State> {
        let mut state = last.clone();
        match act {
            Action::Tick => state.now += 1,
            Action::Renew(n) => {
                let request = state.holders[n].next_request(state.now);
                state.request_counts[n] += 1;
                let now = version(state.version);
                let grant = state.lease_table.grant(state.now, holder_name(n), request, now, &self.step)?;
                state.holders[n].accept(state.now, grant);
            }
            Action::SendRequest(n) => {
                state.delayed_exchanges += 1;
                let request = state.holders[n].next_request(state.now);
                state.request_counts[n] += 1;
                state.requests.push((n, request));
            }
            Action::DeliverRequest(at) => {
                let (n, request) = state.requests.remove(at);
                let now = state.version;
                let grant =
                    state.lease_table.grant(state.now, holder_name(n), request, version(now), &self.step)?;
                state.grants.push((n, grant));
            }
            Action::DeliverGrant(at) => {
                let (n, grant) = state.grants.remove(at);
                state.holders[n].accept(state.now, grant);
            }
            Action::Advance => {
                state.version += 1;
                state.activated_at.push(state.now);
            }
            Action::Crash(n) => {
                state.incarnations[n] += INCARNATION_STEP;
                state.holders[n] = self.holder(state.incarnations[n]);
            }
            Action::ReplaceLeader => {
                state.leader_changes += 1;
                let term_start = if self.fault == Fault::EarlierGrantsForgotten { 0 } else { state.now };
                state.lease_table = LeaseTable::new(self.config, term_start);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(AT_MOST_TWO_VERSIONS, |_, state: &State| {
                (0..SCHEDULERS).all(|n| match state.holders[n].state(state.now) {
                    LeaseState::Active(version, _) => version.number + 1 >= state.version,
                    _ => true,
                })
            }),
            Property::always(BOUNDED_OVERLAP, |model: &LeaseModel, state: &State| {
                (0..SCHEDULERS).all(|n| match state.holders[n].state(state.now) {
                    LeaseState::Active(version, _) => {
                        let next = state.activated_at.get(version.number as usize);
                        next.is_none_or(|next| state.now - next < model.config.max_overlap())
                    }
                    _ => true,
                })
            }),
            Property::always(DEGRADED_RULES_RESPECTED, |_, state: &State| {
                (0..SCHEDULERS).all(|n| match state.holders[n].state(state.now) {
                    LeaseState::Lapsed(version, _) => version.number > 1 || state.version < 3,
                    _ => true,
                })
            }),
            Property::sometimes("version 3 is activated", |_, state: &State| state.version == 3),
            Property::sometimes("two versions are in effect at the same time", |_, state: &State| {
                let active_version = |n: usize| match state.holders[n].state(state.now) {
                    LeaseState::Active(version, _) => Some(version.number),
                    _ => None,
                };
                active_version(0).is_some()
                    && active_version(1).is_some()
                    && active_version(0) != active_version(1)
            }),
        ]
    }
}

const AT_MOST_TWO_VERSIONS: &str = "at most two consecutive versions are in effect";
const BOUNDED_OVERLAP: &str = "no holder applies a version for longer than the maximum overlap";
const DEGRADED_RULES_RESPECTED: &str = "no holder applies degraded rules that the active version forbids";

/// More than the number of states within the bounds.
const MAX_STATES: usize = 8_000_000;

fn search(fault: Fault, until: HasDiscoveries) -> impl Checker<LeaseModel> {
    LeaseModel::new(fault)
        .checker()
        .threads(4)
        .target_state_count(MAX_STATES)
        .finish_when(until)
        .spawn_bfs()
        .join()
}

#[test]
fn no_order_of_events_violates_a_property() {
    let checker = search(Fault::None, HasDiscoveries::AnyFailures);
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.state_count() < MAX_STATES, "not all states were visited");
    checker.assert_properties();
}

#[rstest]
#[case::lease_used_too_long(Fault::LeaseUsedTooLong, BOUNDED_OVERLAP)]
#[case::step_before_all_have_acknowledged(Fault::NoWaiting, AT_MOST_TWO_VERSIONS)]
#[case::degraded_rules_not_waited_for(Fault::DegradedRulesIgnored, DEGRADED_RULES_RESPECTED)]
#[case::grants_of_the_earlier_leader_forgotten(Fault::EarlierGrantsForgotten, AT_MOST_TWO_VERSIONS)]
fn each_injected_fault_is_found(#[case] fault: Fault, #[case] property: &'static str) {
    let checker = search(fault, HasDiscoveries::AnyOf([property].into()));
    assert!(checker.discovery(property).is_some(), "not found in {} states", checker.state_count());
}
