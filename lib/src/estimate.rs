//! Moving averages that scheduling relies on: run times of tasks and arrival rates
//! of work.
//!
//! Run times are measured because the ones that callers declare are far off.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::TeamId;

/// Weight of the latest run in the moving average.
const LATEST_RUN_WEIGHT: f64 = 0.05;
/// A task is started only if at least this part of the mean run time is left before
/// its deadline.
const MIN_REMAINING_PART: f64 = 0.6;

/// Moving average of the run time of each team's tasks.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means: BTreeMap<TeamId, Duration>,
}

impl RunTimes {
    /// Adds the time that one task took from start to answer.
    pub fn record(&mut self, team: &TeamId, time: Duration) {
        let mean = self.means.entry(team.clone()).or_insert(time);
        *mean = mean.mul_f64(1.0 - LATEST_RUN_WEIGHT) + time.mul_f64(LATEST_RUN_WEIGHT);
    }

    /// Whether a task that starts now is likely to end within `left`; true for a
    /// team without a measured run.
    pub fn can_finish_within(&self, team: &str, left: Duration) -> bool {
        self.means.get(team).is_none_or(|mean| mean.mul_f64(MIN_REMAINING_PART) <= left)
    }

    /// Expected wait of a job with `ahead` others before it in the queue while
    /// `running` slots are in use; `None` for a team without a measured run.
    pub fn estimate_wait(&self, team: &str, ahead: usize, running: u64) -> Option<Duration> {
        let mean = self.means.get(team)?;
        Some(mean.mul_f64(ahead as f64 / running.max(1) as f64))
    }
}

/// Rate at which work arrives, as an exponentially weighted average.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRate {
    time_constant: Duration,
    rate: f64,
    updated_at: Duration,
}

impl ArrivalRate {
    /// Creates an average with a time constant.
    pub fn new(time_constant: Duration) -> ArrivalRate {
        ArrivalRate {
            time_constant,
            rate: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    /// Adds work that arrived at `now`, in the unit of the rate times milliseconds.
    pub fn record(&mut self, now: Duration, work: u64) {
        self.rate = self.decayed_rate(now) + work as f64 / self.time_constant.as_millis() as f64;
        self.updated_at = now;
    }

    /// Rate at `now`.
    pub fn rate(&self, now: Duration) -> u64 {
        self.decayed_rate(now) as u64
    }

    fn decayed_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64() / self.time_constant.as_secs_f64();
        self.rate * (-age).exp()
    }
}
