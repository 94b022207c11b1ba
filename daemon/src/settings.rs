//! Settings files in INI format.
//!
//! A file is validated as a whole when it is loaded, so that a process with a
//! wrong setting does not start and later reads of a setting cannot fail.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use thiserror::Error;

use crate::logging::Sink;

/// Definition of one setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Section of the file that contains the key.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// Value that applies if the file does not set the key; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Accepted values.
    pub kind: ValueKind,
    /// Short description, with the unit of the value.
    pub help: &'static str,
}

/// Accepted values of a setting.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    /// Name of letters, digits, `-`, `_` and `.`.
    Name,
    /// Any text.
    Text,
    /// IP address and port.
    Addr,
    /// IP addresses and ports, separated by commas; may be empty.
    Addrs,
    /// Whole number within inclusive bounds.
    Number(u64, u64),
    /// Decimal number within inclusive bounds.
    Decimal(f64, f64),
    /// One of the listed words.
    Choice(&'static [&'static str]),
}

/// A setting given on the command line as `section.key=value`, in place of the file's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Override {
    section: String,
    key: String,
    value: String,
}

/// The text of an [`Override`] does not have its form.
#[derive(Debug, Error)]
#[error("{0:?}: must be section.key=value")]
pub struct OverrideError(String);

impl FromStr for Override {
    type Err = OverrideError;

    fn from_str(text: &str) -> Result<Override, OverrideError> {
        let parts = text.split_once('=').and_then(|(name, value)| Some((name.split_once('.')?, value)));
        let ((section, key), value) = parts.ok_or_else(|| OverrideError(text.to_owned()))?;
        Ok(Override {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
        })
    }
}

/// Why a settings file was refused.
#[derive(Debug, Error)]
pub enum Error {
    /// The file could not be read or parsed.
    #[error("{file}: {message}")]
    File {
        /// Path of the file.
        file: String,
        /// Error from reading or parsing the file.
        message: String,
    },
    /// The file has a key that the program does not know.
    #[error("{file}: [{section}] {key}: unknown setting; known here: {known}")]
    UnknownKey {
        /// Path of the file.
        file: String,
        /// Section that contains the key.
        section: String,
        /// Key that is not known.
        key: String,
        /// Known keys of the section, separated by commas.
        known: String,
    },
    /// A required key is absent.
    #[error("{file}: [{section}] {key}: required, must be {allowed}")]
    MissingKey {
        /// Path of the file.
        file: String,
        /// Section that contains the key.
        section: &'static str,
        /// Key that the file must set.
        key: &'static str,
        /// Description of the accepted values.
        allowed: String,
    },
    /// A value is not accepted.
    #[error("{file}: [{section}] {key} = {value:?}: must be {allowed}")]
    InvalidValue {
        /// Path of the file.
        file: String,
        /// Section that contains the key.
        section: &'static str,
        /// Key that has the value.
        key: &'static str,
        /// Value in the file.
        value: String,
        /// Description of the accepted values.
        allowed: String,
    },
}

/// Contents of a valid settings file.
///
/// The getters return the value in the file, or else the default. They are meant for keys that the
/// program defines; for any other key they return an empty or zero value.
#[derive(Clone, Debug)]
pub struct Settings {
    file: String,
    ini: Ini,
    specs: &'static [SettingSpec],
}

impl Settings {
    /// Reads and validates a file.
    pub fn load(path: &Path, specs: &'static [SettingSpec]) -> Result<Settings, Error> {
        Settings::load_with(path, &[], specs)
    }

    /// Reads a file, replaces some of its values and validates the result. An empty value replaces
    /// nothing.
    pub fn load_with(path: &Path, overrides: &[Override], specs: &'static [SettingSpec]) -> Result<Settings, Error> {
        let file = path.display().to_string();
        let mut ini = Ini::load_from_file(path).map_err(|err| Error::File {
            file: file.clone(),
            message: err.to_string(),
        })?;
        for it in overrides.iter().filter(|it| !it.value.is_empty()) {
            ini.set_to(Some(&*it.section), it.key.clone(), it.value.clone());
        }
        Settings::validate(file, ini, specs)
    }

    /// Parses and validates the text of a file; `file` is its path for error messages.
    pub fn parse(file: &str, text: &str, specs: &'static [SettingSpec]) -> Result<Settings, Error> {
        let file = file.to_owned();
        let ini = Ini::load_from_str(text).map_err(|err| Error::File {
            file: file.clone(),
            message: err.to_string(),
        })?;
        Settings::validate(file, ini, specs)
    }

    fn validate(file: String, ini: Ini, specs: &'static [SettingSpec]) -> Result<Settings, Error> {
        let settings = Settings { file, ini, specs };
        for (section, properties) in settings.ini.iter() {
            for (key, _) in properties.iter() {
                settings.check_key(section.unwrap_or(""), key)?;
            }
        }
        for spec in specs {
            settings.check_value(spec)?;
        }
        Ok(settings)
    }

