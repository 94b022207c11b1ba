//! `oriolectl timeline`: prints the events of all processes, merged into one timeline.

use argh::FromArgs;
use oriole_daemon::timeline::{self, EventFilter};

use crate::context::Context;

/// Print the events of all processes, merged into one timeline.
///
/// Example: oriolectl --config client.ini timeline --zone zb
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct Args {
    /// only events of this team, such as org/utility/checks
    #[argh(option)]
    team: Option<String>,
    /// only events of this instance
    #[argh(option)]
    instance: Option<String>,
    /// only events of the job with this id
    #[argh(option)]
    job: Option<String>,
    /// only events of this availability zone
    #[argh(option)]
    zone: Option<String>,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    let filter = EventFilter {
        team: args.team,
        instance: args.instance,
        job: args.job,
        zone: args.zone,
    };
    let mut sources = ctx.operator.entries().to_vec();
    sources.extend(ctx.settings.addrs("client", "sources"));
    let collected = timeline::collect(ctx.operator.client(), &sources).await;
    for event in collected.events.iter().filter(|it| filter.matches(it)) {
        ctx.print(event, || timeline::format_event(event));
    }
    for gap in &collected.gaps {
        eprintln!("missing: {gap}");
    }
    Ok(())
}
