//! Commits of an owner: appending changed records to the log, one batch at a time, and
//! the steps that wait for the log to confirm them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Now;
use crate::commit_size::record_size;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::job_record::{JobKey, JobPhase, JobRecord};
use crate::order::{Action, StartOrder};
use crate::scheduler::{MIN_STATUS_INTERVAL, START_EXPIRY, Scheduler, TrackedJob};
use crate::silent_worker::SILENT_WORKER_PREFIX;
use crate::withdrawal;
use crate::worker::{RunKey, RunPhase, Worker};

/// Minimum time between two commits; changes made in between share one.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which records of ended jobs are removed; callers may query them for 120 s.
const ENDED_JOB_RETENTION: Duration = Duration::from_secs(150);
/// Time between two removals of processed requests, which are removed together.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(3);

/// State changes that take effect when the log confirms a commit.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Recorded jobs with the recorded phase.
    jobs: Vec<(JobKey, JobPhase)>,
    /// Runs that are now recorded as placed and may be started.
    starts: Vec<(InstanceId, RunKey)>,
    /// Last ended run recorded for a worker, and the start of the incarnation that listed it.
    ended_runs: Vec<(InstanceId, u64, u64)>,
    /// Workers whose silence was recorded, or whose record was removed (`true`).
    silent_workers: Vec<(InstanceId, bool)>,
}

impl Scheduler {
    /// Handles the log's confirmation of the commit in flight: starts the runs that it recorded.
    pub fn commit_confirmed(&mut self, now: Now) {
        let Some(batch) = self.in_flight_commit.take() else {
            return;
        };
        self.confirm_ownership(self.last_commit);
        for (id, phase) in batch.jobs {
            let Some(tracked) = self.jobs.get_mut(&id) else {
                continue;
            };
            tracked.logged_phase = phase;
            if phase != JobPhase::Open && std::mem::take(&mut tracked.cancel_pending) {
                let teams = self.read_cancels.remove(&id).unwrap_or_default();
                self.processed_cancels.extend(teams.into_keys().map(|team| (id.clone(), team)));
            }
            if !tracked.is_logged {
                tracked.is_logged = true;
                self.processed_submissions.push(id);
            }
        }
        self.record_ended_runs(batch.ended_runs);
        for (id, is_removal) in batch.silent_workers {
            if let Some(worker) = self.workers.get_mut(&id)
                && is_removal
            {
                worker.silence_recorded_at = None;
                worker.silence_removal_pending = false;
            }
        }
        for (id, key) in batch.starts {
            self.start(now, id, key);
        }
    }

    /// Records up to which run the ends that workers have reported need not be reported again.
    fn record_ended_runs(&mut self, ended_runs: Vec<(InstanceId, u64, u64)>) {
        for (id, sequence, started_ms) in ended_runs {
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.started_ms == started_ms
            {
                worker.last_end_recorded = worker.last_end_recorded.max(sequence);
            }
        }
    }

