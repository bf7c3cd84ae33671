//! The words on the command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// A scheduler: without words it runs, told all it needs by RELAY_CONFIG.
///
/// Ends with 0 if all went well, 1 if not, 2 if the words or a file make no sense, 3 if the rules say no.
#[derive(Debug, Parser)]
#[command(name = "nickelflow", version)]
pub struct Options {
    /// The scheduler's own settings; without them it agrees on nothing with others.
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log_format: LogFormat,
    #[command(subcommand)]
    pub to_do: Option<Do>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
pub enum Do {
    /// Schedule until told to end.
    Run,
    /// Read a document of rules, and tell all that is wrong with it.
    Check { file: PathBuf },
    /// Look at and change the rules that all schedulers agree on.
    #[command(subcommand)]
    Rules(RulesDo),
}

#[derive(Debug, Subcommand)]
pub enum RulesDo {
    /// Make the data folder of a voter that has never voted. One whose folder was lost is replaced instead.
    Prepare,
    /// Make the configured voters the first ones, and a document the first rules. Once in a fleet's life.
    Found { file: PathBuf },
    /// Print the newest proposal, or an earlier one.
    Show { proposal: Option<u64> },
    /// Have a document put in force.
    Propose {
        file: PathBuf,
        /// Only if this proposal is still the newest; otherwise whatever is the newest now.
        #[arg(long)]
        over: Option<u64>,
    },
    /// List the proposals that are kept.
    History,
    /// Have an earlier proposal put in force again.
    Rollback { proposal: u64 },
    /// How all that can be reached stand.
    Status,
    /// Take the seat of a scheduler that is surely down, so that changes wait for it no longer.
    Unseat { name: String },
    /// Have these voters, by number, from now on.
    Voters { ids: Vec<u64> },
}
