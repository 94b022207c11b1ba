//! Handles the statuses that workers report and their answers to orders, and updates
//! runs, jobs and the contact with the worker accordingly.

use std::collections::HashSet;

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::job_record::TaskState;
use crate::order::{ActiveRun, ContactId, OrderOutcome, Refusal, RunOutcome, TokenForm, WorkerStatus};
use crate::run::STALL_TIMEOUT;
use crate::scheduler::{ENDS_PAGE_SIZE, MIN_STATUS_INTERVAL, PLACEMENT_PAUSE, START_EXPIRY, STATUS_RETRY, Scheduler};
use crate::start_window::Answer;
use crate::worker::{Run, RunKey, RunPhase};

impl Scheduler {
    /// Handles a worker's status, given under a contact: ended runs first, then runs in progress,
    /// then known runs that the status does not list.
    pub fn status_received(&mut self, now: Now, id: &InstanceId, contact: ContactId, status: WorkerStatus) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_current = contact == worker.contact;
        // The worker has answered under a later contact, so this answer may be of an earlier incarnation.
        if !is_current && (worker.is_observed || worker.is_outdated(contact, status.started_ms)) {
            return;
        }
        worker.status_requested &= !is_current;
        // The first call under a contact gives no order and acknowledges nothing.
        let is_first_answer = is_current && !worker.is_observed;
        let has_restarted = worker.has_restarted(status.started_ms);
        if has_restarted {
            self.worker_restarted(now, id, &status);
        }
        self.record_answer(id);
        let worker = self.workers.get_mut(id).expect("looked up above");
        if worker.started_ms == 0 && self.limits.may_have_longest_lease(now, status.started_ms) {
            worker.expect_leases(now.mono + self.limits.longest_lease_upper_bound());
        }
        if status.started_ms != 0 {
            worker.started_ms = status.started_ms;
        }
        worker.is_observed |= is_current;
        worker.refused_at = None;
        if worker.first_observed_ms == 0 {
            worker.first_observed_ms = status.clock_ms;
        }
        let had_unreadable_rows = std::mem::replace(&mut worker.has_unreadable_rows, status.has_unreadable_rows);
        worker.read_clock(status.clock_ms, now.mono);
        if status.has_unreadable_rows && !had_unreadable_rows {
            self.log_decision(Decision::Suspect {
                worker: id.clone(),
                why: "rows of its status cannot be read",
            });
        }
        self.observe_neighbors(now, id, &status);
        let lists_all_ends = status.ended.len() < ENDS_PAGE_SIZE;
        let lists_all_runs = lists_all_ends && !status.has_unreadable_rows;
        let mut listed = HashSet::new();
        let mut done_before = Vec::new();
        for end in status.ended {
            let worker = self.workers.get_mut(id).expect("looked up above");
            if end.sequence <= worker.last_end_seen {
                continue;
            }
            let is_early = end.outcome == RunOutcome::Done && self.expects_later_run(id, &end.key);
            if is_early && !lists_all_runs {
                // Whether the later run takes place is not known yet, so the end must not be acknowledged.
                break;
            }
            let worker = self.workers.get_mut(id).expect("looked up above");
            worker.last_end_seen = end.sequence;
            if is_early {
                listed.insert(end.key.clone());
                done_before.push(end);
                continue;
            }
            self.handle_run_end(now, id, end);
        }
        for active in &status.active {
            listed.insert(active.key.clone());
            self.update_active_run(now, id, status.clock_ms, active);
        }
        self.throttle(now, id, &status.active);
        if status.has_unreadable_rows {
            self.suspect_unlisted_runs(id, contact, status.clock_ms, &listed);
        } else if lists_all_ends {
            self.resolve_unlisted_runs(id, contact, status.clock_ms, &listed);
        }
        // They complete their tasks if the later runs do not take place.
        for end in done_before {
            self.handle_run_end(now, id, end);
        }
        self.stop_stalled(now, id);
        self.judge_speed(now, id);
        let worker = self.workers.get_mut(id).expect("looked up above");
        worker.next_status_request = now.mono + MIN_STATUS_INTERVAL;
        if has_restarted {
            // Calls of this contact may still reach the new incarnation, which knows no other one: starts
            // of runs that were given up, and acknowledgements of ends.
            if !is_first_answer {
                self.begin_contact(now, id);
            }
            let worker = self.workers.get_mut(id).expect("looked up above");
            worker.incarnation_contact = worker.contact;
        }
    }

    /// Handles the restart of a worker, which has lost the runs of its earlier incarnation.
    fn worker_restarted(&mut self, now: Now, id: &InstanceId, status: &WorkerStatus) {
        // Without numbers no answer proves that an order to the earlier incarnation is void.
        let orders_void_ms = match self.token_form {
            TokenForm::Epoch => status.clock_ms + START_EXPIRY.as_millis() as u64,
            TokenForm::Contact => u64::MAX,
        };
        let worker = self.workers.get_mut(id).expect("the caller checked that the worker is known");
        let from_ms = worker.started_ms;
        let leases_end_by = now.mono + self.limits.longest_lease_upper_bound();
        let lost = worker.start_incarnation(status.started_ms, orders_void_ms, leases_end_by);
        let may_start = worker.runs.len();
        self.log_decision(Decision::Restarted {
            worker: id.clone(),
            from_ms,
            to_ms: status.started_ms,
            lost: lost.len(),
            may_start,
        });
        self.requeue_lost_runs(id, lost, "reborn");
    }

    /// Logs that a worker lists a run that this owner did not expect there.
    fn log_unexpected_run(&mut self, id: &InstanceId, key: &RunKey) {
        let task = self.jobs.get(&key.task.job).and_then(|it| {
            let position = it.record.position(&key.task)?;
            Some(&it.record.tasks[position])
        });
        let placed_on = task.and_then(|it| match &it.state {
            TaskState::Placed(worker) => Some(worker.clone()),
            TaskState::Waiting | TaskState::Done => None,
        });
        let decision = Decision::Unexpected {
            job: key.task.job.clone(),
            task: (key.task.turn, key.task.step, key.task.index),
            run: key.run,
            worker: id.clone(),
            worker_started_ms: self.workers.get(id).map_or(0, |it| it.started_ms),
            latest_run: task.map(|it| it.run),
            placed_on,
        };
        self.log_decision(decision);
    }

    /// Handles a status request under a contact that was answered only when it was sent again. The
    /// first one may be carried out late, by an incarnation that knows no later contact.
    pub fn status_resent(&mut self, now: Now, id: &InstanceId, contact: ContactId) {
        if self.workers.get(id).is_some_and(|it| it.contact == contact) {
            self.begin_contact(now, id);
        }
    }

    /// Handles a status request that failed.
    pub fn status_failed(&mut self, now: Now, id: &InstanceId, contact: ContactId, outcome: OrderOutcome) {
        if outcome == OrderOutcome::Refused(Refusal::Fenced) {
            self.call_fenced(id, contact);
        }
        let Some(worker) = self.workers.get_mut(id).filter(|it| it.contact == contact) else {
            return;
        };
        worker.status_requested = false;
        if outcome == OrderOutcome::Refused(Refusal::Fenced) && contact == ContactId::Unnumbered {
            worker.refused_at.get_or_insert(now.mono);
        }
        // The worker may restart before it answers again.
        if worker.is_observed {
            self.begin_contact(now, id);
        }
        let worker = self.workers.get_mut(id).expect("looked up above");
        worker.next_status_request = now.mono + STATUS_RETRY;
        self.record_missed_answer(id);
    }

    /// Handles the answer to a start order that was sent under a contact.
    pub fn start_answered(&mut self, now: Now, id: &InstanceId, key: &RunKey, contact: ContactId, outcome: OrderOutcome) {
        let answer = match outcome {
            OrderOutcome::Done { .. } => Answer::Started,
            OrderOutcome::Refused(Refusal::Late) => Answer::Late,
            OrderOutcome::Refused(_) | OrderOutcome::Lost => Answer::Other,
        };
        if self.start_window.settle(now.mono, key, answer) {
            let (limit, open_jobs) = (self.start_window.limit(), self.open_jobs.len());
            self.log_decision(Decision::Overloaded { limit, open_jobs });
        }
        match outcome {
            OrderOutcome::Done { clock_ms } => {
                self.mark_started(&key.task.job);
                // Under an earlier contact, `clock_ms` may be a time of an earlier incarnation.
                if self.workers.get(id).is_none_or(|it| it.contact != contact) {
                    return;
                }
                self.record_answer(id);
                let worker = self.workers.get_mut(id);
                if let Some(run) = worker.and_then(|it| it.runs.get_mut(key)) {
                    if run.is_answer_of_other_incarnation(clock_ms) {
                        self.begin_contact(now, id);
                        return;
                    }
                    run.last_seen_ms = run.last_seen_ms.max(clock_ms);
                    run.progress_changed_at = now.mono;
                    if run.phase == RunPhase::Sent {
                        run.phase = RunPhase::Active;
                    }
                    self.record_start(id, key, clock_ms);
                }
            }
            OrderOutcome::Lost => {
                self.record_missed_answer(id);
                // The order may come seconds late, to an incarnation that knows no later contact.
                if self.workers.get(id).is_some_and(|it| it.contact == contact) {
                    self.begin_contact(now, id);
                }
            }
            OrderOutcome::Refused(reason) => self.start_refused(now, id, key, contact, reason),
        }
    }

    /// Requeues the task of a refused start and pauses placement or status requests as the
    /// reason demands.
    fn start_refused(&mut self, now: Now, id: &InstanceId, key: &RunKey, contact: ContactId, reason: Refusal) {
        self.log_decision(Decision::Refused {
            job: key.task.job.clone(),
            run: key.run,
            worker: id.clone(),
            reason,
        });
        match reason {
            Refusal::Fenced => {
                self.call_fenced(id, contact);
                if self.fenced {
                    return;
                }
            }
            Refusal::Room => self.placement_resumes_at = now.mono + PLACEMENT_PAUSE,
            Refusal::Unhealthy => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.quarantine(now.mono);
                }
            }
            Refusal::Instance | Refusal::Unreachable => {
                self.record_missed_answer(id);
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.next_status_request = now.mono;
                }
            }
            Refusal::Ticket => self.drop_ticket(&key.task, id),
            Refusal::Old | Refusal::Late | Refusal::Malformed | Refusal::Withdrawn => {}
        }
        let is_known = self.workers.get(id).and_then(|it| it.runs.get(key)).is_some();
        if is_known {
            self.release_run(id, key);
            self.requeue_task(id, key, "not_started");
        }
    }

    /// Handles the answer to an order to stop a run or to change its speed. A stopped run
    /// ends only when the worker lists its end.
    pub fn order_answered(&mut self, id: &InstanceId, contact: ContactId, outcome: OrderOutcome) {
        match outcome {
            // Under an earlier contact, the answer may be from before the worker fell silent.
            OrderOutcome::Done { .. } if self.workers.get(id).is_some_and(|it| it.contact == contact) => self.record_answer(id),
            OrderOutcome::Refused(Refusal::Fenced) => self.call_fenced(id, contact),
            OrderOutcome::Done { .. } | OrderOutcome::Refused(_) => {}
            OrderOutcome::Lost => {
                self.record_missed_answer(id);
                // The order may have been one to change the speed of a run.
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.runs.values_mut().for_each(|it| it.speed_percent = None);
                }
            }
        }
    }

    /// Updates a run that a worker lists as in progress. A run that is not current is stopped.
    fn update_active_run(&mut self, now: Now, id: &InstanceId, clock_ms: u64, active: &ActiveRun) {
        self.mark_started(&active.key.task.job);
        let is_current = self.is_current(id, &active.key);
        let worker = self.workers.get_mut(id).expect("the caller checked that the worker is known");
        if let Some(run) = worker.runs.get_mut(&active.key) {
            run.last_seen_ms = run.last_seen_ms.max(clock_ms);
            run.was_listed = true;
            if run.progress_percent < active.percent {
                worker.progress.advanced(now.mono);
            }
            if run.progress_percent != active.percent || run.phase != RunPhase::Active {
                run.progress_percent = active.percent;
                run.progress_changed_at = now.mono;
            }
            match is_current {
                true if run.phase != RunPhase::Stopping => run.phase = RunPhase::Active,
                true => {}
                false => run.stop(),
            }
        } else {
            // Started by an earlier owner, or by a delayed order; it uses resources until it is stopped.
            let capacity = worker.listed.capacity;
            self.log_unexpected_run(id, &active.key);
            self.unexpected_runs.insert(active.key.clone());
            let (team, reserved, need) = self.reservation(&active.key, capacity);
            let run = Run {
                last_seen_ms: clock_ms,
                was_listed: true,
                progress_percent: active.percent,
                ..Run::new(RunPhase::Stopping, team.clone(), reserved, need, now.mono)
            };
            *self.usage.entry(team).or_default() += need;
            self.workers
                .get_mut(id)
                .expect("the caller checked that the worker is known")
                .add(active.key.clone(), run);
        }
        if is_current
            && !active.checkpoint.is_empty()
            && let Some(tracked) = self.jobs.get_mut(&active.key.task.job)
            && let Some(position) = tracked.record.position(&active.key.task)
        {
            tracked.record.tasks[position].checkpoint = active.checkpoint.clone();
        }
    }

    /// Known runs that a worker does not list and that cannot start any more.
    fn unlisted_runs(&self, id: &InstanceId, contact: ContactId, clock_ms: u64, listed: &HashSet<RunKey>) -> Vec<RunKey> {
        let runs = self.workers[id].runs.iter();
        let unlisted = runs.filter(|(key, run)| !listed.contains(key) && run.has_ended(contact, clock_ms));
        unlisted.map(|(key, _)| key.clone()).collect()
    }

    /// Handles runs that a worker does not list beside rows that cannot be read. Any of them may
    /// be in such a row, so the answer does not count and leases are not renewed: the tasks wait
    /// again once the leases have ended.
    fn suspect_unlisted_runs(&mut self, id: &InstanceId, contact: ContactId, clock_ms: u64, listed: &HashSet<RunKey>) {
        if !self.unlisted_runs(id, contact, clock_ms, listed).is_empty() {
            self.record_missed_answer(id);
        }
    }

    /// Requeues the tasks of known runs that a worker does not list and that cannot start any more.
    fn resolve_unlisted_runs(&mut self, id: &InstanceId, contact: ContactId, clock_ms: u64, listed: &HashSet<RunKey>) {
        for key in self.unlisted_runs(id, contact, clock_ms, listed) {
            self.release_run(id, &key);
            self.requeue_task(id, &key, "not_listed");
        }
    }

    /// Stops runs that make no progress, so that their tasks are placed on other workers.
    fn stop_stalled(&mut self, now: Now, id: &InstanceId) {
        let worker = self.workers.get_mut(id).expect("the caller checked that the worker is known");
        let jobs = &self.jobs;
        let mut stalled = 0;
        for (key, run) in &mut worker.runs {
            let Some(step) = jobs.get(&key.task.job).and_then(|it| it.record.find_step(key.task.step)) else {
                continue;
            };
            if run.is_stalled(now.mono) && !step.gang && !step.fill && !step.lasting {
                run.stop();
                stalled += 1;
            }
        }
        if 0 < stalled {
            worker.quarantine(now.mono);
            let why = match !self.learned.is_disabled && worker.progress.stalled(now.mono, STALL_TIMEOUT) {
                true => "none of its tasks makes progress",
                false => "tasks make no progress",
            };
            self.log_decision(Decision::Suspect { worker: id.clone(), why });
        }
    }
}
