//! Follows tasks on workers to their end.
//!
//! A running task is polled for its answer and its lease is renewed; once the lease has
//! expired, the task cannot be running any more. A job whose task failed or was lost is
//! repeated if it may be.

use std::collections::BTreeSet;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Now;
use crate::entry::{CallPurpose, Entry, Lifecycle, RunningTask};
use crate::id::{InstanceId, JobId};
use crate::job::{Completion, Outcome, UnknownReason};
use crate::platform::{Answer, Error, TaskAttempt, WorkerRequest, WorkerResponse};
use crate::setting;

/// Time for which one call waits for a task's answer.
const WAIT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a failed wait is repeated.
const WAIT_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Entry {
    pub(crate) fn on_waited(&mut self, now: Now, task: TaskAttempt, result: Result<WorkerResponse, Error>) {
        let Some(running) = self.tasks.get_mut(&task) else {
            return;
        };
        match result {
            Ok(WorkerResponse::Answer(answer)) => self.on_answer(now, task, answer),
            Ok(WorkerResponse::Pending) => {
                running.start_confirmed = true;
                self.send_wait(task);
            }
            Ok(WorkerResponse::Unknown) if !running.start_confirmed && now.mono < running.start_by + self.settings.max_clock_skew => {
                running.next_wait_at = Some(now.mono + WAIT_RETRY_DELAY);
            }
            Ok(WorkerResponse::Unknown) => self.on_task_lost(now, task),
            _ => running.next_wait_at = Some(now.mono + WAIT_RETRY_DELAY),
        }
    }

    fn on_answer(&mut self, now: Now, task: TaskAttempt, answer: Answer) {
        let complete = answer.task == task && answer.length == answer.body.len() as u64;
        if !complete {
            self.counters.discarded_answers += 1;
            if let Some(running) = self.tasks.get_mut(&task) {
                running.next_wait_at = Some(now.mono + WAIT_RETRY_DELAY);
            }
            return;
        }
        let Some(running) = self.tasks.get(&task) else {
            return;
        };
        let instance = running.instance.clone();
        self.run_times.record(&running.team, now.mono - running.started_at);
        self.remove_task(task);
        if answer.success {
            self.worker_health.record_success(&instance);
            let completion = Completion {
                success: true,
                body: answer.body,
            };
            self.finish(now, task.job, Outcome::Done(completion));
            return;
        }
        self.on_failure(now, task, instance, answer);
    }

    /// Repeats a failed job on another rack if it may be repeated, has attempts left
    /// and an untried worker exists; ends it as failed otherwise.
    fn on_failure(&mut self, now: Now, task: TaskAttempt, instance: InstanceId, answer: Answer) {
        let suspect_jobs = self.jobs_with_failures();
        self.worker_health.record_failure(now.mono, &instance, task.job, &suspect_jobs);
        let state = self.log.state();
        let rack = state.fleet.get(&instance).map(|it| it.rack.clone()).unwrap_or_default();
        let Some(local) = self.jobs.get_mut(&task.job) else {
            return;
        };
        local.failed_on.push((instance, rack));
        local.may_have_run = true;
        let max_attempts = state.tree.get_number(&local.job.team, setting::MAX_ATTEMPTS);
        let may_repeat = !local.is_at_most_once() && (local.failed_on.len() as u64) < max_attempts && !local.job.payload.is_empty();
        if may_repeat && self.has_untried_worker(now, task.job) {
            self.requeue(now, task.job);
            return;
        }
        if 1 < max_attempts {
            self.worker_health.forget_job(task.job);
        }
        let completion = Completion {
            success: false,
            body: answer.body,
        };
        self.finish(now, task.job, Outcome::Done(completion));
    }

    /// Jobs of which an attempt has failed before.
    fn jobs_with_failures(&self) -> BTreeSet<JobId> {
        let failing = self.jobs.iter().filter(|(_, it)| !it.failed_on.is_empty());
        failing.map(|(id, _)| *id).collect()
    }

    /// Whether the zone has an eligible worker for a job that failed on others.
    fn has_untried_worker(&self, now: Now, id: JobId) -> bool {
        let Some(local) = self.jobs.get(&id) else {
            return false;
        };
        let state = self.log.state();
        let pools: SmallVec<[&str; 4]> = state.tree.get(&local.job.team, setting::POOLS).split(',').collect();
        let mut workers = pools.iter().flat_map(|pool| state.fleet.in_zone_pool(&self.settings.zone, pool));
        workers.any(|(id, it)| self.is_eligible(now, id, it, local))
    }

    /// Handles a task that its worker does not know any more, or whose lease expired.
    fn on_task_lost(&mut self, now: Now, task: TaskAttempt) {
        let start_confirmed = self.tasks.get(&task).is_some_and(|it| it.start_confirmed);
        let detached = self.remove_task(task);
        if detached {
            return;
        }
        let reason = if start_confirmed {
            UnknownReason::WorkerLost
        } else {
            UnknownReason::AnswerLost
        };
        self.on_attempt_lost(now, task.job, reason);
    }

    /// Repeats a job whose attempt ended without an answer if it may be repeated; ends
    /// it as unknown otherwise.
    pub(crate) fn on_attempt_lost(&mut self, now: Now, id: JobId, reason: UnknownReason) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        local.may_have_run = true;
        if local.is_at_most_once() || local.job.payload.is_empty() {
            self.finish(now, id, Outcome::Unknown(reason));
            return;
        }
        self.requeue(now, id);
    }

    pub(crate) fn on_renewed(&mut self, now: Now, task: TaskAttempt, sent: Duration, result: Result<WorkerResponse, Error>) {
        let Some(running) = self.tasks.get_mut(&task) else {
            return;
        };
        // A renewal without a response may still have extended the lease.
        let latest_expiry = now.mono + self.settings.lease + self.settings.max_clock_skew;
        match result {
            Ok(WorkerResponse::Ok) => {
                running.start_confirmed = true;
                running.lease_expires_at = latest_expiry;
                running.next_renewal_at = sent + self.settings.lease / 3;
            }
            Err(Error::Lost) => running.lease_expires_at = latest_expiry,
            _ => {}
        }
    }

    /// Detaches a task from its job and asks the worker to stop it.
    pub(crate) fn stop_task(&mut self, task: TaskAttempt, checkpoint: bool) {
        let Some(running) = self.tasks.get_mut(&task) else {
            return;
        };
        running.detached = true;
        let (instance, addr) = (running.instance.clone(), running.addr);
        self.call(CallPurpose::Stop, instance, addr, WorkerRequest::Stop { task, checkpoint });
    }

    /// Repeats waits, handles expired leases, and renews leases. A fenced entry does
    /// not renew, because its tasks are adopted by another member.
    pub(crate) fn maintain_tasks(&mut self, now: Now) {
        let fenced = matches!(self.lifecycle, Lifecycle::Fenced { .. });
        let due: Vec<TaskAttempt> = self
            .tasks
            .iter()
            .filter(|(_, it)| it.next_wait_at.is_some_and(|at| at <= now.mono))
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            self.send_wait(task);
        }
        let expired: Vec<TaskAttempt> = self
            .tasks
            .iter()
            .filter(|(_, it)| it.lease_expires_at <= now.mono)
            .map(|(task, _)| *task)
            .collect();
        for task in expired {
            self.on_task_lost(now, task);
        }
        if fenced {
            return;
        }
        let renew = |it: &RunningTask| it.next_renewal_at <= now.mono && !it.detached;
        let due: Vec<TaskAttempt> = self.tasks.iter().filter(|(_, it)| renew(it)).map(|(task, _)| *task).collect();
        for task in due {
            self.renew(now, task);
        }
    }

    fn renew(&mut self, now: Now, task: TaskAttempt) {
        const RETRY_DELAY: Duration = Duration::from_millis(500);
        let Some(running) = self.tasks.get_mut(&task) else {
            return;
        };
        running.next_renewal_at = now.mono + RETRY_DELAY;
        let (instance, addr) = (running.instance.clone(), running.addr);
        let lease_ms = self.settings.lease.as_millis() as u64;
        let holder = self.settings.id.clone();
        self.call(
            CallPurpose::Renew(task),
            instance,
            addr,
            WorkerRequest::Renew { task, holder, lease_ms },
        );
    }

    /// Sends a call that waits for the answer of a task.
    pub(crate) fn send_wait(&mut self, task: TaskAttempt) {
        let Some(running) = self.tasks.get_mut(&task) else {
            return;
        };
        running.next_wait_at = None;
        let (instance, addr) = (running.instance.clone(), running.addr);
        let wait_ms = WAIT_TIMEOUT.as_millis() as u64;
        self.call(CallPurpose::Wait(task), instance, addr, WorkerRequest::Wait { task, wait_ms });
    }
}
