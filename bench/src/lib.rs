//! Stand-ins for the platform, the tour, the checks and the measurements.
//!
//! - [`standin`]: small stand-ins for the log, the instance list and the workers.
//! - [`history`]: what happened, recorded for the checkers.
//! - [`check`]: seeded runs in virtual time.
//! - [`checker`]: one checker per promise; they read the history only.
//! - [`tour`]: the whole path in one process.

pub mod check;
pub mod checker;
pub mod history;
pub mod standin;
pub mod tour;
