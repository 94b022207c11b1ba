//! What an owner appends to the log, and what has to wait for it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Now;
use crate::id::InstanceId;
use crate::job_record::{JobKey, JobPhase};
use crate::order::{Action, StartOrder};
use crate::scheduler::{MIN_STATUS_INTERVAL, START_EXPIRY, Scheduler, TrackedJob};
use crate::silent_worker::SILENT_WORKER_PREFIX;
use crate::worker::{RunKey, RunPhase, Worker};

/// Least time between two commits; what comes in between shares one.
const COMMIT_GAP: Duration = Duration::from_millis(25);
/// Ended jobs are forgotten after this; callers may ask for 120 s.
const KEEP_ENDED: Duration = Duration::from_secs(150);
/// Requests that are recorded as jobs are removed from the log together after this.
const FORGET_GAP: Duration = Duration::from_secs(3);

/// What waits for the log to confirm a commit.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    jobs: Vec<(JobKey, JobPhase)>,
    intents: Vec<(InstanceId, RunKey)>,
    recorded: Vec<(InstanceId, u64, u64)>,
    silences: Vec<(InstanceId, bool)>,
}

impl Scheduler {
    /// Notes that the records of the last commit are in the log.
    pub fn committed(&mut self, now: Now) {
        let Some(batch) = self.in_flight_commit.take() else {
            return;
        };
        self.confirm_ownership(self.last_commit);
        for (id, phase) in batch.jobs {
            let Some(tracked) = self.jobs.get_mut(&id) else {
                continue;
            };
            tracked.logged_phase = phase;
            if !tracked.is_logged {
                tracked.is_logged = true;
                self.processed_requests.push(id);
            }
        }
        for (id, seen, started_ms) in batch.recorded {
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.listed.started_ms == started_ms
            {
                worker.last_end_recorded = worker.last_end_recorded.max(seen);
            }
        }
        for (id, removed) in batch.silences {
            if let Some(worker) = self.workers.get_mut(&id)
                && removed
            {
                worker.silence_recorded_at = None;
                worker.silence_removal_pending = false;
            }
        }
        for (id, key) in batch.intents {
            self.start(now, id, key);
        }
    }

    /// Orders a start whose intent is in the log, if it is still wanted.
    fn start(&mut self, now: Now, id: InstanceId, key: RunKey) {
        let wanted = self.is_current(&id, &key);
        let out = |it: &Worker| self.catalog.evacuated_zones.contains(&it.listed.zone);
        let worker = self.workers.get(&id);
        let intended = worker.is_some_and(|it| it.runs.get(&key).is_some_and(|run| run.phase == RunPhase::Intended));
        if !intended {
            return;
        }
        let clock_ms = worker.and_then(|it| it.clock_ms(now.mono));
        let open = worker.is_some_and(|it| it.accepts_work(now.mono) && !out(it));
        let ticket = self.ticket(now, &key.task, &id);
        let (true, true, Some(clock_ms), Some(ticket)) = (wanted, open, clock_ms, ticket) else {
            self.release_run(&id, &key);
            self.requeue_task(&id, &key, "not_sent");
            return;
        };
        let until_ms = clock_ms + START_EXPIRY.as_millis() as u64;
        let worker = self.workers.get_mut(&id).expect("looked up above");
        worker.extend_leases(until_ms);
        worker.next_status_request = worker.next_status_request.min(now.mono + MIN_STATUS_INTERVAL);
        let run = worker.runs.get_mut(&key).expect("looked up above");
        run.phase = RunPhase::Sent;
        run.order_expires_ms = until_ms;
        let record = &self.jobs[&key.task.job].record;
        let position = record.position(&key.task).expect("a wanted run has a task");
        let start = StartOrder {
            worker: id,
            payload: record.spec().payload.clone(),
            checkpoint: record.tasks[position].checkpoint.clone(),
            expires_ms: until_ms,
            ticket,
            key,
        };
        self.actions.push(Action::Start(start));
    }

    /// Appends what has changed, one commit at a time.
    pub(crate) fn commit(&mut self, now: Now) {
        if !self.can_commit(now) {
            return;
        }
        let idle = self.dirty_jobs.is_empty() && self.expired_jobs.is_empty() && !self.silent_worker_records_due(now);
        let mut batch = Batch::default();
        for worker in self.workers.values_mut() {
            if worker.last_end_recorded < worker.last_end_seen {
                match idle {
                    // Nothing of these ends has to be kept.
                    true => worker.last_end_recorded = worker.last_end_seen,
                    false => batch
                        .recorded
                        .push((worker.listed.id.clone(), worker.last_end_seen, worker.listed.started_ms)),
                }
            }
        }
        if idle {
            return;
        }
        let mut records = Vec::new();
        for id in std::mem::take(&mut self.dirty_jobs) {
            let Some(tracked) = self.jobs.get(&id) else {
                continue;
            };
            let encoded = rmp_serde::to_vec(&tracked.record).expect("records can be encoded");
            batch.jobs.push((id.clone(), tracked.record.phase));
            records.push((id, Some(Bytes::from(encoded))));
        }
        records.extend(self.expired_jobs.drain(..).map(|id| (id, None)));
        for (id, value) in self.silent_worker_records(now) {
            batch.silences.push((id.clone(), value.is_none()));
            records.push((Arc::from(format!("{SILENT_WORKER_PREFIX}{id}")), value));
        }
        batch.intents = std::mem::take(&mut self.pending_starts);
        self.in_flight_commit = Some(batch);
        self.last_commit = now.mono;
        self.actions.push(Action::Commit(records));
    }

    /// Earliest time of the next commit.
    pub(crate) fn next_commit_at(&self) -> Duration {
        self.last_commit + COMMIT_GAP
    }

    /// Whether the log can take another commit.
    pub(crate) fn can_commit(&self, now: Now) -> bool {
        self.in_flight_commit.is_none() && self.next_commit_at() <= now.mono
    }

    /// Drops orders to start whose run was given up before they were sent: the
    /// worker has a new life, whose clock is far behind the time that voids them.
    pub(crate) fn drop_stale_starts(&mut self) {
        let workers = &self.workers;
        self.actions.retain(|action| match action {
            Action::Start(start) => workers.get(&start.worker).is_some_and(|it| it.runs.contains_key(&start.key)),
            _ => true,
        });
    }

    /// Removes requests that stand in the log as jobs, and jobs that ended long ago.
    pub(crate) fn clean_up(&mut self, now: Now) {
        if now.mono < self.last_cleanup + FORGET_GAP {
            return;
        }
        self.last_cleanup = now.mono;
        if !self.processed_requests.is_empty() {
            let ids = std::mem::take(&mut self.processed_requests);
            self.actions.push(Action::RemoveRequests(ids));
        }
        let keep_ms = KEEP_ENDED.as_millis() as u64;
        let is_old = |it: &TrackedJob| it.logged_phase != JobPhase::Open && it.record.ended_ms + keep_ms < now.wall_ms();
        let old: Vec<JobKey> = self.jobs.iter().filter(|(_, it)| is_old(it)).map(|(id, _)| id.clone()).collect();
        for id in old {
            self.jobs.remove(&id);
            self.expired_jobs.push(id);
        }
    }
}
