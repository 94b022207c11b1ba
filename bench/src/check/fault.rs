//! Faults and operators' actions, drawn from a seed or written down.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::standin::log::Mode;
use crate::standin::worker::Faults;

/// Something that happens at an instant.
#[derive(Clone, Debug)]
pub enum Fault {
    /// An entry dies; a new incarnation starts after the time.
    Kill {
        /// Index of the entry.
        entry: usize,
        /// Time until its replacement starts.
        back: Duration,
    },
    /// An entry is stopped gracefully and replaced when it has ended.
    Stop {
        /// Index of the entry.
        entry: usize,
    },
    /// An entry's process stands still.
    Pause {
        /// Index of the entry.
        entry: usize,
        /// For how long.
        time: Duration,
    },
    /// Messages between two places are lost, in one direction or both.
    Cut {
        /// The sending place.
        from: Location,
        /// The receiving place.
        to: Location,
        /// Whether the other direction is lost too.
        both: bool,
        /// For how long.
        time: Duration,
    },
    /// The log misbehaves.
    Log {
        /// How.
        mode: Mode,
        /// For how long.
        time: Duration,
    },
    /// A worker misbehaves.
    Worker {
        /// Index of the worker.
        worker: usize,
        /// How.
        faults: Faults,
        /// For how long.
        time: Duration,
    },
    /// A worker crashes and comes back.
    Crash {
        /// Index of the worker.
        worker: usize,
        /// For how long it is away.
        time: Duration,
    },
    /// Some start requests are delayed in flight.
    DelayStarts {
        /// By how much.
        by: Duration,
        /// For how long.
        time: Duration,
    },
    /// Operators take a zone out and bring it back.
    ZoneOut {
        /// Index of the zone.
        zone: usize,
        /// For how long.
        time: Duration,
    },
    /// Operators restrict a zone directly and their record never follows.
    Restrict {
        /// Index of the zone.
        zone: usize,
    },
    /// Operators withdraw a key.
    Withdraw {
        /// Index of the team.
        team: usize,
    },
    /// Operators change a cap.
    Cap {
        /// Index of the team.
        team: usize,
        /// New cap.
        slots: u64,
    },
    /// Operators ask for a maintenance permit.
    Drain {
        /// Index of the worker.
        worker: usize,
    },
    /// Two operators move the same instance to different pools.
    Move {
        /// Index of the worker.
        worker: usize,
    },
    /// An upstream departs and is replaced later.
    Depart {
        /// Index of the worker.
        worker: usize,
        /// Time until its replacement serves.
        time: Duration,
    },
}

/// A place that messages come from or go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Location {
    /// A zone.
    Zone(usize),
    /// The platform: log and list.
    Platform,
}

/// Faults in time order.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    /// What happens when.
    pub faults: Vec<(Duration, Fault)>,
}

/// Zones, entries, workers and teams that schedules draw from.
const ZONES: usize = 3;
const ENTRIES: usize = 6;
const WORKERS: usize = 18;
const TEAMS: usize = 4;

impl FaultSchedule {
    /// No faults.
    pub fn none() -> FaultSchedule {
        FaultSchedule::default()
    }

    /// A schedule of the given faults.
    pub fn new(faults: Vec<(Duration, Fault)>) -> FaultSchedule {
        FaultSchedule { faults }
    }

    /// Draws a handful of faults; some come together, some twice.
    pub fn random(rng: &mut StdRng, time: Duration) -> FaultSchedule {
        let count = rng.random_range(3..9);
        let mut faults = Vec::new();
        let mut at = 3.0;
        for _ in 0..count {
            // A third of the faults come with the one before.
            if rng.random_bool(0.67) {
                at = rng.random_range(3.0..time.as_secs_f64());
            }
            faults.push((Duration::from_secs_f64(at), draw_one(rng)));
        }
        faults.sort_by_key(|(at, _)| *at);
        FaultSchedule { faults }
    }

    /// One line per item.
    pub fn describe(&self) -> Vec<String> {
        self.faults
            .iter()
            .map(|(at, fault)| format!("{} ms {fault:?}", at.as_millis()))
            .collect()
    }
}

fn draw_one(rng: &mut StdRng) -> Fault {
    let time = Duration::from_millis(rng.random_range(500..9_000));
    let entry = rng.random_range(0..ENTRIES);
    let worker = rng.random_range(0..WORKERS);
    let team = rng.random_range(0..TEAMS);
    match rng.random_range(0..17) {
        0 | 1 => Fault::Kill { entry, back: time },
        2 => Fault::Stop { entry },
        3 | 4 => Fault::Pause { entry, time },
        5 | 6 => draw_cut(rng, time),
        7 => Fault::Log { mode: Mode::Down, time },
        8 => Fault::Log {
            mode: Mode::Slow {
                ms: rng.random_range(100..4_000),
            },
            time,
        },
        9 => Fault::Log {
            mode: Mode::LoseAnswers,
            time,
        },
        10 => Fault::Worker {
            worker,
            faults: draw_worker_faults(rng),
            time,
        },
        11 => Fault::Crash { worker, time },
        12 => Fault::DelayStarts {
            by: Duration::from_millis(rng.random_range(500..5_000)),
            time,
        },
        13 => Fault::ZoneOut {
            zone: rng.random_range(0..ZONES),
            time: time.max(Duration::from_secs(4)),
        },
        14 => Fault::Withdraw { team },
        15 => Fault::Cap {
            team,
            slots: rng.random_range(0..16),
        },
        _ => match rng.random_range(0..3) {
            0 => Fault::Drain { worker },
            1 => Fault::Move { worker },
            _ => Fault::Depart { worker, time },
        },
    }
}

fn draw_cut(rng: &mut StdRng, time: Duration) -> Fault {
    let from = Location::Zone(rng.random_range(0..ZONES));
    let to = match rng.random_range(0..2) {
        0 => Location::Platform,
        _ => Location::Zone(rng.random_range(0..ZONES)),
    };
    let (from, to) = if rng.random_bool(0.5) { (from, to) } else { (to, from) };
    Fault::Cut {
        from,
        to,
        both: rng.random_bool(0.6),
        time,
    }
}

fn draw_worker_faults(rng: &mut StdRng) -> Faults {
    let mut faults = Faults::default();
    match rng.random_range(0..5) {
        0 => faults.fail_all = true,
        1 => faults.paused = true,
        2 => faults.lose_answers = true,
        3 => faults.cross_answers = true,
        _ => faults.cut_answers = true,
    }
    faults
}
