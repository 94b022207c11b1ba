//! The state of a job as stored in the log: its specification and the progress of each task.
//!
//! The types are encoded by position, so fields and variants keep their order. Only cancels, and
//! submissions with an [`Origin`], are encoded by name.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{InstanceId, PoolId, TeamId, fnv1a};
use crate::pool_history::Address;
use crate::resources::Resources;
use crate::spec::{JobSpec, Step};

/// Identifier of a job, chosen by its caller.
pub type JobKey = Arc<str>;
/// Name of the queue that a job was submitted to.
pub type QueueId = Arc<str>;

/// Identifies the cancellation of a job by callers of one team, or of a public queue.
pub type CancelKey = (JobKey, Option<TeamId>);

/// Most bytes by which an [`Origin`] with an address of up to 900 bytes lengthens a request.
pub const MAX_ORIGIN_BYTES: usize = 1024;

/// Separates the parts of the record key of a cancellation: the job and the team.
const CANCEL_SEPARATOR: char = '!';

/// Identifies one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// Job that the task belongs to.
    pub job: JobKey,
    /// Occurrence of the job, counted from zero.
    pub turn: u32,
    /// Position of the step in the job's specification.
    pub step: u16,
    /// Number of the task within its step, counted from zero.
    pub index: u32,
}

/// A caller's request, appended to the log by the instance that received it and
/// processed by the owner of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Run a new job.
    Submit(Submission),
    /// Cancel a job.
    Cancel {
        /// When the cancellation was received, milliseconds since the Unix epoch.
        at_ms: u64,
        /// Team of the caller, which may only cancel its own jobs; `None` for a public queue.
        #[serde(default)]
        team: Option<TeamId>,
        /// Where the job may be; `None` in records of earlier builds.
        #[serde(default)]
        addressee: Option<Addressee>,
    },
}

/// The queue of a job and the pool whose owner gets a request for the job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Addressee {
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// The queue's pool, or one of its former pools.
    pub pool: PoolId,
    /// How the request was routed, as in a [`Submission`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

impl Request {
    /// Encodes a request as the value of its record.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = match self {
            Request::Submit(submission) if submission.origin.is_some() => return submission.to_named_bytes(),
            Request::Submit(_) => rmp_serde::to_vec(self),
            // Earlier builds skip a field by its name but do not accept one by its position.
            Request::Cancel { .. } => rmp_serde::to_vec_named(self),
        };
        bytes.expect("requests can be encoded")
    }

    /// Returns the record key of a request for a job.
    pub fn record_key(&self, job: &JobKey) -> String {
        match self {
            Request::Submit(_) => job.to_string(),
            Request::Cancel { team, .. } => cancel_record_key(job, team.as_ref()),
        }
    }
}

/// Returns the record key of a cancellation. Each team has its own, as a job has one cancellation
/// by its own team and may have others without effect. Names of teams can have any form, so the
/// key contains a hash.
pub fn cancel_record_key(job: &JobKey, team: Option<&TeamId>) -> String {
    let Some(team) = team else {
        return format!("{job}{CANCEL_SEPARATOR}");
    };
    format!("{job}{CANCEL_SEPARATOR}{:016x}", fnv1a(team))
}

/// Returns the job that the request with a record key is for. In keys of earlier builds nothing
/// follows the separator, whatever the team.
pub fn job_of_record_key(key: &str) -> JobKey {
    JobKey::from(key.split_once(CANCEL_SEPARATOR).map_or(key, |(job, _)| job))
}

/// A job as submitted, with what the configuration said about its queue at that time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Queue that accepted the job.
    pub queue: QueueId,
    /// Pool that the queue was assigned to when the job was accepted.
    pub pool: PoolId,
    /// Team of the API key in the request; empty for a public queue.
    pub team: TeamId,
    /// When the request was received, milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// What the job runs.
    pub spec: Arc<JobSpec>,
    /// How the submission was routed. `None` if its queue never had another address or pool as far
    /// as the instance knew, in records of earlier builds, and once the job is admitted. It is then
    /// taken for one to the first address of the queue's name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

/// The address that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Address of the queue.
    pub address: Address,
    /// Version of the configuration that assigned the address to the pool of the request. An owner
    /// that does not know it waits for it.
    pub version: u64,
}

impl Submission {
    /// Returns where requests for the job are addressed to.
    pub(crate) fn into_addressee(self) -> Addressee {
        Addressee {
            queue: self.queue,
            pool: self.pool,
            origin: self.origin,
        }
    }

