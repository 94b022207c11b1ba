//! Weighted fair sharing of slots among teams: which team starts a job next, and
//! how a number of slots divides by weight.

use std::cmp::Ordering;

use crate::id::TeamId;

/// Slots that a team uses, relative to its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedUsage {
    /// Slots in use.
    pub used: u64,
    /// Weight, at least one.
    pub weight: u64,
}

impl WeightedUsage {
    /// Compares usage per weight exactly, in integers.
    pub fn compare(&self, other: &WeightedUsage) -> Ordering {
        let left = u128::from(self.used) * u128::from(other.weight);
        let right = u128::from(other.used) * u128::from(self.weight);
        left.cmp(&right)
    }

    /// The usage after `slots` more are in use.
    pub fn plus(&self, slots: u64) -> WeightedUsage {
        WeightedUsage {
            used: self.used + slots,
            weight: self.weight,
        }
    }
}

/// Returns the team with the least usage per weight; among equals, the first by name.
pub fn most_underserved<'a, I>(teams: I) -> Option<&'a TeamId>
where
    I: IntoIterator<Item = (&'a TeamId, WeightedUsage)>,
{
    let by_usage = |a: &(&TeamId, WeightedUsage), b: &(&TeamId, WeightedUsage)| a.1.compare(&b.1).then_with(|| a.0.cmp(b.0));
    teams.into_iter().min_by(by_usage).map(|(team, _)| team)
}

/// Divides slots by weighted max-min fairness: no team gets more than its demand,
/// and what it leaves goes to the others by weight. Returns the slots of each
/// team in the order of `demands`.
pub fn weighted_max_min(slots: f64, demands: &[SlotDemand]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len()).filter(|it| 0.0 < demands[*it].slots).collect();
    let mut remaining = slots;
    while !unsatisfied.is_empty() && 1e-9 < remaining {
        let weight: f64 = unsatisfied.iter().map(|it| demands[*it].weight).sum();
        let level = unsatisfied
            .iter()
            .map(|it| (demands[*it].slots - shares[*it]) / demands[*it].weight)
            .fold(remaining / weight, f64::min);
        for index in &unsatisfied {
            shares[*index] += level * demands[*index].weight;
        }
        remaining -= level * weight;
        unsatisfied.retain(|it| shares[*it] + 1e-9 < demands[*it].slots);
    }
    shares
}

/// A team's demand in a division of slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotDemand {
    /// Slots that the team could use.
    pub slots: f64,
    /// Weight of the team, above zero.
    pub weight: f64,
}
