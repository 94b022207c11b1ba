//! Divides each team's cap among the owners of partitions.
//!
//! Owners report what they use and could start. The fleet coordinator answers with a grant for
//! each team: the resources that the owner may have running. Grants and running tasks
//! together never exceed the cap, however late reports and answers are. The share of an
//! owner that stops reporting is not given to others.
//!
//! An owner sends its next report once the last one was answered or given up, and reports are
//! numbered, so a report names all grants by which the owner may still go.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::Serialize;

use crate::cap_demand::Detail;
use crate::catalog::Catalog;
use crate::id::TeamId;
use crate::resources::Resources;
use crate::rpc::{Allowance, DemandReport, PartitionId, UsageReport};
use crate::team_cap::{Part, TeamCap, TurnChange};

/// Time for which an owner may use a grant without a new answer.
pub const GRANT_TTL: Duration = Duration::from_secs(3);
/// Time for which a coordinator may answer reports after the group last confirmed it, and so after
/// it was replaced.
pub const COORDINATOR_VALIDITY: Duration = Duration::from_millis(1500);
/// Time after which a new allocator grants more than owners already hold, even if some have not
/// reported. Owners report every 150 ms, and the grants of an earlier allocator have expired by
/// then.
const SETTLE_TIME: Duration = GRANT_TTL
    .saturating_add(COORDINATOR_VALIDITY)
    .saturating_add(Duration::from_millis(500));
/// Time without a start after which an owner that waits is part of a [`Shortage`].
const MIN_REPORTED_WAIT: Duration = Duration::from_secs(2);

/// The owner of a partition that reports.
#[derive(Clone, Copy, Debug)]
struct Owner {
    epoch: u64,
    /// Number of its latest report; `None` if it does not number them.
    sequence: Option<u64>,
}

/// A team of which an owner has waited for its part of the cap for some time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Shortage {
    /// The team.
    pub team: TeamId,
    /// Its cap.
    pub cap: Resources,
    /// Partition of the owner for which room is kept free.
    pub turn: Option<PartitionId>,
    /// What each owner has, those that have started nothing for longest first.
    pub parts: Vec<Part>,
}

/// Grants each owner its part of the teams' caps.
#[derive(Debug)]
pub struct QuotaAllocator {
    started_at: Duration,
    owners: BTreeMap<PartitionId, Owner>,
    caps: HashMap<TeamId, TeamCap>,
}

impl QuotaAllocator {
    /// Creates an allocator that has received no reports.
    pub fn new(now: Duration) -> QuotaAllocator {
        QuotaAllocator {
            started_at: now,
            owners: BTreeMap::new(),
            caps: HashMap::new(),
        }
    }

    /// Stores the report of an owner of an earlier build and returns its grant for each team.
    /// `parts` are the partitions that have pools. A report of an earlier epoch does not replace a
    /// later one, and grants nothing.
    pub fn handle_report(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        parts: &[PartitionId],
        report: UsageReport,
    ) -> HashMap<TeamId, Resources> {
        let owner = Owner {
            epoch: report.epoch,
            sequence: None,
        };
        match self.replace_owner(report.part, owner) {
            true => self.allow(now, catalog, parts, &report, None).grants,
            false => HashMap::new(),
        }
    }

    /// Stores the report of an owner and returns what it may use; `None` if a later report of the
    /// partition was received before.
    pub fn handle_demand(&mut self, now: Duration, catalog: &Catalog, parts: &[PartitionId], report: DemandReport) -> Option<Allowance> {
        let owner = Owner {
            epoch: report.usage.epoch,
            sequence: Some(report.sequence),
        };
        let is_latest = self.replace_owner(report.usage.part, owner);
        is_latest.then(|| self.allow(now, catalog, parts, &report.usage, Some(report.details)))
    }

    /// Returns the teams of which an owner has started nothing for some time although it could.
    pub fn shortages(&self, now: Duration, catalog: &Catalog) -> Vec<Shortage> {
        let shortage = |(team, cap): (&TeamId, &TeamCap)| {
            Some(Shortage {
                team: team.clone(),
                cap: catalog.teams.get(team)?.cap,
                turn: cap.turn(),
                parts: cap.shortage(now, MIN_REPORTED_WAIT)?,
            })
        };
        self.caps.iter().filter_map(shortage).collect()
    }

    /// Returns the changes of turns since the last call.
    pub fn take_changes(&mut self) -> Vec<(TeamId, TurnChange)> {
        let changes = self.caps.iter_mut().map(|(team, cap)| (team, cap.take_changes()));
        changes
            .flat_map(|(team, changes)| changes.into_iter().map(|it| (team.clone(), it)))
            .collect()
    }

    /// Records the sender of a report. Returns whether the report is the latest of the partition.
    /// Unnumbered reports of an owner cannot be told apart.
    fn replace_owner(&mut self, part: PartitionId, owner: Owner) -> bool {
        let is_latest = match self.owners.get(&part) {
            Some(known) if known.epoch == owner.epoch => match (known.sequence, owner.sequence) {
                (Some(known), Some(sequence)) => known < sequence,
                (known, _) => known.is_none(),
            },
            known => known.is_none_or(|it| it.epoch < owner.epoch),
        };
        if is_latest {
            self.owners.insert(part, owner);
        }
        is_latest
    }

    fn allow(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        parts: &[PartitionId],
        report: &UsageReport,
        mut details: Option<HashMap<TeamId, Detail>>,
    ) -> Allowance {
        for team in report.teams.keys().chain(report.held.keys()).chain(catalog.teams.keys()) {
            if !self.caps.contains_key(team) {
                self.caps.insert(team.clone(), TeamCap::default());
            }
        }
        let settled = self.started_at + SETTLE_TIME < now || parts.iter().all(|it| self.owners.contains_key(it));
        let owners = self.owners.len();
        let mut allowance = Allowance::default();
        for (team, cap) in &mut self.caps {
            let demand = report.teams.get(team).copied().unwrap_or_default();
            let held = report.held.get(team).copied().unwrap_or_default();
            let detail = details.as_mut().map(|it| it.remove(team).unwrap_or_default());
            cap.store(now, report.part, demand, held, detail.unwrap_or_else(Detail::unknown));
            let Some(settings) = catalog.teams.get(team) else {
                continue;
            };
            let grant = match settled {
                true => {
                    let grant = cap.grant(now, report.part, &settings.cap, owners);
                    if let Some(flexible) = grant.flexible {
                        allowance.flexible.insert(team.clone(), flexible);
                    }
                    grant.amount
                }
                false => {
                    let grant = held.min(&settings.cap);
                    cap.record_grant(now, report.part, &grant);
                    grant
                }
            };
            allowance.grants.insert(team.clone(), grant);
        }
        self.caps.retain(|team, it| !it.is_empty() || catalog.teams.contains_key(team));
        allowance
    }
}
