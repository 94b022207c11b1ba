//! Divides each team's cap among the owners of partitions.
//!
//! Owners report what they use and want. The fleet coordinator answers with a grant for
//! each team: the resources that the owner may have running. Grants and running tasks
//! together never exceed the cap, however late reports and answers are. The share of an
//! owner that stops reporting is not given to others.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::id::TeamId;
use crate::resources::Resources;
use crate::rpc::{PartitionId, UsageReport};

/// Time for which an owner may use a grant without a new answer.
pub const GRANT_TTL: Duration = Duration::from_secs(3);
/// Time after which a new allocator grants more than owners already hold, even if some have not
/// reported. Owners report every 150 ms, and the grants of an earlier allocator have expired by
/// then (see [`GRANT_TTL`]).
const SETTLE_TIME: Duration = Duration::from_millis(3500);

/// Claims of the owner of a partition, from its latest report and the grants since then.
#[derive(Debug)]
struct PartitionClaims {
    /// Epoch of the owner.
    epoch: u64,
    teams: HashMap<TeamId, TeamClaim>,
}

/// What one owner claims of a team's cap.
#[derive(Clone, Copy, Debug, Default)]
struct TeamClaim {
    /// What runs and what waits to run.
    demand: Resources,
    /// The most that may be running: what runs, or any grant that the owner may still go by.
    outstanding: Resources,
}

/// Grants each owner its part of the teams' caps.
#[derive(Debug)]
pub struct QuotaAllocator {
    started_at: Duration,
    partitions: HashMap<PartitionId, PartitionClaims>,
}

impl QuotaAllocator {
    /// Creates an allocator that has received no reports.
    pub fn new(now: Duration) -> QuotaAllocator {
        QuotaAllocator {
            started_at: now,
            partitions: HashMap::new(),
        }
    }

    /// Stores the report of an owner and returns its grant for each team. `parts` are the
    /// partitions that have pools. A report of an earlier epoch does not replace a later one.
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
            // A new owner holds no grant; runs that it found count as its use.
            let held = report.held.get(team).copied().unwrap_or_default();
            let claim = TeamClaim {
                demand: wanted,
                outstanding: demand.used.max(&held),
            };
            teams.insert(team.clone(), claim);
        }
        for (team, held) in &report.held {
            teams.entry(team.clone()).or_insert(TeamClaim {
                demand: Resources::default(),
                outstanding: *held,
            });
        }
        let partition = PartitionClaims {
            epoch: report.epoch,
            teams,
        };
        if self.partitions.get(&report.part).is_none_or(|it| it.epoch <= report.epoch) {
            self.partitions.insert(report.part, partition);
        }
        let settled = self.started_at + SETTLE_TIME < now || parts.iter().all(|it| self.partitions.contains_key(it));
        let mut grants = HashMap::new();
        for (team, settings) in &catalog.teams {
            let held = report.held.get(team).copied().unwrap_or_default();
            let grant = match settled {
                true => self.grant_for(report.part, team, &settings.cap),
                false => held.min(&settings.cap),
            };
            grants.insert(team.clone(), grant);
        }
        let partition = self.partitions.entry(report.part).or_insert_with(|| PartitionClaims {
            epoch: report.epoch,
            teams: HashMap::new(),
        });
        for (team, grant) in &grants {
            let claim = partition.teams.entry(team.clone()).or_default();
            // Until its next report, the owner may use either its old or its new grant.
            claim.outstanding = claim.outstanding.max(grant);
        }
        grants
    }

    /// Returns the part of a team's cap that an owner gets. If the demand of all owners fits
    /// within the cap, it gets its own demand and an equal part of the rest; otherwise a part in
    /// proportion to its demand. It never gets what others may still be using.
    fn grant_for(&self, part: PartitionId, team: &TeamId, cap: &Resources) -> Resources {
        let mut others = Resources::default();
        let mut demands = Resources::default();
        let mut own = Resources::default();
        for (other_part, partition) in &self.partitions {
            let claim = partition.teams.get(team).copied().unwrap_or_default();
            demands += claim.demand;
            if *other_part == part {
                own = claim.demand;
            } else {
                others += claim.outstanding;
            }
        }
        let count = self.partitions.len().max(1) as u64;
        let share = |cap: u64, others: u64, demands: u64, own: u64| {
            let wanted = match demands <= cap {
                // Unused capacity is spread evenly, so that new demand need not wait for a report.
                true => own + (cap - demands) / count,
                false => (cap as u128 * own as u128 / demands.max(1) as u128) as u64,
            };
            wanted.min(cap.saturating_sub(others))
        };
        Resources {
            cpu: share(cap.cpu, others.cpu, demands.cpu, own.cpu),
            mem: share(cap.mem, others.mem, demands.mem, own.mem),
            gpu: share(cap.gpu, others.gpu, demands.gpu, own.gpu),
        }
    }
}
