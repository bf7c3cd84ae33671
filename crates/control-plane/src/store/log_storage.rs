//! The Raft library's interface to the log and the vote.

use std::fmt::Debug;
use std::ops::{Bound, RangeBounds};

use openraft::storage::{LogFlushed, RaftLogReader, RaftLogStorage};
use openraft::{LogState, OptionalSend, RaftLogId, StorageIOError, Vote};
use redb::ReadableTable;

use crate::raft_types::{Entry, LogId, RaftStorageError, TypeConfig};
use crate::store::file::{put_value, LOG_TABLE, PURGED_KEY, VOTE_KEY};
use crate::store::{Store, StoreError};

impl Store {
    async fn read_entries(&self, from: Bound<u64>, to: Bound<u64>) -> Result<Vec<Entry>, StoreError> {
        self.retry(|database| {
            let transaction = database.begin_read().map_err(StoreError::database)?;
            let table = transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
            let rows = table.range::<u64>((from, to)).map_err(StoreError::database)?;
            let mut entries = Vec::new();
            for row in rows {
                let (_, bytes) = row.map_err(StoreError::database)?;
                entries.push(postcard::from_bytes(bytes.value())?);
            }
            Ok(entries)
        })
        .await
    }

    async fn last_log_id(&self) -> Result<Option<LogId>, StoreError> {
        self.retry(|database| {
            let transaction = database.begin_read().map_err(StoreError::database)?;
            let table = transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
            let Some((_, bytes)) = table.last().map_err(StoreError::database)? else { return Ok(None) };
            let entry: Entry = postcard::from_bytes(bytes.value())?;
            Ok(Some(*entry.get_log_id()))
        })
        .await
    }
}

impl RaftLogReader<TypeConfig> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, RaftStorageError> {
        let (from, to) = (range.start_bound().cloned(), range.end_bound().cloned());
        Ok(self.read_entries(from, to).await.map_err(|e| StorageIOError::read_logs(&e))?)
    }
}

impl RaftLogStorage<TypeConfig> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, RaftStorageError> {
        let purged: Option<LogId> =
            self.read_value(PURGED_KEY).await.map_err(|e| StorageIOError::read(&e))?;
        let last = self.last_log_id().await.map_err(|e| StorageIOError::read_logs(&e))?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: last.or(purged) })
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), RaftStorageError> {
        Ok(self.write_value(VOTE_KEY, vote).await.map_err(|e| StorageIOError::write_vote(&e))?)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, RaftStorageError> {
        Ok(self.read_value(VOTE_KEY).await.map_err(|e| StorageIOError::read_vote(&e))?)
    }

    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<TypeConfig>) -> Result<(), RaftStorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut rows: Vec<(u64, Vec<u8>)> = Vec::new();
        for entry in entries {
            let bytes = postcard::to_stdvec(&entry).map_err(|e| StorageIOError::write_logs(&e))?;
            rows.push((entry.get_log_id().index, bytes));
        }
        let written = self.write(|transaction| {
            let mut table = transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
            for (index, bytes) in &rows {
                table.insert(index, bytes.as_slice()).map_err(StoreError::database)?;
            }
            Ok(())
        });
        written.await.map_err(|e| StorageIOError::write_logs(&e))?;
        flushed.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, from: LogId) -> Result<(), RaftStorageError> {
        let truncated = self.write(|transaction| {
            let mut table = transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
            table.retain_in(from.index.., |_, _| false).map_err(StoreError::database)
        });
        Ok(truncated.await.map_err(|e| StorageIOError::write_logs(&e))?)
    }

    async fn purge(&mut self, upto: LogId) -> Result<(), RaftStorageError> {
        let purged = self.write(|transaction| {
            put_value(transaction, PURGED_KEY, &upto)?;
            let mut table = transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
            table.retain_in(..=upto.index, |_, _| false).map_err(StoreError::database)
        });
        Ok(purged.await.map_err(|e| StorageIOError::write_logs(&e))?)
    }
}
