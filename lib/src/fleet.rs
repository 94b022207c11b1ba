//! Upstream instances, their pools, and permits to disrupt them.
//!
//! An instance's pool is one field of its record, changed by compare-and-set,
//! so it is in exactly one pool at every offset. A permit is granted only
//! while the pool's availability budget holds with it, whatever its author
//! believed when asking.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{InstanceId, Offset, PoolId, RackId, ZoneId};
use crate::setting::Budget;

/// One upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Availability zone.
    pub zone: ZoneId,
    /// Failure domain within the zone.
    pub rack: RackId,
    /// The one pool it is in.
    pub pool: PoolId,
    /// Counts changes of pool; dispatches carry it.
    pub epoch: u64,
    /// Address of its task interface.
    pub addr: SocketAddr,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Whether it serves.
    pub health: Health,
    /// Disruption in progress.
    pub permit: Option<Permit>,
    /// Offset of the last finished maintenance.
    pub maintained: Offset,
    /// Wall clock of the last finished maintenance, milliseconds since the epoch.
    pub maintained_ms: u64,
}

/// Whether an instance serves, as recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// Serves.
    Up,
    /// Fails what it starts, under observation.
    Suspect,
    /// Gone without a permit.
    Down,
}

/// A granted disruption.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Record that granted it.
    pub offset: Offset,
    /// Who asked.
    pub author: String,
    /// What for.
    pub purpose: Purpose,
    /// How far it has come.
    pub phase: Phase,
}

/// What a disruption is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Drain and keep out of service until released.
    Hold,
    /// Drain, reboot, probe, return to service.
    Maintain,
    /// Drain, then join another pool.
    Move {
        /// The pool to join.
        to: PoolId,
    },
}

/// Recorded phase of a disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Gets no new work, running work goes on.
    Draining,
    /// Runs nothing.
    Drained,
    /// Asked to reboot.
    Rebooting,
    /// Back, being probed.
    Probing,
}

/// All instances by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    instances: BTreeMap<InstanceId, Instance>,
    /// Instances by pool and zone; every choice looks at one pool only.
    pools: BTreeMap<PoolId, BTreeMap<ZoneId, BTreeSet<InstanceId>>>,
}

/// Why a change to the fleet was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// No such instance.
    #[error("no instance {id}")]
    Unknown {
        /// The instance.
        id: InstanceId,
    },
    /// The name is in use.
    #[error("instance {id} exists in pool {pool}")]
    Exists {
        /// The instance.
        id: InstanceId,
        /// Its pool.
        pool: PoolId,
    },
    /// Somebody moved it first.
    #[error("instance {id} is at epoch {found} in pool {pool}, not at {expected}")]
    Epoch {
        /// The instance.
        id: InstanceId,
        /// Epoch the author had read.
        expected: u64,
        /// Epoch in force.
        found: u64,
        /// Pool in force.
        pool: PoolId,
    },
    /// The pool's availability budget is used up.
    #[error("pool {pool}: {used} of {budget} disruptions in use")]
    Budget {
        /// The pool.
        pool: PoolId,
        /// Instances down, suspect or under a permit.
        used: usize,
        /// Instances allowed.
        budget: usize,
    },
    /// A disruption is in progress already.
    #[error("instance {id} is under a permit of {author}")]
    Busy {
        /// The instance.
        id: InstanceId,
        /// Who holds the permit.
        author: String,
    },
    /// The permit is not in the phase that the change needs.
    #[error("instance {id} is not in the phase for this change")]
    Phase {
        /// The instance.
        id: InstanceId,
    },
}

impl Fleet {
    /// Adds an instance to a pool.
    pub fn add(&mut self, id: &InstanceId, instance: Instance) -> Result<(), Error> {
        if let Some(found) = self.instances.get(id) {
            return Err(Error::Exists {
                id: id.clone(),
                pool: found.pool.clone(),
            });
        }
        self.index(id, &instance.pool, &instance.zone);
        self.instances.insert(id.clone(), instance);
        Ok(())
    }

