//! `oriolectl pool`: lists the pools.

use std::collections::BTreeSet;

use argh::FromArgs;
use serde::Serialize;

use crate::context::Context;

/// List pools with their instances, slots, availability budgets and disrupted instances.
///
/// Example: oriolectl --config client.ini pool
#[derive(FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct Args {}

/// Size of a pool and how much of its availability budget is used.
#[derive(Serialize)]
struct PoolSummary {
    pool: String,
    instances: usize,
    /// Slots of all instances of the pool.
    slots: u32,
    /// Number of instances that may be disrupted at once.
    budget: usize,
    /// Number of instances that are down, suspect or under a permit.
    disrupted: usize,
}

pub(super) async fn run(ctx: &Context, _: Args) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
    let pools: BTreeSet<_> = state.fleet.iter().map(|(_, it)| it.pool.clone()).collect();
    let mut summaries = Vec::new();
    for pool in pools {
        let instances = state.fleet.pool_size(&pool);
        let slots = state.fleet.iter().filter(|(_, it)| it.pool == pool).map(|(_, it)| it.slots).sum();
        let budget = state.budget(&pool).limit(instances);
        summaries.push(PoolSummary {
            instances,
            slots,
            budget,
            disrupted: state.fleet.disrupted_count(&pool),
            pool: pool.to_string(),
        });
    }
    ctx.print(&summaries, || {
        let mut text = format!(
            "{:<16} {:>9} {:>6} {:>6} {:>9}",
            "pool", "instances", "slots", "budget", "disrupted"
        );
        for it in &summaries {
            text.push_str(&format!(
                "\n{:<16} {:>9} {:>6} {:>6} {:>9}",
                it.pool, it.instances, it.slots, it.budget, it.disrupted
            ));
        }
        text
    });
    Ok(())
}
