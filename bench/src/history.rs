//! History of a run, in which workers, callers and operators record what happened.
//!
//! Checkers and reports read only the history, never the state of the processes
//! under test.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use oriolewall::id::{Attempt, JobId};
use oriolewall::state::State;
use serde::{Deserialize, Serialize};

/// An event of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEvent {
    /// Time of the event, milliseconds on the clock of the history.
    pub at_ms: u64,
    /// Job that the event concerns; `None` if it concerns no single job.
    pub job: Option<JobId>,
    /// Attempt that the event concerns; zero if it concerns no single attempt.
    pub attempt: Attempt,
    /// What happened, with the details.
    pub kind: EventKind,
}

/// What happened in an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// A caller submitted a job.
    Invoke {
        /// Team that the key belongs to.
        team: String,
        /// Id of the key that the job was submitted with.
        key: String,
        /// Whether the job must not be started more than once.
        once: bool,
    },
    /// A caller received the outcome of its job.
    Answer {
        /// `done`, `failed`, `not_run` or `unknown`.
        outcome: String,
        /// Body of the answer if `done`; may hold the reason otherwise.
        body: String,
    },
    /// The connection of a caller's request broke before it was answered.
    Cut {
        /// Whether the cause was a graceful stop of the entry instance.
        planned: bool,
    },
    /// A worker started a task.
    Start {
        /// Team that the start request named.
        team: String,
        /// Availability zone of the worker.
        zone: String,
        /// Id of the worker.
        worker: String,
        /// Whether the job must not be started more than once.
        once: bool,
    },
    /// A task on a worker ended.
    End {
        /// Whether it ran to completion; false if it was stopped, lost in a crash, or its
        /// lease expired.
        whole: bool,
    },
    /// A change to a team's cap was accepted.
    Cap {
        /// Path of the team.
        team: String,
        /// Cap in effect from now on, in slots.
        slots: u64,
    },
    /// A change to the state of a zone was accepted.
    Zone {
        /// Name of the zone.
        zone: String,
        /// Whether tasks may be started in the zone.
        open: bool,
    },
    /// The withdrawal of a key was accepted.
    Withdraw {
        /// Id of the key.
        key: String,
    },
    /// An upstream instance began to leave service.
    Depart {
        /// Id of the instance.
        worker: String,
    },
    /// An upstream instance returned to service.
    Return {
        /// Id of the instance.
        worker: String,
    },
    /// A process reported how far it has applied the log.
    Seen {
        /// Member id of the process, which differs between its incarnations.
        process: String,
        /// Offset of the next log entry that its replica will apply.
        offset: u64,
        /// Whether the process could read the log; only then must it be up to date.
        reachable: bool,
    },
    /// The log stored an entry.
    Accepted {
        /// Offset of the log entry.
        offset: u64,
    },
    /// The pools of an instance, recorded after a change to the fleet.
    Pools {
        /// Id of the instance.
        worker: String,
        /// Pools that contain the instance.
        pools: Vec<String>,
    },
    /// The disruptions in a pool, recorded after a change to the fleet.
    Budget {
        /// Name of the pool.
        pool: String,
        /// Number of instances under a permit.
        permits: usize,
        /// Number of instances that are down, suspect or under a permit.
        disrupted: usize,
        /// Number of instances that may be disrupted at once.
        budget: usize,
        /// Whether the change granted a permit, in this or another pool.
        granted: bool,
    },
}

/// A history to which several recorders append; clones share the events.
#[derive(Clone, Debug, Default)]
pub struct History {
    events: Arc<Mutex<Vec<HistoryEvent>>>,
}

impl History {
    /// Appends an event.
    pub fn push(&self, event: HistoryEvent) {
        self.lock().push(event);
    }

    /// Appends an event that concerns no single job.
    pub fn record(&self, at_ms: u64, kind: EventKind) {
        self.push(HistoryEvent {
            at_ms,
            job: None,
            attempt: 0,
            kind,
        });
    }

    /// Appends an event that concerns a job but no single attempt.
    pub fn record_for_job(&self, at_ms: u64, job: JobId, kind: EventKind) {
        self.push(HistoryEvent {
            at_ms,
            job: Some(job),
            attempt: 0,
            kind,
        });
    }

    /// Returns all events by time; those of the same time stay in the order of recording.
    pub fn events(&self) -> Vec<HistoryEvent> {
        let mut events = self.lock().clone();
        events.sort_by_key(|it| it.at_ms);
        events
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<HistoryEvent>> {
        // A recorder that panicked leaves no partial event, so a poisoned lock is usable.
        self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Records the pool of every instance, and the disruptions and budget of every pool.
pub fn record_fleet(history: &History, at_ms: u64, state: &State, granted: bool) {
    let mut pools = BTreeSet::new();
    for (id, instance) in state.fleet.iter() {
        pools.insert(instance.pool.clone());
        let kind = EventKind::Pools {
            worker: id.to_string(),
            pools: vec![instance.pool.to_string()],
        };
        history.record(at_ms, kind);
    }
    for pool in pools {
        let permits = state.fleet.iter().filter(|(_, it)| it.pool == pool && it.permit.is_some()).count();
        let disrupted = state.fleet.disrupted_count(&pool);
        let budget = state.budget(&pool).limit(state.fleet.pool_size(&pool));
        history.record(
            at_ms,
            EventKind::Budget {
                pool: pool.to_string(),
                permits,
                disrupted,
                budget,
                granted,
            },
        );
    }
}
