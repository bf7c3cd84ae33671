//! The scheduler's side of leases: it renews its lease in time, and publishes the rules that it may act on.

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

/// The shortest pause after a voter that has not granted, until the next one is asked. It is short, for all
/// schedulers lose their leases together.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The part of the renewal interval that is random, so that schedulers which began together do not ask
/// together.
const JITTER: f64 = 0.25;

/// The lease of this process.
pub struct LeaseClient {
    name: String,
    lease: LeaseConfig,
    clock: Clock,
    peers: PeerClient,
    /// Set if this process is a voter itself.
    local_voter: OnceLock<LocalVoter>,
    holder: Mutex<LeaseHolder>,
    active_rules: watch::Sender<Option<ActiveRules>>,
    /// The voter that granted last, or is said to be the leader.
    leader: Mutex<Option<u64>>,
}

/// The voter in this process, which is asked without its listener.
struct LocalVoter {
    id: u64,
    service: Arc<LeaderService>,
}

/// The state of a process's lease.
pub struct LeaseSummary {
    /// The version that was granted last.
    pub version: Option<Version>,
    /// How long the lease still lasts (ms).
    pub remaining_ms: u64,
    /// For how long the lease has lapsed (ms).
    pub degraded_ms: u64,
}

impl LeaseClient {
    /// Creates the client of this process, which has no lease yet.
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
            leader: Mutex::new(None),
        })
    }

    /// Makes the client ask the voter `id` within this process.
    pub fn set_local_voter(&self, id: u64, service: Arc<LeaderService>) {
        // There is one voter in a process; a second one is never set.
        let _ = self.local_voter.set(LocalVoter { id, service });
    }

    /// Returns a receiver of the rules that this process may act on; `None` before its first lease.
    pub fn subscribe(&self) -> watch::Receiver<Option<ActiveRules>> {
        self.active_rules.subscribe()
    }

    fn holder(&self) -> MutexGuard<'_, LeaseHolder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn known_leader(&self) -> Option<u64> {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_known_leader(&self, leader: Option<u64>) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
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

    /// Renews the lease for as long as this runs, with one request at a time, which is given one renewal
    /// interval. It may be cancelled at any await: a grant that is on its way then is lost, and the lease
    /// lapses.
    pub async fn renew_leases(self: Arc<Self>) {
        loop {
            let request = PeerRequest::RequestLease {
                holder: self.name.clone(),
                lease_duration: self.lease.duration,
                request: self.holder().next_request(self.clock.now()),
            };
            let sent_at = Instant::now();
            let response = self.ask_leader(&request, self.renewal_interval()).await;
            let next_request = self.handle_response(response, sent_at);
            tokio::time::sleep_until(next_request).await;
        }
    }

    /// Takes the response to a lease request, and returns when to send the next one.
    fn handle_response(&self, response: Result<PeerResponse, TransportError>, sent_at: Instant) -> Instant {
        let interval = self.renewal_interval();
        let error = match response {
            Ok(PeerResponse::LeaseGranted(grant)) => {
                self.accept_grant(*grant);
                return sent_at + interval.mul_f64(1.0 - JITTER + JITTER * fastrand::f64());
            }
            Ok(PeerResponse::Error(error)) => Some(error),
            Ok(_) | Err(_) => None,
        };
        let pause = match error {
            Some(PeerError::NameTaken) => {
                warn!(
                    name = self.name,
                    "another process has this scheduler's name: it gets no lease any more"
                );
                interval
            }
            Some(why @ PeerError::LeaseMismatch(_)) => {
                warn!(%why, "no lease for this scheduler");
                interval
            }
            // A full membership or missing rules do not change soon.
            Some(PeerError::Rejected(_) | PeerError::NotBootstrapped) => interval,
            Some(PeerError::NotLeader(Some(_))) => RETRY_DELAY,
            Some(_) | None => RETRY_DELAY + interval.mul_f64(JITTER * fastrand::f64()),
        };
        Instant::now() + pause
    }

    /// Takes a grant, and publishes what it changes.
    fn accept_grant(&self, grant: LeaseGrant) {
        let mut holder = self.holder();
        let now = self.clock.now();
        let is_new_version = holder.accept(now, grant);
        let lease_expiry = self.clock.instant(holder.expiry());
        let new_rules = match holder.state(now) {
            LeaseState::Active(version, step) if is_new_version => {
                info!(%version, "rules active");
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

    /// Asks the leader, as far as it is known, or else any voter; remembers which one to ask next.
    ///
    /// # Errors
    ///
    /// Fails if no voter is configured, or the one that was asked does not answer within `limit`.
    async fn ask_leader(
        &self,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, TransportError> {
        let voters: Vec<u64> = self.peers.voters().keys().copied().collect();
        let any_voter = || fastrand::choice(&voters).copied();
        let voter = self.known_leader().or_else(any_voter).ok_or(TransportError::NoVoters)?;
        let response = self.ask_voter(voter, request, limit).await;
        self.set_known_leader(leader_after(voter, &response));
        response
    }

    async fn ask_voter(
        &self,
        voter: u64,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, TransportError> {
        let local_voter = self.local_voter.get().filter(|local| local.id == voter);
        let Some(LocalVoter { service, .. }) = local_voter else {
            return self.peers.send_to_voter(voter, request, limit).await;
        };
        // Without its listener, but with no more time than another voter has.
        let late = |_| TransportError::Timeout { peer: format!("voter {voter}"), limit };
        match request {
            PeerRequest::RequestLease { holder, request, .. } => {
                let granted = tokio::time::timeout(limit, service.grant_lease(holder, *request)).await;
                let granted = granted.map_err(late)?;
                Ok(granted
                    .map_or_else(PeerResponse::Error, |grant| PeerResponse::LeaseGranted(Box::new(grant))))
            }
            PeerRequest::Command(command) => {
                let written = tokio::time::timeout(limit, service.write(command.clone())).await;
                let written = written.map_err(late)?;
                Ok(written.map_or_else(PeerResponse::Error, PeerResponse::Applied))
            }
            _ => self.peers.send_to_voter(voter, request, limit).await,
        }
    }

    /// Ends this scheduler's membership; the caller must not act on any rules any more. Tries for `limit`,
    /// each voter for `attempt`. If no voter takes it, the scheduler stays a member until an operator removes
    /// it, or it starts again under its name.
    pub async fn leave(&self, limit: Duration, attempt: Duration) {
        let request = PeerRequest::Command(Command::Leave(self.name.clone()));
        // Cancelled in the middle of an attempt, the leave may be committed all the same, which does no harm.
        let left = tokio::time::timeout(limit, async {
            while !matches!(self.ask_leader(&request, attempt).await, Ok(PeerResponse::Applied(_))) {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        });
        if left.await.is_err() {
            warn!(name = self.name, "no leader has confirmed that this scheduler left the membership");
        }
    }
}

/// Returns the voter to ask next, if one is known, after `voter` has given this response.
fn leader_after(voter: u64, response: &Result<PeerResponse, TransportError>) -> Option<u64> {
    match response {
        Ok(PeerResponse::Error(PeerError::NotLeader(leader))) => leader.filter(|leader| *leader != voter),
        // Only a leader gives these.
        Ok(PeerResponse::Error(
            PeerError::Rejected(_) | PeerError::NameTaken | PeerError::NotBootstrapped,
        )) => Some(voter),
        Ok(PeerResponse::Error(_)) | Err(_) => None,
        Ok(_) => Some(voter),
    }
}
