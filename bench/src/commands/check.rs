//! `oriole-bench check`: simulates a range of seeds and prints the violations found.

use std::process::ExitCode;

use argh::FromArgs;
use oriole_bench::check::{self, SeedResult};
use oriole_daemon::timeline;
use oriolewall::event::Event;

/// Upper bound of the history events, and of the timeline events, printed with a violation.
const MAX_TRACE_EVENTS: usize = 12;

/// Simulate oriolewall in virtual time, with faults generated from seeds.
///
/// Example: oriole-bench check --seeds 1..100
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Args {
    /// range of seeds, such as 1..100; the end is not included
    #[argh(option)]
    seeds: String,
    /// print the faults and job counts of every seed
    #[argh(switch)]
    verbose: bool,
}

pub(super) fn run(args: Args) -> anyhow::Result<ExitCode> {
    let (first, end) = parse_seed_range(&args.seeds)?;
    let results = run_seeds(first, end);
    let mut violation_count = 0;
    for result in &results {
        violation_count += result.violations.len();
        if args.verbose {
            println!(
                "seed {}: {} jobs, {} done; {}",
                result.seed,
                result.submitted_jobs,
                result.done_jobs,
                result.faults.join("; ")
            );
        }
        print_violations(result);
    }
    println!("check: {} seeds, {violation_count} guarantees violated", end - first);
    Ok(if violation_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Parses `FIRST..END`.
fn parse_seed_range(text: &str) -> anyhow::Result<(u64, u64)> {
    let range = text
        .split_once("..")
        .and_then(|(first, end)| Some((first.parse().ok()?, end.parse().ok()?)));
    range.ok_or_else(|| anyhow::anyhow!("--seeds expects FIRST..END, such as 1..100, but got {text:?}"))
}

/// Simulates the seeds on all cores and returns the results in the order of the seeds.
fn run_seeds(first: u64, end: u64) -> Vec<SeedResult> {
    let cores = std::thread::available_parallelism().map_or(1, |it| it.get()) as u64;
    std::thread::scope(|scope| {
        let spawn_thread =
            |core: u64| scope.spawn(move || (first + core..end).step_by(cores as usize).map(check::run_seed).collect::<Vec<_>>());
        let threads: Vec<_> = (0..cores).map(spawn_thread).collect();
        let mut results: Vec<SeedResult> = threads.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();
        results.sort_by_key(|it| it.seed);
        results
    })
}

/// Prints the first three violations of a seed, each with its faults and a trace of the job it names.
fn print_violations(result: &SeedResult) {
    for violation in result.violations.iter().take(3) {
        println!(
            "seed {}: {:?} at {} ms: {}",
            result.seed, violation.guarantee, violation.at_ms, violation.details
        );
        println!("  faults: {}", result.faults.join("; "));
        let job = result
            .history
            .iter()
            .filter_map(|it| it.job)
            .find(|it| violation.details.contains(&it.to_string()));
        let job_history = result.history.iter().filter(|it| job.is_some() && it.job == job);
        for event in job_history.take(MAX_TRACE_EVENTS) {
            println!("  {} ms attempt {} {:?}", event.at_ms, event.attempt, event.kind);
        }
        let names_job = |it: &&Event| job.is_some_and(|job| timeline::format_event(it).contains(&job.to_string()));
        for event in result.events.iter().filter(names_job).take(MAX_TRACE_EVENTS) {
            println!("  {}", timeline::format_event(event));
        }
    }
}
