//! A worker that runs simulated tasks in a fixed number of slots, under leases.
//!
//! The payload of a task determines its run time, which may differ from the one
//! that its caller expects: `ms:<n>` runs for `n` milliseconds, a payload that
//! begins with `fail` fails after 5 ms on any worker, and any other payload runs
//! for 50 ms. Starts and ends are recorded in a history for the checkers.

use std::collections::BTreeMap;

use bytes::Bytes;
use oriolewall::id::InstanceId;
use oriolewall::platform::{Answer, ListedTask, StartRefusal, TaskAttempt, TaskStart, WorkerRequest, WorkerResponse};
use serde::{Deserialize, Serialize};

use crate::history::{EventKind, History, HistoryEvent};

/// Time for which a finished task is kept: its answer can be read, and it is not
/// started again.
const FINISHED_RETENTION_MS: u64 = 30_000;
/// Run time of a payload that names none.
const DEFAULT_RUN_MS: u64 = 50;

/// Faults of one worker; several can be in force at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every task that starts fails after 1 ms.
    pub fail_all: bool,
    /// Requests are neither handled nor answered.
    pub paused: bool,
    /// Requests take effect, but their answers are lost.
    pub lose_answers: bool,
    /// A request for a task's answer gets that of another finished task, if there is one.
    pub cross_answers: bool,
    /// The bodies of answers are cut to half their length.
    pub cut_answers: bool,
    /// The worker is about to shut down and refuses new tasks.
    pub leaving: bool,
}

/// A worker that runs simulated tasks.
///
/// Times are milliseconds of the caller's clock; successive times must not decrease.
#[derive(Debug)]
pub struct Worker {
    id: InstanceId,
    zone: String,
    slots: usize,
    tasks: BTreeMap<TaskAttempt, WorkerTask>,
    /// Faults in force.
    pub faults: Faults,
    history: History,
    /// End of the latest reboot or crash; no request is answered before.
    unavailable_until_ms: u64,
}

#[derive(Debug)]
struct WorkerTask {
    start: TaskStart,
    /// Time at which the lease ends; a task that still runs is dropped then.
    lease_end_ms: u64,
    /// Time at which the run time is over.
    end_ms: u64,
    /// Whether the task succeeds once its run time is over.
    success: bool,
    /// Time at which the task finished; `None` while it runs.
    finished_ms: Option<u64>,
}

impl Worker {
    /// An idle worker that records starts and ends of tasks in a history.
    pub fn new(id: &str, zone: &str, slots: usize, history: History) -> Worker {
        Worker {
            id: id.into(),
            zone: zone.to_owned(),
            slots,
            tasks: BTreeMap::new(),
            faults: Faults::default(),
            history,
            unavailable_until_ms: 0,
        }
    }

    /// Returns the id that the worker has in the instance list.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Returns the number of tasks that run, each in a slot of its own.
    pub fn running_count(&self) -> usize {
        self.tasks.values().filter(|it| it.finished_ms.is_none()).count()
    }

    /// Handles a request and returns the response; `None` if the caller gets none.
    pub fn handle(&mut self, now_ms: u64, request: &WorkerRequest) -> Option<WorkerResponse> {
        if self.faults.paused || now_ms < self.unavailable_until_ms {
            return None;
        }
        self.advance(now_ms);
        let response = self.respond(now_ms, request);
        if self.faults.lose_answers {
            return None;
        }
        Some(response)
    }

    fn respond(&mut self, now_ms: u64, request: &WorkerRequest) -> WorkerResponse {
        match request {
            WorkerRequest::Start(start) => self.start(now_ms, start),
            WorkerRequest::Wait { task, .. } => self.answer_of(task),
            WorkerRequest::Renew { task, holder, lease_ms } => self.renew(now_ms, task, holder, holder, *lease_ms),
            WorkerRequest::Adopt { task, from, to, lease_ms } => self.renew(now_ms, task, from, to, *lease_ms),
            WorkerRequest::Stop { task, .. } => self.stop(now_ms, task),
            WorkerRequest::List => WorkerResponse::Tasks(self.list()),
            WorkerRequest::Reboot => self.reboot(now_ms),
        }
    }

    /// Ends tasks whose run time or lease is over at `now_ms`, and drops finished
    /// tasks after their retention. A task whose lease ends first is dropped unfinished.
    pub fn advance(&mut self, now_ms: u64) {
        let mut ended = Vec::new();
        for (task, run) in &mut self.tasks {
            if run.finished_ms.is_some() {
                continue;
            }
            if run.end_ms <= now_ms && run.end_ms <= run.lease_end_ms {
                run.finished_ms = Some(run.end_ms);
                ended.push((*task, run.end_ms, true));
            } else if run.lease_end_ms <= now_ms {
                ended.push((*task, run.lease_end_ms, false));
            }
        }
        for (task, at_ms, whole) in ended {
            self.record_event(at_ms, task, EventKind::End { whole });
            if !whole {
                self.tasks.remove(&task);
            }
        }
        self.tasks
            .retain(|_, it| it.finished_ms.is_none_or(|at| now_ms < at + FINISHED_RETENTION_MS));
    }

