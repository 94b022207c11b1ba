//! Settings of an entry instance on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use oriole_daemon::settings::{Error, Kind, Settings as File, Spec};
use oriolewall::id::ZoneId;

const fn spec(section: &'static str, key: &'static str, kind: Kind, help: &'static str) -> Spec {
    Spec {
        section,
        key,
        default: None,
        kind,
        help,
    }
}

/// Settings of `oriole-fleet`; all are required, as the platform fills them in.
pub const SPECS: &[Spec] = &[
    spec("node", "name", Kind::Name, "name of this instance"),
    spec("node", "zone", Kind::Name, "availability zone of this instance"),
    spec("listen", "callers", Kind::Addr, "address for callers"),
    spec("listen", "ready", Kind::Addr, "address for readiness checks"),
    spec("listen", "peers", Kind::Addr, "address for other entry instances"),
    spec("listen", "metrics", Kind::Addr, "address for metrics"),
    spec("platform", "log", Kind::Addr, "address of the log service"),
    spec("platform", "parts", Kind::Number(1, 1024), "partitions of a topic of the log"),
    spec(
        "platform",
        "member_ttl_ms",
        Kind::Number(100, 60_000),
        "least time to live of a member, milliseconds",
    ),
    spec(
        "platform",
        "machines",
        Kind::Text,
        "address of the service that manages instances; empty for none",
    ),
    spec(
        "platform",
        "advice",
        Kind::Text,
        "address of the service that gives advice; empty for none",
    ),
    spec(
        "bounds",
        "lease_max_ms",
        Kind::Number(1_000, 600_000),
        "longest lease that workers grant, milliseconds",
    ),
    spec(
        "bounds",
        "stop_ms",
        Kind::Number(1, 60_000),
        "longest time that a worker takes to stop a task, milliseconds",
    ),
    spec(
        "bounds",
        "grace_ms",
        Kind::Number(500, 600_000),
        "time from SIGTERM to SIGKILL, milliseconds",
    ),
    spec(
        "bounds",
        "duty_lease_ms",
        Kind::Number(0, 60_000),
        "time between orders of two holders of fleet duties, milliseconds",
    ),
    spec(
        "limits",
        "processor",
        Kind::Decimal(0.01, 1024.0),
        "processor of this instance, cores",
    ),
    spec("limits", "memory_mb", Kind::Number(16, 1_048_576), "memory of this instance, MiB"),
    spec(
        "limits",
        "descriptors",
        Kind::Number(64, 1_048_576),
        "file descriptors of this instance",
    ),
];

/// Settings that may change while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformBounds {
    /// Longest lease that workers grant.
    pub lease_max: Duration,
    /// Longest time that a worker takes to stop a task.
    pub stop_max: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// Time between orders of two holders of fleet duties.
    pub coordinator_lease: Duration,
}

/// Settings in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this instance.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for readiness checks.
    pub readiness_addr: SocketAddr,
    /// Address for other entry instances.
    pub peer_addr: SocketAddr,
    /// Address for metrics.
    pub metrics_addr: SocketAddr,
    /// Address of the log service.
    pub log_addr: SocketAddr,
    /// Partitions of a topic of the log.
    pub partitions: u32,
    /// Least time to live of a member of a group.
    pub member_ttl: Duration,
    /// Address of the service that manages instances.
    pub machines_addr: Option<SocketAddr>,
    /// Address of the service that gives advice.
    pub advice_addr: Option<SocketAddr>,
    /// What may change while the process runs.
    pub bounds: PlatformBounds,
    /// Processor of this instance, thousandths of a core.
    pub cpu_millis: u64,
    /// File descriptors of this instance.
    pub descriptors: usize,
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        Ok(Settings::from_file(&File::load(path, SPECS)?))
    }

    /// Checks the text of a file.
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
            machines_addr: file.text("platform", "machines").parse().ok(),
            advice_addr: file.text("platform", "advice").parse().ok(),
            bounds: PlatformBounds {
                lease_max: file.millis("bounds", "lease_max_ms"),
                stop_max: file.millis("bounds", "stop_ms"),
                shutdown_grace: file.millis("bounds", "grace_ms"),
                coordinator_lease: file.millis("bounds", "duty_lease_ms"),
            },
            cpu_millis: file.thousandths("limits", "processor"),
            descriptors: file.number("limits", "descriptors") as usize,
        }
    }
}
