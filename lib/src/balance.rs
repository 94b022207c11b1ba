//! Plans moves of instances between pools as demand changes.
//!
//! An instance in a pool is paid for by the second, one in a standby pool is
//! not; a move costs about as much as an idle second. So idle instances are
//! moved to pools that need them, and otherwise to a standby pool. A pool that
//! needs more instances gets idle ones of other pools first: the demand of one pool
//! often rises as that of another falls, and the way through a standby pool takes two moves.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, PoolId, ZoneId};

/// Minimum number of instances in a pool, so that some are left when a zone is lost.
pub const MIN_POOL_SIZE: usize = 3;
/// Capacity planned for arriving jobs, as a multiple of their estimated use.
/// Estimates of run times are off by a tenth on average.
const ARRIVAL_HEADROOM: f64 = 1.1;
/// Idle time after which a surplus instance is moved to a standby pool: more than one round of
/// planning, as the next step of a job that has just ended may need the instance.
const STANDBY_IDLE_TIME: Duration = Duration::from_millis(300);
/// Time after which an instance that a pool refused may be moved there again.
const REFUSAL_RETRY: Duration = Duration::from_secs(30);
/// Time after the first arriving job in which no instance is moved to a standby pool.
/// The first shift of demand needs most instances at once. The delay begins anew with each
/// coordinator: after a power-off all instances are idle while the backlog is not known yet.
const STANDBY_DELAY: Duration = Duration::from_secs(5);
/// Time until the platform's list reflects a move. Until then the order is remembered.
const MOVE_VISIBILITY_DELAY: Duration = Duration::from_millis(2500);

/// Demand on a pool, as reported by its owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// CPU that placed runs reserve, millicores.
    pub used: u64,
    /// CPU that tasks need which are ready but not placed, millicores.
    pub waiting: u64,
    /// CPU that newly arriving jobs need on average, millicores.
    pub arriving: u64,
    /// Fewest workers on which the open jobs meet their limits of tasks per worker.
    pub breadth: usize,
    /// Workers without runs that could take some.
    pub idle: Vec<InstanceId>,
    /// Part of `waiting` whose jobs can no longer meet their objective, millicores. It is not
    /// part of a report, as instances of earlier builds refuse one with more fields.
    #[serde(skip)]
    pub late: u64,
}

/// An instance as listed by the platform, with what the planner has to know about it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Pool that the instance is in.
    pub pool: PoolId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Worker that runs on the instance at present.
    pub worker: Option<InstanceId>,
    /// CPU capacity, millicores.
    pub cpu: u64,
    /// Whether the instance takes tasks of its pool, or will once its move there ends.
    pub in_service: bool,
    /// Whether the instance may be moved now.
    pub movable: bool,
}

/// A planned move of an instance to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Pool that the instance leaves.
    pub from: PoolId,
    /// Pool that the instance joins.
    pub to: PoolId,
    /// Worker that runs on the instance before the move.
    pub worker: Option<InstanceId>,
}

/// Plans moves of instances and remembers recent orders.
#[derive(Debug, Default)]
pub struct Planner {
    /// When each idle instance became idle.
    idle_since: HashMap<Arc<str>, Duration>,
    /// Target pool and time of recent orders, by instance.
    ordered: HashMap<Arc<str>, (PoolId, Duration)>,
    /// When a pool last refused an instance.
    refused: HashMap<(Arc<str>, PoolId), Duration>,
    /// Time from which instances may be moved to a standby pool; `None` until jobs arrive.
    standby_from: Option<Duration>,
    balances: BTreeMap<PoolId, PoolBalance>,
}

/// Supply of and demand for instances in a pool, for the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PoolBalance {
    /// Number of instances that are in the pool or moving there.
    pub have: usize,
    /// Number of instances that the demand requires.
    pub wanted: usize,
    /// Number of idle instances that may be moved.
    pub spare: usize,
}

/// Supply and demand of a pool while a plan is made. Unlike [`PoolBalance`], it lists the idle
/// instances and changes with each planned move.
struct PlannedPool<'a> {
    have: usize,
    wanted: usize,
    spare: Vec<&'a Instance>,
}

