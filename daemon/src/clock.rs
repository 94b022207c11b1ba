//! The clock for time limits that hold while a process is paused or its machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Reads `CLOCK_BOOTTIME`, which unlike `std::time::Instant` also advances while the machine is
/// suspended.
pub fn monotonic() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}
