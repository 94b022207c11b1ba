//! Acceptance of submissions by one pool, at several arrival rates and while the log is slow:
//! what the log stores in time, what callers are told, and how long they wait.
//!
//! Requests go through ranked appenders. The first baseline is the previous build, in which an
//! instance appended by itself until one of its appends took 40 ms. The second one makes one
//! append for each submission and tries again after a time limit.

mod model;
mod previous;
mod single;

use std::time::Duration;

use serde::Serialize;
use serde_json::json;

pub use self::model::{Policy, World};
pub use self::single::single;
use super::ScenarioResult;

/// Time for which submissions arrive.
const ARRIVALS: Duration = Duration::from_secs(8);
/// Start and end of the time in which the log is slow.
const SLOW: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(6));
/// Arrival rates, submissions a second.
const RATES: [u32; 3] = [100, 440, 1300];
/// The same with a log that is not slow only.
const HIGH_RATES: [u32; 4] = [300, 700, 2000, 3000];
/// Numbers of entry instances, of which each third owns a partition.
const INSTANCES: [usize; 2] = [40, 150];
/// Time of an answer of the log that is not slow, milliseconds.
const USUAL_ANSWER_MS: u32 = 4;
/// Times of an answer while the log is slow, milliseconds; the first one is that of a log that is
/// not slow.
const ANSWERS_MS: [u32; 4] = [4, 40, 120, 320];

/// Load and faults of one run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Submissions a second.
    pub rate: u32,
    /// Number of entry instances.
    pub instances: usize,
    /// Factor by which the log is slower than usual for four seconds.
    pub slowdown: f64,
    /// Time between two restarts of instances while the log is slow, each of which forgets what
    /// the instance has learned.
    pub restart_interval: Option<Duration>,
    /// Whether the partition refuses all appends for one second, in which the log is not slow.
    pub refuses: bool,
    /// Whether the first appender is paused for two seconds while the log is slow.
    pub pauses_appender: bool,
}

impl Load {
    /// Load without faults.
    pub fn new(rate: u32, instances: usize) -> Load {
        Load {
            rate,
            instances,
            slowdown: 1.0,
            restart_interval: None,
            refuses: false,
            pauses_appender: false,
        }
    }

    /// Answers of the log take this time for four seconds, and an instance restarts every 100 ms.
    pub fn slow(self, answer_ms: u32) -> Load {
        Load {
            slowdown: f64::from(answer_ms) / f64::from(USUAL_ANSWER_MS),
            restart_interval: Some(Duration::from_millis(100)),
            ..self
        }
    }
}

/// What became of the submissions of one run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcome {
    /// Submissions.
    pub offered: u32,
    /// Submissions that were answered as stored before their deadline.
    pub accepted: u32,
    /// Submissions that were answered as not stored (503).
    pub refused: u32,
    /// Submissions that were answered as possibly stored (504).
    pub unknown: u32,
    /// Submissions that arrived while the log was slow.
    pub offered_while_slow: u32,
    /// Accepted ones of these.
    pub accepted_while_slow: u32,
    /// Median and 99th percentile of the time until a submission is accepted, milliseconds.
    pub wait_ms: (u64, u64),
    /// Median of the submissions that arrive from one to two seconds after the log was slow.
    pub recovered_ms: u64,
    /// Appends sent to the partition.
    pub appends: u32,
    /// Appends that the partition refused.
    pub refused_appends: u32,
    /// Untrue answers: accepted and not stored, or refused and stored.
    pub broken: u32,
}

/// Runs the product's decisions.
pub fn ranked(load: Load, seed: u64) -> Outcome {
    World::new(load, Policy::Ranked, seed).run()
}

/// Runs the decisions of the previous build.
pub fn previous(load: Load, seed: u64) -> Outcome {
    World::new(load, Policy::Previous, seed).run()
}

/// Compares the policies.
pub fn run(seed: u64) -> ScenarioResult {
    let mut loads: Vec<(u32, Load)> = Vec::new();
    for instances in INSTANCES {
        for answer_ms in ANSWERS_MS {
            loads.extend(RATES.map(|rate| (answer_ms, Load::new(rate, instances).slow(answer_ms))));
        }
        loads.extend(HIGH_RATES.map(|rate| (USUAL_ANSWER_MS, Load::new(rate, instances))));
    }
    let paused = loads.iter().filter(|(answer_ms, _)| USUAL_ANSWER_MS < *answer_ms);
    let paused: Vec<(u32, Load)> = paused
        .map(|(answer_ms, load)| {
            (
                *answer_ms,
                Load {
                    pauses_appender: true,
                    ..*load
                },
            )
        })
        .collect();
    loads.extend(paused);
    loads.extend(INSTANCES.map(|instances| {
        let load = Load::new(RATES[1], instances);
        (USUAL_ANSWER_MS, Load { refuses: true, ..load })
    }));
    let mut broken = 0;
    let mut rows = |decide: fn(Load, u64) -> Outcome, counts: bool| -> Vec<serde_json::Value> {
        let row = |(answer_ms, load): &(u32, Load)| {
            let outcome = decide(*load, seed);
            broken += if counts { outcome.broken as usize } else { 0 };
            json!({
                "rate": load.rate,
                "instances": load.instances,
                "answer_ms": answer_ms,
                "appender_paused": load.pauses_appender,
                "refuses": load.refuses,
                "outcome": outcome,
            })
        };
        loads.iter().map(row).collect()
    };
    let product = rows(ranked, true);
    let previous = rows(previous, false);
    let single: Vec<Outcome> = RATES.iter().map(|rate| single(*rate, seed)).collect();
    ScenarioResult {
        scenario: "acceptance",
        seed,
        broken,
        product: json!(product),
        baselines: json!({ "previous build": previous, "one append for each": single }),
    }
}
