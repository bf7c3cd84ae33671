//! The arguments of the program.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// A scheduler. Without a command it runs, configured by RELAY_CONFIG.
///
/// Exit status: 0 success, 1 failure, 2 invalid arguments or files, 3 rejected by the rules.
#[derive(Debug, Parser)]
#[command(name = "nickelflow", version)]
pub struct Arguments {
    /// The scheduler's own settings; without them it shares no rules with other schedulers
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The format of the log
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log_format: LogFormat,
    /// What to do; [`CliCommand::Run`] if it is missing.
    #[command(subcommand)]
    pub command: Option<CliCommand>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum CliCommand {
    /// Schedule until a signal ends the program
    Run,
    /// Read a rules document and print all errors in it
    Check {
        /// The document
        file: PathBuf,
    },
    /// Show and change the rules that all schedulers share
    #[command(subcommand)]
    Rules(RulesCommand),
}

/// A command for the rules that all schedulers share. The names of the commands are part of the program's interface.
#[derive(Debug, Subcommand)]
pub enum RulesCommand {
    /// Create the data folder of a voter that has never voted; a voter whose folder was lost is replaced instead
    Prepare,
    /// Make the configured voters the first ones and a document the first rules, once in the life of a fleet
    #[command(name = "found")]
    Bootstrap {
        /// The document
        file: PathBuf,
    },
    /// Print the newest proposal or an earlier one
    Show {
        /// The number of the proposal
        proposal: Option<u64>,
    },
    /// Propose a document
    Propose {
        /// The document
        file: PathBuf,
        /// Propose it only if this proposal is still the newest
        #[arg(long = "over", value_name = "OVER")]
        base: Option<u64>,
    },
    /// List the stored proposals
    History,
    /// Propose the document of an earlier proposal again
    Rollback {
        /// The number of the proposal
        proposal: u64,
    },
    /// Print the state of all voters and, from the leader, of all lease holders
    Status,
    /// Remove a scheduler that is certainly down from the members, so that changes no longer wait for it
    #[command(name = "unseat")]
    RemoveMember {
        /// The name of the scheduler
        name: String,
    },
    /// Replace the set of voters
    #[command(name = "voters")]
    ChangeVoters {
        /// The numbers of all voters from now on
        ids: Vec<u64>,
    },
}
