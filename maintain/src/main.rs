//! `oriole-maintain`: drains instances, runs maintenance waves and writes snapshots of the state.

use std::path::PathBuf;

use argh::FromArgs;
use oriole_daemon::maintenance::{self, MaintenanceConfig};
use oriole_daemon::settings::{self, Settings};
use oriole_daemon::{logging, server, shutdown};
use tokio::sync::watch;

/// Run one maintenance process until SIGTERM.
///
/// Example: oriole-maintain --config examples/maintain-za.ini
#[derive(FromArgs)]
struct Args {
    /// path of the settings file
    #[argh(option)]
    config: PathBuf,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.config, settings::MAINTAIN)?;
    logging::start(&settings.log_sink(), settings.log_level())?;
    let listener = server::bind(settings.addr("maintain", "listen")).await?;
    let (stop, stopped) = watch::channel(false);
    let run = tokio::spawn(maintenance::run(MaintenanceConfig::from_settings(&settings), listener, stopped));
    shutdown::wait_for_signal().await;
    let _ = stop.send(true);
    run.await?;
    Ok(())
}
