//! Jobs as callers submit them, and their outcomes.
//!
//! The types are encoded in messages between entries: by position for fields and
//! by name for variants.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{JobId, KeyId, Offset, TeamId};

/// A job as a caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id chosen by the caller; a repeated submission with the same id is not a new job.
    pub id: JobId,
    /// Team that the caller's key belongs to.
    pub team: TeamId,
    /// Key that the job was submitted with.
    pub key: KeyId,
    /// Scheduling class.
    pub class: Class,
    /// Whether the job may be started more than once.
    pub repeat: Repeat,
    /// Run time as estimated by the caller.
    pub expected: Duration,
    /// Wall-clock time after which the caller needs no answer, in milliseconds since
    /// the Unix epoch.
    pub deadline_ms: u64,
    /// Opaque payload for the worker.
    pub payload: Bytes,
}

/// Scheduling class of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Starts before all normal jobs.
    Urgent,
    /// Starts when it is its team's turn.
    Normal,
}

/// Whether a job may be started more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// A failed or lost attempt may be repeated.
    Allowed,
    /// At most one attempt may ever be started.
    Forbidden,
}

/// Final result of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The job ran and the worker's complete answer was received.
    Done(Completion),
    /// The job was certainly never started.
    NotRun(NotRunReason),
    /// The job may or may not have run.
    Unknown(UnknownReason),
}

/// The complete answer of a job that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Whether the worker reported success.
    pub success: bool,
    /// Body of the answer.
    pub body: Bytes,
}

/// Why a job was not run.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The team's queue is full, or too long for the job's deadline.
    #[error("the queue of {team} is full at {limit} jobs")]
    QueueFull {
        /// Team of the job.
        team: TeamId,
        /// Queue length at which the job was refused.
        limit: u64,
    },
    /// The deadline passed, or was too close to start, while the job was queued.
    #[error("the deadline passed while the job was queued")]
    Deadline,
    /// The caller cancelled the job while it was queued.
    #[error("cancelled while queued")]
    Cancelled,
    /// The key was withdrawn while the job was queued.
    #[error("the key was withdrawn by record {offset}")]
    KeyWithdrawn {
        /// Offset of the record that withdrew the key.
        offset: Offset,
    },
    /// The entry is stopping and no other entry accepted the job.
    #[error("this entry is stopping; try another")]
    Stopping,
    /// A job of another team has this id.
    #[error("the id is in use")]
    IdTaken,
}

/// Why it is not known whether a job ran.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The start was not confirmed, and no answer was received.
    #[error("the worker's answer was lost")]
    AnswerLost,
    /// Contact with the worker, or with the entry that ran the job, was lost.
    #[error("contact with the worker was lost while the task ran")]
    WorkerLost,
    /// The deadline passed while the task ran.
    #[error("the deadline passed while the task ran")]
    Deadline,
    /// The caller cancelled the job while the task ran.
    #[error("cancelled while the task ran")]
    Cancelled,
    /// The task was stopped because the team's cap was lowered.
    #[error("the task was stopped after the team's cap was lowered")]
    OverCap,
    /// An earlier owner of the id may have accepted the job and did not answer in time.
    #[error("an earlier owner of this id may have run it")]
    EarlierOwner,
    /// The entry that owns the id did not confirm the job.
    #[error("the owner of this id cannot be reached")]
    OwnerUnreachable,
    /// Another entry that may have the job did not answer.
    #[error("another entry may have been given the job and cannot be asked")]
    Elsewhere,
    /// The id was created too long ago for entries to remember its use, or in the future,
    /// or is not a time-ordered UUID.
    #[error("the id was not minted recently")]
    Age,
}

/// Status of a job as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Waiting to be started.
    Queued,
    /// Sent to a worker.
    Running,
    /// Ended with this outcome.
    Ended(Outcome),
}

impl Outcome {
    /// Short text for the event of the job's end.
    pub fn describe(&self) -> String {
        match self {
            Outcome::Done(Completion { success: true, .. }) => "done".to_owned(),
            Outcome::Done(Completion { success: false, .. }) => "failed".to_owned(),
            Outcome::NotRun(reason) => format!("not run: {reason}"),
            Outcome::Unknown(reason) => format!("unknown: {reason}"),
        }
    }
}
