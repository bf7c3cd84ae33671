//! A voter's data folder: its vote, its log and its last snapshot, in one `redb` file.
//!
//! The database checksums the file, flushes each write before it counts as done, and recovers the last
//! complete write after a crash.

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

/// The pause between two attempts to read or write a file whose disk fails.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A voter's file. Clones share it.
///
/// A write that fails is retried until it is on disk: the Raft library stops for good at a failed one, and
/// whoever waits for the write must not get an answer before. `redb` rejects everything that follows a failed
/// write, so that the file is closed and opened again each time, which recovers its last complete write.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

struct Inner {
    file: PathBuf,
    /// `None` while it could not be opened again after a fault.
    database: Mutex<Option<Database>>,
    /// What is wrong with the file now.
    fault: Mutex<Option<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// Opens the file of a voter, which must belong to this voter of this fleet.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file, it is damaged or another voter's, or its disk fails.
    pub fn open(folder: &Path, fleet: &str, voter: u64) -> Result<Store, OpenError> {
        let file = file::file_in(folder);
        let database = file::open_owned(&file, fleet, voter)?;
        let inner = Inner { file, database: Mutex::new(Some(database)), fault: Mutex::default() };
        Ok(Store { inner: Arc::new(inner) })
    }

    /// Returns what is wrong with the file now, while something is.
    pub fn fault(&self) -> Option<String> {
        lock(&self.inner.fault).clone()
    }

    /// Writes a snapshot in the place of the last one.
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

    /// Makes a change in one transaction, and returns once it is on disk.
    async fn write<T>(
        &self,
        change: impl Fn(&WriteTransaction) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.retry(|database| file::write_once(database, &change)).await
    }

    /// Runs an operation again and again until the disk lets it succeed; it fails only for faulty content.
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

    /// Runs an operation once. The lock is held for all of it: the file has one writer, and must not be
    /// opened twice.
    fn attempt<T>(&self, operation: &impl Fn(&Database) -> Result<T, StoreError>) -> Result<T, StoreError> {
        let mut database = lock(&self.inner.database);
        if database.is_none() {
            *database = Some(file::open(&self.inner.file).map_err(StoreError::database)?);
        }
        let result = database.as_ref().map_or(Err(StoreError::Closed), operation);
        if result.as_ref().is_err_and(StoreError::is_transient) {
            // The old descriptor must be closed before the file is opened again.
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
            tracing::error!(%file, why, "voter storage fails: it does not vote until writes succeed");
        }
    }

    fn clear_fault(&self) {
        let earlier = lock(&self.inner.fault).take();
        if earlier.is_some() {
            tracing::info!(file = %self.inner.file.display(), "voter storage recovered");
        }
    }
}
