//! A worker: slots, leases, real run times that differ from declared ones, and faults.
//!
//! Payloads tell the stand-in what to do: `ms:<n>` runs for `n` milliseconds,
//! `fail` fails at once on any worker.

use std::collections::BTreeMap;

use bytes::Bytes;
use oriolewall::id::InstanceId;
use oriolewall::platform::{Answer, ListedTask, StartRefusal, TaskAttempt, TaskStart, WorkerRequest, WorkerResponse};
use serde::{Deserialize, Serialize};

use crate::history::{EventKind, History, HistoryEvent};

/// Time for which finished tasks are remembered, milliseconds.
const KEEP_MS: u64 = 30_000;
/// Run time of a payload that names none, milliseconds.
const DEFAULT_RUN_MS: u64 = 50;

/// Faults of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Fails every task it starts.
    pub fail_all: bool,
    /// Answers nothing.
    pub paused: bool,
    /// Loses answers: requests take effect, their answers do not arrive.
    pub lose_answers: bool,
    /// Answers waits with the answer of another task.
    pub cross_answers: bool,
    /// Cuts the bodies of answers short.
    pub cut_answers: bool,
    /// About to go away: refuses new tasks.
    pub leaving: bool,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    id: InstanceId,
    zone: String,
    slots: usize,
    tasks: BTreeMap<TaskAttempt, Slot>,
    /// Faults in force.
    pub faults: Faults,
    history: History,
    rebooting_until_ms: u64,
}

#[derive(Debug)]
struct Slot {
    start: TaskStart,
    lease_end_ms: u64,
    end_ms: u64,
    success: bool,
    finished_ms: Option<u64>,
}

impl Worker {
    /// An idle worker that notes starts and ends in a history.
    pub fn new(id: &str, zone: &str, slots: usize, history: History) -> Worker {
        Worker {
            id: id.into(),
            zone: zone.to_owned(),
            slots,
            tasks: BTreeMap::new(),
            faults: Faults::default(),
            history,
            rebooting_until_ms: 0,
        }
    }

    /// Name of the worker.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Number of tasks running.
    pub fn running_count(&self) -> usize {
        self.tasks.values().filter(|it| it.finished_ms.is_none()).count()
    }

    /// Answers a request; `None` if no answer leaves the worker.
    pub fn handle(&mut self, now_ms: u64, request: &WorkerRequest) -> Option<WorkerResponse> {
        if self.faults.paused || now_ms < self.rebooting_until_ms {
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
            WorkerRequest::Wait { task, .. } => self.answer(task),
            WorkerRequest::Renew { task, holder, lease_ms } => self.renew(now_ms, task, holder, holder, *lease_ms),
            WorkerRequest::Adopt { task, from, to, lease_ms } => self.renew(now_ms, task, from, to, *lease_ms),
            WorkerRequest::Stop { task, .. } => self.stop(now_ms, task),
            WorkerRequest::List => WorkerResponse::Tasks(self.list()),
            WorkerRequest::Reboot => self.reboot(now_ms),
        }
    }

    /// Ends tasks whose run time or lease is over.
    pub fn advance(&mut self, now_ms: u64) {
        let mut ended = Vec::new();
        for (task, slot) in &mut self.tasks {
            if slot.finished_ms.is_some() {
                continue;
            }
            if slot.end_ms <= now_ms && slot.end_ms <= slot.lease_end_ms {
                slot.finished_ms = Some(slot.end_ms);
                ended.push((*task, slot.end_ms, true));
            } else if slot.lease_end_ms <= now_ms {
                ended.push((*task, slot.lease_end_ms, false));
            }
        }
        for (task, at_ms, whole) in ended {
            self.note(at_ms, task, EventKind::End { whole });
            if !whole {
                self.tasks.remove(&task);
            }
        }
        self.tasks.retain(|_, it| it.finished_ms.is_none_or(|at| now_ms < at + KEEP_MS));
    }

