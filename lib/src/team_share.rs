//! What teams have used of a pool in the recent past, relative to their weights.
//!
//! Load pattern: a team sends many times its usual load while a pool has less room than work. In
//! the order of urgency alone its jobs take most of the room, and the other teams' jobs are late
//! for it. By their shares, the team waits behind its own work.
//!
//! The share of a team is its dominant share (A. Ghodsi et al., Dominant Resource Fairness, NSDI
//! 2011): the largest fraction of the pool that it uses of any resource. The mean over a sliding
//! window counts in addition to the present use, so that teams with short bursts between idle
//! times are not preferred to teams with steady work.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::TeamId;
use crate::resources::Resources;

/// Time constant of the mean. Shares are judged over windows of this length (`oriole-bench measure
/// --scenario share`).
const WINDOW: Duration = Duration::from_secs(10);
/// Lowest weight, so that a weight of zero does not stop a team for good.
const MIN_WEIGHT: f64 = 1e-3;

/// Use of a pool by one team.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Dominant share at present.
    current: f64,
    /// Mean of it over the window.
    mean: f64,
}

/// Use of a pool by teams.
#[derive(Debug, Default)]
pub struct Shares {
    teams: HashMap<TeamId, Usage>,
    updated_at: Option<Duration>,
}

impl Shares {
    /// Takes over what each team uses now of a pool with this capacity.
    pub fn update<I>(&mut self, now: Duration, capacity: &Resources, used: I)
    where
        I: IntoIterator<Item = (TeamId, Resources)>,
    {
        let elapsed = now.saturating_sub(self.updated_at.unwrap_or(now));
        let kept = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        for usage in self.teams.values_mut() {
            usage.mean = usage.mean * kept + usage.current * (1.0 - kept);
            usage.current = 0.0;
        }
        for (team, amount) in used {
            self.teams.entry(team).or_default().current = amount.dominant_share(capacity);
        }
        // A thousandth of a pool is less than any difference between teams that matters.
        self.teams.retain(|_, it| 1e-3 <= it.current.max(it.mean));
        self.updated_at = Some(now);
    }

    /// Adds what a team uses in addition since the last update, as a share of the pool.
    pub fn add(&mut self, team: &TeamId, share: f64) {
        self.teams.entry(team.clone()).or_default().current += share;
    }

    /// Share of a team relative to its weight, if it were to use `more` of the pool in addition:
    /// the middle between the present and the mean one.
    pub fn weighted(&self, team: &TeamId, weight: f64, more: f64) -> f64 {
        let usage = self.teams.get(team).copied().unwrap_or_default();
        (usage.current + usage.mean + more) / 2.0 / weight.max(MIN_WEIGHT)
    }
}