    /// Orders the start of a recorded run, or requeues its task if the run must not start
    /// any more: the job ended, the worker or its zone takes no work, advice or its team's grant
    /// expired, callers' requests were not read recently enough, or the ownership was not confirmed
    /// recently enough. Later owners rely on that last limit, and later coordinators on that of the
    /// grant.
    fn start(&mut self, now: Now, id: InstanceId, key: RunKey) {
        let is_current = self.is_current(&id, &key);
        let is_evacuated = |it: &Worker| self.catalog.evacuated_zones.contains(&it.listed.zone);
        let worker = self.workers.get(&id);
        let is_intended = worker.is_some_and(|it| it.runs.get(&key).is_some_and(|run| run.phase == RunPhase::Intended));
        if !is_intended {
            return;
        }
        let accepts_work = worker.is_some_and(|it| it.accepts_work(now.mono) && !is_evacuated(it));
        let ticket = self.ticket(now, &key.task, &id);
        let valid_for = START_EXPIRY.min(self.ownership_left(now)).min(self.cancels_known_for(now));
        let may_start = is_current && accepts_work && !valid_for.is_zero() && self.has_grant(&key.task.job);
        // The slowest clock shows this time when the validity ends.
        let expires_ms = worker.and_then(|it| it.clock_ms(now.mono + valid_for));
        let (true, Some(expires_ms), Some(ticket)) = (may_start, expires_ms, ticket) else {
            self.release_run(&id, &key);
            self.requeue_task(&id, &key, "not_sent");
            return;
        };
        let age_ms = |at: Duration| now.mono.saturating_sub(at).as_millis() as u64;
        let (confirmed_ago_ms, requests_read_ago_ms) = (age_ms(self.confirmed_at), age_ms(self.requests.as_of()));
        let worker = self.workers.get_mut(&id).expect("looked up above");
        let (contact, worker_started_ms) = (worker.contact, worker.started_ms);
        worker.extend_leases(expires_ms);
        worker.next_status_request = worker.next_status_request.min(now.mono + MIN_STATUS_INTERVAL);
        let run = worker.runs.get_mut(&key).expect("looked up above");
        run.phase = RunPhase::Sent;
        run.order_expires_ms = expires_ms;
        run.contact = contact;
        let start_guard = withdrawal::Guard::default();
        let withdrawal = start_guard.watch();
        run.start_guard = Some(start_guard);
        self.start_window.order(now.mono, &key);
        self.log_decision(Decision::Ordered {
            job: key.task.job.clone(),
            task: (key.task.turn, key.task.step, key.task.index),
            run: key.run,
            worker: id.clone(),
            worker_started_ms,
            confirmed_ago_ms,
            requests_read_ago_ms,
            valid_ms: valid_for.as_millis() as u64,
        });
        let record = &self.jobs[&key.task.job].record;
        let position = record.position(&key.task).expect("a current run has a task");
        let start = StartOrder {
            worker: id,
            payload: record.spec().payload.clone(),
            checkpoint: record.tasks[position].checkpoint.clone(),
            expires_ms,
            send_by: now.mono + valid_for,
            contact,
            ticket,
            withdrawal,
            key,
        };
        self.actions.push(Action::Start(start));
    }

    /// Appends changed records if the log can take another commit. Records that do not fit into one
    /// call follow in further commits.
    pub(crate) fn commit(&mut self, now: Now) {
        if !self.can_commit(now) || self.remainder.is_empty() && !self.begin_commit(now) {
            return;
        }
        let mut batch = Batch::default();
        let mut records = Vec::new();
        let mut bytes = 0;
        for (id, value) in self.silent_worker_records(now) {
            batch.silent_workers.push((id.clone(), value.is_none()));
            let key: Arc<str> = Arc::from(format!("{SILENT_WORKER_PREFIX}{id}"));
            bytes += record_size(&key, value.as_ref().map_or(0, Bytes::len));
            records.push((key, value));
        }
        for (key, value) in self.take_quarantine_marks() {
            bytes += record_size(&key, value.as_ref().map_or(0, Bytes::len));
            records.push((key, value));
        }
        while let Some(id) = self.expired_jobs.last()
            && (records.is_empty() || bytes + record_size(id, 0) <= self.commit_limits.call_bytes)
        {
            bytes += record_size(id, 0);
            records.extend(self.expired_jobs.pop().map(|it| (it, None)));
        }
        while let Some(id) = self.remainder.jobs.front().cloned() {
            let encoded = self.encode_job(&id);
            let size = encoded.as_ref().map_or(0, |it| record_size(&id, it.len()));
            if !records.is_empty() && self.commit_limits.call_bytes < bytes + size {
                break;
            }
            self.remainder.jobs.pop_front();
            self.dirty_jobs.remove(&id);
            if let (Some(encoded), Some(tracked)) = (encoded, self.jobs.get(&id)) {
                bytes += size;
                batch.jobs.push((id.clone(), tracked.record.phase));
                records.push((id, Some(encoded)));
            }
        }
        if self.remainder.jobs.is_empty() {
            batch.ended_runs = std::mem::take(&mut self.remainder.ended_runs);
        }
        if records.is_empty() {
            // The jobs of the last part were quarantined or removed since the first one.
            self.record_ended_runs(batch.ended_runs);
            return;
        }
        // A run may start once its job is recorded.
        let recorded: HashSet<&JobKey> = batch.jobs.iter().map(|(id, _)| id).collect();
        let (starts, waiting) = std::mem::take(&mut self.pending_starts)
            .into_iter()
            .partition(|(_, key)| recorded.contains(&key.task.job));
        self.pending_starts = waiting;
        batch.starts = starts;
        self.in_flight_commit = Some(batch);
        self.last_commit = now.mono;
        self.actions.push(Action::Commit(records));
    }

