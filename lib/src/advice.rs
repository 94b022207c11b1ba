//! Advice from an external service on which workers may run a step, for queues
//! that are configured to need it.
//!
//! The service approves workers for one step of one occurrence. For each approved
//! worker it returns a ticket, which the start order has to carry and which is
//! valid for a limited time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Now;
use crate::id::InstanceId;
use crate::job_record::{JobKey, TaskKey};
use crate::order::Action;
use crate::scheduler::Scheduler;

/// Maximum number of workers in one call.
/// The service needs some time for each of them; the objective of a job allows for one call with
/// 30 workers per step.
const MAX_CANDIDATES: usize = 30;
/// Time for which a ticket must remain valid when an order that carries it is sent.
const MIN_REMAINING_VALIDITY: Duration = Duration::from_millis(300);
/// Time after which an unanswered call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Identifies a step in one occurrence of a job: job, occurrence and position of the step.
pub type StepKey = (JobKey, u32, u16);

/// Returns the key of the step of a task.
pub(crate) fn step_key(task: &TaskKey) -> StepKey {
    (task.job.clone(), task.turn, task.step)
}

/// Advice on one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Ticket of each approved worker.
    tickets: HashMap<InstanceId, Arc<str>>,
    /// When the tickets expire.
    valid_until: Duration,
    /// When the call in flight was made.
    requested_at: Option<Duration>,
}

impl Scheduler {
    /// Whether the queue of a task needs advice.
    pub(crate) fn needs_advice(&self, task: &TaskKey) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|it| self.queue_of(&it.record)).is_some_and(|it| it.needs_advice)
    }

    /// Returns the ticket that a start order for a worker has to carry; `Some(None)` if the queue
    /// needs no advice, `None` if the worker is not approved or the advice has expired.
    pub(crate) fn ticket(&self, now: Now, task: &TaskKey, worker: &InstanceId) -> Option<Option<Arc<str>>> {
        if !self.needs_advice(task) {
            return Some(None);
        }
        let step_advice = self.advice.get(&step_key(task))?;
        if step_advice.valid_until < now.mono + MIN_REMAINING_VALIDITY {
            return None;
        }
        step_advice.tickets.get(worker).map(|it| Some(it.clone()))
    }

    /// Whether some worker is approved for a task, or none needs to be.
    pub(crate) fn has_advice(&self, now: Now, task: &TaskKey) -> bool {
        if !self.needs_advice(task) {
            return true;
        }
        let step_advice = self.advice.get(&step_key(task));
        step_advice.is_some_and(|it| !it.tickets.is_empty() && now.mono + MIN_REMAINING_VALIDITY <= it.valid_until)
    }

    /// Requests advice on a step unless a call is already in flight. Returns whether it did.
    pub(crate) fn request_advice(&mut self, now: Now, task: &TaskKey) -> bool {
        if !self.needs_advice(task) {
            return false;
        }
        let key = step_key(task);
        let step_advice = self.advice.entry(key.clone()).or_default();
        if step_advice.requested_at.is_some_and(|it| now.mono < it + RETRY_INTERVAL) {
            return false;
        }
        let pool = &self.jobs[&task.job].record.submission.pool;
        let candidates = self
            .workers
            .values()
            .filter(|it| it.accepts_work(now.mono) && it.listed.pool == *pool);
        let mut candidates: Vec<_> = candidates.map(|it| (it.used.cpu, it.listed.id.clone())).collect();
        candidates.sort();
        if candidates.is_empty() {
            return false;
        }
        step_advice.requested_at = Some(now.mono);
        self.actions.push(Action::RequestAdvice {
            step: key,
            workers: candidates.into_iter().take(MAX_CANDIDATES).map(|(_, id)| id).collect(),
        });
        true
    }

    /// Replaces the advice on a step by an answer of the service, valid for the given time.
    pub fn advice_received(&mut self, now: Now, step: StepKey, approved: Vec<(InstanceId, Arc<str>)>, validity: Duration) {
        self.searches.forget(&step.0);
        let step_advice = self.advice.entry(step).or_default();
        step_advice.tickets = approved.into_iter().collect();
        step_advice.valid_until = now.mono + validity;
        step_advice.requested_at = None;
    }

    /// Allows another call after one that was not answered.
    pub fn advice_failed(&mut self, step: &StepKey) {
        if let Some(step_advice) = self.advice.get_mut(step) {
            step_advice.requested_at = None;
        }
    }

    /// Discards a ticket that its worker rejected.
    pub(crate) fn drop_ticket(&mut self, task: &TaskKey, worker: &InstanceId) {
        if let Some(step_advice) = self.advice.get_mut(&step_key(task)) {
            step_advice.tickets.remove(worker);
        }
    }
}
