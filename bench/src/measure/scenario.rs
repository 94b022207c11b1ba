//! Scenarios with entry instances, workers and callers in virtual time: a load,
//! faults, and the figures that are computed from the history of each run.
//!
//! Every scenario runs under the product's policy and under each baseline policy,
//! with the same load, faults and seed.

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

/// Time at which the callers of a [`Simulation`] begin to submit.
const LOAD_START: Duration = Duration::from_secs(2);
const LOAD_DURATION: Duration = Duration::from_secs(50);
const FAULT_START: Duration = Duration::from_secs(15);
const FAULT_DURATION: Duration = Duration::from_secs(15);
/// Length of the windows over which shares are compared.
const SHARE_WINDOW_MS: u64 = 10_000;
/// Time for the queues to fill; figures leave it out.
const WARM_UP: Duration = Duration::from_secs(5);

/// Result of one run under one policy.
struct RunResult {
    report: Report,
    /// Number of violated guarantees.
    violations: usize,
    /// Number of appends to the log.
    appends: u64,
    /// Length of the run in virtual time.
    seconds: f64,
}

/// Runs a load and faults under the policy of the config until the load ends.
fn run_load(config: SimulationConfig, load: &Load, schedule: FaultSchedule, seed: u64) -> RunResult {
    let end = LOAD_START + load.submit_time;
    let mut simulation = Simulation::new(config, load.clone(), schedule, seed);
    simulation.run_until(end);
    let history = simulation.history.events();
    RunResult {
        report: Report::new(&history),
        violations: checker::find_violations(&history).len(),
        appends: simulation.append_count,
        seconds: end.as_secs_f64(),
    }
}

/// Runs a load and faults under the product's policy and under the baselines, each
/// in a thread of its own, and computes the same figures from each run.
fn compare_policies<F>(
    scenario: &'static str,
    seed: u64,
    config: &SimulationConfig,
    load: &Load,
    schedule: &FaultSchedule,
    figures: F,
) -> ScenarioResult
where
    F: Fn(&RunResult) -> Value,
{
    let default_policy = Policy::default();
    let policies = [
        (
            "static caps",
            Policy {
                caps: CapDivision::Static,
                ..default_policy
            },
        ),
        (
            "first come first served",
            Policy {
                scheduling: SchedulingPolicy::FirstCome,
                ..default_policy
            },
        ),
        (
            "no peer relay",
            Policy {
                catch_up: CatchUpSource::LogOnly,
                ..default_policy
            },
        ),
    ];
    let run_with = |policy: Policy| run_load(SimulationConfig { policy, ..config.clone() }, load, schedule.clone(), seed);
    let (product, baseline_runs) = std::thread::scope(|scope| {
        let threads: Vec<_> = policies.iter().map(|(_, policy)| scope.spawn(|| run_with(*policy))).collect();
        let product = run_with(default_policy);
        let baseline_runs: Vec<RunResult> = threads.into_iter().filter_map(|it| it.join().ok()).collect();
        (product, baseline_runs)
    });
    let named_figures = policies
        .iter()
        .zip(&baseline_runs)
        .map(|((name, _), run)| ((*name).to_owned(), figures(run)));
    let baselines: serde_json::Map<String, Value> = named_figures.collect();
    ScenarioResult {
        scenario,
        seed,
        broken: product.violations,
        product: figures(&product),
        baselines: Value::Object(baselines),
    }
}

/// Three zones with three entries each. Each pool has three workers with four
/// slots in each zone, 36 slots in all.
fn three_zones(pools: &[&str]) -> SimulationConfig {
    SimulationConfig {
        entries_per_zone: 3,
        pools: pools.iter().map(|it| ((*it).to_owned(), 3)).collect(),
        slots_per_worker: 4,
        workers_per_rack: 4,
        ..SimulationConfig::small()
    }
}

/// A team whose jobs run for 0.46 s on average, since a [`Load`] generates 0.3 to 2
/// times the nominal 0.4 s. Three jobs in ten must not be repeated.
fn team(path: &str, weight: u64, cap: u64, pools: &str, jobs_per_second: f64) -> TeamLoad {
    TeamLoad {
        path: path.to_owned(),
        weight,
        cap,
        pools: pools.to_owned(),
        jobs_per_second,
        nominal_run_time: Duration::from_millis(400),
        run_once_share: 0.3,
        urgent_share: 0.0,
        poison_share: 0.0,
    }
}

