//! Typed events of each process, stamped with a hybrid logical clock so that the
//! events of several processes can be put in one order.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Now;
use crate::id::{InstanceId, JobId, KeyId, MemberId, Offset, PoolId, TeamId, ZoneId};

/// Events that one process keeps; older ones are dropped.
const MAX_EVENTS: usize = 8_192;

/// A reading of the hybrid logical clock, ordered by wall clock, then by counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch; never decreases.
    pub wall_ms: u64,
    /// Counter that orders events with the same `wall_ms`.
    pub count: u32,
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Clock reading when the event was added.
    pub stamp: Stamp,
    /// Sequence number within the process, starting from one.
    pub seq: u64,
    /// Id of the process that recorded the event.
    pub source: MemberId,
    /// Type of the event, with its details.
    pub kind: Kind,
}

/// Type and details of an event, encoded as JSON with the type in `event`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Kind {
    /// The process began.
    Began {
        /// Availability zone of the process.
        zone: ZoneId,
    },
    /// The process ended after a stop request or after it was fenced.
    Ended,
    /// A job was accepted.
    Accepted {
        /// Id of the job.
        job: JobId,
        /// Team of the job.
        team: TeamId,
        /// Key that the job was submitted with.
        key: KeyId,
    },
    /// The start of a task was sent to a worker.
    Started {
        /// Id of the job.
        job: JobId,
        /// Team of the job.
        team: TeamId,
        /// Instance of the worker.
        instance: InstanceId,
        /// Pool of the instance.
        pool: PoolId,
        /// Why this worker was chosen.
        why: String,
    },
    /// A job ended.
    Finished {
        /// Id of the job.
        job: JobId,
        /// Team of the job.
        team: TeamId,
        /// `done`, `failed`, or `not run` or `unknown` followed by the reason.
        outcome: String,
    },
    /// A job was assigned to another entry.
    Delegated {
        /// Id of the job.
        job: JobId,
        /// Team of the job.
        team: TeamId,
        /// Entry that the job was assigned to.
        to: MemberId,
    },
    /// The state setting of a zone changed.
    Zone {
        /// Id of the zone.
        zone: ZoneId,
        /// `in` if the zone takes new work, else `out`.
        state: String,
        /// Offset of the record that set the state.
        offset: Offset,
    },
    /// This entry adopted a running task of a fenced member.
    Adopted {
        /// Id of the job.
        job: JobId,
        /// Team of the job.
        team: TeamId,
        /// Instance of the worker.
        instance: InstanceId,
        /// Fenced member that held the task.
        from: MemberId,
    },
    /// The drain or maintenance of an instance reached a phase.
    Drain {
        /// Instance that is drained.
        instance: InstanceId,
        /// Pool of the instance.
        pool: PoolId,
        /// Phase reached.
        phase: String,
    },
    /// A worker was quarantined.
    Quarantined {
        /// Instance of the worker.
        instance: InstanceId,
    },
    /// Starts were suspended or resumed because of the age of the view of the log.
    Gate {
        /// `open` while starts are allowed, else `closed`.
        state: String,
        /// Reason of the change.
        why: String,
    },
    /// Free text for what no other type covers.
    Note {
        /// The text.
        text: String,
    },
}

/// Bounded buffer of the latest events of one process, with its logical clock.
#[derive(Clone, Debug)]
pub struct EventBuffer {
    source: MemberId,
    stamp: Stamp,
    seq: u64,
    events: VecDeque<Event>,
}

/// Events of one process after some sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Id of the process.
    pub source: MemberId,
    /// Number of events after the requested position that have been dropped.
    pub missing: u64,
    /// Sequence number to request the next page with.
    pub next: u64,
    /// Events, oldest first.
    pub events: Vec<Event>,
}

impl EventBuffer {
    /// Creates an empty buffer for the process `source`.
    pub fn new(source: MemberId) -> EventBuffer {
        EventBuffer {
            source,
            stamp: Stamp::default(),
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event, stamped with the advanced clock.
    pub fn push(&mut self, now: Now, kind: Kind) {
        self.advance(now.wall_ms());
        self.seq += 1;
        self.events.push_back(Event {
            stamp: self.stamp,
            seq: self.seq,
            source: self.source.clone(),
            kind,
        });
        if MAX_EVENTS < self.events.len() {
            self.events.pop_front();
        }
    }

    /// Current reading of the logical clock, to be sent along with messages.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Advances the logical clock to the stamp of a received message, so that later
    /// events are ordered after it.
    pub fn observe(&mut self, stamp: Stamp) {
        self.stamp = self.stamp.max(stamp);
    }

    /// Returns the kept events with a higher sequence number than `seq`.
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

/// Sorts events of several processes by stamp, then by process.
pub fn sort(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|left, right| left.stamp.cmp(&right.stamp).then_with(|| left.source.cmp(&right.source)));
    events
}