    /// Checks that the program defines the key.
    fn check_key(&self, section: &str, key: &str) -> Result<(), Error> {
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

    /// Checks that the value is accepted, and that a required one is present.
    fn check_value(&self, spec: &'static SettingSpec) -> Result<(), Error> {
        let (section, key, allowed) = (spec.section, spec.key, spec.kind.describe());
        let Some(value) = self.raw_value(spec) else {
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

    /// Returns the text in the file, or else the default.
    fn raw_value(&self, spec: &SettingSpec) -> Option<&str> {
        self.ini.get_from(Some(spec.section), spec.key).or(spec.default)
    }

    /// Returns a value as text.
    pub fn text(&self, section: &str, key: &str) -> &str {
        let spec = self.specs.iter().find(|it| it.section == section && it.key == key);
        spec.and_then(|it| self.raw_value(it)).unwrap_or_default()
    }

    /// Returns a value as a whole number.
    pub fn number(&self, section: &str, key: &str) -> u64 {
        self.text(section, key).parse().unwrap_or_default()
    }

    /// Returns a decimal value multiplied by 1000, rounded to a whole number.
    pub fn decimal_in_thousandths(&self, section: &str, key: &str) -> u64 {
        let value: f64 = self.text(section, key).parse().unwrap_or_default();
        (value * 1000.0).round() as u64
    }

    /// Returns a value given in milliseconds as a duration.
    pub fn millis(&self, section: &str, key: &str) -> Duration {
        Duration::from_millis(self.number(section, key))
    }

    /// Returns a value as an address; `0.0.0.0:0` if it is not one.
    pub fn addr(&self, section: &str, key: &str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        self.text(section, key).parse().unwrap_or(unset)
    }

    /// Destination of log lines; standard error unless a file is set.
    pub fn log_sink(&self) -> Sink {
        match self.text("logging", "file") {
            "" => Sink::Stderr,
            path => Sink::File(path.into()),
        }
    }

    /// Least severe level that is logged.
    pub fn log_level(&self) -> log::LevelFilter {
        self.text("logging", "level").parse().unwrap_or(log::LevelFilter::Info)
    }

    /// Returns a comma-separated value as addresses.
    pub fn addrs(&self, section: &str, key: &str) -> Vec<SocketAddr> {
        let parts = self.text(section, key).split(',');
        parts.filter_map(|it| it.trim().parse().ok()).collect()
    }
}

impl ValueKind {
    /// Whether the text of a value is accepted.
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

    /// Describes the accepted values, to follow "must be" in an error message.
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

const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug"];

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
    kind: ValueKind::Choice(LOG_LEVELS),
    help: "least severe level that is logged",
};
const LOG_FILE: SettingSpec = SettingSpec {
    section: "logging",
    key: "file",
    default: Some(""),
    kind: ValueKind::Text,
    help: "file for log lines; empty for standard error",
};

/// Settings that `oriole-entry` accepts.
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
        help: "other entries to load the state from at startup, also while the log is down",
    },
    PLATFORM_LOG,
    PLATFORM_LIST,
    SettingSpec {
        section: "bounds",
        key: "fresh_ms",
        default: Some("2000"),
        kind: ValueKind::Number(500, 2_500),
        help: "maximum age of the view of the log at which jobs are started, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "clock_ms",
        default: Some("250"),
        kind: ValueKind::Number(1, 450),
        help: "maximum difference between the wall clocks of two instances, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "lease_ms",
        default: Some("6000"),
        kind: ValueKind::Number(2_000, 600_000),
        help: "duration of the lease under which a worker runs a task, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "peer_dead_ms",
        default: Some("2500"),
        kind: ValueKind::Number(500, 60_000),
        help: "time without a message from a peer of the same zone after which it is fenced, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "id_age_ms",
        default: Some("900000"),
        kind: ValueKind::Number(10_000, 86_400_000),
        help: "time for which jobs and their ids are kept after acceptance, milliseconds",
    },
    SettingSpec {
        section: "bounds",
        key: "stop_grace_ms",
        default: Some("10000"),
        kind: ValueKind::Number(100, 600_000),
        help: "maximum time for which a stopping entry waits until its callers are answered, milliseconds",
    },
    SettingSpec {
        section: "limits",
        key: "body_bytes",
        default: Some("1048576"),
        kind: ValueKind::Number(1_024, 67_108_864),
        help: "maximum length of a request body, bytes",
    },
    SettingSpec {
        section: "limits",
        key: "connections",
        default: Some("4096"),
        kind: ValueKind::Number(16, 65_536),
        help: "maximum number of open connections",
    },
    LOG_LEVEL,
    LOG_FILE,
];

/// Settings that `oriole-maintain` accepts.
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
        help: "number of offsets between two snapshots; keep it below a third of the log's retention",
    },
    PLATFORM_LOG,
    PLATFORM_LIST,
    LOG_LEVEL,
    LOG_FILE,
];

/// Settings that `oriolectl` and `oriole-timeline` accept.
pub const CLIENT: &[SettingSpec] = &[
    SettingSpec {
        section: "client",
        key: "author",
        default: Some("operator"),
        kind: ValueKind::Name,
        help: "author that is recorded with each change",
    },
    SettingSpec {
        section: "client",
        key: "entries",
        default: Some(""),
        kind: ValueKind::Addrs,
        help: "entries to query and to send holds to",
    },
    SettingSpec {
        section: "client",
        key: "sources",
        default: Some(""),
        kind: ValueKind::Addrs,
        help: "further processes to read events from, such as oriole-maintain",
    },
    PLATFORM_LOG,
];
