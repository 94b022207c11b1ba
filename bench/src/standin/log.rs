//! The append-only log: offsets, limited retention, a limited rate, and faults.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::id::Offset;
use oriolewall::platform::{Error, LogRead};
use serde::{Deserialize, Serialize};

/// Most entries returned by one read.
const READ_ENTRIES: usize = 1_000;

/// How the log behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// Refuses everything.
    Down,
    /// Answers after a delay.
    Slow {
        /// The delay, milliseconds.
        ms: u64,
    },
    /// Appends take effect, their answers are lost.
    LoseAnswers,
}

/// The kept entries.
#[derive(Debug)]
pub struct InMemoryLog {
    first: Offset,
    entries: VecDeque<Bytes>,
    retention: usize,
    /// How the log behaves now.
    pub mode: Mode,
    per_second: u32,
    window: Duration,
    in_window: u32,
}

impl InMemoryLog {
    /// Keeps the latest `retention` entries and takes `per_second` appends a second.
    pub fn new(retention: usize, per_second: u32) -> InMemoryLog {
        InMemoryLog {
            first: 0,
            entries: VecDeque::new(),
            retention,
            mode: Mode::Up,
            per_second,
            window: Duration::ZERO,
            in_window: 0,
        }
    }

    /// Offset that the next append will get.
    pub fn tail(&self) -> Offset {
        self.first + self.entries.len() as Offset
    }

    /// Appends one entry.
    pub fn append(&mut self, now: Duration, entry: Bytes) -> Result<Offset, Error> {
        if self.mode == Mode::Down || !self.take_turn(now) {
            return Err(Error::Unavailable);
        }
        let offset = self.tail();
        self.entries.push_back(entry);
        while self.retention < self.entries.len() {
            self.entries.pop_front();
            self.first += 1;
        }
        if self.mode == Mode::LoseAnswers {
            return Err(Error::Lost);
        }
        Ok(offset)
    }

    /// Reads entries from an offset on.
    pub fn read(&self, from: Offset) -> Result<LogRead, Error> {
        if self.mode == Mode::Down {
            return Err(Error::Unavailable);
        }
        let from = from.clamp(self.first, self.tail());
        let skip = (from - self.first) as usize;
        let entries = self.entries.iter().skip(skip).take(READ_ENTRIES).cloned().collect();
        Ok(LogRead {
            first: self.first,
            tail: self.tail(),
            from,
            entries,
        })
    }

    /// Forgets the appends of this second.
    pub fn reset_rate_limit(&mut self) {
        self.in_window = 0;
    }

    fn take_turn(&mut self, now: Duration) -> bool {
        const SECOND: Duration = Duration::from_secs(1);
        if self.window + SECOND <= now {
            self.window = now;
            self.in_window = 0;
        }
        self.in_window += 1;
        self.in_window <= self.per_second
    }
}
