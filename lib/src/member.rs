//! Membership of entry instances, and which member owns a job id.
//!
//! Only the owner of a job's id, picked by rendezvous hashing over the active
//! members, accepts a job that may run at most once. When members join or are
//! fenced, ownership of some ids moves. The new owner cannot know which jobs
//! the previous one accepted, so it accepts an id without asking other members
//! only if the id was created after its ownership began.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::id::{JobId, MemberId, Offset, ZoneId};

/// Number of recent epochs kept, to find earlier owners of an id.
const MAX_EPOCHS: usize = 64;

/// One incarnation of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Availability zone; the member runs tasks on the workers of this zone only.
    pub zone: ZoneId,
    /// Address for messages from other entry instances.
    pub addr: SocketAddr,
    /// Offset of its join record. The member of a zone that joined first
    /// fences silent members and adopts the tasks of fenced ones.
    pub joined: Offset,
    /// Whether the member is active or fenced.
    pub phase: Phase,
}

/// Lifecycle phase of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts and runs jobs.
    Active,
    /// Fenced by a record: starts nothing more, but the slots that it held are not settled yet.
    Fenced {
        /// Offset of the fence record.
        at: Offset,
    },
}

/// The active members from one membership change to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// Offset of the membership change that began the epoch; identifies the epoch.
    pub offset: Offset,
    /// Members that are active in this epoch.
    pub members: Vec<MemberId>,
}

/// When this process first saw each epoch, by epoch offset; milliseconds since
/// the Unix epoch by its own clock.
///
/// The timestamp in a record cannot serve for this: an append may be under way
/// for long, so a record may be accepted any time after its timestamp. A
/// process never sees an epoch before its record was accepted.
pub type EpochTimes = BTreeMap<Offset, u64>;

/// Members of all zones and the recent epochs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    members: BTreeMap<MemberId, Member>,
    /// Recent epochs, oldest first.
    epochs: Vec<Epoch>,
}

/// Why a membership change was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The incarnation is already a member. A restarted instance joins as a new one.
    #[error("member {id} joined before; an incarnation joins once")]
    Joined {
        /// Incarnation that joined again.
        id: MemberId,
    },
    /// The member does not exist or is not in the phase that the change needs.
    #[error("member {id} is not there or not in the phase for this change")]
    Phase {
        /// Member that the change concerns.
        id: MemberId,
    },
}

