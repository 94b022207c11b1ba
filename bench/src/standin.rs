//! Small stand-ins for the platform.
//!
//! - [`log`]: the append-only log.
//! - [`list`]: the lagging instance list.
//! - [`worker`]: the workers.
//! - [`serve`]: the same over HTTP.

pub mod list;
pub mod log;
pub mod serve;
pub mod worker;
