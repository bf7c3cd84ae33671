//! The soak: what a seed draws, and a bounded play of one with real processes.

mod common;

use std::path::Path;

use common::{binary, fault_shim};
use nickelflow_chaos::run::{run, Options};
use nickelflow_chaos::scenario::{Drill, What};
use nickelflow_chaos::soak::{draw, faults};
use nickelflow_simulator::scenario::Bounded;

fn world(seconds: f64) -> Drill {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../chaos/scenarios/soak.toml");
    let mut drill = Drill::load(&file).expect("a sound drill");
    drill.world.duration_s = Bounded(seconds);
    drill
}

#[test]
fn a_seed_draws_the_same_each_time_and_troubles_overlap() {
    let drill = world(120.0);
    let first = draw(&drill, 7);
    assert_eq!(first, draw(&drill, 7));
    assert_ne!(first, draw(&drill, 8));
    assert!(first.events.len() > 20, "{}", first.events.len());
    assert!(!first.plans.is_empty() && !first.misbehaving.is_empty());
    let overlaps = |n: usize| {
        let own = &first.events[n];
        first.events.iter().enumerate().any(|(other, event)| {
            other != n && event.at_s.0 < own.at_s.0 + own.for_s.0 && own.at_s.0 < event.at_s.0 + event.for_s.0
        })
    };
    let alone = (0..first.events.len()).filter(|n| !overlaps(*n)).count();
    assert!(alone * 3 < first.events.len(), "{alone} of {} troubles come alone", first.events.len());
    assert!(first.events.iter().any(|event| matches!(event.what, What::HangUp { .. })));
    assert!(first.events.iter().any(|event| matches!(event.what, What::Stop { .. })));
}

#[test]
fn no_rule_is_broken_in_a_soak() {
    let drill = world(20.0);
    let drawn = draw(&drill, 3);
    let drill = Drill { events: drawn.events.clone(), ..drill };
    assert!(!drill.events.is_empty());
    let options = Options {
        binary: binary(),
        older: None,
        seed: 3,
        keep: None,
        faults: faults(&drawn, &fault_shim()),
        log_filter: None,
        misbehaving: drawn.misbehaving,
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let outcome = runtime.block_on(run(&drill, &options)).expect("it can be played");
    let findings: Vec<String> = outcome.findings.iter().map(ToString::to_string).collect();
    assert!(findings.is_empty(), "{findings:#?}");
    assert!(outcome.summary.in_time > 0);
}
