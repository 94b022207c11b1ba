//! Upstream instances, their pools, and permits to disrupt them.
//!
//! An instance's pool is a field of [`Instance`] that changes only if the
//! author of the change had read its current epoch, so an instance is in exactly
//! one pool at every offset. A permit is granted only if the pool's availability
//! budget allows one more disruption at the record's offset, whatever its author
//! had read before.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{InstanceId, Offset, PoolId, RackId, ZoneId};
use crate::setting::Budget;

/// State of one upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack: the failure domain within the zone.
    pub rack: RackId,
    /// Current pool; the instance is in no other.
    pub pool: PoolId,
    /// Identifies the instance's stay in its pool: the offset at which it was
    /// added, plus one for each move. Task starts carry it.
    pub epoch: u64,
    /// Address to which task requests are sent.
    pub addr: SocketAddr,
    /// Number of tasks that it runs at once.
    pub slots: u32,
    /// Health as last recorded.
    pub health: Health,
    /// Permit of the disruption in progress, if any.
    pub permit: Option<Permit>,
    /// Offset at which its last maintenance finished; zero if there was none.
    pub maintained: Offset,
    /// Time at which its last maintenance finished, milliseconds since the Unix
    /// epoch; zero if there was none.
    pub maintained_ms: u64,
}

/// Recorded health of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// In service.
    Up,
    /// The tasks it starts fail; under observation.
    Suspect,
    /// Missing from the platform's instance list.
    Down,
}

/// Permission to disrupt an instance, and the progress of the disruption.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Offset of the record that granted it.
    pub offset: Offset,
    /// Operator or process that requested it.
    pub author: String,
    /// Reason for the disruption; decides what follows the drain.
    pub purpose: Purpose,
    /// Current phase of the disruption.
    pub phase: Phase,
}

/// Reason for a disruption, which decides what follows the drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Drain and keep out of service until released.
    Hold,
    /// Drain, reboot, probe, and return to service.
    Maintain,
    /// Drain, then join another pool.
    Move {
        /// Pool to join.
        to: PoolId,
    },
}

/// Recorded phase of a disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No new tasks are started; running tasks continue.
    Draining,
    /// No task is running.
    Drained,
    /// To be rebooted, or rebooting.
    Rebooting,
    /// Answering again after the reboot; checked before it returns to service.
    Probing,
}

/// All upstream instances, indexed by pool and zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    instances: BTreeMap<InstanceId, Instance>,
    /// Index of the instances by pool and zone, because placement and budgets
    /// consider one pool at a time.
    pools: BTreeMap<PoolId, BTreeMap<ZoneId, BTreeSet<InstanceId>>>,
}

/// Why a change to the fleet was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// No instance has this name.
    #[error("no instance {id}")]
    Unknown {
        /// Name that was given.
        id: InstanceId,
    },
    /// An instance with this name exists already.
    #[error("instance {id} exists in pool {pool}")]
    Exists {
        /// Name of the instance.
        id: InstanceId,
        /// Pool of the existing instance.
        pool: PoolId,
    },
    /// The instance was moved or replaced since the author had read its epoch.
    #[error("instance {id} is at epoch {found} in pool {pool}, not at {expected}")]
    Epoch {
        /// Name of the instance.
        id: InstanceId,
        /// Epoch that the author had read.
        expected: u64,
        /// Current epoch.
        found: u64,
        /// Current pool.
        pool: PoolId,
    },
    /// The pool's availability budget allows no further disruption.
    #[error("pool {pool}: {used} of {budget} disruptions in use")]
    Budget {
        /// Pool whose budget is used up.
        pool: PoolId,
        /// Other instances of the pool that are down, suspect or under a permit.
        used: usize,
        /// Instances that may be disrupted at once.
        budget: usize,
    },
    /// The instance is under a permit already.
    #[error("instance {id} is under a permit of {author}")]
    Busy {
        /// Name of the instance.
        id: InstanceId,
        /// Operator or process that requested the permit in force.
        author: String,
    },
    /// The instance is under no permit, or the permit is not in the phase that the change needs.
    #[error("instance {id} is not in the phase for this change")]
    Phase {
        /// Name of the instance.
        id: InstanceId,
    },
}

impl Fleet {
    /// Adds an instance, in the pool that it names.
    pub fn add(&mut self, id: &InstanceId, instance: Instance) -> Result<(), Error> {
        if let Some(found) = self.instances.get(id) {
            return Err(Error::Exists {
                id: id.clone(),
                pool: found.pool.clone(),
            });
        }
        self.add_to_index(id, &instance.pool, &instance.zone);
        self.instances.insert(id.clone(), instance);
        Ok(())
    }

    /// Removes an instance that is still at the expected epoch.
    pub fn remove(&mut self, id: &InstanceId, epoch: u64) -> Result<(), Error> {
        let (pool, zone) = {
            let instance = self.get_at_epoch(id, epoch)?;
            (instance.pool.clone(), instance.zone.clone())
        };
        self.remove_from_index(id, &pool, &zone);
        self.instances.remove(id);
        Ok(())
    }

    /// Records the health of an instance. Failures are recorded whatever the budget.
    pub fn observe(&mut self, id: &InstanceId, health: Health) -> Result<(), Error> {
        let instance = self.get_mut(id)?;
        instance.health = health;
        Ok(())
    }

