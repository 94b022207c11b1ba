//! Builders of states for tests.

pub mod owner;

use std::net::SocketAddr;

use bytes::Bytes;
use oriolewall::key;
use oriolewall::platform::LogRead;
use oriolewall::record::{Change, Payload, Record};
use oriolewall::state::{RecordOutcome, State};
use oriolewall::tree::Edit;
use uuid::Uuid;

/// A state that changes are applied to one by one.
#[derive(Debug, Default)]
pub struct StateFixture {
    /// The state so far.
    pub state: State,
    entries: Vec<Bytes>,
    ops: u128,
}

impl StateFixture {
    /// An empty state.
    pub fn new() -> StateFixture {
        StateFixture::default()
    }

    /// Applies one change and returns what became of it.
    pub fn apply(&mut self, change: Change) -> RecordOutcome {
        let record = self.record(change);
        self.apply_record(record)
    }

    /// A record with an operation id of its own.
    pub fn record(&mut self, change: Change) -> Record {
        self.ops += 1;
        Record {
            op: Uuid::from_u128(self.ops),
            author: "test".to_owned(),
            wall_ms: 1_000,
            change,
        }
    }

    /// Applies a record, which may have been applied before.
    pub fn apply_record(&mut self, record: Record) -> RecordOutcome {
        let op = record.op;
        let payload = Payload::Records(vec![record]);
        self.push(&payload);
        self.state.outcome(&op).cloned().expect("a record just applied has a verdict")
    }

    /// Applies any payload.
    pub fn push(&mut self, payload: &Payload) {
        self.entries.push(payload.encode());
        self.state.apply(payload);
    }

    /// A read of everything from an offset on, as a log that keeps all would answer.
    pub fn read(&self, from: u64) -> LogRead {
        self.read_retained(from, 0)
    }

    /// A read as a log would answer that keeps entries from `first` on.
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

/// Sets a value without a precondition.
pub fn set(path: &str, name: &str, value: &str) -> Change {
    Change::Edit(Edit {
        path: path.to_owned(),
        name: name.to_owned(),
        value: Some(value.to_owned()),
        expected: None,
    })
}

/// Joins a member of a zone.
pub fn join(id: &str, zone: &str) -> Change {
    Change::Join {
        id: id.into(),
        zone: zone.into(),
        addr: addr(),
    }
}

/// Adds an instance with two slots.
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

/// Grants a key whose secret is its id.
pub fn grant_key(id: &str, team: &str) -> Change {
    Change::KeyGrant {
        id: id.into(),
        team: team.into(),
        hash: key::hash_secret(id),
    }
}

/// An address that nothing listens on.
pub fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}
