//! `oriole-bench measure`: runs one measurement scenario.

use std::process::ExitCode;

use argh::FromArgs;
use oriole_bench::measure::SCENARIOS;

/// Print the figures of one scenario and of its baselines as a line of JSON.
///
/// Example: oriole-bench measure --scenario zone-out --seed 1
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Args {
    /// name of the scenario
    #[argh(option, default = "String::new()")]
    scenario: String,
    /// seed of the loads, the clocks and the drain times
    #[argh(option, default = "1")]
    seed: u64,
    /// list the scenarios
    #[argh(switch)]
    list: bool,
}

/// Prints the figures of the scenario, or the list of scenarios. Exits with a
/// failure if the product's own policy violated a guarantee.
pub(super) fn run(args: Args) -> anyhow::Result<ExitCode> {
    if args.list {
        for scenario in SCENARIOS {
            println!("{:<10} {}", scenario.name, scenario.help);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let found = SCENARIOS.iter().find(|it| it.name == args.scenario);
    let Some(scenario) = found else {
        anyhow::bail!("unknown scenario {:?}; list the scenarios with --list", args.scenario);
    };
    let result = (scenario.run)(args.seed);
    println!("{}", serde_json::to_string(&result)?);
    Ok(if result.broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
