//! Allotments of this entry: slots of teams' caps that it holds in the ledger.
//!
//! Entries request free slots of a cap and transfer spare ones to members that lack
//! them. Each change is a record in the log, and records are queued in rounds to bound
//! their rate.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Now;
use crate::entry::{CapDivision, Entry, Lifecycle};
use crate::id::{MemberId, Offset, OpId, TeamId};
use crate::key::Keyring;
use crate::record::Change;
use crate::setting;
use crate::state::zone_path;

/// Shortest interval between two rounds of one member.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds per second of all members together; the interval of each grows with the
/// number of members.
const ROUNDS_PER_SECOND: u32 = 100;

/// Slots in use and changes of allotments that are not resolved yet.
#[derive(Debug, Default)]
pub(crate) struct Allotments {
    /// Slots in use by this entry's tasks, by team. Teams without any are left out.
    used: BTreeMap<TeamId, u64>,
    /// Slots given away by records that are not resolved yet; they count as gone.
    pending_transfers: BTreeMap<OpId, (TeamId, u64)>,
    /// Teams for which slots are requested by records that are not resolved yet.
    pending_grants: BTreeMap<OpId, TeamId>,
    /// Keys that the queued jobs were last checked against.
    pub(crate) checked_keys: Option<Arc<Keyring>>,
    /// Offset of the zone state that was last recorded as an event.
    pub(crate) recorded_zone_offset: Option<Offset>,
}

impl Allotments {
    pub(crate) fn add_used(&mut self, team: &TeamId, slots: u64) {
        *self.used.entry(team.clone()).or_default() += slots;
    }

    pub(crate) fn remove_used(&mut self, team: &TeamId, slots: u64) {
        let used = self.used.get_mut(team);
        let Some(used) = used else {
            return;
        };
        *used = used.saturating_sub(slots);
        if *used == 0 {
            self.used.remove(team);
        }
    }

    /// Drops a resolved record, whose effect the ledger now contains.
    pub(crate) fn clear_pending(&mut self, op: OpId) {
        self.pending_transfers.remove(&op);
        self.pending_grants.remove(&op);
    }

    pub(crate) fn used_by_team(&self) -> impl Iterator<Item = (&TeamId, u64)> {
        self.used.iter().map(|(team, used)| (team, *used))
    }

    /// Slots of a team in unresolved transfers.
    pub(crate) fn transferring(&self, team: &TeamId) -> u64 {
        self.pending_transfers
            .values()
            .filter(|(it, _)| it == team)
            .map(|(_, slots)| slots)
            .sum()
    }

    fn has_pending_grant(&self, team: &TeamId) -> bool {
        self.pending_grants.values().any(|it| it == team)
    }
}

impl Entry {
    /// Slots that this entry's tasks use for a team.
    pub(crate) fn in_use(&self, team: &TeamId) -> u64 {
        self.allotments.used.get(team).copied().unwrap_or(0)
    }

    /// Slots on which this entry may still start tasks for a team.
    pub(crate) fn spare_slots(&self, team: &TeamId) -> u64 {
        let state = self.log.state();
        let usable = match self.settings.policy.caps {
            CapDivision::OnDemand => state.ledger.usable(team, &self.settings.id, state.cap(team)),
            CapDivision::Static => state.cap(team) / (state.roster.active().count().max(1) as u64),
        };
        usable.saturating_sub(self.allotments.transferring(team) + self.in_use(team))
    }

    /// Slots that this entry could use for a team beyond its spare ones.
    pub(crate) fn missing_slots(&self, now: Now, team: &TeamId) -> u64 {
        self.slot_demand(now, team).saturating_sub(self.spare_slots(team))
    }

    /// Runs one round if it is due: returns excess slots, requests free ones and
    /// transfers spare ones to members that lack them.
    pub(crate) fn balance_allotments(&mut self, now: Now) {
        let active = matches!(self.lifecycle, Lifecycle::Active | Lifecycle::Stopping { .. });
        if now.mono < self.timers.next_allotment_at || !active || self.settings.policy.caps == CapDivision::Static {
            return;
        }
        let members = self.log.state().roster.active().count() as u32;
        let interval = Duration::from_secs(1) * members / ROUNDS_PER_SECOND;
        self.timers.next_allotment_at = now.mono + interval.max(MIN_ROUND_INTERVAL);
        self.return_excess(now);
        if self.lifecycle == Lifecycle::Active {
            self.request_grants(now);
        }
        self.transfer_spare(now);
    }

    /// After a cap was lowered, returns the unused slots above this entry's fair share.
    fn return_excess(&mut self, now: Now) {
        let state = self.log.state();
        let mut excess = Vec::new();
        for (team, held) in state.ledger.allotments_of(&self.settings.id) {
            let fair = state.ledger.fair_share(team, &self.settings.id, state.cap(team));
            let keep = fair.max(self.in_use(team)) + self.allotments.transferring(team);
            if keep < held {
                excess.push((team.clone(), held - keep));
            }
        }
        for (team, slots) in excess {
            self.transfer(now, team, None, slots);
        }
        self.stop_excess_tasks(now);
    }

