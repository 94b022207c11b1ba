//! Maintenance waves: every instance maintained once in a window, rack by rack.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, Health};
use crate::id::{InstanceId, PoolId, RackId, ZoneId};
use crate::setting::Budget;

/// What operators last ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Name of the wave.
    pub name: String,
    /// Whether instances are taken.
    pub mode: Mode,
    /// Start, milliseconds since the epoch. Instances maintained later are done.
    pub start_ms: u64,
    /// Time by which every instance is to be maintained.
    pub window: Duration,
}

/// Whether a wave goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Takes instances.
    Running,
    /// Takes no further instances; drains under way finish.
    Paused,
}

/// How far a wave has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Instances of the fleet.
    pub total: usize,
    /// Instances maintained since the start.
    pub done: usize,
    /// Instances under a maintenance permit now.
    pub active: usize,
}

impl Wave {
    /// Whether this instance has been maintained in this wave.
    fn covers(&self, maintained_ms: u64) -> bool {
        self.start_ms <= maintained_ms
    }

    /// How far the wave has come.
    pub fn progress(&self, fleet: &Fleet) -> Progress {
        let done = fleet.iter().filter(|(_, it)| self.covers(it.maintained_ms)).count();
        let active = fleet.iter().filter(|(_, it)| it.permit.is_some()).count();
        Progress {
            total: fleet.iter().count(),
            done,
            active,
        }
    }

    /// Instances to ask permits for next, within what every pool's budget
    /// leaves after setting aside the loss of one more rack.
    ///
    /// Only instances of `zone` are named: each zone's maintainers drain their own.
    pub fn next_instances<F>(&self, fleet: &Fleet, zone: &str, budget_of: F) -> Vec<InstanceId>
    where
        F: Fn(&str) -> Budget,
    {
        if self.mode == Mode::Paused {
            return Vec::new();
        }
        let picks = fleet.pools().map(|pool| self.next_in_pool(fleet, zone, pool, budget_of(pool)));
        picks.flatten().collect()
    }

    fn next_in_pool(&self, fleet: &Fleet, zone: &str, pool: &PoolId, budget: Budget) -> Vec<InstanceId> {
        let allowed = budget.limit(fleet.pool_size(pool));
        // A pool whose budget is smaller than a rack still goes on, one at a time.
        let spared = allowed.saturating_sub(largest_rack(fleet, pool)).max(allowed.min(1));
        let room = spared.saturating_sub(fleet.disrupted_count(pool));
        let here = fleet.in_zone_pool(zone, pool);
        let mut waiting: Vec<_> = here.filter(|(_, it)| self.is_waiting(it)).collect();
        if waiting.is_empty() || room == 0 {
            return Vec::new();
        }
        // One rack at a time: a rack loss during the wave then mostly hits
        // instances that are out already.
        let open = open_racks(fleet, pool);
        waiting.sort_by_key(|(id, it)| {
            let opened = open.contains(&(it.zone.clone(), it.rack.clone()));
            (!opened, it.zone.clone(), it.rack.clone(), (*id).clone())
        });
        waiting.into_iter().take(room).map(|(id, _)| id.clone()).collect()
    }

    fn is_waiting(&self, instance: &crate::fleet::Instance) -> bool {
        instance.permit.is_none() && instance.health != Health::Down && !self.covers(instance.maintained_ms)
    }
}

fn open_racks(fleet: &Fleet, pool: &PoolId) -> BTreeSet<(ZoneId, RackId)> {
    let under_permit = fleet.in_pool(pool).filter(|(_, it)| it.permit.is_some());
    under_permit.map(|(_, it)| (it.zone.clone(), it.rack.clone())).collect()
}

/// Most serving instances that a pool would lose with one rack.
fn largest_rack(fleet: &Fleet, pool: &PoolId) -> usize {
    let mut racks: BTreeMap<(&ZoneId, &RackId), usize> = BTreeMap::new();
    for (_, instance) in fleet.in_pool(pool).filter(|(_, it)| !it.is_disrupted()) {
        *racks.entry((&instance.zone, &instance.rack)).or_default() += 1;
    }
    racks.into_values().max().unwrap_or(0)
}
