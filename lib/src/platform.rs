//! Interfaces to the platform's services: the log, the instance list and the workers.
//!
//! The traits are implemented over the network and by simulations. A call that
//! fails reports whether it may have taken effect.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{Attempt, InstanceId, JobId, MemberId, Offset, TeamId};

/// Why a call to the platform failed, and whether it may have taken effect.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The call was not delivered and had no effect.
    #[error("not delivered")]
    Undelivered,
    /// The service refused the call; it had no effect.
    #[error("refused by the service")]
    Unavailable,
    /// No response arrived; the call may have taken effect.
    #[error("no answer; may have taken effect")]
    Lost,
}

/// Result of a read of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRead {
    /// Oldest offset that the log retains.
    pub first: Offset,
    /// Offset that the next append will get.
    pub tail: Offset,
    /// Offset of the first entry returned.
    pub from: Offset,
    /// Encoded entries at consecutive offsets from `from` on.
    pub entries: Vec<Bytes>,
}

/// The platform's append-only log.
pub trait Log {
    /// Reads entries from an offset on. If there are none yet, waits up to `wait` for one.
    fn read(&self, from: Offset, wait: Duration) -> impl Future<Output = Result<LogRead, Error>> + Send;

    /// Appends one entry and returns its offset.
    fn append(&self, entry: Bytes) -> impl Future<Output = Result<Offset, Error>> + Send;
}

/// State of an instance in the platform's list, which lags behind the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// In service.
    Live,
    /// About to shut down.
    Leaving,
}

/// One instance in the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// State of the instance when the list was made.
    pub presence: Presence,
}

/// The platform's list of instances.
///
/// The list lags behind the instances. An instance that is gone is no longer in it.
pub trait InstanceList {
    /// Returns the whole list.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedInstance>, Error>> + Send;
}

/// Identifies one attempt to run a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// Job that is attempted.
    pub job: JobId,
    /// Number of the attempt, counted from one.
    pub attempt: Attempt,
}

/// Request to start a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Attempt to start.
    pub task: TaskAttempt,
    /// Member that holds the task's lease.
    pub holder: MemberId,
    /// Team of the job. The worker lists it for a member that adopts the task.
    pub team: TeamId,
    /// Whether the job may not be repeated. The worker lists it for a member that adopts the task.
    pub once: bool,
    /// Epoch of the instance, which changes when it moves to another pool.
    pub epoch: u64,
    /// Time after which the worker must not start the task, milliseconds since the Unix epoch.
    pub start_by_ms: u64,
    /// Duration of the lease, milliseconds.
    pub lease_ms: u64,
    /// Run time that the caller expects, milliseconds.
    pub expected_ms: u64,
    /// Payload that the caller submitted with the job.
    pub payload: Bytes,
}

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerRequest {
    /// Start a task.
    Start(TaskStart),
    /// Wait for a task to finish and return its answer.
    Wait {
        /// Task to wait for.
        task: TaskAttempt,
        /// Time after which the worker responds even if the task still runs, milliseconds.
        wait_ms: u64,
    },
    /// Extend the lease of a task.
    Renew {
        /// Task whose lease is extended.
        task: TaskAttempt,
        /// Member that holds the lease.
        holder: MemberId,
        /// New duration from now on, milliseconds.
        lease_ms: u64,
    },
    /// Transfer the lease of a task to another member.
    Adopt {
        /// Task whose lease is transferred.
        task: TaskAttempt,
        /// Current holder of the lease.
        from: MemberId,
        /// New holder of the lease.
        to: MemberId,
        /// New duration from now on, milliseconds.
        lease_ms: u64,
    },
    /// Stop a task.
    Stop {
        /// Task to stop.
        task: TaskAttempt,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
    /// List running and recently finished tasks.
    List,
    /// Reboot once no task is running.
    Reboot,
}

/// Why a worker refused to start a task. The refused start did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// All slots are in use.
    Full,
    /// The time by which the task had to start has passed.
    Late,
    /// The worker is about to shut down.
    Leaving,
    /// The worker has received a start of this task before.
    Known,
}

/// A task in a worker's list of tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTask {
    /// Attempt that the worker runs or ran.
    pub task: TaskAttempt,
    /// Member that holds the task's lease.
    pub holder: MemberId,
    /// Team of the job.
    pub team: TeamId,
    /// Whether the job may not be repeated.
    pub once: bool,
    /// Whether the task has finished, so that its answer can be fetched.
    pub finished: bool,
}

/// The answer of a finished task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Task that finished.
    pub task: TaskAttempt,
    /// Whether the task succeeded.
    pub success: bool,
    /// Length of the complete body in bytes, to detect a truncated one.
    pub length: u64,
    /// Output of the task.
    pub body: Bytes,
}

/// A worker's response to a [`WorkerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerResponse {
    /// The task was started.
    Started,
    /// The request did not start the task and will not do so later.
    Refused(StartRefusal),
    /// The task finished.
    Answer(Answer),
    /// The task is still running.
    Pending,
    /// The request took effect.
    Ok,
    /// The worker does not know the task, or its lease is held by another member.
    Unknown,
    /// Running and recently finished tasks.
    Tasks(Vec<ListedTask>),
}

/// The platform's workers.
pub trait Worker {
    /// Sends one request to a worker.
    fn call(&self, addr: SocketAddr, request: WorkerRequest) -> impl Future<Output = Result<WorkerResponse, Error>> + Send;
}
