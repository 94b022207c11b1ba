//! Entry instances, and which of them owns a job id.
//!
//! A job that may not be repeated is first taken by exactly one member: the
//! one that rendezvous hashing picks for its id. When members come and go,
//! ids move. A new owner cannot know what the old one took, so it takes as
//! first-time only ids minted after its ownership began.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::id::{JobId, MemberId, Offset, ZoneId};

/// Membership changes remembered for ownership questions.
const EPOCHS_KEPT: usize = 64;

/// One incarnation of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Zone whose workers it places on.
    pub zone: ZoneId,
    /// Address for messages from other entries.
    pub addr: SocketAddr,
    /// Offset at which it joined; the oldest of a zone takes care of fenced ones.
    pub joined: Offset,
    /// Life-cycle phase.
    pub phase: Phase,
}

/// Life-cycle phase of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Takes work.
    Active,
    /// Stopped by a record; its accounts are not closed yet.
    Fenced {
        /// Offset of the record.
        at: Offset,
    },
}

/// Members in force from one offset on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// Offset of the change.
    pub offset: Offset,
    /// Active members.
    pub members: Vec<MemberId>,
}

/// When one instance first knew of each epoch, milliseconds since the Unix
/// epoch by its own clock.
///
/// A record's own time stamp is older than its acceptance by any amount, as an
/// append may be under way for long. The time of knowing is never before it.
pub type EpochTimes = BTreeMap<Offset, u64>;

/// All members and the recent epochs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    members: BTreeMap<MemberId, Member>,
    epochs: Vec<Epoch>,
}

/// Why a membership change was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The incarnation joined before.
    #[error("member {id} joined before; an incarnation joins once")]
    Joined {
        /// The member.
        id: MemberId,
    },
    /// No such member, or it is not in the phase that the change needs.
    #[error("member {id} is not there or not in the phase for this change")]
    Phase {
        /// The member.
        id: MemberId,
    },
}

impl Membership {
    /// Adds a new incarnation.
    pub fn join(&mut self, offset: Offset, id: &MemberId, zone: &ZoneId, addr: SocketAddr) -> Result<(), Error> {
        if self.members.contains_key(id) {
            return Err(Error::Joined { id: id.clone() });
        }
        let member = Member {
            zone: zone.clone(),
            addr,
            joined: offset,
            phase: Phase::Active,
        };
        self.members.insert(id.clone(), member);
        self.turn(offset);
        Ok(())
    }

    /// Stops an active member; its accounts stay open until settled.
    pub fn fence(&mut self, offset: Offset, id: &MemberId) -> Result<(), Error> {
        let phase_err = || Error::Phase { id: id.clone() };
        let member = self.members.get_mut(id).ok_or_else(phase_err)?;
        if member.phase != Phase::Active {
            return Err(phase_err());
        }
        member.phase = Phase::Fenced { at: offset };
        self.turn(offset);
        Ok(())
    }

    /// Removes fenced members, all of them or none.
    pub fn remove(&mut self, ids: &[MemberId]) -> Result<(), Error> {
        let fenced = |id: &&MemberId| self.members.get(*id).is_some_and(|it| it.phase != Phase::Active);
        if let Some(id) = ids.iter().find(|it| !fenced(it)) {
            return Err(Error::Phase { id: id.clone() });
        }
        self.members.retain(|id, _| !ids.contains(id));
        Ok(())
    }

    /// The active member of a zone that joined first, other than `except`.
    pub fn earliest_joined(&self, zone: &str, except: &[MemberId]) -> Option<&MemberId> {
        let here = self.active().filter(|(id, it)| &*it.zone == zone && !except.contains(id));
        here.min_by_key(|(_, it)| it.joined).map(|(id, _)| id)
    }

    /// The member of that id, in any phase.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Whether the member takes work.
    pub fn is_active(&self, id: &str) -> bool {
        self.get(id).is_some_and(|it| it.phase == Phase::Active)
    }

    /// Active members.
    pub fn active(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter().filter(|(_, it)| it.phase == Phase::Active)
    }

    /// Members stopped by a record whose accounts are open.
    pub fn fenced(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter().filter(|(_, it)| it.phase != Phase::Active)
    }

    /// Owner of an id under the membership in force.
    pub fn owner(&self, job: &JobId) -> Option<&MemberId> {
        self.epochs.last().and_then(|it| it.owner(job))
    }

    /// Other members that may have taken a job as its owner.
    ///
    /// Those are the owners of its id in every epoch that was in force, or
    /// still acted upon, after it was minted. `margin` covers the time for which
    /// a member may act on an old epoch, plus the difference between clocks.
    pub fn earlier_owners(&self, id: &str, known: &EpochTimes, job: &JobId, mint_ms: u64, margin: Duration) -> BTreeSet<&MemberId> {
        let owners = self.epochs_since(known, mint_ms, margin).filter_map(|epoch| epoch.owner(job));
        owners.filter(|it| &***it != id).collect()
    }

    /// Other members that may have been given a job since it was minted.
    pub fn members_since(&self, id: &str, known: &EpochTimes, mint_ms: u64, margin: Duration) -> BTreeSet<&MemberId> {
        let open = self.epochs_since(known, mint_ms, margin);
        open.flat_map(|it| &it.members).filter(|it| &***it != id).collect()
    }

    /// Epochs in force, or still acted upon, at or after an instant.
    fn epochs_since(&self, known: &EpochTimes, from_ms: u64, margin: Duration) -> impl Iterator<Item = &Epoch> {
        let margin_ms = margin.as_millis() as u64;
        let ends = self.epochs.iter().skip(1).map(|it| known.get(&it.offset).copied());
        let ends = ends.chain([None]).map(|it| it.unwrap_or(u64::MAX));
        let open = self
            .epochs
            .iter()
            .zip(ends)
            .filter(move |(_, end_ms)| from_ms < end_ms.saturating_add(margin_ms));
        open.map(|(epoch, _)| epoch)
    }

    /// Notes epochs that were not known before; forgets those that are no longer kept.
    pub fn record_epochs(&self, known: &mut EpochTimes, wall_ms: u64) {
        for epoch in &self.epochs {
            known.entry(epoch.offset).or_insert(wall_ms);
        }
        let oldest = self.epochs.first().map_or(0, |it| it.offset);
        known.retain(|offset, _| oldest <= *offset);
    }

    /// Offset of the latest change of the active members.
    pub fn current_epoch(&self) -> Offset {
        self.epochs.last().map_or(0, |it| it.offset)
    }

    /// Instant before which epochs have been forgotten, milliseconds since the epoch.
    pub fn history_start_ms(&self, known: &EpochTimes) -> u64 {
        if self.epochs.len() < EPOCHS_KEPT {
            return 0;
        }
        let oldest = self.epochs.first().and_then(|it| known.get(&it.offset));
        oldest.copied().unwrap_or(u64::MAX)
    }

    fn turn(&mut self, offset: Offset) {
        let members = self.active().map(|(id, _)| id.clone()).collect();
        self.epochs.push(Epoch { offset, members });
        if EPOCHS_KEPT < self.epochs.len() {
            self.epochs.remove(0);
        }
    }
}

impl Epoch {
    /// The member with the highest hash for this id.
    pub fn owner(&self, job: &JobId) -> Option<&MemberId> {
        self.members.iter().max_by_key(|it| score(it, job))
    }
}

fn score(member: &str, job: &JobId) -> [u8; 8] {
    let mut hasher = Sha256::new();
    hasher.update(job.as_bytes());
    hasher.update(member.as_bytes());
    let digest = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    head
}
