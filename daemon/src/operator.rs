//! Reads and changes the shared state for the operators' tools.
//!
//! A change is appended to the log, which is then read back and applied, because
//! only this shows whether replicas accept or refuse the change.

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

/// Time after which a change is no longer retried while its outcome is unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a failed change is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a call to an entry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Client with which one operator reads and changes the shared state.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    log: LogClient,
    client: Client,
    entries: Vec<SocketAddr>,
    author: String,
    clock: Clock,
}

/// A change that replicas have accepted.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Offset of the log entry that contains the change.
    pub offset: Offset,
    /// State read back from the log; it includes the change.
    pub state: State,
}

/// Why the state could not be read, or a change was not accepted.
#[derive(Debug, Error)]
pub enum Error {
    /// Neither the log nor any of the entries could be read.
    #[error("neither the log nor an entry answers; nothing was changed")]
    Unreachable,
    /// A call to the log failed, or a change was not accepted in time. In the second case the
    /// change may still take effect.
    #[error("the log does not accept changes now ({source}); the change may still take effect, look with `oriolectl tree history`")]
    Log {
        /// Error of the last call to the log.
        source: PlatformError,
    },
    /// Replicas refused the change. Every replica reaches the same result.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// What the log returned could not be applied to a replica.
    #[error(transparent)]
    Replica(#[from] replica::Error),
}

impl OperatorClient {
    /// Creates a client that changes the state through the log.
    ///
    /// The state is read from `entries` while the log is down, and holds are sent to them.
    /// `author` is written into every record.
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

    /// Addresses of the entries that the client was created with.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// HTTP client, for further calls.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads the shared state from the log, or from an entry if the log does not answer.
    pub async fn read_state(&self) -> Result<State, Error> {
        match self.replay(Replica::default()).await {
            Ok(replica) => Ok(replica.state().clone()),
            Err(Error::Log { .. }) => self.read_state_from_entry().await,
            Err(err) => Err(err),
        }
    }

    /// Returns the state of the first entry that answers.
    async fn read_state_from_entry(&self) -> Result<State, Error> {
        for addr in &self.entries {
            let call = Call::get(*addr, "/peer/state", ENTRY_TIMEOUT);
            let Ok(response) = self.client.call(call).await else {
                continue;
            };
            if let Ok(state) = oriolewall::snapshot::decode(&response.body) {
                return Ok(state);
            }
        }
        Err(Error::Unreachable)
    }

    /// Applies all entries of the log from the replica's next offset to the end.
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

    /// Returns all payloads that the log retains, with their offsets. Entries that cannot be
    /// decoded are left out.
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

    /// Appends a change, repeatedly if needed, until replicas have accepted or refused it.
    ///
    /// Every attempt uses the same operation id, so the change takes effect at most once even if
    /// the answer to an append is lost.
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
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        loop {
            match self.try_append(op, entry.clone()).await {
                Ok(accepted) => return Ok(accepted),
                Err(Error::Log { source }) if deadline < Instant::now() => return Err(Error::Log { source }),
                Err(Error::Log { .. }) => tokio::time::sleep(RETRY_DELAY).await,
                Err(err) => return Err(err),
            }
        }
    }

    /// Appends a record once and reads the log to find out whether replicas accepted it.
    async fn try_append(&self, op: OpId, entry: Bytes) -> Result<AcceptedChange, Error> {
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

    /// Sends a hold directly to all entries, so that it applies before its record has been read
    /// from the log. Returns the number of entries that answered.
    pub async fn send_hold(&self, hold: &Hold) -> usize {
        let body = serde_json::to_vec(hold).map(Bytes::from).unwrap_or_default();
        let mut answered = 0;
        for addr in &self.entries {
            let call = Call::post(*addr, "/v1/hold", body.clone(), ENTRY_TIMEOUT);
            answered += usize::from(self.client.call(call).await.is_ok());
        }
        answered
    }
}
