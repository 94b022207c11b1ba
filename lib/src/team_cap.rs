//! The cap of one team: what owners claim of it, and what each of them gets.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::cap_demand::Detail;
use crate::cap_division::{self, Division};
use crate::cap_turn::{Outcome, Turns};
use crate::query::TeamDemand;
use crate::resources::Resources;
use crate::rpc::PartitionId;

/// Age of an owner's report from which on it waits for nothing.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Time within which an owner starts something if its grant has room for what it could start.
const START_TIME: Duration = Duration::from_secs(2);
/// Time for which the demand of an owner that has not is disregarded.
const DISREGARD_TIME: Duration = Duration::from_secs(1);

/// What one owner claims.
#[derive(Clone, Debug, Default)]
struct Claim {
    used: Resources,
    wanted: Resources,
    detail: Detail,
    /// The most that may be running: what runs, or any grant that the owner may still go by.
    outstanding: Resources,
    /// Since when `outstanding` has been as it is.
    held_since: Duration,
    reported_at: Duration,
    /// Since when the grant has had room for what could start next.
    has_room_since: Option<Duration>,
    /// Until when the demand is disregarded.
    disregarded_until: Duration,
}

impl Claim {
    /// Whether something could start that the division has to allow for.
    fn is_waiting(&self, now: Duration) -> bool {
        self.counts(now) && !self.detail.next.is_empty()
    }

    fn counts(&self, now: Duration) -> bool {
        now <= self.reported_at + MAX_REPORT_AGE && self.disregarded_until <= now
    }

    /// What runs and what could start.
    fn demand(&self, now: Duration) -> Resources {
        let mut demand = self.used;
        if self.counts(now) {
            demand += self.wanted;
        }
        demand
    }

    fn is_empty(&self) -> bool {
        self.outstanding.is_zero() && self.wanted.is_zero() && self.detail == Detail::default()
    }

    fn for_division(&self, now: Duration) -> cap_division::Claim<'_> {
        let claim = cap_division::Claim {
            used: self.used,
            lasting: self.detail.lasting,
            ..cap_division::Claim::default()
        };
        match self.counts(now) {
            true => cap_division::Claim {
                wanted: self.wanted,
                next: &self.detail.next,
                is_complete: self.detail.is_complete,
                ..claim
            },
            false => claim,
        }
    }
}

/// A change of the owner for which room is kept free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum TurnChange {
    /// Room is kept free for the owner of a partition.
    Began {
        /// The partition.
        part: PartitionId,
        /// What is kept free: what a task or a whole gang needs.
        need: Resources,
        /// Time for which the owner has started nothing, milliseconds.
        waited_ms: u64,
    },
    /// That has ended.
    Ended {
        /// The partition.
        part: PartitionId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it began, milliseconds.
        took_ms: u64,
    },
}

/// What an owner has of a team's cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Part {
    /// Partition of the owner.
    pub part: PartitionId,
    /// What runs.
    pub used: Resources,
    /// The part of it that does not end on its own.
    pub lasting: Resources,
    /// What runs or may be started by a grant.
    pub held: Resources,
    /// Time since when that has been so, milliseconds.
    pub held_ms: u64,
    /// What could start.
    pub wanted: Resources,
    /// What could start next: a task or a whole gang.
    pub next: Option<Resources>,
    /// Time for which the owner has started nothing although it could, milliseconds.
    pub waits_ms: Option<u64>,
}

/// What an owner gets of a team's cap.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    /// What it may have running.
    pub(crate) amount: Resources,
    /// What tasks that end on their own may use in all pools together; `None` if there are no
    /// others.
    pub(crate) flexible: Option<Resources>,
}

/// The claims of all owners to a team's cap, and whose turn it is.
#[derive(Debug, Default)]
pub(crate) struct TeamCap {
    claims: BTreeMap<PartitionId, Claim>,
    turns: Turns<PartitionId>,
    changes: Vec<TurnChange>,
}

