//! The handler of requests from other processes and from operators.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use nickelflow_rollout::LeaseRequest;

use crate::clock::NANOS_PER_MS;
use crate::config::ControlPlaneConfig;
use crate::lease_client::LeaseClient;
use crate::messages::{PeerRequest, PeerResponse};
use crate::peer_error::PeerError;
use crate::status::SchedulerStatus;
use crate::voter::{Voter, VoterSlot};

/// Handles requests with the local voter, if this process has one.
pub struct RequestHandler {
    config: Arc<ControlPlaneConfig>,
    lease_client: Arc<LeaseClient>,
    voter: Arc<VoterSlot>,
    /// Set once this process has left the membership and stops voting.
    shutting_down: AtomicBool,
}

impl RequestHandler {
    /// Creates the handler of a process.
    pub fn new(
        config: Arc<ControlPlaneConfig>,
        lease_client: Arc<LeaseClient>,
        voter: Arc<VoterSlot>,
    ) -> RequestHandler {
        RequestHandler { config, lease_client, voter, shutting_down: AtomicBool::new(false) }
    }

    /// Returns the name of the fleet whose requests are accepted.
    pub fn fleet(&self) -> &str {
        &self.config.fleet
    }

    /// Makes the handler reject all requests.
    pub fn shut_down(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Handles a request, and returns the response. If it is cancelled, a command may still be committed.
    pub async fn handle(&self, request: PeerRequest) -> PeerResponse {
        if self.shutting_down.load(Ordering::Relaxed) {
            return PeerResponse::Error(PeerError::NotVoter("it ends".to_owned()));
        }
        if let PeerRequest::Status = request {
            return PeerResponse::Status(Box::new(self.status()));
        }
        match self.voter.get() {
            Ok(voter) => self.handle_as_voter(&voter, request).await,
            Err(reason) => PeerResponse::Error(PeerError::NotVoter(reason.to_string())),
        }
    }

    async fn handle_as_voter(&self, voter: &Voter, request: PeerRequest) -> PeerResponse {
        let result = match request {
            PeerRequest::AppendEntries(rpc) => {
                return PeerResponse::AppendEntries(voter.raft.append_entries(rpc).await);
            }
            PeerRequest::Vote(rpc) => return PeerResponse::Vote(voter.raft.vote(rpc).await),
            PeerRequest::InstallSnapshot(rpc) => {
                return PeerResponse::InstallSnapshot(voter.raft.install_snapshot(rpc).await);
            }
            PeerRequest::RequestLease { holder, lease_duration, request } => {
                self.grant_lease(voter, &holder, lease_duration, request).await
            }
            PeerRequest::Command(command) => {
                voter.leader_service.write(command).await.map(PeerResponse::Applied)
            }
            PeerRequest::Bootstrap(document) => {
                let voters = self.config.voters.keys().copied().collect();
                voter.bootstrap(voters, document).await.map(PeerResponse::Applied)
            }
            PeerRequest::ChangeVoters(ids) => match voter.change_voters(ids).await {
                Ok(()) => Ok(PeerResponse::Applied(0)),
                Err(error) => Err(PeerError::NoQuorum(error.to_string())),
            },
            PeerRequest::History => voter.leader_service.history().await.map(PeerResponse::History),
            PeerRequest::Status => Ok(PeerResponse::Status(Box::new(self.status()))),
        };
        result.unwrap_or_else(PeerResponse::Error)
    }

    async fn grant_lease(
        &self,
        voter: &Voter,
        holder: &str,
        lease_duration: u64,
        request: LeaseRequest,
    ) -> Result<PeerResponse, PeerError> {
        let expected = self.config.lease.duration;
        if lease_duration != expected {
            return Err(PeerError::LeaseMismatch(expected / NANOS_PER_MS));
        }
        let grant = voter.leader_service.grant_lease(holder, request).await?;
        Ok(PeerResponse::LeaseGranted(Box::new(grant)))
    }

    fn status(&self) -> SchedulerStatus {
        let lease = self.lease_client.summary();
        let (voter, not_voting_reason) = match self.voter.get() {
            Ok(voter) => {
                let fault = voter.store_fault();
                (Some(voter), fault)
            }
            Err(reason) => (None, Some(reason.to_string())),
        };
        let leader_service = voter.as_ref().map(|voter| &voter.leader_service);
        SchedulerStatus {
            name: self.config.name.clone(),
            program_version: self.config.program_version.clone(),
            version: lease.version,
            lease_remaining_ms: lease.remaining_ms,
            degraded_ms: lease.degraded_ms,
            max_overlap_ms: self.config.lease.max_overlap() / NANOS_PER_MS,
            not_voting_reason,
            voter_id: self.config.voter.as_ref().map(|voter| voter.id),
            leader_id: leader_service.and_then(|service| service.leader()),
            rollout: leader_service.and_then(|service| service.status()),
        }
    }
}
