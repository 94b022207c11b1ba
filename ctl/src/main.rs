//! `oriolectl`: the operators' command line.

mod commands;
mod context;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use context::{Context, Output};

/// Operate a fleet: settings, teams, keys, pools, zones, drains, waves, jobs.
///
/// Exit codes: 0 done, 1 refused or failed, 2 a conflict with another operator's change.
#[derive(FromArgs)]
#[argh(example = "oriolectl --config examples/client.ini zone out zb")]
struct Args {
    /// settings file
    #[argh(option)]
    config: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: commands::Command,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let output = if args.json { Output::Json } else { Output::Human };
    let result = match Context::load(&args.config, output) {
        Ok(ctx) => args.command.run(&ctx).await,
        Err(err) => Err(err),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => context::report(&err),
    }
}
