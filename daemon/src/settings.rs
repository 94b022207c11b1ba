//! Settings files in INI, checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ini::Ini;
use thiserror::Error;

use crate::logging::Sink;

/// One setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Section of the file.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// Value if the file has none; `None` makes the key required.
    pub default: Option<&'static str>,
    /// Accepted values.
    pub kind: ValueKind,
    /// What it governs, with its unit.
    pub help: &'static str,
}

/// Accepted values of a setting.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// Any text.
    Text,
    /// IP address and port.
    Addr,
    /// IP addresses and ports, separated by commas; may be empty.
    Addrs,
    /// A whole number within inclusive bounds.
    Number(u64, u64),
    /// A number with decimals within inclusive bounds.
    Decimal(f64, f64),
    /// One of a few words.
    Choice(&'static [&'static str]),
}

/// Why a settings file was refused.
#[derive(Debug, Error)]
pub enum Error {
    /// The file could not be read or parsed.
    #[error("{file}: {message}")]
    File {
        /// The file.
        file: String,
        /// What is wrong.
        message: String,
    },
    /// The file has a key that the program does not know.
    #[error("{file}: [{section}] {key}: unknown setting; known here: {known}")]
    UnknownKey {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// Known keys of the section.
        known: String,
    },
    /// A required key is absent.
    #[error("{file}: [{section}] {key}: required, must be {allowed}")]
    MissingKey {
        /// The file.
        file: String,
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// What is accepted.
        allowed: String,
    },
    /// A value is not accepted.
    #[error("{file}: [{section}] {key} = {value:?}: must be {allowed}")]
    InvalidValue {
        /// The file.
        file: String,
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// What is accepted.
        allowed: String,
    },
}

/// A checked settings file.
#[derive(Clone, Debug)]
pub struct Settings {
    file: String,
    ini: Ini,
    specs: &'static [SettingSpec],
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path, specs: &'static [SettingSpec]) -> Result<Settings, Error> {
        let file = path.display().to_string();
        let ini = Ini::load_from_file(path).map_err(|err| Error::File {
            file: file.clone(),
            message: err.to_string(),
        })?;
        Settings::check(file, ini, specs)
    }

    /// Checks the text of a file.
    pub fn parse(file: &str, text: &str, specs: &'static [SettingSpec]) -> Result<Settings, Error> {
        let file = file.to_owned();
        let ini = Ini::load_from_str(text).map_err(|err| Error::File {
            file: file.clone(),
            message: err.to_string(),
        })?;
        Settings::check(file, ini, specs)
    }

    fn check(file: String, ini: Ini, specs: &'static [SettingSpec]) -> Result<Settings, Error> {
        let settings = Settings { file, ini, specs };
        for (section, properties) in settings.ini.iter() {
            for (key, _) in properties.iter() {
                settings.check_known(section.unwrap_or(""), key)?;
            }
        }
        for spec in specs {
            settings.check_value(spec)?;
        }
        Ok(settings)
    }

    fn check_known(&self, section: &str, key: &str) -> Result<(), Error> {
        if self.specs.iter().any(|it| it.section == section && it.key == key) {
            return Ok(());
        }
        let known: Vec<&str> = self.specs.iter().filter(|it| it.section == section).map(|it| it.key).collect();
        Err(Error::UnknownKey {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            known: known.join(", "),
        })
    }

    fn check_value(&self, spec: &'static SettingSpec) -> Result<(), Error> {
        let (section, key, allowed) = (spec.section, spec.key, spec.kind.describe());
        let Some(value) = self.raw(spec) else {
            return Err(Error::MissingKey {
                file: self.file.clone(),
                section,
                key,
                allowed,
            });
        };
        if spec.kind.accepts(value) {
            return Ok(());
        }
        Err(Error::InvalidValue {
            file: self.file.clone(),
            section,
            key,
            value: value.to_owned(),
            allowed,
        })
    }

    fn raw(&self, spec: &SettingSpec) -> Option<&str> {
        self.ini.get_from(Some(spec.section), spec.key).or(spec.default)
    }

    /// The value in force, as text.
    pub fn text(&self, section: &str, key: &str) -> &str {
        let spec = self.specs.iter().find(|it| it.section == section && it.key == key);
        spec.and_then(|it| self.raw(it)).unwrap_or_default()
    }

    /// The value in force, as a number.
    pub fn number(&self, section: &str, key: &str) -> u64 {
        self.text(section, key).parse().unwrap_or_default()
    }

    /// The value in force, in thousandths.
    pub fn decimal_in_thousandths(&self, section: &str, key: &str) -> u64 {
        let value: f64 = self.text(section, key).parse().unwrap_or_default();
        (value * 1000.0).round() as u64
    }

    /// The value in force, as a time given in milliseconds.
    pub fn millis(&self, section: &str, key: &str) -> Duration {
        Duration::from_millis(self.number(section, key))
    }

    /// The value in force, as an address.
    pub fn addr(&self, section: &str, key: &str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        self.text(section, key).parse().unwrap_or(unset)
    }

    /// Where log lines go.
    pub fn log_sink(&self) -> Sink {
        match self.text("logging", "file") {
            "" => Sink::Stderr,
            path => Sink::File(path.into()),
        }
    }

    /// Least level that is logged.
    pub fn log_level(&self) -> log::LevelFilter {
        self.text("logging", "level").parse().unwrap_or(log::LevelFilter::Info)
    }

    /// The value in force, as addresses.
    pub fn addrs(&self, section: &str, key: &str) -> Vec<SocketAddr> {
        let parts = self.text(section, key).split(',');
        parts.filter_map(|it| it.trim().parse().ok()).collect()
    }
}

