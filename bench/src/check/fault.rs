//! Faults and operators' actions that disturb a simulation, and their schedules.
//!
//! A schedule is generated from a seed or given by a test. The names and fields
//! of the faults are printed with the result of a seed.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::standin::log::Mode;
use crate::standin::worker::Faults;

/// A fault or an operator's action. Durations count from its start.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Kills an entry instance without a shutdown; a new incarnation starts later.
    Kill {
        /// Index of the entry instance.
        entry: usize,
        /// Time until the new incarnation starts.
        back: Duration,
    },
    /// Stops an entry instance gracefully; a new incarnation starts after it has exited.
    Stop {
        /// Index of the entry instance.
        entry: usize,
    },
    /// Suspends the process of an entry instance; events are delivered when it resumes.
    Pause {
        /// Index of the entry instance.
        entry: usize,
        /// Time for which it is suspended.
        time: Duration,
    },
    /// Loses messages between two locations, in one direction or both. Calls to workers
    /// and the messages of callers and operators are not affected.
    Cut {
        /// Location of the senders.
        from: Location,
        /// Location of the receivers.
        to: Location,
        /// Whether messages in the other direction are lost too.
        both: bool,
        /// Time for which messages are lost.
        time: Duration,
    },
    /// Makes the log fail.
    Log {
        /// Failure mode.
        mode: Mode,
        /// Time until it works again.
        time: Duration,
    },
    /// Makes a worker fail.
    Worker {
        /// Index of the worker.
        worker: usize,
        /// Faults that the worker gets.
        faults: Faults,
        /// Time until they are cleared.
        time: Duration,
    },
    /// Crashes a worker, which loses its tasks, and restarts it.
    Crash {
        /// Index of the worker.
        worker: usize,
        /// Time until it responds again.
        time: Duration,
    },
    /// Delays the delivery of a fifth of the start requests to workers.
    DelayStarts {
        /// Added delay of a request.
        by: Duration,
        /// Time for which requests are delayed.
        time: Duration,
    },
    /// Takes a zone out of service and brings it back.
    ZoneOut {
        /// Index of the zone.
        zone: usize,
        /// Time until it is brought back.
        time: Duration,
    },
    /// Sends entry instances a hold on a zone without writing the record to the log.
    Restrict {
        /// Index of the zone.
        zone: usize,
    },
    /// Withdraws the first key of a team.
    Withdraw {
        /// Index of the team.
        team: usize,
    },
    /// Changes a team's cap.
    Cap {
        /// Index of the team.
        team: usize,
        /// New cap, in slots.
        slots: u64,
    },
    /// Requests a permit to drain and maintain an instance.
    Drain {
        /// Index of the worker.
        worker: usize,
    },
    /// Requests two permits, as two operators would, that move an instance to different pools.
    Move {
        /// Index of the worker.
        worker: usize,
    },
    /// Takes an upstream instance out of service, announced in the instance list.
    Depart {
        /// Index of the worker.
        worker: usize,
        /// Time until it returns to service, six seconds at least.
        time: Duration,
    },
}

/// A network location that sends or receives messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Location {
    /// The processes in a zone, by the index of the zone.
    Zone(usize),
    /// The log and the instance list of the platform.
    Platform,
}

/// Faults with the times at which they begin.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    /// Time since the start of the simulation and fault, in any order.
    pub faults: Vec<(Duration, Fault)>,
}

/// Sizes of the simulation that random faults apply to, as set by
/// `SimulationConfig::small` and `Load::mixed`.
const ZONE_COUNT: usize = 3;
const ENTRY_COUNT: usize = 6;
const WORKER_COUNT: usize = 18;
const TEAM_COUNT: usize = 4;

impl FaultSchedule {
    /// A schedule without faults.
    pub fn none() -> FaultSchedule {
        FaultSchedule::default()
    }

    /// A schedule of the given faults.
    pub fn new(faults: Vec<(Duration, Fault)>) -> FaultSchedule {
        FaultSchedule { faults }
    }

    /// Generates three to eight faults that begin between the third second and `end`.
    pub fn random(rng: &mut StdRng, end: Duration) -> FaultSchedule {
        let count = rng.random_range(3..9);
        let mut faults = Vec::new();
        let mut at = 3.0;
        for _ in 0..count {
            // A third of the faults begin at the same time as the one generated before.
            if rng.random_bool(0.67) {
                at = rng.random_range(3.0..end.as_secs_f64());
            }
            faults.push((Duration::from_secs_f64(at), random_fault(rng)));
        }
        faults.sort_by_key(|(at, _)| *at);
        FaultSchedule { faults }
    }

    /// One line for each fault: its time in milliseconds and its fields.
    pub fn describe(&self) -> Vec<String> {
        self.faults
            .iter()
            .map(|(at, fault)| format!("{} ms {fault:?}", at.as_millis()))
            .collect()
    }
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let time = Duration::from_millis(rng.random_range(500..9_000));
    let entry = rng.random_range(0..ENTRY_COUNT);
    let worker = rng.random_range(0..WORKER_COUNT);
    let team = rng.random_range(0..TEAM_COUNT);
    match rng.random_range(0..17) {
        0 | 1 => Fault::Kill { entry, back: time },
        2 => Fault::Stop { entry },
        3 | 4 => Fault::Pause { entry, time },
        5 | 6 => random_cut(rng, time),
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
            faults: random_worker_faults(rng),
            time,
        },
        11 => Fault::Crash { worker, time },
        12 => Fault::DelayStarts {
            by: Duration::from_millis(rng.random_range(500..5_000)),
            time,
        },
        13 => Fault::ZoneOut {
            zone: rng.random_range(0..ZONE_COUNT),
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

fn random_cut(rng: &mut StdRng, time: Duration) -> Fault {
    let from = Location::Zone(rng.random_range(0..ZONE_COUNT));
    let to = match rng.random_range(0..2) {
        0 => Location::Platform,
        _ => Location::Zone(rng.random_range(0..ZONE_COUNT)),
    };
    let (from, to) = if rng.random_bool(0.5) { (from, to) } else { (to, from) };
    Fault::Cut {
        from,
        to,
        both: rng.random_bool(0.6),
        time,
    }
}

fn random_worker_faults(rng: &mut StdRng) -> Faults {
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
