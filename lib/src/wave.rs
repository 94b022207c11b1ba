//! Maintenance waves: each instance of the fleet is maintained once within a
//! time window, rack by rack and within every pool's availability budget.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, Health};
use crate::id::{InstanceId, PoolId, RackId, ZoneId};
use crate::setting::Budget;

/// A maintenance wave as operators ordered it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Name that operators gave the wave.
    pub name: String,
    /// Whether further instances are drained.
    pub mode: Mode,
    /// Start of the wave, milliseconds since the Unix epoch. Instances whose last
    /// maintenance finished at or after it are done.
    pub start_ms: u64,
    /// Time from the start within which every instance is to be maintained.
    pub window: Duration,
}

/// Whether a wave drains further instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Drains further instances as the budgets allow.
    Running,
    /// Drains no further instances; maintenance in progress continues.
    Paused,
}

/// Progress of a wave, in instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Instances in the fleet.
    pub total: usize,
    /// Instances whose maintenance finished since the start of the wave.
    pub done: usize,
    /// Instances under a disruption permit of any purpose.
    pub active: usize,
}

impl Wave {
    /// Whether an instance whose last maintenance finished at `maintained_ms` is done in this wave.
    fn is_done(&self, maintained_ms: u64) -> bool {
        self.start_ms <= maintained_ms
    }

    /// Counts the instances that are done and those under a permit.
    pub fn progress(&self, fleet: &Fleet) -> Progress {
        let done = fleet.iter().filter(|(_, it)| self.is_done(it.maintained_ms)).count();
        let active = fleet.iter().filter(|(_, it)| it.permit.is_some()).count();
        Progress {
            total: fleet.iter().count(),
            done,
            active,
        }
    }

    /// Returns the instances of `zone` for which to request permits next.
    ///
    /// Each pool's budget is reduced by the size of its largest rack, so that the
    /// loss of one more rack stays within the budget. Each zone's maintenance
    /// processes drain the instances of their own zone only.
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
        // A pool whose budget is smaller than a rack still makes progress, one instance at a time.
        let usable = allowed.saturating_sub(largest_rack(fleet, pool)).max(allowed.min(1));
        let available = usable.saturating_sub(fleet.disrupted_count(pool));
        let in_zone = fleet.in_zone_pool(zone, pool);
        let mut waiting: Vec<_> = in_zone.filter(|(_, it)| self.is_waiting(it)).collect();
        if waiting.is_empty() || available == 0 {
            return Vec::new();
        }
        // Finish the racks already begun first: losing a rack during the wave then mostly
        // affects instances that are already drained.
        let begun = racks_under_permit(fleet, pool);
        waiting.sort_by_key(|(id, it)| {
            let is_begun = begun.contains(&(it.zone.clone(), it.rack.clone()));
            (!is_begun, it.zone.clone(), it.rack.clone(), (*id).clone())
        });
        waiting.into_iter().take(available).map(|(id, _)| id.clone()).collect()
    }

    /// Whether the instance is still to be maintained and can be drained now.
    fn is_waiting(&self, instance: &crate::fleet::Instance) -> bool {
        instance.permit.is_none() && instance.health != Health::Down && !self.is_done(instance.maintained_ms)
    }
}

/// Racks in which any instance of the pool is under a permit.
fn racks_under_permit(fleet: &Fleet, pool: &PoolId) -> BTreeSet<(ZoneId, RackId)> {
    let under_permit = fleet.in_pool(pool).filter(|(_, it)| it.permit.is_some());
    under_permit.map(|(_, it)| (it.zone.clone(), it.rack.clone())).collect()
}

/// Largest number of undisrupted instances of the pool in one rack.
fn largest_rack(fleet: &Fleet, pool: &PoolId) -> usize {
    let mut racks: BTreeMap<(&ZoneId, &RackId), usize> = BTreeMap::new();
    for (_, instance) in fleet.in_pool(pool).filter(|(_, it)| !it.is_disrupted()) {
        *racks.entry((&instance.zone, &instance.rack)).or_default() += 1;
    }
    racks.into_values().max().unwrap_or(0)
}
