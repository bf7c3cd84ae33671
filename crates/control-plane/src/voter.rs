//! A voter: its data folder, its part in Raft, and its leader's service. It is opened again while its folder
//! cannot be used.

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

/// The pause between two attempts to open a voter's data folder.
const OPEN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The longest wait for the first leader, when the rules are bootstrapped: some elections.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// The leader's heartbeat (ms): some fit into the shortest election timeout.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// How long a voter waits for a heartbeat before it stands for election (ms): a random time between these.
const ELECTION_TIMEOUT_MIN_MS: u64 = 500;
const ELECTION_TIMEOUT_MAX_MS: u64 = 1_000;
/// How long the transfer of one chunk of a snapshot may take (ms).
const INSTALL_SNAPSHOT_TIMEOUT_MS: u64 = 2_000;
/// Entries in one message. As many documents of the largest size must fit into it.
const MAX_ENTRIES_PER_MESSAGE: u64 = 6;
/// Bytes of one chunk of a snapshot.
const SNAPSHOT_CHUNK_BYTES: u64 = 1 << 20;
/// Entries after which a new snapshot is built.
const ENTRIES_PER_SNAPSHOT: u64 = 500;
/// Entries before a snapshot that stay in the log, for voters that lag a little.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 100;

/// Why a voter cannot be opened.
#[derive(Debug, Error)]
pub enum VoterError {
    /// Its file cannot be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// Its last snapshot cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The Raft library does not accept its settings.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The Raft library does not start.
    #[error(transparent)]
    Raft(#[from] Fatal<u64>),
}

impl VoterError {
    /// Whether the voter may be opened later.
    fn is_transient(&self) -> bool {
        match self {
            VoterError::Open(error) => error.is_transient(),
            VoterError::Load(_) | VoterError::Config(_) | VoterError::Raft(_) => false,
        }
    }
}

/// Why a process does not vote.
#[derive(Clone, Debug, Error)]
pub enum NotVoting {
    /// It is not configured as a voter.
    #[error("it is not a voter")]
    NotConfigured,
    /// Its voter cannot be opened.
    #[error(transparent)]
    Failed(Arc<VoterError>),
}

/// The error of a change of the voters.
pub type ChangeVotersError = RaftError<u64, ClientWriteError<u64, EmptyNode>>;

/// A voter that is open.
pub struct Voter {
    /// Its part in Raft.
    pub raft: Raft,
    /// What it does while it leads.
    pub leader_service: Arc<LeaderService>,
    store: Store,
    /// The tasks of the leader's service, which end with the voter.
    _tasks: JoinSet<()>,
}

impl Voter {
    /// Opens a voter's data folder, and takes part in Raft from then on.
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

    /// Returns what is wrong with the data folder now, while something is.
    pub fn store_fault(&self) -> Option<String> {
        self.store.fault()
    }

    /// Makes these the first voters, and this document the first rules; returns the number of its proposal.
    ///
    /// # Errors
    ///
    /// Fails if the document is too large, there are rules already, or no quorum answers in time.
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

    /// Makes these the voters. New ones take over the log first, and then replace those that are not named
    /// any more.
    ///
    /// # Errors
    ///
    /// Fails if this voter does not lead, or no quorum takes the change.
    pub async fn change_voters(&self, ids: BTreeSet<u64>) -> Result<(), ChangeVotersError> {
        let known: BTreeSet<u64> = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            metrics.membership_config.nodes().map(|(id, _)| *id).collect()
        };
        for new in ids.difference(&known) {
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
        snapshot_policy: SnapshotPolicy::LogsSinceLast(ENTRIES_PER_SNAPSHOT),
        max_in_snapshot_log_to_keep: ENTRIES_BEFORE_SNAPSHOT,
        ..Config::default()
    }
}

/// The voter of a process, or why it has none. It is replaced while the process runs.
pub struct VoterSlot {
    voter: RwLock<Result<Arc<Voter>, NotVoting>>,
}

impl VoterSlot {
    /// Creates the slot of a process that does not vote.
    pub fn empty() -> VoterSlot {
        VoterSlot { voter: RwLock::new(Err(NotVoting::NotConfigured)) }
    }

    /// Returns the voter.
    ///
    /// # Errors
    ///
    /// Fails if this process does not vote, yet or at all.
    pub fn get(&self) -> Result<Arc<Voter>, NotVoting> {
        self.voter.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, voter: Result<Arc<Voter>, NotVoting>) {
        *self.voter.write().unwrap_or_else(PoisonError::into_inner) = voter;
    }
}

/// What opening the voter has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// The process votes.
    Opened,
    /// It does not, and another attempt may succeed.
    RetryLater,
    /// It does not, and no other attempt would succeed.
    Failed,
}

/// Opens the voter of a process.
pub struct VoterOpener {
    /// The settings of the process.
    pub config: Arc<ControlPlaneConfig>,
    /// Those of its voter.
    pub voter: VoterConfig,
    /// The transport to the other voters.
    pub peers: PeerClient,
    /// The clock of the process.
    pub clock: Clock,
    /// The client that asks the voter within the process, once there is one.
    pub lease_client: Arc<LeaseClient>,
    /// Where the voter goes.
    pub voter_slot: Arc<VoterSlot>,
}

impl VoterOpener {
    /// Opens the voter, and puts it or the reason why it cannot be opened into the slot.
    pub async fn open(&self) -> OpenOutcome {
        let id = self.voter.id;
        match Voter::open(&self.config, &self.voter, self.peers.clone(), self.clock).await {
            Ok(voter) => {
                self.lease_client.set_local_voter(id, voter.leader_service.clone());
                self.voter_slot.set(Ok(Arc::new(voter)));
                OpenOutcome::Opened
            }
            Err(error) => {
                warn!(voter = id, why = error.to_string(), "this voter does not vote");
                let is_transient = error.is_transient();
                self.voter_slot.set(Err(NotVoting::Failed(Arc::new(error))));
                if is_transient {
                    OpenOutcome::RetryLater
                } else {
                    OpenOutcome::Failed
                }
            }
        }
    }

    /// Tries again to open the voter, until it is open or never will be.
    pub async fn retry(self) {
        loop {
            tokio::time::sleep(OPEN_RETRY_DELAY).await;
            match self.open().await {
                OpenOutcome::RetryLater => {}
                OpenOutcome::Failed => return,
                OpenOutcome::Opened => return info!(voter = self.voter.id, "this voter votes"),
            }
        }
    }
}