impl Planner {
    /// Returns the moves that the present demand calls for. `standby` lists the standby pools; the
    /// first of them receives idle instances.
    pub fn plan(&mut self, now: Duration, loads: &BTreeMap<PoolId, PoolLoad>, standby: &[PoolId], instances: &[Instance]) -> Vec<Move> {
        self.ordered.retain(|_, (_, at)| now < *at + MOVE_VISIBILITY_DELAY);
        self.refused.retain(|_, at| now < *at + REFUSAL_RETRY);
        let mut pools = self.assess_pools(now, loads, instances);
        let balance = |it: &PlannedPool<'_>| PoolBalance {
            have: it.have,
            wanted: it.wanted,
            spare: it.spare.len(),
        };
        self.balances = pools.iter().map(|(name, it)| (name.clone(), balance(it))).collect();
        let mut available: Vec<&Instance> = instances.iter().filter(|it| standby.contains(&it.pool)).collect();
        available.retain(|it| it.movable && !self.ordered.contains_key(&it.name));
        let mut moves = self.fill_shortages(loads, &mut pools, &mut available);
        if loads.values().any(|it| 0 < it.arriving) {
            self.standby_from.get_or_insert(now + STANDBY_DELAY);
        }
        let may_move_to_standby = self.standby_from.is_some_and(|from| from <= now);
        if let Some(target) = standby.first().filter(|_| may_move_to_standby) {
            moves.extend(self.move_idle_to_standby(now, target, &mut pools));
        }
        moves
    }

    /// Returns the supply and demand of each pool at the start of the last plan.
    pub fn pool_balances(&self) -> &BTreeMap<PoolId, PoolBalance> {
        &self.balances
    }

    /// Records that a move was ordered; the instance counts in its new pool from now on.
    pub fn move_ordered(&mut self, now: Duration, order: &Move) {
        self.ordered.insert(order.name.clone(), (order.to.clone(), now));
        self.idle_since.remove(&order.name);
    }

    /// Records that a move was not ordered after all, or certainly not carried out.
    pub fn move_withdrawn(&mut self, order: &Move) {
        self.ordered.remove(&order.name);
    }

    /// Records that a pool does not take an instance, because it takes none of its kind or the
    /// instance is gone.
    pub fn move_refused(&mut self, now: Duration, order: &Move) {
        self.refused.insert((order.name.clone(), order.to.clone()), now);
    }

    /// Determines the supply, the demand and the idle instances of each pool.
    fn assess_pools<'a>(
        &mut self,
        now: Duration,
        loads: &BTreeMap<PoolId, PoolLoad>,
        instances: &'a [Instance],
    ) -> BTreeMap<PoolId, PlannedPool<'a>> {
        let mut pools = BTreeMap::new();
        for (name, load) in loads {
            // Instances that are being emptied or are down for maintenance do not count.
            let members = instances.iter().filter(|it| self.pool_of(it) == name);
            let members: Vec<&Instance> = members.filter(|it| it.in_service || self.ordered.contains_key(&it.name)).collect();
            let cpu = members.iter().map(|it| it.cpu).max().unwrap_or(0).max(1);
            let arriving = (load.arriving as f64 * ARRIVAL_HEADROOM) as u64;
            let demand = load.used.max(arriving).saturating_add(load.waiting);
            let idle: HashSet<&InstanceId> = load.idle.iter().collect();
            let is_idle = |it: &Instance| it.movable && it.pool == *name && it.worker.as_ref().is_some_and(|id| idle.contains(id));
            for it in &members {
                if is_idle(it) {
                    self.idle_since.entry(it.name.clone()).or_insert(now);
                } else {
                    self.idle_since.remove(&it.name);
                }
            }
            let mut spare: Vec<&Instance> = members.iter().copied().filter(|it| is_idle(it)).collect();
            spare.retain(|it| !self.ordered.contains_key(&it.name));
            // Instances are taken from the end, so the zone with the most of them gives first.
            let mut in_zone: HashMap<&ZoneId, usize> = HashMap::new();
            members.iter().for_each(|it| *in_zone.entry(&it.zone).or_default() += 1);
            spare.sort_by_key(|it| (in_zone[&it.zone], it.name.clone()));
            pools.insert(
                name.clone(),
                PlannedPool {
                    have: members.len(),
                    wanted: (demand.div_ceil(cpu) as usize).max(load.breadth).max(MIN_POOL_SIZE),
                    spare,
                },
            );
        }
        pools
    }

    /// Returns the pool that an instance is in or has been ordered to.
    fn pool_of<'a>(&'a self, instance: &'a Instance) -> &'a PoolId {
        self.ordered.get(&instance.name).map_or(&instance.pool, |(pool, _)| pool)
    }

    /// Fills up pools that have too few instances, first with idle instances of other pools, then
    /// from standby pools. The pool with the most waiting tasks that can still be in time is
    /// served first, then the one with the most waiting tasks.
    fn fill_shortages(
        &self,
        loads: &BTreeMap<PoolId, PoolLoad>,
        pools: &mut BTreeMap<PoolId, PlannedPool<'_>>,
        available: &mut Vec<&Instance>,
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        let mut short: Vec<PoolId> = pools
            .iter()
            .filter(|(_, it)| it.have < it.wanted)
            .map(|(name, _)| name.clone())
            .collect();
        let in_time = |it: &PoolLoad| it.waiting.saturating_sub(it.late);
        short.sort_by_key(|name| std::cmp::Reverse((in_time(&loads[name]), loads[name].waiting)));
        for name in short {
            while pools[&name].have < pools[&name].wanted {
                let fits = |it: &Instance| !self.refused.contains_key(&(it.name.clone(), name.clone()));
                let from_standby = || available.iter().position(|it| fits(it)).map(|it| available.swap_remove(it));
                let Some(instance) = take_spare(pools, &name, fits).or_else(from_standby) else {
                    break;
                };
                if let Some(pool) = pools.get_mut(&name) {
                    pool.have += 1;
                }
                moves.push(planned_move(instance, &name));
            }
        }
        moves
    }

    /// Moves surplus instances to a standby pool once they have been idle long enough.
    fn move_idle_to_standby(&self, now: Duration, standby: &PoolId, pools: &mut BTreeMap<PoolId, PlannedPool<'_>>) -> Vec<Move> {
        let mut moves = Vec::new();
        for pool in pools.values_mut() {
            while pool.wanted < pool.have {
                let idle_long_enough = |it: &Instance| self.idle_since.get(&it.name).is_some_and(|since| *since + STANDBY_IDLE_TIME <= now);
                let fits = |it: &Instance| !self.refused.contains_key(&(it.name.clone(), standby.clone()));
                let Some(index) = pool.spare.iter().rposition(|it| idle_long_enough(it) && fits(it)) else {
                    break;
                };
                let instance = pool.spare.remove(index);
                pool.have -= 1;
                moves.push(planned_move(instance, standby));
            }
        }
        moves
    }
}

/// Takes an idle instance from the pool with the largest surplus; `None` if no pool has a
/// surplus with an idle instance that fits.
fn take_spare<'a, F>(pools: &mut BTreeMap<PoolId, PlannedPool<'a>>, wanted_by: &PoolId, fits: F) -> Option<&'a Instance>
where
    F: Fn(&Instance) -> bool,
{
    let donors = pools.iter_mut().filter(|(name, it)| *name != wanted_by && it.wanted < it.have);
    let donors = donors.filter(|(_, it)| it.spare.iter().any(|it| fits(it)));
    let (_, donor) = donors.max_by_key(|(_, it)| it.have - it.wanted)?;
    let index = donor.spare.iter().rposition(|it| fits(it))?;
    donor.have -= 1;
    Some(donor.spare.remove(index))
}

fn planned_move(instance: &Instance, to: &PoolId) -> Move {
    Move {
        name: instance.name.clone(),
        from: instance.pool.clone(),
        to: to.clone(),
        worker: instance.worker.clone(),
    }
}
