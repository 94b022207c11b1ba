//! Eviction of tasks from workers that leave, change pools or go into maintenance.

use std::collections::HashMap;
use std::time::Duration;

use crate::advice::{StepKey, step_key};
use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
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
        let mut at_work = match workers.is_empty() {
            true => HashMap::new(),
            false => self.long_running_tasks_at_work(),
        };
        for id in workers {
            let worker = &self.workers[&id];
            let overdue = now.mono < worker.vacate_until && worker.vacate_since + GRACE_PERIOD < now.mono;
            let active = worker.runs.iter().filter(|(_, run)| run.phase == RunPhase::Active);
            let keys: Vec<RunKey> = active.map(|(key, _)| key.clone()).collect();
            for key in keys {
                let Some(step) = self.jobs.get(&key.task.job).and_then(|it| it.record.find_step(key.task.step)) else {
                    continue;
                };
                let lasting = step.lasting;
                if lasting && self.may_interrupt(&id, &key, &at_work) && self.choose_worker(now, &key.task).is_some() {
                    if self.is_at_work(&id, &key) {
                        at_work.entry(step_key(&key.task)).and_modify(|it| *it -= 1);
                    }
                    self.interrupt(&id, &key);
                } else if !lasting && overdue {
                    self.interrupt(&id, &key);
                }
            }
        }
    }

    /// Number of tasks of each long-running step that are confirmed at work.
    fn long_running_tasks_at_work(&self) -> HashMap<StepKey, u32> {
        let mut at_work = HashMap::new();
        for worker in self.workers.values() {
            for (key, run) in &worker.runs {
                let step = self.jobs.get(&key.task.job).and_then(|it| it.record.find_step(key.task.step));
                let is_lasting = step.is_some_and(|it| it.lasting);
                if is_lasting && worker.is_confirmed_at_work(run, self.limits.stop_time) {
                    *at_work.entry(step_key(&key.task)).or_default() += 1;
                }
            }
        }
        at_work
    }

    fn is_at_work(&self, id: &InstanceId, key: &RunKey) -> bool {
        let worker = &self.workers[id];
        let run = worker.runs.get(key);
        run.is_some_and(|it| worker.is_confirmed_at_work(it, self.limits.stop_time))
    }

    /// Whether enough other tasks of a long-running step are confirmed at work to interrupt
    /// this one.
    fn may_interrupt(&self, id: &InstanceId, key: &RunKey, at_work: &HashMap<StepKey, u32>) -> bool {
        let step = self.jobs[&key.task.job].record.step(key.task.step);
        let own = u32::from(self.is_at_work(id, key));
        let others = at_work.get(&step_key(&key.task)).copied().unwrap_or(0).saturating_sub(own);
        let missing = (step.count - 1).saturating_sub(others);
        missing < step.optional.max(1)
    }

    /// Marks a run to be stopped and logs the decision.
    fn interrupt(&mut self, id: &InstanceId, key: &RunKey) {
        let worker = self.workers.get_mut(id).expect("the caller checked that the worker is known");
        if let Some(run) = worker.runs.get_mut(key) {
            run.stop();
        }
        self.log_decision(Decision::Interrupted {
            job: key.task.job.clone(),
            task: (key.task.turn, key.task.step, key.task.index),
            run: key.run,
            worker: id.clone(),
        });
    }
}
