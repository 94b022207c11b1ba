//! When instances with little CPU own partitions in place of larger ones.
//!
//! It answers the loss of most larger instances: small ones step in, so that the pools go on, and
//! give their partitions back once there are enough larger members, as a pool in its turn needs
//! more CPU than a small instance has.

use std::time::Duration;

/// Number of owners below which small instances step in, and number of larger ones from which
/// they give their partitions back. Three tolerate the loss of one of three availability zones
/// and of one more owner.
const MIN_OWNERS: usize = 3;

/// Numbers of instances that own partitions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// Instances with enough CPU for a pool in its turn.
    pub large: usize,
    /// All others.
    pub small: usize,
}

/// A condition on the owners that has to hold for some time. A single reading proves nothing:
/// members that have ended stay listed for a while, and the group changes in several steps.
#[derive(Debug)]
pub struct Condition {
    hold_time: Duration,
    since: Option<Duration>,
}

impl Condition {
    /// Creates a condition that has to hold for `hold_time`.
    pub fn new(hold_time: Duration) -> Condition {
        Condition { hold_time, since: None }
    }

    /// Whether there have been too few owners for the time, so that a small instance steps in.
    pub fn calls_for_step_in(&mut self, now: Duration, owners: Census) -> bool {
        self.holds(now, owners.large + owners.small < MIN_OWNERS)
    }

    /// Whether there have been enough larger owners for the time, so that a small instance gives
    /// its partitions back. It is not called for again by the loss of the small ones.
    pub fn calls_for_return(&mut self, now: Duration, owners: Census) -> bool {
        self.holds(now, MIN_OWNERS <= owners.large)
    }

    /// Whether the condition held at the last reading.
    pub fn is_counting(&self) -> bool {
        self.since.is_some()
    }

    /// Forgets what was seen, as while the owners cannot be read.
    pub fn reset(&mut self) {
        self.since = None;
    }

    fn holds(&mut self, now: Duration, condition: bool) -> bool {
        if !condition {
            self.since = None;
            return false;
        }
        *self.since.get_or_insert(now) + self.hold_time <= now
    }
}
