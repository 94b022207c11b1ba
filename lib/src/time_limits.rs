//! Time limits of an owner's leases and ownership.

use std::time::Duration;

use crate::clock::Now;
use crate::scheduler::{MIN_STATUS_INTERVAL, START_EXPIRY};

/// Upper bound of the true time in which a worker's clock advances by one second.
/// The platform guarantees clocks at most 2% slow; the remaining 1% covers rounding.
const SLOWEST_CLOCK: f64 = 1.03;

/// Time beyond its wait after which the answer to a status request is overdue.
pub(crate) const STATUS_OVERDUE_AFTER: Duration = Duration::from_millis(350);
/// Time reserved for a status request that is sent again: a new connection, and the owner's delay.
const STATUS_RESEND_TIME: Duration = Duration::from_millis(250);

/// Time limits for leases, for ownership and for the stopping of tasks.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// Length of the leases that the owner requests.
    pub lease: Duration,
    /// Longest lease that workers grant, whatever is requested.
    pub lease_max: Duration,
    /// Time after the last confirmation of ownership during which runs are started and leases
    /// are renewed.
    pub renewal_window: Duration,
    /// Longest time that a worker takes to stop a task.
    pub stop_time: Duration,
}

impl TimeLimits {
    /// Longest time for which a worker may wait before it answers a request that renews leases. If the
    /// next request is not answered, it is sent again before the leases end that this one renews.
    pub(crate) fn status_wait(&self) -> Duration {
        let reserve = MIN_STATUS_INTERVAL + STATUS_OVERDUE_AFTER + STATUS_RESEND_TIME;
        self.lease.saturating_sub(reserve) / 2
    }

    /// True time after which a lease has ended even on the slowest clock.
    pub(crate) fn lease_upper_bound(&self) -> Duration {
        self.lease.mul_f64(SLOWEST_CLOCK)
    }

    /// The same for the longest lease that a worker grants. It applies where an earlier
    /// incarnation of the worker may have been sent a deadline on another clock.
    pub(crate) fn longest_lease_upper_bound(&self) -> Duration {
        self.lease_max.mul_f64(SLOWEST_CLOCK)
    }

    /// Time from a takeover until leases that earlier owners granted have ended. They renewed
    /// leases, each for at most `lease`, until their renewal window ended.
    pub(crate) fn inherited_leases(&self, lease: Duration) -> Duration {
        self.renewal_window + lease + START_EXPIRY
    }

    /// Whether an incarnation of a worker is so recent that a renewal for the clock of an earlier
    /// one may have given it the longest lease.
    pub(crate) fn may_have_longest_lease(&self, now: Now, started_ms: u64) -> bool {
        now.wall < Duration::from_millis(started_ms) + 2 * self.longest_lease_upper_bound()
    }
}
