//! The lease holder's side: renews this scheduler's lease, and publishes the rules that it may act on.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use nickelflow_rollout::{LeaseConfig, LeaseGrant, LeaseHolder, LeaseState, Version};
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::{info, warn};

use crate::active_rules::ActiveRules;
use crate::clock::{Clock, NANOS_PER_MS};
use crate::command::Command;
use crate::config::ControlPlaneConfig;
use crate::leader_service::LeaderService;
use crate::messages::{PeerRequest, PeerResponse};
use crate::peer_client::{PeerClient, TransportError};
use crate::peer_error::PeerError;

/// The shortest delay before a lease request is retried. It is short because a failure of the leader costs
/// all schedulers their leases at the same time.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The random part of the renewal interval. It keeps schedulers that started together from sending their
/// requests together.
const JITTER_FRACTION: f64 = 0.25;

/// The client that holds and renews the lease of this process.
pub struct LeaseClient {
    name: String,
    lease: LeaseConfig,
    clock: Clock,
    peers: PeerClient,
    /// Set once this process has an open voter.
    local_voter: OnceLock<LocalVoter>,
    holder: Mutex<LeaseHolder>,
    active_rules: watch::Sender<Option<ActiveRules>>,
    /// The voter that last responded as the leader, or that another voter named as the leader.
    known_leader: Mutex<Option<u64>>,
}

/// The voter in this process, which is called directly and not over the network.
struct LocalVoter {
    id: u64,
    service: Arc<LeaderService>,
}

/// The state of a process's lease.
pub struct LeaseSummary {
    /// The version of the latest granted lease.
    pub version: Option<Version>,
    /// The time until the lease expires (ms); 0 if it has expired.
    pub remaining_ms: u64,
    /// The time since the lease expired (ms); 0 while it is valid.
    pub degraded_ms: u64,
}

impl LeaseClient {
    /// Creates the client of this process, without a lease.
    pub fn new(config: &ControlPlaneConfig, clock: Clock, peers: PeerClient) -> Arc<LeaseClient> {
        let incarnation = fastrand::u64(..);
        Arc::new(LeaseClient {
            name: config.name.clone(),
            lease: config.lease,
            clock,
            peers,
            local_voter: OnceLock::new(),
            holder: Mutex::new(LeaseHolder::new(config.local_lease, incarnation)),
            active_rules: watch::channel(None).0,
            known_leader: Mutex::new(None),
        })
    }

    /// Makes the client call the voter `id` directly, because it runs in this process.
    pub fn set_local_voter(&self, id: u64, service: Arc<LeaderService>) {
        // A process has one voter, so that a second call never happens.
        let _ = self.local_voter.set(LocalVoter { id, service });
    }

    /// Returns a receiver of the rules that this process may act on. Its value is `None` before the first
    /// lease.
    pub fn subscribe(&self) -> watch::Receiver<Option<ActiveRules>> {
        self.active_rules.subscribe()
    }

    fn holder(&self) -> MutexGuard<'_, LeaseHolder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn known_leader(&self) -> Option<u64> {
        *self.known_leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_known_leader(&self, leader: Option<u64>) {
        *self.known_leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }

    /// Returns the state of the lease.
    pub fn summary(&self) -> LeaseSummary {
        let holder = self.holder();
        let now = self.clock.now();
        let (version, lapsed_for) = match holder.state(now) {
            LeaseState::Active(version, _) => (Some(version), 0),
            LeaseState::Lapsed(version, _) => (Some(version), now - holder.expiry()),
            LeaseState::NeverGranted => (None, 0),
        };
        LeaseSummary {
            version,
            remaining_ms: holder.remaining(now) / NANOS_PER_MS,
            degraded_ms: lapsed_for / NANOS_PER_MS,
        }
    }

    fn renewal_interval(&self) -> Duration {
        Duration::from_nanos(self.lease.renewal_interval)
    }

    /// Renews the lease until it is cancelled, with one request in flight, whose timeout is the renewal
    /// interval. It may be cancelled at any await point: a grant in flight is lost then, and the lease
    /// expires.
    pub async fn renew_leases(self: Arc<Self>) {
        loop {
            let request = PeerRequest::RequestLease {
                holder: self.name.clone(),
                lease_duration: self.lease.duration,
                request: self.holder().next_request(self.clock.now()),
            };
            let sent_at = Instant::now();
            let response = self.send_to_leader(&request, self.renewal_interval()).await;
            let next_request = self.handle_response(response, sent_at);
            tokio::time::sleep_until(next_request).await;
        }
    }

