//! The replicated state machine: applies the log to the rollout of the rules.

use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nickelflow_rollout::{RolloutState, Version};
use openraft::storage::{RaftSnapshotBuilder, RaftStateMachine};
use openraft::{EntryPayload, OptionalSend, RaftLogId, Snapshot, StorageIOError};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::watch;

use crate::command::{Command, CommandOutcome};
use crate::raft_types::{Entry, LogId, Membership, RaftStorageError, SnapshotMeta, TypeConfig};
use crate::store::{Store, StoreError};

/// The id of a snapshot to which no entry has been applied.
const EMPTY_SNAPSHOT_ID: &str = "none";

/// Why the state machine cannot be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The last snapshot cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The last snapshot cannot be decoded.
    #[error("the snapshot: {0}")]
    Snapshot(#[source] postcard::Error),
}

/// The state that results from applying the log. A snapshot is this struct encoded as postcard, so the order
/// and types of its fields must not change.
#[derive(Clone, Default, Serialize, Deserialize)]
struct StateMachineData {
    /// `None` until the rules are bootstrapped.
    rollout: Option<RolloutState>,
    last_applied: Option<LogId>,
    membership: Membership,
}

/// A handle to the state machine. Clones share its state.
#[derive(Clone)]
pub struct StateMachine {
    data: Arc<Mutex<StateMachineData>>,
    /// Notifies its receivers of each change of the data.
    changes: watch::Sender<()>,
    store: Store,
}

impl StateMachine {
    /// Loads the last snapshot. The Raft library applies the log entries after it.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be decoded.
    pub async fn load(store: Store) -> Result<StateMachine, LoadError> {
        let data = match store.read_snapshot().await? {
            Some((_, bytes)) => postcard::from_bytes(&bytes).map_err(LoadError::Snapshot)?,
            None => StateMachineData::default(),
        };
        Ok(StateMachine { data: Arc::new(Mutex::new(data)), changes: watch::channel(()).0, store })
    }

    fn data(&self) -> MutexGuard<'_, StateMachineData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `read` with the rollout, under the lock of the data. Returns `None` until the rules are
    /// bootstrapped.
    pub fn with_rollout<T>(&self, read: impl FnOnce(&RolloutState) -> T) -> Option<T> {
        self.data().rollout.as_ref().map(read)
    }

    /// Returns a receiver that is notified of each change of the data.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

impl StateMachineData {
    fn apply_entry(&mut self, entry: Entry) -> CommandOutcome {
        let id = *entry.get_log_id();
        self.last_applied = Some(id);
        match entry.payload {
            EntryPayload::Blank => CommandOutcome::Nothing,
            EntryPayload::Membership(membership) => {
                self.membership = Membership::new(Some(id), membership);
                CommandOutcome::Nothing
            }
            EntryPayload::Normal(command) => self.apply_command(id.leader_id.term, command),
        }
    }

    fn apply_command(&mut self, term: u64, command: Command) -> CommandOutcome {
        match (command, &mut self.rollout) {
            (Command::ReadBarrier, _) => CommandOutcome::Nothing,
            (Command::Bootstrap(document), rollout @ None) => {
                *rollout = Some(RolloutState::new(document));
                CommandOutcome::Applied(1)
            }
            (Command::Bootstrap(_), Some(_)) => CommandOutcome::AlreadyBootstrapped,
            (_, None) => CommandOutcome::NotBootstrapped,
            (command, Some(rollout)) => apply_rollout_command(rollout, term, command),
        }
    }
}

/// Applies a command to bootstrapped rules.
fn apply_rollout_command(rollout: &mut RolloutState, term: u64, command: Command) -> CommandOutcome {
    let result = match command {
        Command::Bootstrap(_) | Command::ReadBarrier => return CommandOutcome::Nothing,
        Command::Propose { base, document } => rollout.propose(base, document),
        Command::RollBack { base, to } => rollout.roll_back(base, to),
        Command::Join(name) => rollout.join(&name).map(|()| 0),
        Command::Leave(name) => {
            rollout.leave(&name);
            Ok(0)
        }
        Command::Advance { from, acknowledged } => {
            // A duplicate command, or one from an earlier leader, must not activate a later step.
            let still_active = rollout.active().version == from;
            let version = still_active.then(|| rollout.advance(term, &acknowledged)).flatten();
            Ok(version.map_or(0, |Version { number, .. }| number))
        }
    };
    match result {
        Ok(number) => CommandOutcome::Applied(number),
        Err(error) => CommandOutcome::Rejected(error),
    }
}

impl RaftSnapshotBuilder<TypeConfig> for StateMachine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, RaftStorageError> {
        let data = self.data().clone();
        let bytes = postcard::to_stdvec(&data).map_err(|e| StorageIOError::read_state_machine(&e))?;
        let snapshot_id = data.last_applied.map_or(EMPTY_SNAPSHOT_ID.to_owned(), |last| last.to_string());
        let meta =
            SnapshotMeta { last_log_id: data.last_applied, last_membership: data.membership, snapshot_id };
        let written = self.store.write_snapshot(&meta, &bytes).await;
        written.map_err(|e| StorageIOError::write_snapshot(None, &e))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) })
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = StateMachine;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), RaftStorageError> {
        let data = self.data();
        Ok((data.last_applied, data.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<CommandOutcome>, RaftStorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut outcomes = Vec::new();
        {
            // The lock is held for all entries, so that a reader sees all of them or none.
            let mut data = self.data();
            outcomes.extend(entries.into_iter().map(|entry| data.apply_entry(entry)));
        }
        self.changes.send_replace(());
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> StateMachine {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, RaftStorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), RaftStorageError> {
        let bytes = snapshot.into_inner();
        let data: StateMachineData = postcard::from_bytes(&bytes)
            .map_err(|e| StorageIOError::read_snapshot(Some(meta.signature()), &e))?;
        let written = self.store.write_snapshot(meta, &bytes).await;
        written.map_err(|e| StorageIOError::write_snapshot(Some(meta.signature()), &e))?;
        *self.data() = data;
        self.changes.send_replace(());
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, RaftStorageError> {
        let stored = self.store.read_snapshot().await.map_err(|e| StorageIOError::read_snapshot(None, &e))?;
        Ok(stored.map(|(meta, bytes)| Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) }))
    }
}
