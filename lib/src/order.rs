//! What an owner tells workers and the log, and what workers answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::advice::StepKey;
use crate::id::InstanceId;
use crate::job_record::JobKey;
use crate::note::Note;
use crate::worker::RunKey;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum How {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the others of its gang.
    Alone,
}

/// An end as a worker lists it.
#[derive(Clone, Debug)]
pub struct End {
    /// Its number on that worker.
    pub number: u64,
    /// The run.
    pub key: RunKey,
    /// How it ended.
    pub how: How,
    /// Progress to resume from; empty for none.
    pub checkpoint: Arc<str>,
}

/// A run as a worker lists it.
#[derive(Clone, Debug)]
pub struct Active {
    /// The run.
    pub key: RunKey,
    /// Progress saved so far; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress; 100 for a lasting task that is at work.
    pub percent: u32,
    /// Response time of a lasting task in milliseconds, or the processor that another one uses.
    pub figure: Option<u64>,
}

/// What a worker showed of itself.
#[derive(Clone, Debug, Default)]
pub struct Look {
    /// Its clock, milliseconds.
    pub clock_ms: u64,
    /// Start of its life, milliseconds since the epoch; zero if it did not say.
    pub born_ms: u64,
    /// What runs there.
    pub active: Vec<Active>,
    /// What ended there and is not recorded yet.
    pub ended: Vec<End>,
}

/// A worker's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is done, or was before.
    Done {
        /// The worker's clock, milliseconds.
        clock_ms: u64,
    },
    /// It was certainly not done.
    Refused(Refusal),
    /// It may have been done, or may still be.
    Lost,
}

/// Why a worker did not carry out an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Refusal {
    /// A later owner has given orders.
    Fenced,
    /// A later run is known there.
    Old,
    /// The order came after its time.
    Late,
    /// No room.
    Room,
    /// The advice that it carried does not hold.
    Ticket,
    /// The worker is another one, or a new life of it.
    Instance,
    /// The worker is unhealthy.
    Unhealthy,
    /// The worker cannot read the order.
    Malformed,
    /// No connection could be opened.
    Unreachable,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// The worker.
    pub worker: InstanceId,
    /// The run.
    pub key: RunKey,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Progress to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// The worker's clock after which the order is void, milliseconds.
    pub until_ms: u64,
    /// Advice for queues that need it.
    pub ticket: Option<Arc<str>>,
}

/// What is to be done outside.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append records under the owner's epoch, and say when they are in.
    Commit(Vec<(Arc<str>, Option<Bytes>)>),
    /// Remove requests that stand in the log as jobs.
    Forget(Vec<JobKey>),
    /// Order a start.
    Start(Start),
    /// Order a stop.
    Stop {
        /// The worker.
        worker: InstanceId,
        /// The run.
        key: RunKey,
    },
    /// Order a run to work at a part of its speed.
    Pace {
        /// The worker.
        worker: InstanceId,
        /// The run.
        key: RunKey,
        /// The speed.
        percent: u32,
    },
    /// Ask which workers may run a step.
    Advise {
        /// The step.
        step: StepKey,
        /// The workers.
        workers: Vec<InstanceId>,
    },
    /// Look at a worker, renewing leases.
    Look {
        /// The worker.
        worker: InstanceId,
        /// Ends up to here are recorded.
        recorded: u64,
        /// The worker's clock until which leases are renewed, milliseconds; `None` renews nothing.
        until_ms: Option<u64>,
        /// Time to wait for an end.
        wait: Duration,
    },
    /// Write a line to the decision log.
    Note(Note),
}
