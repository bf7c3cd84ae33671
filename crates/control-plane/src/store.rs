//! A voter's data folder: its vote, its log and its last snapshot, in one `redb` file, which is checksummed, flushed
//! before a write counts as done, and brought back to the last whole write after a crash.

use std::fmt::Debug;
use std::ops::{Bound, RangeBounds};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use openraft::storage::{LogFlushed, RaftLogReader, RaftLogStorage};
use openraft::{LogState, OptionalSend, RaftLogId, StorageIOError, Vote};
use redb::{Database, DatabaseError, ReadableTable, StorageError, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::raft::{Entry, LogId, SnapshotMeta, StoreFailed, Types};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

const FILE: &str = "rules.redb";
const DRAFT: &str = "rules.redb.new";
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

/// What is wrong with the file.
#[derive(Debug)]
pub enum Broken {
    /// It cannot be read or written now: the disk is full, or fails. That may pass.
    Storage(String),
    /// What is in it, or is to be written, is not what it should be.
    Content(String),
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Broken::Storage(why) | Broken::Content(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Broken {}

fn storage(error: impl std::fmt::Display) -> Broken {
    Broken::Storage(error.to_string())
}

fn content(error: impl std::fmt::Display) -> Broken {
    Broken::Content(error.to_string())
}

/// Whether the file may be opened later: its disk fails, or the process that had it before has not ended yet.
fn may_open_later(error: &DatabaseError) -> bool {
    matches!(error, DatabaseError::DatabaseAlreadyOpen | DatabaseError::Storage(StorageError::Io(_)))
}

/// Between two tries to open the file again.
const AGAIN: Duration = Duration::from_millis(200);

/// A voter's file; all copies are one.
///
/// A write that fails is made again until it is on disk: the consensus library takes a failed one for the end of its life,
/// and whoever waits for it must hear nothing before. `redb` refuses all that follows a failed write, so that the file is
/// closed and opened again each time, which brings it back to its last whole write.
#[derive(Clone)]
pub struct Store(Arc<Inner>);

struct Inner {
    file: PathBuf,
    /// `None` while it could not be opened again.
    database: Mutex<Option<Database>>,
    /// What is wrong with it now.
    trouble: Mutex<Option<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Makes the file of a voter that has never voted. One whose file was lost must not come back under its number, for it
/// might vote twice in one term: it is replaced.
pub fn prepare(folder: &Path, fleet: &str, voter: u64) -> Result<PathBuf, String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let file = folder.join(FILE);
    if file.exists() {
        return Err(format!("{}: is there already", file.display()));
    }
    // Under its name only once it is whole: one that broke off here can be made again.
    let draft = folder.join(DRAFT);
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", draft.display());
    if draft.exists() {
        std::fs::remove_file(&draft).map_err(|e| failed(&e))?;
    }
    let database = Database::create(&draft).map_err(|e| failed(&e))?;
    let stamp = Stamp { format: FORMAT, fleet: fleet.to_owned(), voter };
    let stamped = write_once(&database, &|transaction| {
        transaction.open_table(LOG).map_err(storage)?;
        put(transaction, "stamp", &stamp)
    });
    stamped.map_err(|e| failed(&e))?;
    drop(database);
    std::fs::rename(&draft, &file).map_err(|e| failed(&e))?;
    // The name is to last as well.
    std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(|e| failed(&e))?;
    Ok(file)
}

/// All of it or nothing, on disk when it returns.
fn write_once<T>(
    database: &Database,
    change: &impl Fn(&redb::WriteTransaction) -> Result<T, Broken>,
) -> Result<T, Broken> {
    let transaction = database.begin_write().map_err(storage)?;
    let done = change(&transaction)?;
    transaction.commit().map_err(storage)?;
    Ok(done)
}

fn put<T: Serialize>(transaction: &redb::WriteTransaction, name: &str, value: &T) -> Result<(), Broken> {
    let bytes = postcard::to_stdvec(value).map_err(content)?;
    transaction.open_table(KEPT).map_err(storage)?.insert(name, bytes.as_slice()).map_err(storage)?;
    Ok(())
}

fn kept<T: DeserializeOwned>(database: &Database, name: &str) -> Result<Option<T>, Broken> {
    let transaction = database.begin_read().map_err(storage)?;
    let table = transaction.open_table(KEPT).map_err(storage)?;
    let bytes = table.get(name).map_err(storage)?;
    bytes.map(|bytes| postcard::from_bytes(bytes.value()).map_err(content)).transpose()
}

/// Why a voter's file cannot be opened.
pub enum NotOpened {
    /// It may be later.
    Later(String),
    Never(String),
}

impl Store {
    /// Opens a voter's file, which must be this fleet's and voter's.
    pub fn open(folder: &Path, fleet: &str, voter: u64) -> Result<Store, NotOpened> {
        let file = folder.join(FILE);
        let name = file.display();
        if !file.exists() {
            return Err(NotOpened::Never(format!(
                "{name}: is not there. If this voter has never voted, prepare its folder; else replace it"
            )));
        }
        let database = open_file(&file).map_err(|e| match may_open_later(&e) {
            true => NotOpened::Later(format!("{name}: {e}")),
            false => NotOpened::Never(format!("{name}: {e}")),
        })?;
        let stamp: Option<Stamp> = kept(&database, "stamp").map_err(|e| match e {
            Broken::Storage(why) => NotOpened::Later(format!("{name}: {why}")),
            Broken::Content(why) => NotOpened::Never(format!("{name}: {why}")),
        })?;
        let wanted = Stamp { format: FORMAT, fleet: fleet.to_owned(), voter };
        let why = match stamp {
            Some(stamp) if stamp == wanted => {
                let (database, trouble) = (Mutex::new(Some(database)), Mutex::default());
                return Ok(Store(Arc::new(Inner { file, database, trouble })));
            }
            Some(stamp) if stamp.format != FORMAT => {
                format!("{name}: has format {}, and this program reads {FORMAT}", stamp.format)
            }
            Some(Stamp { fleet, voter, .. }) => format!("{name}: belongs to voter {voter} of fleet {fleet}"),
            None => format!("{name}: has no stamp"),
        };
        Err(NotOpened::Never(why))
    }

    /// What is wrong with the file now, while something is.
    pub fn trouble(&self) -> Option<String> {
        lock(&self.0.trouble).clone()
    }

    /// Does something with the file, again and again until its disk lets it.
    async fn until_done<T>(&self, act: impl Fn(&Database) -> Result<T, Broken>) -> Result<T, Broken> {
        loop {
            match self.once(&act) {
                Err(Broken::Storage(why)) => self.troubled(why),
                done => {
                    self.well();
                    return done;
                }
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    fn once<T>(&self, act: &impl Fn(&Database) -> Result<T, Broken>) -> Result<T, Broken> {
        let mut database = lock(&self.0.database);
        if database.is_none() {
            *database = Some(open_file(&self.0.file).map_err(storage)?);
        }
        let done = database.as_ref().map_or(Err(storage("not open")), act);
        if matches!(done, Err(Broken::Storage(_))) {
            // Another descriptor of it must not be opened before this one is closed.
            *database = None;
            *database = open_file(&self.0.file).ok();
        }
        done
    }

    fn troubled(&self, why: String) {
        let mut trouble = lock(&self.0.trouble);
        if trouble.is_none() {
            tracing::error!(file = %self.0.file.display(), why, "the voter's folder fails: it votes for nothing until it is well");
        }
        *trouble = Some(why);
    }

    fn well(&self) {
        if lock(&self.0.trouble).take().is_some() {
            tracing::info!(file = %self.0.file.display(), "the voter's folder is well again");
        }
    }

    /// All of it or nothing, on disk when it returns.
    async fn write<T>(
        &self,
        change: impl Fn(&redb::WriteTransaction) -> Result<T, Broken>,
    ) -> Result<T, Broken> {
        self.until_done(|database| write_once(database, &change)).await
    }

    async fn keep<T: Serialize>(&self, name: &str, value: &T) -> Result<(), Broken> {
        self.write(|transaction| put(transaction, name, value)).await
    }

    async fn kept<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Broken> {
        self.until_done(|database| kept(database, name)).await
    }

    /// Keeps the last snapshot.
    pub async fn keep_snapshot(&self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), Broken> {
        self.keep("snapshot", &(meta, data)).await
    }

    /// The last snapshot.
    pub async fn snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>, Broken> {
        self.kept("snapshot").await
    }

    async fn read(&self, from: Bound<u64>, to: Bound<u64>) -> Result<Vec<Entry>, Broken> {
        self.until_done(|database| {
            let transaction = database.begin_read().map_err(storage)?;
            let table = transaction.open_table(LOG).map_err(storage)?;
            let entries = table.range::<u64>((from, to)).map_err(storage)?;
            entries
                .map(|entry| postcard::from_bytes(entry.map_err(storage)?.1.value()).map_err(content))
                .collect()
        })
        .await
    }

    async fn last(&self) -> Result<Option<LogId>, Broken> {
        self.until_done(|database| {
            let transaction = database.begin_read().map_err(storage)?;
            let table = transaction.open_table(LOG).map_err(storage)?;
            let Some((_, bytes)) = table.last().map_err(storage)? else { return Ok(None) };
            let entry: Entry = postcard::from_bytes(bytes.value()).map_err(content)?;
            Ok(Some(*entry.get_log_id()))
        })
        .await
    }
}

fn open_file(file: &Path) -> Result<Database, DatabaseError> {
    Database::builder().set_cache_size(CACHE).open(file)
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry>, StoreFailed> {
        let (from, to) = (range.start_bound().cloned(), range.end_bound().cloned());
        Ok(self.read(from, to).await.map_err(|e| StorageIOError::read_logs(&e))?)
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StoreFailed> {
        let purged: Option<LogId> = self.kept("purged").await.map_err(|e| StorageIOError::read(&e))?;
        let last = self.last().await.map_err(|e| StorageIOError::read_logs(&e))?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: last.or(purged) })
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StoreFailed> {
        Ok(self.keep("vote", vote).await.map_err(|e| StorageIOError::write_vote(&e))?)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StoreFailed> {
        Ok(self.kept("vote").await.map_err(|e| StorageIOError::read_vote(&e))?)
    }

    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<Types>) -> Result<(), StoreFailed>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let encode = |entry: Entry| Ok((entry.get_log_id().index, postcard::to_stdvec(&entry)?));
        let encoded: Result<Vec<(u64, Vec<u8>)>, postcard::Error> = entries.into_iter().map(encode).collect();
        let encoded = encoded.map_err(|e| StorageIOError::write_logs(&e))?;
        let written = self.write(|transaction| {
            let mut table = transaction.open_table(LOG).map_err(storage)?;
            for (index, bytes) in &encoded {
                table.insert(index, bytes.as_slice()).map_err(storage)?;
            }
            Ok(())
        });
        written.await.map_err(|e| StorageIOError::write_logs(&e))?;
        flushed.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, from: LogId) -> Result<(), StoreFailed> {
        let cut = self.write(|transaction| {
            let mut table = transaction.open_table(LOG).map_err(storage)?;
            table.retain_in(from.index.., |_, _| false).map_err(storage)
        });
        Ok(cut.await.map_err(|e| StorageIOError::write_logs(&e))?)
    }

    async fn purge(&mut self, upto: LogId) -> Result<(), StoreFailed> {
        let cut = self.write(|transaction| {
            put(transaction, "purged", &upto)?;
            let mut table = transaction.open_table(LOG).map_err(storage)?;
            table.retain_in(..=upto.index, |_, _| false).map_err(storage)
        });
        Ok(cut.await.map_err(|e| StorageIOError::write_logs(&e))?)
    }
}
