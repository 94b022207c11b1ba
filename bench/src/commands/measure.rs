//! `oriole-bench measure`.

use std::process::ExitCode;

use argh::FromArgs;
use oriole_bench::measure::SCENARIOS;

/// Print one scenario's figures as a JSON line, beside its baselines.
///
/// Example: oriole-bench measure --scenario zone-out --seed 1
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Args {
    /// which scenario
    #[argh(option, default = "String::new()")]
    scenario: String,
    /// seed of loads and clocks
    #[argh(option, default = "1")]
    seed: u64,
    /// name the scenarios
    #[argh(switch)]
    list: bool,
}

pub(super) fn run(args: Args) -> anyhow::Result<ExitCode> {
    if args.list {
        for scenario in SCENARIOS {
            println!("{:<10} {}", scenario.name, scenario.help);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let found = SCENARIOS.iter().find(|it| it.name == args.scenario);
    let Some(scenario) = found else {
        anyhow::bail!("no scenario {:?}; name them with --list", args.scenario);
    };
    let line = (scenario.run)(args.seed);
    println!("{}", serde_json::to_string(&line)?);
    Ok(if line.broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
