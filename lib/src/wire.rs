//! Messages between entry instances: one-way, in batches, MessagePack over HTTP.
//!
//! Whoever needs an answer waits for a message in the other direction; a lost
//! message is repeated by its sender, and every receiver is idempotent.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::Stamp;
use crate::id::{InstanceId, JobId, KeyId, MemberId, Offset, TeamId, ZoneId};
use crate::job::{Job, Status};
use crate::replica::Delta;

/// Messages from one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: MemberId,
    /// The sender's hybrid logical clock.
    pub stamp: Stamp,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender knows and runs.
    Gossip(Gossip),
    /// Asks for entries from an offset on.
    Pull {
        /// Echoed in the answer, to find the instant of asking.
        nonce: u64,
        /// Next offset of the asker.
        from: Offset,
    },
    /// Answers a pull.
    Pulled {
        /// From the question.
        nonce: u64,
        /// Next offset of the sender.
        tail: Offset,
        /// Age of what the sender has seen when it answered, milliseconds.
        age_ms: Option<u64>,
        /// Whether the log does not answer the sender.
        log_down: bool,
        /// What the asker is missing.
        delta: Delta,
    },
    /// Hands a job over: to its owner, or to run it elsewhere.
    Assign {
        /// The job.
        job: Job,
        /// What the receiver is asked to be.
        role: Role,
    },
    /// The receiver of an `Assign` did not take the job and never will.
    Declined {
        /// The job.
        job: JobId,
    },
    /// The receiver of an `Assign` has the job, or has ended it.
    Report {
        /// The job.
        job: JobId,
        /// Its state.
        status: Status,
    },
    /// The sender has taken a final report in.
    Thanks {
        /// The job.
        job: JobId,
    },
    /// Asks whether the receiver has a job.
    Find {
        /// The job.
        job: JobId,
    },
    /// Answers a `Find`: the sender does not have the job.
    Absent {
        /// The job.
        job: JobId,
        /// Next offset of the sender.
        next: Offset,
    },
    /// Asks for a job to be cancelled.
    Cancel {
        /// The job.
        job: JobId,
    },
}

/// What the receiver of a job is asked to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// The one owner of the id.
    Own,
    /// A runner for the owner, which answers for the id.
    Run,
}

/// A restriction in force at once, until the log has the record or the hold ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Hold {
    /// No starts in a zone.
    Zone(ZoneId),
    /// No starts for a key.
    Key(KeyId),
}

/// A hold with its age, so that passing it on does not make it younger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedHold {
    /// The hold.
    pub hold: Hold,
    /// Time since an operator sent it, milliseconds.
    pub age_ms: u64,
}

/// What a member tells the others several times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Next offset of its replica.
    pub next: Offset,
    /// Age of its last good read of the log, milliseconds.
    pub log_age_ms: Option<u64>,
    /// Whether it takes jobs to run from others.
    pub open: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Use by team.
    pub teams: BTreeMap<TeamId, TeamUsage>,
    /// Tasks of the sender by worker; only for members of its zone.
    pub workers: BTreeMap<InstanceId, u32>,
    /// Restrictions received from operators.
    pub holds: Vec<AgedHold>,
}

/// One team's use of one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Tasks running.
    pub running: u32,
    /// Jobs queued.
    pub queued: u32,
    /// Slots of the cap that it is short of.
    pub short: u32,
}

/// Why a frame could not be read.
#[derive(Debug, Error)]
#[error("cannot read a frame")]
pub struct Error {
    #[from]
    source: rmp_serde::decode::Error,
}

impl Frame {
    /// Encodes with MessagePack.
    pub fn encode(&self) -> Bytes {
        let bytes = rmp_serde::to_vec(self).expect("frame types always encode");
        Bytes::from(bytes)
    }

    /// Decodes what [`Frame::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
