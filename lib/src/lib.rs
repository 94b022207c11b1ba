//! Decisions of oriolewall: settings tree, caps, shares, placement, ownership
//! and maintenance, as state machines that take the clock as an argument.
//!
//! - [`clock`]: the pair of clocks handed to every decision.
//! - [`id`]: aliases for identifiers.
//! - [`setting`]: names, ranges and units of the settings of the tree.
//! - [`tree`]: settings with inheritance.
//! - [`key`]: callers' keys, kept as hashes.
//! - [`ledger`]: each team's cap, divided into allotments.
//! - [`member`]: entry instances and the ownership of job ids.
//! - [`fleet`]: instances, pools, moves and disruption permits.
//! - [`wave`]: maintenance waves.
//! - [`record`]: what the log carries.
//! - [`state`]: the deterministic apply function over all aggregates.
//! - [`snapshot`]: the state in checksummed chunks.
//! - [`log_client`]: reading and appending, for every process.
//! - [`replica`]: replay of the log and the age of what it has seen.
//! - [`platform`]: ports to the log, the instance list and the workers.
//! - [`wire`]: messages between entry instances.
//! - [`job`]: jobs and their outcomes.
//! - [`queue`]: bounded queues per team.
//! - [`share`]: whose job starts next.
//! - [`estimate`]: measured run times.
//! - [`health`]: workers that fail everything, jobs that fail everywhere.
//! - [`entry`]: the state machine of an entry instance.
//! - [`maintain`]: the state machine of the maintenance process.
//! - [`event`]: the time line of events.
//! - [`resources`]: amounts of processor, memory and accelerators.
//! - [`spec`]: jobs of steps of tasks, as callers ask for them.
//! - [`job_record`]: jobs as the log keeps them.
//! - [`catalog`]: operators' configuration as one immutable value.
//! - [`worker`]: workers as the owner of their pool sees them.
//! - [`scheduler`]: the owner of a pool.
//! - [`order`]: what an owner tells workers and the log, and their answers.
//! - [`decision`]: decisions of an owner, written to the decision log.
//! - [`query`]: read-only queries on an owner's state.
//! - [`quota`]: teams' caps divided among owners.
//! - [`silent_worker`]: log records of workers that do not answer.
//! - [`advice`]: which workers may run a step.
//! - [`balance`]: instances moved between pools as demand moves.
//! - [`rpc`]: calls between entry instances on the platform.

mod admission;
mod adopt;
pub mod advice;
mod allotment;
pub mod balance;
pub mod catalog;
pub mod clock;
mod commit;
mod config;
pub mod decision;
mod dispatch;
pub mod entry;
pub mod estimate;
pub mod event;
mod eviction;
pub mod fleet;
pub mod health;
pub mod id;
pub mod job;
pub mod job_record;
pub mod key;
pub mod ledger;
pub mod log_client;
pub mod maintain;
pub mod member;
pub mod order;
mod peer;
mod placement;
pub mod platform;
pub mod query;
pub mod queue;
pub mod quota;
pub mod record;
mod recovery;
pub mod replica;
pub mod resources;
pub mod rpc;
pub mod scheduler;
pub mod setting;
pub mod share;
pub mod silent_worker;
pub mod snapshot;
pub mod spec;
pub mod state;
mod throttle;
pub mod tree;
pub mod wave;
pub mod wire;
pub mod worker;
mod worker_events;
