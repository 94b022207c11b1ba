//! `oriole-bench slope`: measures cost by size.

use std::process::ExitCode;

use argh::FromArgs;

/// Print the size of the state, memory, processing time and messages at several sizes, as JSON.
///
/// Example: oriole-bench slope
#[derive(FromArgs)]
#[argh(subcommand, name = "slope")]
pub(crate) struct Args {}

/// Measures all sizes and prints the figures.
pub(super) fn run(_: Args) -> anyhow::Result<ExitCode> {
    let figures = oriole_bench::measure::slope::run();
    println!("{}", serde_json::to_string_pretty(&figures)?);
    Ok(ExitCode::SUCCESS)
}
