//! Ledger of allotments: each team's cap is divided into slots held by entry instances.
//!
//! An entry starts tasks only against the slots that it holds. Starting a task
//! therefore needs no call to another process, and a network partition cannot
//! make the entries exceed a cap together. Only the holder transfers or frees
//! its slots; any active member may take slots of the cap that nobody holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{MemberId, TeamId};

/// Allotments of all teams' caps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Slots held, by team and holder; entries of zero are removed.
    held: BTreeMap<TeamId, BTreeMap<MemberId, u64>>,
}

/// Why a change of allotments was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// All slots of the cap are held already.
    #[error("team {team}: cap {cap} leaves nothing free")]
    Exhausted {
        /// Team whose slots were asked for.
        team: TeamId,
        /// Cap of the team, in slots.
        cap: u64,
    },
    /// The member holds fewer slots than it was to transfer.
    #[error("team {team}: {member} holds {held}, cannot give {slots}")]
    Short {
        /// Team whose slots were to be transferred.
        team: TeamId,
        /// Member that holds too few slots.
        member: MemberId,
        /// Slots that the member holds.
        held: u64,
        /// Slots that were to be transferred.
        slots: u64,
    },
}

impl Ledger {
    /// Slots of a team's cap that one member holds.
    pub fn held(&self, team: &str, member: &str) -> u64 {
        let holders = self.held.get(team);
        holders.and_then(|it| it.get(member)).copied().unwrap_or(0)
    }

    /// Slots of a team's cap that all members hold together.
    pub fn total_held(&self, team: &str) -> u64 {
        self.held.get(team).map_or(0, |it| it.values().sum())
    }

    /// Slots of the cap that no member holds; zero if more than the cap is held.
    pub fn free(&self, team: &str, cap: u64) -> u64 {
        cap.saturating_sub(self.total_held(team))
    }

    /// Slots that a member may use for starting tasks: those it holds, or zero
    /// if the members hold more than the cap together.
    ///
    /// That happens after a cap was lowered. No member may start tasks then,
    /// because it cannot know how many the others still run.
    pub fn usable(&self, team: &str, member: &str, cap: u64) -> u64 {
        if cap < self.total_held(team) {
            return 0;
        }
        self.held(team, member)
    }

    /// Slots that a member should keep: all it holds, or its proportional share
    /// of the cap if the members hold more than the cap together.
    ///
    /// The member frees the rest as its running tasks end.
    pub fn fair_share(&self, team: &str, member: &str, cap: u64) -> u64 {
        let held = self.held(team, member);
        let total = self.total_held(team);
        if total <= cap {
            return held;
        }
        held * cap / total
    }

    /// Grants a member up to `slots` free slots and returns how many were granted.
    pub fn grant(&mut self, team: &TeamId, member: &MemberId, slots: u64, cap: u64) -> Result<u64, Error> {
        let granted = slots.min(self.free(team, cap));
        if granted == 0 {
            return Err(Error::Exhausted { team: team.clone(), cap });
        }
        self.add(team, member, granted);
        Ok(granted)
    }

    /// Transfers slots from their holder to another member, or frees them if `to` is `None`.
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
        self.subtract(team, from, slots);
        if let Some(to) = to {
            self.add(team, to, slots);
        }
        Ok(())
    }

    /// Removes the allotments of fenced members. The adopter receives the slots
    /// of the tasks that it adopted, up to what those members held; the rest becomes free.
    pub fn settle(&mut self, fenced: &[MemberId], adopter: &MemberId, adopted: &BTreeMap<TeamId, u64>) {
        let teams: Vec<TeamId> = self.held.keys().cloned().collect();
        for team in teams {
            let mut held = 0;
            for member in fenced {
                let slots = self.held(&team, member);
                self.subtract(&team, member, slots);
                held += slots;
            }
            let kept = adopted.get(&team).copied().unwrap_or(0);
            self.add(&team, adopter, kept.min(held));
        }
    }

    /// Slots held by one member, by team.
    pub fn allotments_of<'a>(&'a self, member: &'a str) -> impl Iterator<Item = (&'a TeamId, u64)> {
        let held = move |it: &BTreeMap<MemberId, u64>| it.get(member).copied();
        self.held.iter().filter_map(move |(team, holders)| Some((team, held(holders)?)))
    }

    /// Members that hold slots of a team's cap, with the number of slots.
    pub fn holders(&self, team: &str) -> impl Iterator<Item = (&MemberId, u64)> {
        self.held.get(team).into_iter().flatten().map(|(member, slots)| (member, *slots))
    }

    /// Teams of whose caps any slots are held.
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

    fn subtract(&mut self, team: &TeamId, member: &MemberId, slots: u64) {
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
