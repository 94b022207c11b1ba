//! Synchronization of one process with the log: keeps a replica current by
//! reading, and appends records until the outcome of each is known.
//!
//! [`LogSync`] does no I/O. [`LogSync::take_due_requests`] returns the
//! requests to send, and their results come back through
//! [`LogSync::on_read`] and [`LogSync::on_appended`]. At most one read and
//! one append are in flight. A record may be appended several times; its
//! operation id makes sure that it is applied at most once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sha2::{Digest, Sha256};

use crate::clock::Now;
use crate::id::{Offset, OpId};
use crate::platform::{Error, LogRead};
use crate::record::{Change, Payload, Record};
use crate::replica::Replica;
use crate::state::{RecordOutcome, State};

/// Time for which the log may hold back a read until a new entry arrives.
const READ_WAIT: Duration = Duration::from_millis(200);
/// Time after the end of [`READ_WAIT`] when an unanswered read counts as overdue.
const READ_OVERDUE_AFTER: Duration = Duration::from_millis(600);
/// Delay before the next read after a failed one.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before the next append after a failed one.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which a record whose outcome is still unknown is appended again.
const REAPPEND_AFTER: Duration = Duration::from_secs(2);

/// A request for the caller to send to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogRequest {
    /// Read entries.
    Read {
        /// Offset of the first entry to return.
        from: Offset,
        /// Time for which the log may wait for a new entry before it returns none.
        wait: Duration,
    },
    /// Append one encoded entry.
    Append(Bytes),
}

/// A record of this process whose outcome has been read back from the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRecord {
    /// The record as it was appended.
    pub record: Record,
    /// Whether replicas applied or refused it.
    pub outcome: RecordOutcome,
}

/// Replica of one process with its reads and appends of the log.
#[derive(Debug)]
pub struct LogSync {
    author: String,
    replica: Replica,
    /// Records whose outcome is unknown.
    unresolved: BTreeMap<OpId, UnresolvedRecord>,
    /// Encoded payloads that are appended once, after all due records.
    payloads: VecDeque<Bytes>,
    /// When the read in flight was sent.
    read_sent_at: Option<Duration>,
    append_in_flight: bool,
    next_read_at: Duration,
    next_append_at: Duration,
    /// When the last successful read was sent.
    last_successful_read: Option<Duration>,
    /// When the first of the reads that failed since then was sent.
    failing_since: Option<Duration>,
    rng: StdRng,
}

#[derive(Debug)]
struct UnresolvedRecord {
    record: Record,
    /// When the record was last appended; `None` if it is to be appended as soon as possible.
    sent: Option<Duration>,
}

impl LogSync {
    /// Continues from a replica.
    ///
    /// `author` is written into every record; `seed` determines the operation ids.
    pub fn new(author: &str, replica: Replica, seed: u64) -> LogSync {
        LogSync {
            author: author.to_owned(),
            replica,
            unresolved: BTreeMap::new(),
            payloads: VecDeque::new(),
            read_sent_at: None,
            append_in_flight: false,
            next_read_at: Duration::ZERO,
            next_append_at: Duration::ZERO,
            last_successful_read: None,
            failing_since: None,
            rng: StdRng::seed_from_u64(seed ^ author_seed(author)),
        }
    }

    /// The replica that is kept current.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Mutable access to the replica, for entries and states sent by a peer.
    pub(crate) fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// The shared state as far as the replica has applied it.
    pub fn state(&self) -> &State {
        self.replica.state()
    }

    /// Monotonic time at which the last successful read was sent.
    pub fn last_successful_read(&self) -> Option<Duration> {
        self.last_successful_read
    }

    /// Monotonic time since which reads have been failing; `None` if the last one succeeded.
    ///
    /// An overdue read counts as failing from the time it was sent, before its call returns.
    pub fn failing_since(&self, now: Duration) -> Option<Duration> {
        let overdue = self.read_sent_at.filter(|sent| *sent + READ_WAIT + READ_OVERDUE_AFTER < now);
        self.failing_since.or(overdue)
    }

