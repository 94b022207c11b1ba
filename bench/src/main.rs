//! Command line of `oriole-bench`; each subcommand is a module in `commands`.

mod commands;

use argh::FromArgs;

/// Simulate, check and measure oriolewall, and serve stand-ins for its platform.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: commands::Command,
}

fn main() -> anyhow::Result<std::process::ExitCode> {
    let args: Args = argh::from_env();
    args.command.run()
}
