//! Moving a cap's slots to where they are wanted, a few batched records at a time.

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

/// Shortest time between two rounds.
const ROUND: Duration = Duration::from_millis(100);
/// Rounds of all members together, per second.
const ROUNDS_PER_SECOND: u32 = 100;

/// This entry's own side of the allotments.
#[derive(Debug, Default)]
pub(crate) struct Allotments {
    /// Slots in use by tasks, by team.
    used: BTreeMap<TeamId, u64>,
    /// Slots given away by records whose fate is not known yet.
    pending_transfers: BTreeMap<OpId, (TeamId, u64)>,
    /// Slots asked for by records whose fate is not known yet.
    pending_grants: BTreeMap<OpId, TeamId>,
    pub(crate) checked_keys: Option<Arc<Keyring>>,
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

    /// The fate of a record is known; the ledger shows it.
    pub(crate) fn clear_pending(&mut self, op: OpId) {
        self.pending_transfers.remove(&op);
        self.pending_grants.remove(&op);
    }

    pub(crate) fn used_by_team(&self) -> impl Iterator<Item = (&TeamId, u64)> {
        self.used.iter().map(|(team, used)| (team, *used))
    }

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
    /// Slots of a team in use by this entry's tasks.
    pub(crate) fn in_use(&self, team: &TeamId) -> u64 {
        self.allotments.used.get(team).copied().unwrap_or(0)
    }

    /// Slots this entry may still start tasks on for a team.
    pub(crate) fn spare_slots(&self, team: &TeamId) -> u64 {
        let state = self.journal.state();
        let usable = match self.cfg.policy.caps {
            CapDivision::OnDemand => state.ledger.usable(team, &self.cfg.id, state.cap(team)),
            CapDivision::Static => state.cap(team) / (state.roster.active().count().max(1) as u64),
        };
        usable.saturating_sub(self.allotments.transferring(team) + self.in_use(team))
    }

    /// Slots this entry could use beyond what it holds.
    pub(crate) fn missing_slots(&self, now: Now, team: &TeamId) -> u64 {
        self.usable_slots(now, team).saturating_sub(self.spare_slots(team))
    }

    /// Takes free slots, gives spare ones to members that are short.
    pub(crate) fn balance_allotments(&mut self, now: Now) {
        let active = matches!(self.lifecycle, Lifecycle::Active | Lifecycle::Stopping { .. });
        if now.mono < self.timers.next_allotment_at || !active || self.cfg.policy.caps == CapDivision::Static {
            return;
        }
        let members = self.journal.state().roster.active().count() as u32;
        let round = Duration::from_secs(1) * members / ROUNDS_PER_SECOND;
        self.timers.next_allotment_at = now.mono + round.max(ROUND);
        self.return_excess(now);
        if self.lifecycle == Lifecycle::Active {
            self.request_grants(now);
        }
        self.transfer_spare(now);
    }

