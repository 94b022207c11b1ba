//! What the owner of a pool takes over from the log and from the list of workers.

use std::collections::HashSet;
use std::sync::Arc;

use crate::clock::Now;
use crate::id::{InstanceId, PoolId};
use crate::job_record::{JobKey, JobPhase, JobRecord, TaskState};
use crate::resources::Resources;
use crate::scheduler::{START_EXPIRY, Scheduler, TrackedJob, task_keys};
use crate::worker::{ListedWorker, Run, RunKey, RunPhase, Worker};

impl Scheduler {
    /// Takes a job over from the log. To be called for all jobs before workers are set.
    pub fn load_job(&mut self, id: JobKey, record: JobRecord) {
        if record.phase == JobPhase::Open {
            self.open_jobs.insert(id.clone());
        }
        // What was started for a job that has ended may go on until its worker answers or its lease ends.
        for (task, position) in task_keys(&id, &record) {
            let state = &record.tasks[position];
            if let TaskState::Placed(worker) = &state.state {
                let key = RunKey { task, run: state.run };
                let run = self.placed_before(&record, &key);
                self.inherited_runs.entry(worker.clone()).or_default().push((key, run));
            }
        }
        let logged_phase = record.phase;
        self.jobs.insert(
            id,
            TrackedJob {
                record,
                logged_phase,
                is_logged: true,
            },
        );
    }

    /// Sets the workers that the platform lists for these pools.
    pub fn set_workers(&mut self, now: Now, listed: Vec<ListedWorker>) {
        let mut gone: HashSet<InstanceId> = self.workers.keys().cloned().collect();
        for line in listed {
            gone.remove(&line.id);
            let Some(worker) = self.workers.get_mut(&line.id) else {
                let mut worker = self.known_before(line.clone());
                self.inherit(&mut worker);
                self.workers.insert(line.id, worker);
                continue;
            };
            worker.is_listed = true;
            // A worker known only from records may be in any of its lives.
            let was_known = worker.listed.started_ms != 0;
            if was_known && worker.listed.started_ms < line.started_ms {
                let lost = worker.start_incarnation(line.started_ms, now.mono + self.limits.longest_lease_upper_bound());
                worker.listed = line.clone();
                self.requeue_lost_runs(&line.id, lost, "reborn");
            } else if !was_known || worker.listed.started_ms == line.started_ms {
                worker.listed = line;
            }
        }
        for id in gone {
            let worker = self.workers.get_mut(&id).expect("names come from the map");
            worker.is_listed = false;
            if worker.runs.is_empty() && !worker.status_requested && worker.silence_recorded_at.is_none() {
                self.workers.remove(&id);
            }
        }
        self.inherit_unlisted();
    }

    /// Workers named by records but not listed: their runs may go on until the leases end.
    fn inherit_unlisted(&mut self) {
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
            let mut worker = self.known_before(listed);
            worker.is_listed = false;
            self.inherit(&mut worker);
            self.workers.insert(id, worker);
        }
    }

    /// A worker on which an earlier owner may have started something.
    fn known_before(&self, listed: ListedWorker) -> Worker {
        // The earlier owner renewed leases until its own term ended, unless it
        // had recorded that the worker was silent.
        let renewed = self.acquired_at + self.limits.renewal_window + self.limits.lease_upper_bound() + START_EXPIRY;
        let silent = self.silent_until.get(&listed.id);
        let mut worker = Worker::new(listed, silent.map_or(renewed, |it| renewed.min(*it)));
        if silent.is_some() {
            worker.silence_recorded_at = Some(self.acquired_at);
            worker.missed_answers = 1;
        }
        worker
    }

    /// A run that a record names, as far as the record tells.
    fn placed_before(&self, record: &JobRecord, key: &RunKey) -> Run {
        let step = record.step(key.task.step);
        let team = record.submission.team.clone();
        Run::new(RunPhase::Inherited, team, step.reserved(), step.need, self.acquired_at)
    }

    /// Adds the runs that records place on a worker.
    fn inherit(&mut self, worker: &mut Worker) {
        for (key, run) in self.inherited_runs.remove(&worker.listed.id).unwrap_or_default() {
            *self.usage.entry(run.team.clone()).or_default() += run.need;
            worker.add(key, run);
        }
    }
}
