//! `oriolectl instance`.

use std::net::SocketAddr;

use argh::FromArgs;
use oriole_daemon::timeline::{self, EventFilter};
use oriolewall::fleet::{Instance, Purpose};
use oriolewall::record::Change;
use serde::Serialize;

use crate::context::Context;

/// List, add, move, remove and explain upstream instances.
///
/// Example: oriolectl --config client.ini instance add za-w1 --zone za --rack r1 --pool shared --addr 127.0.0.1:7710
#[derive(FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Add(Add),
    Move(Move),
    Remove(Remove),
    Explain(Explain),
}

/// List all instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Add an instance to a pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
    /// name of the instance
    #[argh(positional)]
    id: String,
    /// its availability zone
    #[argh(option)]
    zone: String,
    /// its rack
    #[argh(option)]
    rack: String,
    /// its pool
    #[argh(option)]
    pool: String,
    /// address of its task interface
    #[argh(option)]
    addr: SocketAddr,
    /// tasks it runs at once
    #[argh(option, default = "8")]
    slots: u32,
}

/// Drain an instance, then let it join another pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
struct Move {
    /// name of the instance
    #[argh(positional)]
    id: String,
    /// the pool to join
    #[argh(positional)]
    pool: String,
}

/// Remove an instance for good.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// name of the instance
    #[argh(positional)]
    id: String,
}

/// Say which pool holds an instance, why it gets no work, and what it did lately.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// name of the instance
    #[argh(positional)]
    id: String,
}

#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    #[serde(flatten)]
    instance: &'a Instance,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::List(_) => list(ctx).await,
        Action::Add(args) => add(ctx, args).await,
        Action::Move(args) => {
            let epoch = find(ctx, &args.id).await?.epoch;
            let purpose = Purpose::Move {
                to: args.pool.as_str().into(),
            };
            ctx.change(Change::Permit {
                id: args.id.as_str().into(),
                epoch,
                purpose,
            })
            .await
            .map(drop)
        }
        Action::Remove(args) => {
            let epoch = find(ctx, &args.id).await?.epoch;
            ctx.change(Change::InstanceRemove {
                id: args.id.as_str().into(),
                epoch,
            })
            .await
            .map(drop)
        }
        Action::Explain(args) => explain(ctx, &args.id).await,
    }
}

/// The instance as recorded.
pub(super) async fn find(ctx: &Context, id: &str) -> anyhow::Result<Instance> {
    let state = ctx.state().await?;
    let found = state.fleet.get(id).cloned();
    found.ok_or_else(|| anyhow::anyhow!("no instance {id}; list them with `oriolectl instance list`"))
}

async fn list(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let lines: Vec<Line<'_>> = state.fleet.iter().map(|(id, instance)| Line { id, instance }).collect();
    ctx.print(&lines, || {
        let text = |it: &Line<'_>| {
            format!(
                "{:<16} {:<6} {:<6} {:<12} {:>3} slots  {}",
                it.id,
                it.instance.zone,
                it.instance.rack,
                it.instance.pool,
                it.instance.slots,
                condition(it.instance)
            )
        };
        lines.iter().map(text).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

fn condition(instance: &Instance) -> String {
    match &instance.permit {
        Some(permit) => format!(
            "{:?} for {:?}, record {} by {}",
            permit.phase, permit.purpose, permit.offset, permit.author
        ),
        None => format!("{:?}", instance.health),
    }
}

async fn add(ctx: &Context, args: Add) -> anyhow::Result<()> {
    let change = Change::InstanceAdd {
        id: args.id.as_str().into(),
        zone: args.zone.as_str().into(),
        rack: args.rack.as_str().into(),
        pool: args.pool.as_str().into(),
        addr: args.addr,
        slots: args.slots,
    };
    ctx.change(change).await.map(drop)
}

async fn explain(ctx: &Context, id: &str) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let instance = find(ctx, id).await?;
    let path = oriolewall::state::zone_pool_path(&instance.zone, &instance.pool);
    let takes = state.tree.explain(&path, oriolewall::setting::STATE);
    let filter = EventFilter {
        instance: Some(id.to_owned()),
        ..EventFilter::default()
    };
    let collected = timeline::collect(ctx.operator.client(), ctx.operator.entries()).await;
    let events: Vec<String> = collected
        .events
        .iter()
        .filter(|it| filter.matches(it))
        .map(timeline::format_event)
        .collect();
    ctx.print(&Line { id, instance: &instance }, || {
        let from = takes.node.as_deref().unwrap_or("built-in default");
        let mut text = format!(
            "{id} is in pool {} of zone {}, rack {}, epoch {}\ncondition: {}\nits zone and pool: {} (from {from})",
            instance.pool,
            instance.zone,
            instance.rack,
            instance.epoch,
            condition(&instance),
            takes.text
        );
        for line in events.iter().rev().take(10).rev() {
            text.push_str(&format!("\n  {line}"));
        }
        for gap in &collected.gaps {
            text.push_str(&format!("\n  missing: {gap}"));
        }
        text
    });
    Ok(())
}