    /// Encodes a request that submits the job. Its fields are named, for earlier builds, those of
    /// the specification are not.
    fn to_named_bytes(&self) -> Vec<u8> {
        fn encode<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
            rmp_serde::to_vec(value).expect("requests can be encoded")
        }
        let fields = [
            ("queue", encode(&self.queue)),
            ("pool", encode(&self.pool)),
            ("team", encode(&self.team)),
            ("received_ms", encode(&self.received_ms)),
            ("spec", encode(&self.spec)),
            ("origin", encode(&self.origin)),
        ];
        // Headers of maps with one entry and with one for each field.
        let mut bytes = vec![0x81];
        bytes.extend(encode("Submit"));
        bytes.push(0x80 | fields.len() as u8);
        for (name, value) in fields {
            bytes.extend(encode(name));
            bytes.extend(value);
        }
        bytes
    }
}

/// Overall state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Some tasks have not succeeded yet.
    Open,
    /// Every task succeeded.
    Completed,
    /// A task used up the attempts that its queue allows.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Not assigned to a worker.
    Waiting,
    /// Assigned to a worker and possibly running there under [`TaskRecord::run`].
    Placed(InstanceId),
    /// Succeeded.
    Done,
}

/// State of a task as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the latest run; zero before the first one. Run numbers are never reused.
    pub run: u32,
    /// Number of failed runs. Members of a gang share their runs: see [`JobRecord::gang_failures`].
    pub fails: u32,
    /// Whether the task waits, is placed or is done.
    pub state: TaskState,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// A job as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub submission: Submission,
    /// Overall state of the job.
    pub phase: JobPhase,
    /// When the job ended, milliseconds since the Unix epoch; zero while it is open.
    pub ended_ms: u64,
    /// All tasks, ordered by occurrence, step and index.
    pub tasks: Vec<TaskRecord>,
}

/// A step with waiting tasks, in one occurrence of its job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingStep {
    pub(crate) turn: u32,
    /// Position of the step.
    pub(crate) index: usize,
    /// Number of its waiting tasks.
    pub(crate) waiting: u32,
    /// Whether they may start now.
    pub(crate) is_ready: bool,
}

impl JobRecord {
    /// Creates the record of a new job whose tasks all wait.
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

    /// Whether the specification is valid and there is a record of each of its tasks.
    pub fn is_valid(&self) -> bool {
        // Only the number of tasks of a valid specification is small enough to be computed.
        self.spec().validate().is_ok() && self.tasks.len() == self.spec().tasks_per_occurrence() * self.spec().occurrences() as usize
    }

    /// Returns the job's specification.
    pub fn spec(&self) -> &JobSpec {
        &self.submission.spec
    }

    /// Returns the index of a task in `tasks`; `None` if the job has no such task.
    pub fn position(&self, task: &TaskKey) -> Option<usize> {
        let spec = self.spec();
        let step = spec.steps.get(usize::from(task.step))?;
        if spec.occurrences() <= task.turn || step.count <= task.index {
            return None;
        }
        Some(self.first_position(task.turn, usize::from(task.step)) + task.index as usize)
    }

    /// Returns the index in `tasks` of the first task of a step.
    pub fn first_position(&self, turn: u32, step: usize) -> usize {
        let spec = self.spec();
        let tasks_before: usize = spec.steps[..step].iter().map(|it| it.count as usize).sum();
        turn as usize * spec.tasks_per_occurrence() + tasks_before
    }

    /// Returns the tasks of a step in one occurrence.
    pub fn step_tasks(&self, turn: u32, step: usize) -> &[TaskRecord] {
        let first = self.first_position(turn, step);
        &self.tasks[first..first + self.spec().steps[step].count as usize]
    }

    /// Returns a step of the specification; `None` if it has no such step. Workers may list runs of
    /// steps that do not exist.
    pub fn find_step(&self, step: u16) -> Option<&Step> {
        self.spec().steps.get(usize::from(step))
    }

    /// Returns a step of the specification, which must exist.
    pub fn step(&self, step: u16) -> &Step {
        &self.spec().steps[usize::from(step)]
    }

    /// Whether every task of a step succeeded in one occurrence.
    pub fn is_step_done(&self, turn: u32, step: usize) -> bool {
        self.step_tasks(turn, step).iter().all(|it| it.state == TaskState::Done)
    }

