//! Tests of the fault plan's parser and of its choice of faults. The daemon's tests and the soak cover the library itself:
//! linked into a test, it would replace the system calls of that test.
#![allow(dead_code)] // The library uses items that these tests do not.

#[path = "../src/plan.rs"]
mod plan;

use plan::{nth_random, to_unit_interval, CallKind, Errno, FaultPlan, PlanError};
use rstest::rstest;

#[test]
fn an_empty_plan_injects_no_faults() {
    assert_eq!(FaultPlan::parse(""), Ok(FaultPlan::default()));
}

#[test]
fn every_setting_is_parsed() {
    let text = "seed=7 accept=0.5 socket=0.25 connect=1 interrupt=0.1 short=0.2 broken=0.01 files=0.3 tear=4 errno=ENFILE \
                from_ms=100 to_ms=200 while=/tmp/x wall_s=-3600 step=50:3600 step=70:-7200";
    let plan = FaultPlan::parse(text).expect("a valid plan");
    assert_eq!(
        (plan.seed, plan.accept_failure_rate, plan.connect_failure_rate, plan.torn_write),
        (7, 0.5, 1.0, Some(4))
    );
    assert_eq!((plan.forced_errno, plan.condition_file.as_deref()), (Some(Errno::NFile), Some("/tmp/x")));
    assert_eq!(
        [0, 99, 100, 199, 200].map(|elapsed_ms| plan.is_active_at(elapsed_ms)),
        [false, false, true, true, false]
    );
    assert_eq!([0, 50, 70].map(|elapsed_ms| plan.wall_clock_offset_s(elapsed_ms)), [-3600, 0, -7200]);
}

#[rstest]
#[case("accept", PlanError::UnknownSetting("accept".to_owned()))]
#[case("colour=1", PlanError::UnknownSetting("colour=1".to_owned()))]
#[case("accept=2", PlanError::InvalidValue("accept=2".to_owned()))]
#[case("errno=EWHAT", PlanError::InvalidValue("errno=EWHAT".to_owned()))]
#[case("step=5", PlanError::InvalidValue("step=5".to_owned()))]
fn an_invalid_plan_is_rejected(#[case] text: &str, #[case] error: PlanError) {
    assert_eq!(FaultPlan::parse(text), Err(error));
}

#[test]
fn a_call_fails_only_with_its_documented_errors() {
    let forced = FaultPlan::parse("errno=ENFILE").expect("a valid plan");
    assert_eq!(forced.choose_error(CallKind::Accept, 3), Some(Errno::NFile));
    assert_eq!(forced.choose_error(CallKind::Connect, 3), None);
    let random = FaultPlan::default();
    for call in [
        CallKind::Accept,
        CallKind::Socket,
        CallKind::Connect,
        CallKind::FileWrite,
        CallKind::FileSync,
        CallKind::SocketTransfer,
    ] {
        assert!((0..100).all(|n| random
            .choose_error(call, nth_random(1, n))
            .is_some_and(|errno| call.errors().contains(&errno))));
    }
    assert_eq!(Errno::HostUnreach.number(), libc::EHOSTUNREACH);
}

#[test]
fn random_numbers_are_uniform_and_depend_on_the_seed() {
    let below = (0..10_000).filter(|n| to_unit_interval(nth_random(5, *n)) < 0.25).count();
    assert!((2_300..2_700).contains(&below), "{below}");
    assert_eq!(nth_random(5, 9), nth_random(5, 9));
    assert_ne!(nth_random(5, 9), nth_random(6, 9));
}
