//! The report that a tour prints at its end: the latest events, and a table that
//! compares what each team got with what it asked for.

use oriolewall::event::{Event, Kind};
use oriolewall::share::{self, SlotDemand};

use super::callers::{Tally, Team};

/// Upper bound of the number of events printed.
const MAX_PRINTED_EVENTS: usize = 30;

/// Prints the report; `tallies` and `teams` are in the same order.
pub(super) fn print_report(events: &[Event], tallies: &[Tally], teams: &[Team]) {
    println!("\ntime line: {} events; the latest that concern no single job:", events.len());
    let fleet_events: Vec<&Event> = events.iter().filter(|it| !concerns_one_job(&it.kind)).collect();
    for event in fleet_events.iter().skip(fleet_events.len().saturating_sub(MAX_PRINTED_EVENTS)) {
        println!(
            "  {}.{:03} {:<22} {}",
            event.stamp.wall_ms / 1_000 % 100_000,
            event.stamp.wall_ms % 1_000,
            event.source,
            event_json(&event.kind)
        );
    }
    println!(
        "\n{:<22} {:>6} {:>8} {:>8} {:>6} {:>6} {:>7} {:>7} {:>7} {:>8}",
        "team", "weight", "asked %", "got %", "jobs", "done", "failed", "not run", "unknown", "slowest"
    );
    let demands: Vec<f64> = teams.iter().map(|it| it.jobs_per_second * it.expected_run_ms as f64).collect();
    let demand_total: f64 = demands.iter().sum();
    let used_total: f64 = tallies.iter().map(|it| it.slot_ms as f64).sum();
    for ((team, tally), demand) in teams.iter().zip(tallies).zip(&demands) {
        println!(
            "{:<22} {:>6} {:>8.1} {:>8.1} {:>6} {:>6} {:>7} {:>7} {:>7} {:>6}ms",
            team.name,
            team.weight,
            100.0 * demand / demand_total,
            100.0 * tally.slot_ms as f64 / used_total.max(1.0),
            tally.jobs,
            tally.done,
            tally.failed,
            tally.not_run + tally.without_outcome,
            tally.unknown,
            tally.max_latency.as_millis(),
        );
    }
    let slot_demands: Vec<SlotDemand> = teams
        .iter()
        .zip(&demands)
        .map(|(team, demand)| SlotDemand {
            slots: *demand,
            weight: team.weight as f64,
        })
        .collect();
    let fair_slots = share::weighted_max_min(demand_total, &slot_demands);
    let served = fair_slots.iter().sum::<f64>() / demand_total;
    println!("weighted shares could serve {:.0}% of what was asked", 100.0 * served);
}

/// Whether an event is one of the many that concern a single job.
fn concerns_one_job(kind: &Kind) -> bool {
    matches!(
        kind,
        Kind::Accepted { .. } | Kind::Started { .. } | Kind::Finished { .. } | Kind::Delegated { .. } | Kind::Adopted { .. }
    )
}

fn event_json(kind: &Kind) -> String {
    serde_json::to_string(kind).unwrap_or_default()
}
