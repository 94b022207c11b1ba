//! Reads the system clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use oriole_daemon::clock;
use oriolewall::clock::Now;

/// Reads the monotonic and the wall clock. The monotonic time also advances while the machine
/// is suspended.
pub(crate) fn now() -> Now {
    Now {
        mono: clock::monotonic(),
        wall: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
    }
}
