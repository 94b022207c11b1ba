//! Quarantine of jobs that this owner cannot handle.
//!
//! A record or request that cannot be read, or whose application panics, would otherwise end
//! each next owner of the partition as well. The records of such a job stay in the log and none
//! of its tasks is started. Its runs are stopped as those of unknown jobs are, and callers are
//! told that the job cannot be handled.
//!
//! A later build may be able to handle the job. It must not run a task again whose end was
//! acknowledged, so a job of which a run is done meanwhile is marked in the log and stays in
//! quarantine.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use bytes::Bytes;

use crate::job_record::JobKey;
use crate::order::{Action, RunEnd, RunOutcome};
use crate::scheduler::Scheduler;
use crate::worker::{RunKey, RunPhase};

/// Prefix of the keys of marks, which share a topic of the log with the records of jobs.
pub const QUARANTINE_PREFIX: &str = "q/";

impl Scheduler {
    /// Applies a record or a request of a job. If that panics, the job is quarantined and the
    /// panic's message is returned.
    pub fn try_apply<F>(&mut self, id: &JobKey, apply: F) -> Result<(), String>
    where
        F: FnOnce(&mut Scheduler),
    {
        // Whatever was changed for the job is removed by `quarantine`.
        let Err(panic) = catch_unwind(AssertUnwindSafe(|| apply(self))) else {
            return Ok(());
        };
        self.quarantine(id);
        Err(panic_message(&*panic))
    }

    /// Leaves a job out: removes it and stops its runs.
    pub fn quarantine(&mut self, id: &JobKey) {
        self.quarantined_jobs.insert(id.clone());
        self.jobs.remove(id);
        self.open_jobs.remove(id);
        self.dirty_jobs.remove(id);
        self.handed_on.remove(id);
        self.inquiries.remove(id);
        self.advice.retain(|(job, _, _), _| job != id);
        // The requests stay in the log.
        self.read_cancels.remove(id);
        self.processed_submissions.retain(|it| it != id);
        self.processed_cancels.retain(|(job, _)| job != id);
        self.pending_starts.retain(|(_, key)| key.task.job != *id);
        self.actions
            .retain(|it| !matches!(it, Action::Start(start) if start.key.task.job == *id));
        let mut unsent = Vec::new();
        for worker in self.workers.values_mut() {
            for (key, run) in worker.runs.iter_mut().filter(|(key, _)| key.task.job == *id) {
                match run.phase {
                    RunPhase::Intended => unsent.push((worker.listed.id.clone(), RunKey::clone(key))),
                    _ => run.stop(),
                }
            }
        }
        for (worker, key) in unsent {
            self.release_run(&worker, &key);
        }
    }

    /// Whether a job is known and cannot be handled.
    pub fn is_quarantined(&self, id: &JobKey) -> bool {
        self.quarantined_jobs.contains(id)
    }

    /// Marks the job of a run that is done if the job is in quarantine.
    pub(crate) fn mark_quarantined_end(&mut self, end: &RunEnd) {
        let job = &end.key.task.job;
        if end.outcome == RunOutcome::Done && self.is_quarantined(job) {
            self.quarantine_marks.insert(job.clone());
        }
    }

    /// Returns the marks that the next commit writes.
    pub(crate) fn take_quarantine_marks(&mut self) -> Vec<(Arc<str>, Option<Bytes>)> {
        let marks = std::mem::take(&mut self.quarantine_marks).into_iter();
        let record = |id| (Arc::from(format!("{QUARANTINE_PREFIX}{id}")), Some(Bytes::from_static(b"done")));
        marks.map(record).collect()
    }
}

/// Returns the message of a panic; it is empty for one without a text.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or_default().to_owned()
}