/// A load at constant rates, with a deadline of 6 s and without cancellations.
fn constant_load(teams: Vec<TeamLoad>) -> Load {
    Load {
        teams,
        submit_time: LOAD_DURATION,
        burst_time: None,
        deadline: Duration::from_secs(6),
        cancelled_share: 0.0,
    }
}

/// Six teams that ask for about three times the 36 slots of one pool: 240 jobs a
/// second, each of which takes 0.46 s on average.
fn full_load() -> Load {
    let weights = [
        ("org/a/t", 3),
        ("org/b/t", 2),
        ("org/c/t", 2),
        ("org/d/t", 1),
        ("org/e/t", 1),
        ("org/f/t", 1),
    ];
    constant_load(
        weights
            .iter()
            .map(|(path, weight)| team(path, *weight, 30, "shared", 40.0))
            .collect(),
    )
}

/// Distance of slot use from weighted shares while teams ask for more than the pool has.
pub fn share(seed: u64) -> ScenarioResult {
    let load = full_load();
    compare_policies("share", seed, &three_zones(&["shared"]), &load, &FaultSchedule::none(), |run| {
        json!({
            "mean_deviation_points": round(mean_share_deviation(&run.report, &load)),
            "slots_used_percent": round(slot_use_percent(run, &load, 36.0)),
            "appends_per_second": round(run.appends as f64 / run.seconds),
        })
    })
}

/// Mean distance between the share of the slots that a team got and the one that
/// weighted max-min fairness gives it, over all windows and teams, in percentage points.
fn mean_share_deviation(report: &Report, load: &Load) -> f64 {
    let demands: Vec<SlotDemand> = load
        .teams
        .iter()
        .map(|it| SlotDemand {
            slots: it.cap as f64,
            weight: it.weight as f64,
        })
        .collect();
    let fair_slots = share::weighted_max_min(36.0, &demands);
    let fair_total: f64 = fair_slots.iter().sum();
    let mut sum = 0.0;
    let mut count = 0;
    let first = (LOAD_START + WARM_UP).as_millis() as u64;
    let last = (LOAD_START + load.submit_time).as_millis() as u64;
    let mut from = first;
    while from + SHARE_WINDOW_MS <= last {
        let used = report.slot_ms_by_team(from, from + SHARE_WINDOW_MS);
        let total: u64 = used.values().sum();
        for (team, fair) in load.teams.iter().zip(&fair_slots) {
            let actual = *used.get(&team.path).unwrap_or(&0) as f64 / total.max(1) as f64;
            sum += (100.0 * (actual - fair / fair_total)).abs();
            count += 1;
        }
        from += SHARE_WINDOW_MS;
    }
    sum / f64::from(count.max(1))
}

/// Percentage of `slots` in use on average, from the end of the warm-up to the end
/// of the load.
fn slot_use_percent(run: &RunResult, load: &Load, slots: f64) -> f64 {
    let from = (LOAD_START + WARM_UP).as_millis() as u64;
    let to = (LOAD_START + load.submit_time).as_millis() as u64;
    let used: u64 = run.report.slot_ms_by_team(from, to).values().sum();
    100.0 * used as f64 / (slots * (to - from) as f64)
}

/// Waiting times and slot use while high demand moves from team to team, on four
/// pools of two teams each and a pool that all teams share.
pub fn rotation(seed: u64) -> ScenarioResult {
    let mut teams = Vec::new();
    for pool in ["p1", "p2", "p3", "p4"] {
        for (name, weight, jobs_per_second) in [("large", 2, 30.0), ("small", 1, 15.0)] {
            let path = format!("org/{pool}/{name}");
            let mut team = team(&path, weight, 60, &format!("{pool},shared"), jobs_per_second);
            team.urgent_share = 0.1;
            teams.push(team);
        }
    }
    let load = Load {
        burst_time: Some(Duration::from_secs(5)),
        ..constant_load(teams)
    };
    let config = three_zones(&["p1", "p2", "p3", "p4", "shared"]);
    compare_policies("rotation", seed, &config, &load, &FaultSchedule::none(), |run| {
        json!({
            "done_percent": round(100.0 * run.report.done_jobs() as f64 / run.report.outcomes.len().max(1) as f64),
            "wait_p50_ms": percentile(&run.report.wait_times_ms, 0.5),
            "wait_p99_ms": percentile(&run.report.wait_times_ms, 0.99),
            "slots_used_percent": round(slot_use_percent(run, &load, 180.0)),
            "appends_per_second": round(run.appends as f64 / run.seconds),
        })
    })
}

