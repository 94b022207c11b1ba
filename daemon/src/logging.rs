//! Logging set-up: one JSON object per line, written by log4rs.

use std::path::PathBuf;

use anyhow::Context;
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Destination of log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sink {
    /// Writes to standard error.
    Stderr,
    /// Appends to a file.
    File(PathBuf),
}

/// Initializes the global logger. Fails if the file cannot be opened or the logger is already
/// initialized.
pub fn start(sink: &Sink, level: LevelFilter) -> anyhow::Result<()> {
    let encoder = Box::new(JsonEncoder::new());
    let appender: Box<dyn Append> = match sink {
        Sink::Stderr => Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build()),
        Sink::File(path) => {
            let built = FileAppender::builder().encoder(encoder).build(path);
            Box::new(built.with_context(|| format!("cannot open log file {}", path.display()))?)
        }
    };
    let config = Config::builder()
        .appender(Appender::builder().build("main", appender))
        .build(Root::builder().appender("main").build(level))
        .context("cannot configure logging")?;
    log4rs::init_config(config).context("cannot start logging")?;
    Ok(())
}
