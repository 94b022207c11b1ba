//! Workers that fail everything, judged together with jobs that fail everywhere.
//!
//! A failed try speaks against the worker only if the job went well elsewhere
//! or other jobs fail there too: one poison job must not quarantine a pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::id::{InstanceId, JobId};

/// Distinct jobs that must fail in a row before a worker is set aside.
const FAILURES_TO_QUARANTINE: usize = 3;
/// First wait before a set-aside worker is probed.
const FIRST_PROBE: Duration = Duration::from_secs(2);
/// Longest wait between probes.
const LAST_PROBE: Duration = Duration::from_secs(60);

/// What is known of the workers of one zone.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    workers: BTreeMap<InstanceId, FailureRecord>,
}

#[derive(Clone, Debug, Default)]
struct FailureRecord {
    /// Distinct jobs that failed here since the last success.
    failed_jobs: SmallVec<[JobId; FAILURES_TO_QUARANTINE]>,
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    backoff: Duration,
    probe_at: Duration,
    probing: bool,
}

impl WorkerHealth {
    /// Notes a success: the worker is well.
    pub fn record_success(&mut self, worker: &InstanceId) {
        self.workers.remove(worker);
    }

    /// Notes a failure. `suspect_jobs` are jobs that have failed on other workers
    /// too; their failures do not count against this one.
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
                backoff: FIRST_PROBE,
                probe_at: now + FIRST_PROBE,
                probing: false,
            });
        }
    }

    /// Forgets a job's failures everywhere, after it proved to fail on any worker.
    pub fn forget_job(&mut self, job: JobId) {
        for record in self.workers.values_mut() {
            record.failed_jobs.retain(|it| *it != job);
        }
    }

    /// Whether a job may be placed on the worker; a due probe takes one job.
    pub fn accepts_jobs(&self, now: Duration, worker: &str) -> bool {
        let quarantine = self.workers.get(worker).and_then(|it| it.quarantine);
        quarantine.is_none_or(|it| !it.probing && it.probe_at <= now)
    }

    /// Notes that a job was placed on the worker.
    pub fn record_placement(&mut self, worker: &str) {
        let quarantine = self.workers.get_mut(worker).and_then(|it| it.quarantine.as_mut());
        if let Some(quarantine) = quarantine {
            quarantine.probing = true;
        }
    }

    /// Notes that a placed job ended without a verdict on the worker.
    pub fn end_probe(&mut self, worker: &str) {
        let quarantine = self.workers.get_mut(worker).and_then(|it| it.quarantine.as_mut());
        if let Some(quarantine) = quarantine {
            quarantine.probing = false;
        }
    }

    /// Workers that are set aside now.
    pub fn quarantined(&self) -> impl Iterator<Item = &InstanceId> {
        self.workers.iter().filter(|(_, it)| it.quarantine.is_some()).map(|(id, _)| id)
    }
}

impl Quarantine {
    fn back_off(&mut self, now: Duration) {
        self.backoff = (self.backoff * 2).min(LAST_PROBE);
        self.probe_at = now + self.backoff;
        self.probing = false;
    }
}
