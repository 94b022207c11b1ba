//! How current an instance's view of a partition of the log is, and how often it has to be renewed.
//!
//! Failure: an open connection takes a read that waits for records and never answers it, without a
//! reset, while new connections work. Records that are acknowledged meanwhile stay unknown until
//! the read is given up. What hangs on them is promised within a time from their acknowledgement: a
//! job is known, a cancelled job starts nothing, a configuration is in effect. So a read waits less
//! than the promised time, and once its answer is overdue, a second read on a new connection checks
//! the log. The first read goes on, as its answer may only be slow.
//!
//! A read tells what the log held when it was sent, as its answer may arrive much later. One that
//! has waited in vain tells that nothing was added until its wait was over. The next read therefore
//! waits the shorter, the older the view is.
//!
//! An answer holds a page of records at most. One that is cut at the end of a page also tells where the
//! partition ended; the view is as current as that read once the records up to there are known.

use std::time::Duration;

/// Longest time for which a read waits for records. More frequent reads find out sooner that a
/// connection is silent, but every call to the log is paid for.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Shortest time for which a read waits, so that an outdated view does not cause a stream of reads.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Time after the wait at which an answer is overdue. It is far above the log's usual answer time, so
/// that few answers are overdue that are only slow.
const OVERDUE_AFTER: Duration = Duration::from_millis(350);
/// Time reserved for the check: a new connection, a lost answer and what follows from the records.
const CHECK_TIME: Duration = Duration::from_millis(400);
/// Time reserved for an answer to reach the caller through another instance.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Limits of a read that waits for records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// Time for which a read waits for records.
    pub wait: Duration,
    /// Time after which an answer is overdue, including the wait.
    pub overdue_after: Duration,
}

/// View of a partition; all its records up to a monotonic time are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    as_of: Duration,
    /// The first read whose answer was cut, until the records are known that it was cut from.
    cut_read: Option<CutRead>,
}

/// A read whose answer did not hold all records up to the end of the partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CutRead {
    as_of: Duration,
    /// Offset of the end of the partition as of that time.
    end: u64,
}

impl View {
    /// Creates a view that holds as of a time.
    pub fn new(as_of: Duration) -> View {
        View { as_of, cut_read: None }
    }

    /// Monotonic time up to which all records are known.
    pub fn as_of(&self) -> Duration {
        self.as_of
    }

    /// Adds a read that tells all records up to a time.
    pub fn renew(&mut self, as_of: Duration) {
        self.as_of = self.as_of.max(as_of);
    }

    /// Adds a read after which the records before the offset `next` are known of a partition that
    /// ended at `end` as of a time.
    pub fn add_read(&mut self, as_of: Duration, next: u64, end: u64) {
        if let Some(cut_read) = self.cut_read.filter(|it| it.end <= next) {
            self.renew(cut_read.as_of);
            self.cut_read = None;
        }
        if end <= next {
            self.renew(as_of);
        } else {
            self.cut_read.get_or_insert(CutRead { as_of, end });
        }
    }

    /// Limits of the next read. A record is known within the promised time from its acknowledgement
    /// even if that read is never answered.
    pub fn read_limits(&self, now: Duration, promise: Duration) -> ReadLimits {
        let time_left = self.time_left(now, promise);
        let wait = time_left.saturating_sub(OVERDUE_AFTER + CHECK_TIME).clamp(MIN_WAIT, MAX_WAIT);
        // The log waits for whole milliseconds. The end of a longer wait would not be reached.
        let wait = Duration::from_millis(wait.as_millis() as u64);
        ReadLimits {
            wait,
            overdue_after: wait + OVERDUE_AFTER,
        }
    }

    /// Time for which all records are still known that were acknowledged longer ago than promised.
    pub fn time_left(&self, now: Duration, promise: Duration) -> Duration {
        (self.as_of.saturating_add(promise)).saturating_sub(now)
    }

    /// Whether a caller may be told that something does not exist: the answer still holds when it
    /// arrives.
    pub fn may_deny(&self, now: Duration, promise: Duration) -> bool {
        // A short promise leaves a part of its time to the reads.
        ANSWER_TIME.min(promise / 2) <= self.time_left(now, promise)
    }
}
