//! What workers show and answer, and what follows from it for the jobs.

use std::collections::HashSet;

use crate::clock::Now;
use crate::id::InstanceId;
use crate::job_record::{JobPhase, TaskKey, TaskState};
use crate::note::Note;
use crate::order::{Active, Answer, End, How, Look, Refusal};
use crate::scheduler::{ENDS_PAGE, LOOK_GAP, RETRY, ROOM_RETRY, Scheduler};
use crate::worker::{Run, RunKey, RunPhase};

impl Scheduler {
    /// Takes in what a worker showed.
    pub fn looked(&mut self, now: Now, id: &InstanceId, look: Look) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.status_requested = false;
        if worker.listed.started_ms == 0 {
            worker.listed.started_ms = look.born_ms;
        }
        if worker.listed.started_ms < look.born_ms {
            let lost = worker.start_incarnation(look.born_ms, now.mono + self.bounds.longest_lease_ends());
            self.lose(id, lost, "reborn");
        } else if look.born_ms != 0 && look.born_ms < worker.listed.started_ms {
            // An answer of an earlier life.
            return;
        }
        self.answered(id);
        let worker = self.workers.get_mut(id).expect("looked up above");
        if !worker.is_observed {
            worker.is_observed = true;
            worker.first_observed_ms = look.clock_ms;
        }
        worker.read_clock(look.clock_ms, now.mono);
        let whole = look.ended.len() < ENDS_PAGE;
        for end in look.ended {
            let worker = self.workers.get_mut(id).expect("looked up above");
            if end.number <= worker.last_end_seen {
                continue;
            }
            worker.last_end_seen = end.number;
            self.ended(now, id, end);
        }
        let mut listed = HashSet::new();
        for active in &look.active {
            listed.insert(active.key.clone());
            self.active(now, id, look.clock_ms, active);
        }
        self.throttle(now, id, &look.active);
        if whole {
            self.settle(id, look.clock_ms, &listed);
        }
        self.stop_stalled(now, id);
        let worker = self.workers.get_mut(id).expect("looked up above");
        worker.next_status_request = now.mono + LOOK_GAP;
    }

    /// Notes that a look brought no answer.
    pub fn look_failed(&mut self, now: Now, id: &InstanceId, answer: Answer) {
        if answer == Answer::Refused(Refusal::Fenced) {
            self.fenced = true;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.status_requested = false;
        worker.next_status_request = now.mono + RETRY;
        if answer == Answer::Refused(Refusal::Instance) {
            // The list will show the new life.
            worker.is_observed = false;
        }
        self.missed(id);
    }

    /// Takes in the answer to an order to start.
    pub fn started(&mut self, now: Now, id: &InstanceId, key: &RunKey, answer: Answer) {
        match answer {
            Answer::Done { clock_ms } => {
                self.answered(id);
                // Without the run the worker has a new life since, with another clock.
                let worker = self.workers.get_mut(id);
                if let Some(run) = worker.and_then(|it| it.runs.get_mut(key)) {
                    run.last_seen_ms = run.last_seen_ms.max(clock_ms);
                    run.progress_changed_at = now.mono;
                    if run.phase == RunPhase::Sent {
                        run.phase = RunPhase::Active;
                    }
                }
            }
            Answer::Lost => self.missed(id),
            Answer::Refused(reason) => self.start_refused(now, id, key, reason),
        }
    }

    fn start_refused(&mut self, now: Now, id: &InstanceId, key: &RunKey, reason: Refusal) {
        self.note(Note::Refused {
            job: key.task.job.clone(),
            run: key.run,
            worker: id.clone(),
            reason,
        });
        match reason {
            Refusal::Fenced => {
                self.fenced = true;
                return;
            }
            Refusal::Room => self.room_retry = now.mono + ROOM_RETRY,
            Refusal::Unhealthy => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.quarantine(now.mono);
                }
            }
            Refusal::Instance | Refusal::Unreachable => {
                self.missed(id);
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.next_status_request = now.mono;
                }
            }
            Refusal::Ticket => self.drop_ticket(&key.task, id),
            Refusal::Old | Refusal::Late | Refusal::Malformed => {}
        }
        let stopping = self.workers.get(id).and_then(|it| it.runs.get(key)).is_some();
        if stopping {
            self.release(id, key);
            self.revert(id, key, "not_started");
        }
    }

    /// Takes in the answer to an order to stop; the end itself is listed.
    pub fn stopped(&mut self, id: &InstanceId, answer: Answer) {
        match answer {
            Answer::Done { .. } => self.answered(id),
            Answer::Refused(Refusal::Fenced) => self.fenced = true,
            Answer::Refused(_) => {}
            Answer::Lost => self.missed(id),
        }
    }

    fn missed(&mut self, id: &InstanceId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.missed_answers += 1;
        if worker.missed_answers == 1 {
            let runs = worker.runs.len();
            self.note(Note::Contact {
                worker: id.clone(),
                answers: false,
                runs,
            });
        }
    }

    fn answered(&mut self, id: &InstanceId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.missed_answers != 0 {
            worker.missed_answers = 0;
            let runs = worker.runs.len();
            self.note(Note::Contact {
                worker: id.clone(),
                answers: true,
                runs,
            });
        }
    }

    /// Takes in a run that a worker lists.
    fn active(&mut self, now: Now, id: &InstanceId, clock_ms: u64, active: &Active) {
        let wanted = self.is_wanted(id, &active.key);
        let worker = self.workers.get_mut(id).expect("the caller looked it up");
        if let Some(run) = worker.runs.get_mut(&active.key) {
            run.last_seen_ms = run.last_seen_ms.max(clock_ms);
            if run.progress_percent != active.percent || run.phase != RunPhase::Active {
                run.progress_percent = active.percent;
                run.progress_changed_at = now.mono;
            }
            if run.phase != RunPhase::Stopping {
                run.phase = if wanted { RunPhase::Active } else { RunPhase::Stopping };
            }
        } else {
            // Started by an earlier owner, or late; it takes room until it is stopped.
            let capacity = worker.listed.capacity;
            let (team, reserved, need) = self.describe(&active.key, capacity);
            let run = Run {
                last_seen_ms: clock_ms,
                progress_percent: active.percent,
                ..Run::new(RunPhase::Stopping, team.clone(), reserved, need, now.mono)
            };
            *self.usage.entry(team).or_default() += need;
            self.workers
                .get_mut(id)
                .expect("the caller looked it up")
                .add(active.key.clone(), run);
        }
        if wanted
            && !active.checkpoint.is_empty()
            && let Some(tracked) = self.jobs.get_mut(&active.key.task.job)
            && let Some(position) = tracked.record.position(&active.key.task)
        {
            tracked.record.tasks[position].checkpoint = active.checkpoint.clone();
        }
    }

    /// Settles runs that a worker does not list.
    fn settle(&mut self, id: &InstanceId, clock_ms: u64, listed: &HashSet<RunKey>) {
        let worker = self.workers.get_mut(id).expect("the caller looked it up");
        let gone: Vec<RunKey> = worker
            .runs
            .iter()
            .filter(|(key, run)| !listed.contains(key) && run.has_ended(clock_ms))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.release(id, &key);
            self.revert(id, &key, "not_listed");
        }
    }

    /// Stops runs that make no progress, so that they go on elsewhere.
    fn stop_stalled(&mut self, now: Now, id: &InstanceId) {
        let worker = self.workers.get_mut(id).expect("the caller looked it up");
        let jobs = &self.jobs;
        let mut stalled = 0;
        for (key, run) in &mut worker.runs {
            let Some(tracked) = jobs.get(&key.task.job) else {
                continue;
            };
            let step = tracked.record.step(key.task.step);
            if run.is_stalled(now.mono) && !step.gang && !step.fill && !step.lasting {
                run.phase = RunPhase::Stopping;
                stalled += 1;
            }
        }
        if 0 < stalled {
            worker.quarantine(now.mono);
            self.note(Note::Suspect {
                worker: id.clone(),
                why: "tasks make no progress",
            });
        }
    }

    /// Takes in an end.
    fn ended(&mut self, now: Now, id: &InstanceId, end: End) {
        self.release(id, &end.key);
        let how = match end.how {
            How::Done => "done",
            How::Failed => "failed",
            How::Stopped => "stopped",
            How::Lapsed => "lapsed",
            How::Broken => "broken",
            How::Alone => "alone",
        };
        self.note_end(id, &end.key, how);
        if !self.is_wanted(id, &end.key) {
            return;
        }
        let worker = self.workers.get_mut(id).expect("the caller looked it up");
        let judged = matches!(end.how, How::Done | How::Failed);
        if judged && worker.record_result(end.how == How::Failed, now.mono) {
            self.note(Note::Suspect {
                worker: id.clone(),
                why: "runs fail one after the other",
            });
        }
        let attempts = self.attempts(&end.key.task.job);
        let job = end.key.task.job.clone();
        let tracked = self.jobs.get_mut(&job).expect("a wanted run has a job");
        let record = &mut tracked.record;
        let position = record.position(&end.key.task).expect("a wanted run has a task");
        let (lasting, gang) = {
            let step = record.step(end.key.task.step);
            (step.lasting, step.gang)
        };
        let task = &mut record.tasks[position];
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        let mut failed = false;
        match end.how {
            // A lasting task is run again however it ends.
            How::Done if lasting => task.state = TaskState::Waiting,
            How::Done => task.state = TaskState::Done,
            How::Failed => {
                task.fails += 1;
                task.state = TaskState::Waiting;
                failed = !lasting && attempts <= task.fails;
            }
            How::Stopped | How::Lapsed | How::Broken | How::Alone => task.state = TaskState::Waiting,
        }
        if gang {
            self.end_gang(&end);
        }
        let tracked = self.jobs.get_mut(&job).expect("a wanted run has a job");
        tracked.record.complete_if_done(now.wall_ms());
        let completed = tracked.record.phase == JobPhase::Completed;
        self.dirty.insert(job.clone());
        if failed {
            self.close(now, &job, JobPhase::Failed);
        } else if completed {
            self.closed(now, &job);
        }
    }

    /// One member's end stands for its whole gang.
    fn end_gang(&mut self, end: &End) {
        let Some(tracked) = self.jobs.get_mut(&end.key.task.job) else {
            return;
        };
        let record = &mut tracked.record;
        let first = record.first_position(end.key.task.turn, usize::from(end.key.task.step));
        let count = record.step(end.key.task.step).count;
        let mut over = Vec::new();
        for index in 0..count {
            let task = &mut record.tasks[first + index as usize];
            if !end.checkpoint.is_empty() {
                task.checkpoint = end.checkpoint.clone();
            }
            if end.how == How::Failed && index != end.key.task.index {
                // The gang's run failed, whichever member listed it.
                task.fails = task.fails.max(1);
            }
            if end.how == How::Done && task.run == end.key.run {
                task.state = TaskState::Done;
                over.push(RunKey {
                    task: TaskKey {
                        index,
                        ..end.key.task.clone()
                    },
                    run: task.run,
                });
            }
        }
        let ids: Vec<InstanceId> = self.workers.keys().cloned().collect();
        for key in over {
            for id in &ids {
                self.release(id, &key);
            }
        }
    }
}
