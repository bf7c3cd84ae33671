//! nickelflow-simulator: plays scenarios in virtual time, compares policies, and traces single requests.

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
