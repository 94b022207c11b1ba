//! Ends of runs: what they mean for their tasks, gangs and jobs.

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::job_record::{JobPhase, TaskKey, TaskState};
use crate::order::{RunEnd, RunOutcome};
use crate::scheduler::Scheduler;
use crate::worker::RunKey;

impl Scheduler {
    /// Handles an ended run: updates its task and ends the job if that was its last task
    /// or has failed too often.
    pub(crate) fn handle_run_end(&mut self, now: Now, id: &InstanceId, end: RunEnd) {
        if let Some(run) = self.release_run(id, &end.key) {
            self.learn_run_end(now, id, &end, &run);
        }
        self.mark_quarantined_end(&end);
        self.mark_started(&end.key.task.job);
        let how = match end.outcome {
            RunOutcome::Done => "done",
            RunOutcome::Failed => "failed",
            RunOutcome::Stopped => "stopped",
            RunOutcome::Lapsed => "lapsed",
            RunOutcome::Broken => "broken",
            RunOutcome::Alone => "alone",
        };
        self.log_run_end(id, &end.key, how);
        if !self.is_current(id, &end.key) && !self.completes_waiting_task(&end) {
            return;
        }
        let worker = self.workers.get_mut(id).expect("the caller checked that the worker is known");
        let counts_for_worker = matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed);
        if counts_for_worker && worker.record_result(end.outcome == RunOutcome::Failed, now.mono) {
            self.log_decision(Decision::Suspect {
                worker: id.clone(),
                why: "runs fail one after the other",
            });
        }
        let max_attempts = self.max_attempts(&end.key.task.job);
        let job = end.key.task.job.clone();
        let tracked = self.jobs.get_mut(&job).expect("a current run has a job");
        let record = &mut tracked.record;
        let position = record.position(&end.key.task).expect("a current run has a task");
        let (lasting, gang) = {
            let step = record.step(end.key.task.step);
            (step.lasting, step.gang)
        };
        let task = &mut record.tasks[position];
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        let mut failed = false;
        match end.outcome {
            // A long-running task runs again however it ends.
            RunOutcome::Done if lasting => task.state = TaskState::Waiting,
            RunOutcome::Done => task.state = TaskState::Done,
            RunOutcome::Failed => {
                task.fails += 1;
                task.state = TaskState::Waiting;
                let fails = match gang {
                    true => record.gang_failures(end.key.task.turn, usize::from(end.key.task.step), end.key.run),
                    false => task.fails,
                };
                failed = !lasting && max_attempts <= fails;
            }
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => task.state = TaskState::Waiting,
        }
        if gang {
            self.apply_end_to_gang(&end);
        }
        let tracked = self.jobs.get_mut(&job).expect("a current run has a job");
        tracked.record.complete_if_done(now.wall_ms());
        let completed = tracked.record.phase == JobPhase::Completed;
        self.dirty_jobs.insert(job.clone());
        if failed {
            self.end_job(now, &job, JobPhase::Failed);
        } else if completed {
            self.job_ended(now, &job);
        }
    }

    /// Whether the record places a task on a worker under a higher run number than that of a run.
    pub(crate) fn expects_later_run(&self, id: &InstanceId, key: &RunKey) -> bool {
        let Some(record) = self.jobs.get(&key.task.job).map(|it| &it.record) else {
            return false;
        };
        let task = record.position(&key.task).map(|it| &record.tasks[it]);
        task.is_some_and(|it| key.run < it.run && it.state == TaskState::Placed(id.clone()))
    }

    /// Whether a run that was given up has completed its task, which waits to be run again.
    fn completes_waiting_task(&self, end: &RunEnd) -> bool {
        let Some(tracked) = self.jobs.get(&end.key.task.job) else {
            return false;
        };
        let record = &tracked.record;
        let Some(position) = record.position(&end.key.task) else {
            return false;
        };
        let step = record.step(end.key.task.step);
        let is_waiting = record.phase == JobPhase::Open && record.tasks[position].state == TaskState::Waiting;
        is_waiting && end.outcome == RunOutcome::Done && !step.lasting && !step.gang
    }

    /// Applies the end of one member of a gang to the others: a gang completes as a whole, and the
    /// checkpoint of any member is valid for all. Each member counts its own failures.
    fn apply_end_to_gang(&mut self, end: &RunEnd) {
        let Some(tracked) = self.jobs.get_mut(&end.key.task.job) else {
            return;
        };
        let record = &mut tracked.record;
        let first = record.first_position(end.key.task.turn, usize::from(end.key.task.step));
        let count = record.step(end.key.task.step).count;
        let mut finished = Vec::new();
        for index in 0..count {
            let task = &mut record.tasks[first + index as usize];
            if !end.checkpoint.is_empty() {
                task.checkpoint = end.checkpoint.clone();
            }
            if end.outcome == RunOutcome::Done && task.run == end.key.run {
                task.state = TaskState::Done;
                finished.push(RunKey {
                    task: TaskKey {
                        index,
                        ..end.key.task.clone()
                    },
                    run: task.run,
                });
            }
        }
        let ids: Vec<InstanceId> = self.workers.keys().cloned().collect();
        for key in finished {
            for id in &ids {
                self.release_run(id, &key);
            }
        }
    }
}
