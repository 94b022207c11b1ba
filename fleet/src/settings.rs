//! Settings file of `oriole-fleet`: the accepted keys and the parsed values.
//!
//! Only the `[bounds]` section can change while the process runs; a change of
//! any other setting takes effect at the next start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use oriole_daemon::settings::{Error, Override, SettingSpec, Settings as File, ValueKind};
use oriolewall::client_budget::Limits;
use oriolewall::commit_size::CommitLimits;
use oriolewall::id::ZoneId;
use oriolewall::order::TokenForm;

/// Creates the specification of a required key.
const fn spec(section: &'static str, key: &'static str, kind: ValueKind, help: &'static str) -> SettingSpec {
    SettingSpec {
        section,
        key,
        default: None,
        kind,
        help,
    }
}

/// Value of the setting for [`TokenForm::Epoch`].
const EPOCH_FORM: &str = "epoch";
/// Value of the setting for [`TokenForm::Contact`].
const CONTACT_FORM: &str = "contact";

/// Value of a setting that switches a decision on.
const ON: &str = "on";
/// Value of a setting that switches a decision off.
const OFF: &str = "off";

/// Creates the specification of a limit on clients.
const fn client_spec(key: &'static str, default: &'static str, min: u64, max: u64, help: &'static str) -> SettingSpec {
    SettingSpec {
        section: "clients",
        key,
        default: Some(default),
        kind: ValueKind::Number(min, max),
        help,
    }
}

/// Accepted keys. Those that operators set have a default, and those that files for earlier builds
/// do not contain; the platform generates the file with every other key set.
pub const SPECS: &[SettingSpec] = &[
    spec("node", "name", ValueKind::Name, "name of this instance"),
    spec("node", "zone", ValueKind::Name, "availability zone of this instance"),
    spec("listen", "callers", ValueKind::Addr, "address for callers"),
    spec("listen", "ready", ValueKind::Addr, "address for readiness checks"),
    spec("listen", "peers", ValueKind::Addr, "address for other entry instances"),
    spec("listen", "metrics", ValueKind::Addr, "address for metrics"),
    spec("platform", "log", ValueKind::Addr, "address of the log service"),
    spec(
        "platform",
        "parts",
        ValueKind::Number(1, 1024),
        "number of partitions in each partitioned topic of the log",
    ),
    spec(
        "platform",
        "member_ttl_ms",
        ValueKind::Number(100, 60_000),
        "minimum time to live of a group membership, milliseconds",
    ),
    SettingSpec {
        section: "platform",
        key: "record_bytes",
        default: Some("262144"),
        kind: ValueKind::Number(65_536, 16_777_216),
        help: "largest record that the log takes, with its key, bytes",
    },
    SettingSpec {
        section: "platform",
        key: "call_bytes",
        default: Some("2097152"),
        kind: ValueKind::Number(1_048_576, 268_435_456),
        help: "largest total of the records of a call that the log takes, bytes",
    },
    spec(
        "platform",
        "machines",
        ValueKind::Text,
        "address of the service that manages instances; empty for none",
    ),
    spec(
        "platform",
        "advice",
        ValueKind::Text,
        "address of the service that advises on task placement; empty for none",
    ),
    spec(
        "bounds",
        "lease_max_ms",
        ValueKind::Number(1_000, 600_000),
        "longest lease that workers grant, milliseconds",
    ),
    spec(
        "bounds",
        "stop_ms",
        ValueKind::Number(1, 60_000),
        "longest time that a worker takes to stop a task, milliseconds",
    ),
    spec(
        "bounds",
        "grace_ms",
        ValueKind::Number(500, 600_000),
        "time from SIGTERM to SIGKILL, milliseconds",
    ),
    spec(
        "bounds",
        "duty_lease_ms",
        ValueKind::Number(0, 60_000),
        "minimum time between orders of successive fleet coordinators to the same instance, milliseconds",
    ),
    SettingSpec {
        section: "bounds",
        key: "visible_ms",
        default: Some("3000"),
        kind: ValueKind::Number(500, 600_000),
        help: "time from the acceptance of a job within which all instances know it, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "cancel_ms",
        default: Some("3000"),
        kind: ValueKind::Number(500, 600_000),
        help: "time from the acknowledgement of a cancel after which nothing of the job starts, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "config_apply_ms",
        default: Some("2000"),
        kind: ValueKind::Number(500, 600_000),
        help: "time within which all instances apply a configuration, milliseconds",
    },
    spec(
        "limits",
        "processor",
        ValueKind::Decimal(0.01, 1024.0),
        "CPU of this instance, cores",
    ),
    spec(
        "limits",
        "memory_mb",
        ValueKind::Number(16, 1_048_576),
        "memory of this instance, MiB",
    ),
    spec(
        "limits",
        "descriptors",
        ValueKind::Number(64, 1_048_576),
        "limit on open file descriptors of this instance",
    ),
    SettingSpec {
        section: "orders",
        key: "token",
        default: Some(CONTACT_FORM),
        kind: ValueKind::Choice(&[CONTACT_FORM, EPOCH_FORM]),
        help: "form of the fencing tokens in orders to workers",
    },
    SettingSpec {
        section: "forecast",
        key: "peaks",
        default: Some(ON),
        kind: ValueKind::Choice(&[ON, OFF]),
        help: "whether pools get workers before an expected demand peak",
    },
    SettingSpec {
        section: "forecast",
        key: "move_ms",
        default: Some("2000"),
        kind: ValueKind::Number(100, 60_000),
        help: "time from the order to move a worker to another pool until it takes tasks, milliseconds",
    },
    SettingSpec {
        section: "placement",
        key: "learned",
        default: Some(ON),
        kind: ValueKind::Choice(&[ON, OFF]),
        help: "whether run times, worker speeds and interference are learned and used",
    },
    client_spec(
        "head_bytes",
        "16384",
        8_192,
        65_536,
        "maximum size of a request's head with the empty lines before it, bytes",
    ),
    client_spec("head_ms", "10000", 1_000, 60_000, "time for the head of a request, milliseconds"),
    client_spec("body_ms", "15000", 1_000, 120_000, "time for the body of a request, milliseconds"),
    client_spec(
        "body_rate",
        "8192",
        0,
        1_048_576,
        "minimum rate of a body over 5 s, bytes per second",
    ),
    client_spec(
        "response_ms",
        "10000",
        1_000,
        120_000,
        "time within which a client has to take more of a response, milliseconds",
    ),
    client_spec(
        "idle_ms",
        "86400000",
        10_000,
        86_400_000,
        "time after which a connection without requests is closed, milliseconds",
    ),
];

