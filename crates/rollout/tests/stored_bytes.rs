//! The postcard bytes of all types that voters store or send, as recorded at commit 04e006e in
//! `data/stored_bytes.txt`: `name hex` lines. The order, number and types of fields and variants must not change, or a
//! later program reads old logs and other programs' messages wrongly; names are free.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use nickelflow_rollout::{
    CommandError, DegradedRules, KeyPlacement, LeaseConfig, LeaseGrant, LeaseRequest, PlacementInputs,
    RolloutState, RulesDocument, RulesStep, Version, WorkerAccess, WorkerState,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

const RECORDED: &str = include_str!("data/stored_bytes.txt");

/// Encodes each value and compares it with the recorded bytes, which must decode to the same value.
#[derive(Default)]
struct Checker {
    names: Vec<String>,
    faults: Vec<String>,
}

impl Checker {
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        self.names.push(name.to_owned());
        let encoded = hex(&postcard::to_stdvec(value).expect("encoded"));
        let Some(recorded) = recorded(name) else {
            return self.faults.push(format!("not recorded:\n{name} {encoded}"));
        };
        if encoded != recorded {
            self.faults.push(format!("{name} is encoded as {encoded}, and was as {recorded}"));
        }
        match postcard::from_bytes::<T>(&bytes(recorded)) {
            Ok(decoded) if decoded != *value => {
                self.faults.push(format!("{name} is decoded to {decoded:?}, not {value:?}"));
            }
            Ok(decoded) => {
                let again = hex(&postcard::to_stdvec(&decoded).expect("encoded"));
                assert_eq!(again, encoded, "{name} is encoded otherwise once it was decoded");
            }
            Err(e) => self.faults.push(format!("{name} cannot be decoded: {e}")),
        }
    }

    fn finish(self) {
        assert!(self.faults.is_empty(), "{}", self.faults.join("\n"));
        let recorded: Vec<&str> = RECORDED.lines().filter_map(|line| line.split(' ').next()).collect();
        assert_eq!(self.names, recorded, "each recorded value is checked, in the order of the file");
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

// All values are made here. No two fields of one type have the same value, so that any two that are swapped show.

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn version() -> Version {
    Version { number: 300, term: 7 }
}

fn standings() -> Vec<WorkerState> {
    vec![
        WorkerState::Cordoned,
        WorkerState::Drained,
        WorkerState::Excluded,
        WorkerState::Pinned("milk".to_owned()),
    ]
}

fn careful() -> DegradedRules {
    DegradedRules {
        quota_share: 0.25,
        allowed_workers: names(&["w7", "w8"]),
        allows_unlisted_workers: true,
        allows_unlimited_tenants: false,
    }
}

fn document() -> RulesDocument {
    let workers = standings().into_iter().enumerate();
    RulesDocument {
        schedulers: 4,
        max_attempts: 3,
        retry_after_ms: (20, 1_500),
        quotas: BTreeMap::from([("cream".to_owned(), 12.5), ("milk".to_owned(), 100.0)]),
        workers: workers.map(|(n, standing)| (format!("w{n}"), standing)).collect(),
        degraded: careful(),
        list_version: 9,
    }
}

fn uses() -> Vec<WorkerAccess> {
    let closed = standings().into_iter().map(WorkerAccess::Closed);
    closed
        .chain([WorkerAccess::Reserved("milk".to_owned()), WorkerAccess::Exclusive("cream".to_owned())])
        .collect()
}

fn set(list: u64) -> PlacementInputs {
    PlacementInputs { list_version: list, excluded_workers: names(&["w1", "w2"]) }
}

fn places() -> [KeyPlacement; 2] {
    [KeyPlacement::Single(set(3)), KeyPlacement::Transition(set(4), set(5))]
}

fn step() -> RulesStep {
    let [_, places] = places();
    RulesStep {
        max_members: 5,
        quota_shares: 6,
        max_attempts: 3,
        retry_after_ms: (20, 1_500),
        quotas: document().quotas,
        worker_access: uses().into_iter().enumerate().map(|(n, put)| (format!("w{n}"), put)).collect(),
        key_placement: places,
        degraded: careful(),
    }
}

/// A state with two steps kept, others to come, two documents and two members of which one is behind.
fn decider() -> RolloutState {
    let mut decider = RolloutState::new(document());
    decider.join("s1").expect("a seat");
    let mut wanted = RulesDocument { schedulers: 6, list_version: 10, ..document() };
    wanted.workers.clear();
    decider.propose(1, wanted).expect("the newest");
    let first = decider.active().0;
    let second = decider.advance(3, &BTreeMap::from([("s1".to_owned(), first)])).expect("a step");
    decider.join("s2").expect("a seat");
    assert!(second > first && decider.pending_steps() > 0 && decider.members().count() == 2);
    decider
}

#[test]
fn every_stored_type_keeps_its_bytes() {
    let mut checker = Checker::default();
    checker.check("version", &version());
    for (n, standing) in standings().iter().enumerate() {
        checker.check(&format!("standing-{n}"), standing);
    }
    checker.check("careful", &careful());
    checker.check("document", &document());
    checker.check("document-default", &RulesDocument::default());
    for (n, put) in uses().iter().enumerate() {
        checker.check(&format!("use-{n}"), put);
    }
    for (n, places) in places().iter().enumerate() {
        checker.check(&format!("places-{n}"), places);
    }
    checker.check("step", &step());
    for (n, refused) in
        [CommandError::Conflict(300), CommandError::UnknownProposal(301), CommandError::MembershipFull]
            .iter()
            .enumerate()
    {
        checker.check(&format!("refused-{n}"), refused);
    }
    checker.check("decider-new", &RolloutState::new(document()));
    checker.check("decider", &decider());
    checker
        .check("request", &LeaseRequest { incarnation: 1_000_001, sequence: 302, acknowledged: version() });
    checker.check(
        "grant",
        &LeaseGrant { incarnation: 1_000_001, sequence: 302, version: version(), step: Some(step()) },
    );
    checker.check(
        "grant-renewal",
        &LeaseGrant { incarnation: 1_000_001, sequence: 302, version: version(), step: None },
    );
    checker.check("terms", &LeaseConfig::new(1_000_000_000, 200_000_000, 0.01).expect("sound terms"));
    checker.finish();
}