    /// Loses everything, as a crash does.
    pub fn crash(&mut self, now_ms: u64, back_ms: u64) {
        self.advance(now_ms);
        let running: Vec<TaskAttempt> = self
            .tasks
            .iter()
            .filter(|(_, it)| it.finished_ms.is_none())
            .map(|(task, _)| *task)
            .collect();
        for task in running {
            self.note(now_ms, task, EventKind::End { whole: false });
        }
        self.tasks.clear();
        self.rebooting_until_ms = back_ms;
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
        let plan = Plan::parse(&start.payload);
        let success = !plan.fails && !self.faults.fail_all;
        let run_ms = if self.faults.fail_all { 1 } else { plan.run_ms };
        let slot = Slot {
            start: start.clone(),
            lease_end_ms: now_ms + start.lease_ms,
            end_ms: now_ms + run_ms,
            success,
            finished_ms: None,
        };
        self.tasks.insert(start.task, slot);
        let kind = EventKind::Start {
            team: start.team.to_string(),
            zone: self.zone.clone(),
            worker: self.id.to_string(),
            once: start.once,
        };
        self.note(now_ms, start.task, kind);
        WorkerResponse::Started
    }

    fn answer(&self, task: &TaskAttempt) -> WorkerResponse {
        let Some(slot) = self.tasks.get(task) else {
            return WorkerResponse::Unknown;
        };
        if slot.finished_ms.is_none() {
            return WorkerResponse::Pending;
        }
        let other = self.tasks.iter().find(|(it, slot)| *it != task && slot.finished_ms.is_some());
        let (task, slot) = match other {
            Some((other, slot)) if self.faults.cross_answers => (other, slot),
            _ => (task, slot),
        };
        let mut body = Bytes::from(answer_body(task));
        let length = body.len() as u64;
        if self.faults.cut_answers {
            body.truncate(body.len() / 2);
        }
        WorkerResponse::Answer(Answer {
            task: *task,
            success: slot.success,
            length,
            body,
        })
    }

    fn renew(&mut self, now_ms: u64, task: &TaskAttempt, from: &str, to: &oriolewall::id::MemberId, lease_ms: u64) -> WorkerResponse {
        let slot = self.tasks.get_mut(task).filter(|it| &*it.start.holder == from);
        let Some(slot) = slot else {
            return WorkerResponse::Unknown;
        };
        slot.start.holder = to.clone();
        slot.lease_end_ms = now_ms + lease_ms;
        WorkerResponse::Ok
    }

    fn stop(&mut self, now_ms: u64, task: &TaskAttempt) -> WorkerResponse {
        let running = self.tasks.get(task).is_some_and(|it| it.finished_ms.is_none());
        if !running {
            return WorkerResponse::Unknown;
        }
        self.tasks.remove(task);
        self.note(now_ms, *task, EventKind::End { whole: false });
        WorkerResponse::Ok
    }

    fn reboot(&mut self, now_ms: u64) -> WorkerResponse {
        const REBOOT_MS: u64 = 2_000;
        if 0 < self.running_count() {
            return WorkerResponse::Refused(StartRefusal::Full);
        }
        self.tasks.clear();
        self.rebooting_until_ms = now_ms + REBOOT_MS;
        WorkerResponse::Ok
    }

    fn list(&self) -> Vec<ListedTask> {
        let running = |(task, slot): (&TaskAttempt, &Slot)| ListedTask {
            task: *task,
            holder: slot.start.holder.clone(),
            team: slot.start.team.clone(),
            once: slot.start.once,
            finished: slot.finished_ms.is_some(),
        };
        self.tasks.iter().map(running).collect()
    }

    fn note(&self, at_ms: u64, task: TaskAttempt, kind: EventKind) {
        self.history.push(HistoryEvent {
            at_ms,
            job: Some(task.job),
            attempt: task.attempt,
            kind,
        });
    }
}

/// The one whole answer of a task.
pub fn answer_body(task: &TaskAttempt) -> String {
    format!("answer of {}", task.job)
}

struct Plan {
    run_ms: u64,
    fails: bool,
}

impl Plan {
    fn parse(payload: &[u8]) -> Plan {
        let text = std::str::from_utf8(payload).unwrap_or_default();
        if text.starts_with("fail") {
            return Plan { run_ms: 5, fails: true };
        }
        let run_ms = text.strip_prefix("ms:").and_then(|it| it.parse().ok()).unwrap_or(DEFAULT_RUN_MS);
        Plan { run_ms, fails: false }
    }
}
