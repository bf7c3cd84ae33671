//! Which of its traffic a dispatcher takes to be within its tenants' quotas.

use nickelflow_dispatcher::traffic::*;
use nickelflow_dispatcher::*;

const SECOND: f64 = 1e9;
/// Quota over use of the median tenant.
const MARGIN: f64 = 1.4;

/// Returns the share of a tenant's requests that counts as over its quota at one of a hundred dispatchers,
/// where it sends `factor` times its usual traffic and the others what is usual.
fn over_quota_share(factor: f64) -> f64 {
    let quotas = [165.0, 136.0, 129.0, 129.0, 101.0, 57.0];
    let limits = ServiceLimits {
        slow_start_initial_share: 0.2,
        slow_start_duration: 0,
        overload_multiple: 3.0,
        overload_duration: 0,
        unsubscribed_list_validity: 0,
    };
    let settings = Settings {
        dispatchers: 100,
        zone: 0,
        classes: vec![],
        tenants: quotas.map(|quota_per_s| Tenant { quota_per_s }).to_vec(),
        limits,
        requires_subscription: false,
        can_probe: true,
        reports_registered_size: true,
        reports_free_slots: true,
        notifies_job_start: true,
        progress_interval: 0,
        can_cancel: true,
        allows_hedging: true,
        max_attempts: 4,
        max_retry_after: 0,
        connect_timeout: 0,
        clock_resolution: 1,
    };
    let (mut all, mut flagged) = (0.0, 0.0);
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut quotas_used = Quotas::new(&settings);
        let rates = quotas.map(|quota| quota / 100.0 / MARGIN);
        let mut next = rates.map(|rate| -(1.0 - rng.f64()).ln() / rate);
        loop {
            let tenant = (0..6).min_by(|a, b| next[*a].total_cmp(&next[*b])).unwrap_or(0);
            let at = next[tenant];
            if at > 60.0 {
                break;
            }
            let quota_use = quotas_used.charge(Some(tenant as u32), 1 + (at * SECOND) as Nanos);
            if tenant == 5 {
                all += 1.0;
                flagged += f64::from(u8::from(quota_use == QuotaUse::OverQuota));
            }
            let rate = rates[tenant] * if tenant == 5 { factor } else { 1.0 };
            next[tenant] += -(1.0 - rng.f64()).ln() / rate;
        }
    }
    flagged / all
}

#[test]
fn chance_does_not_put_a_small_tenant_over_its_quota_and_a_surge_does() {
    let usual = over_quota_share(1.0);
    assert!(usual < 0.05, "{usual} of what is within the quota counts as over it");
    let surge = over_quota_share(6.0);
    assert!(surge > 0.5, "{surge} of a surge counts as over the quota");
}
