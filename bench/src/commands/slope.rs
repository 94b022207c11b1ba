//! `oriole-bench slope`.

use std::process::ExitCode;

use argh::FromArgs;

/// Print state, memory, processor time and messages at several sizes, as JSON.
///
/// Example: oriole-bench slope
#[derive(FromArgs)]
#[argh(subcommand, name = "slope")]
pub(crate) struct Args {}

pub(super) fn run(_: Args) -> anyhow::Result<ExitCode> {
    let slopes = oriole_bench::measure::slope::run();
    println!("{}", serde_json::to_string_pretty(&slopes)?);
    Ok(ExitCode::SUCCESS)
}
