//! Clock readings passed to the state machines, which never read a clock themselves.

use std::time::Duration;

/// A reading of both clocks, taken at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time since an arbitrary origin; comparable within one process only.
    pub mono: Duration,
    /// Time since the Unix epoch; differs between instances by up to the configured clock skew.
    pub wall: Duration,
}

impl Now {
    /// Wall-clock milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.wall.as_millis() as u64
    }

    /// Converts a monotonic time to wall-clock milliseconds since the Unix epoch.
    pub fn wall_ms_at(&self, mono: Duration) -> u64 {
        if self.mono <= mono {
            return (self.wall + (mono - self.mono)).as_millis() as u64;
        }
        self.wall.saturating_sub(self.mono - mono).as_millis() as u64
    }
}
