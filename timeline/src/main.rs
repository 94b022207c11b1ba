//! `oriole-timeline`: prints the events of all processes, merged into one timeline.

use std::path::PathBuf;

use argh::FromArgs;
use oriole_daemon::client::Client;
use oriole_daemon::settings::{self, Settings};
use oriole_daemon::timeline::{self, EventFilter};

/// Print the events of all processes, merged into one timeline.
///
/// Example: oriole-timeline --config examples/client.ini --team org/utility/checks
#[derive(FromArgs)]
struct Args {
    /// path of the settings file
    #[argh(option)]
    config: PathBuf,
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
    /// print events as JSON, one per line
    #[argh(switch)]
    json: bool,
    /// files of JSON lines to read events from, instead of requesting them from the processes
    #[argh(positional)]
    files: Vec<PathBuf>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.config, settings::CLIENT)?;
    let filter = EventFilter {
        team: args.team,
        instance: args.instance,
        job: args.job,
        zone: args.zone,
    };
    let timeline = if args.files.is_empty() {
        let mut sources = settings.addrs("client", "entries");
        sources.extend(settings.addrs("client", "sources"));
        timeline::collect(&Client::new(), &sources).await
    } else {
        timeline::load(&args.files)?
    };
    for event in timeline.events.iter().filter(|it| filter.matches(it)) {
        if args.json {
            println!("{}", serde_json::to_string(event)?);
        } else {
            println!("{}", timeline::format_event(event));
        }
    }
    for gap in &timeline.gaps {
        eprintln!("missing: {gap}");
    }
    Ok(())
}