/// Slot use before, during and after a time for which a zone is out of service.
pub fn zone_out(seed: u64) -> ScenarioResult {
    let schedule = FaultSchedule::new(vec![(
        FAULT_START,
        Fault::ZoneOut {
            zone: 1,
            time: FAULT_DURATION,
        },
    )]);
    compare_around_fault("zone-out", seed, schedule, 24.0)
}

/// Slot use before, during and after a time for which a zone is cut off from the
/// platform and from the other zones. Its entries may start work until their view of
/// the log is too old.
pub fn zone_cut(seed: u64) -> ScenarioResult {
    let cut = |to| {
        (
            FAULT_START,
            Fault::Cut {
                from: Location::Zone(1),
                to,
                both: true,
                time: FAULT_DURATION,
            },
        )
    };
    let schedule = FaultSchedule::new(vec![cut(Location::Platform), cut(Location::Zone(0)), cut(Location::Zone(2))]);
    compare_around_fault("zone-cut", seed, schedule, 24.0)
}

/// Slot use before, during and after a time for which the log refuses all calls.
pub fn log_down(seed: u64) -> ScenarioResult {
    let mode = crate::standin::log::Mode::Down;
    let schedule = FaultSchedule::new(vec![(
        FAULT_START,
        Fault::Log {
            mode,
            time: FAULT_DURATION,
        },
    )]);
    compare_around_fault("log-down", seed, schedule, 36.0)
}

/// Measures slot use before, during and after a fault, as a percentage of the 36
/// slots of the pool; during the fault, as a percentage of `slots_during_fault`.
fn compare_around_fault(scenario: &'static str, seed: u64, schedule: FaultSchedule, slots_during_fault: f64) -> ScenarioResult {
    let load = full_load();
    compare_policies(scenario, seed, &three_zones(&["shared"]), &load, &schedule, |run| {
        let use_percent = |from: Duration, to: Duration, slots: f64| {
            let (from, to) = (from.as_millis() as u64, to.as_millis() as u64);
            let used: u64 = run.report.slot_ms_by_team(from, to).values().sum();
            round(100.0 * used as f64 / (slots * (to - from) as f64))
        };
        let seconds = Duration::from_secs;
        let fault_end = FAULT_START + FAULT_DURATION;
        json!({
            "before_percent": use_percent(seconds(8), FAULT_START, 36.0),
            "first_3s_percent": use_percent(FAULT_START, FAULT_START + seconds(3), slots_during_fault),
            "during_percent": use_percent(FAULT_START + seconds(3), fault_end, slots_during_fault),
            "first_2s_back_percent": use_percent(fault_end, fault_end + seconds(2), 36.0),
            "after_percent": use_percent(fault_end + seconds(2), fault_end + seconds(12), 36.0),
            "done": run.report.done_jobs(),
            "unknown": run.report.jobs_with_outcome("unknown"),
        })
    })
}

/// Goodput and time to refusal while teams ask for more than five times what the
/// fleet can run.
pub fn overload(seed: u64) -> ScenarioResult {
    let mut load = full_load();
    for team in &mut load.teams {
        team.jobs_per_second *= 2.0;
    }
    load.submit_time = Duration::from_secs(25);
    compare_policies("overload", seed, &three_zones(&["shared"]), &load, &FaultSchedule::none(), |run| {
        let refusal_latencies: BTreeMap<_, _> = run
            .report
            .latencies_ms
            .iter()
            .filter(|(id, _)| run.report.outcomes.get(*id).is_some_and(|it| it == "not_run"))
            .map(|(id, latency)| (*id, *latency))
            .collect();
        json!({
            "slots_used_percent": round(slot_use_percent(run, &load, 36.0)),
            "done": run.report.done_jobs(),
            "not_run": refusal_latencies.len(),
            "unknown": run.report.jobs_with_outcome("unknown"),
            "refusal_p50_ms": percentile(&refusal_latencies, 0.5),
            "refusal_p90_ms": percentile(&refusal_latencies, 0.9),
            "refusal_p99_ms": percentile(&refusal_latencies, 0.99),
        })
    })
}

/// The value below which `fraction` of the values lie; 0 if there are none.
fn percentile<Id>(values: &BTreeMap<Id, u64>, fraction: f64) -> u64 {
    let mut sorted: Vec<u64> = values.values().copied().collect();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// Rounds to two decimals.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
