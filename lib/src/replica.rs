//! Replay of the log, and the instant up to which everything accepted was seen.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::id::Offset;
use crate::platform;
use crate::record::{self, Payload};
use crate::snapshot::{self, Collector};
use crate::state::State;

/// Entries kept in memory to serve peers that are behind.
const BACKLOG_ENTRIES: usize = 4_096;

/// A replica of the shared state.
#[derive(Debug)]
pub struct Replica {
    state: State,
    backlog: VecDeque<Bytes>,
    fresh: Option<Duration>,
    collector: Collector,
    scan: Option<Offset>,
}

/// Why entries were not taken in.
#[derive(Debug, Error)]
pub enum Error {
    /// The log's end lies before what this replica has applied.
    #[error("log regressed: tail {tail} is before offset {next}")]
    Regressed {
        /// Tail that the log reported.
        tail: Offset,
        /// Next offset of this replica.
        next: Offset,
    },
    /// An entry could not be read.
    #[error("entry {offset} of the log is damaged")]
    Damaged {
        /// Its offset.
        offset: Offset,
        /// The cause.
        source: record::Error,
    },
    /// A snapshot could not be read.
    #[error(transparent)]
    Snapshot(#[from] snapshot::Error),
}

/// What a peer sends to a replica that is behind.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Delta {
    /// Entries from an offset on.
    Entries {
        /// Offset of the first entry.
        from: Offset,
        /// Entries without holes.
        entries: Vec<Bytes>,
    },
    /// A whole state, when the entries are no longer in memory.
    State(Bytes),
}

impl Default for Replica {
    fn default() -> Replica {
        Replica::new(State::default())
    }
}

impl Replica {
    /// Starts from a state, which is not fresh until the log or a peer says so.
    pub fn new(state: State) -> Replica {
        Replica {
            state,
            backlog: VecDeque::new(),
            fresh: None,
            collector: Collector::default(),
            scan: None,
        }
    }

    /// The state applied so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Next offset to read. During a search for a snapshot this runs ahead of the state.
    pub fn next_read_offset(&self) -> Offset {
        self.scan.unwrap_or(self.state.next_offset())
    }

    /// Monotonic instant up to which everything accepted by the log was seen.
    pub fn current_as_of(&self) -> Option<Duration> {
        self.fresh
    }

    /// Age of what this replica has seen; `None` before the first complete read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.fresh.map(|it| now.saturating_sub(it))
    }

    /// Takes in what a read of the log returned; `sent` is when the read was sent.
    pub fn apply_read(&mut self, sent: Duration, read: &platform::LogRead) -> Result<(), Error> {
        let next = self.state.next_offset();
        if read.tail < next {
            return Err(Error::Regressed { tail: read.tail, next });
        }
        if next < read.first {
            self.search_snapshot(read)?;
        } else {
            self.scan = None;
            self.take_entries(read.from, &read.entries)?;
        }
        if self.state.next_offset() == read.tail {
            self.mark_current(sent);
        }
        Ok(())
    }

    /// Takes in what a peer sent; `seen` is the instant on this clock up to
    /// which the peer had seen everything.
    pub fn apply_delta(&mut self, seen: Option<Duration>, tail: Offset, delta: &Delta) -> Result<(), Error> {
        match delta {
            Delta::Entries { from, entries } => self.take_entries(*from, entries)?,
            Delta::State(bytes) => self.adopt(snapshot::decode(bytes)?),
        }
        if let Some(seen) = seen
            && tail <= self.state.next_offset()
        {
            self.mark_current(seen);
        }
        Ok(())
    }

    /// What a peer at this offset needs.
    pub fn delta_from(&self, from: Offset) -> Delta {
        let next = self.state.next_offset();
        let oldest = next - self.backlog.len() as Offset;
        if next <= from {
            return Delta::Entries { from, entries: Vec::new() };
        }
        if from < oldest {
            return Delta::State(snapshot::encode(&self.state));
        }
        let skip = (from - oldest) as usize;
        let entries = self.backlog.iter().skip(skip).cloned().collect();
        Delta::Entries { from, entries }
    }

    /// Declares that nothing can have been accepted up to an instant.
    pub fn mark_current(&mut self, seen: Duration) {
        let fresh = self.fresh.get_or_insert(seen);
        *fresh = seen.max(*fresh);
    }

    fn take_entries(&mut self, from: Offset, entries: &[Bytes]) -> Result<(), Error> {
        for (index, entry) in entries.iter().enumerate() {
            let offset = from + index as Offset;
            if offset < self.state.next_offset() {
                continue;
            }
            if self.state.next_offset() < offset {
                // A hole: the next read starts at the state's own offset.
                return Ok(());
            }
            let payload = Payload::decode(entry).map_err(|source| Error::Damaged { offset, source })?;
            self.state.apply(&payload);
            self.remember(entry.clone());
        }
        Ok(())
    }

    fn remember(&mut self, entry: Bytes) {
        self.backlog.push_back(entry);
        if BACKLOG_ENTRIES < self.backlog.len() {
            self.backlog.pop_front();
        }
    }

    /// The entries after our offset have expired: looks for a complete snapshot.
    fn search_snapshot(&mut self, read: &platform::LogRead) -> Result<(), Error> {
        let mut offset = read.from;
        for entry in &read.entries {
            let payload = Payload::decode(entry).map_err(|source| Error::Damaged { offset, source })?;
            offset += 1;
            if let Payload::Chunk(chunk) = payload
                && let Some(state) = self.collector.add(chunk)?
            {
                self.adopt(state);
            }
        }
        if self.state.next_offset() < read.first {
            self.scan = Some(offset.max(read.first));
        }
        Ok(())
    }

    /// Replaces the state by a newer one, never by an older one.
    fn adopt(&mut self, state: State) {
        if state.next_offset() <= self.state.next_offset() {
            return;
        }
        self.state = state;
        self.backlog.clear();
        self.scan = None;
    }
}
