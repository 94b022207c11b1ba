//! Seeded runs of the real decision modules in virtual time.
//!
//! Several entries and maintainers, the stand-ins for log, list and workers,
//! callers, operators and a schedule of faults, all on one clock. A focused
//! test of the decisions, not a cluster simulator.
//!
//! - [`simulation`]: processes, links and the order of events.
//! - [`load`]: callers and what they ask for.
//! - [`fault`]: faults and operators' actions.
//! - [`report`]: what a run shows.

pub mod fault;
pub mod load;
pub mod report;
pub mod simulation;

use std::time::Duration;

use oriolewall::event::Event;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::checker::{self, Violation};
use crate::history::HistoryEvent;
use fault::FaultSchedule;
use load::Load;
use simulation::{Simulation, SimulationConfig};

/// What a seed showed.
#[derive(Debug)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Jobs submitted.
    pub submitted_jobs: usize,
    /// Jobs done.
    pub done_jobs: usize,
    /// Faults and operators' actions, as text.
    pub faults: Vec<String>,
    /// The history, for traces.
    pub history: Vec<HistoryEvent>,
    /// Events of all entries, for traces.
    pub events: Vec<Event>,
}

/// Time for which load runs in a checked seed.
const LOAD_TIME: Duration = Duration::from_secs(30);
/// Time for everything to end after the load.
const END_TIME: Duration = Duration::from_secs(40);

/// Runs one seed with faults drawn from it.
pub fn run_seed(seed: u64) -> SeedResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let schedule = FaultSchedule::random(&mut rng, LOAD_TIME);
    run_schedule(seed, schedule)
}

/// Runs one seed with a given schedule.
pub fn run_schedule(seed: u64, schedule: FaultSchedule) -> SeedResult {
    let faults = schedule.describe();
    let mut world = Simulation::new(SimulationConfig::small(), Load::mixed(LOAD_TIME), schedule, seed);
    world.run_until(LOAD_TIME + END_TIME);
    let history = world.history.events();
    let violations = checker::find_violations(&history);
    let events = if violations.is_empty() { Vec::new() } else { world.events() };
    let report = report::Report::new(&history);
    SeedResult {
        seed,
        violations,
        submitted_jobs: report.submitted_jobs(),
        done_jobs: report.done_jobs(),
        faults,
        history,
        events,
    }
}