    /// Drops all tasks, also finished ones; the worker does not respond before `restart_ms`.
    pub fn crash(&mut self, now_ms: u64, restart_ms: u64) {
        self.advance(now_ms);
        let running: Vec<TaskAttempt> = self
            .tasks
            .iter()
            .filter(|(_, it)| it.finished_ms.is_none())
            .map(|(task, _)| *task)
            .collect();
        for task in running {
            self.record_event(now_ms, task, EventKind::End { whole: false });
        }
        self.tasks.clear();
        self.unavailable_until_ms = restart_ms;
    }

    fn start(&mut self, now_ms: u64, start: &TaskStart) -> WorkerResponse {
        if self.tasks.contains_key(&start.task) {
            return WorkerResponse::Refused(StartRefusal::Known);
        }
        if start.start_by_ms < now_ms {
            return WorkerResponse::Refused(StartRefusal::Late);
        }
        if self.faults.leaving {
            return WorkerResponse::Refused(StartRefusal::Leaving);
        }
        if self.slots <= self.running_count() {
            return WorkerResponse::Refused(StartRefusal::Full);
        }
        let behavior = TaskBehavior::from_payload(&start.payload);
        let success = !behavior.fails && !self.faults.fail_all;
        let run_ms = if self.faults.fail_all { 1 } else { behavior.run_ms };
        let run = WorkerTask {
            start: start.clone(),
            lease_end_ms: now_ms + start.lease_ms,
            end_ms: now_ms + run_ms,
            success,
            finished_ms: None,
        };
        self.tasks.insert(start.task, run);
        let kind = EventKind::Start {
            team: start.team.to_string(),
            zone: self.zone.clone(),
            worker: self.id.to_string(),
            once: start.once,
        };
        self.record_event(now_ms, start.task, kind);
        WorkerResponse::Started
    }

    fn answer_of(&self, task: &TaskAttempt) -> WorkerResponse {
        let Some(run) = self.tasks.get(task) else {
            return WorkerResponse::Unknown;
        };
        if run.finished_ms.is_none() {
            return WorkerResponse::Pending;
        }
        let other = self.tasks.iter().find(|(it, run)| *it != task && run.finished_ms.is_some());
        let (task, run) = match other {
            Some((other, run)) if self.faults.cross_answers => (other, run),
            _ => (task, run),
        };
        let mut body = Bytes::from(answer_body(task));
        let length = body.len() as u64;
        if self.faults.cut_answers {
            body.truncate(body.len() / 2);
        }
        WorkerResponse::Answer(Answer {
            task: *task,
            success: run.success,
            length,
            body,
        })
    }

    /// Extends the lease of a task that `from` holds, and makes `to` its holder.
    fn renew(&mut self, now_ms: u64, task: &TaskAttempt, from: &str, to: &oriolewall::id::MemberId, lease_ms: u64) -> WorkerResponse {
        let run = self.tasks.get_mut(task).filter(|it| &*it.start.holder == from);
        let Some(run) = run else {
            return WorkerResponse::Unknown;
        };
        run.start.holder = to.clone();
        run.lease_end_ms = now_ms + lease_ms;
        WorkerResponse::Ok
    }

    fn stop(&mut self, now_ms: u64, task: &TaskAttempt) -> WorkerResponse {
        let running = self.tasks.get(task).is_some_and(|it| it.finished_ms.is_none());
        if !running {
            return WorkerResponse::Unknown;
        }
        self.tasks.remove(task);
        self.record_event(now_ms, *task, EventKind::End { whole: false });
        WorkerResponse::Ok
    }

    /// Drops finished tasks and makes the worker unavailable for the time of a reboot;
    /// refused while a task runs.
    fn reboot(&mut self, now_ms: u64) -> WorkerResponse {
        const REBOOT_MS: u64 = 2_000;
        if 0 < self.running_count() {
            return WorkerResponse::Refused(StartRefusal::Full);
        }
        self.tasks.clear();
        self.unavailable_until_ms = now_ms + REBOOT_MS;
        WorkerResponse::Ok
    }

    fn list(&self) -> Vec<ListedTask> {
        let listed = |(task, run): (&TaskAttempt, &WorkerTask)| ListedTask {
            task: *task,
            holder: run.start.holder.clone(),
            team: run.start.team.clone(),
            once: run.start.once,
            finished: run.finished_ms.is_some(),
        };
        self.tasks.iter().map(listed).collect()
    }

    fn record_event(&self, at_ms: u64, task: TaskAttempt, kind: EventKind) {
        self.history.push(HistoryEvent {
            at_ms,
            job: Some(task.job),
            attempt: task.attempt,
            kind,
        });
    }
}

/// Returns the body of a task's complete answer, which names its job.
pub fn answer_body(task: &TaskAttempt) -> String {
    format!("answer of {}", task.job)
}

/// What a payload makes a task do.
struct TaskBehavior {
    run_ms: u64,
    fails: bool,
}

impl TaskBehavior {
    fn from_payload(payload: &[u8]) -> TaskBehavior {
        let text = std::str::from_utf8(payload).unwrap_or_default();
        if text.starts_with("fail") {
            return TaskBehavior { run_ms: 5, fails: true };
        }
        let run_ms = text.strip_prefix("ms:").and_then(|it| it.parse().ok()).unwrap_or(DEFAULT_RUN_MS);
        TaskBehavior { run_ms, fails: false }
    }
}
