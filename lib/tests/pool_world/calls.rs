//! Calls of owners to the simulated workers, and the rules that these check.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use oriolewall::commit_size::record_size;
use oriolewall::id::InstanceId;
use oriolewall::job_record::{JobKey, TaskKey};
use oriolewall::order::{Action, ActiveRun, OrderOutcome, Refusal, RunEnd, RunOutcome, StartOrder, WorkerStatus};
use oriolewall::spec::JobSpec;
use oriolewall::worker::RunKey;
use rand::RngExt;

use super::{CAP, CAPACITY, Call, Message, Simulation, Transit};

impl Simulation {
    /// Carries out an action of the owner; orders may be lost or delayed.
    pub(super) fn carry_out(&mut self, action: Action) {
        let now_ms = self.now_ms;
        let lost = self.fault_occurs(0.05);
        let late = lost && self.rng.random_bool(0.7);
        let order_delay_ms = match late {
            true => self.rng.random_range(500..6000),
            false => self.rng.random_range(0..30),
        };
        // An order that is not lost may wait for a connection.
        let order_delay_ms = match !lost && self.extended_fault_occurs(0.05) {
            true => self.draw(100..900),
            false => order_delay_ms,
        };
        match action {
            Action::Commit(records) => {
                let size = |(key, value): &(JobKey, Option<Bytes>)| record_size(key, value.as_ref().map_or(0, Bytes::len));
                let bytes: usize = records.iter().map(size).sum();
                let is_within_limit = bytes <= self.commit_limits.call_bytes || records.len() == 1;
                assert!(is_within_limit, "COMMIT: {} records with {bytes} bytes", records.len());
                let delay_ms = if self.fault_occurs(0.05) { 2000 } else { 10 };
                self.commit_in_flight = Some((now_ms + delay_ms, records));
            }
            Action::Start(start) => {
                if lost {
                    let (id, key) = (start.worker.clone(), start.key.clone());
                    self.owner.start_answered(self.now(), &id, &key, start.contact, OrderOutcome::Lost);
                }
                if !lost || late {
                    let received_by = self.received_by(late, &start.worker);
                    let message = Message {
                        epoch: self.epoch,
                        contact: start.contact,
                        call: Call::Start(start),
                    };
                    self.send(now_ms + order_delay_ms, received_by, message);
                }
            }
            Action::Stop { worker, contact, key, .. } => {
                if !lost || late {
                    let received_by = self.received_by(late, &worker);
                    let message = Message {
                        epoch: self.epoch,
                        contact,
                        call: Call::Stop(worker, key),
                    };
                    self.send(now_ms + order_delay_ms, received_by, message);
                }
            }
            Action::FetchStatus {
                worker,
                contact,
                ack_cursor,
                lease_until_ms,
                ..
            } => {
                let received_by = self.received_by(false, &worker);
                let message = Message {
                    epoch: self.epoch,
                    contact,
                    call: Call::Status(worker, ack_cursor, lease_until_ms),
                };
                self.send(now_ms + 100, received_by, message);
            }
            Action::RemoveRequests { .. }
            | Action::HandOn { .. }
            | Action::Inquire { .. }
            | Action::SetSpeed { .. }
            | Action::RequestAdvice { .. }
            | Action::LogDecision(_) => {}
        }
    }

    pub(super) fn send(&mut self, arrives_ms: u64, received_by: Option<u64>, message: Message) {
        self.messages.push(Transit {
            arrives_ms,
            received_by,
            message,
        });
    }

    /// Incarnation of a worker that alone may carry out a message sent now.
    fn received_by(&self, late: bool, id: &InstanceId) -> Option<u64> {
        match self.extended_rng {
            None => Some(self.known_incarnations.get(id).copied().unwrap_or(0)),
            Some(_) => late.then_some(self.workers[id].started_ms),
        }
    }

