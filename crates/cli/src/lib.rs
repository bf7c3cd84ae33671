//! The operator's interface to the scheduler: the command line, the settings file and the commands for
//! versioned rules.

mod arguments;
mod document_file;
mod error;
mod leader_client;
mod rules_command;
mod settings;
mod status_report;

pub use arguments::{Arguments, CliCommand, LogFormat, RulesCommand};
pub use document_file::load_document;
pub use error::{exit_status, CliError};
pub use rules_command::run_rules_command;
pub use settings::{LoadSettingsError, RulesSettings, Settings, SettingsError};
