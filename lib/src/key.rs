//! Callers' keys: which team each key works for, and whether it was withdrawn.
//!
//! A caller presents a key as `<id>.<secret>`. Only a hash of the secret is stored.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::id::{KeyId, Offset, TeamId};

/// SHA-256 of a key's secret part.
pub type SecretHash = [u8; 32];

/// A key granted to a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Team whose jobs the key may submit.
    pub team: TeamId,
    /// Hash of the secret part of the key.
    pub hash: SecretHash,
    /// Offset of the record that withdrew the key; `None` while it is valid.
    pub withdrawn: Option<Offset>,
}

/// All keys by id. Withdrawn ones are kept, so that an id is never granted twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keyring {
    grants: BTreeMap<KeyId, Grant>,
}

/// Why a key or a change to it was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The key id was granted before.
    #[error("key id {id} was granted before; choose a new one")]
    Taken {
        /// Key id that was to be granted again.
        id: KeyId,
    },
    /// The key is malformed, its id is unknown, or the secret does not match.
    #[error("unknown key")]
    Unknown,
    /// The key was withdrawn.
    #[error("key {id} was withdrawn by record {offset}")]
    Withdrawn {
        /// Id of the key.
        id: KeyId,
        /// Offset of the record that withdrew it.
        offset: Offset,
    },
}

impl Keyring {
    /// Adds a key with an id that was never granted.
    pub fn grant(&mut self, id: &KeyId, team: &TeamId, hash: SecretHash) -> Result<(), Error> {
        if self.grants.contains_key(id) {
            return Err(Error::Taken { id: id.clone() });
        }
        let grant = Grant {
            team: team.clone(),
            hash,
            withdrawn: None,
        };
        self.grants.insert(id.clone(), grant);
        Ok(())
    }

    /// Withdraws a key. The offset of the first withdrawal is kept.
    pub fn withdraw(&mut self, id: &KeyId, offset: Offset) -> Result<(), Error> {
        let grant = self.grants.get_mut(id).ok_or(Error::Unknown)?;
        grant.withdrawn.get_or_insert(offset);
        Ok(())
    }

    /// Checks a presented key, `<id>.<secret>`, and returns its id and team.
    pub fn authenticate(&self, presented: &str) -> Result<(KeyId, TeamId), Error> {
        let (id, secret) = presented.split_once('.').ok_or(Error::Unknown)?;
        let (id, grant) = self.grants.get_key_value(id).ok_or(Error::Unknown)?;
        if grant.hash != hash_secret(secret) {
            return Err(Error::Unknown);
        }
        self.ensure_not_withdrawn(id)?;
        Ok((id.clone(), grant.team.clone()))
    }

    /// Returns an error if the key is unknown or was withdrawn.
    ///
    /// For a key whose secret was checked by an earlier request.
    pub fn ensure_not_withdrawn(&self, id: &KeyId) -> Result<(), Error> {
        let grant = self.grants.get(id).ok_or(Error::Unknown)?;
        match grant.withdrawn {
            Some(offset) => Err(Error::Withdrawn { id: id.clone(), offset }),
            None => Ok(()),
        }
    }

    /// All keys in id order, including withdrawn ones.
    pub fn iter(&self) -> impl Iterator<Item = (&KeyId, &Grant)> {
        self.grants.iter()
    }
}

/// Computes the hash under which the secret part of a key is stored.
pub fn hash_secret(secret: &str) -> SecretHash {
    Sha256::digest(secret.as_bytes()).into()
}
