//! `oriolectl status`: prints the status of every entry.

use argh::FromArgs;
use oriole_daemon::api::EntryStatus;
use oriole_daemon::client::Call;

use crate::context::Context;

/// Timeout of the call to one entry.
const ENTRY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Show the lifecycle state of every entry, its position in the log, its queued jobs and its running tasks.
///
/// Example: oriolectl --config client.ini status
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Args {}

pub(super) async fn run(ctx: &Context, _: Args) -> anyhow::Result<()> {
    let statuses = fetch_entry_statuses(ctx).await;
    ctx.print(&statuses, || {
        let lines = ctx.operator.entries().iter().zip(&statuses).map(|(addr, status)| match status {
            Some(it) => {
                // Time since the entry was last up to date with the log.
                let age = it.age_ms.map_or_else(|| "never".to_owned(), |age| format!("{age} ms ago"));
                format!(
                    "{:<28} {:<6} {:<8} offset {:>6}, seen {age}; {} queued, {} running",
                    it.id, it.zone, it.life, it.next, it.queued, it.running
                )
            }
            None => format!("{addr} does not answer"),
        });
        lines.collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

/// Requests the status of every configured entry, in the order of the settings file; `None`
/// where there is no answer or it cannot be decoded.
pub(super) async fn fetch_entry_statuses(ctx: &Context) -> Vec<Option<EntryStatus>> {
    let mut statuses = Vec::new();
    for entry in ctx.operator.entries() {
        let response = ctx.operator.client().call(Call::get(*entry, "/v1/status", ENTRY_TIMEOUT)).await;
        statuses.push(response.ok().and_then(|it| serde_json::from_slice(&it.body).ok()));
    }
    statuses
}
