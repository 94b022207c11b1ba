//! `oriolectl zone`: takes availability zones out of service, returns them, and lists them.

use std::collections::BTreeSet;

use argh::FromArgs;
use oriole_daemon::api::EntryStatus;
use oriolewall::setting;
use oriolewall::state::zone_path;
use oriolewall::wire::Hold;
use serde::Serialize;

use crate::context::Context;

/// Take an availability zone out of service, return it to service, or list all zones.
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

/// Take a zone out of service; no new work starts in it.
#[derive(FromArgs)]
#[argh(subcommand, name = "out")]
struct Out {
    /// name of the zone
    #[argh(positional)]
    zone: String,
}

/// Return a zone to service; new work starts in it again.
#[derive(FromArgs)]
#[argh(subcommand, name = "in")]
struct In {
    /// name of the zone
    #[argh(positional)]
    zone: String,
}

/// List all zones with their state and the number of entries that have applied it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// State of a zone, and how many entries have applied it.
#[derive(Serialize)]
struct ZoneStatus {
    zone: String,
    /// `in` if the zone takes new work, else `out`.
    state: String,
    /// Offset of the record that set the state; `None` for the built-in default.
    offset: Option<u64>,
    instances: usize,
    /// Entries that have applied the record that set the state.
    entries_that_know: usize,
    /// The other configured entries, including those that did not answer.
    entries_pending: usize,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::Out(args) => {
            // Entries stop starting work in the zone at once, even if the append fails. The hold
            // ends when they have applied the record, or after a limited time if there is none.
            let notified = ctx.operator.send_hold(&Hold::Zone(args.zone.as_str().into())).await;
            eprintln!("{notified} of {} entries notified directly", ctx.operator.entries().len());
            ctx.edit_setting(&zone_path(&args.zone), setting::STATE, Some("out"))
                .await
                .map(drop)
        }
        Action::In(args) => ctx.edit_setting(&zone_path(&args.zone), setting::STATE, Some("in")).await.map(drop),
        Action::Status(_) => status(ctx).await,
    }
}

async fn status(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
    let entry_statuses: Vec<EntryStatus> = super::status::fetch_entry_statuses(ctx).await.into_iter().flatten().collect();
    let zones: BTreeSet<_> = state.fleet.iter().map(|(_, it)| it.zone.clone()).collect();
    let mut zone_statuses = Vec::new();
    for zone in zones {
        let explanation = state.tree.explain(&zone_path(&zone), setting::STATE);
        let offset = explanation.offset.unwrap_or(0);
        let applied_count = entry_statuses.iter().filter(|it| offset < it.next).count();
        zone_statuses.push(ZoneStatus {
            state: explanation.text,
            offset: explanation.offset,
            instances: state.fleet.iter().filter(|(_, it)| it.zone == zone).count(),
            entries_that_know: applied_count,
            entries_pending: ctx.operator.entries().len() - applied_count,
            zone: zone.to_string(),
        });
    }
    ctx.print(&zone_statuses, || {
        let format_line = |it: &ZoneStatus| {
            format!(
                "{:<8} {:<4} {:>4} instances; known to {} entries, pending at {}",
                it.zone, it.state, it.instances, it.entries_that_know, it.entries_pending
            )
        };
        zone_statuses.iter().map(format_line).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}