impl TeamCap {
    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<TurnChange> {
        std::mem::take(&mut self.changes)
    }

    /// Replaces the claim of an owner by that of its report, in which it holds a grant of `held`.
    pub(crate) fn store(&mut self, now: Duration, part: PartitionId, demand: TeamDemand, held: Resources, detail: Detail) {
        let claim = self.claims.entry(part).or_default();
        // A new owner counts anew.
        let has_started = claim.detail.started < detail.started;
        // A new owner holds no grant; runs that it found count as its use.
        let outstanding = demand.used.max(&held);
        if claim.outstanding != outstanding {
            claim.held_since = now;
        }
        claim.used = demand.used;
        claim.wanted = demand.wanted;
        claim.detail = detail;
        claim.outstanding = outstanding;
        claim.reported_at = now;
        if has_started {
            claim.has_room_since = None;
            self.change_turn(now, |turns| turns.started(now, &part));
        } else if claim.has_room_since.is_some_and(|it| it + START_TIME <= now) {
            claim.has_room_since = None;
            claim.disregarded_until = now + DISREGARD_TIME;
        }
        if self.claims[&part].is_empty() {
            self.claims.remove(&part);
        }
    }

    /// Returns what the owner of a partition gets of a cap that `owners` owners share. It never gets
    /// what others may still be using.
    pub(crate) fn grant(&mut self, now: Duration, part: PartitionId, cap: &Resources, owners: usize) -> Grant {
        self.claims.entry(part).or_default();
        let limit = cap_division::unlimited_if_zero(cap);
        let (mut demand, mut upcoming) = (Resources::default(), Resources::default());
        let (mut lasting, mut others) = (Resources::default(), Resources::default());
        for (other_part, claim) in &self.claims {
            demand += claim.demand(now);
            upcoming += claim.detail.upcoming;
            lasting += claim.detail.lasting;
            if *other_part != part {
                others += claim.outstanding;
            }
        }
        let available = limit.remaining_after(&others);
        let (amount, has_room) = match limit.contains(&demand) {
            true => {
                // Unused capacity is spread, so that new demand need not wait for a report.
                let claim = &self.claims[&part];
                let mut amount = claim.demand(now);
                let unused = limit.remaining_after(&demand);
                amount += cap_division::proportion(&unused, &upcoming, &claim.detail.upcoming, owners);
                self.change_turn(now, |turns| turns.retain(|_| false));
                (amount.min(&available), false)
            }
            false => self.divide(now, part, cap, owners, &available),
        };
        let claim = self.claims.get_mut(&part).expect("it was inserted");
        claim.has_room_since = has_room.then(|| claim.has_room_since.unwrap_or(now));
        let amount = amount.min(cap);
        self.record_grant(now, part, &amount);
        Grant {
            amount,
            flexible: (!lasting.is_zero()).then(|| limit.remaining_after(&lasting).min(cap)),
        }
    }

    /// Returns the part of the owner of a partition of a cap that is short, at most what is
    /// available, and whether it has room for what the owner could start next.
    fn divide(&mut self, now: Duration, part: PartitionId, cap: &Resources, owners: usize, available: &Resources) -> (Resources, bool) {
        self.update_turns(now, cap);
        let mut order = self.turns.in_order();
        order.extend(self.claims.keys().filter(|it| self.turns.waiting_since(it).is_none()));
        let mut positions: Vec<(PartitionId, usize)> = order.iter().enumerate().map(|(index, it)| (*it, index)).collect();
        positions.sort_unstable();
        let position = |part: &PartitionId| positions.binary_search_by_key(part, |it| it.0).ok().map(|it| positions[it].1);
        let claims: Vec<cap_division::Claim<'_>> = order.iter().map(|it| self.claims[it].for_division(now)).collect();
        let division = Division::new(cap, owners, &claims);
        let lacks_room = |part: &PartitionId| position(part).is_some_and(|it| division.lacks_room(it));
        if self.turns.give(now, lacks_room)
            && let Some(holder) = self.turns.holder()
        {
            self.changes.push(TurnChange::Began {
                part: *holder,
                need: position(holder).and_then(|it| division.first_unit(it)).unwrap_or_default(),
                waited_ms: self.turns.waiting_since(holder).map_or(0, |it| milliseconds(now, it)),
            });
        }
        let own = position(&part).expect("it has a claim");
        let first_unit = division.first_unit(own);
        let holder = self.turns.holder().copied();
        let target = division.parts(holder.and_then(|it| position(&it)))[own];
        let used = self.claims[&part].used;
        let amount = match holder == Some(part) && !available.contains(&target) {
            // What is kept free is given as a whole, as smaller tasks of the owner would take parts.
            true => used.min(available),
            false => target.min(available),
        };
        (amount, first_unit.is_some_and(|it| it.fits(&used, &amount)))
    }

