//! `oriole-bench`: stand-ins, tour, checks and measurements.

mod commands;

use argh::FromArgs;

/// Run stand-ins, the tour, checks and measurements of oriolewall.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: commands::Command,
}

fn main() -> anyhow::Result<std::process::ExitCode> {
    let args: Args = argh::from_env();
    args.command.run()
}
