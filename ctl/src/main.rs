//! `oriolectl`: the command line with which operators inspect and change a fleet.

mod commands;
mod context;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use context::{Context, OutputFormat};

/// Inspect and change a fleet: settings, teams, keys, pools, instances, zones, drains, waves and jobs.
///
/// Exit codes: 0 success, 1 refused or failed, 2 conflict with another operator's change.
#[derive(FromArgs)]
#[argh(example = "oriolectl --config examples/client.ini zone out zb")]
struct Args {
    /// path of the settings file
    #[argh(option)]
    config: PathBuf,
    /// print results as JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: commands::Command,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let output_format = if args.json { OutputFormat::Json } else { OutputFormat::Human };
    let result = match Context::load(&args.config, output_format) {
        Ok(ctx) => args.command.run(&ctx).await,
        Err(err) => Err(err),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => context::print_error(&err),
    }
}
