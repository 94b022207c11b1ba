//! Calls between entry instances that own partitions of the log, sent as MessagePack
//! over HTTP.
//!
//! Variants are encoded by name and fields by position; neither must change.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::balance::PoolLoad;
use crate::cap_demand::Detail;
use crate::id::{InstanceId, PoolId, TeamId};
use crate::inquiry::Holding;
use crate::job_record::{JobKey, QueueId};
use crate::query::{JobStatus, TeamDemand};
use crate::resources::Resources;

/// Number of a partition of the log. All jobs of a pool are in one partition.
pub type PartitionId = u32;
/// Key and encoded value of a caller's request in the log.
pub type RequestRecord = (String, Bytes);

/// A call to another entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Queries a job's status from the owner of its partition.
    Status {
        /// Partition of the job's pool.
        part: PartitionId,
        /// Key of the job.
        id: JobKey,
        /// Team of the caller; `None` for a public queue.
        team: Option<TeamId>,
    },
    /// Asks the owner of a pool that queues have used whether it has jobs, before the owner of
    /// another pool admits them.
    Inquire {
        /// Partition of the pool.
        part: PartitionId,
        /// Version of the configuration that the owner has to know.
        version: u64,
        /// The jobs.
        jobs: Vec<JobKey>,
    },
    /// Queries the number of queued jobs of a queue from the owner of its partition.
    Pending {
        /// Partition of the queue's pool.
        part: PartitionId,
        /// Name of the queue.
        queue: QueueId,
    },
    /// Appends callers' requests on behalf of an instance of an earlier build.
    AppendRecords {
        /// Partition of the jobs' pool.
        part: PartitionId,
        /// The requests.
        records: Vec<RequestRecord>,
    },
    /// Empties workers for maintenance or a move to another pool.
    Vacate {
        /// Partition of the workers' pools.
        part: PartitionId,
        /// Workers to be emptied.
        workers: Vec<InstanceId>,
        /// Whether workers with runs take no new tasks until these have ended; otherwise
        /// they stay in service.
        wait: bool,
    },
    /// Tells an owner which workers will be emptied for maintenance. Earlier builds do not know this
    /// call and refuse it, which does no harm.
    ExpectMaintenance {
        /// Partition of the workers' pools.
        part: PartitionId,
        /// The workers.
        workers: Vec<InstanceId>,
    },
    /// Queries the CPU reserved by finite tasks on the workers of a partition's pools.
    Loads {
        /// Partition whose workers are meant.
        part: PartitionId,
    },
    /// Removes a member from the group of owners on its behalf, as the log does not answer it.
    Leave {
        /// Name of the member.
        member: String,
    },
    /// Reports an owner's usage to the coordinator, which answers with its grants.
    Report(UsageReport),
    /// Appends callers' requests on behalf of another instance.
    Store {
        /// Partition of the jobs' pool.
        part: PartitionId,
        /// The requests.
        records: Vec<RequestRecord>,
        /// Time for which the callers still wait, milliseconds.
        wait_ms: u64,
        /// Whether the calling instance avoids the appenders that are ranked before this one.
        is_substitute: bool,
    },
    /// Asks an appender whether it is alive, and for the pace of its appends to a partition.
    AppendPace {
        /// The partition.
        part: PartitionId,
    },
    /// Tells the coordinator how much waiting work can no longer meet its objective. Earlier builds
    /// do not know this call and refuse it, which does no harm.
    LateWork {
        /// CPU of that work by pool, millicores.
        loads: BTreeMap<PoolId, u64>,
    },
    /// Reports an owner's usage with what could start next. Earlier builds do not know this call and
    /// refuse it; they get a [`Call::Report`] instead.
    ReportDemand(DemandReport),
}

/// What an appender reports of its appends to a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReport {
    /// Mean time until an append is answered, milliseconds.
    pub answer_ms: u64,
    /// Time until requests that arrive now are stored, milliseconds.
    pub drain_ms: u64,
    /// Number of instances that should append.
    pub appenders: u8,
}

/// Usage and demand of the owner of a partition, from which teams' caps are divided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Partition of the owner.
    pub part: PartitionId,
    /// Epoch of the owner; reports of earlier owners are outdated.
    pub epoch: u64,
    /// Usage and demand by team.
    pub teams: HashMap<TeamId, TeamDemand>,
    /// Grants that the owner holds, by team.
    pub held: HashMap<TeamId, Resources>,
    /// Load of its pools.
    pub loads: BTreeMap<PoolId, PoolLoad>,
}

/// A usage report with what is needed to divide a cap into parts of use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Number of the report among those of the owner. One that overtakes another replaces it.
    pub sequence: u64,
    /// Usage and demand.
    pub usage: UsageReport,
    /// What could start next, by team. Teams without waiting and lasting tasks are left out.
    pub details: HashMap<TeamId, Detail>,
}

/// Resources that an owner may use of teams' caps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// What each team may have running in the owner's pools.
    pub grants: HashMap<TeamId, Resources>,
    /// What tasks that end on their own may use in all pools together, for teams that have others.
    pub flexible: HashMap<TeamId, Resources>,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Status of a job; `None` if there is no such job.
    Status(Option<JobStatus>),
    /// Number of queued jobs.
    Pending(u64),
    /// The request was carried out.
    Done,
    /// The records were appended. The number is that of the requests that the appender
    /// appends to the partition per second.
    Appended(u64),
    /// For each of the workers, in order, whether it has no runs.
    Vacant(Vec<bool>),
    /// CPU reserved by finite tasks, by worker, millicores.
    Loads(HashMap<InstanceId, u64>),
    /// Resources granted to the owner, by team.
    Grants(HashMap<TeamId, Resources>),
    /// The called instance does not own the partition.
    NotOwner,
    /// The request was certainly not carried out: the owner is not ready, or the log refused.
    Unavailable,
    /// The request may have been carried out.
    Unknown,
    /// There is such a job, but the owner cannot handle it.
    Quarantined,
    /// Whether the owner has each of the jobs, in order.
    Holdings(Vec<Holding>),
    /// The requests of a [`Call::Store`] are in the log.
    Stored(AppendReport),
    /// They were certainly not appended, as they could not have been stored in time.
    Busy(AppendReport),
    /// They were certainly not appended, as fewer instances should append, of which this is none.
    Moved(AppendReport),
    /// They were certainly not appended, as the log does not answer the appender.
    LogSilent,
    /// Answer to [`Call::AppendPace`].
    Pace(AppendReport),
    /// Answer to [`Call::ReportDemand`].
    Allowance(Allowance),
    /// There is no such job among the requests that the owner has read, and it may not have read all
    /// that it has to know.
    Outdated,
}
