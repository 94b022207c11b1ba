//! What happened, recorded by stand-ins, callers and operators for the checkers.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use oriolewall::id::{Attempt, JobId};
use oriolewall::state::State;
use serde::{Deserialize, Serialize};

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEvent {
    /// When, milliseconds of the history's own clock.
    pub at_ms: u64,
    /// The job, if it concerns one.
    pub job: Option<JobId>,
    /// The try, if it concerns one.
    pub attempt: Attempt,
    /// What happened.
    pub kind: EventKind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// A caller submitted a job.
    Invoke {
        /// Team of the key.
        team: String,
        /// The key.
        key: String,
        /// Whether the job may run once only.
        once: bool,
    },
    /// A caller was answered.
    Answer {
        /// `done`, `failed`, `not_run` or `unknown`.
        outcome: String,
        /// The body.
        body: String,
    },
    /// A caller's request was cut: no answer at all.
    Cut {
        /// Whether the entry was being stopped on purpose.
        planned: bool,
    },
    /// A worker started a task.
    Start {
        /// Team that the task counts for.
        team: String,
        /// Zone of the worker.
        zone: String,
        /// The worker.
        worker: String,
        /// Whether the job may run once only.
        once: bool,
    },
    /// A worker ended a task.
    End {
        /// Whether it ran to its end.
        whole: bool,
    },
    /// The log accepted a cap.
    Cap {
        /// The team.
        team: String,
        /// Slots.
        slots: u64,
    },
    /// The log accepted a zone's state.
    Zone {
        /// The zone.
        zone: String,
        /// Whether it takes work.
        open: bool,
    },
    /// The log accepted a key's withdrawal.
    Withdraw {
        /// The key.
        key: String,
    },
    /// An upstream began to depart.
    Depart {
        /// The worker.
        worker: String,
    },
    /// An upstream serves again.
    Return {
        /// The worker.
        worker: String,
    },
    /// A process shows the version of a setting it has in force.
    Seen {
        /// The process.
        process: String,
        /// Next offset of its replica.
        offset: u64,
        /// Whether it can reach the log or a fresh peer.
        reachable: bool,
    },
    /// The log accepted a change.
    Accepted {
        /// Its offset.
        offset: u64,
    },
    /// The pools that hold an instance, as recorded at an offset.
    Pools {
        /// The instance.
        worker: String,
        /// The pools.
        pools: Vec<String>,
    },
    /// A pool's disruptions, as recorded at an offset.
    Budget {
        /// The pool.
        pool: String,
        /// Instances under a permit.
        permits: usize,
        /// Instances down, suspect or under a permit.
        disrupted: usize,
        /// Instances allowed.
        budget: usize,
        /// Whether the latest change granted a permit.
        granted: bool,
    },
}

/// A shared history.
#[derive(Clone, Debug, Default)]
pub struct History {
    events: Arc<Mutex<Vec<HistoryEvent>>>,
}

impl History {
    /// Adds an entry.
    pub fn push(&self, entry: HistoryEvent) {
        self.lock().push(entry);
    }

    /// Adds an entry that concerns no single job.
    pub fn record(&self, at_ms: u64, kind: EventKind) {
        self.push(HistoryEvent {
            at_ms,
            job: None,
            attempt: 0,
            kind,
        });
    }

    /// Adds an entry that concerns a job.
    pub fn record_for_job(&self, at_ms: u64, job: JobId, kind: EventKind) {
        self.push(HistoryEvent {
            at_ms,
            job: Some(job),
            attempt: 0,
            kind,
        });
    }

    /// All entries in time order; entries of one instant keep their order.
    pub fn events(&self) -> Vec<HistoryEvent> {
        let mut events = self.lock().clone();
        events.sort_by_key(|it| it.at_ms);
        events
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<HistoryEvent>> {
        // A panic elsewhere leaves whole entries behind.
        self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Notes pools and budgets of a state.
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
