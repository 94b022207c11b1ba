//! Read-only queries on an owner's state, for callers, operators and other instances.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::balance::PoolLoad;
use crate::clock::Now;
use crate::id::{InstanceId, PoolId, TeamId};
use crate::job_record::{JobKey, JobPhase, QueueId};
use crate::resources::Resources;
use crate::scheduler::Scheduler;
use crate::worker::{RunKey, Worker};

/// Resources that a team uses and waits for in an owner's pools.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Resources of runs that may be in progress.
    pub used: Resources,
    /// Resources of the waiting tasks that could start, in each pool at most what its workers have
    /// free.
    pub wanted: Resources,
}

/// State of a job as it is reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has been placed yet.
    Queued,
    /// At least one task has been placed.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as the queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl Scheduler {
    /// Number of known jobs, including ended ones that have not expired.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Whether a job is known, be it open, ended or not known to be new.
    pub fn has_job(&self, id: &JobKey) -> bool {
        self.jobs.contains_key(id) || self.inquiries.contains_key(id)
    }

    /// Whether a worker is listed, or may still have runs although it is not.
    pub fn has_worker(&self, id: &InstanceId) -> bool {
        self.workers.contains_key(id)
    }

    /// Load of each pool that has workers or jobs here.
    pub fn pool_loads(&self, now: Now) -> BTreeMap<PoolId, PoolLoad> {
        let mut loads: BTreeMap<PoolId, PoolLoad> = BTreeMap::new();
        for worker in self.workers.values().filter(|it| it.is_listed) {
            let load = loads.entry(worker.listed.pool.clone()).or_default();
            load.used = load.used.saturating_add(worker.used.cpu);
            if worker.is_observed && worker.runs.is_empty() && !worker.listed.draining {
                load.idle.push(worker.listed.id.clone());
            }
        }
        for id in &self.open_jobs {
            let record = &self.jobs[id].record;
            let load = loads.entry(record.submission.pool.clone()).or_default();
            load.waiting = load.waiting.saturating_add(record.startable_resources(now.wall_ms()).cpu);
            load.breadth = load.breadth.max(record.breadth());
        }
        for (pool, arrivals) in &self.arrivals {
            loads.entry(pool.clone()).or_default().arriving = arrivals.rate(now.mono);
        }
        loads
    }

    /// CPU of each worker that is reserved by tasks of known jobs that end on their own,
    /// millicores. Long-running tasks do not count.
    pub fn finite_task_cpu(&self) -> HashMap<InstanceId, u64> {
        let finite = |key: &RunKey| {
            let step = self.jobs.get(&key.task.job).and_then(|it| it.record.find_step(key.task.step));
            step.is_some_and(|it| !it.lasting)
        };
        let load = |it: &Worker| it.runs.iter().filter(|(key, _)| finite(key)).map(|(_, run)| run.reserved.cpu).sum();
        self.workers.values().map(|it| (it.listed.id.clone(), load(it))).collect()
    }

    /// Status of a job; `None` if the job is not known here, or belongs to another team than
    /// the caller's, which is `None` for a public queue. An end is reported only once the log
    /// has confirmed it.
    pub fn job_status(&self, id: &JobKey, team: Option<&TeamId>) -> Option<JobStatus> {
        let Some(tracked) = self.jobs.get(id) else {
            return self.inquired_status(id, team).or_else(|| self.handed_on_status(id, team));
        };
        if !tracked.is_visible_to(team) {
            return None;
        }
        Some(match tracked.logged_phase {
            JobPhase::Completed => JobStatus::Completed,
            JobPhase::Failed => JobStatus::Failed,
            JobPhase::Cancelled => JobStatus::Cancelled,
            JobPhase::Open if tracked.record.has_no_placements() => JobStatus::Queued,
            JobPhase::Open => JobStatus::Running,
        })
    }

    /// Number of open jobs of a queue of which no task has started. A task that was placed counts
    /// as started once its worker has reported it, as the start order may be lost.
    pub fn queued_jobs(&self, queue: &QueueId) -> u64 {
        let jobs = self.open_jobs.iter().map(|it| &self.jobs[it]);
        let admitted = jobs.filter(|it| it.record.submission.queue == *queue && !it.may_have_started);
        (admitted.count() + self.inquired_jobs(queue)) as u64
    }
}
