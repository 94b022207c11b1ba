//! Stand-ins for the platform, the tour, the checks and the measurements.
//!
//! - [`standin`]: small stand-ins for the log, the instance list and the workers.
//! - [`history`]: what happened, recorded for the checkers.
//! - [`check`]: seeded runs in virtual time.
//! - [`checker`]: one checker per promise; they read the history only.
//! - [`measure`]: scenarios that give the brief's figures.
//! - [`tour`]: the whole path in one process.

pub mod check;
pub mod checker;
pub mod history;
pub mod measure;
pub mod standin;
pub mod tour;
