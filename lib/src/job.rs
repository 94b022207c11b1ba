//! Jobs and their outcomes.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{JobId, KeyId, Offset, TeamId};

/// What a caller wants run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The caller's id.
    pub id: JobId,
    /// Team that the key belongs to.
    pub team: TeamId,
    /// Key that brought the job.
    pub key: KeyId,
    /// Whether it goes before normal work.
    pub class: Class,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Run time that the caller declares.
    pub expected: Duration,
    /// Wall clock after which no answer is wanted, milliseconds since the epoch.
    pub deadline_ms: u64,
    /// Payload handed to the worker.
    pub payload: Bytes,
}

/// Whether a job goes before normal work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Before all normal work.
    Urgent,
    /// In its team's turn.
    Normal,
}

/// Whether a job may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// A lost try may be repeated.
    Allowed,
    /// At most one try may ever run.
    Forbidden,
}

/// What became of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; this is the whole answer.
    Done(Completion),
    /// It certainly was never started.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// The whole answer of a job that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Whether the worker called it a success.
    pub success: bool,
    /// The answer.
    pub body: Bytes,
}

/// Why a job was not run.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The team's queue is full.
    #[error("the queue of {team} is full at {limit} jobs")]
    QueueFull {
        /// The team.
        team: TeamId,
        /// Jobs it may hold.
        limit: u64,
    },
    /// The deadline passed while it was queued.
    #[error("the deadline passed while the job was queued")]
    Deadline,
    /// The caller cancelled it while it was queued.
    #[error("cancelled while queued")]
    Cancelled,
    /// The key was withdrawn while it was queued.
    #[error("the key was withdrawn by record {offset}")]
    KeyWithdrawn {
        /// Offset of the withdrawal.
        offset: Offset,
    },
    /// The entry is stopping and no other entry took the job.
    #[error("this entry is stopping; try another")]
    Stopping,
    /// Another team's job has this id.
    #[error("the id is in use")]
    IdTaken,
}

/// Why a job's fate is not known.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The worker's answer was lost.
    #[error("the worker's answer was lost")]
    AnswerLost,
    /// The worker was lost while the task ran.
    #[error("contact with the worker was lost while the task ran")]
    WorkerLost,
    /// The deadline passed while it ran.
    #[error("the deadline passed while the task ran")]
    Deadline,
    /// Cancelled while it ran.
    #[error("cancelled while the task ran")]
    Cancelled,
    /// The task was stopped because the team's cap was lowered.
    #[error("the task was stopped after the team's cap was lowered")]
    OverCap,
    /// An earlier owner of the id may have taken it.
    #[error("an earlier owner of this id may have run it")]
    EarlierOwner,
    /// The owner of the id cannot be reached.
    #[error("the owner of this id cannot be reached")]
    OwnerUnreachable,
    /// Another entry that may have been given the job does not answer.
    #[error("another entry may have been given the job and cannot be asked")]
    Elsewhere,
    /// The id is older than what entries remember, or from the future.
    #[error("the id was not minted recently")]
    Age,
}

/// A job's state as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Waits for a slot.
    Queued,
    /// Handed to a worker.
    Running,
    /// Ended.
    Ended(Outcome),
}
