//! Which instances belong in which pool, as demand moves between pools.
//!
//! An instance in a pool is paid for by the second, one in a standby pool is
//! not; a move costs about as much as an idle second. So idle instances are
//! lent to pools that need them, and rest in a standby pool otherwise.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, PoolId, ZoneId};

/// Fewest instances that a pool keeps, so that the loss of a zone leaves some.
const FLOOR: usize = 3;
/// Room for the work that arrives, as a multiple of it.
/// Estimates of run times are off by a tenth in the mean.
const HEADROOM: f64 = 1.1;
/// Idle time after which an instance rests: it pays for the move and the move back.
const REST_AFTER: Duration = Duration::from_millis(800);
/// Time until an instance that a pool refused is offered again.
const REFUSED_FOR: Duration = Duration::from_secs(30);
/// Time in which demand is watched before anything rests.
/// The first turn of demand needs most instances at once.
const WATCH: Duration = Duration::from_secs(5);
/// Time for a move to show in the platform's list.
const IN_TRANSIT: Duration = Duration::from_millis(2500);

/// Demand on a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Processor in use, thousandths of a core.
    pub used: u64,
    /// Processor that tasks wait for, thousandths of a core.
    pub waiting: u64,
    /// Processor that arriving jobs will take, thousandths of a core.
    pub arriving: u64,
    /// Workers that some step needs so as not to share one among too many of its tasks.
    pub breadth: usize,
    /// Workers on which nothing runs.
    pub idle: Vec<InstanceId>,
}

/// An instance, as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// The worker that it is now.
    pub worker: Option<InstanceId>,
    /// Its processor, thousandths of a core.
    pub cpu: u64,
    /// Whether it takes work of its pool, or will when it arrives there.
    pub in_service: bool,
    /// Whether it may be moved now.
    pub movable: bool,
}

/// An instance is to go to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The instance.
    pub name: Arc<str>,
    /// The pool that it leaves.
    pub from: PoolId,
    /// The pool that it goes to.
    pub to: PoolId,
    /// The worker that it is now.
    pub worker: Option<InstanceId>,
}

/// Plans moves.
#[derive(Debug, Default)]
pub struct Planner {
    idle_since: HashMap<Arc<str>, Duration>,
    ordered: HashMap<Arc<str>, (PoolId, Duration)>,
    refused: HashMap<(Arc<str>, PoolId), Duration>,
    working_since: Option<Duration>,
    standings: BTreeMap<PoolId, PoolBalance>,
}

/// What a pool has and wants, for the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PoolBalance {
    /// Instances in it or on their way there.
    pub have: usize,
    /// Instances that demand asks for.
    pub wanted: usize,
    /// Idle instances.
    pub spare: usize,
}

struct Pool<'a> {
    have: usize,
    wanted: usize,
    spare: Vec<&'a Instance>,
}

