//! In-process replacements for the platform services that entry instances depend on.
//!
//! The log, the instance list and the workers are plain state machines that
//! take the time as an argument, so that the seeded checks can run them in
//! virtual time. Faults can be set on the log and on each worker.
//!
//! - [`log`]: the append-only log.
//! - [`list`]: the instance list, which reports changes after a delay.
//! - [`worker`]: a worker that runs simulated tasks.
//! - [`serve`]: HTTP servers for the three of them.

pub mod list;
pub mod log;
pub mod serve;
pub mod worker;
