//! nickelflow-simulator: plays scenarios in virtual time, compares policies, and traces single requests.
// Left over: not yet documented and split (see DEVELOPERS.md, "Lints").
#![allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines, clippy::type_complexity)]

mod commands;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    match commands::Cli::parse().run() {
        Ok(code) => code,
        Err(why) => {
            eprintln!("nickelflow-simulator: {why}");
            ExitCode::FAILURE
        }
    }
}
