//! What callers, operators and other instances ask of an owner.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::balance::PoolLoad;
use crate::clock::Now;
use crate::id::{InstanceId, PoolId, TeamId};
use crate::job_record::{JobKey, JobPhase, QueueId, TaskState};
use crate::resources::Resources;
use crate::scheduler::{Scheduler, task_keys};
use crate::worker::{RunKey, Worker};

/// What a team uses and wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// What may be running.
    pub used: Resources,
    /// What waits.
    pub wanted: Resources,
}

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has been placed.
    Queued,
    /// Some task has been placed.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed as often as the queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl Scheduler {
    /// Number of jobs held.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Demand on each pool that has workers or jobs here.
    pub fn pool_loads(&self, now: Now) -> BTreeMap<PoolId, PoolLoad> {
        let mut loads: BTreeMap<PoolId, PoolLoad> = BTreeMap::new();
        for worker in self.workers.values().filter(|it| it.is_listed) {
            let load = loads.entry(worker.listed.pool.clone()).or_default();
            load.used += worker.used.cpu;
            if worker.is_observed && worker.runs.is_empty() && !worker.listed.draining {
                load.idle.push(worker.listed.id.clone());
            }
        }
        for id in &self.open_jobs {
            let record = &self.jobs[id].record;
            let load = loads.entry(record.submission.pool.clone()).or_default();
            load.waiting += record.startable_resources(now.wall_ms()).cpu;
            load.breadth = load.breadth.max(record.breadth());
        }
        for (pool, arrivals) in &self.arrivals {
            loads.entry(pool.clone()).or_default().arriving = arrivals.rate(now.mono);
        }
        loads
    }

    /// Processor on each worker that tasks use which end by themselves, thousandths of a core.
    pub fn finite_task_cpu(&self) -> HashMap<InstanceId, u64> {
        let ending = |key: &RunKey| {
            self.jobs
                .get(&key.task.job)
                .is_some_and(|it| !it.record.step(key.task.step).lasting)
        };
        let load = |it: &Worker| it.runs.iter().filter(|(key, _)| ending(key)).map(|(_, run)| run.reserved.cpu).sum();
        self.workers.values().map(|it| (it.listed.id.clone(), load(it))).collect()
    }

    /// A job's state as the log has it; `None` if it is not known here.
    pub fn status(&self, id: &JobKey) -> Option<JobStatus> {
        let tracked = self.jobs.get(id)?;
        Some(match tracked.logged_phase {
            JobPhase::Completed => JobStatus::Completed,
            JobPhase::Failed => JobStatus::Failed,
            JobPhase::Cancelled => JobStatus::Cancelled,
            JobPhase::Open if tracked.record.has_no_placements() => JobStatus::Queued,
            JobPhase::Open => JobStatus::Running,
        })
    }

    /// Jobs of a queue of which no task has been placed.
    pub fn queued_jobs(&self, queue: &QueueId) -> u64 {
        let jobs = self.open_jobs.iter().map(|it| &self.jobs[it].record);
        jobs.filter(|it| it.submission.queue == *queue && it.has_no_placements()).count() as u64
    }

    /// What each team has running, and what its waiting tasks would take.
    pub fn demand(&self) -> HashMap<TeamId, Demand> {
        let mut demand: HashMap<TeamId, Demand> = HashMap::new();
        for (team, used) in &self.usage {
            demand.entry(team.clone()).or_default().used = *used;
        }
        for id in &self.open_jobs {
            let record = &self.jobs[id].record;
            let entry = demand.entry(record.submission.team.clone()).or_default();
            for (task, position) in task_keys(id, record) {
                if record.tasks[position].state == TaskState::Waiting {
                    entry.wanted += record.step(task.step).need;
                }
            }
        }
        demand
    }
}
