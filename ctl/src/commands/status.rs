//! `oriolectl status`.

use argh::FromArgs;
use oriole_daemon::api::EntryStatus;
use oriole_daemon::client::Call;

use crate::context::Context;

const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Show every entry: its phase, what it knows, what it runs.
///
/// Example: oriolectl --config client.ini status
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Args {}

pub(super) async fn run(ctx: &Context, _: Args) -> anyhow::Result<()> {
    let found = entries(ctx).await;
    ctx.print(&found, || {
        let lines = ctx.operator.entries().iter().zip(&found).map(|(addr, status)| match status {
            Some(it) => {
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

/// The status of every named entry; `None` where one does not answer.
pub(super) async fn entries(ctx: &Context) -> Vec<Option<EntryStatus>> {
    let mut found = Vec::new();
    for entry in ctx.operator.entries() {
        let response = ctx.operator.client().call(Call::get(*entry, "/v1/status", TIMEOUT)).await;
        found.push(response.ok().and_then(|it| serde_json::from_slice(&it.body).ok()));
    }
    found
}
