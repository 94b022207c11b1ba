//! What an owner knows of callers' requests, and for how long it may act on it.

use std::time::Duration;

use crate::clock::Now;
use crate::log_view::View;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Sets the time from the acknowledgement of a cancel after which no task of its job may start.
    pub fn set_cancel_time(&mut self, cancel_time: Duration) {
        self.cancel_time = cancel_time;
    }

    /// Records that all requests have been read that the log held at a monotonic time.
    pub fn requests_read(&mut self, as_of: Duration) {
        self.requests.renew(as_of);
    }

    /// Returns how current the requests are that have been read.
    pub fn requests(&self) -> View {
        self.requests
    }

    /// Time for which no cancel can be in the log that is unknown here and has to be in effect.
    pub(crate) fn cancels_known_for(&self, now: Now) -> Duration {
        self.requests.time_left(now.mono, self.cancel_time)
    }
}
