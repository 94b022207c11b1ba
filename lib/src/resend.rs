//! When a call to the log that has not been answered is sent again.
//!
//! Load pattern: for some seconds the log loses a third of its answers, or delays
//! single ones, while the other calls are answered as usual. An owner has one commit in
//! flight, so waiting for the full time limit of a call stops its pool. The calls to the
//! log are idempotent; a second attempt is sent after a few usual answer times. While
//! all answers are slow the usual time grows with them, and a budget limits the additional
//! calls while the log does not answer at all.

use std::time::Duration;

/// Answer time that is assumed before the first answer. An append takes about 10 ms
/// within a region.
const INITIAL_MEAN: Duration = Duration::from_millis(15);
/// Weight of the latest answer in the mean and in the mean deviation.
const LATEST_WEIGHT: f64 = 0.125;
/// Number of mean deviations above the mean after which an answer is overdue, as in the
/// retransmission timer of TCP.
const DEVIATIONS: f64 = 4.0;
/// Limits of the time after which an answer is overdue.
const OVERDUE_RANGE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(500));
/// The same for appends of callers' requests. Their time varies with the load of the
/// partition, and appends that are sent again while they wait there add to it.
const REQUESTS_OVERDUE_RANGE: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(700));

/// Resends that each call adds to the budget. At a third of lost answers one call in two
/// is sent again.
const RESENDS_PER_CALL: f64 = 0.5;
/// Most resends that the budget holds.
const MAX_RESENDS: f64 = 10.0;

/// Moving average of the answer times of one kind of call.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    mean: f64,
    deviation: f64,
    overdue_range: (Duration, Duration),
}

impl Default for AnswerTimes {
    fn default() -> AnswerTimes {
        AnswerTimes {
            mean: INITIAL_MEAN.as_secs_f64(),
            deviation: INITIAL_MEAN.as_secs_f64() / 2.0,
            overdue_range: OVERDUE_RANGE,
        }
    }
}

impl AnswerTimes {
    /// Answer times of appends of callers' requests to one partition.
    pub fn of_requests() -> AnswerTimes {
        AnswerTimes {
            overdue_range: REQUESTS_OVERDUE_RANGE,
            ..AnswerTimes::default()
        }
    }

    /// Adds the answer time of one attempt.
    pub fn record(&mut self, time: Duration) {
        let error = time.as_secs_f64() - self.mean;
        self.mean += LATEST_WEIGHT * error;
        self.deviation += LATEST_WEIGHT * (error.abs() - self.deviation);
    }

    /// Time after which an attempt without an answer is overdue.
    pub fn overdue_after(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation).clamp(self.overdue_range.0, self.overdue_range.1)
    }
}

/// Limit on resends as a part of the calls made.
#[derive(Clone, Copy, Debug)]
pub struct ResendBudget {
    available: f64,
}

impl Default for ResendBudget {
    fn default() -> ResendBudget {
        ResendBudget { available: MAX_RESENDS }
    }
}

impl ResendBudget {
    /// Adds to the budget for one call.
    pub fn record_call(&mut self) {
        self.available = (self.available + RESENDS_PER_CALL).min(MAX_RESENDS);
    }

    /// Takes one resend from the budget. Returns false if it is used up.
    pub fn take(&mut self) -> bool {
        let is_available = 1.0 <= self.available;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}
