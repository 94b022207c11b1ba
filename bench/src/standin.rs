//! Small stand-ins for the platform.
//!
//! - [`log`]: the append-only log.
//! - [`list`]: the lagging instance list.
//! - [`worker`]: the workers.
//! - [`http`]: the same over HTTP.

pub mod http;
pub mod list;
pub mod log;
pub mod worker;
