//! `oriolectl job`: lists jobs and prints the events of one.

use argh::FromArgs;
use oriole_daemon::api::JobSummary;
use oriole_daemon::client::Call;
use oriole_daemon::timeline::{self, EventFilter};
use oriolewall::event::Event;

use crate::context::Context;

/// Timeout of the call to one entry.
const ENTRY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// List jobs, or print the events that explain where and why one ran.
///
/// Example: oriolectl --config client.ini job explain 01900000-0000-7000-8000-000000000000
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Explain(Explain),
}

/// List the jobs of all entries, including ended ones that are still retained.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// only jobs of this team, such as org/utility/checks
    #[argh(option)]
    team: Option<String>,
}

/// Print the events of a job, collected from all entries.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// id of the job
    #[argh(positional)]
    id: String,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::List(args) => list(ctx, args.team.as_deref()).await,
        Action::Explain(args) => explain(ctx, &args.id).await,
    }
}

async fn list(ctx: &Context, team: Option<&str>) -> anyhow::Result<()> {
    let mut jobs: Vec<JobSummary> = Vec::new();
    for entry in ctx.operator.entries() {
        match ctx.operator.client().call(Call::get(*entry, "/v1/all-jobs", ENTRY_TIMEOUT)).await {
            Ok(response) => jobs.extend(serde_json::from_slice::<Vec<JobSummary>>(&response.body)?),
            Err(err) => eprintln!("missing: jobs of {entry}: {err}"),
        }
    }
    jobs.retain(|it| team.is_none_or(|team| *it.team == *team));
    jobs.sort_by_key(|it| it.id);
    ctx.print(&jobs, || {
        jobs.iter()
            .map(|it| format!("{} {:<32} {}", it.id, it.team, it.state))
            .collect::<Vec<_>>()
            .join("\n")
    });
    Ok(())
}

async fn explain(ctx: &Context, id: &str) -> anyhow::Result<()> {
    let filter = EventFilter {
        job: Some(id.to_owned()),
        ..EventFilter::default()
    };
    let collected = timeline::collect(ctx.operator.client(), ctx.operator.entries()).await;
    let events: Vec<&Event> = collected.events.iter().filter(|it| filter.matches(it)).collect();
    for gap in &collected.gaps {
        eprintln!("missing: {gap}");
    }
    anyhow::ensure!(!events.is_empty(), "no entry has events of job {id}");
    ctx.print(&events, || {
        events.iter().map(|it| timeline::format_event(it)).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}
