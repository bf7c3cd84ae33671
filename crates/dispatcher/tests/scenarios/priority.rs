//! Work over its quota or late leaves slots for other work.

use nickelflow_dispatcher::*;

use crate::common::*;

#[test]
fn work_over_its_quota_leaves_slots_for_work_within() {
    let mut settings = settings(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota_per_s: 2.0 }, Tenant { quota_per_s: 50.0 }];
    let mut harness = Harness::with_open_workers(settings, vec![entry(0)], 8.0);
    for id in 0..30 {
        harness.handle(Event::Request(Request { tenant: Some(0), ..request(id) }));
    }
    harness.handle(Event::Request(Request { tenant: Some(1), ..request(100) }));
    assert_eq!(harness.workers_tried(100), [0], "a tenant over its quota took all slots");
}

#[test]
fn late_work_leaves_slots_for_work_in_time() {
    // Late work took every slot as it came free, and work in time found none (ia39c7e).
    let mut class = class(Idempotency::Idempotent);
    class.late_weight_share = 0.3;
    let mut harness = Harness::with_open_workers(settings(vec![class]), vec![entry(0)], 2.0);
    for id in 0..3 {
        harness.submit(id);
    }
    harness.advance(S);
    harness.end_attempt(0, 0, Outcome::Ok);
    assert!(harness.workers_tried(2).is_empty(), "late work took the only free slot");
    harness.submit(3);
    assert_eq!(harness.workers_tried(3), [0]);
}
