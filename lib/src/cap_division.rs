//! Division of a team's cap among the owners that have its tasks.
//!
//! A cap that is short is divided in proportion to demand. A part is of use to an owner only as far
//! as whole tasks and whole gangs fit into it, so parts are rounded down to what does, and what
//! remains goes to the owners that have waited longest, again for whole tasks and gangs. A unit for
//! which room is kept free goes before all shares. Tasks that do not end on their own keep what they
//! use, and a unit that does not fit beside them claims nothing.

use smallvec::SmallVec;

use crate::cap_demand::Unit;
use crate::resources::Resources;

/// Stands for a resource without limit. Sums over all owners stay within the range.
const UNLIMITED: u64 = u64::MAX >> 16;
/// Most rounds in which owners get one unit each of what is left after rounding.
const MAX_ROUNDS: usize = 8;

/// What an owner claims of a team's cap.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Claim<'a> {
    /// What may be running.
    pub(crate) used: Resources,
    /// The part of it that does not end on its own.
    pub(crate) lasting: Resources,
    /// What could start in addition.
    pub(crate) wanted: Resources,
    /// What can start next, in the owner's order.
    pub(crate) next: &'a [Unit],
    /// Whether `next` lists all of `wanted`.
    pub(crate) is_complete: bool,
}

/// A claim without lasting tasks and without units that do not fit beside these.
struct Share {
    /// What runs and will end.
    finite: Resources,
    demand: Resources,
    /// Units that fit beside lasting tasks, with the number that has no room yet.
    units: SmallVec<[Unit; 4]>,
    is_complete: bool,
    usable: Resources,
}

impl Share {
    fn new(claim: &Claim<'_>, flexible: &Resources) -> Share {
        let mut wanted = claim.wanted;
        let mut units = SmallVec::new();
        for unit in claim.next {
            match flexible.contains(&unit.need) {
                true => units.push(*unit),
                false => wanted -= unit.need.times(u64::from(unit.count)),
            }
        }
        let finite = claim.used.remaining_after(&claim.lasting);
        let mut demand = finite;
        demand += wanted;
        Share {
            finite,
            demand,
            units,
            is_complete: claim.is_complete,
            usable: Resources::default(),
        }
    }

    /// Determines which part of `share` is of use.
    fn round(&mut self, share: &Resources) {
        // Above its share, an owner starts nothing until enough of its tasks have ended.
        let start = |finite: u64, share: u64| if finite <= share { finite } else { 0 };
        self.usable = Resources {
            cpu: start(self.finite.cpu, share.cpu),
            mem: start(self.finite.mem, share.mem),
            gpu: start(self.finite.gpu, share.gpu),
        };
        for unit in &mut self.units {
            let room = share.remaining_after(&self.usable);
            if !room.contains(&unit.need) {
                continue;
            }
            let count = room.count_of(&unit.need).min(u64::from(unit.count)) as u32;
            self.usable += unit.need.times(u64::from(count));
            unit.count -= count;
        }
        if !self.is_complete && self.units.iter().all(|it| it.count == 0) {
            self.usable = *share;
        }
    }

    /// Takes a unit that fits into `room`. Returns whether there was one.
    fn take_unit(&mut self, room: &mut Resources) -> bool {
        let Some(unit) = self.units.iter_mut().find(|it| it.count != 0 && room.contains(&it.need)) else {
            return false;
        };
        unit.count -= 1;
        *room -= unit.need;
        self.usable = self.usable.max(&self.finite);
        self.usable += unit.need;
        true
    }
}

/// A team's cap and the claims of its owners; those that claim nothing are not listed.
pub(crate) struct Division<'a> {
    limit: Resources,
    owners: usize,
    claims: &'a [Claim<'a>],
    shares: Vec<Share>,
    /// Limit of the tasks that end on their own.
    flexible: Resources,
    demand: Resources,
}