    /// Delivers a message to a worker, unless it is silent, another incarnation or fenced.
    pub(super) fn deliver(&mut self, transit: Transit) {
        let message = transit.message;
        let id = message.recipient().clone();
        let (token, epoch, contact) = (message.token(), message.epoch, message.contact);
        let from_current_owner = epoch == self.epoch;
        let worker = &self.workers[&id];
        let is_cut = worker
            .cut_from
            .is_some_and(|(first, until_ms)| first <= epoch && self.now_ms < until_ms);
        let silent = self.now_ms < worker.silent_until_ms || is_cut;
        let other_incarnation = transit.received_by.is_some_and(|it| worker.started_ms != it);
        if silent || other_incarnation || token < self.workers[&id].fencing_token {
            let outcome = match () {
                () if silent => OrderOutcome::Lost,
                () if other_incarnation => OrderOutcome::Refused(Refusal::Instance),
                () => OrderOutcome::Refused(Refusal::Fenced),
            };
            if !from_current_owner {
                return;
            }
            match &message.call {
                Call::Start(start) => self.owner.start_answered(self.now(), &id, &start.key, contact, outcome),
                Call::Stop(..) => self.owner.order_answered(&id, contact, outcome),
                Call::Status(..) => self.owner.status_failed(self.now(), &id, contact, outcome),
            }
            return;
        }
        let now_ms = self.now_ms;
        let worker = self.workers.get_mut(&id).unwrap();
        worker.fencing_token = token;
        let clock_ms = now_ms - worker.clock_origin_ms.min(now_ms) + 1;
        match message.call {
            Call::Start(start) => {
                let outcome = self.handle_start(&id, &start, clock_ms);
                if from_current_owner {
                    self.owner.start_answered(self.now(), &id, &start.key, contact, outcome);
                }
            }
            Call::Stop(_, key) => {
                let highest = worker.highest_run.entry(key.task.clone()).or_default();
                *highest = (*highest).max(key.run);
                if worker.running.remove(&(key.task.clone(), key.run)).is_some() {
                    worker.last_sequence += 1;
                    worker.ended.push((worker.last_sequence, key, RunOutcome::Stopped, false));
                }
                if from_current_owner {
                    self.owner.order_answered(&id, contact, OrderOutcome::Done { clock_ms });
                }
            }
            Call::Status(_, ack_cursor, lease_until_ms) => {
                worker.lease_until_ms = worker.lease_until_ms.max(lease_until_ms.unwrap_or(0).min(clock_ms + 10_000));
                let (kept, acknowledged): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut worker.ended).into_iter().partition(|it| ack_cursor < it.0);
                worker.ended = kept;
                for (_, key, outcome, lapsed) in acknowledged {
                    if outcome == RunOutcome::Done && !lapsed {
                        assert!(self.acknowledged.insert(key.task.clone()), "TWICE: {:?} was done twice", key.task);
                    }
                    if outcome == RunOutcome::Failed && !lapsed {
                        *self.acknowledged_failures.entry(key.task).or_default() += 1;
                    }
                }
                if !from_current_owner {
                    return;
                }
                let active = worker.running.keys().map(|(task, run)| ActiveRun {
                    key: RunKey {
                        task: task.clone(),
                        run: *run,
                    },
                    checkpoint: Arc::from(""),
                    percent: 100,
                    measurement: None,
                });
                let ended = worker.ended.iter().map(|(sequence, key, outcome, _)| RunEnd {
                    sequence: *sequence,
                    key: key.clone(),
                    outcome: *outcome,
                    checkpoint: Arc::from(""),
                });
                let status = WorkerStatus {
                    clock_ms,
                    started_ms: worker.started_ms,
                    has_unreadable_rows: false,
                    active: active.collect(),
                    ended: ended.collect(),
                };
                self.owner.status_received(self.now(), &id, contact, status);
            }
        }
    }

    /// Carries out a start order on a worker and checks all rules on starts.
    fn handle_start(&mut self, id: &InstanceId, start: &StartOrder, clock_ms: u64) -> OrderOutcome {
        let task = &start.key.task;
        let worker = self.workers.get_mut(id).unwrap();
        if start.expires_ms < clock_ms {
            return OrderOutcome::Refused(Refusal::Late);
        }
        if start.key.run <= worker.highest_run.get(task).copied().unwrap_or(0) {
            return OrderOutcome::Refused(Refusal::Old);
        }
        let spec = self.specs[&task.job].clone();
        let step = &spec.steps[usize::from(task.step)];
        worker.highest_run.insert(task.clone(), start.key.run);
        worker.lease_until_ms = worker.lease_until_ms.max(start.expires_ms.min(clock_ms + 10_000));
        let cpu_of = |it: &TaskKey, specs: &HashMap<JobKey, Arc<JobSpec>>| specs[&it.job].steps[usize::from(it.step)].need.cpu;
        let used_cpu: u64 = worker.running.keys().map(|(it, _)| cpu_of(it, &self.specs)).sum();
        assert!(used_cpu + step.need.cpu <= CAPACITY.cpu, "LIMIT: {id} has no room for {task:?}");
        if step.spread != 0 {
            let tasks_of_step = worker
                .running
                .keys()
                .filter(|(it, _)| it.job == task.job && it.step == task.step)
                .count();
            assert!((tasks_of_step as u32) < step.spread, "ROUTE: too many tasks of a step on {id}");
        }
        let ends_ms = self.now_ms + step.estimate_ms;
        worker.running.insert((task.clone(), start.key.run), ends_ms);
        let all = self.workers.values().flat_map(|it| it.running.keys());
        let running: u64 = all.clone().map(|(it, _)| cpu_of(it, &self.specs)).sum();
        assert!(running <= CAP.cpu, "QUOTA: {running} running");
        assert_eq!(all.filter(|(it, _)| it == task).count(), 1, "TWICE: {task:?}");
        assert!(!self.acknowledged.contains(task), "TWICE: {task:?} was done");
        for after in &step.after {
            for index in 0..spec.steps[usize::from(*after)].count {
                let earlier = TaskKey {
                    step: *after,
                    index,
                    ..task.clone()
                };
                assert!(self.completed.contains(&earlier), "ORDER: {task:?} before {earlier:?}");
            }
        }
        assert!(self.acknowledged_failures.get(task).copied().unwrap_or(0) < 2, "BUDGET: {task:?}");
        if let Some(at) = self.cancelled.get(&task.job) {
            assert!(self.now_ms <= at + 3000, "UNASKED: {task:?} after its cancel");
        }
        OrderOutcome::Done { clock_ms }
    }
}
