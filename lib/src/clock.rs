//! The clocks that a decision may read.

use std::time::Duration;

/// One reading of both clocks, taken together by the caller of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time since an arbitrary start of the process.
    pub mono: Duration,
    /// Time since the Unix epoch; may differ between instances by the clock bound.
    pub wall: Duration,
}

impl Now {
    /// Wall-clock milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.wall.as_millis() as u64
    }

    /// Translates a monotonic instant into wall-clock milliseconds.
    pub fn wall_ms_at(&self, mono: Duration) -> u64 {
        if self.mono <= mono {
            return (self.wall + (mono - self.mono)).as_millis() as u64;
        }
        self.wall.saturating_sub(self.mono - mono).as_millis() as u64
    }
}
