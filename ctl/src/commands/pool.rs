//! `oriolectl pool`.

use std::collections::BTreeSet;

use argh::FromArgs;
use serde::Serialize;

use crate::context::Context;

/// List pools with their sizes, budgets and disruptions.
///
/// Example: oriolectl --config client.ini pool
#[derive(FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct Args {}

#[derive(Serialize)]
struct Line {
    pool: String,
    instances: usize,
    slots: u32,
    budget: usize,
    disrupted: usize,
}

pub(super) async fn run(ctx: &Context, _: Args) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let pools: BTreeSet<_> = state.fleet.iter().map(|(_, it)| it.pool.clone()).collect();
    let mut lines = Vec::new();
    for pool in pools {
        let instances = state.fleet.pool_size(&pool);
        let slots = state.fleet.iter().filter(|(_, it)| it.pool == pool).map(|(_, it)| it.slots).sum();
        let budget = state.budget(&pool).limit(instances);
        lines.push(Line {
            instances,
            slots,
            budget,
            disrupted: state.fleet.disrupted_count(&pool),
            pool: pool.to_string(),
        });
    }
    ctx.print(&lines, || {
        let mut text = format!(
            "{:<16} {:>9} {:>6} {:>6} {:>9}",
            "pool", "instances", "slots", "budget", "disrupted"
        );
        for it in &lines {
            text.push_str(&format!(
                "\n{:<16} {:>9} {:>6} {:>6} {:>9}",
                it.pool, it.instances, it.slots, it.budget, it.disrupted
            ));
        }
        text
    });
    Ok(())
}
