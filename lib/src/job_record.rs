//! A job as the log keeps it: what was asked, and how far each task is.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, PoolId, TeamId};
use crate::resources::Resources;
use crate::spec::{JobSpec, Step};

/// A caller's name for a job.
pub type JobKey = Arc<str>;
/// Name of a queue.
pub type QueueId = Arc<str>;

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// Occurrence.
    pub turn: u32,
    /// Step.
    pub step: u16,
    /// Number within the step.
    pub index: u32,
}

/// What an entry instance appends for the owner of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A job was submitted.
    Submit(Submission),
    /// A job is to be cancelled.
    Cancel {
        /// When the caller asked, milliseconds since the epoch.
        at_ms: u64,
    },
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Queue that took it.
    pub queue: QueueId,
    /// Pool that the queue fed when it was taken.
    pub pool: PoolId,
    /// Team of the key that came with it; empty on queues open to all.
    pub team: TeamId,
    /// When it arrived, milliseconds since the epoch.
    pub received_ms: u64,
    /// What is asked.
    pub spec: Arc<JobSpec>,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Has tasks left to run.
    Open,
    /// All tasks are done.
    Completed,
    /// A task failed as often as the queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// How far a task is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Runs nowhere.
    Waiting,
    /// May run on a worker, under the task's run number.
    Placed(InstanceId),
    /// Ended well.
    Done,
}

/// A task as the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the newest run; none is ever used twice.
    pub run: u32,
    /// Runs that failed.
    pub fails: u32,
    /// How far it is.
    pub state: TaskState,
    /// Progress to resume from; empty for none.
    pub checkpoint: Arc<str>,
}

/// A job as the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was submitted.
    pub submission: Submission,
    /// How far the job is.
    pub phase: JobPhase,
    /// When it ended, milliseconds since the epoch; zero while it is open.
    pub ended_ms: u64,
    /// Tasks by occurrence, step and number.
    pub tasks: Vec<TaskRecord>,
}

impl JobRecord {
    /// A job that has just been submitted.
    pub fn new(submission: Submission) -> JobRecord {
        let task = TaskRecord {
            run: 0,
            fails: 0,
            state: TaskState::Waiting,
            checkpoint: Arc::from(""),
        };
        let count = submission.spec.tasks_per_occurrence() * submission.spec.occurrences() as usize;
        JobRecord {
            submission,
            phase: JobPhase::Open,
            ended_ms: 0,
            tasks: vec![task; count],
        }
    }

    /// The job's spec.
    pub fn spec(&self) -> &JobSpec {
        &self.submission.spec
    }

    /// Where a task stands among the tasks; `None` if the job has no such task.
    pub fn position(&self, task: &TaskKey) -> Option<usize> {
        let spec = self.spec();
        let step = spec.steps.get(usize::from(task.step))?;
        if spec.occurrences() <= task.turn || step.count <= task.index {
            return None;
        }
        Some(self.first_position(task.turn, usize::from(task.step)) + task.index as usize)
    }

    /// Where the first task of a step stands among the tasks.
    pub fn first_position(&self, turn: u32, step: usize) -> usize {
        let spec = self.spec();
        let before: usize = spec.steps[..step].iter().map(|it| it.count as usize).sum();
        turn as usize * spec.tasks_per_occurrence() + before
    }

    /// The tasks of a step.
    pub fn step_tasks(&self, turn: u32, step: usize) -> &[TaskRecord] {
        let first = self.first_position(turn, step);
        &self.tasks[first..first + self.spec().steps[step].count as usize]
    }

    /// A step of the job's spec.
    pub fn step(&self, step: u16) -> &Step {
        &self.spec().steps[usize::from(step)]
    }

    /// Whether every task of a step ended well.
    pub fn is_step_done(&self, turn: u32, step: usize) -> bool {
        self.step_tasks(turn, step).iter().all(|it| it.state == TaskState::Done)
    }

    /// Whether the tasks of a step may start: it is due and what it waits for is done.
    pub fn is_ready(&self, turn: u32, step: usize, now_ms: u64) -> bool {
        let spec = self.spec();
        if self.phase != JobPhase::Open || spec.is_scheduled() && now_ms < spec.due_ms(turn) {
            return false;
        }
        spec.steps[step].after.iter().all(|it| self.is_step_done(turn, usize::from(*it)))
    }

    /// What the tasks take that could start now.
    pub fn startable_resources(&self, now_ms: u64) -> Resources {
        let mut need = Resources::default();
        for turn in 0..self.spec().occurrences() {
            for (index, step) in self.spec().steps.iter().enumerate() {
                let waiting = self
                    .step_tasks(turn, index)
                    .iter()
                    .filter(|it| it.state == TaskState::Waiting)
                    .count();
                if waiting != 0 && self.is_ready(turn, index, now_ms) {
                    need += step.reserved().times(waiting as u64);
                }
            }
        }
        need
    }

    /// Workers that the job needs so that no step has too many of its tasks on one.
    pub fn breadth(&self) -> usize {
        let spread = self.spec().steps.iter().filter(|it| it.spread != 0);
        spread.map(|it| it.count.div_ceil(it.spread) as usize).max().unwrap_or(0)
    }

    /// Whether no task has been placed yet.
    pub fn has_no_placements(&self) -> bool {
        self.tasks.iter().all(|it| it.run == 0)
    }

    /// Ends the job; an ended job never changes again.
    pub fn end(&mut self, phase: JobPhase, now_ms: u64) {
        if self.phase == JobPhase::Open {
            self.phase = phase;
            self.ended_ms = now_ms;
        }
    }

    /// Completes the job if every task ended well.
    pub fn complete_if_done(&mut self, now_ms: u64) {
        if self.tasks.iter().all(|it| it.state == TaskState::Done) {
            self.end(JobPhase::Completed, now_ms);
        }
    }
}
