//! Loads and faults in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolewall::entry::{CapDivision, CatchUpSource, Policy, SchedulingPolicy};
use oriolewall::share::{self, SlotDemand};
use serde_json::{Value, json};

use crate::check::fault::{Fault, FaultSchedule, Location};
use crate::check::load::{Load, TeamLoad};
use crate::check::report::Report;
use crate::check::simulation::{Simulation, SimulationConfig};
use crate::checker;
use crate::measure::ScenarioResult;

/// Load begins two seconds into a run.
const LOAD_FROM: Duration = Duration::from_secs(2);
const LOAD_TIME: Duration = Duration::from_secs(50);
const FAULT_AT: Duration = Duration::from_secs(15);
const FAULT_TIME: Duration = Duration::from_secs(15);
/// Windows for nearness to share.
const WINDOW_MS: u64 = 10_000;
/// Queues need this long to fill.
const WARM_UP: Duration = Duration::from_secs(5);

struct Outcome {
    report: Report,
    broken: usize,
    appends: u64,
    seconds: f64,
}

fn run(shape: SimulationConfig, load: &Load, schedule: FaultSchedule, seed: u64) -> Outcome {
    let end = LOAD_FROM + load.submit_time;
    let mut world = Simulation::new(shape, load.clone(), schedule, seed);
    world.run_until(end);
    let history = world.history.events();
    Outcome {
        report: Report::new(&history),
        broken: checker::find_violations(&history).len(),
        appends: world.append_count,
        seconds: end.as_secs_f64(),
    }
}

/// Runs the product's policy and the baselines on the same load and faults.
fn compare<F>(
    scenario: &'static str,
    seed: u64,
    shape: &SimulationConfig,
    load: &Load,
    schedule: &FaultSchedule,
    figures: F,
) -> ScenarioResult
where
    F: Fn(&Outcome) -> Value,
{
    let own = Policy::default();
    let policies = [
        (
            "static caps",
            Policy {
                caps: CapDivision::Static,
                ..own
            },
        ),
        (
            "first come first served",
            Policy {
                scheduling: SchedulingPolicy::FirstCome,
                ..own
            },
        ),
        (
            "no peer relay",
            Policy {
                catch_up: CatchUpSource::LogOnly,
                ..own
            },
        ),
    ];
    let with = |policy: Policy| run(SimulationConfig { policy, ..shape.clone() }, load, schedule.clone(), seed);
    let (product, others) = std::thread::scope(|scope| {
        let others: Vec<_> = policies.iter().map(|(_, policy)| scope.spawn(|| with(*policy))).collect();
        let product = with(own);
        let others: Vec<Outcome> = others.into_iter().filter_map(|it| it.join().ok()).collect();
        (product, others)
    });
    let named = policies
        .iter()
        .zip(&others)
        .map(|((name, _), outcome)| ((*name).to_owned(), figures(outcome)));
    let baselines: serde_json::Map<String, Value> = named.collect();
    ScenarioResult {
        scenario,
        seed,
        broken: product.broken,
        product: figures(&product),
        baselines: Value::Object(baselines),
    }
}

/// Three zones with three entries each; a member pool has three workers in each zone.
fn site(pools: &[&str]) -> SimulationConfig {
    SimulationConfig {
        entries_per_zone: 3,
        pools: pools.iter().map(|it| ((*it).to_owned(), 3)).collect(),
        slots_per_worker: 4,
        workers_per_rack: 4,
        ..SimulationConfig::small()
    }
}

fn team(path: &str, weight: u64, cap: u64, pools: &str, rate: f64) -> TeamLoad {
    TeamLoad {
        path: path.to_owned(),
        weight,
        cap,
        pools: pools.to_owned(),
        jobs_per_second: rate,
        mean_run_time: Duration::from_millis(400),
        run_once_share: 0.3,
        urgent_share: 0.0,
        poison_share: 0.0,
    }
}

