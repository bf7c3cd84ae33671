//! Tests that the postcard encoding of all types that voters store or send does not change. `data/stored_bytes.txt` contains
//! the bytes as recorded at commit 04e006e, in lines of the form `name hex`. The order, number and types of fields and
//! variants must not change, because a later version would decode old logs and the messages of other versions wrongly.
//! Names may change.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use nickelflow_rollout::{
    CommandError, DegradedRules, KeyPlacement, LeaseConfig, LeaseGrant, LeaseRequest, PlacementInputs,
    RetryAfterRange, RolloutState, RulesDocument, RulesStep, Version, WorkerAccess, WorkerState,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

const RECORDED: &str = include_str!("data/stored_bytes.txt");

/// Encodes each value and compares it with the recorded bytes, which must decode to the same value.
#[derive(Default)]
struct Checker {
    names: Vec<String>,
    errors: Vec<String>,
}

impl Checker {
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        self.names.push(name.to_owned());
        let encoded = hex(&postcard::to_stdvec(value).expect("encoded"));
        let Some(recorded) = recorded(name) else {
            return self.errors.push(format!("{name} is not recorded; it is encoded as:\n{name} {encoded}"));
        };
        if encoded != recorded {
            self.errors.push(format!("{name} is encoded as {encoded}, recorded as {recorded}"));
        }
        match postcard::from_bytes::<T>(&bytes(recorded)) {
            Ok(decoded) if decoded != *value => {
                self.errors.push(format!("{name} is decoded to {decoded:?}, not {value:?}"));
            }
            Ok(decoded) => {
                let reencoded = hex(&postcard::to_stdvec(&decoded).expect("encoded"));
                assert_eq!(reencoded, encoded, "{name} is encoded differently after it was decoded");
            }
            Err(e) => self.errors.push(format!("{name} cannot be decoded: {e}")),
        }
    }

    fn finish(self) {
        assert!(self.errors.is_empty(), "{}", self.errors.join("\n"));
        let recorded: Vec<&str> = RECORDED.lines().filter_map(|line| line.split(' ').next()).collect();
        assert_eq!(
            self.names, recorded,
            "the checked values must be the recorded ones, in the order of the file"
        );
    }
}

fn recorded(name: &str) -> Option<&'static str> {
    RECORDED.lines().find_map(|line| line.split_once(' ').filter(|(of, _)| *of == name)).map(|(_, hex)| hex)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
    (0..hex.len()).step_by(2).map(byte).collect()
}

// The functions below create all values. No two fields of the same type have the same value, so that swapped fields are
// detected.

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn version() -> Version {
    Version { number: 300, term: 7 }
}

fn worker_states() -> Vec<WorkerState> {
    vec![
        WorkerState::Cordoned,
        WorkerState::Drained,
        WorkerState::Excluded,
        WorkerState::Pinned("milk".to_owned()),
    ]
}

fn degraded_rules() -> DegradedRules {
    DegradedRules {
        quota_share: 0.25,
        allowed_workers: names(&["w7", "w8"]),
        allows_unlisted_workers: true,
        allows_unlimited_tenants: false,
    }
}

fn document() -> RulesDocument {
    let workers = worker_states().into_iter().enumerate();
    RulesDocument {
        schedulers: 4,
        max_attempts: 3,
        retry_after: RetryAfterRange { min_ms: 20, max_ms: 1_500 },
        quotas: BTreeMap::from([("cream".to_owned(), 12.5), ("milk".to_owned(), 100.0)]),
        workers: workers.map(|(n, worker_state)| (format!("w{n}"), worker_state)).collect(),
        degraded: degraded_rules(),
        list_version: 9,
    }
}

fn worker_access() -> Vec<WorkerAccess> {
    let closed = worker_states().into_iter().map(WorkerAccess::Closed);
    closed
        .chain([WorkerAccess::Reserved("milk".to_owned()), WorkerAccess::Exclusive("cream".to_owned())])
        .collect()
}

fn placement_inputs(list_version: u64) -> PlacementInputs {
    PlacementInputs { list_version, excluded_workers: names(&["w1", "w2"]) }
}

fn key_placements() -> [KeyPlacement; 2] {
    [
        KeyPlacement::Single(placement_inputs(3)),
        KeyPlacement::Transition(placement_inputs(4), placement_inputs(5)),
    ]
}

fn step() -> RulesStep {
    let [_, placement] = key_placements();
    RulesStep {
        max_members: 5,
        quota_shares: 6,
        max_attempts: 3,
        retry_after: RetryAfterRange { min_ms: 20, max_ms: 1_500 },
        quotas: document().quotas,
        worker_access: worker_access()
            .into_iter()
            .enumerate()
            .map(|(n, access)| (format!("w{n}"), access))
            .collect(),
        key_placement: placement,
        degraded: degraded_rules(),
    }
}

/// Creates a state with two stored steps, pending steps, two proposals, and two members of which one lags behind.
fn rollout_state() -> RolloutState {
    let mut state = RolloutState::new(document());
    state.join("s1").expect("room for a member");
    let mut wanted = RulesDocument { schedulers: 6, list_version: 10, ..document() };
    wanted.workers.clear();
    state.propose(1, wanted).expect("based on the newest");
    let first = state.active().version;
    let second = state.advance(3, &BTreeMap::from([("s1".to_owned(), first)])).expect("not blocked");
    state.join("s2").expect("room for a member");
    assert!(second > first && state.pending_steps() > 0 && state.members().count() == 2);
    state
}

#[test]
fn every_stored_type_keeps_its_bytes() {
    let mut checker = Checker::default();
    checker.check("version", &version());
    for (n, worker_state) in worker_states().iter().enumerate() {
        checker.check(&format!("worker-state-{n}"), worker_state);
    }
    checker.check("degraded-rules", &degraded_rules());
    checker.check("document", &document());
    checker.check("document-default", &RulesDocument::default());
    for (n, access) in worker_access().iter().enumerate() {
        checker.check(&format!("worker-access-{n}"), access);
    }
    for (n, placement) in key_placements().iter().enumerate() {
        checker.check(&format!("key-placement-{n}"), placement);
    }
    checker.check("step", &step());
    for (n, error) in
        [CommandError::Conflict(300), CommandError::UnknownProposal(301), CommandError::MembershipFull]
            .iter()
            .enumerate()
    {
        checker.check(&format!("command-error-{n}"), error);
    }
    checker.check("rollout-state-new", &RolloutState::new(document()));
    checker.check("rollout-state", &rollout_state());
    checker.check(
        "lease-request",
        &LeaseRequest { incarnation: 1_000_001, sequence: 302, acknowledged: version() },
    );
    checker.check(
        "lease-grant",
        &LeaseGrant { incarnation: 1_000_001, sequence: 302, version: version(), step: Some(step()) },
    );
    checker.check(
        "lease-grant-renewal",
        &LeaseGrant { incarnation: 1_000_001, sequence: 302, version: version(), step: None },
    );
    checker.check(
        "lease-config",
        &LeaseConfig::new(1_000_000_000, 200_000_000, 0.01).expect("a valid configuration"),
    );
    checker.finish();
}
