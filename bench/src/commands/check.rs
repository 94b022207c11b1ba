//! `oriole-bench check`.

use std::process::ExitCode;

use argh::FromArgs;
use oriole_bench::check::{self, SeedResult};
use oriole_daemon::timeline;
use oriolewall::event::Event;

/// Entries of the history shown with a broken promise.
const TRACE: usize = 12;

/// Run the decisions in virtual time with faults drawn from seeds.
///
/// Example: oriole-bench check --seeds 1..100
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Args {
    /// first and last seed plus one, such as 1..100
    #[argh(option)]
    seeds: String,
    /// print every seed's faults and figures
    #[argh(switch)]
    verbose: bool,
}

pub(super) fn run(args: Args) -> anyhow::Result<ExitCode> {
    let (first, last) = parse(&args.seeds)?;
    let verdicts = run_all(first, last);
    let mut broken = 0;
    for verdict in &verdicts {
        broken += verdict.violations.len();
        if args.verbose {
            println!(
                "seed {}: {} jobs, {} done; {}",
                verdict.seed,
                verdict.submitted_jobs,
                verdict.done_jobs,
                verdict.faults.join("; ")
            );
        }
        print(verdict);
    }
    println!("check: {} seeds, {broken} promises broken", last - first);
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn parse(text: &str) -> anyhow::Result<(u64, u64)> {
    let bounds = text
        .split_once("..")
        .and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    bounds.ok_or_else(|| anyhow::anyhow!("--seeds takes FIRST..END, such as 1..100; got {text:?}"))
}

/// Runs seeds side by side; each is a world of its own.
fn run_all(first: u64, last: u64) -> Vec<SeedResult> {
    let threads = std::thread::available_parallelism().map_or(1, |it| it.get()) as u64;
    std::thread::scope(|scope| {
        let worker = |offset: u64| {
            scope.spawn(move || {
                (first + offset..last)
                    .step_by(threads as usize)
                    .map(check::run_seed)
                    .collect::<Vec<_>>()
            })
        };
        let workers: Vec<_> = (0..threads).map(worker).collect();
        let mut verdicts: Vec<SeedResult> = workers.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();
        verdicts.sort_by_key(|it| it.seed);
        verdicts
    })
}

fn print(verdict: &SeedResult) {
    for breach in verdict.violations.iter().take(3) {
        println!(
            "seed {}: {:?} at {} ms: {}",
            verdict.seed, breach.guarantee, breach.at_ms, breach.details
        );
        println!("  faults: {}", verdict.faults.join("; "));
        let job = verdict
            .history
            .iter()
            .filter_map(|it| it.job)
            .find(|it| breach.details.contains(&it.to_string()));
        let about = verdict.history.iter().filter(|it| job.is_some() && it.job == job);
        for entry in about.take(TRACE) {
            println!("  {} ms attempt {} {:?}", entry.at_ms, entry.attempt, entry.kind);
        }
        let about_job = |it: &&Event| job.is_some_and(|job| timeline::format_event(it).contains(&job.to_string()));
        for event in verdict.events.iter().filter(about_job).take(TRACE) {
            println!("  {}", timeline::format_event(event));
        }
    }
}
