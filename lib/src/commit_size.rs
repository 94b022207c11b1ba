//! Limits on the size of a commit, and what remains of one that exceeds them.
//!
//! Load pattern: the log is down for some seconds while hundreds of jobs change, or an owner takes
//! over with thousands of waiting jobs. The records of all changed jobs exceed what the log takes in
//! one call, and a call that is too large is refused however often it is repeated. Such a commit is
//! made in parts. Each part holds whole records, so a crash between two parts leaves each job in a
//! state that the job had. A run is started after the part with its job, and the ends of runs are
//! acknowledged to workers after the last part: the next owner gets those of jobs that were not
//! recorded from the workers again.

use std::collections::VecDeque;
use std::time::Duration;

use crate::id::InstanceId;
use crate::job_record::JobKey;

/// Bytes of a record besides its key and value: its length and that of the key.
const RECORD_OVERHEAD: usize = 5;
/// Bytes that one task takes in the record of a job, with the name of a worker of 24 bytes and
/// without a checkpoint.
const TASK_BYTES: usize = 48;

/// Largest record and call that the log takes, bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitLimits {
    /// Limit of a record with its key.
    pub record_bytes: usize,
    /// Limit of all records of a call.
    pub call_bytes: usize,
}

impl Default for CommitLimits {
    fn default() -> CommitLimits {
        CommitLimits {
            record_bytes: 262_144,
            call_bytes: 2_097_152,
        }
    }
}

impl CommitLimits {
    /// Whether a record may be written.
    pub fn allows_record(&self, key: &str, value_bytes: usize) -> bool {
        1 + key.len() + value_bytes <= self.record_bytes
    }

    /// Whether the record of a job stays within the limit while its tasks are placed. `bytes` is
    /// the size of its submission.
    pub fn allows_job(&self, bytes: usize, tasks: usize) -> bool {
        bytes.saturating_add(TASK_BYTES.saturating_mul(tasks)) <= self.record_bytes
    }
}

/// Bytes that a record takes in a call.
pub fn record_size(key: &str, value_bytes: usize) -> usize {
    RECORD_OVERHEAD + key.len() + value_bytes
}

/// What remains of a commit that is made in parts.
#[derive(Debug, Default)]
pub(crate) struct Remainder {
    /// Jobs that had changed when the first part was made and are not recorded yet.
    pub(crate) jobs: VecDeque<JobKey>,
    /// Last ended run of each worker that is recorded with the last part, and the start of the
    /// incarnation that listed it.
    pub(crate) ended_runs: Vec<(InstanceId, u64, u64)>,
    /// When the first part was made.
    pub(crate) since: Duration,
}

impl Remainder {
    /// Whether the last part has been made.
    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.ended_runs.is_empty()
    }
}
