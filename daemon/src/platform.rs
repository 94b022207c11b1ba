//! HTTP clients of the platform's log, instance list and workers.
//!
//! The bodies of calls to the log and the workers are encoded as MessagePack, the
//! body of the instance list as JSON.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::id::Offset;
use oriolewall::platform::{self, Error, ListedInstance, LogRead, WorkerRequest, WorkerResponse};

use crate::client::{Call, Client};

/// Timeout of a read, in addition to the time for which the log may wait for a new entry.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of a read of the instance list.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a call to a worker, in addition to the time for which the worker may wait.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    addr: SocketAddr,
}

/// Client of the instance list.
#[derive(Clone, Debug)]
pub struct InstanceListClient {
    client: Client,
    addr: SocketAddr,
}

/// Client of all workers.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client,
}

impl LogClient {
    /// Creates a client of the log service at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> LogClient {
        LogClient { client, addr }
    }
}

impl platform::Log for LogClient {
    async fn read(&self, from: Offset, wait: Duration) -> Result<LogRead, Error> {
        let path = format!("/log?from={from}&wait_ms={}", wait.as_millis());
        let response = self.client.call(Call::get(self.addr, path, wait + READ_TIMEOUT)).await?;
        decode(&response.body)
    }

    async fn append(&self, entry: Bytes) -> Result<Offset, Error> {
        let response = self.client.call(Call::post(self.addr, "/log", entry, APPEND_TIMEOUT)).await?;
        decode(&response.body)
    }
}

impl InstanceListClient {
    /// Creates a client of the instance list at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> InstanceListClient {
        InstanceListClient { client, addr }
    }
}

impl platform::InstanceList for InstanceListClient {
    async fn list(&self) -> Result<Vec<ListedInstance>, Error> {
        let response = self.client.call(Call::get(self.addr, "/instances", LIST_TIMEOUT)).await?;
        serde_json::from_slice(&response.body).map_err(|_| Error::Lost)
    }
}

impl WorkerClient {
    /// Creates a client that calls workers with `client`.
    pub fn new(client: Client) -> WorkerClient {
        WorkerClient { client }
    }
}

impl platform::Worker for WorkerClient {
    async fn call(&self, addr: SocketAddr, request: WorkerRequest) -> Result<WorkerResponse, Error> {
        let wait = match &request {
            WorkerRequest::Wait { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let body = rmp_serde::to_vec(&request).map_err(|_| Error::Undelivered)?;
        let call = Call::post(addr, "/tasks", Bytes::from(body), wait + WORKER_TIMEOUT);
        let response = self.client.call(call).await?;
        decode(&response.body)
    }
}

/// Decodes a body. One that cannot be decoded counts as a lost answer.
fn decode<T>(body: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    rmp_serde::from_slice(body).map_err(|_| Error::Lost)
}