    /// Queues a record and returns its operation id. The record is appended,
    /// repeatedly if needed, until its outcome is known.
    pub fn append(&mut self, now: Now, change: Change) -> OpId {
        let op = self.new_op_id(now);
        let record = Record {
            op,
            author: self.author.clone(),
            wall_ms: now.wall_ms(),
            change,
        };
        self.unresolved.insert(op, UnresolvedRecord { record, sent: None });
        op
    }

    /// Queues an encoded payload that is appended once and never repeated.
    ///
    /// For snapshot chunks: losing one only makes its snapshot unusable.
    pub(crate) fn queue_payload(&mut self, entry: Bytes) {
        self.payloads.push_back(entry);
    }

    /// Changes of the queued records whose outcome is not known yet.
    pub fn unresolved_changes(&self) -> impl Iterator<Item = &Change> {
        self.unresolved.values().map(|it| &it.record.change)
    }

    /// Returns the requests to send now and marks them as in flight.
    pub fn take_due_requests(&mut self, now: Now) -> Vec<LogRequest> {
        let read = self.take_due_read(now);
        let append = self.take_due_append(now);
        read.into_iter().chain(append).collect()
    }

    fn take_due_read(&mut self, now: Now) -> Option<LogRequest> {
        if self.read_sent_at.is_some() || now.mono < self.next_read_at {
            return None;
        }
        self.read_sent_at = Some(now.mono);
        Some(LogRequest::Read {
            from: self.replica.next_read_offset(),
            wait: READ_WAIT,
        })
    }

    fn take_due_append(&mut self, now: Now) -> Option<LogRequest> {
        if self.append_in_flight || now.mono < self.next_append_at {
            return None;
        }
        let due = |it: &&mut UnresolvedRecord| it.sent.is_none_or(|sent| sent + REAPPEND_AFTER <= now.mono);
        let mut records = Vec::new();
        for queued in self.unresolved.values_mut().filter(due) {
            queued.sent = Some(now.mono);
            records.push(queued.record.clone());
        }
        if records.is_empty() {
            let payload = self.payloads.pop_front()?;
            self.append_in_flight = true;
            return Some(LogRequest::Append(payload));
        }
        self.append_in_flight = true;
        Some(LogRequest::Append(Payload::Records(records).encode()))
    }

    /// Applies the result of the read sent at `sent`; returns whether the read succeeded
    /// and so may have changed the replica.
    pub fn on_read(&mut self, now: Now, sent: Duration, result: Result<LogRead, Error>) -> bool {
        self.read_sent_at = None;
        let applied = result.ok().is_some_and(|read| self.replica.apply_read(sent, &read).is_ok());
        if applied {
            self.last_successful_read = Some(sent);
            self.failing_since = None;
            return true;
        }
        self.failing_since.get_or_insert(sent);
        self.next_read_at = now.mono + READ_RETRY_DELAY;
        false
    }

    /// Handles the result of an append. After a failure all unresolved records are sent again.
    ///
    /// Success does not resolve the records: whether they were applied or
    /// refused is known only when they are read back.
    pub fn on_appended(&mut self, now: Now, result: Result<Offset, Error>) {
        self.append_in_flight = false;
        if result.is_ok() {
            return;
        }
        self.next_append_at = now.mono + APPEND_RETRY_DELAY;
        for queued in self.unresolved.values_mut() {
            queued.sent = None;
        }
    }

    /// Removes and returns the records whose outcome has become known.
    pub fn take_resolved(&mut self) -> Vec<ResolvedRecord> {
        let state = self.replica.state();
        let known = self.unresolved.keys().filter_map(|op| Some((*op, state.outcome(op)?.clone())));
        let known: Vec<(OpId, RecordOutcome)> = known.collect();
        let resolve = |(op, outcome)| {
            Some(ResolvedRecord {
                record: self.unresolved.remove(&op)?.record,
                outcome,
            })
        };
        known.into_iter().filter_map(resolve).collect()
    }

    fn new_op_id(&mut self, now: Now) -> OpId {
        let mut bytes = [0u8; 10];
        self.rng.fill(&mut bytes);
        uuid::Builder::from_unix_timestamp_millis(now.wall_ms(), &bytes).into_uuid()
    }
}

/// Derives a seed from the author, so that processes with equal seeds generate different operation ids.
fn author_seed(author: &str) -> u64 {
    let digest = Sha256::digest(author.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}
