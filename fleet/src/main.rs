//! Command line of `oriole-fleet`, which runs one entry instance.

use std::path::PathBuf;

use argh::FromArgs;
use oriole_fleet::settings::Settings;

/// Run one entry instance until SIGTERM. It then hands its partitions over and finishes open requests.
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

// A single thread suffices: an entry instance gets a quarter of a core, and the
// pools that it owns share most of their state.
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
