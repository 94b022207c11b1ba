//! Library of the processes `oriole-entry` and `oriole-maintain` and of the
//! operators' tools: settings, logging, HTTP, and the I/O that the state
//! machines of the crate `oriolewall` request. The crates `oriole-platform` and
//! `oriole-fleet` use parts of it.
//!
//! - [`settings`]: settings files in INI format and their validation.
//! - [`shutdown`]: waits for the signal to stop.
//! - [`logging`]: writes log lines as JSON.
//! - [`clock`]: the clock for time limits of calls.
//! - [`client`]: HTTP client with a timeout per call.
//! - [`connection_pool`]: HTTP calls to one server over a limited number of connections.
//! - [`server`]: HTTP server with limits and graceful shutdown.
//! - [`platform`]: clients of the log, the instance list and the workers.
//! - [`node`]: runs an entry instance.
//! - [`maintenance`]: runs the maintenance process.
//! - [`operator`]: reads and changes the shared state for the operators' tools.
//! - [`routes`]: HTTP routes of an entry instance.
//! - [`api`]: JSON bodies of the HTTP API.
//! - [`timeline`]: collects the events of all processes and merges them into one timeline.
//! - [`metrics`]: Prometheus metrics of an entry instance.

pub mod api;
pub mod client;
pub mod clock;
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
