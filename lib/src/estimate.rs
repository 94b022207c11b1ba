//! Measured run times; declared ones are far off.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::TeamId;

/// Weight of the latest run in the running mean.
const LATEST: f64 = 0.05;
/// Part of the mean run time that must be left before a deadline to start.
const LEAST_PART: f64 = 0.6;

/// Mean run time of each team's tasks.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means: BTreeMap<TeamId, Duration>,
}

impl RunTimes {
    /// Notes a run from start to answer.
    pub fn record(&mut self, team: &TeamId, time: Duration) {
        let mean = self.means.entry(team.clone()).or_insert(time);
        *mean = mean.mul_f64(1.0 - LATEST) + time.mul_f64(LATEST);
    }

    /// Whether a task that starts now can be expected to end in the time left.
    pub fn can_finish_within(&self, team: &str, left: Duration) -> bool {
        self.means.get(team).is_none_or(|mean| mean.mul_f64(LEAST_PART) <= left)
    }

    /// Time until a job behind `ahead` others starts, with `running` slots
    /// turning over; `None` if nothing is known.
    pub fn estimate_wait(&self, team: &str, ahead: usize, running: u64) -> Option<Duration> {
        let mean = self.means.get(team)?;
        Some(mean.mul_f64(ahead as f64 / running.max(1) as f64))
    }
}

/// Time over which arrivals are averaged.
/// Demand turns every few seconds; a shorter time follows single large jobs.
const ARRIVAL_TIME: Duration = Duration::from_millis(700);

/// Rate at which work arrives, averaged over the recent past.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    rate: f64,
    updated_at: Duration,
}

impl ArrivalRate {
    /// Notes work that arrived, thousandths of a core times milliseconds.
    pub fn record(&mut self, now: Duration, work: u64) {
        self.rate = self.decayed(now) + work as f64 / ARRIVAL_TIME.as_millis() as f64;
        self.updated_at = now;
    }

    /// The rate, thousandths of a core.
    pub fn rate(&self, now: Duration) -> u64 {
        self.decayed(now) as u64
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64() / ARRIVAL_TIME.as_secs_f64();
        self.rate * (-age).exp()
    }
}
