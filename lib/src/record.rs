//! What the log carries: batches of records, and chunks of snapshots.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet::{Health, Phase, Purpose};
use crate::id::{InstanceId, KeyId, MemberId, OpId, PoolId, RackId, TeamId, ZoneId};
use crate::key::SecretHash;
use crate::snapshot::Chunk;
use crate::tree::Edit;

/// What one offset of the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Records applied one after the other.
    Records(Vec<Record>),
    /// A part of a snapshot; changes nothing.
    Chunk(Chunk),
}

/// One change with its author; applied at most once per operation id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Makes a repeated append harmless.
    pub op: OpId,
    /// Operator or process that wrote it.
    pub author: String,
    /// Wall clock of the author, milliseconds since the epoch.
    pub wall_ms: u64,
    /// The change.
    pub change: Change,
}

/// A change to the shared state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Edits the tree of settings.
    Edit(Edit),
    /// Grants a key.
    KeyGrant {
        /// Public part.
        id: KeyId,
        /// Team it works for.
        team: TeamId,
        /// Hash of the secret part.
        hash: SecretHash,
    },
    /// Withdraws a key.
    KeyWithdraw {
        /// Public part.
        id: KeyId,
    },
    /// Adds an upstream instance.
    InstanceAdd {
        /// Its name.
        id: InstanceId,
        /// Its zone.
        zone: ZoneId,
        /// Its rack.
        rack: RackId,
        /// Its first pool.
        pool: PoolId,
        /// Address of its task interface.
        addr: SocketAddr,
        /// Tasks it runs at once.
        slots: u32,
    },
    /// Removes an upstream instance for good.
    InstanceRemove {
        /// Its name.
        id: InstanceId,
        /// Epoch the author had read.
        epoch: u64,
    },
    /// Records whether an instance serves.
    Observe {
        /// Its name.
        id: InstanceId,
        /// What was seen.
        health: Health,
    },
    /// Asks for a disruption within the pool's budget.
    Permit {
        /// The instance.
        id: InstanceId,
        /// Epoch the author had read.
        epoch: u64,
        /// What for.
        purpose: Purpose,
    },
    /// Moves a disruption on.
    Advance {
        /// The instance.
        id: InstanceId,
        /// Phase it must be in.
        from: Phase,
        /// Phase to enter.
        to: Phase,
    },
    /// Ends a disruption.
    Release {
        /// The instance.
        id: InstanceId,
    },
    /// Gives a disruption up.
    Abandon {
        /// The instance.
        id: InstanceId,
    },
    /// An entry instance joins.
    Join {
        /// Its incarnation.
        id: MemberId,
        /// Its zone.
        zone: ZoneId,
        /// Address for messages from other entries.
        addr: SocketAddr,
    },
    /// An entry instance is stopped, by itself or by a peer that finds it dead.
    Fence {
        /// Its incarnation.
        id: MemberId,
    },
    /// Closes the accounts of fenced members.
    Settle {
        /// The fenced members, all of one zone.
        ids: Vec<MemberId>,
        /// Who took over its running tasks.
        adopter: MemberId,
        /// Adopted tasks by team, in slots.
        adopted: BTreeMap<TeamId, u64>,
    },
    /// Takes free slots of a cap.
    Grant {
        /// The team.
        team: TeamId,
        /// The new holder.
        member: MemberId,
        /// Slots asked for.
        slots: u64,
    },
    /// Gives slots of a cap to another member, or frees them.
    Transfer {
        /// The team.
        team: TeamId,
        /// The giver, author of this record.
        from: MemberId,
        /// The receiver; nobody frees the slots.
        to: Option<MemberId>,
        /// Slots given.
        slots: u64,
    },
    /// Starts, replaces or pauses a maintenance wave.
    Wave(crate::wave::Wave),
}

/// Why a payload could not be read.
#[derive(Debug, Error)]
#[error("cannot read a log payload")]
pub struct Error {
    #[from]
    source: rmp_serde::decode::Error,
}

impl Payload {
    /// Encodes with MessagePack.
    pub fn encode(&self) -> Bytes {
        let bytes = rmp_serde::to_vec(self).expect("payload types always encode");
        Bytes::from(bytes)
    }

    /// Decodes what [`Payload::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Payload, Error> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