impl<'a> Division<'a> {
    /// Prepares to divide a cap among `owners` owners. `claims` begins with the owner that has
    /// waited longest.
    pub(crate) fn new(cap: &Resources, owners: usize, claims: &'a [Claim<'a>]) -> Division<'a> {
        let limit = unlimited_if_zero(cap);
        let mut lasting = Resources::default();
        claims.iter().for_each(|it| lasting += it.lasting);
        let flexible = limit.remaining_after(&lasting);
        let shares: Vec<Share> = claims.iter().map(|it| Share::new(it, &flexible)).collect();
        let mut demand = Resources::default();
        shares.iter().for_each(|it| demand += it.demand);
        Division {
            limit,
            owners: owners.max(claims.len()).max(1),
            claims,
            shares,
            flexible,
            demand,
        }
    }

    /// Whether there is more demand than the cap allows.
    fn is_short(&self) -> bool {
        !self.flexible.contains(&self.demand)
    }

    /// Returns the first unit of a claim that fits beside the lasting tasks.
    pub(crate) fn first_unit(&self, claim: usize) -> Option<Resources> {
        self.shares[claim].units.first().map(|it| it.need)
    }

    /// Whether the cap is short, and a claim uses less than its share and less than one unit, because
    /// its first unit does not fit into the share.
    pub(crate) fn lacks_room(&self, claim: usize) -> bool {
        let Some(unit) = self.first_unit(claim).filter(|_| self.is_short()) else {
            return false;
        };
        let finite = &self.shares[claim].finite;
        let share = proportion(&self.flexible, &self.demand, &self.shares[claim].demand, self.owners);
        let needed = [
            (unit.cpu, finite.cpu, share.cpu),
            (unit.mem, finite.mem, share.mem),
            (unit.gpu, finite.gpu, share.gpu),
        ];
        let mut needed = needed.into_iter().filter(|(unit, _, _)| *unit != 0);
        let is_over = |(_, finite, share)| share < finite;
        let is_below = |(unit, finite, share)| finite < unit && (finite == 0 || finite < share);
        !unit.fits(finite, &share) && !needed.clone().any(is_over) && needed.any(is_below)
    }

    /// Returns each owner's part of the cap, for the claims in order. Room is kept free for the
    /// first unit of the claim `turn`; its part includes that unit.
    pub(crate) fn parts(mut self, turn: Option<usize>) -> Vec<Resources> {
        let mut shares = std::mem::take(&mut self.shares);
        if self.is_short() {
            let (mut budget, mut demand) = (self.flexible, self.demand);
            let holder = turn.filter(|it| !shares[*it].units.is_empty());
            if let Some(index) = holder {
                let share = &mut shares[index];
                share.usable = share.finite;
                share.usable += share.units[0].need;
                budget -= share.usable;
                demand -= share.demand;
            }
            self.divide(&mut shares, holder, &budget, &demand);
        } else {
            for share in &mut shares {
                share.usable = proportion(&self.flexible, &self.demand, &share.demand, self.owners);
            }
        }
        let with_lasting = |(share, claim): (&Share, &Claim<'_>)| {
            let mut part = share.usable;
            part += claim.lasting;
            part.min(&self.limit)
        };
        shares.iter().zip(self.claims).map(with_lasting).collect()
    }

    /// Divides a budget that is short among all owners but the one that has the turn.
    fn divide(&self, shares: &mut [Share], holder: Option<usize>, budget: &Resources, demand: &Resources) {
        let others = |(index, _): &(usize, &mut Share)| Some(*index) != holder;
        let mut rest = *budget;
        let mut wholes: Vec<Resources> = vec![Resources::default(); shares.len()];
        for (index, share) in shares.iter_mut().enumerate().filter(others) {
            wholes[index] = proportion(budget, demand, &share.demand, self.owners);
            share.round(&wholes[index]);
            rest -= share.usable.max(&share.finite);
        }
        for _ in 0..MAX_ROUNDS {
            let mut was_taken = false;
            for (_, share) in shares.iter_mut().enumerate().filter(others) {
                was_taken |= share.take_unit(&mut rest);
            }
            if !was_taken {
                break;
            }
        }
        // New demand of an owner that has not used its share need not wait for a report.
        let each = rest.divided_by(self.owners as u64);
        for (index, share) in shares.iter_mut().enumerate().filter(others) {
            if wholes[index].contains(&share.finite) {
                let mut part = share.usable;
                part += each;
                share.usable = share.usable.max(&part.min(&wholes[index]));
            }
        }
    }
}

/// Returns the part of a demand in a budget. In a dimension that is not short it is the demand and
/// an equal part of the rest, so that new demand need not wait for a report.
pub(crate) fn proportion(budget: &Resources, demand: &Resources, own: &Resources, owners: usize) -> Resources {
    let part = |budget: u64, demand: u64, own: u64| match demand <= budget {
        true => own + (budget - demand) / owners.max(1) as u64,
        false => match budget.checked_mul(own) {
            Some(product) => product / demand,
            None => (u128::from(budget) * u128::from(own) / u128::from(demand)) as u64,
        },
    };
    Resources {
        cpu: part(budget.cpu, demand.cpu, own.cpu),
        mem: part(budget.mem, demand.mem, own.mem),
        gpu: part(budget.gpu, demand.gpu, own.gpu),
    }
}

/// Returns a cap with a large number in each dimension without limit.
pub(crate) fn unlimited_if_zero(cap: &Resources) -> Resources {
    let limit = |it: u64| if it == 0 { UNLIMITED } else { it };
    Resources {
        cpu: limit(cap.cpu),
        mem: limit(cap.mem),
        gpu: limit(cap.gpu),
    }
}
