//! The shared state and the function that applies the log to it.
//!
//! Every replica applies the same payloads in the same order and refuses the
//! same records, so no vote is needed on anything.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet::{self, Fleet};
use crate::id::{Offset, OpId};
use crate::key::{self, Keyring};
use crate::ledger::{self, Ledger};
use crate::member::{self, Membership};
use crate::record::{Change, Payload, Record};
use crate::setting;
use crate::tree::{self, Tree};
use crate::wave;

/// Operation ids remembered to make repeated appends harmless.
const OPS_KEPT: usize = 32_768;

/// All shared state up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    next: Offset,
    ops: BTreeMap<OpId, RecordOutcome>,
    ops_order: VecDeque<OpId>,
    /// Settings; shared with readers on the request path.
    pub tree: Arc<Tree>,
    /// Callers' keys; shared with readers on the request path.
    pub keys: Arc<Keyring>,
    /// Upstream instances.
    pub fleet: Fleet,
    /// Entry instances.
    pub roster: Membership,
    /// Allotments of caps.
    pub ledger: Ledger,
    /// The current maintenance wave.
    pub wave: Option<wave::Wave>,
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordOutcome {
    /// Applied at this offset.
    Accepted(Offset),
    /// Refused by every replica.
    Refused(Refusal),
}

/// Why a record was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The tree refused an edit.
    #[error(transparent)]
    Tree(#[from] tree::Error),
    /// The key ring refused a change.
    #[error(transparent)]
    Key(#[from] key::Error),
    /// The fleet refused a change.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// The roster refused a change.
    #[error(transparent)]
    Member(#[from] member::Error),
    /// The ledger refused a change.
    #[error(transparent)]
    Ledger(#[from] ledger::Error),
}

impl State {
    /// The next offset to apply.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// What became of an operation, if it is remembered.
    pub fn outcome(&self, op: &OpId) -> Option<&RecordOutcome> {
        self.ops.get(op)
    }

    /// Applies the payload at the next offset.
    pub fn apply(&mut self, payload: &Payload) {
        let offset = self.next;
        self.next += 1;
        if let Payload::Records(records) = payload {
            for record in records {
                self.apply_record(offset, record);
            }
        }
    }

    fn apply_record(&mut self, offset: Offset, record: &Record) {
        if self.ops.contains_key(&record.op) {
            return;
        }
        let verdict = match self.change(offset, record) {
            Ok(()) => RecordOutcome::Accepted(offset),
            Err(refusal) => RecordOutcome::Refused(refusal),
        };
        self.remember(record.op, verdict);
    }

    fn remember(&mut self, op: OpId, verdict: RecordOutcome) {
        self.ops.insert(op, verdict);
        self.ops_order.push_back(op);
        if OPS_KEPT < self.ops_order.len() {
            let oldest = self.ops_order.pop_front();
            oldest.and_then(|it| self.ops.remove(&it));
        }
    }

    fn change(&mut self, offset: Offset, record: &Record) -> Result<(), Refusal> {
        match &record.change {
            Change::Edit(edit) => Arc::make_mut(&mut self.tree).edit(offset, &record.author, edit)?,
            Change::KeyGrant { id, team, hash } => Arc::make_mut(&mut self.keys).grant(id, team, *hash)?,
            Change::KeyWithdraw { id } => Arc::make_mut(&mut self.keys).withdraw(id, offset)?,
            Change::InstanceAdd { .. }
            | Change::InstanceRemove { .. }
            | Change::Observe { .. }
            | Change::Permit { .. }
            | Change::Advance { .. }
            | Change::Release { .. }
            | Change::Abandon { .. } => self.change_fleet(offset, record)?,
            Change::Join { id, zone, addr } => self.roster.join(offset, id, zone, *addr)?,
            Change::Fence { id } => self.roster.fence(offset, id)?,
            Change::Settle { ids, adopter, adopted } => {
                self.require_active(adopter)?;
                self.roster.remove(ids)?;
                self.ledger.settle(ids, adopter, adopted);
            }
            Change::Grant { team, member, slots } => {
                self.require_active(member)?;
                let cap = self.cap(team);
                self.ledger.grant(team, member, *slots, cap)?;
            }
            Change::Transfer { team, from, to, slots } => {
                self.require_active(from)?;
                // A receiver that has been fenced meanwhile must not get more.
                let to = to.as_ref().filter(|it| self.roster.is_active(it));
                self.ledger.transfer(team, from, to, *slots)?;
            }
            Change::Wave(order) => self.wave = Some(order.clone()),
        }
        Ok(())
    }

    fn change_fleet(&mut self, offset: Offset, record: &Record) -> Result<(), fleet::Error> {
        match &record.change {
            Change::InstanceAdd {
                id,
                zone,
                rack,
                pool,
                addr,
                slots,
            } => {
                let instance = fleet::Instance {
                    zone: zone.clone(),
                    rack: rack.clone(),
                    pool: pool.clone(),
                    epoch: offset,
                    addr: *addr,
                    slots: *slots,
                    health: fleet::Health::Up,
                    permit: None,
                    maintained: 0,
                    maintained_ms: 0,
                };
                self.fleet.add(id, instance)
            }
            Change::InstanceRemove { id, epoch } => self.fleet.remove(id, *epoch),
            Change::Observe { id, health } => self.fleet.observe(id, *health),
            Change::Permit { id, epoch, purpose } => {
                let permit = fleet::Permit {
                    offset,
                    author: record.author.clone(),
                    purpose: purpose.clone(),
                    phase: fleet::Phase::Draining,
                };
                let budget = self.budget_for(id);
                self.fleet.permit(id, *epoch, permit, budget)
            }
            Change::Advance { id, from, to } => self.fleet.advance(id, *from, *to),
            Change::Release { id } => self.fleet.release(id, offset, record.wall_ms),
            Change::Abandon { id } => self.fleet.abandon(id),
            _ => Ok(()),
        }
    }

    fn require_active(&self, id: &crate::id::MemberId) -> Result<(), member::Error> {
        if self.roster.is_active(id) {
            return Ok(());
        }
        Err(member::Error::Phase { id: id.clone() })
    }

    fn budget_for(&self, id: &str) -> setting::Budget {
        let pool = self.fleet.get(id).map_or("", |it| &it.pool);
        self.budget(pool)
    }

    /// The availability budget of a pool.
    pub fn budget(&self, pool: &str) -> setting::Budget {
        let text = self.tree.get(&pool_path(pool), setting::BUDGET);
        setting::parse_budget(text).unwrap_or(setting::Budget::Count(0))
    }

    /// Slots a team may have running fleet-wide.
    pub fn cap(&self, team: &str) -> u64 {
        self.tree.get_number(team, setting::CAP)
    }

    /// Whether new work may start on the instance's part of the tree.
    pub fn accepts_work(&self, zone: &str, pool: &str) -> bool {
        self.tree.get(&zone_pool_path(zone, pool), setting::STATE) == "in"
    }
}

/// Node of a zone.
pub fn zone_path(zone: &str) -> String {
    format!("site/{zone}")
}

/// Node of a pool within a zone.
pub fn zone_pool_path(zone: &str, pool: &str) -> String {
    format!("site/{zone}/{pool}")
}

/// Node of a pool over all zones.
pub fn pool_path(pool: &str) -> String {
    format!("pool/{pool}")
}
