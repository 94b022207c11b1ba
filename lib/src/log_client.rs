//! A process's side of the log: reading along, and appending until the fate of
//! every record is known.

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

/// Longest wait of one read for the next entry.
const READ_WAIT: Duration = Duration::from_millis(200);
/// Time beyond its wait after which a read is overdue.
const READ_SLOW: Duration = Duration::from_millis(600);
/// Pause after a failed read.
const READ_AGAIN: Duration = Duration::from_millis(200);
/// Pause after a failed append.
const APPEND_AGAIN: Duration = Duration::from_millis(300);
/// Time after which a record without a known fate is appended again.
const REPEAT_AFTER: Duration = Duration::from_secs(2);

/// A request to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogRequest {
    /// Read entries.
    Read {
        /// First offset wanted.
        from: Offset,
        /// Longest wait for an entry.
        wait: Duration,
    },
    /// Append one entry.
    Append(Bytes),
}

/// A record whose fate became known.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRecord {
    /// The record.
    pub record: Record,
    /// What became of it.
    pub outcome: RecordOutcome,
}

/// Replica, reads and appends of one process.
#[derive(Debug)]
pub struct LogClient {
    author: String,
    replica: Replica,
    appends: BTreeMap<OpId, Pending>,
    raw: VecDeque<Bytes>,
    /// When the read that has not returned was sent.
    reading: Option<Duration>,
    appending: bool,
    read_at: Duration,
    append_at: Duration,
    good: Option<Duration>,
    failing_since: Option<Duration>,
    rng: StdRng,
}

#[derive(Debug)]
struct Pending {
    record: Record,
    sent: Option<Duration>,
}

impl LogClient {
    /// Starts from a replica; `author` signs the records.
    pub fn new(author: &str, replica: Replica, seed: u64) -> LogClient {
        LogClient {
            author: author.to_owned(),
            replica,
            appends: BTreeMap::new(),
            raw: VecDeque::new(),
            reading: None,
            appending: false,
            read_at: Duration::ZERO,
            append_at: Duration::ZERO,
            good: None,
            failing_since: None,
            rng: StdRng::seed_from_u64(seed ^ hash(author)),
        }
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The replica, to take in what a peer sent.
    pub(crate) fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// The shared state as far as it is known.
    pub fn state(&self) -> &State {
        self.replica.state()
    }

    /// Instant of the last good read.
    pub fn last_successful_read(&self) -> Option<Duration> {
        self.good
    }

    /// Instant since which the log has not answered as it should; a read that
    /// is overdue counts before it fails.
    pub fn failing_since(&self, now: Duration) -> Option<Duration> {
        let overdue = self.reading.filter(|sent| *sent + READ_WAIT + READ_SLOW < now);
        self.failing_since.or(overdue)
    }

    /// Queues a record; it is appended until its fate is known.
    pub fn append(&mut self, now: Now, change: Change) -> OpId {
        let op = self.random_id(now);
        let record = Record {
            op,
            author: self.author.clone(),
            wall_ms: now.wall_ms(),
            change,
        };
        self.appends.insert(op, Pending { record, sent: None });
        op
    }

    /// Queues an encoded payload that is appended once, such as a snapshot's
    /// part; a lost one only makes its snapshot useless.
    pub(crate) fn queue_payload(&mut self, entry: Bytes) {
        self.raw.push_back(entry);
    }

    /// Changes whose fate is not known yet.
    pub fn unresolved_changes(&self) -> impl Iterator<Item = &Change> {
        self.appends.values().map(|it| &it.record.change)
    }

    /// The next requests, if any are due.
    pub fn take_due_requests(&mut self, now: Now) -> Vec<LogRequest> {
        let read = self.due_read(now);
        let append = self.due_append(now);
        read.into_iter().chain(append).collect()
    }

    fn due_read(&mut self, now: Now) -> Option<LogRequest> {
        if self.reading.is_some() || now.mono < self.read_at {
            return None;
        }
        self.reading = Some(now.mono);
        Some(LogRequest::Read {
            from: self.replica.next_read_offset(),
            wait: READ_WAIT,
        })
    }

    fn due_append(&mut self, now: Now) -> Option<LogRequest> {
        if self.appending || now.mono < self.append_at {
            return None;
        }
        let due = |it: &&mut Pending| it.sent.is_none_or(|sent| sent + REPEAT_AFTER <= now.mono);
        let mut records = Vec::new();
        for pending in self.appends.values_mut().filter(due) {
            pending.sent = Some(now.mono);
            records.push(pending.record.clone());
        }
        if records.is_empty() {
            let raw = self.raw.pop_front()?;
            self.appending = true;
            return Some(LogRequest::Append(raw));
        }
        self.appending = true;
        Some(LogRequest::Append(Payload::Records(records).encode()))
    }

    /// Takes a read's result in; true if the replica may have changed.
    pub fn on_read(&mut self, now: Now, sent: Duration, result: Result<LogRead, Error>) -> bool {
        self.reading = None;
        let taken = result.ok().is_some_and(|read| self.replica.apply_read(sent, &read).is_ok());
        if taken {
            self.good = Some(sent);
            self.failing_since = None;
            return true;
        }
        self.failing_since.get_or_insert(sent);
        self.read_at = now.mono + READ_AGAIN;
        false
    }

    /// Takes an append's result in. Success alone says nothing: the fate of
    /// the records shows when they are read back.
    pub fn on_appended(&mut self, now: Now, result: Result<Offset, Error>) {
        self.appending = false;
        if result.is_ok() {
            return;
        }
        self.append_at = now.mono + APPEND_AGAIN;
        for pending in self.appends.values_mut() {
            pending.sent = None;
        }
    }

    /// Records whose fate has become known.
    pub fn take_resolved(&mut self) -> Vec<ResolvedRecord> {
        let state = self.replica.state();
        let known = self.appends.keys().filter_map(|op| Some((*op, state.outcome(op)?.clone())));
        let known: Vec<(OpId, RecordOutcome)> = known.collect();
        let fate = |(op, verdict)| {
            Some(ResolvedRecord {
                record: self.appends.remove(&op)?.record,
                outcome: verdict,
            })
        };
        known.into_iter().filter_map(fate).collect()
    }

    fn random_id(&mut self, now: Now) -> OpId {
        let mut bytes = [0u8; 10];
        self.rng.fill(&mut bytes);
        uuid::Builder::from_unix_timestamp_millis(now.wall_ms(), &bytes).into_uuid()
    }
}

/// Keeps the operation ids of processes with equal seeds apart.
fn hash(author: &str) -> u64 {
    let digest = Sha256::digest(author.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}
