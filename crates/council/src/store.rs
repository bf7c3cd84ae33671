//! A voter's data folder: its vote, its log and its last snapshot, in one `redb` file, which is checksummed, flushed
//! before a write counts as done, and brought back to the last whole write after a crash.

use std::fmt::Debug;
use std::ops::{Bound, RangeBounds};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use openraft::storage::{LogFlushed, RaftLogReader, RaftLogStorage};
use openraft::{LogState, OptionalSend, RaftLogId, StorageIOError, Vote};
use redb::{Database, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::raft::{Entry, LogId, SnapshotMeta, StoreFailed, Types};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

const FILE: &str = "rules.redb";
/// The format of what is in the file. Another one is refused, not guessed at.
const FORMAT: u32 = 1;
const CACHE: usize = 4 << 20;

/// Whose the file is, so that it is not taken for another's.
#[derive(Debug, PartialEq, Serialize, serde::Deserialize)]
struct Stamp {
    format: u32,
    fleet: String,
    voter: u64,
}

#[derive(Debug)]
pub struct Broken(String);

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Broken {}

fn broken(error: impl std::fmt::Display) -> Broken {
    Broken(error.to_string())
}

#[derive(Clone)]
pub struct Store(Arc<Database>);

/// Makes the file of a voter that has never voted. One whose file was lost must not come back under its number, for it
/// might vote twice in one term: it is replaced.
pub fn prepare(folder: &Path, fleet: &str, voter: u64) -> Result<PathBuf, String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let file = folder.join(FILE);
    if file.exists() {
        return Err(format!("{}: is there already", file.display()));
    }
    let database = Database::create(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let store = Store(Arc::new(database));
    let stamp = Stamp { format: FORMAT, fleet: fleet.to_owned(), voter };
    let stamped = store.write(|transaction| {
        transaction.open_table(LOG).map_err(broken)?;
        put(transaction, "stamp", &stamp)
    });
    stamped.map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(file)
}

fn put<T: Serialize>(transaction: &redb::WriteTransaction, name: &str, value: &T) -> Result<(), Broken> {
    let bytes = postcard::to_stdvec(value).map_err(broken)?;
    transaction.open_table(KEPT).map_err(broken)?.insert(name, bytes.as_slice()).map_err(broken)?;
    Ok(())
}

impl Store {
    /// Opens a voter's file, which must be this fleet's and voter's.
    pub fn open(folder: &Path, fleet: &str, voter: u64) -> Result<Store, String> {
        let file = folder.join(FILE);
        let name = file.display();
        if !file.exists() {
            return Err(format!(
                "{name}: is not there. If this voter has never voted, prepare its folder; else replace it"
            ));
        }
        let database =
            Database::builder().set_cache_size(CACHE).open(&file).map_err(|e| format!("{name}: {e}"))?;
        let store = Store(Arc::new(database));
        let stamp: Option<Stamp> = store.kept("stamp").map_err(|e| format!("{name}: {e}"))?;
        let wanted = Stamp { format: FORMAT, fleet: fleet.to_owned(), voter };
        match stamp {
            Some(stamp) if stamp == wanted => Ok(store),
            Some(stamp) if stamp.format != FORMAT => {
                Err(format!("{name}: has format {}, and this program reads {FORMAT}", stamp.format))
            }
            Some(Stamp { fleet, voter, .. }) => {
                Err(format!("{name}: belongs to voter {voter} of fleet {fleet}"))
            }
            None => Err(format!("{name}: has no stamp")),
        }
    }

    /// All of it or nothing, on disk when it returns.
    fn write<T>(
        &self,
        change: impl FnOnce(&redb::WriteTransaction) -> Result<T, Broken>,
    ) -> Result<T, Broken> {
        let transaction = self.0.begin_write().map_err(broken)?;
        let done = change(&transaction)?;
        transaction.commit().map_err(broken)?;
        Ok(done)
    }

    fn keep<T: Serialize>(&self, name: &str, value: &T) -> Result<(), Broken> {
        self.write(|transaction| put(transaction, name, value))
    }

    fn kept<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Broken> {
        let transaction = self.0.begin_read().map_err(broken)?;
        let table = transaction.open_table(KEPT).map_err(broken)?;
        let bytes = table.get(name).map_err(broken)?;
        bytes.map(|bytes| postcard::from_bytes(bytes.value()).map_err(broken)).transpose()
    }

    pub fn keep_snapshot(&self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), Broken> {
        self.keep("snapshot", &(meta, data))
    }

    pub fn snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>, Broken> {
        self.kept("snapshot")
    }

    fn read(&self, from: Bound<u64>, to: Bound<u64>) -> Result<Vec<Entry>, Broken> {
        let transaction = self.0.begin_read().map_err(broken)?;
        let table = transaction.open_table(LOG).map_err(broken)?;
        let entries = table.range::<u64>((from, to)).map_err(broken)?;
        entries.map(|entry| postcard::from_bytes(entry.map_err(broken)?.1.value()).map_err(broken)).collect()
    }

    fn last(&self) -> Result<Option<LogId>, Broken> {
        let transaction = self.0.begin_read().map_err(broken)?;
        let table = transaction.open_table(LOG).map_err(broken)?;
        let Some((_, bytes)) = table.last().map_err(broken)? else { return Ok(None) };
        let entry: Entry = postcard::from_bytes(bytes.value()).map_err(broken)?;
        Ok(Some(*entry.get_log_id()))
    }
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, StoreFailed> {
        let (from, to) = (range.start_bound().cloned(), range.end_bound().cloned());
        Ok(self.read(from, to).map_err(|e| StorageIOError::read_logs(&e))?)
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StoreFailed> {
        let purged: Option<LogId> = self.kept("purged").map_err(|e| StorageIOError::read(&e))?;
        let last = self.last().map_err(|e| StorageIOError::read_logs(&e))?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: last.or(purged) })
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StoreFailed> {
        Ok(self.keep("vote", vote).map_err(|e| StorageIOError::write_vote(&e))?)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StoreFailed> {
        Ok(self.kept("vote").map_err(|e| StorageIOError::read_vote(&e))?)
    }

    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<Types>) -> Result<(), StoreFailed>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let written = self.write(|transaction| {
            let mut table = transaction.open_table(LOG).map_err(broken)?;
            for entry in entries {
                let bytes = postcard::to_stdvec(&entry).map_err(broken)?;
                table.insert(entry.get_log_id().index, bytes.as_slice()).map_err(broken)?;
            }
            Ok(())
        });
        written.map_err(|e| StorageIOError::write_logs(&e))?;
        flushed.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, from: LogId) -> Result<(), StoreFailed> {
        let cut = self.write(|transaction| {
            let mut table = transaction.open_table(LOG).map_err(broken)?;
            table.retain_in(from.index.., |_, _| false).map_err(broken)
        });
        Ok(cut.map_err(|e| StorageIOError::write_logs(&e))?)
    }

    async fn purge(&mut self, upto: LogId) -> Result<(), StoreFailed> {
        let cut = self.write(|transaction| {
            put(transaction, "purged", &upto)?;
            let mut table = transaction.open_table(LOG).map_err(broken)?;
            table.retain_in(..=upto.index, |_, _| false).map_err(broken)
        });
        Ok(cut.map_err(|e| StorageIOError::write_logs(&e))?)
    }
}
