//! `oriole-entry`: accepts callers' jobs and runs them on the workers of its availability zone.

use std::path::PathBuf;

use argh::FromArgs;
use oriole_daemon::node::{self, NodeConfig};
use oriole_daemon::settings::{self, Settings};
use oriole_daemon::{logging, server, shutdown};
use tokio::sync::watch;

/// Run one entry instance until SIGTERM, then hand over its work and finish open requests.
///
/// Example: oriole-entry --config examples/entry-za-e1.ini
#[derive(FromArgs)]
struct Args {
    /// path of the settings file
    #[argh(option)]
    config: PathBuf,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.config, settings::ENTRY)?;
    logging::start(&settings.log_sink(), settings.log_level())?;
    let node = NodeConfig::from_settings(&settings);
    let listener = server::bind(settings.addr("entry", "listen")).await?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        shutdown::wait_for_signal().await;
        let _ = stop.send(true);
        // Keeps `stop` alive, and so the channel open, until the process ends.
        std::future::pending::<()>().await;
    });
    node::run(node, listener, stopped).await;
    Ok(())
}