fn load(teams: Vec<TeamLoad>) -> Load {
    Load {
        teams,
        submit_time: LOAD_TIME,
        burst_time: None,
        deadline: Duration::from_secs(6),
        cancelled_share: 0.0,
    }
}

/// Six teams on one pool of 36 slots; a run takes 0.46 s on average.
fn full_load() -> Load {
    let weights = [
        ("org/a/t", 3),
        ("org/b/t", 2),
        ("org/c/t", 2),
        ("org/d/t", 1),
        ("org/e/t", 1),
        ("org/f/t", 1),
    ];
    load(
        weights
            .iter()
            .map(|(path, weight)| team(path, *weight, 30, "shared", 40.0))
            .collect(),
    )
}

/// Distance from weighted shares when all is full.
pub fn share(seed: u64) -> ScenarioResult {
    let load = full_load();
    compare("share", seed, &site(&["shared"]), &load, &FaultSchedule::none(), |outcome| {
        json!({
            "mean_deviation_points": round(mean_deviation(&outcome.report, &load)),
            "slots_used_percent": round(used_percent(outcome, &load, 36.0)),
            "appends_per_second": round(outcome.appends as f64 / outcome.seconds),
        })
    })
}

/// Mean over windows and teams of the distance between share got and share due, in points.
fn mean_deviation(report: &Report, load: &Load) -> f64 {
    let wants: Vec<SlotDemand> = load
        .teams
        .iter()
        .map(|it| SlotDemand {
            slots: it.cap as f64,
            weight: it.weight as f64,
        })
        .collect();
    let due = share::weighted_max_min(36.0, &wants);
    let due_total: f64 = due.iter().sum();
    let mut sum = 0.0;
    let mut count = 0;
    let first = (LOAD_FROM + WARM_UP).as_millis() as u64;
    let last = (LOAD_FROM + load.submit_time).as_millis() as u64;
    let mut from = first;
    while from + WINDOW_MS <= last {
        let used = report.slot_ms_by_team(from, from + WINDOW_MS);
        let total: u64 = used.values().sum();
        for (team, due) in load.teams.iter().zip(&due) {
            let got = *used.get(&team.path).unwrap_or(&0) as f64 / total.max(1) as f64;
            sum += (100.0 * (got - due / due_total)).abs();
            count += 1;
        }
        from += WINDOW_MS;
    }
    sum / f64::from(count.max(1))
}

/// Part of all slots in use after the warm-up.
fn used_percent(outcome: &Outcome, load: &Load, slots: f64) -> f64 {
    let from = (LOAD_FROM + WARM_UP).as_millis() as u64;
    let to = (LOAD_FROM + load.submit_time).as_millis() as u64;
    let used: u64 = outcome.report.slot_ms_by_team(from, to).values().sum();
    100.0 * used as f64 / (slots * (to - from) as f64)
}

/// Rotating demand on four member pools with a spare pool.
pub fn rotation(seed: u64) -> ScenarioResult {
    let mut teams = Vec::new();
    for pool in ["p1", "p2", "p3", "p4"] {
        for (name, weight, rate) in [("large", 2, 30.0), ("small", 1, 15.0)] {
            let path = format!("org/{pool}/{name}");
            let mut team = team(&path, weight, 60, &format!("{pool},shared"), rate);
            team.urgent_share = 0.1;
            teams.push(team);
        }
    }
    let load = Load {
        burst_time: Some(Duration::from_secs(5)),
        ..load(teams)
    };
    let shape = site(&["p1", "p2", "p3", "p4", "shared"]);
    compare("rotation", seed, &shape, &load, &FaultSchedule::none(), |outcome| {
        json!({
            "done_percent": round(100.0 * outcome.report.done_jobs() as f64 / outcome.report.outcomes.len().max(1) as f64),
            "wait_p50_ms": percentile(&outcome.report.wait_times_ms, 0.5),
            "wait_p99_ms": percentile(&outcome.report.wait_times_ms, 0.99),
            "slots_used_percent": round(used_percent(outcome, &load, 180.0)),
            "appends_per_second": round(outcome.appends as f64 / outcome.seconds),
        })
    })
}