    /// Handles the response to a lease request, and returns when to send the next request.
    fn handle_response(&self, response: Result<PeerResponse, TransportError>, sent_at: Instant) -> Instant {
        let interval = self.renewal_interval();
        let error = match response {
            Ok(PeerResponse::LeaseGranted(grant)) => {
                self.accept_grant(*grant);
                return sent_at + interval.mul_f64(1.0 - JITTER_FRACTION + JITTER_FRACTION * fastrand::f64());
            }
            Ok(PeerResponse::Error(error)) => Some(error),
            Ok(_) | Err(_) => None,
        };
        let retry_delay = match error {
            Some(PeerError::NameTaken) => {
                warn!(
                    name = self.name,
                    "another process uses this scheduler's name: no further lease will be granted"
                );
                interval
            }
            Some(why @ PeerError::LeaseMismatch(_)) => {
                warn!(%why, "lease request rejected: lease durations differ");
                interval
            }
            // A full membership and missing rules are not expected to change soon.
            Some(PeerError::Rejected(_) | PeerError::NotBootstrapped) => interval,
            Some(PeerError::NotLeader(Some(_))) => RETRY_DELAY,
            Some(_) | None => RETRY_DELAY + interval.mul_f64(JITTER_FRACTION * fastrand::f64()),
        };
        Instant::now() + retry_delay
    }

    /// Accepts a grant, and publishes the new rules or the new lease expiry.
    fn accept_grant(&self, grant: LeaseGrant) {
        let mut holder = self.holder();
        let now = self.clock.now();
        let is_new_version = holder.accept(now, grant);
        let lease_expiry = self.clock.instant(holder.expiry());
        let new_rules = match holder.state(now) {
            LeaseState::Active(version, step) if is_new_version => {
                info!(%version, "new rules version active");
                Some(ActiveRules { version, step: Arc::new(step.clone()), lease_expiry })
            }
            _ => None,
        };
        drop(holder);
        self.active_rules.send_modify(|published| match (new_rules, published) {
            (Some(rules), published) => *published = Some(rules),
            (None, Some(published)) => published.lease_expiry = lease_expiry,
            (None, None) => {}
        });
    }

    /// Sends a request to the known leader, or to a random voter if none is known. Uses the response to
    /// decide which voter the next request goes to.
    ///
    /// # Errors
    ///
    /// Fails if no voter is configured, or the chosen voter does not respond within `timeout`.
    async fn send_to_leader(
        &self,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, TransportError> {
        let voters: Vec<u64> = self.peers.voters().keys().copied().collect();
        let random_voter = || fastrand::choice(&voters).copied();
        let voter = self.known_leader().or_else(random_voter).ok_or(TransportError::NoVoters)?;
        let response = self.send_to_voter(voter, request, timeout).await;
        self.set_known_leader(next_voter(voter, &response));
        response
    }

    async fn send_to_voter(
        &self,
        voter: u64,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, TransportError> {
        let local_voter = self.local_voter.get().filter(|local| local.id == voter);
        let Some(LocalVoter { service, .. }) = local_voter else {
            return self.peers.send_to_voter(voter, request, timeout).await;
        };
        // The local voter is called directly, with the same timeout as a remote one.
        let timeout_error = |_| TransportError::Timeout { peer: format!("voter {voter}"), timeout };
        match request {
            PeerRequest::RequestLease { holder, request, .. } => {
                let granted = tokio::time::timeout(timeout, service.grant_lease(holder, *request)).await;
                let granted = granted.map_err(timeout_error)?;
                Ok(granted
                    .map_or_else(PeerResponse::Error, |grant| PeerResponse::LeaseGranted(Box::new(grant))))
            }
            PeerRequest::Command(command) => {
                let written = tokio::time::timeout(timeout, service.write(command.clone())).await;
                let written = written.map_err(timeout_error)?;
                Ok(written.map_or_else(PeerResponse::Error, PeerResponse::Applied))
            }
            _ => self.peers.send_to_voter(voter, request, timeout).await,
        }
    }

    /// Ends this scheduler's membership. The caller must have stopped acting on rules. Retries until
    /// `timeout` is over, with `attempt_timeout` for each attempt. If no voter confirms the change, the
    /// scheduler stays a member until an operator removes it or a process with its name starts and leaves.
    pub async fn leave(&self, timeout: Duration, attempt_timeout: Duration) {
        let request = PeerRequest::Command(Command::Leave(self.name.clone()));
        // If an attempt is cancelled, the change may still be committed, which does no harm.
        let left = tokio::time::timeout(timeout, async {
            while !matches!(
                self.send_to_leader(&request, attempt_timeout).await,
                Ok(PeerResponse::Applied(_))
            ) {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        });
        if left.await.is_err() {
            warn!(name = self.name, "no leader confirmed that this scheduler left the membership");
        }
    }
}

/// Returns the voter that the next request goes to, after `voter` has given this response. `None` stands for
/// a random voter.
fn next_voter(voter: u64, response: &Result<PeerResponse, TransportError>) -> Option<u64> {
    match response {
        Ok(PeerResponse::Error(PeerError::NotLeader(leader))) => leader.filter(|leader| *leader != voter),
        // Only a leader returns these errors.
        Ok(PeerResponse::Error(
            PeerError::Rejected(_) | PeerError::NameTaken | PeerError::NotBootstrapped,
        )) => Some(voter),
        Ok(PeerResponse::Error(_)) | Err(_) => None,
        Ok(_) => Some(voter),
    }
}
