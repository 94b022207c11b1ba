//! Whose job starts next: the team furthest below its weighted share.

use std::cmp::Ordering;

use crate::id::TeamId;

/// A team's use of slots relative to its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedUsage {
    /// Slots in use.
    pub used: u64,
    /// Weight, at least one.
    pub weight: u64,
}

impl WeightedUsage {
    /// Compares use per weight without rounding.
    pub fn compare(&self, other: &WeightedUsage) -> Ordering {
        let left = u128::from(self.used) * u128::from(other.weight);
        let right = u128::from(other.used) * u128::from(self.weight);
        left.cmp(&right)
    }

    /// The ratio after `slots` more were taken.
    pub fn plus(&self, slots: u64) -> WeightedUsage {
        WeightedUsage {
            used: self.used + slots,
            weight: self.weight,
        }
    }
}

/// Picks the team with the lowest use per weight; ties go to the first by name.
pub fn most_underserved<'a, I>(teams: I) -> Option<&'a TeamId>
where
    I: IntoIterator<Item = (&'a TeamId, WeightedUsage)>,
{
    let by_ratio =
        |left: &(&TeamId, WeightedUsage), right: &(&TeamId, WeightedUsage)| left.1.compare(&right.1).then_with(|| left.0.cmp(right.0));
    teams.into_iter().min_by(by_ratio).map(|(team, _)| team)
}

/// Divides slots among teams by weighted max-min: nobody gets more than it
/// demands, and what one leaves goes to the others by weight.
pub fn weighted_max_min(slots: f64, demands: &[SlotDemand]) -> Vec<f64> {
    let mut given = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).filter(|it| 0.0 < demands[*it].slots).collect();
    let mut left = slots;
    while !open.is_empty() && 1e-9 < left {
        let weight: f64 = open.iter().map(|it| demands[*it].weight).sum();
        let level = open
            .iter()
            .map(|it| (demands[*it].slots - given[*it]) / demands[*it].weight)
            .fold(left / weight, f64::min);
        for index in &open {
            given[*index] += level * demands[*index].weight;
        }
        left -= level * weight;
        open.retain(|it| given[*it] + 1e-9 < demands[*it].slots);
    }
    given
}

/// What a team demands in a division of slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotDemand {
    /// Slots it could use.
    pub slots: f64,
    /// Its weight.
    pub weight: f64,
}