/// Limits that the platform guarantees, from the `[bounds]` section. They are
/// reloaded when the settings file changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformBounds {
    /// Longest task lease that workers grant.
    pub lease_max: Duration,
    /// Longest time that a worker takes to stop a task.
    pub stop_max: Duration,
    /// Time between SIGTERM and SIGKILL when the platform stops this instance.
    pub shutdown_grace: Duration,
    /// Minimum time between orders of successive fleet coordinators to the same instance.
    pub coordinator_lease: Duration,
    /// Time from the acceptance of a job within which all instances know it.
    pub visible: Duration,
    /// Time from the acknowledgement of a cancel after which nothing of the job starts.
    pub cancel: Duration,
    /// Time within which all instances apply a configuration.
    pub config_apply: Duration,
}

/// Limits on clients, from the `[clients]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request's head with the empty lines before it, bytes.
    pub head_bytes: usize,
    /// Time for the head of a request.
    pub head_time: Duration,
    /// Time for the body of a request.
    pub body_time: Duration,
    /// Minimum rate of a body, bytes per second.
    pub body_rate: u64,
    /// Time within which a client has to take more of a response.
    pub response_time: Duration,
    /// Time after which a connection without requests is closed.
    pub idle_time: Duration,
}

/// Where the settings of a process come from.
#[derive(Clone, Debug)]
pub struct Source {
    /// The settings file.
    pub path: PathBuf,
    /// Settings of the command line, which replace those of the file.
    pub overrides: Vec<Override>,
}

impl From<PathBuf> for Source {
    fn from(path: PathBuf) -> Source {
        Source {
            path,
            overrides: Vec::new(),
        }
    }
}

