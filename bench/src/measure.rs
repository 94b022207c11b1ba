//! Measurements of the product, each with the same figures for baseline policies.
//!
//! Scenarios run in one process and in virtual time. Memory and processing time
//! are measured on the machine that runs them.
//!
//! - [`acceptance`]: acceptance of submissions at several arrival rates.
//! - [`blocked`]: processor time of a placement pass with jobs that cannot be placed.
//! - [`owner`]: processor time of a pool's owner.
//! - [`scenario`]: entry instances and workers under load and faults.
//! - [`slope`]: size of the state, memory, processing time and messages at several
//!   sizes of the fleet.
//! - [`wave`]: maintenance waves over fleets of several sizes.

pub mod acceptance;
pub mod blocked;
pub mod owner;
pub mod scenario;
pub mod slope;
pub mod wave;

use serde::Serialize;

/// Result of one scenario, printed as one line of JSON.
#[derive(Debug, Serialize)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Number of violated guarantees under the product's own policy.
    pub broken: usize,
    /// Figures under the product's own policy, by name.
    pub product: serde_json::Value,
    /// The same figures under the baseline policies, by policy and name.
    pub baselines: serde_json::Value,
}

/// A scenario that the command line can run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Description that `--list` prints.
    pub help: &'static str,
    /// Runs the scenario with a seed.
    pub run: fn(u64) -> ScenarioResult,
}

/// All scenarios, in the order in which `--list` prints them.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "share",
        help: "six teams ask for more than one pool holds: distance from weighted shares over 10 s windows",
        run: scenario::share,
    },
    Scenario {
        name: "rotation",
        help: "each team in turn submits five times its mean, then a twentieth; spare pool",
        run: scenario::rotation,
    },
    Scenario {
        name: "zone-out",
        help: "a full fleet while a zone is taken out of service and brought back",
        run: scenario::zone_out,
    },
    Scenario {
        name: "zone-cut",
        help: "a full fleet while a zone is cut off from the platform and the other zones",
        run: scenario::zone_cut,
    },
    Scenario {
        name: "log-down",
        help: "a full fleet while the log is down for 15 s",
        run: scenario::log_down,
    },
    Scenario {
        name: "overload",
        help: "more than five times what the fleet can run",
        run: scenario::overload,
    },
    Scenario {
        name: "acceptance",
        help: "100 to 3000 submissions a second to one pool: accepted in time, and waits",
        run: acceptance::run,
    },
    Scenario {
        name: "owner",
        help: "processor time of a pool's owner with 200 to 800 workers, also with too much work",
        run: owner::run,
    },
    Scenario {
        name: "blocked",
        help: "processor time of a placement pass with 10 to 10000 jobs that cannot be placed",
        run: blocked::run,
    },
    Scenario {
        name: "wave",
        help: "a maintenance wave at 10, 100, 1000 and 18000 instances",
        run: wave::run,
    },
];
