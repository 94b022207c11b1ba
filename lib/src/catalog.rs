//! The operators' configuration in effect: queues, pools, teams, evacuated zones
//! and maintenance waves.
//!
//! A catalog is never changed; each new configuration gives a new one.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::id::{InstanceId, PoolId, TeamId, ZoneId};
use crate::job_record::QueueId;
use crate::pool_history::{Address, History};
use crate::resources::Resources;

/// One version of the configuration, with the evacuated zones and waves that are recorded apart
/// from it.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version of the operators' configuration.
    pub version: u64,
    /// Queues, by name.
    pub queues: HashMap<QueueId, Arc<Queue>>,
    /// Pools, by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Teams, by name.
    pub teams: HashMap<TeamId, Team>,
    /// Team of each API key.
    pub keys: HashMap<Arc<str>, TeamId>,
    /// Availability zones in which no tasks may run.
    pub evacuated_zones: BTreeSet<ZoneId>,
    /// Maintenance waves, by number.
    pub waves: BTreeMap<u64, Wave>,
    /// Pools that the queues have been assigned to.
    pub history: Arc<History>,
}

/// A queue that callers submit to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: QueueId,
    /// Host name of its URLs, in lower case.
    pub host: String,
    /// Prefix of the paths of its URLs.
    pub path_prefix: String,
    /// Pool whose workers run its jobs.
    pub pool: PoolId,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Priority of its jobs; lower numbers go first.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Multiple of a job's critical path that its latency objective allows.
    pub slack_factor: f64,
    /// Time that the objective allows in addition, milliseconds.
    pub target_ms: u64,
    /// Whether a worker must be approved by the advice service before it may run a step.
    pub needs_advice: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Whether this is a standby pool: its instances are powered off and run no tasks.
    pub standby: bool,
}

/// Limits of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Weight of the team when capacity is short.
    pub weight: f64,
    /// Maximum resources of its running tasks; zero in a dimension means no limit.
    pub cap: Resources,
}

/// A maintenance wave that operators asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Instances to be taken down for maintenance.
    pub instances: Vec<InstanceId>,
    /// Time in which the whole wave should end, milliseconds.
    pub duration_ms: u64,
    /// Maximum number of instances that may be down for the wave at once.
    pub max_down: u32,
}

impl Queue {
    /// Returns the address under which callers reach the queue.
    pub fn address(&self) -> Address {
        Address::from(format!("{}{}", self.host, self.path_prefix))
    }
}

impl Catalog {
    /// Returns the queue of a URL: among those of the host, the one with the longest prefix of the
    /// path. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let host = host.split(':').next().unwrap_or(host);
        let matches = |it: &&Arc<Queue>| it.host.eq_ignore_ascii_case(host) && path.starts_with(&it.path_prefix);
        self.queues.values().filter(matches).max_by_key(|it| it.path_prefix.len())
    }
}
