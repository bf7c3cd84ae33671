//! Every order of events, in small: three schedulers, three versions, messages lost and reordered, crashes, another that
//! decides, lapses. The machines are the real ones; only time is in ticks.
//!
//! A lease lasts two ticks, and clocks run alike. Version 3 may not be in force beside version 1, nor beside what the
//! careful rules of version 1 allow.

use std::hash::{Hash, Hasher};

use nickelflow_rollout::{
    LeaseConfig, LeaseGrant, LeaseHolder, LeaseRequest, LeaseState, LeaseTable, Nanos, RulesDocument,
    RulesStep, Version,
};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

const SCHEDULERS: usize = 3;
const LEASE: Nanos = 2;
/// Bounds of the search: time, requests of each scheduler, and of all the exchanges that are slow, crashes and elections. A
/// slow message is lost if it stays on its way to the end. All begin with a lease on version 1, and have told so.
const END: Nanos = 3;
const ASKS: u64 = 2;
const SLOW: u64 = 1;
const CRASHES: u64 = 1;
const ELECTIONS: u64 = 1;

/// What is wrong on purpose.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Leases are honoured for longer.
    TooLong,
    /// Version 3 takes force before all have told that they have version 2, or their leases are over.
    Unanswered,
    /// The same, but what they may do carefully is not waited for.
    Careless,
    /// One that decides anew does not wait for what the one before granted; beside that, careless.
    Forgets,
}

struct Small {
    fault: Fault,
    terms: LeaseConfig,
    step: RulesStep,
}

#[derive(Clone, Debug)]
struct State {
    now: Nanos,
    version: u64,
    /// When each version was decided.
    decided: Vec<Nanos>,
    grantor: LeaseTable,
    holders: Vec<LeaseHolder>,
    lives: Vec<u64>,
    asks: Vec<u64>,
    slow: u64,
    elections: u64,
    requests: Vec<(usize, LeaseRequest)>,
    grants: Vec<(usize, LeaseGrant)>,
}

impl State {
    /// All of it as it prints: steps hold figures that have no hash.
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
enum Act {
    Tick,
    /// A whole exchange within a tick.
    Exchange(usize),
    /// A slow one begins.
    Ask(usize),
    /// A request comes in, and its grant goes out.
    Arrives(usize),
    Granted(usize),
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

impl Small {
    fn new(fault: Fault) -> Small {
        let terms = LeaseConfig::new(LEASE, 1, 0.0).expect("sound terms");
        Small { fault, terms, step: RulesStep::from_document(&RulesDocument::default()) }
    }

    fn holder(&self, life: u64) -> LeaseHolder {
        let lease = if self.fault == Fault::TooLong { LEASE + 1 } else { LEASE };
        LeaseHolder::new(LeaseConfig::new(lease, 1, 0.0).expect("sound terms"), life)
    }