impl ValueKind {
    fn accepts(&self, value: &str) -> bool {
        match self {
            ValueKind::Name => oriolewall::setting::is_valid_name(value),
            ValueKind::Text => true,
            ValueKind::Addr => value.parse::<SocketAddr>().is_ok(),
            ValueKind::Addrs => value.is_empty() || value.split(',').all(|it| it.trim().parse::<SocketAddr>().is_ok()),
            ValueKind::Number(min, max) => value.parse().is_ok_and(|it: u64| *min <= it && it <= *max),
            ValueKind::Decimal(min, max) => value.parse().is_ok_and(|it: f64| *min <= it && it <= *max),
            ValueKind::Choice(words) => words.contains(&value),
        }
    }

    /// Describes the accepted values.
    pub fn describe(&self) -> String {
        match self {
            ValueKind::Name => "a name of letters, digits, '-', '_' and '.'".to_owned(),
            ValueKind::Text => "any text".to_owned(),
            ValueKind::Addr => "an IP address and port, such as 127.0.0.1:7001".to_owned(),
            ValueKind::Addrs => "IP addresses and ports separated by commas".to_owned(),
            ValueKind::Number(min, max) => format!("a whole number from {min} to {max}"),
            ValueKind::Decimal(min, max) => format!("a number from {min} to {max}"),
            ValueKind::Choice(words) => format!("one of {}", words.join(", ")),
        }
    }
}

const LEVELS: &[&str] = &["error", "warn", "info", "debug"];

const PLATFORM_LOG: SettingSpec = SettingSpec {
    section: "platform",
    key: "log",
    default: None,
    kind: ValueKind::Addr,
    help: "address of the platform's append-only log",
};
const PLATFORM_LIST: SettingSpec = SettingSpec {
    section: "platform",
    key: "list",
    default: None,
    kind: ValueKind::Addr,
    help: "address of the platform's instance list",
};
const LOG_LEVEL: SettingSpec = SettingSpec {
    section: "logging",
    key: "level",
    default: Some("info"),
    kind: ValueKind::Choice(LEVELS),
    help: "least level that is logged",
};
const LOG_FILE: SettingSpec = SettingSpec {
    section: "logging",
    key: "file",
    default: Some(""),
    kind: ValueKind::Text,
    help: "file for log lines; empty for standard error",
};

