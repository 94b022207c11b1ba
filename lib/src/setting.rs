//! Definitions of the settings in the tree: names, defaults, accepted values and units.

use thiserror::Error;

/// Definition of a setting that nodes of the tree may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Name as operators write it.
    pub name: &'static str,
    /// Value that applies when no node on the path sets one.
    pub default: &'static str,
    /// Accepted values.
    pub kind: Kind,
    /// Unit of the value; empty for plain numbers and words.
    pub unit: &'static str,
    /// One-line description for operators.
    pub help: &'static str,
}

/// The set of values that a setting accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A whole number within inclusive bounds.
    Number {
        /// Smallest value accepted.
        min: u64,
        /// Largest value accepted.
        max: u64,
    },
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A comma-separated list of names.
    Names,
    /// A whole number, or a percentage of the pool followed by `%`.
    Budget,
}

/// Whether new work starts in a subtree: `in` or `out`.
pub const STATE: &str = "state";
/// Slots that a team may use fleet-wide at once.
pub const CAP: &str = "cap";
/// Weight of a team when the slots do not suffice for all teams.
pub const WEIGHT: &str = "weight";
/// Pools that a team's jobs may run in, in order of preference.
pub const POOLS: &str = "pools";
/// Maximum number of jobs of one team in the queue of one entry instance.
pub const QUEUE_LIMIT: &str = "queue_limit";
/// Instances of a pool that may be down, suspect or under a permit at once.
pub const BUDGET: &str = "budget";
/// Action of a drain on running tasks: `wait`, `checkpoint` or `stop`.
pub const ON_DRAIN: &str = "on_drain";
/// Action on running tasks that exceed a lowered cap: `wait`, `checkpoint` or `stop`.
pub const OVER_CAP: &str = "over_cap";
/// Whether entry instances start new work while no zone can read the log: `continue` or `stop`.
pub const LOG_OUTAGE: &str = "log_outage";
/// Number of distinct workers on which a failing repeatable job is attempted.
pub const MAX_ATTEMPTS: &str = "max_attempts";
/// Slots of each instance of a pool that are reserved for urgent work.
pub const URGENT_RESERVE: &str = "urgent_reserve";

/// Upper bound of settings that count slots or jobs.
const MAX_COUNT: u64 = 1_000_000;

/// All settings, in the order of the operators' reference page.
pub const ALL: &[Setting] = &[
    Setting {
        name: STATE,
        default: "in",
        kind: Kind::Choice(&["in", "out"]),
        unit: "",
        help: "whether new work is started below this node",
    },
    Setting {
        name: CAP,
        default: "0",
        kind: Kind::Number { min: 0, max: MAX_COUNT },
        unit: "slots",
        help: "slots that each team below may use fleet-wide at once",
    },
    Setting {
        name: WEIGHT,
        default: "1",
        kind: Kind::Number { min: 1, max: 10_000 },
        unit: "",
        help: "weight of each team below when the slots do not suffice for all teams",
    },
    Setting {
        name: POOLS,
        default: "shared",
        kind: Kind::Names,
        unit: "",
        help: "pools that jobs of the teams below may run in, in order of preference",
    },
    Setting {
        name: QUEUE_LIMIT,
        default: "1000",
        kind: Kind::Number { min: 0, max: MAX_COUNT },
        unit: "jobs",
        help: "maximum number of jobs of one team in the queue of one entry",
    },
    Setting {
        name: BUDGET,
        default: "10%",
        kind: Kind::Budget,
        unit: "instances",
        help: "instances of a pool that may be down, suspect or under a permit at once",
    },
    Setting {
        name: ON_DRAIN,
        default: "wait",
        kind: Kind::Choice(&["wait", "checkpoint", "stop"]),
        unit: "",
        help: "action of a drain on running tasks",
    },
    Setting {
        name: OVER_CAP,
        default: "wait",
        kind: Kind::Choice(&["wait", "checkpoint", "stop"]),
        unit: "",
        help: "action on running tasks that exceed a lowered cap",
    },
    Setting {
        name: LOG_OUTAGE,
        default: "continue",
        kind: Kind::Choice(&["continue", "stop"]),
        unit: "",
        help: "whether new work is started while no zone can read the log",
    },
    Setting {
        name: MAX_ATTEMPTS,
        default: "3",
        kind: Kind::Number { min: 1, max: 20 },
        unit: "workers",
        help: "number of distinct workers on which a failing repeatable job is attempted",
    },
    Setting {
        name: URGENT_RESERVE,
        default: "0",
        kind: Kind::Number { min: 0, max: 64 },
        unit: "slots",
        help: "slots of each instance that are reserved for urgent work",
    },
];