impl Planner {
    /// Moves that demand asks for now.
    pub fn plan(&mut self, now: Duration, loads: &BTreeMap<PoolId, PoolLoad>, standby: &[PoolId], instances: &[Instance]) -> Vec<Move> {
        self.ordered.retain(|_, (_, at)| now < *at + IN_TRANSIT);
        self.refused.retain(|_, at| now < *at + REFUSED_FOR);
        let mut pools = self.survey(now, loads, instances);
        let standing = |it: &Pool<'_>| PoolBalance {
            have: it.have,
            wanted: it.wanted,
            spare: it.spare.len(),
        };
        self.standings = pools.iter().map(|(name, it)| (name.clone(), standing(it))).collect();
        let mut resting: Vec<&Instance> = instances.iter().filter(|it| standby.contains(&it.pool)).collect();
        resting.retain(|it| it.movable && !self.ordered.contains_key(&it.name));
        let mut moves = self.lend(loads, &mut pools, &mut resting);
        if loads.values().any(|it| 0 < it.arriving) {
            self.working_since.get_or_insert(now);
        }
        let watched = self.working_since.is_some_and(|since| since + WATCH <= now);
        if let Some(rest) = standby.first().filter(|_| watched) {
            moves.extend(self.rest(now, rest, &mut pools));
        }
        moves
    }

    /// What each pool had and wanted when the last plan was made.
    pub fn pool_balances(&self) -> &BTreeMap<PoolId, PoolBalance> {
        &self.standings
    }

    /// Notes that a move was ordered.
    pub fn move_ordered(&mut self, now: Duration, order: &Move) {
        self.ordered.insert(order.name.clone(), (order.to.clone(), now));
        self.idle_since.remove(&order.name);
    }

    /// Notes that an order was not given or certainly not carried out.
    pub fn move_withdrawn(&mut self, order: &Move) {
        self.ordered.remove(&order.name);
    }

    /// Notes that a pool does not take an instance: it is of another kind, or gone.
    pub fn move_refused(&mut self, now: Duration, order: &Move) {
        self.refused.insert((order.name.clone(), order.to.clone()), now);
    }

    /// What each pool has, wants and can spare.
    fn survey<'a>(&mut self, now: Duration, loads: &BTreeMap<PoolId, PoolLoad>, instances: &'a [Instance]) -> BTreeMap<PoolId, Pool<'a>> {
        let mut pools = BTreeMap::new();
        for (name, load) in loads {
            // What is being emptied or is down for upkeep does not count.
            let ours = instances.iter().filter(|it| self.pool_of(it) == name);
            let ours: Vec<&Instance> = ours.filter(|it| it.in_service || self.ordered.contains_key(&it.name)).collect();
            let cpu = ours.iter().map(|it| it.cpu).max().unwrap_or(0).max(1);
            let demand = load.used.max((load.arriving as f64 * HEADROOM) as u64) + load.waiting;
            let idle: HashSet<&InstanceId> = load.idle.iter().collect();
            let is_idle = |it: &Instance| it.movable && it.pool == *name && it.worker.as_ref().is_some_and(|id| idle.contains(id));
            for it in &ours {
                if is_idle(it) {
                    self.idle_since.entry(it.name.clone()).or_insert(now);
                } else {
                    self.idle_since.remove(&it.name);
                }
            }
            let mut spare: Vec<&Instance> = ours.iter().copied().filter(|it| is_idle(it)).collect();
            spare.retain(|it| !self.ordered.contains_key(&it.name));
            // The zone with the most instances gives first.
            let in_zone = |zone: &ZoneId| ours.iter().filter(|it| it.zone == *zone).count();
            spare.sort_by_key(|it| (in_zone(&it.zone), it.name.clone()));
            pools.insert(
                name.clone(),
                Pool {
                    have: ours.len(),
                    wanted: (demand.div_ceil(cpu) as usize).max(load.breadth).max(FLOOR),
                    spare,
                },
            );
        }
        pools
    }

    /// The pool that an instance is in or on its way to.
    fn pool_of<'a>(&'a self, instance: &'a Instance) -> &'a PoolId {
        self.ordered.get(&instance.name).map_or(&instance.pool, |(pool, _)| pool)
    }

    /// Gives pools that want more instances resting ones, then what others can spare.
    fn lend(&self, loads: &BTreeMap<PoolId, PoolLoad>, pools: &mut BTreeMap<PoolId, Pool<'_>>, resting: &mut Vec<&Instance>) -> Vec<Move> {
        let mut moves = Vec::new();
        let mut short: Vec<PoolId> = pools
            .iter()
            .filter(|(_, it)| it.have < it.wanted)
            .map(|(name, _)| name.clone())
            .collect();
        short.sort_by_key(|name| std::cmp::Reverse(loads[name].waiting));
        for name in short {
            while pools[&name].have < pools[&name].wanted {
                let fits = |it: &Instance| !self.refused.contains_key(&(it.name.clone(), name.clone()));
                let rested = resting.iter().position(|it| fits(it)).map(|it| resting.swap_remove(it));
                let Some(instance) = rested.or_else(|| take_spare(pools, &name, fits)) else {
                    break;
                };
                if let Some(pool) = pools.get_mut(&name) {
                    pool.have += 1;
                }
                moves.push(order(instance, &name));
            }
        }
        moves
    }

    /// Lets instances rest that have been idle for long and are not wanted.
    fn rest(&self, now: Duration, standby: &PoolId, pools: &mut BTreeMap<PoolId, Pool<'_>>) -> Vec<Move> {
        let mut moves = Vec::new();
        for pool in pools.values_mut() {
            while pool.wanted < pool.have {
                let long = |it: &Instance| self.idle_since.get(&it.name).is_some_and(|since| *since + REST_AFTER <= now);
                let fits = |it: &Instance| !self.refused.contains_key(&(it.name.clone(), standby.clone()));
                let Some(index) = pool.spare.iter().rposition(|it| long(it) && fits(it)) else {
                    break;
                };
                let instance = pool.spare.remove(index);
                pool.have -= 1;
                moves.push(order(instance, standby));
            }
        }
        moves
    }
}

/// An idle instance of the pool that has the most to spare.
fn take_spare<'a, F>(pools: &mut BTreeMap<PoolId, Pool<'a>>, wanted_by: &PoolId, fits: F) -> Option<&'a Instance>
where
    F: Fn(&Instance) -> bool,
{
    let givers = pools.iter_mut().filter(|(name, it)| *name != wanted_by && it.wanted < it.have);
    let givers = givers.filter(|(_, it)| it.spare.iter().any(|it| fits(it)));
    let (_, giver) = givers.max_by_key(|(_, it)| it.have - it.wanted)?;
    let index = giver.spare.iter().rposition(|it| fits(it))?;
    giver.have -= 1;
    Some(giver.spare.remove(index))
}

fn order(instance: &Instance, to: &PoolId) -> Move {
    Move {
        name: instance.name.clone(),
        from: instance.pool.clone(),
        to: to.clone(),
        worker: instance.worker.clone(),
    }
}
