//! What an owner knows of callers' requests, and for how long it may act on it.

use std::time::Duration;

use crate::clock::Now;
use crate::decision::Decision;
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

    /// Whether no task may be started, as a cancel may be unknown that has to be in effect. Logs when
    /// that begins and ends while there are open jobs.
    pub(crate) fn holds_starts(&mut self, now: Now) -> bool {
        let held = self.cancels_known_for(now).is_zero();
        let open_jobs = self.open_jobs.len();
        if held != self.starts_are_held && (!held || open_jobs != 0) {
            self.starts_are_held = held;
            self.log_decision(Decision::StartsHeld {
                held,
                requests_read_ago_ms: now.mono.saturating_sub(self.requests.as_of()).as_millis() as u64,
                open_jobs,
            });
        }
        held
    }
}
