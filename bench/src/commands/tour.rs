//! `oriole-bench tour`.

use std::process::ExitCode;

use argh::FromArgs;

/// Run the whole path in one process and check every promise.
///
/// Example: oriole-bench tour
#[derive(FromArgs)]
#[argh(subcommand, name = "tour")]
pub(crate) struct Args {}

pub(super) fn run(_: Args) -> anyhow::Result<ExitCode> {
    let summary = super::runtime()?.block_on(oriole_bench::tour::run())?;
    let broken = summary.violations.len();
    println!(
        "tour: {} jobs, {} answered, {broken} promises broken",
        summary.jobs, summary.answered
    );
    let whole = broken == 0 && summary.jobs == summary.answered;
    Ok(if whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