    /// Records that an owner may go by a grant. Until its next report, it may use either its old or
    /// its new one.
    pub(crate) fn record_grant(&mut self, now: Duration, part: PartitionId, amount: &Resources) {
        let claim = self.claims.entry(part).or_default();
        let outstanding = claim.outstanding.max(amount);
        if claim.outstanding != outstanding {
            claim.outstanding = outstanding;
            claim.held_since = now;
        }
    }

    /// Returns what each owner has, those that have started nothing for longest first, if one of
    /// them has waited for at least `wait`.
    pub(crate) fn shortage(&self, now: Duration, wait: Duration) -> Option<Vec<Part>> {
        let mut order = self.turns.in_order();
        let longest = order.first().and_then(|it| self.turns.waiting_since(it))?;
        if now < longest + wait {
            return None;
        }
        order.extend(self.claims.keys().filter(|it| self.turns.waiting_since(it).is_none()));
        let part = |part: PartitionId| {
            let claim = &self.claims[&part];
            Part {
                part,
                used: claim.used,
                lasting: claim.detail.lasting,
                held: claim.outstanding,
                held_ms: milliseconds(now, claim.held_since),
                wanted: claim.wanted,
                next: claim.detail.next.first().map(|it| it.need),
                waits_ms: self.turns.waiting_since(&part).map(|it| milliseconds(now, it)),
            }
        };
        Some(order.into_iter().map(part).collect())
    }

    /// Partition of the owner for which room is kept free.
    pub(crate) fn turn(&self) -> Option<PartitionId> {
        self.turns.holder().copied()
    }

    /// Records which owners wait, and ends a turn that is not used.
    fn update_turns(&mut self, now: Duration, cap: &Resources) {
        if let Some(claim) = self.turns.holder().and_then(|it| self.claims.get(it)) {
            let mut used = Resources::default();
            self.claims.values().for_each(|it| used += it.used);
            // While less than half of the cap is in use, others need the room more.
            let is_idle = claim.has_room_since.is_some() || used.dominant_share(cap) < 0.5;
            self.change_turn(now, |turns| turns.observe(now, is_idle));
        }
        let waiting: Vec<PartitionId> = self
            .claims
            .iter()
            .filter(|(_, it)| it.is_waiting(now))
            .map(|(part, _)| *part)
            .collect();
        self.change_turn(now, |turns| turns.retain(|it| waiting.binary_search(it).is_ok()));
        waiting.iter().for_each(|it| self.turns.wait(now, it));
    }

    /// Applies a change to the turns, and records it if it ends one.
    fn change_turn<F>(&mut self, now: Duration, change: F)
    where
        F: FnOnce(&mut Turns<PartitionId>) -> Option<Outcome>,
    {
        let (holder, began) = (self.turns.holder().copied(), self.turns.began());
        if let (Some(outcome), Some(part), Some(began)) = (change(&mut self.turns), holder, began) {
            self.changes.push(TurnChange::Ended {
                part,
                outcome,
                took_ms: milliseconds(now, began),
            });
        }
    }
}

fn milliseconds(now: Duration, since: Duration) -> u64 {
    now.saturating_sub(since).as_millis() as u64
}
