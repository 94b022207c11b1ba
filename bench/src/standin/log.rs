//! An in-memory append-only log with limited retention, a limited append rate
//! and faults that can be switched on.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::id::Offset;
use oriolewall::platform::{Error, LogRead};
use serde::{Deserialize, Serialize};

/// Upper bound of the entries that one read returns.
const MAX_READ_ENTRIES: usize = 1_000;

/// Fault mode of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Serves reads and appends without a fault.
    #[default]
    Up,
    /// Refuses reads and appends as unavailable.
    Down,
    /// Serves each request after a delay, which the server of the log adds.
    Slow {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Appends take effect, but their answers are lost. Reads work.
    LoseAnswers,
}

/// A log that keeps its latest entries.
///
/// Offsets start at 0 and grow by one per entry, also across entries that
/// retention has dropped.
#[derive(Debug)]
pub struct InMemoryLog {
    first_offset: Offset,
    entries: VecDeque<Bytes>,
    retention: usize,
    /// Fault mode in force.
    pub mode: Mode,
    max_appends_per_second: u32,
    window_start: Duration,
    appends_in_window: u32,
}

impl InMemoryLog {
    /// An empty log that keeps the latest `retention` entries and accepts at most
    /// `max_appends_per_second` appends in a window of one second.
    pub fn new(retention: usize, max_appends_per_second: u32) -> InMemoryLog {
        InMemoryLog {
            first_offset: 0,
            entries: VecDeque::new(),
            retention,
            mode: Mode::Up,
            max_appends_per_second,
            window_start: Duration::ZERO,
            appends_in_window: 0,
        }
    }

    /// Returns the offset that the next append will get.
    pub fn tail(&self) -> Offset {
        self.first_offset + self.entries.len() as Offset
    }

    /// Appends one entry and returns its offset.
    ///
    /// Fails with `Unavailable` if the log is down or the rate limit is reached;
    /// the entry is not stored then. Fails with `Lost` in [`Mode::LoseAnswers`],
    /// although the entry is stored.
    pub fn append(&mut self, now: Duration, entry: Bytes) -> Result<Offset, Error> {
        if self.mode == Mode::Down || !self.admit_append(now) {
            return Err(Error::Unavailable);
        }
        let offset = self.tail();
        self.entries.push_back(entry);
        while self.retention < self.entries.len() {
            self.entries.pop_front();
            self.first_offset += 1;
        }
        if self.mode == Mode::LoseAnswers {
            return Err(Error::Lost);
        }
        Ok(offset)
    }

    /// Reads entries from an offset on.
    ///
    /// An offset that retention has dropped is raised to the first kept one; an
    /// offset beyond the tail is lowered to the tail.
    pub fn read(&self, from: Offset) -> Result<LogRead, Error> {
        if self.mode == Mode::Down {
            return Err(Error::Unavailable);
        }
        let from = from.clamp(self.first_offset, self.tail());
        let skip = (from - self.first_offset) as usize;
        let entries = self.entries.iter().skip(skip).take(MAX_READ_ENTRIES).cloned().collect();
        Ok(LogRead {
            first: self.first_offset,
            tail: self.tail(),
            from,
            entries,
        })
    }

    /// Resets the count of appends in the current window, so that the next append
    /// is within the rate limit.
    pub fn reset_rate_limit(&mut self) {
        self.appends_in_window = 0;
    }

    /// Counts an append and returns whether it is within the rate limit.
    fn admit_append(&mut self, now: Duration) -> bool {
        const SECOND: Duration = Duration::from_secs(1);
        if self.window_start + SECOND <= now {
            self.window_start = now;
            self.appends_in_window = 0;
        }
        self.appends_in_window += 1;
        self.appends_in_window <= self.max_appends_per_second
    }
}
