//! Replica of the shared state, with a bound on how old its view of the log is.
//!
//! A replica applies entries read from the log or sent by a peer. Where the
//! log has expired the entries it needs, it continues from a snapshot. It never
//! returns to an earlier state.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::id::Offset;
use crate::platform;
use crate::record::{self, Payload};
use crate::snapshot::{self, Collector};
use crate::state::State;

/// Number of recent entries kept in memory to send to peers that are behind.
const MAX_RECENT_ENTRIES: usize = 4_096;

/// A replica of the shared state and the age of its view of the log.
#[derive(Debug)]
pub struct Replica {
    state: State,
    /// The most recent entries in the state, still encoded, oldest first.
    recent_entries: VecDeque<Bytes>,
    /// Monotonic time up to which every accepted entry is in the state.
    current_as_of: Option<Duration>,
    collector: Collector,
    /// Next offset to read while searching for a snapshot; `None` otherwise.
    snapshot_search_at: Option<Offset>,
}

/// Why entries or a state could not be applied.
#[derive(Debug, Error)]
pub enum Error {
    /// The log ends before an entry that this replica has applied.
    #[error("log regressed: tail {tail} is before offset {next}")]
    Regressed {
        /// Offset that the next append would get, as the log reported it.
        tail: Offset,
        /// Next offset that this replica would apply.
        next: Offset,
    },
    /// An entry could not be decoded.
    #[error("entry {offset} of the log is damaged")]
    Damaged {
        /// Offset of the entry.
        offset: Offset,
        /// Decoding error.
        source: record::Error,
    },
    /// A snapshot could not be decoded, or its checksum does not match.
    #[error(transparent)]
    Snapshot(#[from] snapshot::Error),
}

/// What a replica needs to catch up with a peer that is ahead of it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Delta {
    /// Entries of the log.
    Entries {
        /// Offset of the first entry.
        from: Offset,
        /// Encoded entries at consecutive offsets.
        entries: Vec<Bytes>,
    },
    /// The whole encoded state, if the peer no longer has the entries in memory.
    State(Bytes),
}

impl Default for Replica {
    fn default() -> Replica {
        Replica::new(State::default())
    }
}

impl Replica {
    /// Creates a replica from a state of unknown age.
    ///
    /// [`Replica::age`] is `None` until a read of the log or a peer confirms
    /// how recent the state is.
    pub fn new(state: State) -> Replica {
        Replica {
            state,
            recent_entries: VecDeque::new(),
            current_as_of: None,
            collector: Collector::default(),
            snapshot_search_at: None,
        }
    }

    /// The state after all entries applied so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Offset from which to read the log next.
    ///
    /// Usually the next offset of the state; during a search for a snapshot it
    /// is ahead of the state.
    pub fn next_read_offset(&self) -> Offset {
        self.snapshot_search_at.unwrap_or(self.state.next_offset())
    }

    /// Monotonic time up to which every entry accepted by the log is in the state.
    ///
    /// `None` before the first read or peer message that reached the log's tail.
    pub fn current_as_of(&self) -> Option<Duration> {
        self.current_as_of
    }

    /// Time since [`Replica::current_as_of`]; `None` when that is `None`.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current_as_of.map(|it| now.saturating_sub(it))
    }

    /// Applies the entries that a read of the log returned.
    ///
    /// `sent` is the time before the read was sent: if the state now reaches the
    /// tail, it holds everything that was accepted by then. If entries that the
    /// replica needs have expired, searches the returned ones for a snapshot.
    pub fn apply_read(&mut self, sent: Duration, read: &platform::LogRead) -> Result<(), Error> {
        let next = self.state.next_offset();
        if read.tail < next {
            return Err(Error::Regressed { tail: read.tail, next });
        }
        if next < read.first {
            self.search_snapshot(read)?;
        } else {
            self.snapshot_search_at = None;
            self.apply_entries(read.from, &read.entries)?;
        }
        if self.state.next_offset() == read.tail {
            self.mark_current(sent);
        }
        Ok(())
    }

    /// Applies entries or a state sent by a peer.
    ///
    /// `seen` is the time, on this process's clock, up to which the peer's state
    /// held every accepted entry; `tail` is the next offset of that state.
    pub fn apply_delta(&mut self, seen: Option<Duration>, tail: Offset, delta: &Delta) -> Result<(), Error> {
        match delta {
            Delta::Entries { from, entries } => self.apply_entries(*from, entries)?,
            Delta::State(bytes) => self.replace_state(snapshot::decode(bytes)?),
        }
        if let Some(seen) = seen
            && tail <= self.state.next_offset()
        {
            self.mark_current(seen);
        }
        Ok(())
    }

    /// Returns what a peer needs whose next offset is `from`.
    pub fn delta_from(&self, from: Offset) -> Delta {
        let next = self.state.next_offset();
        let oldest = next - self.recent_entries.len() as Offset;
        if next <= from {
            return Delta::Entries { from, entries: Vec::new() };
        }
        if from < oldest {
            return Delta::State(snapshot::encode(&self.state));
        }
        let skip = (from - oldest) as usize;
        let entries = self.recent_entries.iter().skip(skip).cloned().collect();
        Delta::Entries { from, entries }
    }

    /// Marks the state as holding every entry accepted up to `seen`. The mark never moves back.
    pub fn mark_current(&mut self, seen: Duration) {
        let current_as_of = self.current_as_of.get_or_insert(seen);
        *current_as_of = seen.max(*current_as_of);
    }

    /// Applies the entries that the state does not hold yet; stops at a gap.
    fn apply_entries(&mut self, from: Offset, entries: &[Bytes]) -> Result<(), Error> {
        for (index, entry) in entries.iter().enumerate() {
            let offset = from + index as Offset;
            if offset < self.state.next_offset() {
                continue;
            }
            if self.state.next_offset() < offset {
                // A gap: the next read starts at the state's own offset.
                return Ok(());
            }
            let payload = Payload::decode(entry).map_err(|source| Error::Damaged { offset, source })?;
            self.state.apply(&payload);
            self.keep_entry(entry.clone());
        }
        Ok(())
    }

    fn keep_entry(&mut self, entry: Bytes) {
        self.recent_entries.push_back(entry);
        if MAX_RECENT_ENTRIES < self.recent_entries.len() {
            self.recent_entries.pop_front();
        }
    }

    /// Collects snapshot chunks from a read and replaces the state once a snapshot is complete.
    ///
    /// Called when the log no longer holds the next entry that the state needs.
    fn search_snapshot(&mut self, read: &platform::LogRead) -> Result<(), Error> {
        let mut offset = read.from;
        for entry in &read.entries {
            let payload = Payload::decode(entry).map_err(|source| Error::Damaged { offset, source })?;
            offset += 1;
            if let Payload::Chunk(chunk) = payload
                && let Some(state) = self.collector.add(chunk)?
            {
                self.replace_state(state);
            }
        }
        if self.state.next_offset() < read.first {
            self.snapshot_search_at = Some(offset.max(read.first));
        }
        Ok(())
    }

    /// Replaces the state unless the given one is at the same offset or behind.
    fn replace_state(&mut self, state: State) {
        if state.next_offset() <= self.state.next_offset() {
            return;
        }
        self.state = state;
        self.recent_entries.clear();
        self.snapshot_search_at = None;
    }
}
