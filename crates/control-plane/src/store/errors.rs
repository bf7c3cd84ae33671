//! The errors of a voter's data folder.

use std::path::PathBuf;

use redb::{DatabaseError, StorageError};
use thiserror::Error;

/// Why the file could not be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file cannot be read or written, because the disk is full or fails. A later attempt may succeed.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// The file could not be reopened after a fault. A later attempt may succeed.
    #[error("not open")]
    Closed,
    /// A value cannot be decoded from the file's content, or cannot be encoded.
    #[error(transparent)]
    Codec(#[from] postcard::Error),
}

impl StoreError {
    /// Wraps any error of the database.
    pub(super) fn database(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Database(Box::new(error.into()))
    }

    /// Returns whether a later attempt may succeed.
    pub(super) fn is_transient(&self) -> bool {
        match self {
            StoreError::Database(_) | StoreError::Closed => true,
            StoreError::Codec(_) => false,
        }
    }
}

/// Why a voter's file cannot be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The file does not exist.
    #[error(
        "{}: is not there. If this voter has never voted, prepare its folder; \
        else replace it", .file.display()
    )]
    Missing {
        /// The voter's file.
        file: PathBuf,
    },
    /// The file is not a valid database or is in use, or the disk fails.
    #[error("{}: {source}", .file.display())]
    Database {
        /// The voter's file.
        file: PathBuf,
        /// The error of the database.
        source: DatabaseError,
    },
    /// The header cannot be read.
    #[error("{}: {source}", .file.display())]
    Header {
        /// The voter's file.
        file: PathBuf,
        /// The error of reading the header.
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
        /// The id of the voter that the file belongs to.
        voter: u64,
        /// The fleet of the voter that the file belongs to.
        fleet: String,
    },
}

impl OpenError {
    /// Returns whether a later attempt may succeed: the disk fails, or an earlier process still has the file
    /// open.
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
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The folder already contains a voter's file.
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
        /// The error of the database.
        source: DatabaseError,
    },
    /// The header cannot be written.
    #[error("{}: {source}", .file.display())]
    Header {
        /// The file that was to be created.
        file: PathBuf,
        /// The error of writing the header.
        source: StoreError,
    },
}