    /// Grants a permit if the pool then has no more disrupted instances than its budget allows.
    ///
    /// An instance that is down or suspect already counts only once.
    pub fn permit(&mut self, id: &InstanceId, epoch: u64, permit: Permit, budget: Budget) -> Result<(), Error> {
        let instance = self.get_at_epoch(id, epoch)?;
        if let Some(found) = &instance.permit {
            return Err(Error::Busy {
                id: id.clone(),
                author: found.author.clone(),
            });
        }
        let pool = instance.pool.clone();
        let counted_already = usize::from(instance.health != Health::Up);
        let used = self.disrupted_count(&pool) - counted_already;
        let allowed = budget.limit(self.pool_size(&pool));
        if allowed <= used {
            return Err(Error::Budget {
                pool,
                used,
                budget: allowed,
            });
        }
        self.get_mut(id)?.permit = Some(permit);
        Ok(())
    }

    /// Advances a disruption from phase `from` to phase `to`.
    pub fn advance(&mut self, id: &InstanceId, from: Phase, to: Phase) -> Result<(), Error> {
        let permit = self.get_mut(id)?.permit.as_mut();
        let permit = permit.filter(|it| it.phase == from);
        let permit = permit.ok_or_else(|| Error::Phase { id: id.clone() })?;
        permit.phase = to;
        Ok(())
    }

    /// Completes a disruption and applies its purpose.
    ///
    /// A move changes the pool, and maintenance records its end and marks the instance as up.
    pub fn release(&mut self, id: &InstanceId, offset: Offset, wall_ms: u64) -> Result<(), Error> {
        let instance = self.get_mut(id)?;
        let permit = instance.permit.take();
        let permit = permit.ok_or_else(|| Error::Phase { id: id.clone() })?;
        match permit.purpose {
            Purpose::Hold => {}
            Purpose::Maintain => {
                instance.maintained = offset;
                instance.maintained_ms = wall_ms;
                instance.health = Health::Up;
            }
            Purpose::Move { to } => {
                let from = std::mem::replace(&mut instance.pool, to.clone());
                instance.epoch += 1;
                let zone = instance.zone.clone();
                self.remove_from_index(id, &from, &zone);
                self.add_to_index(id, &to, &zone);
            }
        }
        Ok(())
    }

    /// Cancels a disruption; the instance stays in its pool.
    pub fn abandon(&mut self, id: &InstanceId) -> Result<(), Error> {
        let instance = self.get_mut(id)?;
        let permit = instance.permit.take();
        permit.map(drop).ok_or_else(|| Error::Phase { id: id.clone() })
    }

    /// The instance with this name.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// All instances in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        self.instances.iter()
    }

    /// Number of instances in a pool.
    pub fn pool_size(&self, pool: &str) -> usize {
        self.in_pool(pool).count()
    }

    /// Number of instances of a pool that are down, suspect or under a permit.
    pub fn disrupted_count(&self, pool: &str) -> usize {
        self.in_pool(pool).filter(|(_, it)| it.is_disrupted()).count()
    }

    /// Names of all pools that have at least one instance.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Instances of one pool, by zone and name.
    pub fn in_pool<'a>(&'a self, pool: &str) -> impl Iterator<Item = (&'a InstanceId, &'a Instance)> {
        let ids = self.pools.get(pool).into_iter().flat_map(|it| it.values()).flatten();
        ids.filter_map(|id| self.instances.get_key_value(id))
    }

    /// Instances of one pool in one zone, in name order.
    pub fn in_zone_pool<'a>(&'a self, zone: &str, pool: &str) -> impl Iterator<Item = (&'a InstanceId, &'a Instance)> {
        let ids = self.pools.get(pool).and_then(|it| it.get(zone)).into_iter().flatten();
        ids.filter_map(|id| self.instances.get_key_value(id))
    }

    fn add_to_index(&mut self, id: &InstanceId, pool: &PoolId, zone: &ZoneId) {
        let zones = self.pools.entry(pool.clone()).or_default();
        zones.entry(zone.clone()).or_default().insert(id.clone());
    }

    fn remove_from_index(&mut self, id: &InstanceId, pool: &str, zone: &str) {
        let Some(zones) = self.pools.get_mut(pool) else {
            return;
        };
        if let Some(ids) = zones.get_mut(zone) {
            ids.remove(id);
        }
        zones.retain(|_, ids| !ids.is_empty());
        self.pools.retain(|_, zones| !zones.is_empty());
    }

    /// The instance with this name if it is at the expected epoch.
    fn get_at_epoch(&self, id: &InstanceId, epoch: u64) -> Result<&Instance, Error> {
        let instance = self.get(id).ok_or_else(|| Error::Unknown { id: id.clone() })?;
        if instance.epoch == epoch {
            return Ok(instance);
        }
        Err(Error::Epoch {
            id: id.clone(),
            expected: epoch,
            found: instance.epoch,
            pool: instance.pool.clone(),
        })
    }

    fn get_mut(&mut self, id: &InstanceId) -> Result<&mut Instance, Error> {
        self.instances.get_mut(id).ok_or_else(|| Error::Unknown { id: id.clone() })
    }
}

impl Instance {
    /// Whether the instance counts against its pool's budget: it is down, suspect or under a permit.
    pub fn is_disrupted(&self) -> bool {
        self.permit.is_some() || self.health != Health::Up
    }
}
