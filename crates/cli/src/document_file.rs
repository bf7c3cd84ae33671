//! Reads rules documents from files.

use std::path::Path;

use nickelflow_rollout::RulesDocument;

use crate::error::CliError;

/// Reads a rules document from a file.
///
/// # Errors
///
/// Fails with [`CliError::UnreadableFile`], or with [`CliError::InvalidDocument`], which holds all errors in
/// the document.
pub fn load_document(file: &Path) -> Result<RulesDocument, CliError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| CliError::UnreadableFile { file: file.to_owned(), source })?;
    RulesDocument::parse(&text).map_err(|source| CliError::InvalidDocument { file: file.to_owned(), source })
}
