//! `oriolectl zone`.

use std::collections::BTreeSet;

use argh::FromArgs;
use oriole_daemon::api::EntryStatus;
use oriolewall::setting;
use oriolewall::state::zone_path;
use oriolewall::wire::Hold;
use serde::Serialize;

use crate::context::Context;

/// Take an availability zone out, bring it back in, or show all zones.
///
/// Example: oriolectl --config client.ini zone out zb
#[derive(FromArgs)]
#[argh(subcommand, name = "zone")]
pub(crate) struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Out(Out),
    In(In),
    Status(Status),
}

/// Start nothing more in a zone.
#[derive(FromArgs)]
#[argh(subcommand, name = "out")]
struct Out {
    /// the zone
    #[argh(positional)]
    zone: String,
}

/// Start work in a zone again.
#[derive(FromArgs)]
#[argh(subcommand, name = "in")]
struct In {
    /// the zone
    #[argh(positional)]
    zone: String,
}

/// Show every zone and which entries know its state.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

#[derive(Serialize)]
struct Line {
    zone: String,
    state: String,
    offset: Option<u64>,
    instances: usize,
    entries_that_know: usize,
    entries_pending: usize,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::Out(args) => {
            // Entries stop at once, whatever becomes of the append.
            let told = ctx.operator.send_hold(&Hold::Zone(args.zone.as_str().into())).await;
            eprintln!("{told} of {} entries told directly", ctx.operator.entries().len());
            ctx.edit(&zone_path(&args.zone), setting::STATE, Some("out")).await.map(drop)
        }
        Action::In(args) => ctx.edit(&zone_path(&args.zone), setting::STATE, Some("in")).await.map(drop),
        Action::Status(_) => status(ctx).await,
    }
}

async fn status(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let seen: Vec<EntryStatus> = super::status::entries(ctx).await.into_iter().flatten().collect();
    let zones: BTreeSet<_> = state.fleet.iter().map(|(_, it)| it.zone.clone()).collect();
    let mut lines = Vec::new();
    for zone in zones {
        let found = state.tree.explain(&zone_path(&zone), setting::STATE);
        let offset = found.offset.unwrap_or(0);
        let know = seen.iter().filter(|it| offset < it.next).count();
        lines.push(Line {
            state: found.text,
            offset: found.offset,
            instances: state.fleet.iter().filter(|(_, it)| it.zone == zone).count(),
            entries_that_know: know,
            entries_pending: ctx.operator.entries().len() - know,
            zone: zone.to_string(),
        });
    }
    ctx.print(&lines, || {
        let text = |it: &Line| {
            format!(
                "{:<8} {:<4} {:>4} instances; known to {} entries, pending at {}",
                it.zone, it.state, it.instances, it.entries_that_know, it.entries_pending
            )
        };
        lines.iter().map(text).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}
