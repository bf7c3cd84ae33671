//! Impossible settings and figures.

use nickelflow_dispatcher::*;

use crate::common::*;

#[test]
fn impossible_settings_are_typed_errors() {
    let none = Dispatcher::new(settings(vec![]), 0).err();
    assert_eq!(none, Some(SettingsError::NoClasses));
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.dispatchers = 0;
    assert_eq!(Dispatcher::new(s, 0).err(), Some(SettingsError::NoDispatchers));
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.max_attempts = 0;
    assert_eq!(Dispatcher::new(s, 0).err(), Some(SettingsError::NoAttempts));
    let mut s = settings(vec![class(Idempotency::Idempotent)]);
    s.classes[0].latency_stretch = f64::NAN;
    assert!(matches!(Dispatcher::new(s, 0).err(), Some(SettingsError::InvalidValue(_))));
}

#[test]
fn impossible_figures_and_unknown_identifiers_are_tolerated() {
    let mut harness =
        Harness::with_open_workers(settings(vec![class(Idempotency::Idempotent)]), vec![entry(0)], 4.0);
    for bad in [f64::NAN, f64::INFINITY, -3.0] {
        let report =
            Some(LoadReport { free_slots: Some(bad), free_memory: Some(bad), ..LoadReport::default() });
        harness.handle(Event::ProbeCompleted { worker: WorkerId(0), outcome: Outcome::Ok, report });
        harness.handle(Event::ProbeCompleted { worker: WorkerId(99), outcome: Outcome::Ok, report });
    }
    harness.handle(Event::Request(Request {
        class: 9,
        tenant: Some(9),
        slots: f64::NAN,
        memory: -1.0,
        ..request(0)
    }));
    harness.end_attempt(7, 0, Outcome::Ok);
    harness.end_attempt(0, 5, Outcome::Ok);
    harness.handle(Event::Progress { request: RequestId(9), attempt: 3 });
    harness.handle(Event::ClientDisconnected { request: RequestId(55) });
    harness.advance(6 * S);
    assert!(harness.has_failed(0) || harness.was_rejected(0) || !harness.workers_tried(0).is_empty());
}
