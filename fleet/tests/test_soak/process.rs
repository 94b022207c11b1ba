//! Instances of the program as processes, which are stopped when their owner is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::ports::free_port;

const EXAMPLE: &str = include_str!("../../../examples/fleet.ini");

/// An instance that can be stopped, paused and started again.
#[derive(Debug)]
pub(crate) struct Instance {
    name: String,
    settings: PathBuf,
    output: PathBuf,
    pub(crate) caller_port: u16,
    pub(crate) ready_port: u16,
    child: Option<Child>,
    /// Whether the process was asked to end.
    is_stopping: bool,
}

impl Instance {
    /// Writes the settings of an instance into a folder.
    pub(crate) fn new(folder: &Path, number: usize, log_port: u16, partitions: usize) -> Instance {
        Instance::with_changes(folder, number, log_port, partitions, &[])
    }

    /// Writes the settings of an instance into a folder, with other values of some keys.
    pub(crate) fn with_changes(
        folder: &Path,
        number: usize,
        log_port: u16,
        partitions: usize,
        changes: &[(&'static str, String)],
    ) -> Instance {
        let name = format!("entry-{number}");
        let (caller_port, ready_port) = (free_port(), free_port());
        let values = [
            ("name", name.clone()),
            ("callers", format!("127.0.0.1:{caller_port}")),
            ("ready", format!("127.0.0.1:{ready_port}")),
            ("peers", format!("127.0.0.1:{}", free_port())),
            ("metrics", format!("127.0.0.1:{}", free_port())),
            ("log", format!("127.0.0.1:{log_port}")),
            ("parts", partitions.to_string()),
            ("machines", String::new()),
        ];
        let line = |line: &str| {
            let key = line.split(" =").next().unwrap_or_default();
            match changes.iter().chain(&values).find(|(name, _)| *name == key) {
                Some((key, value)) => format!("{key} = {value}\n"),
                None => format!("{line}\n"),
            }
        };
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, EXAMPLE.lines().map(line).collect::<String>()).expect("the settings can be written");
        Instance {
            settings,
            output: folder.join(format!("{name}.log")),
            name,
            caller_port,
            ready_port,
            child: None,
            is_stopping: false,
        }
    }

    /// Starts the process if it does not run.
    pub(crate) fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let open = || {
            File::options()
                .create(true)
                .append(true)
                .open(&self.output)
                .expect("the output can be opened")
        };
        let child = Command::new(env!("CARGO_BIN_EXE_oriole-fleet"))
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn();
        self.child = Some(child.expect("the program can be started"));
        self.is_stopping = false;
    }

    /// Id of the process; `None` if it was not started.
    #[allow(dead_code, reason = "the soak reads nothing of the process itself")]
    pub(crate) fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(child) = &self.child
        {
            let _ = kill_process(Pid::from_child(child), signal);
            self.is_stopping |= signal == Signal::TERM;
        }
    }

    /// Has the process run again that was paused.
    pub(crate) fn continue_paused(&self) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), Signal::CONT);
        }
    }

    /// Has the process run again that was paused, stopped or asked to end.
    pub(crate) fn recover(&mut self) {
        if self.is_stopping {
            self.kill();
        }
        self.signal(Signal::CONT);
        self.start();
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Appends a comment to the settings file.
    pub(crate) fn touch_settings(&self) {
        let text = std::fs::read_to_string(&self.settings).unwrap_or_default();
        // An instance that starts meanwhile must not read a file that is cut short.
        let changed = self.settings.with_extension("changed");
        if std::fs::write(&changed, format!("{text}; changed\n")).is_ok() {
            let _ = std::fs::rename(changed, &self.settings);
        }
    }

    /// Returns the lines of the process's output that contain a text.
    pub(crate) fn lines_with(&self, text: &str) -> Vec<String> {
        let output = std::fs::read_to_string(&self.output).unwrap_or_default();
        output.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }
}

/// Waits until the instance with a port for checks reports itself ready.
pub(crate) async fn wait_until_ready(ready_port: u16, patience: Duration) {
    let addr = std::net::SocketAddr::from(([127, 0, 0, 1], ready_port));
    let deadline = tokio::time::Instant::now() + patience;
    while tokio::time::Instant::now() < deadline {
        let call = oriole_daemon::client::Call::get(addr, "/readyz", Duration::from_millis(500));
        let answer = oriole_daemon::client::Client::new().call(call).await;
        if answer.is_ok_and(|it| it.status == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the instances do not get ready");
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Time from SIGTERM to SIGKILL (`graceS`).
pub(crate) const GRACE: Duration = Duration::from_secs(6);
