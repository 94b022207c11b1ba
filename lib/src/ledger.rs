//! Escrow of caps: a team's cap is divided into allotments held by entry instances.
//!
//! A holder starts tasks against its own allotment only, so no call leaves the
//! entry on the request path and no partition can break a cap. Only the holder
//! gives away what it holds; the rest of the cap is free for anyone to take.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{MemberId, TeamId};

/// All allotments by team and holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    held: BTreeMap<TeamId, BTreeMap<MemberId, u64>>,
}

/// Why a change of allotments was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The cap leaves nothing to grant.
    #[error("team {team}: cap {cap} leaves nothing free")]
    Exhausted {
        /// The team.
        team: TeamId,
        /// Its cap.
        cap: u64,
    },
    /// The giver holds less than it gives.
    #[error("team {team}: {member} holds {held}, cannot give {slots}")]
    Short {
        /// The team.
        team: TeamId,
        /// The giver.
        member: MemberId,
        /// What it holds.
        held: u64,
        /// What it tried to give.
        slots: u64,
    },
}

impl Ledger {
    /// Slots held by one member.
    pub fn held(&self, team: &str, member: &str) -> u64 {
        let holders = self.held.get(team);
        holders.and_then(|it| it.get(member)).copied().unwrap_or(0)
    }

    /// Slots held by all members together.
    pub fn total_held(&self, team: &str) -> u64 {
        self.held.get(team).map_or(0, |it| it.values().sum())
    }

    /// Slots of the cap that nobody holds.
    pub fn free(&self, team: &str, cap: u64) -> u64 {
        cap.saturating_sub(self.total_held(team))
    }

    /// Slots against which a member may start tasks.
    ///
    /// After a cap was lowered the sum of allotments may exceed it. Nobody
    /// starts then: a holder cannot know how much the others still run.
    pub fn usable(&self, team: &str, member: &str, cap: u64) -> u64 {
        if cap < self.total_held(team) {
            return 0;
        }
        self.held(team, member)
    }

    /// Slots a member keeps when the sum of allotments exceeds the cap; it
    /// gives the rest back as far as its running tasks allow.
    pub fn fair_share(&self, team: &str, member: &str, cap: u64) -> u64 {
        let held = self.held(team, member);
        let total = self.total_held(team);
        if total <= cap {
            return held;
        }
        held * cap / total
    }

    /// Grants up to `slots` free slots and returns how many.
    pub fn grant(&mut self, team: &TeamId, member: &MemberId, slots: u64, cap: u64) -> Result<u64, Error> {
        let granted = slots.min(self.free(team, cap));
        if granted == 0 {
            return Err(Error::Exhausted { team: team.clone(), cap });
        }
        self.add(team, member, granted);
        Ok(granted)
    }

    /// Takes slots from their holder and gives them to another member, or frees them.
    pub fn transfer(&mut self, team: &TeamId, from: &MemberId, to: Option<&MemberId>, slots: u64) -> Result<(), Error> {
        let held = self.held(team, from);
        if held < slots {
            return Err(Error::Short {
                team: team.clone(),
                member: from.clone(),
                held,
                slots,
            });
        }
        self.take(team, from, slots);
        if let Some(to) = to {
            self.add(team, to, slots);
        }
        Ok(())
    }

    /// Closes fenced holders' accounts: their adopted tasks keep their slots
    /// under the adopter, everything else becomes free.
    pub fn settle(&mut self, dead: &[MemberId], adopter: &MemberId, adopted: &BTreeMap<TeamId, u64>) {
        let teams: Vec<TeamId> = self.held.keys().cloned().collect();
        for team in teams {
            let mut held = 0;
            for member in dead {
                let slots = self.held(&team, member);
                self.take(&team, member, slots);
                held += slots;
            }
            let kept = adopted.get(&team).copied().unwrap_or(0);
            self.add(&team, adopter, kept.min(held));
        }
    }

    /// Teams and slots held by one member.
    pub fn allotments_of<'a>(&'a self, member: &'a str) -> impl Iterator<Item = (&'a TeamId, u64)> {
        let held = move |it: &BTreeMap<MemberId, u64>| it.get(member).copied();
        self.held.iter().filter_map(move |(team, holders)| Some((team, held(holders)?)))
    }

    /// Holders of one team's slots.
    pub fn holders(&self, team: &str) -> impl Iterator<Item = (&MemberId, u64)> {
        self.held.get(team).into_iter().flatten().map(|(member, slots)| (member, *slots))
    }

    /// Teams that have any allotment.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        self.held.keys()
    }

    fn add(&mut self, team: &TeamId, member: &MemberId, slots: u64) {
        if slots == 0 {
            return;
        }
        let holders = self.held.entry(team.clone()).or_default();
        *holders.entry(member.clone()).or_default() += slots;
    }

    fn take(&mut self, team: &TeamId, member: &MemberId, slots: u64) {
        let Some(holders) = self.held.get_mut(team) else {
            return;
        };
        let Some(held) = holders.get_mut(member) else {
            return;
        };
        *held -= slots;
        if *held == 0 {
            holders.remove(member);
        }
        if holders.is_empty() {
            self.held.remove(team);
        }
    }
}
