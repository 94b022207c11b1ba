//! Operators' configuration as every process holds it: one immutable value.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::id::{InstanceId, PoolId, TeamId, ZoneId};
use crate::job_record::QueueId;
use crate::resources::Resources;

/// A version of the configuration with what stands beside it.
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
    /// Team of each key.
    pub keys: HashMap<Arc<str>, TeamId>,
    /// Availability zones that are out.
    pub evacuated_zones: BTreeSet<ZoneId>,
    /// Maintenance waves, by number.
    pub waves: BTreeMap<u64, Wave>,
}

/// A queue that callers submit to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: QueueId,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Path that its calls begin with.
    pub path_prefix: String,
    /// Pool whose workers run its jobs.
    pub pool: PoolId,
    /// Pools that it fed before, as far as this process has seen.
    pub former_pools: Vec<PoolId>,
    /// Whether it takes jobs without a key.
    pub is_public: bool,
    /// Urgency; zero goes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// The objective, as a multiple of a job's longest chain.
    pub slack_factor: f64,
    /// Time added to the objective, milliseconds.
    pub target_ms: u64,
    /// Whether each step needs advice on the workers that may run it.
    pub needs_advice: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Whether its instances are powered off.
    pub standby: bool,
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its share when all is full.
    pub weight: f64,
    /// The most it may have running; zero in a dimension means no limit.
    pub cap: Resources,
}

/// A maintenance wave that operators asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Instances to be maintained.
    pub instances: Vec<InstanceId>,
    /// Time for the whole wave, milliseconds.
    pub duration_ms: u64,
    /// Most instances down for it at once.
    pub max_down: u32,
}

impl Catalog {
    /// The queue with the longest prefix of a path at a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |it: &&Arc<Queue>| it.host.eq_ignore_ascii_case(host) && path.starts_with(&it.path_prefix);
        self.queues.values().filter(fits).max_by_key(|it| it.path_prefix.len())
    }
}
