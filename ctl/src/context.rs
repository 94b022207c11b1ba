//! What every command needs: the operator's connection and the way of printing.

use std::path::Path;
use std::process::ExitCode;

use anyhow::bail;
use oriole_daemon::operator::{AcceptedChange, Error, OperatorClient};
use oriole_daemon::settings::{self, Settings};
use oriolewall::record::Change;
use oriolewall::state::{Refusal, State};
use oriolewall::tree::{self, Edit};
use serde::Serialize;

/// Exit code of a failed command.
const FAILED: u8 = 1;
/// Exit code of a change that met another operator's.
const CONFLICT: u8 = 2;

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// For people.
    Human,
    /// For programs.
    Json,
}

/// Connection and way of printing.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) operator: OperatorClient,
    pub(crate) settings: Settings,
    output: Output,
}

impl Context {
    pub(crate) fn load(config: &Path, output: Output) -> anyhow::Result<Context> {
        let settings = Settings::load(config, settings::CLIENT)?;
        let entries = settings.addrs("client", "entries");
        let operator = OperatorClient::new(settings.addr("platform", "log"), entries, settings.text("client", "author"));
        Ok(Context {
            operator,
            settings,
            output,
        })
    }

    pub(crate) async fn state(&self) -> anyhow::Result<State> {
        Ok(self.operator.read_state().await?)
    }

    /// Makes a change and says at which record it was accepted.
    pub(crate) async fn change(&self, change: Change) -> anyhow::Result<AcceptedChange> {
        let receipt = self.operator.apply_change(change).await?;
        #[derive(Serialize)]
        struct Accepted {
            accepted: u64,
        }
        self.print(&Accepted { accepted: receipt.offset }, || {
            format!("accepted as record {}", receipt.offset)
        });
        Ok(receipt)
    }

    /// Edits one setting, refusing to overwrite what another operator changes meanwhile.
    pub(crate) async fn edit(&self, path: &str, name: &str, value: Option<&str>) -> anyhow::Result<AcceptedChange> {
        let state = self.state().await?;
        let expected = Some(state.tree.version(path));
        let edit = Edit {
            path: path.to_owned(),
            name: name.to_owned(),
            value: value.map(str::to_owned),
            expected,
        };
        self.change(Change::Edit(edit)).await
    }

    /// Prints a value as JSON, or the text made for people.
    pub(crate) fn print<T, F>(&self, value: &T, text: F)
    where
        T: Serialize,
        F: FnOnce() -> String,
    {
        match self.output {
            Output::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
            Output::Human => println!("{}", text()),
        }
    }
}

/// Checks that a team, pool or zone is known before something is written about it.
pub(crate) fn require(known: bool, what: &str, hint: &str) -> anyhow::Result<()> {
    if known {
        return Ok(());
    }
    bail!("no {what}; {hint}")
}

/// Prints an error with a hint and gives its exit code.
pub(crate) fn report(err: &anyhow::Error) -> ExitCode {
    eprintln!("error: {err:#}");
    let conflict = matches!(
        err.downcast_ref(),
        Some(Error::Refused(Refusal::Tree(tree::Error::Conflict { .. })))
    );
    if conflict {
        eprintln!("hint: another operator changed this node; look with `oriolectl tree get` and try again");
        return ExitCode::from(CONFLICT);
    }
    ExitCode::from(FAILED)
}
