//! `oriolectl instance`: lists, adds, moves, removes and explains upstream instances.

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
    /// availability zone of the instance
    #[argh(option)]
    zone: String,
    /// rack of the instance
    #[argh(option)]
    rack: String,
    /// pool to add the instance to
    #[argh(option)]
    pool: String,
    /// IP address and port to which task requests are sent
    #[argh(option)]
    addr: SocketAddr,
    /// number of tasks that the instance runs at once
    #[argh(option, default = "8")]
    slots: u32,
}

/// Drain an instance, then move it to another pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
struct Move {
    /// name of the instance
    #[argh(positional)]
    id: String,
    /// pool to move the instance to
    #[argh(positional)]
    pool: String,
}

/// Remove an instance from the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// name of the instance
    #[argh(positional)]
    id: String,
}

/// Show the pool of an instance, what keeps it from new work, and its latest events.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// name of the instance
    #[argh(positional)]
    id: String,
}

/// An instance together with its name.
#[derive(Serialize)]
struct NamedInstance<'a> {
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
            ctx.apply_change(Change::Permit {
                id: args.id.as_str().into(),
                epoch,
                purpose,
            })
            .await
            .map(drop)
        }
        Action::Remove(args) => {
            let epoch = find(ctx, &args.id).await?.epoch;
            ctx.apply_change(Change::InstanceRemove {
                id: args.id.as_str().into(),
                epoch,
            })
            .await
            .map(drop)
        }
        Action::Explain(args) => explain(ctx, &args.id).await,
    }
}

/// Reads the recorded state of an instance; an error if there is none with this name.
pub(super) async fn find(ctx: &Context, id: &str) -> anyhow::Result<Instance> {
    let state = ctx.read_state().await?;
    let found = state.fleet.get(id).cloned();
    found.ok_or_else(|| anyhow::anyhow!("no instance {id}; list them with `oriolectl instance list`"))
}

async fn list(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
    let instances: Vec<NamedInstance<'_>> = state.fleet.iter().map(|(id, instance)| NamedInstance { id, instance }).collect();
    ctx.print(&instances, || {
        let format_line = |it: &NamedInstance<'_>| {
            format!(
                "{:<16} {:<6} {:<6} {:<12} {:>3} slots  {}",
                it.id,
                it.instance.zone,
                it.instance.rack,
                it.instance.pool,
                it.instance.slots,
                format_condition(it.instance)
            )
        };
        instances.iter().map(format_line).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

/// Describes the permit that the instance is under, or else its health.
fn format_condition(instance: &Instance) -> String {
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
    ctx.apply_change(change).await.map(drop)
}

async fn explain(ctx: &Context, id: &str) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
    let instance = find(ctx, id).await?;
    let path = oriolewall::state::zone_pool_path(&instance.zone, &instance.pool);
    let zone_pool_state = state.tree.explain(&path, oriolewall::setting::STATE);
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
    ctx.print(&NamedInstance { id, instance: &instance }, || {
        let origin = zone_pool_state.node.as_deref().unwrap_or("built-in default");
        let mut text = format!(
            "{id} is in pool {} of zone {}, rack {}, epoch {}\ncondition: {}\nits zone and pool: {} (from {origin})",
            instance.pool,
            instance.zone,
            instance.rack,
            instance.epoch,
            format_condition(&instance),
            zone_pool_state.text
        );
        // The ten latest events, oldest first.
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
