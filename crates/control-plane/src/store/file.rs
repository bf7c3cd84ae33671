//! The format of a voter's file: its name, its tables and its header.

use std::path::{Path, PathBuf};

use redb::{Database, DatabaseError, TableDefinition, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::store::errors::{OpenError, PrepareError, StoreError};

/// The entries of the log in postcard, by index.
pub const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Single values in postcard, by the names below.
const VALUES_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

const HEADER_KEY: &str = "stamp";
/// The key of the vote.
pub const VOTE_KEY: &str = "vote";
/// The key of the id of the last entry that was purged from the log.
pub const PURGED_KEY: &str = "purged";
/// The key of the last snapshot and its metadata.
pub const SNAPSHOT_KEY: &str = "snapshot";

const FILE_NAME: &str = "rules.redb";
const DRAFT_NAME: &str = "rules.redb.new";
/// The format of what is in the file. A file of another format is rejected.
const FORMAT: u32 = 1;
/// Bytes of the file that are cached: some of the largest documents.
const CACHE_BYTES: usize = 4 << 20;

/// The first value of the file: whose it is, so that no other voter takes it for its own.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FileHeader {
    format: u32,
    fleet: String,
    voter: u64,
}

impl FileHeader {
    fn of(fleet: &str, voter: u64) -> FileHeader {
        FileHeader { format: FORMAT, fleet: fleet.to_owned(), voter }
    }
}

/// Creates the data folder of a voter that has never voted, with an empty log, and returns the path of its
/// file.
///
/// A voter whose file was lost must not come back under its number, for it might vote twice in one term. It
/// is replaced by one with another number.
///
/// # Errors
///
/// Fails if the folder has a voter's file already, or cannot be written.
pub fn prepare_data_dir(folder: &Path, fleet: &str, voter: u64) -> Result<PathBuf, PrepareError> {
    let io_error = |path: &Path, source| PrepareError::Io { path: path.to_owned(), source };
    std::fs::create_dir_all(folder).map_err(|e| io_error(folder, e))?;
    let file = folder.join(FILE_NAME);
    if file.exists() {
        return Err(PrepareError::AlreadyExists { file });
    }
    // It gets its name only once it is complete, so that a preparation that was interrupted can be repeated.
    let draft = folder.join(DRAFT_NAME);
    if draft.exists() {
        std::fs::remove_file(&draft).map_err(|e| io_error(&draft, e))?;
    }
    write_empty(&draft, &FileHeader::of(fleet, voter))?;
    std::fs::rename(&draft, &file).map_err(|e| io_error(&draft, e))?;
    // The folder is flushed too, or the new name could be lost.
    std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(|e| io_error(&draft, e))?;
    Ok(file)
}

/// Creates a file with an empty log.
fn write_empty(file: &Path, header: &FileHeader) -> Result<(), PrepareError> {
    let database =
        Database::create(file).map_err(|source| PrepareError::Database { file: file.to_owned(), source })?;
    let written = write_once(&database, &|transaction| {
        transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
        put_value(transaction, HEADER_KEY, header)
    });
    written.map_err(|source| PrepareError::Header { file: file.to_owned(), source })
}

/// Returns the path of the voter's file in its data folder.
pub fn file_in(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// Opens a voter's file, which must belong to this voter of this fleet.
pub fn open_owned(file: &Path, fleet: &str, voter: u64) -> Result<Database, OpenError> {
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
        Some(header) if header == FileHeader::of(fleet, voter) => Ok(database),
        Some(header) if header.format != FORMAT => {
            Err(OpenError::WrongFormat { file, found: header.format, expected: FORMAT })
        }
        Some(FileHeader { fleet, voter, .. }) => Err(OpenError::WrongOwner { file, voter, fleet }),
        None => Err(OpenError::NoHeader { file }),
    }
}

/// Opens the database in a file.
pub fn open(file: &Path) -> Result<Database, DatabaseError> {
    Database::builder().set_cache_size(CACHE_BYTES).open(file)
}

/// Makes a change in one transaction. It is on disk when this returns, in full or not at all.
pub fn write_once<T>(
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

/// Reads a single value; `None` if there is none of this key.
pub fn get_value<T: DeserializeOwned>(database: &Database, key: &str) -> Result<Option<T>, StoreError> {
    let transaction = database.begin_read().map_err(StoreError::database)?;
    let table = transaction.open_table(VALUES_TABLE).map_err(StoreError::database)?;
    let Some(bytes) = table.get(key).map_err(StoreError::database)? else { return Ok(None) };
    Ok(Some(postcard::from_bytes(bytes.value())?))
}
