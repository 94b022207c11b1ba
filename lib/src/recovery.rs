//! Restores the state of an owner from the records of earlier owners and from the list
//! of workers.
//!
//! Runs that earlier owners placed may still be in progress. Each keeps its resources
//! until its worker lists it as ended or does not list it, or until its lease has ended.

use std::collections::HashSet;
use std::sync::Arc;

use crate::clock::Now;
use crate::id::{InstanceId, PoolId};
use crate::job_record::{JobKey, JobPhase, JobRecord, TaskState};
use crate::resources::Resources;
use crate::scheduler::{Scheduler, TrackedJob, task_keys};
use crate::worker::{ListedWorker, Run, RunKey, RunPhase, Worker};

impl Scheduler {
    /// Restores a job from its record. Must be called for all jobs before `set_workers`.
    pub fn load_job(&mut self, id: JobKey, record: JobRecord) {
        if record.phase == JobPhase::Open {
            self.open_jobs.insert(id.clone());
        }
        // Runs of a job that has ended may go on until their worker answers or their lease ends.
        for (task, position) in task_keys(&id, &record) {
            let state = &record.tasks[position];
            if let TaskState::Placed(worker) = &state.state {
                let key = RunKey { task, run: state.run };
                let run = self.inherited_run(&record, &key);
                self.inherited_runs.entry(worker.clone()).or_default().push((key, run));
            }
        }
        let logged_phase = record.phase;
        let may_have_started = !record.has_no_placements();
        self.jobs.insert(
            id,
            TrackedJob {
                record,
                logged_phase,
                is_logged: true,
                may_have_started,
                cancel_pending: false,
            },
        );
    }

    /// Updates the workers from the platform's list for these pools.
    pub fn set_workers(&mut self, now: Now, listed: Vec<ListedWorker>) {
        let mut unlisted: HashSet<InstanceId> = self.workers.keys().cloned().collect();
        for listed_worker in listed {
            unlisted.remove(&listed_worker.id);
            let Some(worker) = self.workers.get_mut(&listed_worker.id) else {
                let mut worker = self.worker_from_earlier_owner(now, listed_worker.clone());
                self.add_inherited_runs(&mut worker);
                self.workers.insert(listed_worker.id, worker);
                continue;
            };
            let (id, started_ms) = (listed_worker.id.clone(), listed_worker.started_ms);
            let is_of_other_incarnation = worker.set_entry(listed_worker);
            if worker.started_ms == 0 && self.limits.may_have_longest_lease(now, started_ms) {
                let longest_lease = self.limits.longest_lease_upper_bound();
                worker.expect_leases(self.acquired_at + self.limits.inherited_leases(longest_lease));
            }
            if is_of_other_incarnation {
                // The entry may be outdated, so only the worker's own status ends runs. If it is not,
                // the new incarnation may carry out orders that were not answered.
                if worker.runs.values().any(Run::may_start) {
                    worker.expect_leases(now.mono + self.limits.longest_lease_upper_bound());
                }
                self.begin_contact(now, &id);
            }
        }
        for id in unlisted {
            let worker = self.workers.get_mut(&id).expect("the id comes from the map");
            worker.is_listed = false;
            if worker.runs.is_empty() && !worker.status_requested && worker.silence_recorded_at.is_none() {
                self.workers.remove(&id);
            }
        }
        self.add_unlisted_workers(now);
    }

    /// Adds workers that records name but the list does not. Their runs may go on until
    /// the leases end.
    fn add_unlisted_workers(&mut self, now: Now) {
        let missing: Vec<InstanceId> = self.inherited_runs.keys().cloned().collect();
        for id in missing {
            let listed = ListedWorker {
                id: id.clone(),
                addr: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
                pool: PoolId::from(""),
                zone: Arc::from(""),
                rack: Arc::from(""),
                labels: Vec::new(),
                capacity: Resources::default(),
                draining: true,
                started_ms: 0,
            };
            let mut worker = self.worker_from_earlier_owner(now, listed);
            worker.is_listed = false;
            self.add_inherited_runs(&mut worker);
            self.workers.insert(id, worker);
        }
    }

    /// Creates a worker that may have runs of an earlier owner.
    fn worker_from_earlier_owner(&mut self, now: Now, listed: ListedWorker) -> Worker {
        let is_recent = self.limits.may_have_longest_lease(now, listed.started_ms);
        let lease = match is_recent {
            true => self.limits.longest_lease_upper_bound(),
            false => self.limits.lease_upper_bound(),
        };
        let leases_end = self.acquired_at + self.limits.inherited_leases(lease);
        let silent_until = self.silent_until.get(&listed.id).copied();
        // The record of silence may be from before the restart.
        let leases_end = match silent_until {
            Some(until) if is_recent => until.max(leases_end),
            Some(until) => until,
            None => leases_end,
        };
        let contact = self.next_contact();
        let mut worker = Worker::new(listed, contact, leases_end);
        if silent_until.is_some() {
            worker.silence_recorded_at = Some(self.acquired_at);
            worker.missed_answers = 1;
        }
        worker
    }

    /// Creates the run that a record names. Whether it was started is not known.
    fn inherited_run(&self, record: &JobRecord, key: &RunKey) -> Run {
        let step = record.step(key.task.step);
        let team = record.submission.team.clone();
        Run {
            // The earlier owner may have slowed it down.
            speed_percent: None,
            image: step.image.clone(),
            ..Run::new(RunPhase::Inherited, team, step.reserved(), step.need, self.acquired_at)
        }
    }

    /// Adds the runs that records place on the worker.
    fn add_inherited_runs(&mut self, worker: &mut Worker) {
        for (key, run) in self.inherited_runs.remove(&worker.listed.id).unwrap_or_default() {
            *self.usage.entry(run.team.clone()).or_default() += run.need;
            worker.add(key, run);
        }
    }
}
