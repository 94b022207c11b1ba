//! The replicated state and the function that applies the log to it.
//!
//! [`State::apply`] is deterministic: replicas that apply the same payloads in
//! the same order hold equal states and refuse the same records. The order of
//! the log therefore decides every race, without further coordination.

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

/// Number of recent operation ids kept, to ignore records that were appended more than once.
const MAX_REMEMBERED_OPS: usize = 32_768;

/// The replicated state after applying every payload below an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next payload to apply.
    next: Offset,
    /// Outcomes of the remembered operations.
    ops: BTreeMap<OpId, RecordOutcome>,
    /// The remembered operations, oldest first.
    ops_order: VecDeque<OpId>,
    /// Settings by tree node; in an `Arc` so that request handlers read them without copying.
    pub tree: Arc<Tree>,
    /// Callers' keys; in an `Arc` so that request handlers read them without copying.
    pub keys: Arc<Keyring>,
    /// Upstream instances with their pools and disruption permits.
    pub fleet: Fleet,
    /// Entry instances and the recent changes of their membership.
    pub roster: Membership,
    /// Slots of the teams' caps held by each entry instance.
    pub ledger: Ledger,
    /// The maintenance wave last ordered; `None` before the first one.
    pub wave: Option<wave::Wave>,
}

/// Whether a record was applied or refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordOutcome {
    /// The record's change was applied at this offset.
    Accepted(Offset),
    /// The record's precondition failed; the state is unchanged.
    Refused(Refusal),
}

/// Why a record was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The settings tree refused an edit.
    #[error(transparent)]
    Tree(#[from] tree::Error),
    /// The key ring refused a change.
    #[error(transparent)]
    Key(#[from] key::Error),
    /// The fleet refused a change.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// The membership of entry instances refused a change.
    #[error(transparent)]
    Member(#[from] member::Error),
    /// The ledger of allotments refused a change.
    #[error(transparent)]
    Ledger(#[from] ledger::Error),
}

impl State {
    /// Offset of the next payload to apply; every earlier one is in the state.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Outcome of an operation; `None` if it was never applied or is no longer remembered.
    pub fn outcome(&self, op: &OpId) -> Option<&RecordOutcome> {
        self.ops.get(op)
    }

    /// Applies the payload at [`State::next_offset`] and moves on by one offset.
    ///
    /// A record whose operation id is remembered is skipped.
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
        let outcome = match self.apply_change(offset, record) {
            Ok(()) => RecordOutcome::Accepted(offset),
            Err(refusal) => RecordOutcome::Refused(refusal),
        };
        self.remember_outcome(record.op, outcome);
    }

    fn remember_outcome(&mut self, op: OpId, outcome: RecordOutcome) {
        self.ops.insert(op, outcome);
        self.ops_order.push_back(op);
        if MAX_REMEMBERED_OPS < self.ops_order.len() {
            let oldest = self.ops_order.pop_front();
            oldest.and_then(|it| self.ops.remove(&it));
        }
    }

    fn apply_change(&mut self, offset: Offset, record: &Record) -> Result<(), Refusal> {
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
            | Change::Abandon { .. } => self.apply_fleet_change(offset, record)?,
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
                // If the receiver was fenced since the record was written, the slots become free.
                let to = to.as_ref().filter(|it| self.roster.is_active(it));
                self.ledger.transfer(team, from, to, *slots)?;
            }
            Change::Wave(wave) => self.wave = Some(wave.clone()),
        }
        Ok(())
    }

    fn apply_fleet_change(&mut self, offset: Offset, record: &Record) -> Result<(), fleet::Error> {
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
                let budget = self.budget_of_instance(id);
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

    fn budget_of_instance(&self, id: &str) -> setting::Budget {
        let pool = self.fleet.get(id).map_or("", |it| &it.pool);
        self.budget(pool)
    }

    /// Limit on simultaneously disrupted instances of a pool; zero if the setting cannot be parsed.
    pub fn budget(&self, pool: &str) -> setting::Budget {
        let text = self.tree.get(&pool_path(pool), setting::BUDGET);
        setting::parse_budget(text).unwrap_or(setting::Budget::Count(0))
    }

    /// Slots that a team may use fleet-wide at once.
    pub fn cap(&self, team: &str) -> u64 {
        self.tree.get_number(team, setting::CAP)
    }

    /// Whether new tasks may start in this zone and pool.
    pub fn accepts_work(&self, zone: &str, pool: &str) -> bool {
        self.tree.get(&zone_pool_path(zone, pool), setting::STATE) == "in"
    }
}

/// Path of a zone's node in the settings tree.
pub fn zone_path(zone: &str) -> String {
    format!("site/{zone}")
}

/// Path of the node of a pool within one zone.
pub fn zone_pool_path(zone: &str, pool: &str) -> String {
    format!("site/{zone}/{pool}")
}

/// Path of the node of a pool across all zones.
pub fn pool_path(pool: &str) -> String {
    format!("pool/{pool}")
}