    /// Removes an instance for good.
    pub fn remove(&mut self, id: &InstanceId, epoch: u64) -> Result<(), Error> {
        let (pool, zone) = {
            let instance = self.at_epoch(id, epoch)?;
            (instance.pool.clone(), instance.zone.clone())
        };
        self.unindex(id, &pool, &zone);
        self.instances.remove(id);
        Ok(())
    }

    /// Records whether an instance serves. Failures need no permit.
    pub fn observe(&mut self, id: &InstanceId, health: Health) -> Result<(), Error> {
        let instance = self.get_mut(id)?;
        instance.health = health;
        Ok(())
    }

    /// Grants a disruption if the pool's budget holds with it.
    pub fn permit(&mut self, id: &InstanceId, epoch: u64, permit: Permit, budget: Budget) -> Result<(), Error> {
        let instance = self.at_epoch(id, epoch)?;
        if let Some(found) = &instance.permit {
            return Err(Error::Busy {
                id: id.clone(),
                author: found.author.clone(),
            });
        }
        let pool = instance.pool.clone();
        let already_counted = usize::from(instance.health != Health::Up);
        let used = self.disrupted_count(&pool) - already_counted;
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

    /// Moves a disruption on by one phase.
    pub fn advance(&mut self, id: &InstanceId, from: Phase, to: Phase) -> Result<(), Error> {
        let permit = self.get_mut(id)?.permit.as_mut();
        let permit = permit.filter(|it| it.phase == from);
        let permit = permit.ok_or_else(|| Error::Phase { id: id.clone() })?;
        permit.phase = to;
        Ok(())
    }

    /// Ends a disruption; a move joins its new pool in the same record.
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
                self.unindex(id, &from, &zone);
                self.index(id, &to, &zone);
            }
        }
        Ok(())
    }

    /// Gives a disruption up; the instance stays where it was.
    pub fn abandon(&mut self, id: &InstanceId) -> Result<(), Error> {
        let instance = self.get_mut(id)?;
        let permit = instance.permit.take();
        permit.map(drop).ok_or_else(|| Error::Phase { id: id.clone() })
    }

    /// The instance of that name.
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

    /// Names of all pools that hold an instance.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Instances of one pool.
    pub fn in_pool<'a>(&'a self, pool: &str) -> impl Iterator<Item = (&'a InstanceId, &'a Instance)> {
        let ids = self.pools.get(pool).into_iter().flat_map(|it| it.values()).flatten();
        ids.filter_map(|id| self.instances.get_key_value(id))
    }

    /// Instances of one pool in one zone.
    pub fn in_zone_pool<'a>(&'a self, zone: &str, pool: &str) -> impl Iterator<Item = (&'a InstanceId, &'a Instance)> {
        let ids = self.pools.get(pool).and_then(|it| it.get(zone)).into_iter().flatten();
        ids.filter_map(|id| self.instances.get_key_value(id))
    }

    fn index(&mut self, id: &InstanceId, pool: &PoolId, zone: &ZoneId) {
        let zones = self.pools.entry(pool.clone()).or_default();
        zones.entry(zone.clone()).or_default().insert(id.clone());
    }

    fn unindex(&mut self, id: &InstanceId, pool: &str, zone: &str) {
        let Some(zones) = self.pools.get_mut(pool) else {
            return;
        };
        if let Some(ids) = zones.get_mut(zone) {
            ids.remove(id);
        }
        zones.retain(|_, ids| !ids.is_empty());
        self.pools.retain(|_, zones| !zones.is_empty());
    }

    fn at_epoch(&self, id: &InstanceId, epoch: u64) -> Result<&Instance, Error> {
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
    /// Whether it counts against its pool's availability budget.
    pub fn is_disrupted(&self) -> bool {
        self.permit.is_some() || self.health != Health::Up
    }
}
