//! Scenarios that give the brief's figures, each beside its baselines.
//!
//! - [`scenario`]: loads and faults in virtual time.
//! - [`slope`]: state, memory, processor time and messages at several sizes.
//! - [`wave`]: maintenance waves over fleets of several sizes.

pub mod scenario;
pub mod slope;
pub mod wave;

use serde::Serialize;

/// What one scenario showed.
#[derive(Debug, Serialize)]
pub struct ScenarioResult {
    /// The scenario.
    pub scenario: &'static str,
    /// The seed.
    pub seed: u64,
    /// Promises broken by the product's own policy.
    pub broken: usize,
    /// Figures of the product's own policy.
    pub product: serde_json::Value,
    /// The same figures under other policies.
    pub baselines: serde_json::Value,
}

/// A scenario by name.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// What it shows.
    pub help: &'static str,
    /// Runs it.
    pub run: fn(u64) -> ScenarioResult,
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "share",
        help: "six teams want more than one pool holds: distance from weighted shares over 10 s windows",
        run: scenario::share,
    },
    Scenario {
        name: "rotation",
        help: "each queue in turn asks five times its mean, then a twentieth; spare pool",
        run: scenario::rotation,
    },
    Scenario {
        name: "zone-out",
        help: "a full fleet while a zone is taken out and brought back",
        run: scenario::zone_out,
    },
    Scenario {
        name: "zone-cut",
        help: "a full fleet while a zone is cut off from everything",
        run: scenario::zone_cut,
    },
    Scenario {
        name: "log-down",
        help: "a full fleet while the log is down for 20 s",
        run: scenario::log_down,
    },
    Scenario {
        name: "overload",
        help: "five times what the fleet can run",
        run: scenario::overload,
    },
    Scenario {
        name: "wave",
        help: "a maintenance wave at 10, 100, 1000 and 18000 instances",
        run: wave::run,
    },
];
