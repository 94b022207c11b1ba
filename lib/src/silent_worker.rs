//! What the log keeps of silent workers, so that each new owner of a pool need
//! not wait anew for the longest lease that an earlier one may have granted.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Prefix of the keys of these records among those of jobs.
pub const SILENT_WORKER_PREFIX: &str = "w/";
/// Time between two records of one worker.
const REFRESH: Duration = Duration::from_secs(1);

/// A worker that does not answer and whose leases are not renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentWorker {
    /// Time from the writing of the record in which all that runs there ends, milliseconds.
    pub left_ms: u64,
}

impl Scheduler {
    /// Takes over what an earlier owner recorded of a silent worker. The record is
    /// older than this reading, so the time counts from now at the latest.
    pub fn load_silent_worker(&mut self, now: Now, id: InstanceId, silence: SilentWorker) {
        self.silent_until.insert(id, now.mono + Duration::from_millis(silence.left_ms));
    }

    /// Records to be written of workers that went silent or answer again.
    pub(crate) fn silent_worker_records(&mut self, now: Now) -> Vec<(InstanceId, Option<Bytes>)> {
        let mut records = Vec::new();
        let mut notes = Vec::new();
        for worker in self.workers.values_mut() {
            match owed(worker, now) {
                None => {}
                Some(Owed::Record) => {
                    let left_ms = worker.lease_time_left(now.mono).as_millis() as u64 + 1;
                    let encoded = rmp_serde::to_vec(&SilentWorker { left_ms }).expect("records can be encoded");
                    if worker.silence_recorded_at.is_none() {
                        notes.push(Decision::Silent {
                            worker: worker.listed.id.clone(),
                            runs: worker.runs.len(),
                            left_ms,
                        });
                    }
                    worker.silence_recorded_at = Some(now.mono);
                    records.push((worker.listed.id.clone(), Some(Bytes::from(encoded))));
                }
                Some(Owed::Removal) => {
                    worker.silence_removal_pending = true;
                    records.push((worker.listed.id.clone(), None));
                }
            }
        }
        for note in notes {
            self.log_decision(note);
        }
        records
    }

    /// Whether a commit is owed to silent workers.
    pub(crate) fn silent_worker_records_due(&self, now: Now) -> bool {
        self.workers.values().any(|it| owed(it, now).is_some())
    }
}

/// What the log should be told of a worker.
enum Owed {
    /// That it is silent, and for how long.
    Record,
    /// That it is not silent any more.
    Removal,
}

fn owed(worker: &Worker, now: Now) -> Option<Owed> {
    match worker.is_silent(now.mono) {
        true => {
            let due = worker.silence_recorded_at.is_none_or(|it| it + REFRESH <= now.mono);
            due.then_some(Owed::Record)
        }
        false => {
            let stands = worker.silence_recorded_at.is_some() && !worker.silence_removal_pending;
            stands.then_some(Owed::Removal)
        }
    }
}