/// Why a setting or its value was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// No setting has this name.
    #[error("unknown setting {name:?}; known settings: {known}")]
    Unknown {
        /// Name that was given.
        name: String,
        /// Names of all settings, separated by commas.
        known: String,
    },
    /// The setting does not accept the value.
    #[error("setting {name}: {value:?} is not {allowed}")]
    Value {
        /// Name of the setting.
        name: &'static str,
        /// Value that was given.
        value: String,
        /// Description of the accepted values.
        allowed: String,
    },
}

/// Looks up a setting by its name.
pub fn find(name: &str) -> Result<&'static Setting, Error> {
    let found = ALL.iter().find(|it| it.name == name);
    found.ok_or_else(|| {
        let known: Vec<&str> = ALL.iter().map(|it| it.name).collect();
        Error::Unknown {
            name: name.to_owned(),
            known: known.join(", "),
        }
    })
}

/// Checks that the setting with this name accepts the value.
pub fn validate(name: &str, value: &str) -> Result<(), Error> {
    let setting = find(name)?;
    if setting.kind.accepts(value) {
        return Ok(());
    }
    Err(Error::Value {
        name: setting.name,
        value: value.to_owned(),
        allowed: setting.kind.describe(),
    })
}

impl Kind {
    fn accepts(&self, value: &str) -> bool {
        match self {
            Kind::Number { min, max } => value.parse().is_ok_and(|it: u64| *min <= it && it <= *max),
            Kind::Choice(words) => words.contains(&value),
            Kind::Names => value.split(',').all(is_valid_name),
            Kind::Budget => parse_budget(value).is_some(),
        }
    }

    /// Describes the accepted values for an error message.
    pub fn describe(&self) -> String {
        match self {
            Kind::Number { min, max } => format!("a whole number from {min} to {max}"),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
            Kind::Names => "a comma-separated list of names".to_owned(),
            Kind::Budget => "a whole number, or a percentage from 0% to 100%".to_owned(),
        }
    }
}

/// A number of instances, absolute or relative to the size of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Budget {
    /// Absolute number of instances.
    Count(u64),
    /// Percentage of the pool, rounded down. Unless it is zero, at least one instance.
    Percent(u64),
}

impl Budget {
    /// Number of instances that may be disrupted at once in a pool of `pool_size` instances.
    pub fn limit(&self, pool_size: usize) -> usize {
        match self {
            Budget::Count(count) => *count as usize,
            Budget::Percent(0) => 0,
            Budget::Percent(percent) => (pool_size * *percent as usize / 100).max(1),
        }
    }
}

/// Parses a budget such as `3` or `10%`; `None` if it is malformed or above `100%`.
pub fn parse_budget(value: &str) -> Option<Budget> {
    let Some(percent) = value.strip_suffix('%') else {
        return value.parse().ok().map(Budget::Count);
    };
    let percent = percent.parse().ok().filter(|it| *it <= 100);
    percent.map(Budget::Percent)
}

/// Whether the text is a valid name: not empty, and only ASCII letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
    !text.is_empty() && text.chars().all(allowed)
}