    /// Stops the latest tasks above the fair share of a lowered cap, with or without a
    /// checkpoint as the team's `over_cap` setting says. Tasks of jobs that must not be
    /// repeated run to their end in any case.
    fn stop_excess_tasks(&mut self, now: Now) {
        let state = self.log.state();
        let mut to_stop = Vec::new();
        for (team, used) in self.allotments.used_by_team() {
            let cap = state.cap(team);
            let mode = state.tree.get(team, setting::OVER_CAP);
            if state.ledger.total_held(team) <= cap || mode == "wait" {
                continue;
            }
            let excess = used.saturating_sub(state.ledger.fair_share(team, &self.settings.id, cap));
            let running = self.tasks.iter().filter(|(_, it)| it.team == *team && !it.detached);
            let repeatable = running.filter(|(task, _)| self.jobs.get(&task.job).is_some_and(|it| !it.is_at_most_once()));
            let latest = repeatable.map(|(task, it)| (std::cmp::Reverse(it.started_at), *task));
            let mut latest: Vec<_> = latest.collect();
            latest.sort_unstable();
            let chosen = latest
                .into_iter()
                .take(excess as usize)
                .map(|(_, task)| (task, mode == "checkpoint"));
            to_stop.extend(chosen);
        }
        for (task, checkpoint) in to_stop {
            self.stop_task(task, checkpoint);
            self.on_attempt_lost(now, task.job, crate::job::UnknownReason::OverCap);
        }
    }

    /// Requests free slots of the cap for teams that lack them.
    fn request_grants(&mut self, now: Now) {
        let state = self.log.state();
        let mut requests = Vec::new();
        for (team, _) in self.queues.lengths() {
            let free = state.ledger.free(team, state.cap(team));
            let short = self.missing_slots(now, team);
            if 0 < short && 0 < free && !self.allotments.has_pending_grant(team) {
                requests.push((team.clone(), short.min(self.zone_slots(team)).min(free)));
            }
        }
        for (team, slots) in requests {
            let change = Change::Grant {
                team: team.clone(),
                member: self.settings.id.clone(),
                slots,
            };
            let op = self.append(now, change);
            self.allotments.pending_grants.insert(op, team);
        }
    }

    /// Total slots in this zone of the pools that a team may use.
    fn zone_slots(&self, team: &str) -> u64 {
        let state = self.log.state();
        let pools = state.tree.get(team, setting::POOLS);
        let workers = pools
            .split(',')
            .flat_map(|pool| state.fleet.in_zone_pool(&self.settings.zone, pool));
        workers.map(|(_, it)| u64::from(it.slots)).sum()
    }

    /// Free slots in this zone of the pools that a team may use.
    fn free_zone_slots(&self, team: &str) -> u64 {
        let state = self.log.state();
        let pools = state.tree.get(team, setting::POOLS);
        let workers = pools
            .split(',')
            .flat_map(|pool| state.fleet.in_zone_pool(&self.settings.zone, pool));
        workers.map(|(id, it)| u64::from(self.free_slots(id, it))).sum()
    }

    /// Slots that queued jobs of a team could use beyond those in use: up to the free
    /// slots of the workers, or up to this entry's even part of the cap if that is more.
    fn slot_demand(&self, now: Now, team: &TeamId) -> u64 {
        if !self.can_start_jobs(now) {
            return 0;
        }
        let state = self.log.state();
        let members = state
            .roster
            .active()
            .filter(|(_, it)| state.tree.get(&zone_path(&it.zone), setting::STATE) == "in");
        let even_part = state.cap(team) / (members.count().max(1) as u64);
        let limit = self.free_zone_slots(team).max(even_part.saturating_sub(self.in_use(team)));
        limit.min(self.queues.len(team) as u64)
    }

    /// Transfers spare slots to the members that report the largest shortage.
    fn transfer_spare(&mut self, now: Now) {
        let teams: Vec<TeamId> = self
            .log
            .state()
            .ledger
            .allotments_of(&self.settings.id)
            .map(|(team, _)| team.clone())
            .collect();
        for team in teams {
            let mut remaining = self.spare_slots(&team).saturating_sub(self.slot_demand(now, &team));
            for (member, short) in self.short_members(now, &team) {
                let slots = remaining.min(short);
                if slots == 0 {
                    break;
                }
                remaining -= slots;
                self.transfer(now, team.clone(), Some(member), slots);
            }
        }
    }

    /// Active members that recently reported missing slots, with how many, largest
    /// number first.
    fn short_members(&self, now: Now, team: &TeamId) -> Vec<(MemberId, u64)> {
        const MAX_GOSSIP_AGE: Duration = Duration::from_millis(500);
        let roster = &self.log.state().roster;
        let recent = self
            .peers
            .iter()
            .filter(|(id, it)| now.mono < it.last_heard_at + MAX_GOSSIP_AGE && roster.is_active(id));
        let short = recent.filter_map(|(id, it)| Some((id.clone(), u64::from(it.gossip.teams.get(team)?.short))));
        let mut short: Vec<(MemberId, u64)> = short.filter(|(_, slots)| 0 < *slots).collect();
        short.sort_by_key(|(_, slots)| std::cmp::Reverse(*slots));
        short
    }

    /// Queues a transfer to a member, or back to the free slots if `to` is `None`.
    fn transfer(&mut self, now: Now, team: TeamId, to: Option<MemberId>, slots: u64) {
        let change = Change::Transfer {
            team: team.clone(),
            from: self.settings.id.clone(),
            to,
            slots,
        };
        let op = self.append(now, change);
        self.allotments.pending_transfers.insert(op, (team, slots));
    }
}
