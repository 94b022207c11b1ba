//! The specification of a job, as submitted by a caller.
//!
//! A job consists of steps that depend on earlier steps; each step is a number of equal tasks.
//! A job may run several times (occurrences), at once or at scheduled times.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::resources::Resources;

/// Maximum number of tasks of a job over all its occurrences.
/// More than twice the largest job of the enlarged test sites, 8 occurrences of 5 steps of
/// 32 tasks.
pub const TASK_LIMIT: u64 = 4096;

/// Why a job specification is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The job has no steps.
    #[error("the job has no steps")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {step}: `count` must be at least 1")]
    NoTasks {
        /// Position of the step.
        step: usize,
    },
    /// A step depends on itself or a later one, so it could never start.
    #[error("step {step}: `after` names step {after}, which is not an earlier one")]
    InvalidDependency {
        /// Position of the step.
        step: usize,
        /// Position of the step that it depends on.
        after: u16,
    },
    /// The job has more than [`TASK_LIMIT`] tasks.
    #[error("the job has {tasks} tasks; at most {TASK_LIMIT} are taken")]
    TooLarge {
        /// Number of its tasks over all occurrences.
        tasks: u64,
    },
}

/// Specification of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque payload, passed to the worker with each task.
    pub payload: Arc<str>,
    /// Steps in an order in which each depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Number of occurrences. Zero and one both mean once, but only with one or more is the job
    /// scheduled by `start_at_ms` and `interval_ms`.
    pub repeat: u32,
    /// When the first occurrence is due, milliseconds since the Unix epoch; zero means at once.
    pub start_at_ms: u64,
    /// Time between the start times of two occurrences, milliseconds.
    pub interval_ms: u64,
}

/// A number of equal tasks that start once the steps they depend on are done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks; at least one.
    pub count: u32,
    /// Resources that each task uses.
    pub need: Resources,
    /// Run time of a task as estimated by the caller, milliseconds.
    pub estimate_ms: u64,
    /// Positions of the steps that must be done before this one starts.
    pub after: SmallVec<[u16; 2]>,
    /// Whether the tasks form a gang: they run only all at the same time.
    pub gang: bool,
    /// Whether the tasks run faster when they share a rack. A preference, not a requirement.
    pub same_rack: bool,
    /// Label that a worker must have; empty for any worker.
    pub label: Arc<str>,
    /// Rack that holds the step's data and is preferred; empty for none.
    pub rack: Arc<str>,
    /// Maximum number of tasks of the step on one worker; zero for no limit.
    pub spread: u32,
    /// Whether the tasks save checkpoints from which a later run resumes.
    pub checkpoints: bool,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    pub lasting: bool,
    /// Image that the tasks run; tasks with the same image behave alike.
    pub image: Arc<str>,
    /// Response time that a long-running task must stay below, milliseconds; zero for none.
    pub target_ms: u64,
    /// Whether the tasks are best-effort: they reserve no CPU and use what other tasks of the
    /// worker leave idle.
    pub fill: bool,
    /// Number of tasks of a long-running step that may be interrupted at the same time for
    /// drains, moves and maintenance.
    pub optional: u32,
}

impl Step {
    /// Returns what a task reserves of a worker's capacity: its request, without CPU if it is
    /// best-effort.
    pub fn reserved(&self) -> Resources {
        match self.fill {
            true => Resources { cpu: 0, ..self.need },
            false => self.need,
        }
    }

    /// Returns what a task counts against its team's cap, or the whole gang if the tasks form one.
    pub(crate) fn unit_need(&self) -> Resources {
        match self.gang {
            true => self.need.times(u64::from(self.count)),
            false => self.need,
        }
    }
}

impl JobSpec {
    /// Checks that the job has steps and tasks, that steps depend only on earlier ones, and that
    /// the number of tasks is within [`TASK_LIMIT`].
    pub fn validate(&self) -> Result<(), Error> {
        if self.steps.is_empty() {
            return Err(Error::NoSteps);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Error::NoTasks { step: index });
            }
            if let Some(after) = step.after.iter().find(|it| index <= usize::from(**it)) {
                return Err(Error::InvalidDependency {
                    step: index,
                    after: *after,
                });
            }
        }
        let per_occurrence: u64 = self.steps.iter().map(|it| u64::from(it.count)).sum();
        let tasks = per_occurrence.saturating_mul(u64::from(self.occurrences()));
        if TASK_LIMIT < tasks {
            return Err(Error::TooLarge { tasks });
        }
        Ok(())
    }

    /// Returns the number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.repeat.max(1)
    }

    /// Returns the number of tasks in one occurrence.
    pub fn tasks_per_occurrence(&self) -> usize {
        self.steps.iter().map(|it| it.count as usize).sum()
    }

    /// Returns when an occurrence is due, milliseconds since the Unix epoch.
    pub fn due_ms(&self, turn: u32) -> u64 {
        self.start_at_ms.saturating_add(u64::from(turn).saturating_mul(self.interval_ms))
    }

    /// Whether the occurrences start at scheduled times instead of at once.
    pub fn is_scheduled(&self) -> bool {
        self.repeat != 0
    }

    /// Whether any step is long-running, so that the job ends only when it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|it| it.lasting)
    }

    /// Returns the CPU time of the tasks of one occurrence by the caller's estimates, in
    /// millicores times milliseconds. Long-running tasks are left out.
    pub fn estimated_work(&self) -> u64 {
        let finite = self.steps.iter().filter(|it| !it.lasting);
        let work = |it: &Step| u64::from(it.count).saturating_mul(it.reserved().cpu).saturating_mul(it.estimate_ms);
        finite.map(work).fold(0, u64::saturating_add)
    }

    /// Returns the run time of one occurrence by the caller's estimates if every task could start
    /// as soon as the steps it depends on are done, milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: SmallVec<[u64; 8]> = SmallVec::new();
        for step in &self.steps {
            let start = step.after.iter().map(|it| ends[usize::from(*it)]).max().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
