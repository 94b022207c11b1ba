//! Log records of silent workers, which do not answer and whose leases are not renewed.
//!
//! A record holds the time until all runs on the worker have ended. Without it every new
//! owner would wait again for the longest lease that an earlier one may have renewed.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Prefix of the keys of these records, which share a topic of the log with those of jobs.
pub const SILENT_WORKER_PREFIX: &str = "w/";
/// Time after which the record of a worker that stays silent is written again.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Record of a worker that does not answer and whose leases are not renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentWorker {
    /// Time from the writing of the record until all runs on the worker have ended, milliseconds.
    pub left_ms: u64,
}

impl Scheduler {
    /// Restores the record of a silent worker that an earlier owner wrote. The record was
    /// written before `now`, so counting its time from `now` is safe.
    pub fn load_silent_worker(&mut self, now: Now, id: InstanceId, record: SilentWorker) {
        self.silent_until.insert(id, now.mono + Duration::from_millis(record.left_ms));
    }

    /// Returns the records that are due: a value for workers that are silent, `None` to
    /// remove the record of those that answer again or have no runs left.
    pub(crate) fn silent_worker_records(&mut self, now: Now) -> Vec<(InstanceId, Option<Bytes>)> {
        let mut records = Vec::new();
        let mut decisions = Vec::new();
        for worker in self.workers.values_mut() {
            match due_change(worker, now) {
                None => {}
                Some(RecordChange::Write) => {
                    let left_ms = worker.lease_time_left(now.mono).as_millis() as u64 + 1;
                    let encoded = rmp_serde::to_vec(&SilentWorker { left_ms }).expect("records can be encoded");
                    if worker.silence_recorded_at.is_none() {
                        decisions.push(Decision::Silent {
                            worker: worker.listed.id.clone(),
                            runs: worker.runs.len(),
                            left_ms,
                        });
                    }
                    worker.silence_recorded_at = Some(now.mono);
                    records.push((worker.listed.id.clone(), Some(Bytes::from(encoded))));
                }
                Some(RecordChange::Remove) => {
                    worker.silence_removal_pending = true;
                    records.push((worker.listed.id.clone(), None));
                }
            }
        }
        for decision in decisions {
            self.log_decision(decision);
        }
        records
    }

    /// Whether `silent_worker_records` would return any.
    pub(crate) fn silent_worker_records_due(&self, now: Now) -> bool {
        self.workers.values().any(|it| due_change(it, now).is_some())
    }
}

/// Change to the record of a worker.
enum RecordChange {
    /// Write the record, with the time that is left now.
    Write,
    /// Remove the record: the worker is not silent any more.
    Remove,
}

/// The change that is due to the record of a worker, if any.
fn due_change(worker: &Worker, now: Now) -> Option<RecordChange> {
    match worker.is_silent(now.mono) {
        true => {
            let due = worker.silence_recorded_at.is_none_or(|it| it + RECORD_INTERVAL <= now.mono);
            due.then_some(RecordChange::Write)
        }
        false => {
            let is_recorded = worker.silence_recorded_at.is_some() && !worker.silence_removal_pending;
            is_recorded.then_some(RecordChange::Remove)
        }
    }
}
