//! Events of the forecast of demand peaks, for the decision log and metrics.

use serde::Serialize;

use crate::id::PoolId;
use crate::peak::WallMillis;

/// Something that the forecaster learned or decided, for the decision log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// The pool.
    pub pool: PoolId,
    /// What happened.
    pub kind: EventKind,
    /// When the peak started.
    pub start_ms: Option<WallMillis>,
    /// When it was expected to start.
    pub expected_ms: Option<WallMillis>,
    /// Height that is expected of the next peak, millicores.
    pub height: u64,
}

/// Kind of an [`Event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A peak started when it was expected.
    Right,
    /// A peak started at another time than expected, while forecasts were not used.
    Wrong,
    /// A peak started before the expected one, which still counts.
    Unexpected,
    /// The expected peak has not come.
    Missed,
    /// A peak was much lower than expected.
    Lower,
    /// Whether the expected peak came is not known, as arrivals may be missing.
    Unseen,
    /// A pool was found in the peak that was expected.
    Resumed,
    /// A peak has ended, and its height and length are learned.
    Learned,
    /// The pattern is given up.
    GivenUp,
    /// The demand is raised for the expected peak.
    Used,
}

impl EventKind {
    /// Name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            EventKind::Right => "right",
            EventKind::Wrong => "wrong",
            EventKind::Unexpected => "unexpected",
            EventKind::Missed => "missed",
            EventKind::Lower => "lower",
            EventKind::Unseen => "unseen",
            EventKind::Resumed => "resumed",
            EventKind::Learned => "learned",
            EventKind::GivenUp => "given_up",
            EventKind::Used => "used",
        }
    }
}
