//! Advice on which workers may run a step, for queues whose policy asks for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Now;
use crate::id::InstanceId;
use crate::job_record::{JobKey, TaskKey};
use crate::order::Action;
use crate::scheduler::Scheduler;

/// Workers that one call asks about.
/// The platform takes a while for each; its objective counts one call on 30 workers a step.
const CANDIDATES: usize = 30;
/// Time that a ticket must still hold when an order with it is sent.
const LEFT: Duration = Duration::from_millis(300);
/// Time after which a call that was not answered is made again.
const ASK_AGAIN: Duration = Duration::from_secs(4);

/// A step of an occurrence of a job.
pub type StepKey = (JobKey, u32, u16);

/// What is known of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    tickets: HashMap<InstanceId, Arc<str>>,
    until: Duration,
    asked: Option<Duration>,
}

impl Scheduler {
    /// Whether the policy of a task's queue asks for advice.
    fn needs_advice(&self, task: &TaskKey) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|it| self.queue_of(&it.record)).is_some_and(|it| it.needs_advice)
    }

    /// The ticket that a start on a worker has to carry.
    /// The outer `None` means that the worker may not run the task.
    pub(crate) fn ticket(&self, now: Now, task: &TaskKey, worker: &InstanceId) -> Option<Option<Arc<str>>> {
        if !self.needs_advice(task) {
            return Some(None);
        }
        let known = self.advice.get(&(task.job.clone(), task.turn, task.step))?;
        if known.until < now.mono + LEFT {
            return None;
        }
        known.tickets.get(worker).map(|it| Some(it.clone()))
    }

    /// Asks about a step unless its tickets hold or a call is under way.
    pub(crate) fn request_advice(&mut self, now: Now, task: &TaskKey) {
        if !self.needs_advice(task) {
            return;
        }
        let key = (task.job.clone(), task.turn, task.step);
        let known = self.advice.entry(key.clone()).or_default();
        if known.asked.is_some_and(|it| now.mono < it + ASK_AGAIN) {
            return;
        }
        let pool = &self.jobs[&task.job].record.submission.pool;
        let open = self
            .workers
            .values()
            .filter(|it| it.accepts_work(now.mono) && it.listed.pool == *pool);
        let mut open: Vec<_> = open.map(|it| (it.used.cpu, it.listed.id.clone())).collect();
        open.sort();
        if open.is_empty() {
            return;
        }
        known.asked = Some(now.mono);
        self.actions.push(Action::RequestAdvice {
            step: key,
            workers: open.into_iter().take(CANDIDATES).map(|(_, id)| id).collect(),
        });
    }

    /// Takes advice in, which holds for a time.
    pub fn advice_received(&mut self, now: Now, step: StepKey, approved: Vec<(InstanceId, Arc<str>)>, validity: Duration) {
        let known = self.advice.entry(step).or_default();
        known.tickets = approved.into_iter().collect();
        known.until = now.mono + validity;
        known.asked = None;
    }

    /// Notes that a call for advice brought no answer.
    pub fn advice_failed(&mut self, step: &StepKey) {
        if let Some(known) = self.advice.get_mut(step) {
            known.asked = None;
        }
    }

    /// Forgets the ticket that a worker refused.
    pub(crate) fn drop_ticket(&mut self, task: &TaskKey, worker: &InstanceId) {
        if let Some(known) = self.advice.get_mut(&(task.job.clone(), task.turn, task.step)) {
            known.tickets.remove(worker);
        }
    }
}
