//! A voter's data folder: one `redb` file with the vote, the log and the last snapshot.
//!
//! The database checksums the file, flushes each write before it reports success, and recovers the state of
//! the last complete write after a crash.

mod errors;
mod file;
mod log_storage;

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use redb::{Database, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::raft_types::SnapshotMeta;

pub use errors::{OpenError, PrepareError, StoreError};
pub use file::prepare_data_dir;

/// The backoff between two attempts to read or write the file while its disk fails.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A handle to a voter's file. Clones share it.
///
/// A write that fails is retried until it is on disk, because the Raft library stops permanently at a failed
/// write, and a caller that waits for the write must not get a result before it is on disk. `redb` rejects
/// all operations after a failed write. The file is therefore closed and reopened after each failure, which
/// recovers the last complete write.
#[derive(Clone)]
pub struct Store {
    inner: Arc<StoreInner>,
}

struct StoreInner {
    file: PathBuf,
    /// `None` if the file could not be reopened after a fault.
    database: Mutex<Option<Database>>,
    /// The current fault of the file, if there is one.
    fault: Mutex<Option<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// Opens a voter's file, whose header must name this voter of this fleet.
    ///
    /// # Errors
    ///
    /// Fails if the file does not exist, is damaged or belongs to another voter, or the disk fails.
    pub fn open(data_dir: &Path, fleet: &str, voter: u64) -> Result<Store, OpenError> {
        let file = file::file_path(data_dir);
        let database = file::open_for_voter(&file, fleet, voter)?;
        let inner = StoreInner { file, database: Mutex::new(Some(database)), fault: Mutex::default() };
        Ok(Store { inner: Arc::new(inner) })
    }

    /// Returns the current fault of the file, if there is one.
    pub fn fault(&self) -> Option<String> {
        lock(&self.inner.fault).clone()
    }

    /// Replaces the last snapshot.
    pub async fn write_snapshot(&self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError> {
        self.write_value(file::SNAPSHOT_KEY, &(meta, data)).await
    }

    /// Reads the last snapshot.
    pub async fn read_snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>, StoreError> {
        self.read_value(file::SNAPSHOT_KEY).await
    }

    async fn write_value<T: Serialize>(&self, key: &str, value: &T) -> Result<(), StoreError> {
        self.write(|transaction| file::put_value(transaction, key, value)).await
    }

    async fn read_value<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StoreError> {
        self.retry(|database| file::get_value(database, key)).await
    }

    /// Applies a change in one transaction, and returns when it is on disk.
    async fn write<T>(
        &self,
        change: impl Fn(&WriteTransaction) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.retry(|database| file::write_transaction(database, &change)).await
    }

    /// Runs an operation, and retries it while the disk fails. Returns an error only if a value cannot be
    /// decoded or encoded.
    async fn retry<T>(
        &self,
        operation: impl Fn(&Database) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        loop {
            match self.attempt(&operation) {
                Err(error) if error.is_transient() => self.record_fault(&error),
                result => {
                    self.clear_fault();
                    return result;
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Runs an operation once. It holds the lock throughout, because the file has one writer and must not be
    /// opened twice.
    fn attempt<T>(&self, operation: &impl Fn(&Database) -> Result<T, StoreError>) -> Result<T, StoreError> {
        let mut database = lock(&self.inner.database);
        if database.is_none() {
            *database = Some(file::open(&self.inner.file).map_err(StoreError::database)?);
        }
        let result = database.as_ref().map_or(Err(StoreError::Closed), operation);
        if result.as_ref().is_err_and(StoreError::is_transient) {
            // The old descriptor must be closed before the file is reopened.
            *database = None;
            *database = file::open(&self.inner.file).ok();
        }
        result
    }

    fn record_fault(&self, error: &StoreError) {
        let why = error.to_string();
        let earlier = lock(&self.inner.fault).replace(why.clone());
        if earlier.is_none() {
            let file = self.inner.file.display();
            tracing::error!(%file, why, "voter storage failed: not voting until a retry succeeds");
        }
    }

    fn clear_fault(&self) {
        let earlier = lock(&self.inner.fault).take();
        if earlier.is_some() {
            tracing::info!(file = %self.inner.file.display(), "voter storage recovered");
        }
    }
}