    /// Whether the next version may be decided.
    fn may_decide(&self, state: &State) -> bool {
        let settled = (0..SCHEDULERS).all(|n| {
            self.fault == Fault::Unanswered
                || state.grantor.prior_lease(state.now, name(n), version(state.version)).is_ok()
        });
        // What the careful rules of version 1 allow version 3 forbids.
        let told = (0..SCHEDULERS).all(|n| state.grantor.acknowledged(name(n)) >= Some(version(2)));
        let careful = state.version < 2
            || told
            || matches!(self.fault, Fault::Careless | Fault::Unanswered | Fault::Forgets);
        state.version < 3 && settled && careful
    }
}

impl Model for Small {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let mut begin = State {
            now: 1,
            version: 1,
            decided: vec![0],
            grantor: LeaseTable::new(self.terms, 1),
            holders: (0..SCHEDULERS).map(|n| self.holder(n as u64)).collect(),
            lives: (0..SCHEDULERS as u64).collect(),
            asks: vec![0; SCHEDULERS],
            slow: 0,
            elections: 0,
            requests: vec![],
            grants: vec![],
        };
        for n in (0..SCHEDULERS).chain(0..SCHEDULERS) {
            let request = begin.holders[n].next_request(1);
            let grant = begin.grantor.grant(1, name(n), request, version(1), &self.step);
            begin.holders[n].accept(1, grant.expect("nobody has its name"));
        }
        vec![begin]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        if state.now < END {
            acts.push(Act::Tick);
        }
        for n in (0..SCHEDULERS).filter(|n| state.asks[*n] < ASKS) {
            acts.push(Act::Exchange(n));
            acts.extend((state.slow < SLOW).then_some(Act::Ask(n)));
        }
        acts.extend((0..state.requests.len()).map(Act::Arrives));
        acts.extend((0..state.grants.len()).map(Act::Granted));
        if self.may_decide(state) {
            acts.push(Act::Decide);
        }
        let crashes: u64 = state.lives.iter().map(|life| life / 10).sum();
        if crashes < CRASHES {
            // All are alike: one will do.
            acts.push(Act::Crash(0));
        }
        if state.elections < ELECTIONS {
            acts.push(Act::Elect);
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        match act {
            Act::Tick => state.now += 1,
            Act::Exchange(n) => {
                let request = state.holders[n].next_request(state.now);
                state.asks[n] += 1;
                let now = version(state.version);
                let grant = state.grantor.grant(state.now, name(n), request, now, &self.step)?;
                state.holders[n].accept(state.now, grant);
            }
            Act::Ask(n) => {
                state.slow += 1;
                let request = state.holders[n].next_request(state.now);
                state.asks[n] += 1;
                state.requests.push((n, request));
            }
            Act::Arrives(at) => {
                let (n, request) = state.requests.remove(at);
                let now = state.version;
                let grant = state.grantor.grant(state.now, name(n), request, version(now), &self.step)?;
                state.grants.push((n, grant));
            }
            Act::Granted(at) => {
                let (n, grant) = state.grants.remove(at);
                state.holders[n].accept(state.now, grant);
            }
            Act::Decide => {
                state.version += 1;
                state.decided.push(state.now);
            }
            Act::Crash(n) => {
                state.lives[n] += 10;
                state.holders[n] = self.holder(state.lives[n]);
            }
            Act::Elect => {
                state.elections += 1;
                let begun = if self.fault == Fault::Forgets { 0 } else { state.now };
                state.grantor = LeaseTable::new(self.terms, begun);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEIGHBOURS, |_, state: &State| {
                (0..SCHEDULERS).all(|n| match state.holders[n].state(state.now) {
                    LeaseState::Active(acts, _) => acts.number + 1 >= state.version,
                    _ => true,
                })
            }),
            Property::always(
                "nobody acts on a version for T after the next",
                |model: &Small, state: &State| {
                    (0..SCHEDULERS).all(|n| match state.holders[n].state(state.now) {
                        LeaseState::Active(acts, _) => {
                            let next = state.decided.get(acts.number as usize);
                            next.is_none_or(|next| state.now - next < model.terms.max_overlap())
                        }
                        _ => true,
                    })
                },
            ),
            Property::always(CAREFUL, |_, state: &State| {
                (0..SCHEDULERS).all(|n| match state.holders[n].state(state.now) {
                    LeaseState::Lapsed(acts, _) => acts.number > 1 || state.version < 3,
                    _ => true,
                })
            }),
            Property::sometimes("version 3 comes into force", |_, state: &State| state.version == 3),
            Property::sometimes("two versions are in force at once", |_, state: &State| {
                let acts = |n: usize| match state.holders[n].state(state.now) {
                    LeaseState::Active(acts, _) => Some(acts.number),
                    _ => None,
                };
                acts(0).is_some() && acts(1).is_some() && acts(0) != acts(1)
            }),
        ]
    }
}

const NEIGHBOURS: &str = "never more than two neighbouring versions";
const BOUND: &str = "nobody acts on a version for T after the next";
const CAREFUL: &str = "no careful rules that the version in force forbids";

/// More than there are within the bounds.
const MOST: usize = 8_000_000;

fn search(fault: Fault, until: HasDiscoveries) -> impl Checker<Small> {
    Small::new(fault).checker().threads(4).target_state_count(MOST).finish_when(until).spawn_bfs().join()
}

#[test]
fn no_order_of_events_breaks_the_bound() {
    let checker = search(Fault::None, HasDiscoveries::AnyFailures);
    println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
    assert!(checker.state_count() < MOST, "not all states were looked at");
    checker.assert_properties();
}

#[rstest]
#[case::a_lease_honoured_too_long(Fault::TooLong, BOUND)]
#[case::force_before_all_have_answered(Fault::Unanswered, NEIGHBOURS)]
#[case::careful_rules_not_waited_for(Fault::Careless, CAREFUL)]
#[case::grants_of_the_one_before_forgotten(Fault::Forgets, NEIGHBOURS)]
fn each_fault_is_found(#[case] fault: Fault, #[case] broken: &'static str) {
    let checker = search(fault, HasDiscoveries::AnyOf([broken].into()));
    assert!(checker.discovery(broken).is_some(), "none of {} states", checker.state_count());
}
