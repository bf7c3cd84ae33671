//! A voter: its data folder, its Raft instance and its leader service. While its data folder cannot be used,
//! opening the voter is retried.

use std::collections::BTreeSet;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use nickelflow_rollout::RulesDocument;
use openraft::error::{ClientWriteError, Fatal, RaftError};
use openraft::{Config, ConfigError, EmptyNode, SnapshotPolicy};
use thiserror::Error;
use tokio::task::JoinSet;
use tracing::{info, warn};

use crate::clock::Clock;
use crate::command::Command;
use crate::config::{ControlPlaneConfig, VoterConfig};
use crate::leader_service::{check_document_size, LeaderService};
use crate::lease_client::LeaseClient;
use crate::peer_client::PeerClient;
use crate::peer_error::PeerError;
use crate::raft_types::Raft;
use crate::state_machine::{LoadError, StateMachine};
use crate::store::{OpenError, Store};

/// The backoff between two attempts to open a voter.
const OPEN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The longest wait for the first leader during the bootstrap. Several elections fit into it.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval of the leader's heartbeats (ms). Several fit into the shortest election timeout.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// The bounds of the election timeout (ms). A voter that receives no heartbeat for a random time between them
/// starts an election.
const ELECTION_TIMEOUT_MIN_MS: u64 = 500;
const ELECTION_TIMEOUT_MAX_MS: u64 = 1_000;
/// The timeout for sending one chunk of a snapshot (ms).
const INSTALL_SNAPSHOT_TIMEOUT_MS: u64 = 2_000;
/// The maximum number of log entries in one message. That many documents of the maximum size must fit into a
/// message.
const MAX_ENTRIES_PER_MESSAGE: u64 = 6;
/// The size of a chunk of a snapshot.
const SNAPSHOT_CHUNK_BYTES: u64 = 1 << 20;
/// The number of log entries after which a new snapshot is built.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 500;
/// The number of entries before a snapshot that stay in the log, for voters that lag slightly.
const RETAINED_ENTRIES_BEFORE_SNAPSHOT: u64 = 100;

/// Why a voter cannot be opened.
#[derive(Debug, Error)]
pub enum VoterError {
    /// The voter's file cannot be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The last snapshot cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The Raft library rejects its configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The Raft library cannot start.
    #[error(transparent)]
    Raft(#[from] Fatal<u64>),
}

impl VoterError {
    /// Returns whether a later attempt to open the voter may succeed.
    fn is_transient(&self) -> bool {
        match self {
            VoterError::Open(error) => error.is_transient(),
            VoterError::Load(_) | VoterError::Config(_) | VoterError::Raft(_) => false,
        }
    }
}

/// Why a process does not vote.
#[derive(Clone, Debug, Error)]
pub enum NotVotingReason {
    /// The process is not configured as a voter.
    #[error("it is not a voter")]
    NotConfigured,
    /// The voter cannot be opened.
    #[error(transparent)]
    Failed(Arc<VoterError>),
}

/// The error of [`Voter::change_voters`].
pub type ChangeVotersError = RaftError<u64, ClientWriteError<u64, EmptyNode>>;

/// An open voter.
pub struct Voter {
    /// The voter's Raft instance.
    pub raft: Raft,
    /// The service that the voter provides while it leads.
    pub leader_service: Arc<LeaderService>,
    store: Store,
    /// The tasks of the leader service, which are aborted when the voter is dropped.
    _tasks: JoinSet<()>,
}

impl Voter {
    /// Opens a voter's data folder and starts its Raft instance.
    async fn open(
        config: &ControlPlaneConfig,
        voter: &VoterConfig,
        peers: PeerClient,
        clock: Clock,
    ) -> Result<Voter, VoterError> {
        let store = Store::open(&voter.data_dir, &config.fleet, voter.id)?;
        let state_machine = StateMachine::load(store.clone()).await?;
        let raft_config = Arc::new(raft_config(&config.fleet).validate()?);
        let raft = Raft::new(voter.id, raft_config, peers, store.clone(), state_machine.clone()).await?;
        let mut tasks = JoinSet::new();
        let leader_service =
            LeaderService::start(voter.id, raft.clone(), state_machine, config.lease, clock, &mut tasks);
        Ok(Voter { raft, leader_service, store, _tasks: tasks })
    }

    /// Returns the current fault of the data folder, if there is one.
    pub fn store_fault(&self) -> Option<String> {
        self.store.fault()
    }

