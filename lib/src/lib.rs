//! Core library of oriolewall: replicated state, scheduling and maintenance.
//!
//! Everything here is a data type or a deterministic state machine. Nothing does
//! I/O or reads a clock: the caller passes in events and clock readings and
//! carries out the actions that are returned, so that simulations run the same
//! code as the processes. There are two groups of modules. The replicated
//! state of the fleet ([`state`]) is built from a log and used by entry
//! instances ([`entry`]) and the maintenance process ([`maintain`]). The owner
//! of a pool ([`scheduler`]) runs jobs on the platform's workers and stores
//! them in a partitioned log.
//!
//! - [`clock`]: clock readings passed to every state machine.
//! - [`id`]: type aliases for identifiers.
//! - [`setting`]: definitions of the settings in the tree.
//! - [`tree`]: settings tree with inheritance.
//! - [`key`]: callers' keys.
//! - [`ledger`]: slots of teams' caps held by entry instances.
//! - [`member`]: membership of entry instances and ownership of job ids.
//! - [`fleet`]: upstream instances, their pools and disruption permits.
//! - [`wave`]: maintenance waves.
//! - [`record`]: contents of the log: records and snapshot chunks.
//! - [`state`]: the replicated state and the function that applies the log to it.
//! - [`snapshot`]: snapshots of the state, split into chunks.
//! - [`log_sync`]: synchronization of one process with the log.
//! - [`replica`]: replica of the shared state, with the age of its view of the log.
//! - [`platform`]: interfaces to the platform's log, instance list and workers.
//! - [`wire`]: messages between entry instances.
//! - [`job`]: jobs as callers submit them, and their outcomes.
//! - [`queue`]: bounded queues of jobs, one per team.
//! - [`share`]: weighted fair sharing of slots among teams.
//! - [`estimate`]: moving averages of run times and arrival rates.
//! - [`health`]: quarantine of workers on which every job fails.
//! - [`entry`]: state machine of an entry instance.
//! - [`maintain`]: state machine of the maintenance process.
//! - [`event`]: timeline events, ordered by a hybrid logical clock.
//! - [`resources`]: amounts of CPU, memory and accelerators.
//! - [`spec`]: specification of a job with steps and tasks, as submitted by a caller.
//! - [`job_record`]: state of a job as stored in the log.
//! - [`catalog`]: the operators' configuration in effect.
//! - [`pool_history`]: pools that queues have been assigned to.
//! - [`inquiry`]: whether a job is new to all pools that its queue has used.
//! - [`worker`]: what the owner of a pool knows about each worker.
//! - [`run`]: runs that may be taking place on a worker.
//! - [`scheduler`]: state machine of the owner of a pool.
//! - [`order`]: actions of the owner of a pool, and what workers answer to its orders.
//! - [`withdrawal`]: withdrawal of orders that wait to be sent.
//! - [`decision`]: decisions of the owner of a pool, written to the decision log.
//! - [`query`]: read-only queries on an owner's state.
//! - [`quota`]: division of teams' caps among owners.
//! - [`cap_demand`]: what an owner uses and could start of each team's cap.
//! - `cap_division`: parts of a cap in which whole tasks fit.
//! - [`cap_turn`]: whose turn it is to get room under a cap that smaller tasks would take.
//! - [`team_cap`]: what owners claim of a team's cap, and what each of them gets.
//! - [`commit_size`]: limits on the size of an owner's commits.
//! - [`silent_worker`]: log records of workers that do not answer.
//! - [`start_window`]: limit on the runs that an owner starts at the same time.
//! - [`job_order`]: the order in which jobs that wait for a pool are placed.
//! - [`team_share`]: what teams have used of a pool, relative to their weights.
//! - [`held_room`]: room that is kept free for a task that does not fit.
//! - [`quarantine`]: jobs whose records an owner cannot handle.
//! - [`acceptance`]: routes of callers' requests to the log.
//! - [`append_queue`]: requests that share an append to the log.
//! - [`resend`]: when a call to the log is sent again.
//! - [`forecast`]: work that will arrive for a pool.
//! - [`expected_maintenance`]: workers that will be emptied for maintenance soon.
//! - `late_work`: waiting work that can no longer meet its objective.
//! - [`peak`]: detection of demand peaks of a pool.
//! - [`demand_pattern`]: what is known of a pool's demand peaks.
//! - [`peak_forecast`]: forecast of the demand peaks of all pools.
//! - [`peak_event`]: events of that forecast.
//! - [`client_budget`]: connections and memory of clients.
//! - [`refusal`]: when callers' requests are refused, and when callers should return.
//! - [`owner_shortage`]: when instances with little CPU own partitions.
//! - [`log_view`]: how current a view of the log is, and how often it is renewed.
//! - `request_view`: what an owner knows of callers' requests.
//! - [`reachability`]: whether the log answers an instance.
//! - [`time_limits`]: time limits of an owner's leases and ownership.
//! - [`tenure`]: whether another owner may have held a partition meanwhile.
//! - [`order_history`]: recent orders of fleet coordinators to instances.
//! - [`run_time`]: run times of similar tasks.
//! - [`interference`]: images that slow down others on the same worker.
//! - [`worker_speed`]: speed and progress of a worker.
//! - [`advice`]: advice on which workers may run a step.
//! - [`balance`]: moves of instances between pools as demand changes.
//! - [`rpc`]: calls between entry instances that own partitions of the log.

pub mod acceptance;
mod admission;
mod adopt;
pub mod advice;
mod allotment;
pub mod append_queue;
pub mod balance;
mod candidate;
pub mod cap_demand;
mod cap_division;
pub mod cap_turn;
pub mod catalog;
pub mod client_budget;
mod client_connection;
pub mod clock;
mod commit;
pub mod commit_size;
mod config;
mod contact;
pub mod decision;
pub mod demand_pattern;
mod dispatch;
pub mod entry;
mod entry_event;
mod entry_state;
pub mod estimate;
pub mod event;
mod eviction;
pub mod expected_maintenance;
pub mod fleet;
pub mod forecast;
pub mod health;
pub mod held_room;
pub mod id;
pub mod inquiry;
pub mod interference;
pub mod job;
pub mod job_order;
pub mod job_record;
pub mod key;
mod late_work;
mod learning;
pub mod ledger;
pub mod log_sync;
pub mod log_view;
pub mod maintain;
pub mod member;
mod moved_queue;
mod neighbors;
pub mod order;
pub mod order_history;
pub mod owner_shortage;
pub mod peak;
pub mod peak_event;
pub mod peak_forecast;
mod peer;
mod placement;
pub mod platform;
mod polling;
pub mod pool_history;
pub mod quarantine;
pub mod query;
pub mod queue;
pub mod quota;
pub mod reachability;
pub mod record;
mod recovery;
pub mod refusal;
pub mod replica;
mod request;
mod request_view;
pub mod resend;
pub mod resources;
pub mod rpc;
pub mod run;
mod run_end;
pub mod run_time;
mod running_task;
pub mod scheduler;
pub mod setting;
pub mod share;
pub mod silent_worker;
pub mod snapshot;
pub mod spec;
pub mod start_window;
pub mod state;
pub mod team_cap;
pub mod team_share;
pub mod tenure;
mod throttle;
pub mod time_limits;
pub mod tree;
mod waiting;
pub mod wave;
pub mod wire;
pub mod withdrawal;
pub mod worker;
mod worker_events;
mod worker_search;
pub mod worker_speed;
