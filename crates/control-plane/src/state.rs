//! What the log leads to: the rules, kept alike by all voters.

use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nickelflow_rollout::{CommandError, RolloutState, Version};
use openraft::storage::{RaftSnapshotBuilder, RaftStateMachine};
use openraft::{EntryPayload, OptionalSend, RaftLogId, Snapshot, StorageIOError};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::messages::Command;
use crate::raft::{Entry, LogId, Membership, SnapshotMeta, StoreFailed, Types};
use crate::store::Store;

/// What a command has led to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Applied {
    /// An entry of the library's own.
    Nothing,
    Done(u64),
    Refused(CommandError),
    NotFounded,
    Founded,
}

#[derive(Clone, Default, Serialize, Deserialize)]
struct Kept {
    decider: Option<RolloutState>,
    last: Option<LogId>,
    membership: Membership,
}

/// The state as it is now; all copies are one.
#[derive(Clone)]
pub struct State {
    kept: Arc<Mutex<Kept>>,
    /// Told of each change.
    changed: watch::Sender<()>,
    store: Store,
}

impl State {
    /// As the store's last snapshot has it.
    pub async fn load(store: Store) -> Result<State, String> {
        let kept = match store.snapshot().await.map_err(|e| e.to_string())? {
            Some((_, data)) => postcard::from_bytes(&data).map_err(|e| format!("the snapshot: {e}"))?,
            None => Kept::default(),
        };
        Ok(State { kept: Arc::new(Mutex::new(kept)), changed: watch::channel(()).0, store })
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the rules, if any have been founded.
    pub fn rules<T>(&self, look: impl FnOnce(&RolloutState) -> T) -> Option<T> {
        self.kept().decider.as_ref().map(look)
    }

    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}

impl Kept {
    fn apply(&mut self, term: u64, command: Command) -> Applied {
        let decider = match (command, &mut self.decider) {
            (Command::Bootstrap(document), none @ None) => {
                *none = Some(RolloutState::new(document));
                return Applied::Done(1);
            }
            (Command::ReadBarrier, _) => return Applied::Nothing,
            (Command::Bootstrap(_), Some(_)) => return Applied::Founded,
            (_, None) => return Applied::NotFounded,
            (command, Some(decider)) => (command, decider),
        };
        let (command, decider) = decider;
        let done = match command {
            Command::Propose { base, document } => decider.propose(base, document),
            Command::RollBack { base, to } => decider.roll_back(base, to),
            Command::Join(name) => decider.join(&name).map(|()| 0),
            Command::Leave(name) => {
                decider.leave(&name);
                Ok(0)
            }
            Command::Advance { from, acknowledged: has } => {
                // A message that came twice, or of one that led before.
                let still = decider.active().0 == from;
                let version = still.then(|| decider.advance(term, &has)).flatten();
                Ok(version.map_or(0, |Version { number, .. }| number))
            }
            Command::Bootstrap(_) | Command::ReadBarrier => return Applied::Nothing,
        };
        match done {
            Ok(number) => Applied::Done(number),
            Err(why) => Applied::Refused(why),
        }
    }
}

impl RaftSnapshotBuilder<Types> for State {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StoreFailed> {
        let (meta, data) = {
            let kept = self.kept();
            let data = postcard::to_stdvec(&*kept).map_err(|e| StorageIOError::read_state_machine(&e))?;
            let id = kept.last.map_or("none".to_owned(), |last| last.to_string());
            let meta = SnapshotMeta {
                last_log_id: kept.last,
                last_membership: kept.membership.clone(),
                snapshot_id: id,
            };
            (meta, data)
        };
        let written = self.store.keep_snapshot(&meta, &data).await;
        written.map_err(|e| StorageIOError::write_snapshot(None, &e))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data)) })
    }
}

impl RaftStateMachine<Types> for State {
    type SnapshotBuilder = State;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StoreFailed> {
        let kept = self.kept();
        Ok((kept.last, kept.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Applied>, StoreFailed>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut kept = self.kept();
        let mut applied = Vec::new();
        for entry in entries {
            let id = *entry.get_log_id();
            kept.last = Some(id);
            applied.push(match entry.payload {
                EntryPayload::Blank => Applied::Nothing,
                EntryPayload::Membership(membership) => {
                    kept.membership = Membership::new(Some(id), membership);
                    Applied::Nothing
                }
                EntryPayload::Normal(command) => kept.apply(id.leader_id.term, command),
            });
        }
        drop(kept);
        self.changed.send_replace(());
        Ok(applied)
    }

    async fn get_snapshot_builder(&mut self) -> State {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StoreFailed> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StoreFailed> {
        let data = snapshot.into_inner();
        let kept: Kept = postcard::from_bytes(&data)
            .map_err(|e| StorageIOError::read_snapshot(Some(meta.signature()), &e))?;
        self.store
            .keep_snapshot(meta, &data)
            .await
            .map_err(|e| StorageIOError::write_snapshot(Some(meta.signature()), &e))?;
        *self.kept() = kept;
        self.changed.send_replace(());
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StoreFailed> {
        let kept = self.store.snapshot().await;
        let kept = kept.map_err(|e| StorageIOError::read_snapshot(None, &e))?;
        Ok(kept.map(|(meta, data)| Snapshot { meta, snapshot: Box::new(Cursor::new(data)) }))
    }
}
