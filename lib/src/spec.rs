//! What a caller asks for: a job of steps of tasks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::resources::Resources;

/// Most tasks of a job over all its occurrences.
/// Twice the widest job of the grown sites, 8 occurrences of 5 steps of 32 tasks.
pub const TASK_LIMIT: u64 = 4096;

/// Why a job cannot be taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// There is nothing to run.
    #[error("the job has no steps")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {step}: `count` must be at least 1")]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// A step waits for itself or a later one.
    #[error("step {step}: `after` names step {after}, which is not an earlier one")]
    InvalidDependency {
        /// The step.
        step: usize,
        /// The step that it names.
        after: u16,
    },
    /// The job is too large.
    #[error("the job has {tasks} tasks; at most {TASK_LIMIT} are taken")]
    TooLarge {
        /// Its tasks.
        tasks: u64,
    },
}

/// What a caller asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Payload handed to the worker with each task.
    pub payload: Arc<str>,
    /// Steps, each naming earlier ones that it waits for.
    pub steps: Vec<Step>,
    /// Number of times that the steps run; zero and one both mean once.
    pub repeat: u32,
    /// When the first occurrence is due, milliseconds since the epoch; zero is at once.
    pub start_at_ms: u64,
    /// Time between two occurrences, milliseconds.
    pub interval_ms: u64,
}

/// Tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub need: Resources,
    /// Run time that the caller expects, milliseconds.
    pub estimate_ms: u64,
    /// Steps that must be done first.
    pub after: SmallVec<[u16; 2]>,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// Whether the tasks run faster on one rack.
    pub same_rack: bool,
    /// Label that a worker must have; empty for any.
    pub label: Arc<str>,
    /// Rack of the step's data; empty for none.
    pub rack: Arc<str>,
    /// Most tasks of the step on one worker; zero for any number.
    pub spread: u32,
    /// Whether progress is saved.
    pub checkpoints: bool,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Arc<str>,
    /// Response time that a lasting task must stay below, milliseconds; zero for none.
    pub target_ms: u64,
    /// Whether the tasks use what others leave of a worker's processor.
    pub fill: bool,
    /// Tasks of a lasting step that may be away through our own doing.
    pub optional: u32,
}

impl Step {
    /// What a task takes of a worker's capacity.
    pub fn reserved(&self) -> Resources {
        match self.fill {
            true => Resources { cpu: 0, ..self.need },
            false => self.need,
        }
    }
}

impl JobSpec {
    /// Checks that the job can be run at all.
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
        let tasks = self.steps.iter().map(|it| u64::from(it.count)).sum::<u64>() * u64::from(self.occurrences());
        if TASK_LIMIT < tasks {
            return Err(Error::TooLarge { tasks });
        }
        Ok(())
    }

    /// Number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.repeat.max(1)
    }

    /// Tasks of one occurrence.
    pub fn tasks_per_occurrence(&self) -> usize {
        self.steps.iter().map(|it| it.count as usize).sum()
    }

    /// When an occurrence is due, milliseconds since the epoch.
    pub fn due_ms(&self, turn: u32) -> u64 {
        self.start_at_ms + u64::from(turn) * self.interval_ms
    }

    /// Whether the occurrences are due at set times.
    pub fn is_scheduled(&self) -> bool {
        self.repeat != 0
    }

    /// Whether a step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|it| it.lasting)
    }

    /// Processor time of all tasks that end by themselves, by the caller's
    /// estimates: thousandths of a core times milliseconds.
    pub fn estimated_work(&self) -> u64 {
        let ending = self.steps.iter().filter(|it| !it.lasting);
        ending.map(|it| u64::from(it.count) * it.reserved().cpu * it.estimate_ms).sum()
    }

    /// Run time of the longest chain of steps by the caller's estimates, milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: SmallVec<[u64; 8]> = SmallVec::new();
        for step in &self.steps {
            let start = step.after.iter().map(|it| ends[usize::from(*it)]).max().unwrap_or(0);
            ends.push(start + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
