//! The state in checksummed chunks, written to the log ahead of its retention.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;
use uuid::Uuid;

use crate::id::Offset;
use crate::state::State;

/// Largest chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 128 * 1024;

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Ties the parts of one snapshot together.
    pub id: Uuid,
    /// First offset that is not in the state.
    pub next: Offset,
    /// Position of this part, from zero.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// SHA-256 of the whole encoded state.
    pub sum: [u8; 32],
    /// This part of the encoded state.
    pub bytes: Bytes,
}

/// Why a snapshot was refused.
#[derive(Debug, Error)]
pub enum Error {
    /// The checksum does not match.
    #[error("snapshot {id} is damaged: checksum differs")]
    ChecksumMismatch {
        /// Its id.
        id: Uuid,
    },
    /// The encoded state could not be read.
    #[error("cannot read a snapshot")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Collects chunks until a snapshot is complete.
#[derive(Debug, Default)]
pub struct Collector {
    partial: BTreeMap<Uuid, BTreeMap<u32, Chunk>>,
}

/// Encodes a state.
pub fn encode(state: &State) -> Bytes {
    let bytes = rmp_serde::to_vec(state).expect("state types always encode");
    Bytes::from(bytes)
}

/// Decodes what [`encode`] wrote.
pub fn decode(bytes: &[u8]) -> Result<State, Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Cuts a state into chunks.
pub fn split(id: Uuid, state: &State) -> Vec<Chunk> {
    let bytes = encode(state);
    let sum: [u8; 32] = Sha256::digest(&bytes).into();
    let count = bytes.len().div_ceil(MAX_CHUNK_BYTES) as u32;
    let part = |index: u32| {
        let start = index as usize * MAX_CHUNK_BYTES;
        let end = bytes.len().min(start + MAX_CHUNK_BYTES);
        Chunk {
            id,
            next: state.next_offset(),
            index,
            count,
            sum,
            bytes: bytes.slice(start..end),
        }
    };
    (0..count).map(part).collect()
}

impl Collector {
    /// Takes a chunk in; returns the state once all parts are there.
    pub fn add(&mut self, chunk: Chunk) -> Result<Option<State>, Error> {
        let (id, count, sum) = (chunk.id, chunk.count, chunk.sum);
        let parts = self.partial.entry(id).or_default();
        parts.insert(chunk.index, chunk);
        if parts.len() < count as usize {
            return Ok(None);
        }
        let parts = self.partial.remove(&id).unwrap_or_default();
        let mut bytes = BytesMut::new();
        for part in parts.values() {
            bytes.extend_from_slice(&part.bytes);
        }
        let found: [u8; 32] = Sha256::digest(&bytes).into();
        if found != sum {
            return Err(Error::ChecksumMismatch { id });
        }
        decode(&bytes).map(Some)
    }
}
