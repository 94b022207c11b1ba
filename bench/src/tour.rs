//! The whole path in one process, over loopback: three zones, both first
//! users' workloads in small, and the events of an operator's day.

mod callers;
mod report;
mod site;

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
use site::Site;

/// Zones of the tour.
const ZONES: [&str; 3] = ["za", "zb", "zc"];
/// Pools of the tour; the last is shared.
const POOLS: [&str; 3] = ["cells", "index", "shared"];

/// Teams with their load.
const TEAMS: [Team; 6] = [
    Team {
        name: "utility/checks",
        pools: "cells,shared",
        weight: 3,
        cap: 20,
        per_second: 24.0,
        run_ms: 60,
        urgent: true,
        once: false,
    },
    Team {
        name: "utility/sweeps",
        pools: "cells,shared",
        weight: 2,
        cap: 24,
        per_second: 16.0,
        run_ms: 250,
        urgent: false,
        once: true,
    },
    Team {
        name: "utility/soak",
        pools: "cells,shared",
        weight: 1,
        cap: 8,
        per_second: 1.0,
        run_ms: 4_000,
        urgent: false,
        once: false,
    },
    Team {
        name: "consorcio/gazette",
        pools: "index,shared",
        weight: 3,
        cap: 20,
        per_second: 24.0,
        run_ms: 100,
        urgent: false,
        once: true,
    },
    Team {
        name: "consorcio/catalogue",
        pools: "index,shared",
        weight: 2,
        cap: 20,
        per_second: 24.0,
        run_ms: 120,
        urgent: false,
        once: false,
    },
    Team {
        name: "consorcio/archive",
        pools: "index,shared",
        weight: 1,
        cap: 16,
        per_second: 8.0,
        run_ms: 300,
        urgent: false,
        once: false,
    },
];

/// What the tour found.
#[derive(Debug)]
pub struct Summary {
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs that ended with an answer of any kind.
    pub answered: usize,
    /// Promises broken.
    pub violations: Vec<Violation>,
}

/// Runs the tour and prints what happened.
pub async fn run() -> anyhow::Result<Summary> {
    let mut site = Site::start().await?;
    site.set_up().await?;
    println!(
        "tour: {} entries and {} workers in zones {}",
        site.entry_count(),
        site.workers.len(),
        ZONES.join(", ")
    );
    let callers = Callers::start(&site, &TEAMS);
    let sampler = site.start_sampler();
    sleep(Duration::from_secs(4)).await;

    take_zone_out_and_in(&site).await?;
    sleep(Duration::from_secs(1)).await;
    drain_one(&site).await?;
    withdraw_key(&site).await?;
    sleep(Duration::from_secs(1)).await;

    println!("tour: replacing entry {}", site.entry_name(0));
    site.replace_entry(0).await?;
    sleep(Duration::from_secs(4)).await;

    let tallies = callers.finish().await;
    sampler.abort();
    let events = site.events().await;
    site.record_state().await?;
    site.stop().await;

    let entries = site.history.events();
    let violations = checker::find_violations(&entries);
    report::print(&events, &tallies, &TEAMS);
    for breach in &violations {
        println!("broken promise {:?} at {} ms: {}", breach.guarantee, breach.at_ms, breach.details);
    }
    let jobs = tallies.iter().map(|it| it.jobs).sum();
    let answered = tallies.iter().map(|it| it.answered()).sum();
    Ok(Summary {
        jobs,
        answered,
        violations,
    })
}

async fn take_zone_out_and_in(site: &Site) -> anyhow::Result<()> {
    println!("tour: taking zone zb out");
    site.operator.send_hold(&Hold::Zone("zb".into())).await;
    site.set("site/zb", setting::STATE, "out").await?;
    site.history.record(
        site.now_ms(),
        EventKind::Zone {
            zone: "zb".to_owned(),
            open: false,
        },
    );
    sleep(Duration::from_secs(5)).await;
    println!("tour: bringing zone zb back in");
    site.history.record(
        site.now_ms(),
        EventKind::Zone {
            zone: "zb".to_owned(),
            open: true,
        },
    );
    site.set("site/zb", setting::STATE, "in").await
}

async fn drain_one(site: &Site) -> anyhow::Result<()> {
    println!("tour: draining za-cells-1");
    let state = site.operator.read_state().await?;
    let epoch = state.fleet.get("za-cells-1").map_or(0, |it| it.epoch);
    let change = Change::Permit {
        id: "za-cells-1".into(),
        epoch,
        purpose: Purpose::Hold,
    };
    site.operator.apply_change(change).await?;
    site.history.record(
        site.now_ms(),
        EventKind::Depart {
            worker: "za-cells-1".to_owned(),
        },
    );
    Ok(())
}

async fn withdraw_key(site: &Site) -> anyhow::Result<()> {
    println!("tour: withdrawing key consorcio-archive-1");
    site.operator.send_hold(&Hold::Key("consorcio-archive-1".into())).await;
    site.operator
        .apply_change(Change::KeyWithdraw {
            id: "consorcio-archive-1".into(),
        })
        .await?;
    site.history.record(
        site.now_ms(),
        EventKind::Withdraw {
            key: "consorcio-archive-1".to_owned(),
        },
    );
    Ok(())
}

pub(crate) fn edit(path: &str, name: &str, value: &str) -> Change {
    Change::Edit(Edit {
        path: path.to_owned(),
        name: name.to_owned(),
        value: Some(value.to_owned()),
        expected: None,
    })
}
