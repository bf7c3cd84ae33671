//! What can be wrong with a voter's data folder.

use std::path::PathBuf;

use redb::{DatabaseError, StorageError};
use thiserror::Error;

/// Why something could not be read from the file, or written to it.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file cannot be read or written now, for the disk is full or fails. That may pass.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// The file could not be opened again after a fault. That may pass.
    #[error("not open")]
    Closed,
    /// What is in the file, or is to be written to it, cannot be decoded or encoded.
    #[error(transparent)]
    Content(#[from] postcard::Error),
}

impl StoreError {
    /// Converts any error of the database.
    pub(super) fn database(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Database(Box::new(error.into()))
    }

    /// Whether the same may succeed later.
    pub(super) fn is_transient(&self) -> bool {
        match self {
            StoreError::Database(_) | StoreError::Closed => true,
            StoreError::Content(_) => false,
        }
    }
}

/// Why a voter's file cannot be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// There is no such file.
    #[error(
        "{}: is not there. If this voter has never voted, prepare its folder; else replace it", .file.display()
    )]
    Missing {
        /// The voter's file.
        file: PathBuf,
    },
    /// The file is no sound database, or is in use, or the disk fails.
    #[error("{}: {source}", .file.display())]
    Database {
        /// The voter's file.
        file: PathBuf,
        /// What the database reports.
        source: DatabaseError,
    },
    /// The header cannot be read.
    #[error("{}: {source}", .file.display())]
    Header {
        /// The voter's file.
        file: PathBuf,
        /// What is wrong with it.
        source: StoreError,
    },
    /// The file has no header.
    #[error("{}: has no stamp", .file.display())]
    NoHeader {
        /// The voter's file.
        file: PathBuf,
    },
    /// The file has another format than this program reads.
    #[error("{}: has format {found}, and this program reads {expected}", .file.display())]
    WrongFormat {
        /// The voter's file.
        file: PathBuf,
        /// The format of the file.
        found: u32,
        /// The format that this program reads.
        expected: u32,
    },
    /// The file belongs to another voter.
    #[error("{}: belongs to voter {voter} of fleet {fleet}", .file.display())]
    WrongOwner {
        /// The voter's file.
        file: PathBuf,
        /// The number of the voter that it belongs to.
        voter: u64,
        /// The fleet of that voter.
        fleet: String,
    },
}

impl OpenError {
    /// Whether the file may be opened later: its disk fails, or the process that had it before has not ended
    /// yet.
    pub fn is_transient(&self) -> bool {
        match self {
            OpenError::Database { source, .. } => matches!(
                source,
                DatabaseError::DatabaseAlreadyOpen | DatabaseError::Storage(StorageError::Io(_))
            ),
            OpenError::Header { source, .. } => source.is_transient(),
            OpenError::Missing { .. }
            | OpenError::NoHeader { .. }
            | OpenError::WrongFormat { .. }
            | OpenError::WrongOwner { .. } => false,
        }
    }
}

/// Why a voter's data folder cannot be prepared.
#[derive(Debug, Error)]
pub enum PrepareError {
    /// The folder or a file in it cannot be created, removed or renamed.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The folder or the file.
        path: PathBuf,
        /// What the system reports.
        source: std::io::Error,
    },
    /// There is a voter's file in the folder already.
    #[error("{}: is there already", .file.display())]
    AlreadyExists {
        /// The voter's file.
        file: PathBuf,
    },
    /// The database cannot be created.
    #[error("{}: {source}", .file.display())]
    Database {
        /// The file that was to be created.
        file: PathBuf,
        /// What the database reports.
        source: DatabaseError,
    },
    /// The header cannot be written.
    #[error("{}: {source}", .file.display())]
    Header {
        /// The file that was to be created.
        file: PathBuf,
        /// What went wrong.
        source: StoreError,
    },
}
