//! Snapshots of the state, split into chunks and written to the log.
//!
//! A snapshot is written before the log's retention drops the entries that it
//! covers. A replica that needs dropped entries continues from the snapshot.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;
use uuid::Uuid;

use crate::id::Offset;
use crate::state::State;

/// Largest size of a chunk's part of the encoded state, in bytes.
pub const MAX_CHUNK_BYTES: usize = 128 * 1024;

/// One part of a snapshot, as an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the snapshot, equal in all of its chunks.
    pub id: Uuid,
    /// First offset that is not in the state.
    pub next: Offset,
    /// Position of this chunk in the snapshot, from zero.
    pub index: u32,
    /// Number of chunks of the snapshot.
    pub count: u32,
    /// SHA-256 of the whole encoded state.
    pub sum: [u8; 32],
    /// This chunk's part of the encoded state.
    pub bytes: Bytes,
}

/// Why a snapshot could not be used.
#[derive(Debug, Error)]
pub enum Error {
    /// The assembled state does not match the checksum in its chunks.
    #[error("snapshot {id} is damaged: checksum differs")]
    ChecksumMismatch {
        /// Id of the snapshot.
        id: Uuid,
    },
    /// The state could not be decoded.
    #[error("cannot read a snapshot")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Assembles snapshots from chunks that arrive in any order.
#[derive(Debug, Default)]
pub struct Collector {
    /// Chunks of incomplete snapshots, by snapshot id and position.
    incomplete: BTreeMap<Uuid, BTreeMap<u32, Chunk>>,
}

/// Encodes a state with MessagePack.
pub fn encode(state: &State) -> Bytes {
    let bytes = rmp_serde::to_vec(state).expect("state types always encode");
    Bytes::from(bytes)
}

/// Decodes a state written by [`encode`].
pub fn decode(bytes: &[u8]) -> Result<State, Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Encodes a state and splits it into the chunks of a snapshot with this id.
pub fn split(id: Uuid, state: &State) -> Vec<Chunk> {
    let bytes = encode(state);
    let sum: [u8; 32] = Sha256::digest(&bytes).into();
    let count = bytes.len().div_ceil(MAX_CHUNK_BYTES) as u32;
    let chunk = |index: u32| {
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
    (0..count).map(chunk).collect()
}

impl Collector {
    /// Adds a chunk, and returns the state once all chunks of its snapshot have been added.
    pub fn add(&mut self, chunk: Chunk) -> Result<Option<State>, Error> {
        let (id, count, sum) = (chunk.id, chunk.count, chunk.sum);
        let chunks = self.incomplete.entry(id).or_default();
        chunks.insert(chunk.index, chunk);
        if chunks.len() < count as usize {
            return Ok(None);
        }
        let chunks = self.incomplete.remove(&id).unwrap_or_default();
        let mut bytes = BytesMut::new();
        for chunk in chunks.values() {
            bytes.extend_from_slice(&chunk.bytes);
        }
        let actual_sum: [u8; 32] = Sha256::digest(&bytes).into();
        if actual_sum != sum {
            return Err(Error::ChecksumMismatch { id });
        }
        decode(&bytes).map(Some)
    }
}