impl Membership {
    /// Adds an incarnation as an active member and begins a new epoch.
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
        self.begin_epoch(offset);
        Ok(())
    }

    /// Fences an active member and begins a new epoch. The member stays listed
    /// until [`Membership::remove`].
    pub fn fence(&mut self, offset: Offset, id: &MemberId) -> Result<(), Error> {
        let wrong_phase = || Error::Phase { id: id.clone() };
        let member = self.members.get_mut(id).ok_or_else(wrong_phase)?;
        if member.phase != Phase::Active {
            return Err(wrong_phase());
        }
        member.phase = Phase::Fenced { at: offset };
        self.begin_epoch(offset);
        Ok(())
    }

    /// Removes fenced members: all of `ids`, or none if one of them is not fenced.
    pub fn remove(&mut self, ids: &[MemberId]) -> Result<(), Error> {
        let is_fenced = |id: &&MemberId| self.members.get(*id).is_some_and(|it| it.phase != Phase::Active);
        if let Some(id) = ids.iter().find(|it| !is_fenced(it)) {
            return Err(Error::Phase { id: id.clone() });
        }
        self.members.retain(|id, _| !ids.contains(id));
        Ok(())
    }

    /// The active member of a zone that joined first, disregarding those in `except`.
    pub fn earliest_joined(&self, zone: &str, except: &[MemberId]) -> Option<&MemberId> {
        let in_zone = self.active().filter(|(id, it)| &*it.zone == zone && !except.contains(id));
        in_zone.min_by_key(|(_, it)| it.joined).map(|(id, _)| id)
    }

    /// The member with this id, in any phase.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Whether there is a member with this id and it is not fenced.
    pub fn is_active(&self, id: &str) -> bool {
        self.get(id).is_some_and(|it| it.phase == Phase::Active)
    }

    /// Active members in id order.
    pub fn active(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter().filter(|(_, it)| it.phase == Phase::Active)
    }

    /// Fenced members that have not been settled, in id order.
    pub fn fenced(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter().filter(|(_, it)| it.phase != Phase::Active)
    }

    /// Owner of a job id in the current epoch; `None` if there is no active member.
    pub fn owner(&self, job: &JobId) -> Option<&MemberId> {
        self.epochs.last().and_then(|it| it.owner(job))
    }

    /// Members other than `id` that may have accepted a job as its owner.
    ///
    /// These are the owners of the job's id in every epoch that was in force, or
    /// that a member may still have acted on, after the id was created at
    /// `created_ms`. `margin` covers the time for which a member may act on a
    /// past epoch, plus the difference between clocks.
    pub fn earlier_owners(
        &self,
        id: &str,
        epoch_times: &EpochTimes,
        job: &JobId,
        created_ms: u64,
        margin: Duration,
    ) -> BTreeSet<&MemberId> {
        let owners = self
            .epochs_since(epoch_times, created_ms, margin)
            .filter_map(|epoch| epoch.owner(job));
        owners.filter(|it| &***it != id).collect()
    }

    /// Members other than `id` that were active at any time since `created_ms`, so that
    /// a job created then may have been submitted to them. `margin` is as for
    /// [`Membership::earlier_owners`].
    pub fn members_since(&self, id: &str, epoch_times: &EpochTimes, created_ms: u64, margin: Duration) -> BTreeSet<&MemberId> {
        let epochs = self.epochs_since(epoch_times, created_ms, margin);
        epochs.flat_map(|it| &it.members).filter(|it| &***it != id).collect()
    }

    /// Epochs that were in force, or that a member may still have acted on, at or after `from_ms`.
    ///
    /// An epoch ends when the next one became known; one whose successor is not
    /// known yet has not ended.
    fn epochs_since(&self, epoch_times: &EpochTimes, from_ms: u64, margin: Duration) -> impl Iterator<Item = &Epoch> {
        let margin_ms = margin.as_millis() as u64;
        let ends = self.epochs.iter().skip(1).map(|it| epoch_times.get(&it.offset).copied());
        let ends = ends.chain([None]).map(|it| it.unwrap_or(u64::MAX));
        let since = self
            .epochs
            .iter()
            .zip(ends)
            .filter(move |(_, end_ms)| from_ms < end_ms.saturating_add(margin_ms));
        since.map(|(epoch, _)| epoch)
    }

    /// Records `wall_ms` as the time at which new epochs became known, and drops
    /// epochs that the membership no longer keeps.
    pub fn record_epochs(&self, epoch_times: &mut EpochTimes, wall_ms: u64) {
        for epoch in &self.epochs {
            epoch_times.entry(epoch.offset).or_insert(wall_ms);
        }
        let oldest = self.epochs.first().map_or(0, |it| it.offset);
        epoch_times.retain(|offset, _| oldest <= *offset);
    }

    /// Offset of the latest change of the active members; zero if there was none.
    pub fn current_epoch(&self) -> Offset {
        self.epochs.last().map_or(0, |it| it.offset)
    }

    /// Time when the oldest remembered epoch became known, milliseconds since the Unix epoch.
    ///
    /// Earlier epochs may have been dropped, so earlier owners of older ids are
    /// unknown. Zero while no epoch can have been dropped.
    pub fn history_start_ms(&self, epoch_times: &EpochTimes) -> u64 {
        if self.epochs.len() < MAX_EPOCHS {
            return 0;
        }
        let oldest = self.epochs.first().and_then(|it| epoch_times.get(&it.offset));
        oldest.copied().unwrap_or(u64::MAX)
    }

    fn begin_epoch(&mut self, offset: Offset) {
        let members = self.active().map(|(id, _)| id.clone()).collect();
        self.epochs.push(Epoch { offset, members });
        if MAX_EPOCHS < self.epochs.len() {
            self.epochs.remove(0);
        }
    }
}

impl Epoch {
    /// Owner of a job id in this epoch: the member with the highest score for it.
    pub fn owner(&self, job: &JobId) -> Option<&MemberId> {
        self.members.iter().max_by_key(|it| score(it, job))
    }
}

/// Rendezvous hash of a member and a job id.
fn score(member: &str, job: &JobId) -> [u8; 8] {
    let mut hasher = Sha256::new();
    hasher.update(job.as_bytes());
    hasher.update(member.as_bytes());
    let digest = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    prefix
}
