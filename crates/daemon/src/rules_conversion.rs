//! The conversion of the rules that all schedulers have adopted, which use names, to the rules of the dispatcher, which use
//! numbers and hashes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hyper::header::HeaderValue;
use nickelflow_control_plane::{ActiveRules, ControlPlane, StartError};
use nickelflow_engine::{fnv1a_hash, DegradedRules, RetryAfterBounds, Rules, WorkerRestriction};
use nickelflow_rollout::{RulesStep, Version, WorkerAccess};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tracing::warn;

use crate::listen::listen;
use crate::scheduler_loop::{AdoptedRules, Event};

/// Why the adoption of rules could not start.
#[derive(Debug, Error)]
pub enum RulesError {
    /// The listener for other schedulers cannot be opened.
    #[error("rules.listen: cannot listen on {address}: {source}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// Why it cannot be opened.
        source: std::io::Error,
    },
    /// The control plane cannot start.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Nanoseconds in a millisecond.
const MS: u64 = 1_000_000;

/// Starts to adopt rules with the other schedulers, on a listener of its own.
///
/// # Errors
///
/// Returns an error if the listener cannot be opened or the control plane cannot start.
pub async fn start_control_plane(
    settings: nickelflow_control_plane::ControlPlaneConfig,
    address: SocketAddr,
) -> Result<ControlPlane, RulesError> {
    let failed = |source| RulesError::Listen { address, source };
    let listener = listen(address).await.and_then(tokio::net::TcpListener::into_std).map_err(failed)?;
    Ok(nickelflow_control_plane::start(settings, listener)?)
}

/// Passes each change of the rules to the scheduler loop, as long as both run. Of several changes at once only the last is
/// passed.
pub async fn forward_rules<P>(
    mut active_rules: watch::Receiver<Option<ActiveRules>>,
    tenants: Vec<String>,
    queue: mpsc::UnboundedSender<Event<P>>,
) {
    let mut last: Option<(Option<Version>, AdoptedRules)> = None;
    loop {
        let now = active_rules.borrow_and_update().clone();
        let version = now.as_ref().map(|now| now.version);
        let adopted = match (now, &last) {
            (Some(now), Some((of, last))) if *of == version => {
                AdoptedRules { valid_until: now.lease_expiry, ..last.clone() }
            }
            (Some(now), _) => convert(&now, &tenants),
            // Before the first lease the scheduler has no share of any quota.
            (None, _) => AdoptedRules {
                rules: Arc::new(Rules::initial(1, RetryAfterBounds { shortest: 0, longest: u64::MAX })),
                valid_until: Instant::now(),
                version: HeaderValue::from_static("none"),
                degraded_version: HeaderValue::from_static("none"),
            },
        };
        last = Some((version, adopted.clone()));
        if queue.send(Event::RulesAdopted(adopted)).is_err() || active_rules.changed().await.is_err() {
            return;
        }
    }
}

fn text(version: Version, degraded: bool) -> HeaderValue {
    let text = if degraded { format!("{version} careful") } else { version.to_string() };
    HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static("none"))
}

fn convert(active_rules: &ActiveRules, tenants: &[String]) -> AdoptedRules {
    AdoptedRules {
        rules: Arc::new(rules(&active_rules.step, tenants)),
        valid_until: active_rules.lease_expiry,
        version: text(active_rules.version, false),
        degraded_version: text(active_rules.version, true),
    }
}

/// Converts a step. What it says of tenants that the settings do not name is ignored.
fn rules(step: &RulesStep, tenants: &[String]) -> Rules {
    let number = |name: &String| tenants.iter().position(|tenant| tenant == name).map(|n| n as u32);
    let (mut limits, mut owners) = (std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
    for (name, quota) in &step.quotas {
        match number(name) {
            Some(number) => drop(limits.insert(number, *quota)),
            None => warn!(tenant = name, "rules name a tenant that the settings do not"),
        }
    }
    let workers = step.worker_access.iter().map(|(worker, put)| {
        let put = match put {
            WorkerAccess::Closed(nickelflow_rollout::WorkerState::Drained) => WorkerRestriction::Drained,
            WorkerAccess::Closed(nickelflow_rollout::WorkerState::Excluded) => WorkerRestriction::Excluded,
            WorkerAccess::Closed(_) => WorkerRestriction::Cordoned,
            WorkerAccess::Exclusive(tenant) | WorkerAccess::Reserved(tenant) => match number(tenant) {
                Some(number) => {
                    if matches!(put, WorkerAccess::Exclusive(_)) {
                        owners.insert(number);
                    }
                    WorkerRestriction::ReservedFor(number)
                }
                None => WorkerRestriction::Cordoned,
            },
        };
        (fnv1a_hash(worker.as_bytes()), put)
    });
    let workers = workers.collect();
    Rules {
        quota_shares: step.quota_shares,
        max_attempts: step.max_attempts,
        retry_after: RetryAfterBounds {
            shortest: u64::from(step.retry_after.min_ms) * MS,
            longest: u64::from(step.retry_after.max_ms) * MS,
        },
        tenant_rates_per_s: limits,
        worker_restrictions: workers,
        tenants_with_reserved_workers: owners,
        degraded: DegradedRules {
            quota_share: step.degraded.quota_share,
            allowed_workers: step
                .degraded
                .allowed_workers
                .iter()
                .map(|worker| fnv1a_hash(worker.as_bytes()))
                .collect(),
            allows_unlisted_workers: step.degraded.allows_unlisted_workers,
            allows_unlimited_tenants: step.degraded.allows_unlimited_tenants,
        },
    }
}
