//! What all commands share: the operator's connection, the settings, the output
//! format, and the translation of errors into exit codes.

use std::path::Path;
use std::process::ExitCode;

use anyhow::bail;
use oriole_daemon::operator::{AcceptedChange, Error, OperatorClient};
use oriole_daemon::settings::{self, Settings};
use oriolewall::record::Change;
use oriolewall::state::{Refusal, State};
use oriolewall::tree::{self, Edit};
use serde::Serialize;

/// Exit code of a command that was refused or failed, except for conflicts.
const EXIT_FAILED: u8 = 1;
/// Exit code of an edit that was refused because the node had changed since its version was read.
const EXIT_CONFLICT: u8 = 2;

/// Format in which results are printed to standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Text and tables for people.
    Human,
    /// One JSON value per line, for programs.
    Json,
}

/// The operator's connection, settings and output format for one invocation.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) operator: OperatorClient,
    pub(crate) settings: Settings,
    output_format: OutputFormat,
}

impl Context {
    /// Reads the settings file and prepares the connection; nothing is sent yet.
    pub(crate) fn load(config: &Path, output_format: OutputFormat) -> anyhow::Result<Context> {
        let settings = Settings::load(config, settings::CLIENT)?;
        let entries = settings.addrs("client", "entries");
        let operator = OperatorClient::new(settings.addr("platform", "log"), entries, settings.text("client", "author"));
        Ok(Context {
            operator,
            settings,
            output_format,
        })
    }

    /// Reads the shared state from the log, or from an entry if the log cannot be read.
    pub(crate) async fn read_state(&self) -> anyhow::Result<State> {
        Ok(self.operator.read_state().await?)
    }

    /// Appends a change to the log, waits until it is accepted or refused, and prints the
    /// offset of the record if it was accepted.
    pub(crate) async fn apply_change(&self, change: Change) -> anyhow::Result<AcceptedChange> {
        let accepted = self.operator.apply_change(change).await?;
        #[derive(Serialize)]
        struct Accepted {
            accepted: u64,
        }
        self.print(&Accepted { accepted: accepted.offset }, || {
            format!("accepted as record {}", accepted.offset)
        });
        Ok(accepted)
    }

    /// Sets one setting of a node, or removes it if `value` is `None`.
    ///
    /// The edit is refused as a conflict if another operator changes the node after its
    /// version was read here.
    pub(crate) async fn edit_setting(&self, path: &str, name: &str, value: Option<&str>) -> anyhow::Result<AcceptedChange> {
        let state = self.read_state().await?;
        let expected = Some(state.tree.version(path));
        let edit = Edit {
            path: path.to_owned(),
            name: name.to_owned(),
            value: value.map(str::to_owned),
            expected,
        };
        self.apply_change(Change::Edit(edit)).await
    }

    /// Prints the value as JSON or the text for people, depending on the output format.
    pub(crate) fn print<T, F>(&self, value: &T, text: F)
    where
        T: Serialize,
        F: FnOnce() -> String,
    {
        match self.output_format {
            OutputFormat::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
            OutputFormat::Human => println!("{}", text()),
        }
    }
}

/// Returns the error `no {item}; {hint}` unless the item exists.
///
/// Commands call it before a change that the state would accept for an unknown name, or
/// would refuse without a hint.
pub(crate) fn ensure_exists(exists: bool, item: &str, hint: &str) -> anyhow::Result<()> {
    if exists {
        return Ok(());
    }
    bail!("no {item}; {hint}")
}

/// Prints an error, with a hint if it is a conflict, and returns the exit code.
pub(crate) fn print_error(err: &anyhow::Error) -> ExitCode {
    eprintln!("error: {err:#}");
    let is_conflict = matches!(
        err.downcast_ref(),
        Some(Error::Refused(Refusal::Tree(tree::Error::Conflict { .. })))
    );
    if is_conflict {
        eprintln!("hint: another operator changed this node; check its values with `oriolectl tree get` and try again");
        return ExitCode::from(EXIT_CONFLICT);
    }
    ExitCode::from(EXIT_FAILED)
}