/// Settings of `oriole-entry`.
pub const ENTRY: &[SettingSpec] = &[
    SettingSpec {
        section: "entry",
        key: "name",
        default: None,
        kind: ValueKind::Name,
        help: "name of this instance",
    },
    SettingSpec {
        section: "entry",
        key: "zone",
        default: None,
        kind: ValueKind::Name,
        help: "availability zone of this instance",
    },
    SettingSpec {
        section: "entry",
        key: "listen",
        default: None,
        kind: ValueKind::Addr,
        help: "address for callers, operators and other entries",
    },
    SettingSpec {
        section: "entry",
        key: "peers",
        default: Some(""),
        kind: ValueKind::Addrs,
        help: "other entries to start from when the log is down",
    },
    PLATFORM_LOG,
    PLATFORM_LIST,
    SettingSpec {
        section: "bounds",
        key: "fresh_ms",
        default: Some("2000"),
        kind: ValueKind::Number(500, 2_500),
        help: "age of knowledge up to which work starts, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "clock_ms",
        default: Some("250"),
        kind: ValueKind::Number(1, 450),
        help: "largest difference between two clocks, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "lease_ms",
        default: Some("6000"),
        kind: ValueKind::Number(2_000, 600_000),
        help: "length of task leases, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "peer_dead_ms",
        default: Some("2500"),
        kind: ValueKind::Number(500, 60_000),
        help: "silence after which a peer of the zone is fenced, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "id_age_ms",
        default: Some("900000"),
        kind: ValueKind::Number(10_000, 86_400_000),
        help: "time for which job ids are remembered, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "stop_grace_ms",
        default: Some("10000"),
        kind: ValueKind::Number(100, 600_000),
        help: "time for which a stopping entry waits for its callers' answers, milliseconds",
    },
    SettingSpec {
        section: "limits",
        key: "body_bytes",
        default: Some("1048576"),
        kind: ValueKind::Number(1_024, 67_108_864),
        help: "largest request body, bytes",
    },
    SettingSpec {
        section: "limits",
        key: "connections",
        default: Some("4096"),
        kind: ValueKind::Number(16, 65_536),
        help: "most connections at once",
    },
    LOG_LEVEL,
    LOG_FILE,
];

/// Settings of `oriole-maintain`.
pub const MAINTAIN: &[SettingSpec] = &[
    SettingSpec {
        section: "maintain",
        key: "name",
        default: None,
        kind: ValueKind::Name,
        help: "name of this instance",
    },
    SettingSpec {
        section: "maintain",
        key: "zone",
        default: None,
        kind: ValueKind::Name,
        help: "availability zone of this instance",
    },
    SettingSpec {
        section: "maintain",
        key: "listen",
        default: None,
        kind: ValueKind::Addr,
        help: "address for metrics, health and events",
    },
    SettingSpec {
        section: "maintain",
        key: "snapshot_every",
        default: Some("20000"),
        kind: ValueKind::Number(10, 10_000_000),
        help: "offsets between two snapshots; keep it under a third of the log's retention",
    },
    PLATFORM_LOG,
    PLATFORM_LIST,
    LOG_LEVEL,
    LOG_FILE,
];

/// Settings of `oriolectl` and `oriole-timeline`.
pub const CLIENT: &[SettingSpec] = &[
    SettingSpec {
        section: "client",
        key: "author",
        default: Some("operator"),
        kind: ValueKind::Name,
        help: "name that signs changes",
    },
    SettingSpec {
        section: "client",
        key: "entries",
        default: Some(""),
        kind: ValueKind::Addrs,
        help: "entries to ask and to tell",
    },
    SettingSpec {
        section: "client",
        key: "sources",
        default: Some(""),
        kind: ValueKind::Addrs,
        help: "further processes with events, such as oriole-maintain",
    },
    PLATFORM_LOG,
];
