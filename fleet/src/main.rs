//! `oriole-fleet`: one entry instance on the users' platform.

use std::path::PathBuf;

use argh::FromArgs;
use oriole_fleet::settings::Settings;

/// Run one entry instance until SIGTERM, which hands its pools over and cuts no request.
///
/// Example: oriole-fleet --config examples/fleet.ini
#[derive(FromArgs)]
struct Args {
    /// settings file
    #[argh(option)]
    config: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

// One thread: an entry instance has a quarter of a core, and its pools share most state.
#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.config)?;
    if args.check {
        println!("{}: ok", args.config.display());
        return Ok(());
    }
    oriole_fleet::run(settings, args.config).await
}
