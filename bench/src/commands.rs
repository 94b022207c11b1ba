//! Subcommands of `oriole-bench`, one module for each.

mod check;
mod measure;
mod slope;
mod standin;
mod tour;

use argh::FromArgs;
use std::process::ExitCode;

/// Subcommand with its arguments.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(check::Args),
    Measure(measure::Args),
    Slope(slope::Args),
    Tour(tour::Args),
    Standin(standin::Args),
}

impl Command {
    /// Runs the subcommand and returns the exit code of the process.
    pub(crate) fn run(self) -> anyhow::Result<ExitCode> {
        match self {
            Command::Check(args) => check::run(args),
            Command::Measure(args) => measure::run(args),
            Command::Slope(args) => slope::run(args),
            Command::Tour(args) => tour::run(args),
            Command::Standin(args) => standin::run(args),
        }
    }
}

/// Multi-threaded runtime for the subcommands that serve or call over the network.
fn runtime() -> anyhow::Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?)
}
