//! What operators' tools do: read the shared state, append a change, and learn
//! what became of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use oriolewall::id::{Offset, OpId};
use oriolewall::platform::{Error as PlatformError, Log as _};
use oriolewall::record::{Change, Payload, Record};
use oriolewall::replica::{self, Replica};
use oriolewall::state::{RecordOutcome, Refusal, State};
use oriolewall::wire::Hold;
use thiserror::Error;
use uuid::Uuid;

use crate::client::{Call, Client};
use crate::node::Clock;
use crate::platform::LogClient;

/// Time in which a change must be accepted.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(200);
/// Time for a call to an entry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection of one operator.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    log: LogClient,
    client: Client,
    entries: Vec<SocketAddr>,
    author: String,
    clock: Clock,
}

/// An accepted change.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Offset of its record.
    pub offset: Offset,
    /// The state with the change.
    pub state: State,
}

/// Why a change was not accepted.
#[derive(Debug, Error)]
pub enum Error {
    /// The log cannot be reached, nor any entry.
    #[error("neither the log nor an entry answers; nothing was changed")]
    Unreachable,
    /// The log took no append in time.
    #[error("the log does not accept changes now ({source}); the change may still take effect, look with `oriolectl tree history`")]
    Log {
        /// The last error.
        source: PlatformError,
    },
    /// The change was refused by every replica.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The log could not be read.
    #[error(transparent)]
    Replica(#[from] replica::Error),
}

impl OperatorClient {
    /// Connects to a log; `entries` get restrictions directly too.
    pub fn new(log: SocketAddr, entries: Vec<SocketAddr>, author: &str) -> OperatorClient {
        let client = Client::new();
        OperatorClient {
            log: LogClient::new(client.clone(), log),
            client,
            entries,
            author: author.to_owned(),
            clock: Clock::new(),
        }
    }

    /// Entries that were named.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// The HTTP client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads the shared state: from the log, or from an entry while the log is down.
    pub async fn read_state(&self) -> Result<State, Error> {
        match self.replay(Replica::default()).await {
            Ok(replica) => Ok(replica.state().clone()),
            Err(Error::Log { .. }) => self.state_of_entry().await,
            Err(err) => Err(err),
        }
    }

    async fn state_of_entry(&self) -> Result<State, Error> {
        for entry in &self.entries {
            let call = Call::get(*entry, "/peer/state", ENTRY_TIMEOUT);
            let Ok(response) = self.client.call(call).await else {
                continue;
            };
            if let Ok(state) = oriolewall::snapshot::decode(&response.body) {
                return Ok(state);
            }
        }
        Err(Error::Unreachable)
    }

    /// Reads the log from the replica's offset to its end.
    async fn replay(&self, mut replica: Replica) -> Result<Replica, Error> {
        loop {
            let read = self
                .log
                .read(replica.next_read_offset(), Duration::ZERO)
                .await
                .map_err(|source| Error::Log { source })?;
            replica.apply_read(self.clock.now().mono, &read)?;
            if replica.state().next_offset() == read.tail {
                return Ok(replica);
            }
        }
    }

    /// All payloads that the log still keeps, with their offsets.
    pub async fn read_history(&self) -> Result<Vec<(Offset, Payload)>, Error> {
        let mut payloads = Vec::new();
        let mut from = 0;
        loop {
            let read = self.log.read(from, Duration::ZERO).await.map_err(|source| Error::Log { source })?;
            for (index, entry) in read.entries.iter().enumerate() {
                let offset = read.from + index as Offset;
                if let Ok(payload) = Payload::decode(entry) {
                    payloads.push((offset, payload));
                }
            }
            from = read.from + read.entries.len() as Offset;
            if read.tail <= from {
                return Ok(payloads);
            }
        }
    }

    /// Appends a change until its fate is known. A lost answer is repeated with
    /// the same operation id, so the change takes effect once.
    pub async fn apply_change(&self, change: Change) -> Result<AcceptedChange, Error> {
        let now = self.clock.now();
        let op = Uuid::now_v7();
        let record = Record {
            op,
            author: self.author.clone(),
            wall_ms: now.wall_ms(),
            change,
        };
        let entry = Payload::Records(vec![record]).encode();
        let deadline = Instant::now() + PATIENCE;
        loop {
            match self.attempt(op, entry.clone()).await {
                Ok(receipt) => return Ok(receipt),
                Err(Error::Log { source }) if deadline < Instant::now() => return Err(Error::Log { source }),
                Err(Error::Log { .. }) => tokio::time::sleep(PAUSE).await,
                Err(err) => return Err(err),
            }
        }
    }

    async fn attempt(&self, op: OpId, entry: Bytes) -> Result<AcceptedChange, Error> {
        let appended = self.log.append(entry).await;
        let replica = self.replay(Replica::default()).await?;
        let state = replica.state().clone();
        match state.outcome(&op) {
            Some(RecordOutcome::Accepted(offset)) => Ok(AcceptedChange { offset: *offset, state }),
            Some(RecordOutcome::Refused(refusal)) => Err(Error::Refused(refusal.clone())),
            None => Err(Error::Log {
                source: appended.err().unwrap_or(PlatformError::Lost),
            }),
        }
    }

    /// Sends a restriction to the named entries directly; returns how many took it.
    pub async fn send_hold(&self, hold: &Hold) -> usize {
        let body = serde_json::to_vec(hold).map(Bytes::from).unwrap_or_default();
        let mut taken = 0;
        for entry in &self.entries {
            let call = Call::post(*entry, "/v1/hold", body.clone(), ENTRY_TIMEOUT);
            taken += usize::from(self.client.call(call).await.is_ok());
        }
        taken
    }
}
