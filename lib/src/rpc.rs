//! Calls between entry instances, as MessagePack over HTTP.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::balance::PoolLoad;
use crate::id::{InstanceId, PoolId, TeamId};
use crate::job_record::{JobKey, QueueId, Request};
use crate::query::{Demand, JobStatus};
use crate::resources::Resources;

/// Partition of the log that a pool's jobs are in.
pub type PartitionId = u32;

/// A call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A job's state, from the owner of its partition.
    Status {
        /// The partition.
        part: PartitionId,
        /// The job.
        id: JobKey,
    },
    /// Jobs of a queue that wait, from the owner of its partition.
    Pending {
        /// The partition.
        part: PartitionId,
        /// The queue.
        queue: QueueId,
    },
    /// Append a caller's request for an instance that the log turns away.
    Append {
        /// The partition.
        part: PartitionId,
        /// The job.
        id: JobKey,
        /// What the caller asks.
        request: Request,
    },
    /// Empty a worker for upkeep or a move.
    Vacate {
        /// The partition of the worker's pool.
        part: PartitionId,
        /// The worker.
        worker: InstanceId,
        /// Whether to keep new work away until what runs there has ended.
        wait: bool,
    },
    /// How busy the workers of a partition's pools are.
    Loads {
        /// The partition.
        part: PartitionId,
    },
    /// What the owner of a partition uses and wants of teams' caps.
    Report(UsageReport),
}

/// What the owner of a partition uses and wants of teams' caps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The partition.
    pub part: PartitionId,
    /// The owner's epoch.
    pub epoch: u64,
    /// Use and demand by team.
    pub teams: HashMap<TeamId, Demand>,
    /// What it may have running by team.
    pub held: HashMap<TeamId, Resources>,
    /// Demand on its pools.
    pub loads: BTreeMap<PoolId, PoolLoad>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A job's state; `None` if there is no such job.
    Status(Option<JobStatus>),
    /// Jobs that wait.
    Pending(u64),
    /// It is done.
    Done,
    /// Whether nothing runs on the worker.
    Vacant(bool),
    /// Processor by worker that tasks use which end by themselves, thousandths of a core.
    Loads(HashMap<InstanceId, u64>),
    /// What the owner may have running by team.
    Grants(HashMap<TeamId, Resources>),
    /// This instance does not own the partition.
    NotOwner,
    /// Certainly not done: the owner is not ready, or the log refuses.
    Unavailable,
    /// May have been done.
    Unknown,
}
