//! Emptying workers that leave, move or go down for upkeep.

use std::time::Duration;

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::job_record::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{RunKey, RunPhase, Worker};

/// Time for tasks that end by themselves, before they are stopped for an operator's wave.
/// The longest task of the standard days takes 4.2 s on a sound worker.
const PATIENCE: Duration = Duration::from_millis(4500);

impl Scheduler {
    /// Stops lasting tasks on workers that are to be empty, as far as their
    /// steps can spare them, and whatever else has not ended in time.
    pub(crate) fn evict(&mut self, now: Now) {
        let leaving = |it: &&Worker| now.mono < it.vacate_until || it.listed.draining;
        let leaving: Vec<InstanceId> = self.workers.values().filter(leaving).map(|it| it.listed.id.clone()).collect();
        for id in leaving {
            let worker = &self.workers[&id];
            let overdue = now.mono < worker.vacate_until && worker.vacate_since + PATIENCE < now.mono;
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

    /// Whether a task of a lasting step may be interrupted: enough others are at work.
    fn may_interrupt(&self, task: &TaskKey) -> bool {
        let step = self.jobs[&task.job].record.step(task.step);
        let is_other = |key: &RunKey| {
            let same = key.task.job == task.job && key.task.turn == task.turn && key.task.step == task.step;
            same && key.task.index != task.index
        };
        let at_work = |it: &Worker| {
            let others = it.runs.iter().filter(|(key, _)| is_other(key));
            others
                .filter(|(_, run)| it.is_confirmed_at_work(run, self.limits.stop_time))
                .count() as u32
        };
        let others: u32 = self.workers.values().map(at_work).sum();
        let away = (step.count - 1).saturating_sub(others);
        away < step.optional.max(1)
    }

    fn interrupt(&mut self, id: &InstanceId, key: &RunKey) {
        let worker = self.workers.get_mut(id).expect("the caller looked it up");
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
