//! The command line arguments of the program.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// A scheduler of requests. Without a command, it runs as configured by RELAY_CONFIG.
///
/// Exit status: 0 success, 1 failure, 2 invalid arguments or files, 3 rejected by the rules.
#[derive(Debug, Parser)]
#[command(name = "nickelflow", version)]
pub struct Arguments {
    /// The scheduler's settings file; without it, the scheduler shares no rules with other schedulers
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The format of log lines
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log_format: LogFormat,
    /// The command to execute; [`CliCommand::Run`] if it is missing.
    #[command(subcommand)]
    pub command: Option<CliCommand>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum CliCommand {
    /// Run the scheduler until a signal stops it
    Run,
    /// Validate a rules document and print all errors in it
    Check {
        /// The file of the document
        file: PathBuf,
    },
    /// Show or change the rules that all schedulers share
    #[command(subcommand)]
    Rules(RulesCommand),
}

/// A command for the rules that all schedulers share. The names of the commands are part of the program's
/// interface.
#[derive(Debug, Subcommand)]
pub enum RulesCommand {
    /// Create the data folder of a voter that has never voted; replace a voter whose folder is lost instead
    Prepare,
    /// Bootstrap a fleet with the configured voters and a rules document; possible only once per fleet
    #[command(name = "found")]
    Bootstrap {
        /// The file of the document
        file: PathBuf,
    },
    /// Print the newest proposal, or the one with the given number
    Show {
        /// The number of the proposal
        proposal: Option<u64>,
    },
    /// Propose a document
    Propose {
        /// The file of the document
        file: PathBuf,
        /// Propose the document only if the proposal with this number is still the newest
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
    /// Print the status of all voters and, as known to the leader, of the rollout and all members
    Status,
    /// Remove a scheduler from the members, so that changes no longer wait for it; it must certainly be down
    #[command(name = "unseat")]
    RemoveMember {
        /// The name of the scheduler
        name: String,
    },
    /// Replace the set of voters
    #[command(name = "voters")]
    ChangeVoters {
        /// The ids of all voters in the new set
        ids: Vec<u64>,
    },
}