    /// After a cap was lowered: gives back what is above the fair part and not in use.
    fn return_excess(&mut self, now: Now) {
        let state = self.journal.state();
        let mut excess = Vec::new();
        for (team, held) in state.ledger.allotments_of(&self.cfg.id) {
            let fair = state.ledger.fair_share(team, &self.cfg.id, state.cap(team));
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

    /// Does with tasks above the fair part of a lowered cap what the tree says.
    /// Jobs that may not be repeated go on to their end in any case.
    fn stop_excess_tasks(&mut self, now: Now) {
        let state = self.journal.state();
        let mut shed = Vec::new();
        for (team, used) in self.allotments.used_by_team() {
            let cap = state.cap(team);
            let how = state.tree.get(team, setting::OVER_CAP);
            if state.ledger.total_held(team) <= cap || how == "wait" {
                continue;
            }
            let over = used.saturating_sub(state.ledger.fair_share(team, &self.cfg.id, cap));
            let running = self.tasks.iter().filter(|(_, it)| it.team == *team && !it.detached);
            let repeatable = running.filter(|(task, _)| self.jobs.get(&task.job).is_some_and(|it| !it.is_at_most_once()));
            let latest = repeatable.map(|(task, it)| (std::cmp::Reverse(it.started_at), *task));
            let mut latest: Vec<_> = latest.collect();
            latest.sort_unstable();
            let picked = latest.into_iter().take(over as usize).map(|(_, task)| (task, how == "checkpoint"));
            shed.extend(picked);
        }
        for (task, checkpoint) in shed {
            self.stop_task(task, checkpoint);
            self.on_attempt_lost(now, task.job, crate::job::UnknownReason::OverCap);
        }
    }

    fn request_grants(&mut self, now: Now) {
        let state = self.journal.state();
        let mut wants = Vec::new();
        for (team, _) in self.queues.lengths() {
            let free = state.ledger.free(team, state.cap(team));
            let short = self.missing_slots(now, team);
            if 0 < short && 0 < free && !self.allotments.has_pending_grant(team) {
                wants.push((team.clone(), short.min(self.zone_slots(team)).min(free)));
            }
        }
        for (team, slots) in wants {
            let change = Change::Grant {
                team: team.clone(),
                member: self.cfg.id.clone(),
                slots,
            };
            let op = self.append(now, change);
            self.allotments.pending_grants.insert(op, team);
        }
    }

    /// Slots of the pools that a team may use in this zone.
    fn zone_slots(&self, team: &str) -> u64 {
        let state = self.journal.state();
        let pools = state.tree.get(team, setting::POOLS);
        let here = pools.split(',').flat_map(|pool| state.fleet.in_zone_pool(&self.cfg.zone, pool));
        here.map(|(_, it)| u64::from(it.slots)).sum()
    }

    /// Free slots that a team's jobs could take in this zone now.
    fn free_zone_slots(&self, team: &str) -> u64 {
        let state = self.journal.state();
        let pools = state.tree.get(team, setting::POOLS);
        let here = pools.split(',').flat_map(|pool| state.fleet.in_zone_pool(&self.cfg.zone, pool));
        here.map(|(id, it)| u64::from(self.free_slots(id, it))).sum()
    }

    /// Slots that this entry can make use of beyond those in use: for queued
    /// jobs that fit into free slots now, or into its even part of the cap.
    fn usable_slots(&self, now: Now, team: &TeamId) -> u64 {
        if !self.can_start_jobs(now) {
            return 0;
        }
        let state = self.journal.state();
        let members = state
            .roster
            .active()
            .filter(|(_, it)| state.tree.get(&zone_path(&it.zone), setting::STATE) == "in");
        let even = state.cap(team) / (members.count().max(1) as u64);
        let room = self.free_zone_slots(team).max(even.saturating_sub(self.in_use(team)));
        room.min(self.queues.len(team) as u64)
    }

    /// Gives spare slots to the members that are shortest of them.
    fn transfer_spare(&mut self, now: Now) {
        let teams: Vec<TeamId> = self
            .journal
            .state()
            .ledger
            .allotments_of(&self.cfg.id)
            .map(|(team, _)| team.clone())
            .collect();
        for team in teams {
            let mut left = self.spare_slots(&team).saturating_sub(self.usable_slots(now, &team));
            for (member, short) in self.short_members(now, &team) {
                let slots = left.min(short);
                if slots == 0 {
                    break;
                }
                left -= slots;
                self.transfer(now, team.clone(), Some(member), slots);
            }
        }
    }

    fn short_members(&self, now: Now, team: &TeamId) -> Vec<(MemberId, u64)> {
        const GOSSIP_AGE: Duration = Duration::from_millis(500);
        let roster = &self.journal.state().roster;
        let near = self
            .peers
            .iter()
            .filter(|(id, it)| now.mono < it.last_heard_at + GOSSIP_AGE && roster.is_active(id));
        let short = near.filter_map(|(id, it)| Some((id.clone(), u64::from(it.gossip.teams.get(team)?.short))));
        let mut short: Vec<(MemberId, u64)> = short.filter(|(_, slots)| 0 < *slots).collect();
        short.sort_by_key(|(_, slots)| std::cmp::Reverse(*slots));
        short
    }

    fn transfer(&mut self, now: Now, team: TeamId, to: Option<MemberId>, slots: u64) {
        let change = Change::Transfer {
            team: team.clone(),
            from: self.cfg.id.clone(),
            to,
            slots,
        };
        let op = self.append(now, change);
        self.allotments.pending_transfers.insert(op, (team, slots));
    }
}
