//! The format of a voter's file: its name, its tables and its header.

use std::path::{Path, PathBuf};

use redb::{Database, DatabaseError, TableDefinition, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::store::errors::{OpenError, PrepareError, StoreError};

/// The log entries, encoded as postcard, by index.
pub const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Single values, encoded as postcard, by the keys below.
const VALUES_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

/// The key of the file header.
const HEADER_KEY: &str = "stamp";
/// The key of the vote.
pub const VOTE_KEY: &str = "vote";
/// The key of the id of the last log entry that was purged.
pub const PURGED_KEY: &str = "purged";
/// The key of the last snapshot and its metadata.
pub const SNAPSHOT_KEY: &str = "snapshot";

const FILE_NAME: &str = "rules.redb";
const TEMPORARY_FILE_NAME: &str = "rules.redb.new";
/// The format of the file's content. A file with another format is rejected.
const FILE_FORMAT: u32 = 1;
/// The size of the database's cache. Several documents of the maximum size fit into it.
const CACHE_BYTES: usize = 4 << 20;

/// The header of the file. It names the file's owner, so that no other voter opens the file.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FileHeader {
    format: u32,
    fleet: String,
    voter: u64,
}

impl FileHeader {
    fn new(fleet: &str, voter: u64) -> FileHeader {
        FileHeader { format: FILE_FORMAT, fleet: fleet.to_owned(), voter }
    }
}

/// Creates the data folder of a voter that has never voted, with an empty log, and returns the path of the
/// voter's file.
///
/// A voter whose file was lost must not return under the same id, because it might vote twice in one term. It
/// has to be replaced by a voter with a new id.
///
/// # Errors
///
/// Fails if the folder already contains a voter's file, or cannot be written.
pub fn prepare_data_dir(data_dir: &Path, fleet: &str, voter: u64) -> Result<PathBuf, PrepareError> {
    let io_error = |path: &Path, source| PrepareError::Io { path: path.to_owned(), source };
    std::fs::create_dir_all(data_dir).map_err(|e| io_error(data_dir, e))?;
    let file = data_dir.join(FILE_NAME);
    if file.exists() {
        return Err(PrepareError::AlreadyExists { file });
    }
    // The file is renamed only when it is complete, so that an interrupted call can be repeated.
    let temporary_file = data_dir.join(TEMPORARY_FILE_NAME);
    if temporary_file.exists() {
        std::fs::remove_file(&temporary_file).map_err(|e| io_error(&temporary_file, e))?;
    }
    create_empty_database(&temporary_file, &FileHeader::new(fleet, voter))?;
    std::fs::rename(&temporary_file, &file).map_err(|e| io_error(&temporary_file, e))?;
    // Without flushing the folder, the rename could be lost.
    std::fs::File::open(data_dir)
        .and_then(|data_dir| data_dir.sync_all())
        .map_err(|e| io_error(&temporary_file, e))?;
    Ok(file)
}

/// Creates a database with a header and an empty log.
fn create_empty_database(file: &Path, header: &FileHeader) -> Result<(), PrepareError> {
    let database =
        Database::create(file).map_err(|source| PrepareError::Database { file: file.to_owned(), source })?;
    let written = write_transaction(&database, &|transaction| {
        transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
        put_value(transaction, HEADER_KEY, header)
    });
    written.map_err(|source| PrepareError::Header { file: file.to_owned(), source })
}

/// Returns the path of the voter's file in a data folder.
pub fn file_path(data_dir: &Path) -> PathBuf {
    data_dir.join(FILE_NAME)
}

/// Opens a voter's file, whose header must name this voter of this fleet.
pub fn open_for_voter(file: &Path, fleet: &str, voter: u64) -> Result<Database, OpenError> {
    let file = file.to_owned();
    if !file.exists() {
        return Err(OpenError::Missing { file });
    }
    let database = match open(&file) {
        Ok(database) => database,
        Err(source) => return Err(OpenError::Database { file, source }),
    };
    let header: Option<FileHeader> = match get_value(&database, HEADER_KEY) {
        Ok(header) => header,
        Err(source) => return Err(OpenError::Header { file, source }),
    };
    match header {
        Some(header) if header == FileHeader::new(fleet, voter) => Ok(database),
        Some(header) if header.format != FILE_FORMAT => {
            Err(OpenError::WrongFormat { file, found: header.format, expected: FILE_FORMAT })
        }
        Some(FileHeader { fleet, voter, .. }) => Err(OpenError::WrongOwner { file, voter, fleet }),
        None => Err(OpenError::NoHeader { file }),
    }
}

/// Opens the database in a file.
pub fn open(file: &Path) -> Result<Database, DatabaseError> {
    Database::builder().set_cache_size(CACHE_BYTES).open(file)
}

/// Applies a change in one transaction, which is flushed to disk when this function returns. A change that
/// fails has no effect.
pub fn write_transaction<T>(
    database: &Database,
    change: &impl Fn(&WriteTransaction) -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let transaction = database.begin_write().map_err(StoreError::database)?;
    let result = change(&transaction)?;
    transaction.commit().map_err(StoreError::database)?;
    Ok(result)
}

/// Writes a single value.
pub fn put_value<T: Serialize>(
    transaction: &WriteTransaction,
    key: &str,
    value: &T,
) -> Result<(), StoreError> {
    let bytes = postcard::to_stdvec(value)?;
    let mut table = transaction.open_table(VALUES_TABLE).map_err(StoreError::database)?;
    table.insert(key, bytes.as_slice()).map_err(StoreError::database)?;
    Ok(())
}

/// Reads a single value. Returns `None` if the key has no value.
pub fn get_value<T: DeserializeOwned>(database: &Database, key: &str) -> Result<Option<T>, StoreError> {
    let transaction = database.begin_read().map_err(StoreError::database)?;
    let table = transaction.open_table(VALUES_TABLE).map_err(StoreError::database)?;
    let Some(bytes) = table.get(key).map_err(StoreError::database)? else { return Ok(None) };
    Ok(Some(postcard::from_bytes(bytes.value())?))
}