    /// Begins a commit of all jobs that have changed. Returns whether there is anything to record.
    fn begin_commit(&mut self, now: Now) -> bool {
        let nothing_to_commit = self.dirty_jobs.is_empty()
            && self.expired_jobs.is_empty()
            && self.quarantine_marks.is_empty()
            && !self.silent_worker_records_due(now);
        for worker in self.workers.values_mut() {
            if worker.last_end_recorded < worker.last_end_seen {
                match nothing_to_commit {
                    // These ended runs changed no record, so they need no commit.
                    true => worker.last_end_recorded = worker.last_end_seen,
                    false => self
                        .remainder
                        .ended_runs
                        .push((worker.listed.id.clone(), worker.last_end_seen, worker.started_ms)),
                }
            }
        }
        self.remainder.jobs = std::mem::take(&mut self.dirty_jobs).into_iter().collect();
        self.remainder.since = now.mono;
        !nothing_to_commit
    }

    /// Encodes the record of a job; `None` if the job is not known any more. A record that is too
    /// large for the log loses its checkpoints, from which runs would resume; if that is not
    /// enough, the job is quarantined, as repeating its record would stop all jobs of the partition.
    fn encode_job(&mut self, id: &JobKey) -> Option<Bytes> {
        let encode = |record: &JobRecord| rmp_serde::to_vec(record).expect("records can be encoded");
        let tracked = self.jobs.get_mut(id)?;
        let encoded = encode(&tracked.record);
        if self.commit_limits.allows_record(id, encoded.len()) {
            return Some(Bytes::from(encoded));
        }
        tracked.record.tasks.iter_mut().for_each(|it| it.checkpoint = Arc::from(""));
        let encoded = encode(&tracked.record);
        let is_allowed = self.commit_limits.allows_record(id, encoded.len());
        self.log_decision(Decision::RecordTooLarge {
            job: id.clone(),
            bytes: encoded.len(),
            is_quarantined: !is_allowed,
        });
        if is_allowed {
            return Some(Bytes::from(encoded));
        }
        self.quarantine(id);
        None
    }

    /// Earliest time of the next commit if none is in flight.
    pub(crate) fn next_commit_at(&self) -> Duration {
        self.last_commit + MIN_COMMIT_INTERVAL
    }

    /// Whether no commit is in flight and [`MIN_COMMIT_INTERVAL`] has passed since the last one.
    pub(crate) fn can_commit(&self, now: Now) -> bool {
        self.in_flight_commit.is_none() && self.next_commit_at() <= now.mono
    }

    /// Drops start orders whose run was removed, or whose contact with the worker ended, before
    /// they were sent. A new incarnation of the worker would carry them out, since its clock starts
    /// far below their expiry.
    pub(crate) fn drop_stale_starts(&mut self) {
        let workers = &self.workers;
        let mut stale = Vec::new();
        self.actions.retain(|action| {
            let Action::Start(start) = action else {
                return true;
            };
            let worker = workers.get(&start.worker);
            let is_current = worker.is_some_and(|it| it.contact == start.contact && it.runs.contains_key(&start.key));
            if !is_current {
                stale.push((start.worker.clone(), start.key.clone()));
            }
            is_current
        });
        for (id, key) in stale {
            if self.release_run(&id, &key).is_some() {
                self.requeue_task(&id, &key, "not_sent");
            }
        }
    }

    /// Removes requests whose jobs are recorded, and jobs whose retention has passed.
    pub(crate) fn clean_up(&mut self, now: Now) {
        if now.mono < self.last_cleanup + CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now.mono;
        // A job that was left to another pool may have come back since.
        let jobs = &self.jobs;
        let inquiries = &self.inquiries;
        self.processed_submissions
            .retain(|id| !inquiries.contains_key(id) && jobs.get(id).is_none_or(|it| it.is_logged));
        if !self.processed_submissions.is_empty() || !self.processed_cancels.is_empty() {
            self.actions.push(Action::RemoveRequests {
                submissions: std::mem::take(&mut self.processed_submissions),
                cancels: std::mem::take(&mut self.processed_cancels),
            });
        }
        let retention_ms = ENDED_JOB_RETENTION.as_millis() as u64;
        let has_expired = |it: &TrackedJob| it.logged_phase != JobPhase::Open && it.record.ended_ms + retention_ms < now.wall_ms();
        let expired: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, it)| has_expired(it))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.jobs.remove(&id);
            self.expired_jobs.push(id);
        }
    }
}
