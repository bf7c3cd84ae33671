//! Errors of the commands and the exit status of each.

use std::io;
use std::path::{Path, PathBuf};

use nickelflow_control_plane::{PeerError, PrepareError};
use nickelflow_rollout::InvalidDocument;
use thiserror::Error;

use crate::settings::{LoadSettingsError, SettingsError};

/// The exit statuses of the program other than 0 for success.
pub mod exit_status {
    /// The command failed.
    pub const FAILED: u8 = 1;
    /// The arguments or a file are invalid.
    pub const USAGE: u8 = 2;
    /// The rules or the leader rejected the command.
    pub const REJECTED: u8 = 3;
}

/// The reason why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    UnreadableFile {
        /// The file.
        file: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// A rules document is invalid.
    #[error("{}", document_errors(file, source))]
    InvalidDocument {
        /// The file.
        file: PathBuf,
        /// All errors in the document.
        source: InvalidDocument,
    },
    /// The settings file cannot be used.
    #[error(transparent)]
    LoadSettings(#[from] LoadSettingsError),
    /// A setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The command needs a settings file with a `rules` table.
    #[error("--config: a file with [rules] is needed")]
    MissingRulesSettings,
    /// The settings name no voter, so that there is no data folder to create.
    #[error("this scheduler is no voter: it needs no folder")]
    NotVoter,
    /// The data folder cannot be created.
    #[error(transparent)]
    Prepare(#[from] PrepareError),
    /// The proposal is not stored.
    #[error("this proposal is not kept")]
    UnknownProposal,
    /// The leader rejected the command.
    #[error("{0}")]
    Rejected(PeerError),
    /// No leader answered in time; holds what each voter said.
    #[error("{0}")]
    NoLeader(String),
    /// No voter answered; holds what was tried.
    #[error("{0}")]
    NoVoter(String),
    /// A voter sent a response that does not belong to the request.
    #[error("a voter has answered something else")]
    UnexpectedResponse,
}

impl CliError {
    /// The status with which the program ends.
    pub fn exit_status(&self) -> u8 {
        match self {
            CliError::UnreadableFile { .. }
            | CliError::InvalidDocument { .. }
            | CliError::LoadSettings(_)
            | CliError::Settings(_)
            | CliError::MissingRulesSettings
            | CliError::NotVoter => exit_status::USAGE,
            CliError::UnknownProposal | CliError::Rejected(_) => exit_status::REJECTED,
            CliError::Prepare(_)
            | CliError::NoLeader(_)
            | CliError::NoVoter(_)
            | CliError::UnexpectedResponse => exit_status::FAILED,
        }
    }
}

/// The errors in a document, one a line, each after the name of the file.
fn document_errors(file: &Path, invalid: &InvalidDocument) -> String {
    let lines: Vec<String> =
        invalid.errors.iter().map(|error| format!("{}: {error}", file.display())).collect();
    lines.join("\n")
}
