//! A model check of the lease protocol: every order of events with three schedulers, three versions, messages that are lost
//! and reordered, crashes, a new leader and lapsed leases. The state machines are the real ones; only time is in ticks.
//!
//! A lease lasts two ticks, and clocks do not drift. Version 3 may not be in force at the same time as version 1, nor as the
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
// Bounds of the search: time, requests of each scheduler, and the numbers of delayed exchanges, crashes and elections of
// all together. A delayed message is lost if it is still under way at the end. All schedulers begin with a lease on version
// 1 that they have acknowledged.
const MAX_TIME: Nanos = 3;
const MAX_REQUESTS: u64 = 2;
const MAX_DELAYED: u64 = 1;
const MAX_CRASHES: u64 = 1;
const MAX_ELECTIONS: u64 = 1;

/// The fault that is injected.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Holders honour their leases for longer.
    LeaseTooLong,
    /// Version 3 is put in force before all holders have acknowledged version 2 or their leases have expired.
    NoWaiting,
    /// Leases are waited for, but degraded rules are not.
    IgnoresDegraded,
    /// As before, and a new leader does not wait for the leases that the one before granted.
    ForgetsGrants,
}

/// What one incarnation of a scheduler differs from the next by; more than there are schedulers.
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
    /// When each version was decided, the first at index 0.
    decided_at: Vec<Nanos>,
    lease_table: LeaseTable,
    holders: Vec<LeaseHolder>,
    incarnations: Vec<u64>,
    request_counts: Vec<u64>,
    delayed: u64,
    elections: u64,
    requests: Vec<(usize, LeaseRequest)>,
    grants: Vec<(usize, LeaseGrant)>,
}

impl State {
    /// The whole state as text, because steps contain floats, which have no hash.
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
    /// A complete exchange within a tick.
    Exchange(usize),
    /// A delayed exchange begins.
    SendRequest(usize),
    /// The request of this index arrives, and its grant is sent.
    DeliverRequest(usize),
    /// The grant of this index arrives.
    DeliverGrant(usize),
    Decide,
    Crash(usize),
    Elect,
}

fn version(number: u64) -> Version {
    Version { term: 1, number }
}

fn name(n: usize) -> &'static str {
    ["a", "b", "c"][n]
}

impl LeaseModel {
    fn new(fault: Fault) -> LeaseModel {
        let config = LeaseConfig::new(LEASE_DURATION, 1, 0.0).expect("a valid configuration");
        LeaseModel { fault, config, step: RulesStep::from_document(&RulesDocument::default()) }
    }

    fn holder(&self, incarnation: u64) -> LeaseHolder {
        let lease = if self.fault == Fault::LeaseTooLong { LEASE_DURATION + 1 } else { LEASE_DURATION };
        LeaseHolder::new(LeaseConfig::new(lease, 1, 0.0).expect("a valid configuration"), incarnation)
    }