/// Parsed contents of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this instance in the decision log and in its orders as fleet coordinator.
    pub name: String,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Listen address of the API for callers.
    pub caller_addr: SocketAddr,
    /// Listen address of the platform's readiness checks.
    pub readiness_addr: SocketAddr,
    /// Listen address for calls from other entry instances. It is also part of
    /// this instance's member name in the group of owners.
    pub peer_addr: SocketAddr,
    /// Listen address that serves Prometheus metrics.
    pub metrics_addr: SocketAddr,
    /// Address of the log service.
    pub log_addr: SocketAddr,
    /// Number of partitions in each partitioned topic of the log.
    pub partitions: u32,
    /// Lower limit for the time to live of a group membership.
    pub member_ttl: Duration,
    /// Limits of the log on records and calls.
    pub commit_limits: CommitLimits,
    /// Address of the service that manages instances; `None` if there is none. The
    /// fleet coordinator then neither moves instances nor runs maintenance waves.
    pub machines_addr: Option<SocketAddr>,
    /// Address of the service that advises on task placement; `None` if there
    /// is none.
    pub advice_addr: Option<SocketAddr>,
    /// Limits of the platform as of this reading of the file.
    pub bounds: PlatformBounds,
    /// CPU of this instance in millicores.
    pub cpu_millis: u64,
    /// Limit on open file descriptors of this instance.
    pub descriptors: usize,
    /// Memory of this instance, bytes.
    pub memory_bytes: usize,
    /// Limits on clients.
    pub clients: ClientLimits,
    /// Form of the fencing tokens in orders to workers.
    pub token_form: TokenForm,
    /// Whether pools get workers before an expected demand peak.
    pub forecasts_peaks: bool,
    /// Time from the order to move a worker to another pool until it takes tasks.
    pub move_time: Duration,
    /// Whether owners learn from runs and place tasks by it.
    pub learns: bool,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        let limits = Limits::default();
        ClientLimits {
            head_bytes: 16_384,
            head_time: limits.head_time,
            body_time: limits.body_time,
            body_rate: limits.body_rate,
            response_time: limits.response_time,
            idle_time: limits.idle_time,
        }
    }
}

impl Settings {
    /// Reads and validates the settings.
    pub fn load(source: &Source) -> Result<Settings, Error> {
        let file = File::load_with(&source.path, &source.overrides, SPECS)?;
        Ok(Settings::from_file(&file))
    }

    /// Validates settings text; `file` is the name to use in errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
        Ok(Settings::from_file(&File::parse(file, text, SPECS)?))
    }

    fn from_file(file: &File) -> Settings {
        Settings {
            name: file.text("node", "name").to_owned(),
            zone: ZoneId::from(file.text("node", "zone")),
            caller_addr: file.addr("listen", "callers"),
            readiness_addr: file.addr("listen", "ready"),
            peer_addr: file.addr("listen", "peers"),
            metrics_addr: file.addr("listen", "metrics"),
            log_addr: file.addr("platform", "log"),
            partitions: file.number("platform", "parts") as u32,
            member_ttl: file.millis("platform", "member_ttl_ms"),
            commit_limits: CommitLimits {
                record_bytes: file.number("platform", "record_bytes") as usize,
                call_bytes: file.number("platform", "call_bytes") as usize,
            },
            machines_addr: file.text("platform", "machines").parse().ok(),
            advice_addr: file.text("platform", "advice").parse().ok(),
            bounds: PlatformBounds {
                lease_max: file.millis("bounds", "lease_max_ms"),
                stop_max: file.millis("bounds", "stop_ms"),
                shutdown_grace: file.millis("bounds", "grace_ms"),
                coordinator_lease: file.millis("bounds", "duty_lease_ms"),
                visible: file.millis("bounds", "visible_ms"),
                cancel: file.millis("bounds", "cancel_ms"),
                config_apply: file.millis("bounds", "config_apply_ms"),
            },
            cpu_millis: file.decimal_in_thousandths("limits", "processor"),
            descriptors: file.number("limits", "descriptors") as usize,
            memory_bytes: (file.number("limits", "memory_mb") as usize) << 20,
            clients: ClientLimits {
                head_bytes: file.number("clients", "head_bytes") as usize,
                head_time: file.millis("clients", "head_ms"),
                body_time: file.millis("clients", "body_ms"),
                body_rate: file.number("clients", "body_rate"),
                response_time: file.millis("clients", "response_ms"),
                idle_time: file.millis("clients", "idle_ms"),
            },
            token_form: match file.text("orders", "token") {
                EPOCH_FORM => TokenForm::Epoch,
                _ => TokenForm::Contact,
            },
            forecasts_peaks: file.text("forecast", "peaks") == ON,
            move_time: file.millis("forecast", "move_ms"),
            learns: file.text("placement", "learned") == ON,
        }
    }
}
