//! Ports to what the platform gives: the log, the instance list, the workers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{Attempt, InstanceId, JobId, MemberId, Offset, TeamId};

/// Why a call to the platform brought no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The call was certainly not delivered.
    #[error("not delivered")]
    Undelivered,
    /// The call was refused without effect.
    #[error("refused by the service")]
    Unavailable,
    /// The call may have taken effect.
    #[error("no answer; may have taken effect")]
    Lost,
}

/// What a read of the log returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRead {
    /// Oldest offset still kept.
    pub first: Offset,
    /// Offset that the next append will get.
    pub tail: Offset,
    /// Offset of the first entry returned.
    pub from: Offset,
    /// Entries from `from` on, without holes.
    pub entries: Vec<Bytes>,
}

/// The platform's append-only log.
pub trait Log {
    /// Reads entries from an offset, waiting up to `wait` for the first one.
    fn read(&self, from: Offset, wait: Duration) -> impl Future<Output = Result<LogRead, Error>> + Send;

    /// Appends one entry and returns its offset.
    fn append(&self, entry: Bytes) -> impl Future<Output = Result<Offset, Error>> + Send;
}

/// State of an instance in the platform's lagging list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// Serves.
    Live,
    /// About to go away.
    Leaving,
}

/// One line of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its state, as far as the list knows.
    pub presence: Presence,
}

/// The platform's lagging list of instances; absent ones are gone.
pub trait InstanceList {
    /// Reads the whole list.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedInstance>, Error>> + Send;
}

/// A try to run a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The job.
    pub job: JobId,
    /// Number of the try.
    pub attempt: Attempt,
}

/// What a worker is asked to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The try.
    pub task: TaskAttempt,
    /// Whose lease it runs under.
    pub holder: MemberId,
    /// Team, kept for whoever adopts the task.
    pub team: TeamId,
    /// Whether the job may not be repeated, kept for whoever adopts the task.
    pub once: bool,
    /// Epoch of the instance's membership in its pool.
    pub epoch: u64,
    /// Wall clock after which the start must not take place, milliseconds since the epoch.
    pub start_by_ms: u64,
    /// Length of the lease, milliseconds.
    pub lease_ms: u64,
    /// Run time the caller expects, milliseconds.
    pub expected_ms: u64,
    /// The caller's payload.
    pub payload: Bytes,
}

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerRequest {
    /// Run a task.
    Start(TaskStart),
    /// Wait for a task's answer, up to a time.
    Wait {
        /// The task.
        task: TaskAttempt,
        /// Longest wait, milliseconds.
        wait_ms: u64,
    },
    /// Extend a lease.
    Renew {
        /// The task.
        task: TaskAttempt,
        /// Whose lease it is.
        holder: MemberId,
        /// New length, milliseconds.
        lease_ms: u64,
    },
    /// Take a lease over from another holder.
    Adopt {
        /// The task.
        task: TaskAttempt,
        /// Holder so far.
        from: MemberId,
        /// New holder.
        to: MemberId,
        /// New length, milliseconds.
        lease_ms: u64,
    },
    /// Stop a task, with a checkpoint or without.
    Stop {
        /// The task.
        task: TaskAttempt,
        /// Whether the work so far is to be saved.
        checkpoint: bool,
    },
    /// List running and lately finished tasks.
    List,
    /// Reboot once nothing runs.
    Reboot,
}

/// Why a worker did not start a task; it certainly has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// All slots are in use.
    Full,
    /// The start-by time has passed.
    Late,
    /// The worker is about to go away.
    Leaving,
    /// The task is known already.
    Known,
}

/// A task as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTask {
    /// The task.
    pub task: TaskAttempt,
    /// Whose lease it runs under.
    pub holder: MemberId,
    /// Its team.
    pub team: TeamId,
    /// Whether the job may not be repeated.
    pub once: bool,
    /// Whether the answer is there.
    pub finished: bool,
}

/// The answer of a finished task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Task that it answers.
    pub task: TaskAttempt,
    /// Whether the task succeeded.
    pub success: bool,
    /// Length of the whole body, bytes.
    pub length: u64,
    /// The body.
    pub body: Bytes,
}

/// A worker's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerResponse {
    /// The task runs.
    Started,
    /// The task has not been started and will not be.
    Refused(StartRefusal),
    /// The task finished.
    Answer(Answer),
    /// The task still runs.
    Pending,
    /// The request took effect.
    Ok,
    /// The task is not known here, or not under this holder's lease.
    Unknown,
    /// Tasks here.
    Tasks(Vec<ListedTask>),
}

/// The platform's workers.
pub trait Worker {
    /// Sends one request to a worker.
    fn call(&self, addr: SocketAddr, request: WorkerRequest) -> impl Future<Output = Result<WorkerResponse, Error>> + Send;
}
