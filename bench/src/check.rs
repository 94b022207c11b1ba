//! Seeded runs of the real decision modules in virtual time.
//!
//! Several entries and maintainers, the stand-ins for log, list and workers,
//! callers, operators and a schedule of faults, all on one clock. A focused
//! test of the decisions, not a cluster simulator.
//!
//! - [`world`]: processes, links and the order of events.
//! - [`load`]: callers and what they ask for.
//! - [`fault`]: faults and operators' actions.
//! - [`report`]: what a run shows.

pub mod fault;
pub mod load;
pub mod report;
pub mod world;

use std::time::Duration;

use oriolewall::event::Event;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::checker::{self, Breach};
use crate::history::Entry;
use fault::Schedule;
use load::Load;
use world::{Shape, World};

/// What a seed showed.
#[derive(Debug)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// Broken promises.
    pub breaches: Vec<Breach>,
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs done.
    pub done: usize,
    /// Faults and operators' actions, as text.
    pub faults: Vec<String>,
    /// The history, for traces.
    pub history: Vec<Entry>,
    /// Events of all entries, for traces.
    pub events: Vec<Event>,
}

/// Time for which load runs in a checked seed.
const LOAD_TIME: Duration = Duration::from_secs(30);
/// Time for everything to end after the load.
const END_TIME: Duration = Duration::from_secs(40);

/// Runs one seed with faults drawn from it.
pub fn run(seed: u64) -> Verdict {
    let mut rng = StdRng::seed_from_u64(seed);
    let schedule = Schedule::draw(&mut rng, LOAD_TIME);
    run_with(seed, schedule)
}

/// Runs one seed with a given schedule.
pub fn run_with(seed: u64, schedule: Schedule) -> Verdict {
    let faults = schedule.describe();
    let mut world = World::new(Shape::small(), Load::mixed(LOAD_TIME), schedule, seed);
    world.run(LOAD_TIME + END_TIME);
    let history = world.history.entries();
    let breaches = checker::check(&history);
    let events = if breaches.is_empty() { Vec::new() } else { world.events() };
    let report = report::Report::new(&history);
    Verdict {
        seed,
        breaches,
        jobs: report.jobs(),
        done: report.done(),
        faults,
        history,
        events,
    }
}
