//! What the daemons share: settings, logs, HTTP, and the adapters that carry
//! out the actions of the state machines.
//!
//! - [`settings`]: INI files, checked.
//! - [`shutdown`]: the signal to stop.
//! - [`logging`]: JSON lines.
//! - [`client`]: HTTP calls with a timeout.
//! - [`connection_pool`]: calls to one server over few kept connections.
//! - [`server`]: HTTP service with limits and graceful shutdown.
//! - [`platform`]: adapters for the log, the instance list and the workers.
//! - [`node`]: runs an entry instance.
//! - [`maintenance`]: runs the maintenance process.
//! - [`operator`]: what operators' tools do.
//! - [`routes`]: HTTP routes of an entry instance.
//! - [`api`]: JSON bodies.
//! - [`timeline`]: the events of all processes in one order.
//! - [`metrics`]: Prometheus metrics.

pub mod api;
pub mod client;
pub mod connection_pool;
pub mod logging;
pub mod maintenance;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod platform;
pub mod routes;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod timeline;
