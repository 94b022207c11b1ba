//! Test fixtures: a shared state that changes are applied to, and the owner of a pool.

pub mod owner;

use std::net::SocketAddr;

use bytes::Bytes;
use oriolewall::key;
use oriolewall::platform::LogRead;
use oriolewall::record::{Change, Payload, Record};
use oriolewall::state::{RecordOutcome, State};
use oriolewall::tree::Edit;
use uuid::Uuid;

/// A state to which a test applies changes one by one. The encoded log entries are kept.
#[derive(Debug, Default)]
pub struct StateFixture {
    /// State after all changes applied so far.
    pub state: State,
    entries: Vec<Bytes>,
    record_count: u128,
}

impl StateFixture {
    /// Creates an empty state.
    pub fn new() -> StateFixture {
        StateFixture::default()
    }

    /// Applies a change under a new operation id and returns its outcome.
    pub fn apply(&mut self, change: Change) -> RecordOutcome {
        let record = self.record(change);
        self.apply_record(record)
    }

    /// Creates a record with a new operation id, without applying it.
    pub fn record(&mut self, change: Change) -> Record {
        self.record_count += 1;
        Record {
            op: Uuid::from_u128(self.record_count),
            author: "test".to_owned(),
            wall_ms: 1_000,
            change,
        }
    }

    /// Applies a record, which may have been applied before, and returns its outcome.
    pub fn apply_record(&mut self, record: Record) -> RecordOutcome {
        let op = record.op;
        let payload = Payload::Records(vec![record]);
        self.push(&payload);
        self.state.outcome(&op).cloned().expect("an applied record has an outcome")
    }

    /// Applies a payload and appends it to the entries.
    pub fn push(&mut self, payload: &Payload) {
        self.entries.push(payload.encode());
        self.state.apply(payload);
    }

    /// The result of reading from an offset in a log that retains all entries.
    pub fn read(&self, from: u64) -> LogRead {
        self.read_retained(from, 0)
    }

    /// The result of reading from an offset in a log that retains entries from `first` on.
    pub fn read_retained(&self, from: u64, first: u64) -> LogRead {
        let from = from.max(first);
        let entries = self.entries.iter().skip(from as usize).cloned().collect();
        LogRead {
            first,
            tail: self.entries.len() as u64,
            from,
            entries,
        }
    }
}

/// A change that sets a value without a precondition.
pub fn set(path: &str, name: &str, value: &str) -> Change {
    Change::Edit(Edit {
        path: path.to_owned(),
        name: name.to_owned(),
        value: Some(value.to_owned()),
        expected: None,
    })
}

/// A change that joins a member in a zone.
pub fn join(id: &str, zone: &str) -> Change {
    Change::Join {
        id: id.into(),
        zone: zone.into(),
        addr: addr(),
    }
}

/// A change that adds an instance with two slots.
pub fn instance(id: &str, zone: &str, rack: &str, pool: &str) -> Change {
    Change::InstanceAdd {
        id: id.into(),
        zone: zone.into(),
        rack: rack.into(),
        pool: pool.into(),
        addr: addr(),
        slots: 2,
    }
}

/// A change that grants an API key whose secret is its id.
pub fn grant_key(id: &str, team: &str) -> Change {
    Change::KeyGrant {
        id: id.into(),
        team: team.into(),
        hash: key::hash_secret(id),
    }
}

/// An address on which nothing listens.
pub fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}
