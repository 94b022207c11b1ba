//! Workers that will be emptied for maintenance soon.
//!
//! Load pattern: a wave takes half of a pool's workers down, rack by rack, and a step with
//! long-running tasks allows one of them to be away at a time. Each task that is moved to a worker
//! whose own turn comes later has to be moved again, so the last workers of the wave are not empty
//! when its time is over.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Now;
use crate::id::InstanceId;
use crate::scheduler::Scheduler;

/// Time for which an announcement holds. The coordinator repeats it each second, and a wave whose
/// coordinator is replaced goes on within about four.
const VALIDITY: Duration = Duration::from_secs(5);

/// Announced maintenance of workers.
#[derive(Debug, Default)]
pub struct Expected {
    until: HashMap<InstanceId, Duration>,
}

impl Expected {
    /// Records that maintenance of these workers is expected.
    pub fn announce<I>(&mut self, now: Duration, workers: I)
    where
        I: IntoIterator<Item = InstanceId>,
    {
        self.until.retain(|_, until| now < *until);
        self.until.extend(workers.into_iter().map(|it| (it, now + VALIDITY)));
    }

    /// Whether maintenance of a worker is expected.
    pub fn contains(&self, now: Duration, worker: &InstanceId) -> bool {
        self.until.get(worker).is_some_and(|until| now < *until)
    }
}

impl Scheduler {
    /// Places long-running tasks on other workers than these, if there are some, as these will be
    /// emptied for maintenance.
    pub fn expect_maintenance(&mut self, now: Now, workers: Vec<InstanceId>) {
        self.expected_maintenance.announce(now.mono, workers);
    }
}
