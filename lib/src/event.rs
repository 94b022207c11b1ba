//! The time line: typed events with hybrid logical clock stamps.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Now;
use crate::id::{InstanceId, JobId, KeyId, MemberId, Offset, PoolId, TeamId, ZoneId};

/// Events one process keeps.
const RING_EVENTS: usize = 8_192;

/// A hybrid logical clock reading: wall clock, then a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Wall clock, milliseconds since the epoch, never going back.
    pub wall_ms: u64,
    /// Orders events within one millisecond.
    pub count: u32,
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub stamp: Stamp,
    /// Position in the process's own sequence, from one.
    pub seq: u64,
    /// The process.
    pub source: MemberId,
    /// What happened.
    pub kind: Kind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Kind {
    /// A process began.
    Began {
        /// Its zone.
        zone: ZoneId,
    },
    /// A process ended on request.
    Ended,
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// Its team.
        team: TeamId,
        /// The key that brought it.
        key: KeyId,
    },
    /// A task was handed to a worker.
    Started {
        /// The job.
        job: JobId,
        /// Its team.
        team: TeamId,
        /// The worker.
        instance: InstanceId,
        /// The worker's pool.
        pool: PoolId,
        /// Why this one.
        why: String,
    },
    /// A job ended.
    Finished {
        /// The job.
        job: JobId,
        /// Its team.
        team: TeamId,
        /// `done`, `failed`, `not run` or `unknown`, and the reason.
        outcome: String,
    },
    /// A job was handed to another entry.
    Delegated {
        /// The job.
        job: JobId,
        /// Its team.
        team: TeamId,
        /// The other entry.
        to: MemberId,
    },
    /// A zone was taken out or brought back in.
    Zone {
        /// The zone.
        zone: ZoneId,
        /// `in` or `out`.
        state: String,
        /// The record that says so.
        offset: Offset,
    },
    /// A fenced member's task was taken over.
    Adopted {
        /// The job.
        job: JobId,
        /// Its team.
        team: TeamId,
        /// The worker.
        instance: InstanceId,
        /// The fenced member.
        from: MemberId,
    },
    /// A disruption reached a phase.
    Drain {
        /// The instance.
        instance: InstanceId,
        /// Its pool.
        pool: PoolId,
        /// The phase.
        phase: String,
    },
    /// A worker was set aside.
    Quarantined {
        /// The worker.
        instance: InstanceId,
    },
    /// Starts were stopped or resumed because of the age of what was seen.
    Gate {
        /// `open` or `closed`.
        state: String,
        /// Why.
        why: String,
    },
    /// A note that fits no other kind.
    Note {
        /// The note.
        text: String,
    },
}

/// The latest events of one process.
#[derive(Clone, Debug)]
pub struct EventBuffer {
    source: MemberId,
    stamp: Stamp,
    seq: u64,
    events: VecDeque<Event>,
}

/// A page of a process's events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The process.
    pub source: MemberId,
    /// Events that were dropped before they could be read.
    pub missing: u64,
    /// Sequence to ask from next time.
    pub next: u64,
    /// The events.
    pub events: Vec<Event>,
}

impl EventBuffer {
    /// An empty ring.
    pub fn new(source: MemberId) -> EventBuffer {
        EventBuffer {
            source,
            stamp: Stamp::default(),
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event.
    pub fn push(&mut self, now: Now, kind: Kind) {
        self.advance(now.wall_ms());
        self.seq += 1;
        self.events.push_back(Event {
            stamp: self.stamp,
            seq: self.seq,
            source: self.source.clone(),
            kind,
        });
        if RING_EVENTS < self.events.len() {
            self.events.pop_front();
        }
    }

    /// The current stamp, to be sent along with messages.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Takes a stamp from a message in, so that what follows is ordered page_after it.
    pub fn observe(&mut self, stamp: Stamp) {
        self.stamp = self.stamp.max(stamp);
    }

    /// Events page_after a sequence number.
    pub fn page_after(&self, seq: u64) -> Page {
        let oldest = self.seq - self.events.len() as u64;
        let missing = oldest.saturating_sub(seq);
        let skip = seq.saturating_sub(oldest) as usize;
        let events = self.events.iter().skip(skip).cloned().collect();
        Page {
            source: self.source.clone(),
            missing,
            next: self.seq,
            events,
        }
    }

    fn advance(&mut self, wall_ms: u64) {
        if self.stamp.wall_ms < wall_ms {
            self.stamp = Stamp { wall_ms, count: 0 };
            return;
        }
        self.stamp.count += 1;
    }
}

/// Orders events of several processes by their stamps.
pub fn sort(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|left, right| left.stamp.cmp(&right.stamp).then_with(|| left.source.cmp(&right.source)));
    events
}
