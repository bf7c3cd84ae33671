//! Conversion of the rules that all schedulers have adopted to the rules of the dispatcher. Adopted rules
//! identify tenants and workers by name, the dispatcher's rules by index and hash.

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

/// The reason why the adoption of rules cannot start.
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

/// The number of nanoseconds in a millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// Starts the control plane, through which schedulers adopt rules, on a listener of its own.
///
/// # Errors
///
/// Returns an error if the listener cannot be opened or the control plane cannot start.
pub async fn start_control_plane(
    config: nickelflow_control_plane::ControlPlaneConfig,
    address: SocketAddr,
) -> Result<ControlPlane, RulesError> {
    let listen_error = |source| RulesError::Listen { address, source };
    let listener = listen(address).await.and_then(tokio::net::TcpListener::into_std).map_err(listen_error)?;
    Ok(nickelflow_control_plane::start(config, listener)?)
}

/// Passes changes of the rules to the scheduler loop, until the loop or the control plane has ended. Of
/// several changes at once only the last one is passed.
pub async fn forward_rules<P>(
    mut active_rules: watch::Receiver<Option<ActiveRules>>,
    tenants: Vec<String>,
    events: mpsc::UnboundedSender<Event<P>>,
) {
    let mut last: Option<(Option<Version>, AdoptedRules)> = None;
    loop {
        let current = active_rules.borrow_and_update().clone();
        let version = current.as_ref().map(|current| current.version);
        let adopted = match (current, &last) {
            (Some(current), Some((last_version, last))) if *last_version == version => {
                AdoptedRules { valid_until: current.lease_expiry, ..last.clone() }
            }
            (Some(current), _) => convert_active_rules(&current, &tenants),
            // Before the first lease the scheduler has no share of any quota.
            (None, _) => AdoptedRules {
                rules: Arc::new(Rules::initial(1, RetryAfterBounds { shortest: 0, longest: u64::MAX })),
                valid_until: Instant::now(),
                version: HeaderValue::from_static("none"),
                degraded_version: HeaderValue::from_static("none"),
            },
        };
        last = Some((version, adopted.clone()));
        if events.send(Event::RulesAdopted(adopted)).is_err() || active_rules.changed().await.is_err() {
            return;
        }
    }
}

fn version_header(version: Version, degraded: bool) -> HeaderValue {
    let text = if degraded { format!("{version} careful") } else { version.to_string() };
    HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static("none"))
}

fn convert_active_rules(active_rules: &ActiveRules, tenants: &[String]) -> AdoptedRules {
    AdoptedRules {
        rules: Arc::new(convert_step(&active_rules.step, tenants)),
        valid_until: active_rules.lease_expiry,
        version: version_header(active_rules.version, false),
        degraded_version: version_header(active_rules.version, true),
    }
}

/// Converts a step. Quotas of tenants that are not in the settings are ignored, and workers that are reserved
/// for such a tenant are cordoned.
fn convert_step(step: &RulesStep, tenants: &[String]) -> Rules {
    let index_of = |name: &String| tenants.iter().position(|tenant| tenant == name).map(|n| n as u32);
    let (mut tenant_rates_per_s, mut exclusive_tenants) =
        (std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
    for (name, quota) in &step.quotas {
        match index_of(name) {
            Some(index) => drop(tenant_rates_per_s.insert(index, *quota)),
            None => warn!(tenant = name, "the rules name a tenant that is not in the settings"),
        }
    }
    let worker_restrictions = step.worker_access.iter().map(|(worker, access)| {
        let restriction = match access {
            WorkerAccess::Closed(nickelflow_rollout::WorkerState::Drained) => WorkerRestriction::Drained,
            WorkerAccess::Closed(nickelflow_rollout::WorkerState::Excluded) => WorkerRestriction::Excluded,
            WorkerAccess::Closed(_) => WorkerRestriction::Cordoned,
            WorkerAccess::Exclusive(tenant) | WorkerAccess::Reserved(tenant) => match index_of(tenant) {
                Some(index) => {
                    if matches!(access, WorkerAccess::Exclusive(_)) {
                        exclusive_tenants.insert(index);
                    }
                    WorkerRestriction::ReservedFor(index)
                }
                None => WorkerRestriction::Cordoned,
            },
        };
        (fnv1a_hash(worker.as_bytes()), restriction)
    });
    let worker_restrictions = worker_restrictions.collect();
    Rules {
        quota_shares: step.quota_shares,
        max_attempts: step.max_attempts,
        retry_after: RetryAfterBounds {
            shortest: u64::from(step.retry_after.min_ms) * NANOS_PER_MS,
            longest: u64::from(step.retry_after.max_ms) * NANOS_PER_MS,
        },
        tenant_rates_per_s,
        worker_restrictions,
        tenants_with_reserved_workers: exclusive_tenants,
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
