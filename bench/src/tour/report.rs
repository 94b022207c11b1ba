//! What the tour prints at its end.

use oriolewall::event::{Event, Kind};
use oriolewall::share::{self, SlotDemand};

use super::callers::{Tally, Team};

/// Last events that are printed.
const EVENTS_SHOWN: usize = 30;

pub(super) fn print(events: &[Event], tallies: &[Tally], teams: &[Team]) {
    println!("\ntime line: {} events; the latest that concern no single job:", events.len());
    let broad: Vec<&Event> = events.iter().filter(|it| !is_job(&it.kind)).collect();
    for event in broad.iter().skip(broad.len().saturating_sub(EVENTS_SHOWN)) {
        println!(
            "  {}.{:03} {:<22} {}",
            event.stamp.wall_ms / 1_000 % 100_000,
            event.stamp.wall_ms % 1_000,
            event.source,
            describe(&event.kind)
        );
    }
    println!(
        "\n{:<22} {:>6} {:>8} {:>8} {:>6} {:>6} {:>7} {:>7} {:>7} {:>8}",
        "team", "weight", "asked %", "got %", "jobs", "done", "failed", "not run", "unknown", "slowest"
    );
    let asked: Vec<f64> = teams.iter().map(|it| it.per_second * it.run_ms as f64).collect();
    let asked_total: f64 = asked.iter().sum();
    let got_total: f64 = tallies.iter().map(|it| it.slot_ms as f64).sum();
    for ((team, tally), asked) in teams.iter().zip(tallies).zip(&asked) {
        println!(
            "{:<22} {:>6} {:>8.1} {:>8.1} {:>6} {:>6} {:>7} {:>7} {:>7} {:>6}ms",
            team.name,
            team.weight,
            100.0 * asked / asked_total,
            100.0 * tally.slot_ms as f64 / got_total.max(1.0),
            tally.jobs,
            tally.done,
            tally.failed,
            tally.not_run + tally.refused,
            tally.unknown,
            tally.slowest.as_millis(),
        );
    }
    let wants: Vec<SlotDemand> = teams
        .iter()
        .zip(&asked)
        .map(|(team, asked)| SlotDemand {
            slots: *asked,
            weight: team.weight as f64,
        })
        .collect();
    let fair = share::weighted_max_min(asked_total, &wants);
    let served = fair.iter().sum::<f64>() / asked_total;
    println!("weighted shares could serve {:.0}% of what was asked", 100.0 * served);
}

fn is_job(kind: &Kind) -> bool {
    matches!(
        kind,
        Kind::Accepted { .. } | Kind::Started { .. } | Kind::Finished { .. } | Kind::Delegated { .. } | Kind::Adopted { .. }
    )
}

fn describe(kind: &Kind) -> String {
    serde_json::to_string(kind).unwrap_or_default()
}