/// Work done while a zone is taken out and brought back.
pub fn zone_out(seed: u64) -> ScenarioResult {
    let schedule = FaultSchedule::new(vec![(FAULT_AT, Fault::ZoneOut { zone: 1, time: FAULT_TIME })]);
    with_zone("zone-out", seed, schedule, 24.0)
}

/// Work done while a zone is cut off: it may go on for as long as it is fresh.
pub fn zone_cut(seed: u64) -> ScenarioResult {
    let cut = |to| {
        (
            FAULT_AT,
            Fault::Cut {
                from: Location::Zone(1),
                to,
                both: true,
                time: FAULT_TIME,
            },
        )
    };
    let schedule = FaultSchedule::new(vec![cut(Location::Platform), cut(Location::Zone(0)), cut(Location::Zone(2))]);
    with_zone("zone-cut", seed, schedule, 24.0)
}

/// Work done while nobody can read the log.
pub fn log_down(seed: u64) -> ScenarioResult {
    let mode = crate::standin::log::Mode::Down;
    let schedule = FaultSchedule::new(vec![(FAULT_AT, Fault::Log { mode, time: FAULT_TIME })]);
    with_zone("log-down", seed, schedule, 36.0)
}

/// Slots used before, during and after a fault; `slots` may be used during it.
fn with_zone(scenario: &'static str, seed: u64, schedule: FaultSchedule, slots: f64) -> ScenarioResult {
    let load = full_load();
    compare(scenario, seed, &site(&["shared"]), &load, &schedule, |outcome| {
        let span = |from: Duration, to: Duration, slots: f64| {
            let (from, to) = (from.as_millis() as u64, to.as_millis() as u64);
            let used: u64 = outcome.report.slot_ms_by_team(from, to).values().sum();
            round(100.0 * used as f64 / (slots * (to - from) as f64))
        };
        let seconds = Duration::from_secs;
        let back = FAULT_AT + FAULT_TIME;
        json!({
            "before_percent": span(seconds(8), FAULT_AT, 36.0),
            "first_3s_percent": span(FAULT_AT, FAULT_AT + seconds(3), slots),
            "during_percent": span(FAULT_AT + seconds(3), back, slots),
            "first_2s_back_percent": span(back, back + seconds(2), 36.0),
            "after_percent": span(back + seconds(2), back + seconds(12), 36.0),
            "done": outcome.report.done_jobs(),
            "unknown": outcome.report.jobs_with_outcome("unknown"),
        })
    })
}

/// Goodput and refusals at five times what the fleet can run.
pub fn overload(seed: u64) -> ScenarioResult {
    let mut load = full_load();
    for team in &mut load.teams {
        team.jobs_per_second *= 2.0;
    }
    load.submit_time = Duration::from_secs(25);
    compare("overload", seed, &site(&["shared"]), &load, &FaultSchedule::none(), |outcome| {
        let refused: BTreeMap<_, _> = outcome
            .report
            .latencies_ms
            .iter()
            .filter(|(id, _)| outcome.report.outcomes.get(*id).is_some_and(|it| it == "not_run"))
            .map(|(id, latency)| (*id, *latency))
            .collect();
        json!({
            "slots_used_percent": round(used_percent(outcome, &load, 36.0)),
            "done": outcome.report.done_jobs(),
            "not_run": refused.len(),
            "unknown": outcome.report.jobs_with_outcome("unknown"),
            "refusal_p50_ms": percentile(&refused, 0.5),
            "refusal_p90_ms": percentile(&refused, 0.9),
            "refusal_p99_ms": percentile(&refused, 0.99),
        })
    })
}

fn percentile<Id>(values: &BTreeMap<Id, u64>, part: f64) -> u64 {
    let mut sorted: Vec<u64> = values.values().copied().collect();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * part) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