    /// Initializes Raft with these voters and commits this document as the first proposal. Returns the
    /// proposal's number.
    ///
    /// # Errors
    ///
    /// Fails if the document is too large, the rules have already been bootstrapped, or no quorum responds in
    /// time.
    pub async fn bootstrap(&self, voters: BTreeSet<u64>, document: RulesDocument) -> Result<u64, PeerError> {
        check_document_size(&document)?;
        let no_quorum = |error: &dyn std::fmt::Display| PeerError::NoQuorum(error.to_string());
        if !self.raft.is_initialized().await.map_err(|e| no_quorum(&e))? {
            self.raft.initialize(voters).await.map_err(|e| no_quorum(&e))?;
        }
        let first_leader = self.raft.wait(Some(FIRST_ELECTION_TIMEOUT));
        let elected = first_leader.metrics(|metrics| metrics.current_leader.is_some(), "a leader").await;
        elected.map_err(|e| no_quorum(&e))?;
        self.leader_service.write(Command::Bootstrap(document)).await
    }

    /// Replaces the set of voters. New voters first receive the log as learners, and then replace the voters
    /// that are not in the new set.
    ///
    /// # Errors
    ///
    /// Fails if this voter does not lead, or no quorum commits the change.
    pub async fn change_voters(&self, ids: BTreeSet<u64>) -> Result<(), ChangeVotersError> {
        let current_nodes: BTreeSet<u64> = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            metrics.membership_config.nodes().map(|(id, _)| *id).collect()
        };
        for new in ids.difference(&current_nodes) {
            self.raft.add_learner(*new, EmptyNode {}, true).await?;
        }
        self.raft.change_membership(ids, false).await?;
        Ok(())
    }
}

fn raft_config(fleet: &str) -> Config {
    Config {
        cluster_name: fleet.to_owned(),
        heartbeat_interval: HEARTBEAT_INTERVAL_MS,
        election_timeout_min: ELECTION_TIMEOUT_MIN_MS,
        election_timeout_max: ELECTION_TIMEOUT_MAX_MS,
        install_snapshot_timeout: INSTALL_SNAPSHOT_TIMEOUT_MS,
        max_payload_entries: MAX_ENTRIES_PER_MESSAGE,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL_ENTRIES),
        max_in_snapshot_log_to_keep: RETAINED_ENTRIES_BEFORE_SNAPSHOT,
        ..Config::default()
    }
}

/// The voter of a process, or the reason why the process does not vote. The content is replaced while the
/// process runs.
pub struct VoterSlot {
    voter: RwLock<Result<Arc<Voter>, NotVotingReason>>,
}

impl VoterSlot {
    /// Creates the slot of a process that does not vote.
    pub fn empty() -> VoterSlot {
        VoterSlot { voter: RwLock::new(Err(NotVotingReason::NotConfigured)) }
    }

    /// Returns the voter.
    ///
    /// # Errors
    ///
    /// Fails if this process does not vote, or has not opened its voter yet.
    pub fn get(&self) -> Result<Arc<Voter>, NotVotingReason> {
        self.voter.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, voter: Result<Arc<Voter>, NotVotingReason>) {
        *self.voter.write().unwrap_or_else(PoisonError::into_inner) = voter;
    }
}

/// The outcome of an attempt to open the voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// The voter is open.
    Opened,
    /// The voter could not be opened, but a later attempt may succeed.
    RetryLater,
    /// The voter could not be opened, and no later attempt would succeed.
    Failed,
}

/// Opens the voter of a process.
pub struct VoterOpener {
    /// The configuration of the process.
    pub config: Arc<ControlPlaneConfig>,
    /// The configuration of the voter.
    pub voter: VoterConfig,
    /// The client for requests to the other voters.
    pub peers: PeerClient,
    /// The clock of the process.
    pub clock: Clock,
    /// The lease client of this process, which calls the voter directly once it is open.
    pub lease_client: Arc<LeaseClient>,
    /// The slot that receives the voter.
    pub voter_slot: Arc<VoterSlot>,
}

impl VoterOpener {
    /// Opens the voter, and stores it or the reason why it cannot be opened in the slot.
    pub async fn open(&self) -> OpenOutcome {
        let id = self.voter.id;
        match Voter::open(&self.config, &self.voter, self.peers.clone(), self.clock).await {
            Ok(voter) => {
                self.lease_client.set_local_voter(id, voter.leader_service.clone());
                self.voter_slot.set(Ok(Arc::new(voter)));
                OpenOutcome::Opened
            }
            Err(error) => {
                warn!(voter = id, why = error.to_string(), "voter cannot be opened: not voting");
                let is_transient = error.is_transient();
                self.voter_slot.set(Err(NotVotingReason::Failed(Arc::new(error))));
                if is_transient {
                    OpenOutcome::RetryLater
                } else {
                    OpenOutcome::Failed
                }
            }
        }
    }

    /// Retries opening the voter until it is open, or an attempt fails for good.
    pub async fn retry(self) {
        loop {
            tokio::time::sleep(OPEN_RETRY_DELAY).await;
            match self.open().await {
                OpenOutcome::RetryLater => {}
                OpenOutcome::Failed => return,
                OpenOutcome::Opened => return info!(voter = self.voter.id, "voter opened: voting"),
            }
        }
    }
}
