//! Command line of `oriole-fleet`, which runs one entry instance.

use std::path::PathBuf;

use argh::FromArgs;
use oriole_daemon::settings::Override;
use oriole_fleet::settings::{Settings, Source};

/// Run one entry instance until SIGTERM. It then hands its partitions over and finishes open requests.
///
/// Example: oriole-fleet --config examples/fleet.ini
#[derive(FromArgs)]
struct Args {
    /// settings file
    #[argh(option)]
    config: PathBuf,
    /// setting in place of the file's, as section.key=value; an empty value leaves that of the file
    #[argh(option)]
    set: Vec<Override>,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

// A single thread suffices: an entry instance gets a quarter of a core, and the
// pools that it owns share most of their state.
#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let source = Source {
        path: args.config,
        overrides: args.set,
    };
    let settings = Settings::load(&source)?;
    if args.check {
        println!("{}: ok", source.path.display());
        return Ok(());
    }
    oriole_fleet::run(settings, source).await
}
