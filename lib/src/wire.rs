//! Messages between entry instances, sent in batches as MessagePack over HTTP.
//!
//! Messages are one-way: an answer is a separate message in the other direction. A
//! sender repeats a message that is not answered, and receivers handle repeated
//! messages idempotently.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::Stamp;
use crate::id::{InstanceId, JobId, KeyId, MemberId, Offset, TeamId, ZoneId};
use crate::job::{Job, Status};
use crate::replica::Delta;

/// A batch of messages from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Id of the sender.
    pub from: MemberId,
    /// Hybrid logical clock of the sender.
    pub stamp: Stamp,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

/// A message from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic summary of the sender's view and load.
    Gossip(Gossip),
    /// Requests log entries from an offset on.
    Pull {
        /// Echoed in the answer, to look up when the request was sent.
        nonce: u64,
        /// Next offset that the sender needs.
        from: Offset,
    },
    /// Answers a `Pull`.
    Pulled {
        /// Nonce of the `Pull`.
        nonce: u64,
        /// Next offset of the sender's replica.
        tail: Offset,
        /// Age of the sender's view of the log when it answered, in milliseconds; `None`
        /// before its first complete read.
        age_ms: Option<u64>,
        /// Whether the log is failing to answer the sender.
        log_down: bool,
        /// Entries, or the state, that the receiver is missing.
        delta: Delta,
    },
    /// Assigns a job to the receiver: as owner of its id, or to run it.
    Assign {
        /// Job to accept.
        job: Job,
        /// Role of the receiver.
        role: Role,
    },
    /// Answers an `Assign`: the sender has not accepted the job and never will.
    Declined {
        /// Id of the job.
        job: JobId,
    },
    /// Answers an `Assign` or a `Find` with the status of the job. A report of an ended
    /// job is repeated until it is answered by `Thanks`.
    Report {
        /// Id of the job.
        job: JobId,
        /// Status of the job at the sender.
        status: Status,
    },
    /// Acknowledges a `Report` that the job has ended.
    Thanks {
        /// Id of the job.
        job: JobId,
    },
    /// Asks whether the receiver has a job; answered by `Report` or `Absent`.
    Find {
        /// Id of the job.
        job: JobId,
    },
    /// Answers a `Find`: the sender has not started the job.
    Absent {
        /// Id of the job.
        job: JobId,
        /// Next offset of the sender's replica, which shows the members that it knows.
        next: Offset,
    },
    /// Cancels a job if the receiver has it.
    Cancel {
        /// Id of the job.
        job: JobId,
    },
}

/// Role of the receiver of an `Assign`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// The owner of the job's id, which alone decides whether the job was started.
    Own,
    /// Runs the job for the sender, which remains responsible for it.
    Run,
}

/// A block on starts that an operator sends to entries directly. It is in force until
/// the corresponding record has been applied, or for a limited time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Hold {
    /// No starts in this zone.
    Zone(ZoneId),
    /// No starts of jobs submitted with this key.
    Key(KeyId),
}

/// A hold with its age, so that forwarding it does not prolong it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedHold {
    /// The hold itself.
    pub hold: Hold,
    /// Time since the operator sent it, in milliseconds.
    pub age_ms: u64,
}

/// Summary that a member sends to all others several times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Next offset of the sender's replica.
    pub next: Offset,
    /// Time since the sender's last successful read of the log, in milliseconds.
    pub log_age_ms: Option<u64>,
    /// Whether the sender can start jobs and accepts them from other entries.
    pub open: bool,
    /// Whether the sender is not active: joining, stopping, or fenced.
    pub stopping: bool,
    /// Usage of the sender by team.
    pub teams: BTreeMap<TeamId, TeamUsage>,
    /// Number of the sender's tasks by worker; empty for receivers in other zones.
    pub workers: BTreeMap<InstanceId, u32>,
    /// Holds that the sender received from operators or other members.
    pub holds: Vec<AgedHold>,
}

/// Usage of one entry by one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Number of running tasks.
    pub running: u32,
    /// Number of queued jobs.
    pub queued: u32,
    /// Slots of the team's cap that the entry could use but does not hold.
    pub short: u32,
}

/// Error of decoding a frame.
#[derive(Debug, Error)]
#[error("cannot read a frame")]
pub struct Error {
    #[from]
    source: rmp_serde::decode::Error,
}

impl Frame {
    /// Encodes the frame as MessagePack.
    pub fn encode(&self) -> Bytes {
        let bytes = rmp_serde::to_vec(self).expect("frame types always encode");
        Bytes::from(bytes)
    }

    /// Decodes a frame written by [`Frame::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
