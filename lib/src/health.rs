//! Quarantine of workers on which every job fails.
//!
//! A worker is quarantined after several different jobs have failed on it in a row.
//! A job that has also failed on other workers does not count, because one poison
//! job must not quarantine a whole pool. A quarantined worker is probed with one job
//! at a time, at growing intervals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::id::{InstanceId, JobId};

/// Different jobs that must fail in a row before a worker is quarantined.
const FAILURES_TO_QUARANTINE: usize = 3;
/// Wait before the first probe of a quarantined worker.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Longest wait between probes.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Failures and quarantines of the workers of one zone.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    workers: BTreeMap<InstanceId, FailureRecord>,
}

#[derive(Clone, Debug, Default)]
struct FailureRecord {
    /// Different jobs that failed on the worker since its last success.
    failed_jobs: SmallVec<[JobId; FAILURES_TO_QUARANTINE]>,
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    /// Wait before the next probe; doubles with each failure.
    backoff: Duration,
    probe_at: Duration,
    /// A probe is running; no other job is placed meanwhile.
    probing: bool,
}

impl WorkerHealth {
    /// Records a successful task, which ends a quarantine.
    pub fn record_success(&mut self, worker: &InstanceId) {
        self.workers.remove(worker);
    }

    /// Records a failed task. Failures of `suspect_jobs`, which have failed before, do
    /// not lead to quarantine, but any failure of a quarantined worker extends it.
    pub fn record_failure(&mut self, now: Duration, worker: &InstanceId, job: JobId, suspect_jobs: &BTreeSet<JobId>) {
        let record = self.workers.entry(worker.clone()).or_default();
        if let Some(quarantine) = &mut record.quarantine {
            quarantine.back_off(now);
            return;
        }
        if suspect_jobs.contains(&job) || record.failed_jobs.contains(&job) {
            return;
        }
        record.failed_jobs.push(job);
        if FAILURES_TO_QUARANTINE <= record.failed_jobs.len() {
            record.quarantine = Some(Quarantine {
                backoff: INITIAL_BACKOFF,
                probe_at: now + INITIAL_BACKOFF,
                probing: false,
            });
        }
    }

    /// Removes a job's failures from all workers, once it has failed on several and
    /// the job itself is taken to be the cause.
    pub fn forget_job(&mut self, job: JobId) {
        for record in self.workers.values_mut() {
            record.failed_jobs.retain(|it| *it != job);
        }
    }

    /// Whether a job may be placed on the worker: it is not quarantined, or a probe is
    /// due and none is running.
    pub fn accepts_jobs(&self, now: Duration, worker: &str) -> bool {
        let quarantine = self.workers.get(worker).and_then(|it| it.quarantine);
        quarantine.is_none_or(|it| !it.probing && it.probe_at <= now)
    }

    /// Records that a job was placed on the worker; in quarantine, it is the probe.
    pub fn record_placement(&mut self, worker: &str) {
        let quarantine = self.workers.get_mut(worker).and_then(|it| it.quarantine.as_mut());
        if let Some(quarantine) = quarantine {
            quarantine.probing = true;
        }
    }

    /// Ends a probe whose job gave no result about the worker.
    pub fn end_probe(&mut self, worker: &str) {
        let quarantine = self.workers.get_mut(worker).and_then(|it| it.quarantine.as_mut());
        if let Some(quarantine) = quarantine {
            quarantine.probing = false;
        }
    }

    /// Workers that are in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = &InstanceId> {
        self.workers.iter().filter(|(_, it)| it.quarantine.is_some()).map(|(id, _)| id)
    }
}

impl Quarantine {
    fn back_off(&mut self, now: Duration) {
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.probe_at = now + self.backoff;
        self.probing = false;
    }
}
