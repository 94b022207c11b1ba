//! Eviction of tasks from workers that leave, change pools or go into maintenance.

use std::time::Duration;

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::job_record::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{RunKey, RunPhase, Worker};

/// Time for finite tasks to end on their own before they are stopped to empty the worker.
/// The longest task of the reference workloads takes 4.2 s on a healthy worker.
const GRACE_PERIOD: Duration = Duration::from_millis(4500);

impl Scheduler {
    /// Stops runs on workers that are to be emptied: long-running tasks whose step can
    /// spare them and that fit on another worker, and finite tasks on vacated workers
    /// after a grace period.
    pub(crate) fn evict(&mut self, now: Now) {
        let must_empty = |it: &&Worker| now.mono < it.vacate_until || it.listed.draining;
        let workers: Vec<InstanceId> = self.workers.values().filter(must_empty).map(|it| it.listed.id.clone()).collect();
        for id in workers {
            let worker = &self.workers[&id];
            let overdue = now.mono < worker.vacate_until && worker.vacate_since + GRACE_PERIOD < now.mono;
            let active = worker.runs.iter().filter(|(_, run)| run.phase == RunPhase::Active);
            let keys: Vec<RunKey> = active.map(|(key, _)| key.clone()).collect();
            for key in keys {
                let Some(tracked) = self.jobs.get(&key.task.job) else {
                    continue;
                };
                let lasting = tracked.record.step(key.task.step).lasting;
                if lasting && self.may_interrupt(&key.task) && self.choose_worker(now, &key.task).is_some() || !lasting && overdue {
                    self.interrupt(&id, &key);
                }
            }
        }
    }

    /// Whether enough other tasks of a long-running step are confirmed at work to interrupt
    /// this one.
    fn may_interrupt(&self, task: &TaskKey) -> bool {
        let step = self.jobs[&task.job].record.step(task.step);
        let is_other = |key: &RunKey| {
            let same = key.task.job == task.job && key.task.turn == task.turn && key.task.step == task.step;
            same && key.task.index != task.index
        };
        let count_at_work = |it: &Worker| {
            let others = it.runs.iter().filter(|(key, _)| is_other(key));
            others
                .filter(|(_, run)| it.is_confirmed_at_work(run, self.limits.stop_time))
                .count() as u32
        };
        let others: u32 = self.workers.values().map(count_at_work).sum();
        let missing = (step.count - 1).saturating_sub(others);
        missing < step.optional.max(1)
    }

    /// Marks a run to be stopped and logs the decision.
    fn interrupt(&mut self, id: &InstanceId, key: &RunKey) {
        let worker = self.workers.get_mut(id).expect("the caller checked that the worker is known");
        if let Some(run) = worker.runs.get_mut(key) {
            run.phase = RunPhase::Stopping;
        }
        self.log_decision(Decision::Interrupted {
            job: key.task.job.clone(),
            task: (key.task.turn, key.task.step, key.task.index),
            run: key.run,
            worker: id.clone(),
        });
    }
}
