//! Simulations in virtual time, each reproducible from its seed.
//!
//! A simulation runs the state machines of entry instances and maintenance
//! processes, stand-ins for the platform, callers and operators on one virtual
//! clock while faults occur. Its history is then checked for violations of the
//! system's guarantees. It tests the decisions of the state machines: there is
//! no network I/O, and processing takes no time.
//!
//! - [`simulation`]: processes, network and event queue.
//! - [`load`]: jobs that callers submit.
//! - [`fault`]: faults and operators' actions, and their schedules.
//! - [`report`]: statistics of a run.

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

/// Result of the simulation of one seed.
#[derive(Debug)]
pub struct SeedResult {
    /// Seed that reproduces the run, together with its fault schedule.
    pub seed: u64,
    /// Violations of guarantees; empty if the run passed.
    pub violations: Vec<Violation>,
    /// Number of jobs that callers submitted.
    pub submitted_jobs: usize,
    /// Number of jobs that ran and succeeded.
    pub done_jobs: usize,
    /// Faults and operators' actions, one line each.
    pub faults: Vec<String>,
    /// Everything that happened, in time order.
    pub history: Vec<HistoryEvent>,
    /// Timeline events of all entry instances; empty if there are no violations.
    pub events: Vec<Event>,
}

/// Duration of job submission; generated faults begin before it ends.
const LOAD_TIME: Duration = Duration::from_secs(30);
/// Time after `LOAD_TIME` in which the remaining jobs and faults end.
const COMPLETION_TIME: Duration = Duration::from_secs(40);

/// Simulates one seed with a fault schedule generated from the seed.
pub fn run_seed(seed: u64) -> SeedResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let schedule = FaultSchedule::random(&mut rng, LOAD_TIME);
    run_schedule(seed, schedule)
}

/// Simulates one seed with a given fault schedule and checks the history.
pub fn run_schedule(seed: u64, schedule: FaultSchedule) -> SeedResult {
    let faults = schedule.describe();
    let mut simulation = Simulation::new(SimulationConfig::small(), Load::mixed(LOAD_TIME), schedule, seed);
    simulation.run_until(LOAD_TIME + COMPLETION_TIME);
    let history = simulation.history.events();
    let violations = checker::find_violations(&history);
    let events = if violations.is_empty() { Vec::new() } else { simulation.events() };
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
