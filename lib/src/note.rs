//! Decisions of an owner, for the decision log.

use serde::Serialize;

use crate::id::{InstanceId, TeamId};
use crate::job_record::{JobKey, QueueId};
use crate::order::Refusal;

/// A decision worth a line in the log.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Note {
    /// A job was taken over from a request in the log.
    Admitted {
        /// The job.
        job: JobKey,
        /// Its queue.
        queue: QueueId,
        /// Its team.
        team: TeamId,
        /// Its tasks.
        tasks: usize,
    },
    /// A task was given to a worker.
    Placed {
        /// The job.
        job: JobKey,
        /// Task as occurrence, step, number.
        task: (u32, u16, u32),
        /// Number of the run.
        run: u32,
        /// The worker.
        worker: InstanceId,
        /// Free processor there before, thousandths of a core.
        free_cpu: u64,
        /// Age of the job, milliseconds.
        age_ms: u64,
        /// Version of the configuration.
        config: u64,
    },
    /// A run ended or turned out not to take place.
    Ended {
        /// The job.
        job: JobKey,
        /// Task as occurrence, step, number.
        task: (u32, u16, u32),
        /// Number of the run.
        run: u32,
        /// The worker.
        worker: InstanceId,
        /// How it ended.
        how: &'static str,
    },
    /// A job reached its end.
    Closed {
        /// The job.
        job: JobKey,
        /// How.
        phase: &'static str,
        /// Age, milliseconds.
        age_ms: u64,
        /// Time allowed by its queue's objective, milliseconds.
        objective_ms: u64,
    },
    /// An order was refused.
    Refused {
        /// The job.
        job: JobKey,
        /// Number of the run.
        run: u32,
        /// The worker.
        worker: InstanceId,
        /// Why.
        reason: Refusal,
    },
    /// A task is stopped so that its worker can leave, move or go down.
    Interrupted {
        /// The job.
        job: JobKey,
        /// Task as occurrence, step, number.
        task: (u32, u16, u32),
        /// Number of the run.
        run: u32,
        /// The worker.
        worker: InstanceId,
    },
    /// A worker stopped answering, or answers again.
    Contact {
        /// The worker.
        worker: InstanceId,
        /// Whether it answers.
        answers: bool,
        /// Runs that may take place there.
        runs: usize,
    },
    /// A worker that does not answer is recorded, with what may run there.
    Silent {
        /// The worker.
        worker: InstanceId,
        /// Runs that may take place there.
        runs: usize,
        /// Time until they have surely ended, milliseconds.
        left_ms: u64,
    },
    /// A worker is avoided because of what it fails.
    Suspect {
        /// The worker.
        worker: InstanceId,
        /// What it did.
        why: &'static str,
    },
}
