//! Stand-ins for the platform, and the checks and measurements that run on them.
//!
//! - [`standin`]: stand-ins for the log, the instance list and the workers.
//! - [`history`]: record of what happened in a run.
//! - [`check`]: simulations in virtual time with faults generated from a seed.
//! - [`checker`]: checks a history for violations of the system's guarantees.
//! - [`measure`]: scenarios that measure the system and its baselines.
//! - [`tour`]: a demonstration of the whole system in one process.

pub mod check;
pub mod checker;
pub mod history;
pub mod measure;
pub mod standin;
pub mod tour;
