//! Forecast of the work that arrives for a pool when an instance that is ordered now can
//! take tasks.
//!
//! Load pattern: queues take turns. In its turn a queue's demand rises within two or three
//! seconds to many times what its pool holds, and moving an instance to a pool takes about
//! two seconds. Following the present rate, a pool would be short for the whole rise. The
//! forecast extends the trend of the rate by that time, but only while the rise stands out
//! from random variation; without one it is the present rate.

use std::time::Duration;

use crate::estimate::ArrivalRate;

/// Time constants of the two averages whose difference shows the trend.
const FAST: Duration = Duration::from_millis(400);
const SLOW: Duration = Duration::from_millis(1200);
/// Time from an order until the instance takes tasks: its move, its entry in the list of
/// workers, and its first status.
const LEAD: Duration = Duration::from_millis(2000);
/// Ratio of the fast to the slow average from which on a rise is taken as real. In steady
/// load the ratio varies by less.
const MIN_RISE: f64 = 1.3;
/// Time after the first arrival in which there is no trend yet: the averages begin at zero,
/// so a steady rate would look like a rise. An owner begins anew after each hand-over.
const WARM_UP: Duration = Duration::from_millis(2500);
/// Limit of the forecast as a multiple of the present rate.
const MAX_GROWTH: f64 = 4.0;

/// Arriving work of one pool.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    fast: ArrivalRate,
    slow: ArrivalRate,
    first_arrival: Option<Duration>,
}

impl Default for Forecast {
    fn default() -> Forecast {
        Forecast {
            fast: ArrivalRate::new(FAST),
            slow: ArrivalRate::new(SLOW),
            first_arrival: None,
        }
    }
}

impl Forecast {
    /// Adds work that arrived at `now`, in millicores times milliseconds.
    pub fn record(&mut self, now: Duration, work: u64) {
        self.first_arrival.get_or_insert(now);
        self.fast.record(now, work);
        self.slow.record(now, work);
    }

    /// Rate of arriving work expected after the time that a move takes, in millicores.
    pub fn rate(&self, now: Duration) -> u64 {
        let (fast, slow) = (self.fast.rate(now) as f64, self.slow.rate(now) as f64);
        let is_warm = self.first_arrival.is_some_and(|it| it + WARM_UP <= now);
        if !is_warm || fast < MIN_RISE * slow {
            return fast.max(slow) as u64;
        }
        // On a steady slope each average lags behind by its time constant.
        let slope = (fast - slow) / (SLOW - FAST).as_secs_f64();
        let expected = fast + slope * (FAST + LEAD).as_secs_f64();
        expected.min(MAX_GROWTH * fast) as u64
    }
}
