//! Events of a simulation, in the order in which they happen.

use std::time::Duration;

use bytes::Bytes;
use oriolewall::entry::Event;
use oriolewall::id::{InstanceId, Offset};
use oriolewall::maintain;
use oriolewall::platform::WorkerRequest;

use super::{callers, operators};
use crate::check::fault::Fault;

/// Something that happens at one time. Processes are given by index, entry instances
/// also by incarnation.
pub(super) enum SimEvent {
    /// Periodic tick of an entry instance.
    EntryTick(usize, u64),
    /// An event reaches the state machine of an entry instance.
    EntryInput(usize, u64, Event),
    /// Periodic tick of a maintenance process.
    MaintainerTick(usize),
    /// An event reaches the state machine of a maintenance process.
    MaintainerInput(usize, maintain::Event),
    /// A read reaches the log, or is tried again because there were no entries.
    LogRead {
        client: Client,
        from: Offset,
        /// Time until which the log waits for an entry.
        wait_until: Duration,
        /// Monotonic time of the client when it sent the read.
        sent: Duration,
    },
    /// An append reaches the log.
    LogAppend { client: Client, entry: Bytes },
    /// A read reaches the instance list.
    ListRead { client: Client },
    /// A request reaches a worker, or is tried again because the task still runs.
    WorkerCall {
        client: Client,
        /// Id that an entry instance gave the call; zero for a maintenance process.
        id: u64,
        instance: InstanceId,
        request: WorkerRequest,
        /// Monotonic time of the client when it sent the request.
        sent: Duration,
        /// Time until which the worker waits for the end of the task.
        wait_until: Duration,
    },
    /// The next incarnation of an entry instance starts.
    StartEntry(usize),
    /// A fault or an operator's action begins.
    BeginFault(Fault),
    /// A fault ends.
    EndFault(Fault),
    /// The history records how far entry instances have applied the log.
    Sample,
    /// A caller acts.
    Caller(callers::CallerAction),
    /// An operator acts.
    Operator(operators::OperatorAction),
}

/// Process that called the platform or a worker.
#[derive(Clone, Debug)]
pub(super) enum Client {
    /// Index and incarnation of an entry instance.
    Entry(usize, u64),
    /// Index of a maintenance process.
    Maintenance(usize),
}

/// An event in the queue, ordered by time and then by sequence number.
pub(super) struct ScheduledEvent {
    pub(super) at: Duration,
    pub(super) seq: u64,
    pub(super) event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}
