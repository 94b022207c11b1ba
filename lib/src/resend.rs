//! When a call to the log that has not been answered is sent again.
//!
//! Load pattern: for some seconds the log loses a third of its answers, or delays
//! single ones, while the other calls are answered as usual. An owner has one commit in
//! flight, so waiting for the full time limit of a call stops its pool. The calls to the
//! log are idempotent; a second attempt is sent after a few usual answer times. While
//! all answers are slow the usual time grows with them, and a budget limits the additional
//! calls while the log does not answer at all. Each kind of call has a budget of its own, and
//! appends have one for each partition, as a resent append occupies the queue of its partition
//! like the first attempt.
//!
//! Appends of callers' requests are sent again only if their answer is lost rather than slow:
//! if a call that was sent later was answered promptly, or after a multiple of the usual time.

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
const REQUESTS_OVERDUE_RANGE: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(1300));
/// Time within which a call is answered if the log is not slow: ten times its usual answer time.
const PROMPT: Duration = Duration::from_millis(40);
/// Time after which an append of requests counts as lost without an answer to a later call, as a
/// multiple of the time after which it is overdue and at least. When a log becomes 79 times as slow
/// as usual, three appenders find it out with appends that take up to 1.1 s; with 800 ms their
/// resends tripled the queue.
const LOST_AFTER: (u32, Duration) = (2, Duration::from_millis(1300));

/// Resends that each call adds to the budget. At a third of lost answers one call in two
/// is sent again.
const RESENDS_PER_CALL: f64 = 0.5;
/// The same for a call whose answer is known to be lost, as a later call was answered promptly. The
/// log is not slow then, so a resend meets no queue, and up to half of the answers may be lost.
const LOST_RESENDS_PER_CALL: f64 = 1.0;
/// Most resends that the budget of calls without a queue in the log holds.
const MAX_RESENDS: f64 = 10.0;
/// The same for appends to one partition. With 237 ms for each append of a slow log these occupy
/// the partition for 0.7 s of the 2 s from which on it refuses appends.
const MAX_APPEND_RESENDS: f64 = 3.0;

/// Kind of a call to the log. Each kind has its own answer times and budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// An owner's commit to its partition.
    Commit,
    /// An append of callers' requests.
    Requests,
    /// A call about the membership in the group of owners.
    Membership,
    /// A read or a record of the configuration, or of the list of workers.
    Configuration,
}

impl CallKind {
    /// Answer times that are assumed before the first answer.
    pub fn answer_times(self) -> AnswerTimes {
        match self {
            CallKind::Requests => AnswerTimes::of_requests(),
            CallKind::Commit | CallKind::Membership | CallKind::Configuration => AnswerTimes::default(),
        }
    }

    /// Budget of an instance for calls of this kind.
    pub fn budget(self) -> ResendBudget {
        match self {
            CallKind::Commit | CallKind::Requests => ResendBudget::of_appends(),
            CallKind::Membership | CallKind::Configuration => ResendBudget::default(),
        }
    }

    /// Whether a call of this kind without an answer may be sent again only once its answer is
    /// lost rather than slow.
    pub fn requires_loss(self) -> bool {
        self == CallKind::Requests
    }
}

/// When calls were sent that the log answered promptly; times are monotonic.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptAnswers {
    last_sent: Option<Duration>,
}

impl PromptAnswers {
    /// Records an answer to a call.
    pub fn record(&mut self, sent: Duration, time: Duration) {
        if time <= PROMPT {
            self.last_sent = self.last_sent.max(Some(sent));
        }
    }

    /// Whether a call that was sent after `sent` was answered promptly, so that an answer to that
    /// one is lost rather than slow.
    pub fn is_answered_since(&self, sent: Duration) -> bool {
        self.last_sent.is_some_and(|it| sent < it)
    }

    /// Whether the answer to a call is lost: it was sent at this time and is overdue.
    pub fn is_lost(&self, now: Duration, sent: Duration, overdue_after: Duration) -> bool {
        let lost_after = (overdue_after * LOST_AFTER.0).max(LOST_AFTER.1);
        sent + lost_after <= now || self.is_answered_since(sent)
    }
}

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
    per_call: f64,
    max: f64,
}

impl Default for ResendBudget {
    fn default() -> ResendBudget {
        ResendBudget {
            available: MAX_RESENDS,
            per_call: RESENDS_PER_CALL,
            max: MAX_RESENDS,
        }
    }
}

impl ResendBudget {
    /// Budget of appends to one partition.
    pub fn of_appends() -> ResendBudget {
        ResendBudget {
            available: MAX_APPEND_RESENDS,
            per_call: RESENDS_PER_CALL,
            max: MAX_APPEND_RESENDS,
        }
    }

    /// Budget of calls whose answers are known to be lost.
    pub fn of_lost_answers() -> ResendBudget {
        ResendBudget {
            available: MAX_RESENDS,
            per_call: LOST_RESENDS_PER_CALL,
            max: MAX_RESENDS,
        }
    }

    /// Adds to the budget for one call.
    pub fn record_call(&mut self) {
        self.available = (self.available + self.per_call).min(self.max);
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
