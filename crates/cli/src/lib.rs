//! What an operator gives the scheduler: options, the file of its own settings, and the commands for rules with versions.
// Left over: not yet documented and split (see DEVELOPERS.md, "Lints").
#![allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines, clippy::type_complexity)]

mod options;
mod rules;
mod settings;

pub use options::{Do, LogFormat, Options, RulesDo};
pub use rules::{check, rules};
pub use settings::{RulesSettings, Settings};

/// How the program ends, beside 0 for success.
pub mod status {
    /// It could not do what it was told.
    pub const FAILED: u8 = 1;
    /// The words or a file make no sense.
    pub const USAGE: u8 = 2;
    /// The rules, or whoever decides on them, say no.
    pub const REFUSED: u8 = 3;
}

/// Why a command has failed, and with which status it ends.
#[derive(Debug, PartialEq, Eq)]
pub struct Failed(pub u8, pub String);
