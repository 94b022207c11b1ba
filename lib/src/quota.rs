//! Teams' caps divided among the owners of partitions.
//!
//! One instance hands out what each owner may have running. What it has handed
//! out and what still runs never exceed the cap together, whatever reports are
//! late; an owner that stops reporting keeps what it held.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::id::TeamId;
use crate::resources::Resources;
use crate::rpc::{PartitionId, UsageReport};

/// Time after which an owner must not use a grant that was not confirmed.
pub const GRANT_TTL: Duration = Duration::from_secs(3);
/// Time for a new ledger to hear of all owners before it hands out more than they hold.
/// An owner reports every 150 ms; by then grants of an earlier ledger have run out too.
const SETTLE: Duration = Duration::from_millis(3500);

#[derive(Debug)]
struct Holder {
    epoch: u64,
    /// Use, use and demand together, and what may be used, by team.
    teams: HashMap<TeamId, Entry>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    demand: Resources,
    outstanding: Resources,
}

/// What each owner may have running.
#[derive(Debug)]
pub struct QuotaAllocator {
    since: Duration,
    holders: HashMap<PartitionId, Holder>,
}

impl QuotaAllocator {
    /// A ledger that knows of no owner yet.
    pub fn new(now: Duration) -> QuotaAllocator {
        QuotaAllocator {
            since: now,
            holders: HashMap::new(),
        }
    }

    /// Takes a report in and returns what the owner may have running from now on.
    /// `parts` are the partitions that have pools.
    pub fn handle_report(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        parts: &[PartitionId],
        report: UsageReport,
    ) -> HashMap<TeamId, Resources> {
        let mut teams = HashMap::new();
        for (team, demand) in &report.teams {
            let mut wanted = demand.used;
            wanted += demand.wanted;
            // A new owner holds nothing; what ran before it is in its use.
            let held = report.held.get(team).copied().unwrap_or_default();
            let entry = Entry {
                demand: wanted,
                outstanding: demand.used.max(&held),
            };
            teams.insert(team.clone(), entry);
        }
        for (team, held) in &report.held {
            teams.entry(team.clone()).or_insert(Entry {
                demand: Resources::default(),
                outstanding: *held,
            });
        }
        let holder = Holder {
            epoch: report.epoch,
            teams,
        };
        if self.holders.get(&report.part).is_none_or(|it| it.epoch <= report.epoch) {
            self.holders.insert(report.part, holder);
        }
        let settled = self.since + SETTLE < now || parts.iter().all(|it| self.holders.contains_key(it));
        let mut grants = HashMap::new();
        for (team, settings) in &catalog.teams {
            let held = report.held.get(team).copied().unwrap_or_default();
            let grant = match settled {
                true => self.divide(report.part, team, &settings.cap),
                false => held.min(&settings.cap),
            };
            grants.insert(team.clone(), grant);
        }
        let holder = self.holders.entry(report.part).or_insert_with(|| Holder {
            epoch: report.epoch,
            teams: HashMap::new(),
        });
        for (team, grant) in &grants {
            let entry = holder.teams.entry(team.clone()).or_default();
            // Until the owner reports again it may go by either grant.
            entry.outstanding = entry.outstanding.max(grant);
        }
        grants
    }

    /// The part of a team's cap that an owner gets.
    fn divide(&self, part: PartitionId, team: &TeamId, cap: &Resources) -> Resources {
        let mut others = Resources::default();
        let mut demands = Resources::default();
        let mut own = Resources::default();
        for (holder_part, holder) in &self.holders {
            let entry = holder.teams.get(team).copied().unwrap_or_default();
            demands += entry.demand;
            if *holder_part == part {
                own = entry.demand;
            } else {
                others += entry.outstanding;
            }
        }
        let count = self.holders.len().max(1) as u64;
        let one = |cap: u64, others: u64, demands: u64, own: u64| {
            let wanted = match demands <= cap {
                // What nobody asks for is spread, so that new demand need not wait.
                true => own + (cap - demands) / count,
                false => (cap as u128 * own as u128 / demands.max(1) as u128) as u64,
            };
            wanted.min(cap.saturating_sub(others))
        };
        Resources {
            cpu: one(cap.cpu, others.cpu, demands.cpu, own.cpu),
            mem: one(cap.mem, others.mem, demands.mem, own.mem),
            gpu: one(cap.gpu, others.gpu, demands.gpu, own.gpu),
        }
    }
}
