//! Which of its traffic a dispatcher takes to be within its tenant's share.

use nickelflow_dispatcher::meters::*;
use nickelflow_dispatcher::*;

const SECOND: f64 = 1e9;
/// Quota over use of the middle tenant.
const MARGIN: f64 = 1.4;

/// The part of a tenant's requests that counts as over its share at one of a hundred dispatchers, where it
/// sends so many times its quota and the others what is usual.
fn over(times: f64) -> f64 {
    let quotas = [165.0, 136.0, 129.0, 129.0, 101.0, 57.0];
    let contract = ServiceLimits {
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
        limits: contract,
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
        let mut shares = Shares::new(&settings);
        let rates = quotas.map(|quota| quota / 100.0 / MARGIN);
        let mut next = rates.map(|rate| -(1.0 - rng.f64()).ln() / rate);
        loop {
            let tenant = (0..6).min_by(|a, b| next[*a].total_cmp(&next[*b])).unwrap_or(0);
            let at = next[tenant];
            if at > 60.0 {
                break;
            }
            let over = shares.over(Some(tenant as u32), 1 + (at * SECOND) as Nanos);
            if tenant == 5 {
                all += 1.0;
                flagged += f64::from(u8::from(over));
            }
            let rate = rates[tenant] * if tenant == 5 { times } else { 1.0 };
            next[tenant] += -(1.0 - rng.f64()).ln() / rate;
        }
    }
    flagged / all
}

#[test]
fn chance_does_not_put_a_small_tenant_over_its_share_and_a_surge_does() {
    assert!(over(1.0) < 0.05, "{} of what is within the quota is over the share", over(1.0));
    assert!(over(6.0) > 0.5, "{} of a surge is over the share", over(6.0));
}
