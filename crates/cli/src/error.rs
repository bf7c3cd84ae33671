//! The errors of the commands and the exit status for each error.

use std::io;
use std::path::{Path, PathBuf};

use nickelflow_control_plane::{PeerError, PrepareError};
use nickelflow_rollout::InvalidDocument;
use thiserror::Error;

use crate::settings::{LoadSettingsError, SettingsError};

/// The exit statuses of the program for failures; the status for success is 0.
pub mod exit_status {
    /// The command failed.
    pub const FAILED: u8 = 1;
    /// The arguments or a file are invalid.
    pub const USAGE: u8 = 2;
    /// The leader rejected the command, or the proposal does not exist.
    pub const REJECTED: u8 = 3;
}

/// The reason why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    UnreadableFile {
        /// The path of the file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A rules document is invalid.
    #[error("{}", format_document_errors(file, source))]
    InvalidDocument {
        /// The path of the file.
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
    #[error("--config: a file with a [rules] table is required")]
    MissingRulesSettings,
    /// The settings do not configure this scheduler as a voter, so it has no data folder to create.
    #[error("this scheduler is not a voter: it has no data folder")]
    NotVoter,
    /// The data folder cannot be created.
    #[error(transparent)]
    Prepare(#[from] PrepareError),
    /// No proposal with the requested number is stored.
    #[error("this proposal is not stored")]
    UnknownProposal,
    /// The leader rejected the command.
    #[error("{0}")]
    Rejected(PeerError),
    /// No leader answered in time. Holds the reason of each voter, one per line.
    #[error("{0}")]
    NoLeaderAnswered(String),
    /// No voter answered. Holds the error of each voter, one per line.
    #[error("{0}")]
    NoVoterAnswered(String),
    /// A voter sent a response of a type that does not match the request.
    #[error("a voter sent an unexpected response")]
    UnexpectedResponse,
}

impl CliError {
    /// Returns the exit status of the program after this error.
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
            | CliError::NoLeaderAnswered(_)
            | CliError::NoVoterAnswered(_)
            | CliError::UnexpectedResponse => exit_status::FAILED,
        }
    }
}

/// Formats the errors in a document, one per line, each preceded by the path of the file.
fn format_document_errors(file: &Path, invalid: &InvalidDocument) -> String {
    let lines: Vec<String> =
        invalid.errors.iter().map(|error| format!("{}: {error}", file.display())).collect();
    lines.join("\n")
}
