//! Whether the log answers this instance.
//!
//! Load pattern: a zone is cut off from the log while callers still reach its instances. A
//! request sent into the cut may be stored as far as its instance can tell, so its caller
//! cannot be told to go elsewhere. The log counts as unreachable as soon as one call has
//! timed out with no answer since it was sent: from then on requests are refused before
//! they are sent, and the platform is told to route callers elsewhere. Single lost answers
//! do not count, as other calls are answered meanwhile.
//!
//! The log may also turn some instances away and serve the others. A refused append of requests
//! alone does not tell that from a full queue of the partition, so calls of other kinds decide:
//! once they are refused and none is answered in between, the log counts as unreachable, and
//! requests go through instances that it serves.

use std::time::Duration;

/// Time without an answer after which the log counts as unreachable even if no call timed
/// out. It is longer than reads of the log wait for records.
const MAX_SILENCE: Duration = Duration::from_millis(2500);

/// Time without any answer after which an owner gives its partitions up, if another instance
/// can reach the log. An owner reads the list of workers every 200 ms, so that is no single
/// lost answer; its membership in the group would last for 2 s.
const HANDOVER_AFTER: Duration = Duration::from_millis(800);

/// Number of refused calls, without an answer in between, from which on the log turns this
/// instance away. A single one may be beyond the rate limit of all instances together.
const MIN_REFUSALS: u32 = 2;

/// Answers and failures of calls to the log; times are monotonic.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// When the log last answered; zero if it never did.
    last_answer: Duration,
    /// When the last call was sent that timed out.
    last_timeout: Duration,
    /// Number of refused calls since the last answer, without appends of requests.
    refusals: u32,
}

impl Reachability {
    /// Records an answer.
    pub fn record_answer(&mut self, now: Duration) {
        self.last_answer = now;
        self.refusals = 0;
    }

    /// Records that a call other than an append of requests was refused.
    pub fn record_refusal(&mut self) {
        self.refusals = self.refusals.saturating_add(1);
    }

    /// Records that a call which was sent at this time has timed out.
    pub fn record_timeout(&mut self, sent: Duration) {
        self.last_timeout = self.last_timeout.max(sent);
    }

    /// Whether the log has answered a call since one was sent that has no answer yet. Then it is
    /// slow, or the answer was lost, but it is not silent.
    pub fn has_answered_since(&self, sent: Duration) -> bool {
        sent < self.last_answer
    }

    /// Time since the last answer.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_answer)
    }

    /// Whether an owner should give its partitions up: it can record no placement, and work
    /// waits until another instance owns them.
    pub fn calls_for_handover(&self, now: Duration) -> bool {
        HANDOVER_AFTER <= self.silence(now)
    }

    /// Whether the log answers, as far as is known.
    pub fn is_reachable(&self, now: Duration) -> bool {
        let is_turned_away = MIN_REFUSALS <= self.refusals;
        self.last_answer != Duration::ZERO && self.silence(now) < MAX_SILENCE && self.last_timeout <= self.last_answer && !is_turned_away
    }
}
