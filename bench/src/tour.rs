//! A small fleet in one process, whose parts communicate over the loopback interface:
//! three zones, callers of six teams of two organisations, and a few actions of an
//! operator.
//!
//! The tour takes a zone out of service and back, drains a worker, withdraws a key and
//! replaces an entry while jobs run. Then it checks the recorded history against
//! every guarantee.

mod callers;
mod cluster;
mod report;

use std::time::Duration;

use oriolewall::fleet::Purpose;
use oriolewall::record::Change;
use oriolewall::setting;
use oriolewall::tree::Edit;
use oriolewall::wire::Hold;
use tokio::time::sleep;

use crate::checker::{self, Violation};
use crate::history::EventKind;
use callers::{Callers, Team};
use cluster::Cluster;

/// Names of the zones.
const ZONES: [&str; 3] = ["za", "zb", "zc"];
/// Names of the pools. Each organisation prefers one of the first two; all teams share
/// the last.
const POOLS: [&str; 3] = ["cells", "index", "shared"];

/// Teams of the two organisations, with their settings and loads.
const TEAMS: [Team; 6] = [
    Team {
        name: "utility/checks",
        pools: "cells,shared",
        weight: 3,
        cap: 20,
        jobs_per_second: 24.0,
        expected_run_ms: 60,
        urgent: true,
        run_once: false,
    },
    Team {
        name: "utility/sweeps",
        pools: "cells,shared",
        weight: 2,
        cap: 24,
        jobs_per_second: 16.0,
        expected_run_ms: 250,
        urgent: false,
        run_once: true,
    },
    Team {
        name: "utility/soak",
        pools: "cells,shared",
        weight: 1,
        cap: 8,
        jobs_per_second: 1.0,
        expected_run_ms: 4_000,
        urgent: false,
        run_once: false,
    },
    Team {
        name: "consorcio/gazette",
        pools: "index,shared",
        weight: 3,
        cap: 20,
        jobs_per_second: 24.0,
        expected_run_ms: 100,
        urgent: false,
        run_once: true,
    },
    Team {
        name: "consorcio/catalogue",
        pools: "index,shared",
        weight: 2,
        cap: 20,
        jobs_per_second: 24.0,
        expected_run_ms: 120,
        urgent: false,
        run_once: false,
    },
    Team {
        name: "consorcio/archive",
        pools: "index,shared",
        weight: 1,
        cap: 16,
        jobs_per_second: 8.0,
        expected_run_ms: 300,
        urgent: false,
        run_once: false,
    },
];

/// Result of a tour.
#[derive(Debug)]
pub struct Summary {
    /// Number of jobs submitted.
    pub jobs: usize,
    /// Number of jobs whose caller got an outcome or a refusal, or gave up.
    pub answered: usize,
    /// Guarantees that the history violates.
    pub violations: Vec<Violation>,
}

/// Runs the tour and prints its steps, the events and a table of the teams.
pub async fn run() -> anyhow::Result<Summary> {
    let mut cluster = Cluster::start().await?;
    cluster.set_up().await?;
    println!(
        "tour: {} entries and {} workers in zones {}",
        cluster.entry_count(),
        cluster.workers.len(),
        ZONES.join(", ")
    );
    let callers = Callers::start(&cluster, &TEAMS);
    let sampler = cluster.start_sampler();
    sleep(Duration::from_secs(4)).await;

    take_zone_out_and_back(&cluster).await?;
    sleep(Duration::from_secs(1)).await;
    drain_worker(&cluster).await?;
    withdraw_key(&cluster).await?;
    sleep(Duration::from_secs(1)).await;

    println!("tour: replacing entry {}", cluster.entry_name(0));
    cluster.replace_entry(0).await?;
    sleep(Duration::from_secs(4)).await;

    let tallies = callers.finish().await;
    sampler.abort();
    let events = cluster.events().await;
    cluster.record_state().await?;
    cluster.stop().await;

    let history = cluster.history.events();
    let violations = checker::find_violations(&history);
    report::print_report(&events, &tallies, &TEAMS);
    for violation in &violations {
        println!(
            "violated guarantee {:?} at {} ms: {}",
            violation.guarantee, violation.at_ms, violation.details
        );
    }
    let jobs = tallies.iter().map(|it| it.jobs).sum();
    let answered = tallies.iter().map(|it| it.answered()).sum();
    Ok(Summary {
        jobs,
        answered,
        violations,
    })
}

/// Takes zone zb out of service for five seconds.
async fn take_zone_out_and_back(cluster: &Cluster) -> anyhow::Result<()> {
    println!("tour: taking zone zb out");
    cluster.operator.send_hold(&Hold::Zone("zb".into())).await;
    cluster.set("site/zb", setting::STATE, "out").await?;
    cluster.history.record(
        cluster.now_ms(),
        EventKind::Zone {
            zone: "zb".to_owned(),
            open: false,
        },
    );
    sleep(Duration::from_secs(5)).await;
    println!("tour: bringing zone zb back in");
    cluster.history.record(
        cluster.now_ms(),
        EventKind::Zone {
            zone: "zb".to_owned(),
            open: true,
        },
    );
    cluster.set("site/zb", setting::STATE, "in").await
}

/// Drains one worker, by a permit to hold it.
async fn drain_worker(cluster: &Cluster) -> anyhow::Result<()> {
    println!("tour: draining za-cells-1");
    let state = cluster.operator.read_state().await?;
    let epoch = state.fleet.get("za-cells-1").map_or(0, |it| it.epoch);
    let change = Change::Permit {
        id: "za-cells-1".into(),
        epoch,
        purpose: Purpose::Hold,
    };
    cluster.operator.apply_change(change).await?;
    cluster.history.record(
        cluster.now_ms(),
        EventKind::Depart {
            worker: "za-cells-1".to_owned(),
        },
    );
    Ok(())
}

/// Withdraws a key with which callers still submit jobs.
async fn withdraw_key(cluster: &Cluster) -> anyhow::Result<()> {
    println!("tour: withdrawing key consorcio-archive-1");
    cluster.operator.send_hold(&Hold::Key("consorcio-archive-1".into())).await;
    cluster
        .operator
        .apply_change(Change::KeyWithdraw {
            id: "consorcio-archive-1".into(),
        })
        .await?;
    cluster.history.record(
        cluster.now_ms(),
        EventKind::Withdraw {
            key: "consorcio-archive-1".to_owned(),
        },
    );
    Ok(())
}

/// A change that sets a setting of the node at `path`, whatever its value was.
pub(crate) fn setting_change(path: &str, name: &str, value: &str) -> Change {
    Change::Edit(Edit {
        path: path.to_owned(),
        name: name.to_owned(),
        value: Some(value.to_owned()),
        expected: None,
    })
}
