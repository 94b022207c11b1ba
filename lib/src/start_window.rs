//! Limit on the runs that an owner starts at the same time.
//!
//! It answers this load pattern: more tasks can be placed at once than the processor of the owner
//! can order in time, as after a takeover with many waiting jobs. Orders that are sent late are
//! refused, and their tasks are placed, recorded and ordered again, which is as much work as
//! before: without a limit the owner would do nothing else for as long as the load lasts.
//!
//! The limit follows the time that answers take, as the congestion window of TCP follows losses
//! (V. Jacobson, Congestion Avoidance and Control, SIGCOMM 1988): it grows while answers come in
//! time and is halved when they do not.

use std::collections::HashMap;
use std::time::Duration;

use crate::scheduler::START_EXPIRY;
use crate::worker::RunKey;

/// Limit of a new owner. It covers the starts of a pool at its mean load; a larger pool reaches
/// its limit within a few answers.
const INITIAL_LIMIT: f64 = 128.0;
/// Lowest limit. The smallest instances answer this many within [`SLOW_ANSWER`].
const MIN_LIMIT: f64 = 32.0;
/// Highest limit: the starts of a full pool in [`START_EXPIRY`].
const MAX_LIMIT: f64 = 4096.0;
/// Time from an order to its answer from which the answer counts as late. The rest of the time
/// until the order expires is the reserve that keeps orders from being refused.
const SLOW_ANSWER: Duration = START_EXPIRY.checked_div(2).expect("the divisor is not zero");
/// Part of the limit that is answered before the limit changes.
const ROUND_FRACTION: f64 = 0.25;
/// Growth of the limit for each answer in time, below and above the last limit that was too high.
const GROWTH: (f64, f64) = (1.0, 0.125);
/// Factor by which the limit falls when the owner is overloaded.
const DECREASE: f64 = 0.5;

/// How an order to start a run was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The worker has started the run.
    Started,
    /// The order reached the worker after it had expired.
    Late,
    /// Anything else; it tells nothing of the load of the owner.
    Other,
}

/// Answers since the limit last changed.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    in_time: usize,
    late: usize,
    /// Most unsettled runs at an answer.
    peak: usize,
}

/// Runs that were placed and whose start order is not settled, and the limit on their number.
#[derive(Debug)]
pub struct Window {
    limit: f64,
    /// Limit up to which the growth is fast.
    fast_until: f64,
    shrunk_at: Option<Duration>,
    round: Round,
    /// When the order of each run was passed on to be sent; `None` before.
    unsettled: HashMap<RunKey, Option<Duration>>,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            limit: INITIAL_LIMIT,
            fast_until: MAX_LIMIT,
            shrunk_at: None,
            round: Round::default(),
            unsettled: HashMap::new(),
        }
    }
}

impl Window {
    /// Whether no further run may be placed.
    pub fn is_full(&self) -> bool {
        self.limit() <= self.unsettled.len()
    }

    /// Most runs whose start order may be unsettled at the same time.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Adds a run that was placed.
    pub fn add(&mut self, key: RunKey) {
        self.unsettled.insert(key, None);
    }

    /// Records that the order to start a run is sent.
    pub fn order(&mut self, now: Duration, key: &RunKey) {
        if let Some(ordered_at) = self.unsettled.get_mut(key) {
            *ordered_at = Some(now);
        }
    }

    /// Handles the answer to the order to start a run. Returns whether the limit fell.
    pub fn settle(&mut self, now: Duration, key: &RunKey, answer: Answer) -> bool {
        self.round.peak = self.round.peak.max(self.unsettled.len());
        let Some(ordered_at) = self.unsettled.remove(key).flatten() else {
            return false;
        };
        // The order was sent under a higher limit, which is known to be too high.
        if self.shrunk_at.is_some_and(|it| ordered_at <= it) {
            return false;
        }
        match answer {
            Answer::Started if now < ordered_at + SLOW_ANSWER => self.round.in_time += 1,
            Answer::Started | Answer::Late => self.round.late += 1,
            Answer::Other => return false,
        }
        if ((self.round.in_time + self.round.late) as f64) < self.limit * ROUND_FRACTION {
            return false;
        }
        self.end_round(now)
    }

    /// Removes a run that has ended or is not to be started any more.
    pub fn remove(&mut self, key: &RunKey) {
        self.unsettled.remove(key);
    }

    /// Changes the limit by the answers of a round. An overloaded owner is late for most of its
    /// workers; a bad link delays the answers of a few.
    fn end_round(&mut self, now: Duration) -> bool {
        let round = std::mem::take(&mut self.round);
        let is_overloaded = round.in_time < round.late;
        if is_overloaded {
            self.shrunk_at = Some(now);
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
            self.fast_until = self.limit;
        } else if self.limit() <= 2 * round.peak {
            let growth = if self.limit < self.fast_until { GROWTH.0 } else { GROWTH.1 };
            self.limit = (self.limit + growth * round.in_time as f64).min(MAX_LIMIT);
        }
        is_overloaded
    }
}
