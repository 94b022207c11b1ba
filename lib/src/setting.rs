//! Names, defaults, ranges and units of the settings of the tree.

use thiserror::Error;

/// A setting that a node of the tree may carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Name as operators write it.
    pub name: &'static str,
    /// Value in force when no node on the path carries one.
    pub default: &'static str,
    /// Values that are accepted.
    pub kind: Kind,
    /// Unit shown to operators; empty for plain numbers and words.
    pub unit: &'static str,
    /// What the setting governs.
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
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A comma-separated list of names.
    Names,
    /// A whole number, or a percentage of the pool followed by `%`.
    Budget,
}

/// Whether a subtree takes new work: `in` or `out`.
pub const STATE: &str = "state";
/// Slots a team may have running fleet-wide.
pub const CAP: &str = "cap";
/// A team's weight when all slots are wanted.
pub const WEIGHT: &str = "weight";
/// Pools that a team's jobs may run in, nearest first.
pub const POOLS: &str = "pools";
/// Jobs of one team that one entry queues.
pub const QUEUE_LIMIT: &str = "queue_limit";
/// Instances of a pool that may be disrupted at once.
pub const BUDGET: &str = "budget";
/// What a drain does with running work.
pub const ON_DRAIN: &str = "on_drain";
/// What is done with tasks above a lowered cap.
pub const OVER_CAP: &str = "over_cap";
/// What entries do when nobody can read the log.
pub const LOG_OUTAGE: &str = "log_outage";
/// Distinct workers a failing job is tried on.
pub const MAX_ATTEMPTS: &str = "max_attempts";
/// Slots of a pool's instance kept for urgent work.
pub const URGENT_RESERVE: &str = "urgent_reserve";

const MAX_COUNT: u64 = 1_000_000;

/// Every setting of the tree, in the order of the reference page.
pub const ALL: &[Setting] = &[
    Setting {
        name: STATE,
        default: "in",
        kind: Kind::Choice(&["in", "out"]),
        unit: "",
        help: "whether new work starts below this node",
    },
    Setting {
        name: CAP,
        default: "0",
        kind: Kind::Number { min: 0, max: MAX_COUNT },
        unit: "slots",
        help: "slots each team below may have running fleet-wide",
    },
    Setting {
        name: WEIGHT,
        default: "1",
        kind: Kind::Number { min: 1, max: 10_000 },
        unit: "",
        help: "weight of each team below when all slots are wanted",
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
        help: "jobs of one team that one entry queues",
    },
    Setting {
        name: BUDGET,
        default: "10%",
        kind: Kind::Budget,
        unit: "instances",
        help: "instances of a pool that may be down, draining or suspect at once",
    },
    Setting {
        name: ON_DRAIN,
        default: "wait",
        kind: Kind::Choice(&["wait", "checkpoint", "stop"]),
        unit: "",
        help: "what a drain does with running work",
    },
    Setting {
        name: OVER_CAP,
        default: "wait",
        kind: Kind::Choice(&["wait", "checkpoint", "stop"]),
        unit: "",
        help: "what is done with tasks above a lowered cap",
    },
    Setting {
        name: LOG_OUTAGE,
        default: "continue",
        kind: Kind::Choice(&["continue", "stop"]),
        unit: "",
        help: "whether new work starts while all zones agree that the log is down",
    },
    Setting {
        name: MAX_ATTEMPTS,
        default: "3",
        kind: Kind::Number { min: 1, max: 20 },
        unit: "workers",
        help: "distinct workers a failing repeatable job is tried on",
    },
    Setting {
        name: URGENT_RESERVE,
        default: "0",
        kind: Kind::Number { min: 0, max: 64 },
        unit: "slots",
        help: "slots of each instance kept for urgent work",
    },
];

/// Why a value was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// No setting has this name.
    #[error("unknown setting {name:?}; known settings: {known}")]
    Unknown {
        /// The name that was given.
        name: String,
        /// All known names.
        known: String,
    },
    /// The value is outside what the setting accepts.
    #[error("setting {name}: {value:?} is not {allowed}")]
    Value {
        /// Name of the setting.
        name: &'static str,
        /// The value that was given.
        value: String,
        /// What is accepted.
        allowed: String,
    },
}

/// Looks a setting up by its name.
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

/// Checks a value against the setting of that name.
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

/// A number of instances, absolute or relative to the size of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Budget {
    /// That many instances.
    Count(u64),
    /// That many hundredths of the pool, rounded down but at least one instance.
    Percent(u64),
}

impl Budget {
    /// Number of instances of a pool of the given size.
    pub fn limit(&self, size: usize) -> usize {
        match self {
            Budget::Count(count) => *count as usize,
            Budget::Percent(0) => 0,
            Budget::Percent(percent) => (size * *percent as usize / 100).max(1),
        }
    }
}

/// Parses `3` or `10%`.
pub fn parse_budget(value: &str) -> Option<Budget> {
    let Some(percent) = value.strip_suffix('%') else {
        return value.parse().ok().map(Budget::Count);
    };
    let percent = percent.parse().ok().filter(|it| *it <= 100);
    percent.map(Budget::Percent)
}

/// Whether the text can name a node: letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
    !text.is_empty() && text.chars().all(allowed)
}
