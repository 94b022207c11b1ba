//! `oriole-bench tour`: runs a small fleet in one process.

use std::process::ExitCode;

use argh::FromArgs;

/// Run a small fleet in one process and check every guarantee.
///
/// Example: oriole-bench tour
#[derive(FromArgs)]
#[argh(subcommand, name = "tour")]
pub(crate) struct Args {}

/// Runs the tour and prints a summary. Exits with a failure if a guarantee was
/// violated or not all jobs are counted as answered.
pub(super) fn run(_: Args) -> anyhow::Result<ExitCode> {
    let summary = super::runtime()?.block_on(oriole_bench::tour::run())?;
    let violations = summary.violations.len();
    println!(
        "tour: {} jobs, {} answered, {violations} guarantees violated",
        summary.jobs, summary.answered
    );
    let succeeded = violations == 0 && summary.jobs == summary.answered;
    Ok(if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