    /// Whether the tasks of a step may start: the job is open, the occurrence is due and the
    /// steps that this one depends on are done.
    pub fn is_ready(&self, turn: u32, step: usize, now_ms: u64) -> bool {
        let spec = self.spec();
        if self.phase != JobPhase::Open || spec.is_scheduled() && now_ms < spec.due_ms(turn) {
            return false;
        }
        spec.steps[step].after.iter().all(|it| self.is_step_done(turn, usize::from(*it)))
    }

    /// Returns the steps that have waiting tasks and are due by a time.
    pub(crate) fn waiting_steps(&self, now_ms: u64, due_by_ms: u64) -> SmallVec<[WaitingStep; 4]> {
        let mut waiting_steps = SmallVec::new();
        let spec = self.spec();
        if self.phase != JobPhase::Open {
            return waiting_steps;
        }
        let mut is_done: Vec<bool> = Vec::with_capacity(spec.steps.len());
        let mut rest = &self.tasks[..];
        for turn in 0..spec.occurrences() {
            let is_due_by = |ms: u64| !spec.is_scheduled() || spec.due_ms(turn) <= ms;
            is_done.clear();
            for (index, step) in spec.steps.iter().enumerate() {
                let (tasks, later) = rest.split_at(step.count as usize);
                rest = later;
                is_done.push(tasks.iter().all(|it| it.state == TaskState::Done));
                let waiting = tasks.iter().filter(|it| it.state == TaskState::Waiting).count() as u32;
                if waiting != 0 && is_due_by(due_by_ms) {
                    let is_ready = is_due_by(now_ms) && step.after.iter().all(|it| is_done[usize::from(*it)]);
                    waiting_steps.push(WaitingStep {
                        turn,
                        index,
                        waiting,
                        is_ready,
                    });
                }
            }
        }
        waiting_steps
    }

    /// Returns the resources that the waiting tasks of steps that may start now would reserve.
    pub fn startable_resources(&self, now_ms: u64) -> Resources {
        let mut total = Resources::default();
        for it in self.waiting_steps(now_ms, now_ms).iter().filter(|it| it.is_ready) {
            total += self.spec().steps[it.index].reserved().times(u64::from(it.waiting));
        }
        total
    }

    /// Returns the fewest workers on which the job can run without exceeding the limit of tasks
    /// per worker of any step.
    pub fn breadth(&self) -> usize {
        let limited = self.spec().steps.iter().filter(|it| it.spread != 0);
        limited.map(|it| it.count.div_ceil(it.spread) as usize).max().unwrap_or(0)
    }

    /// Returns the number of failed runs of a gang up to a run. A run has failed once, however many of
    /// its members failed.
    ///
    /// A member counts only the failures that it reported itself, once in each run, from a count that
    /// all members share when a run begins; so the largest count is that of the gang. Earlier builds
    /// counted some runs several times, but never more runs than there were.
    pub(crate) fn gang_failures(&self, turn: u32, step: usize, run: u32) -> u32 {
        let most = self.step_tasks(turn, step).iter().map(|it| it.fails).max();
        most.unwrap_or(0).min(run)
    }

    /// Prepares the next run of the gang of a task: its members share the count of failures, and a
    /// checkpoint, as that of any member is valid for all.
    pub(crate) fn begin_gang_run(&mut self, member: &TaskKey, run: u32) {
        let (turn, step) = (member.turn, usize::from(member.step));
        let fails = self.gang_failures(turn, step, run.saturating_sub(1));
        let mut checkpoints = self.step_tasks(turn, step).iter().map(|it| &it.checkpoint);
        let checkpoint = checkpoints.find(|it| !it.is_empty()).cloned();
        let first = self.first_position(turn, step);
        let count = self.spec().steps[step].count as usize;
        for task in &mut self.tasks[first..first + count] {
            task.fails = fails;
            if let Some(checkpoint) = &checkpoint {
                task.checkpoint = checkpoint.clone();
            }
        }
    }

    /// Whether no task has ever been assigned to a worker.
    pub fn has_no_placements(&self) -> bool {
        self.tasks.iter().all(|it| it.run == 0)
    }

    /// Sets the final phase and the end time. Has no effect on a job that has already ended.
    pub fn end(&mut self, phase: JobPhase, now_ms: u64) {
        if self.phase == JobPhase::Open {
            self.phase = phase;
            self.ended_ms = now_ms;
        }
    }

    /// Completes the job if every task succeeded.
    pub fn complete_if_done(&mut self, now_ms: u64) {
        if self.tasks.iter().all(|it| it.state == TaskState::Done) {
            self.end(JobPhase::Completed, now_ms);
        }
    }
}
