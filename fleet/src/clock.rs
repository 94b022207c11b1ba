//! Reads the system clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriolewall::clock::Now;
use rustix::time::{ClockId, clock_gettime};

/// Reads the monotonic and the wall clock. The monotonic time is `CLOCK_BOOTTIME`,
/// which also advances while the machine is suspended.
pub(crate) fn now() -> Now {
    let mono = clock_gettime(ClockId::Boottime);
    Now {
        mono: Duration::new(mono.tv_sec.max(0) as u64, mono.tv_nsec.max(0) as u32),
        wall: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
    }
}
