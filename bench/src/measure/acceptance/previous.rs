//! The choice of route of the previous build, as a baseline.

use std::time::Duration;

use oriolewall::estimate::ArrivalRate;

/// Time of an append from which on its partition is crowded.
const CROWDED_APPEND: Duration = Duration::from_millis(40);
/// Requests a second at one aggregator below which the partition is calm.
const CALM_RATE: u64 = 50;
/// Shortest time for which an instance uses aggregators.
const MIN_RELAY_TIME: Duration = Duration::from_secs(2);

/// Chooses the route for the requests of one partition.
#[derive(Clone, Copy, Debug)]
pub(super) struct Router {
    crowded_at: Option<Duration>,
    rate: ArrivalRate,
}

impl Default for Router {
    fn default() -> Router {
        Router {
            crowded_at: None,
            rate: ArrivalRate::new(Duration::from_millis(700)),
        }
    }
}

impl Router {
    /// Whether requests go through aggregators.
    pub(super) fn is_crowded(&self) -> bool {
        self.crowded_at.is_some()
    }

    /// Records a direct append that was answered now.
    pub(super) fn record_append(&mut self, now: Duration, time: Duration, requests: usize) {
        self.rate.record(now, 1000 * requests as u64);
        if CROWDED_APPEND <= time {
            self.crowded_at = Some(now);
        }
    }

    /// Rate that this instance reports as an aggregator, requests a second.
    pub(super) fn rate(&self, now: Duration) -> u64 {
        self.rate.rate(now)
    }

    /// Records what an aggregator reports.
    pub(super) fn record_rate(&mut self, now: Duration, requests_per_second: u64) {
        if requests_per_second < CALM_RATE && self.crowded_at.is_some_and(|it| it + MIN_RELAY_TIME <= now) {
            self.crowded_at = None;
        }
    }
}