    /// Whether the next version may be decided.
    fn may_decide(&self, state: &State) -> bool {
        let settled = (0..SCHEDULERS).all(|n| {
            self.fault == Fault::NoWaiting
                || state.lease_table.prior_lease(state.now, name(n), version(state.version)).is_over()
        });
        // Version 3 forbids what the degraded rules of version 1 allow.
        let acknowledged =
            (0..SCHEDULERS).all(|n| state.lease_table.acknowledged(name(n)) >= Some(version(2)));
        let degraded_respected = state.version < 2
            || acknowledged
            || matches!(self.fault, Fault::IgnoresDegraded | Fault::NoWaiting | Fault::ForgetsGrants);
        state.version < 3 && settled && degraded_respected
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut initial = State {
            now: 1,
            version: 1,
            decided_at: vec![0],
            lease_table: LeaseTable::new(self.config, 1),
            holders: (0..SCHEDULERS).map(|n| self.holder(n as u64)).collect(),
            incarnations: (0..SCHEDULERS as u64).collect(),
            request_counts: vec![0; SCHEDULERS],
            delayed: 0,
            elections: 0,
            requests: vec![],
            grants: vec![],
        };
        for n in (0..SCHEDULERS).chain(0..SCHEDULERS) {
            let request = initial.holders[n].next_request(1);
            let grant = initial.lease_table.grant(1, name(n), request, version(1), &self.step);
            initial.holders[n].accept(1, grant.expect("not superseded"));
        }
        vec![initial]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < MAX_TIME {
            actions.push(Action::Tick);
        }
        for n in (0..SCHEDULERS).filter(|n| state.request_counts[*n] < MAX_REQUESTS) {
            actions.push(Action::Exchange(n));
            actions.extend((state.delayed < MAX_DELAYED).then_some(Action::SendRequest(n)));
        }
        actions.extend((0..state.requests.len()).map(Action::DeliverRequest));
        actions.extend((0..state.grants.len()).map(Action::DeliverGrant));
        if self.may_decide(state) {
            actions.push(Action::Decide);
        }
        let crashes: u64 = state.incarnations.iter().map(|incarnation| incarnation / INCARNATION_STEP).sum();
        if crashes < MAX_CRASHES {
            // The schedulers are interchangeable, so that one suffices.
            actions.push(Action::Crash(0));
        }
        if state.elections < MAX_ELECTIONS {
            actions.push(Action::Elect);
        }
    }

    fn next_state(&self, last: &State, act: Action) -> Option<State> {
        let mut state = last.clone();
        match act {
            Action::Tick => state.now += 1,
            Action::Exchange(n) => {
                let request = state.holders[n].next_request(state.now);
                state.request_counts[n] += 1;
                let now = version(state.version);
                let grant = state.lease_table.grant(state.now, name(n), request, now, &self.step)?;
                state.holders[n].accept(state.now, grant);
            }
            Action::SendRequest(n) => {
                state.delayed += 1;
                let request = state.holders[n].next_request(state.now);
                state.request_counts[n] += 1;
                state.requests.push((n, request));
            }
            Action::DeliverRequest(at) => {
                let (n, request) = state.requests.remove(at);
                let now = state.version;
                let grant = state.lease_table.grant(state.now, name(n), request, version(now), &self.step)?;
                state.grants.push((n, grant));
            }
            Action::DeliverGrant(at) => {
                let (n, grant) = state.grants.remove(at);
                state.holders[n].accept(state.now, grant);
            }
            Action::Decide => {
                state.version += 1;
                state.decided_at.push(state.now);
            }
            Action::Crash(n) => {
                state.incarnations[n] += INCARNATION_STEP;
                state.holders[n] = self.holder(state.incarnations[n]);
            }
            Action::Elect => {
                state.elections += 1;
                let term_start = if self.fault == Fault::ForgetsGrants { 0 } else { state.now };
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
                        let next = state.decided_at.get(version.number as usize);
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
            Property::sometimes("version 3 is put in force", |_, state: &State| state.version == 3),
            Property::sometimes("two versions are in force at the same time", |_, state: &State| {
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

const AT_MOST_TWO_VERSIONS: &str = "at most two neighbouring versions are in force";
const BOUNDED_OVERLAP: &str = "no holder acts on a version for longer than the maximum overlap";
const DEGRADED_RULES_RESPECTED: &str = "no holder acts on degraded rules that the active version forbids";

/// More states than there are within the bounds.
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
#[case::lease_honoured_too_long(Fault::LeaseTooLong, BOUNDED_OVERLAP)]
#[case::step_before_all_have_acknowledged(Fault::NoWaiting, AT_MOST_TWO_VERSIONS)]
#[case::degraded_rules_not_waited_for(Fault::IgnoresDegraded, DEGRADED_RULES_RESPECTED)]
#[case::grants_of_the_earlier_leader_forgotten(Fault::ForgetsGrants, AT_MOST_TWO_VERSIONS)]
fn each_injected_fault_is_found(#[case] fault: Fault, #[case] property: &'static str) {
    let checker = search(fault, HasDiscoveries::AnyOf([property].into()));
    assert!(checker.discovery(property).is_some(), "not found in {} states", checker.state_count());
}
