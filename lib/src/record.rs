//! Contents of the log: batches of records and chunks of snapshots.
//!
//! The types are encoded with MessagePack: fields by position and variants by
//! name, so both are part of the log's format.

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

/// The entry of the log at one offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Records, applied in this order.
    Records(Vec<Record>),
    /// One chunk of a snapshot; does not change the state.
    Chunk(Chunk),
}

/// A change to the shared state, applied at most once per operation id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Operation id; repeated appends of a record carry the same one.
    pub op: OpId,
    /// Name of the operator or process that wrote the record.
    pub author: String,
    /// Author's wall clock when it wrote the record, milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Change to apply, subject to its preconditions.
    pub change: Change,
}

/// A change to the shared state; each may be refused, see [`crate::state::Refusal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Sets or removes a setting at one node of the settings tree.
    Edit(Edit),
    /// Adds a caller's key.
    KeyGrant {
        /// Public part of the key.
        id: KeyId,
        /// Team whose jobs the key may submit.
        team: TeamId,
        /// Hash of the secret part of the key.
        hash: SecretHash,
    },
    /// Withdraws a caller's key.
    KeyWithdraw {
        /// Public part of the key.
        id: KeyId,
    },
    /// Adds an upstream instance to the fleet.
    InstanceAdd {
        /// Name of the instance.
        id: InstanceId,
        /// Availability zone of the instance.
        zone: ZoneId,
        /// Rack of the instance.
        rack: RackId,
        /// Pool that the instance starts in.
        pool: PoolId,
        /// Address to which task requests are sent.
        addr: SocketAddr,
        /// Number of tasks that the instance runs at once.
        slots: u32,
    },
    /// Removes an upstream instance from the fleet.
    InstanceRemove {
        /// Name of the instance.
        id: InstanceId,
        /// Pool epoch of the instance that the author had read; must still be current.
        epoch: u64,
    },
    /// Records the health of an instance.
    Observe {
        /// Name of the instance.
        id: InstanceId,
        /// Health that the author observed.
        health: Health,
    },
    /// Grants a permit to disrupt an instance if the pool's budget allows it.
    Permit {
        /// Instance to disrupt.
        id: InstanceId,
        /// Pool epoch of the instance that the author had read; must still be current.
        epoch: u64,
        /// Reason for the disruption.
        purpose: Purpose,
    },
    /// Advances a disruption to another phase.
    Advance {
        /// Instance under the permit.
        id: InstanceId,
        /// Phase that the permit must be in.
        from: Phase,
        /// Phase to enter.
        to: Phase,
    },
    /// Completes a disruption and ends its permit.
    Release {
        /// Instance under the permit.
        id: InstanceId,
    },
    /// Cancels a disruption and ends its permit.
    Abandon {
        /// Instance under the permit.
        id: InstanceId,
    },
    /// Adds an entry instance to the membership.
    Join {
        /// Incarnation that joins.
        id: MemberId,
        /// Availability zone of the entry instance.
        zone: ZoneId,
        /// Address for messages from other entry instances.
        addr: SocketAddr,
    },
    /// Fences an entry instance: written by itself when it stops, or by a peer that
    /// no longer receives frames from it.
    Fence {
        /// Incarnation to fence.
        id: MemberId,
    },
    /// Removes fenced members and frees the slots that they held.
    Settle {
        /// The fenced members, all of one zone.
        ids: Vec<MemberId>,
        /// Member that adopted their running tasks.
        adopter: MemberId,
        /// Slots of the adopted tasks by team; the adopter keeps holding them.
        adopted: BTreeMap<TeamId, u64>,
    },
    /// Allots free slots of a team's cap to a member.
    Grant {
        /// Team whose cap is used.
        team: TeamId,
        /// Member that will hold the slots.
        member: MemberId,
        /// Slots asked for; fewer are granted if fewer are free.
        slots: u64,
    },
    /// Transfers slots of a team's cap to another member, or frees them.
    Transfer {
        /// Team whose cap the slots belong to.
        team: TeamId,
        /// Member that holds the slots, and author of this record.
        from: MemberId,
        /// Member that receives the slots; `None` frees them.
        to: Option<MemberId>,
        /// Number of slots.
        slots: u64,
    },
    /// Starts, replaces, pauses or resumes a maintenance wave.
    Wave(crate::wave::Wave),
}

/// A payload could not be decoded.
#[derive(Debug, Error)]
#[error("cannot read a log payload")]
pub struct Error {
    #[from]
    source: rmp_serde::decode::Error,
}

impl Payload {
    /// Encodes the payload with MessagePack.
    pub fn encode(&self) -> Bytes {
        let bytes = rmp_serde::to_vec(self).expect("payload types always encode");
        Bytes::from(bytes)
    }

    /// Decodes a payload written by [`Payload::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Payload, Error> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
