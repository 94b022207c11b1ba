//! Decisions of the owner of a pool that are written to the decision log.
//!
//! Names of variants and fields are part of the log format.

use std::sync::Arc;

use serde::Serialize;

use crate::id::{InstanceId, PoolId, TeamId};
use crate::job_record::{JobKey, QueueId};
use crate::order::Refusal;

/// A line of the decision log.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A submission read from the log was admitted as a job.
    Admitted {
        /// Key of the job.
        job: JobKey,
        /// Queue that accepted the job.
        queue: QueueId,
        /// Team that the job counts against; empty on public queues.
        team: TeamId,
        /// Number of tasks in one occurrence of the job.
        tasks: usize,
    },
    /// A task was placed on a worker.
    Placed {
        /// Key of the job.
        job: JobKey,
        /// Task as occurrence, step and index within the step.
        task: (u32, u16, u32),
        /// Run number of the task.
        run: u32,
        /// Worker that the task was placed on.
        worker: InstanceId,
        /// CPU that was free on the worker before, millicores.
        free_cpu: u64,
        /// Time since the job was received, milliseconds.
        age_ms: u64,
        /// Version of the configuration in use.
        config: u64,
    },
    /// A run ended, or was found not to take place.
    Ended {
        /// Key of the job.
        job: JobKey,
        /// Task as occurrence, step and index within the step.
        task: (u32, u16, u32),
        /// Run number of the task.
        run: u32,
        /// Worker that the run was placed on.
        worker: InstanceId,
        /// Outcome of the run, or why it did not take place.
        how: &'static str,
    },
    /// An order to start a run is sent.
    Ordered {
        /// Key of the job.
        job: JobKey,
        /// Task as occurrence, step and index within the step.
        task: (u32, u16, u32),
        /// Run number of the task.
        run: u32,
        /// Worker that receives the order.
        worker: InstanceId,
        /// Start time of the worker's incarnation, milliseconds since the Unix epoch.
        worker_started_ms: u64,
        /// Time since the latest call that confirmed the ownership was sent, milliseconds.
        confirmed_ago_ms: u64,
        /// Time up to which callers' requests were known, milliseconds before the order.
        requests_read_ago_ms: u64,
        /// Time for which the order may be sent and carried out, milliseconds.
        valid_ms: u64,
    },
    /// No task is started any more, as a cancel may be unknown that has to be in effect, or tasks are
    /// started again.
    StartsHeld {
        /// Whether starts are held.
        held: bool,
        /// Time up to which callers' requests are known, milliseconds ago.
        requests_read_ago_ms: u64,
        /// Number of open jobs.
        open_jobs: usize,
    },
    /// A worker lists a run that this owner did not expect there.
    Unexpected {
        /// Key of the job.
        job: JobKey,
        /// Task as occurrence, step and index within the step.
        task: (u32, u16, u32),
        /// Run number of the task.
        run: u32,
        /// Worker that lists the run.
        worker: InstanceId,
        /// Start time of the worker's incarnation, milliseconds since the Unix epoch.
        worker_started_ms: u64,
        /// Latest run number of the task; `None` if the job is unknown.
        latest_run: Option<u32>,
        /// Worker that the latest run is placed on; `None` if it is on none.
        placed_on: Option<InstanceId>,
    },
    /// A worker has restarted under its name.
    Restarted {
        /// Worker that restarted.
        worker: InstanceId,
        /// Start time of the earlier incarnation, milliseconds since the Unix epoch.
        from_ms: u64,
        /// Start time of the new incarnation, milliseconds since the Unix epoch.
        to_ms: u64,
        /// Number of runs that ended with the earlier incarnation.
        lost: usize,
        /// Number of runs whose start order the new incarnation may carry out.
        may_start: usize,
    },
    /// A job completed, failed or was cancelled.
    Closed {
        /// Key of the job.
        job: JobKey,
        /// How the job ended.
        phase: &'static str,
        /// Time since the job was received, milliseconds.
        age_ms: u64,
        /// Time that the queue's objective allows, milliseconds.
        objective_ms: u64,
    },
    /// A worker gets no other tasks in a placement pass, as a job has been passed over too often
    /// for lack of room.
    RoomHeld {
        /// Key of the job.
        job: JobKey,
        /// Worker that is kept free.
        worker: InstanceId,
    },
    /// A worker refused an order to start a run.
    Refused {
        /// Key of the job.
        job: JobKey,
        /// Run number of the task.
        run: u32,
        /// Worker that refused the order.
        worker: InstanceId,
        /// Why the worker refused.
        reason: Refusal,
    },
    /// A run is stopped so that its worker can leave, change pools or go into maintenance.
    Interrupted {
        /// Key of the job.
        job: JobKey,
        /// Task as occurrence, step and index within the step.
        task: (u32, u16, u32),
        /// Run number of the task.
        run: u32,
        /// Worker that is being emptied.
        worker: InstanceId,
    },
    /// A submitted job was not admitted, as another pool has it.
    HeldElsewhere {
        /// Job that was submitted again.
        job: JobKey,
        /// Pool that has it.
        pool: PoolId,
    },
    /// A worker stopped answering, or answered again.
    Contact {
        /// Worker whose contact changed.
        worker: InstanceId,
        /// Whether the worker answers.
        answers: bool,
        /// Number of runs that may be taking place there.
        runs: usize,
    },
    /// Starts were answered too late, so the owner starts fewer runs at the same time.
    Overloaded {
        /// Most runs whose start order may be unanswered at the same time.
        limit: usize,
        /// Number of open jobs.
        open_jobs: usize,
    },
    /// The record of a job exceeds what the log takes. Its checkpoints were removed.
    RecordTooLarge {
        /// Key of the job.
        job: JobKey,
        /// Size of the record without checkpoints.
        bytes: usize,
        /// Whether the job was quarantined, as the record is still too large.
        is_quarantined: bool,
    },
    /// A worker refuses the epoch alone as fencing token, and is called with numbered contacts.
    Numbered {
        /// Worker that has seen a numbered token of an earlier owner.
        worker: InstanceId,
    },
    /// A worker that does not answer is recorded as silent in the log.
    Silent {
        /// Worker that does not answer.
        worker: InstanceId,
        /// Number of runs that may be taking place there.
        runs: usize,
        /// Time after which all of them have ended, milliseconds.
        left_ms: u64,
    },
    /// Tasks take longer on a worker than on similar ones: it gets work last.
    Slow {
        /// Worker that is slow.
        worker: InstanceId,
        /// Least run time on the worker, percent of that on similar ones.
        percent: u32,
    },
    /// Tasks of an image were found to be slowed down beside those of another one.
    Interferes {
        /// Image that is slowed down.
        image: Arc<str>,
        /// Image beside which it is.
        neighbor: Arc<str>,
        /// Run time or response time beside it, percent of that without it.
        percent: u32,
        /// Number of workers on which this was observed.
        workers: usize,
        /// Standard deviation over the workers, percent.
        spread_percent: u32,
    },
    /// Such a slowdown has ended, or was not observed for some time.
    InterferenceOver {
        /// Image that was slowed down.
        image: Arc<str>,
        /// Image beside which it was.
        neighbor: Arc<str>,
    },
    /// A task was placed on another worker than the first with room, for what was learned.
    Preferred {
        /// Key of the job.
        job: JobKey,
        /// Task as occurrence, step and index within the step.
        task: (u32, u16, u32),
        /// Worker that the task was placed on.
        worker: InstanceId,
        /// Worker that it would have been placed on.
        instead_of: InstanceId,
        /// What was learned of that worker.
        why: &'static str,
    },
    /// A worker is quarantined because its runs fail or make no progress: for a while, it gets
    /// tasks only if no other worker can run them.
    Suspect {
        /// Worker that is quarantined.
        worker: InstanceId,
        /// What was observed.
        why: &'static str,
    },
}
