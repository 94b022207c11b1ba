//! Callers' keys: the tree holds a hash only, the secret stays with the caller.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::id::{KeyId, Offset, TeamId};

/// SHA-256 of a key's secret part.
pub type SecretHash = [u8; 32];

/// A grant of a key to a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Team whose work the key brings.
    pub team: TeamId,
    /// Hash of the secret part.
    pub hash: SecretHash,
    /// Offset of the withdrawal, once withdrawn.
    pub withdrawn: Option<Offset>,
}

/// All grants; withdrawn ones stay, so that an id is never granted twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keyring {
    grants: BTreeMap<KeyId, Grant>,
}

/// Why a key or a change to it was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The id was granted before.
    #[error("key id {id} was granted before; choose a new one")]
    Taken {
        /// The id.
        id: KeyId,
    },
    /// No grant has this id, or the secret does not match.
    #[error("unknown key")]
    Unknown,
    /// The key was withdrawn.
    #[error("key {id} was withdrawn by record {offset}")]
    Withdrawn {
        /// The id.
        id: KeyId,
        /// Offset of the withdrawal.
        offset: Offset,
    },
}

impl Keyring {
    /// Grants a new key.
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

    /// Withdraws a key; a second withdrawal keeps the first offset.
    pub fn withdraw(&mut self, id: &KeyId, offset: Offset) -> Result<(), Error> {
        let grant = self.grants.get_mut(id).ok_or(Error::Unknown)?;
        grant.withdrawn.get_or_insert(offset);
        Ok(())
    }

    /// Finds the team of a presented key, `<id>.<secret>`.
    pub fn authenticate(&self, presented: &str) -> Result<(KeyId, TeamId), Error> {
        let (id, secret) = presented.split_once('.').ok_or(Error::Unknown)?;
        let (id, grant) = self.grants.get_key_value(id).ok_or(Error::Unknown)?;
        if grant.hash != hash_secret(secret) {
            return Err(Error::Unknown);
        }
        self.ensure_not_withdrawn(id)?;
        Ok((id.clone(), grant.team.clone()))
    }

    /// Checks that a key known from an earlier request still works.
    pub fn ensure_not_withdrawn(&self, id: &KeyId) -> Result<(), Error> {
        let grant = self.grants.get(id).ok_or(Error::Unknown)?;
        match grant.withdrawn {
            Some(offset) => Err(Error::Withdrawn { id: id.clone(), offset }),
            None => Ok(()),
        }
    }

    /// All grants in id order.
    pub fn iter(&self) -> impl Iterator<Item = (&KeyId, &Grant)> {
        self.grants.iter()
    }
}

/// Hashes the secret part of a key.
pub fn hash_secret(secret: &str) -> SecretHash {
    Sha256::digest(secret.as_bytes()).into()
}
