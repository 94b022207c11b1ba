//! A connection of a client as the budget sees it, and the memory that requests of one kind hold.

use std::cmp::Reverse;
use std::time::Duration;

use crate::client_budget::{Limits, Listener, Reason, Report};

/// Period over which progress is compared, and age below which a request cannot be judged.
/// The round trips of a request between regions take less.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);
/// Period over which a body has to arrive at the minimum rate. It is longer than the 3 s for which
/// callers wait.
const RATE_PERIOD: Duration = Duration::from_secs(5);
/// Time for which a connection is kept for the head of a request while connections are short. The
/// head of an ordinary request arrives in one piece right after the connection was opened, but has
/// to be read first.
const HEAD_GRACE: Duration = Duration::from_millis(100);
/// Time after which a connection without a request may be closed for another one.
const SPARE_IDLE_TIME: Duration = Duration::from_secs(10);
/// Memory up to which a request counts as small. An ordinary submission has a payload of up to
/// 4,000 bytes.
const SMALL_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No byte has arrived yet.
    New,
    Head,
    Body,
    /// The request is complete and its response is not ready.
    Handled,
    /// The last response is ready and no byte of another request has arrived.
    Idle,
}

#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) listener: Listener,
    pub(crate) phase: Phase,
    opened: Duration,
    /// Begin of the phase.
    pub(crate) since: Duration,
    received: u64,
    /// Bytes received in the current and the previous progress period.
    progress: [u64; 2],
    progress_since: Duration,
    /// Begin of the current rate period of a body, and the bytes received in it.
    rate_since: Duration,
    rate_bytes: u64,
    /// Time since which the client could send without waiting for this instance.
    read_since: Duration,
    pub(crate) charged: usize,
    pub(crate) waiting_since: Option<Duration>,
    pub(crate) write_blocked_since: Option<Duration>,
    pub(crate) closing: Option<Reason>,
}

/// Memory of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    pub(crate) limit: usize,
    pub(crate) used: usize,
    /// Part of `used` by requests that are not small.
    used_by_large: usize,
}

impl Share {
    pub(crate) fn new(limit: usize) -> Share {
        Share { limit, ..Share::default() }
    }

    /// Memory for requests that are not small. A quarter is reserved for small ones.
    pub(crate) fn large_limit(&self) -> usize {
        self.limit - self.limit / 4
    }

    /// Returns the memory that has to be released before a request with `charged` gets more, and
    /// whether only large requests can release it.
    pub(crate) fn shortage(&self, charged: usize, bytes: usize) -> (usize, bool) {
        let is_large = SMALL_BYTES < charged + bytes;
        let moved = if charged <= SMALL_BYTES { charged } else { 0 };
        let of_large = match is_large {
            true => (self.used_by_large + moved + bytes).saturating_sub(self.large_limit()),
            false => 0,
        };
        let of_all = (self.used + bytes).saturating_sub(self.limit);
        (of_large.max(of_all), of_all < of_large)
    }

    /// Records that the memory of a request changes.
    pub(crate) fn change(&mut self, from: usize, to: usize) {
        let of_large = |it: usize| if SMALL_BYTES < it { it } else { 0 };
        self.used = self.used - from + to;
        self.used_by_large = self.used_by_large - of_large(from) + of_large(to);
    }
}

impl Connection {
    pub(crate) fn new(listener: Listener, now: Duration) -> Connection {
        Connection {
            listener,
            phase: Phase::New,
            opened: now,
            since: now,
            received: 0,
            progress: [0; 2],
            progress_since: now,
            rate_since: now,
            rate_bytes: 0,
            read_since: now,
            charged: 0,
            waiting_since: None,
            write_blocked_since: None,
            closing: None,
        }
    }

    /// Begins a phase.
    pub(crate) fn enter(&mut self, now: Duration, phase: Phase) {
        self.phase = phase;
        self.restart(now);
    }

    /// Restarts all time limits.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.since = now;
        self.read_again(now);
        self.write_blocked_since = self.write_blocked_since.map(|_| now);
    }

    pub(crate) fn receive(&mut self, now: Duration, bytes: u64) {
        self.received += bytes;
        self.rate_bytes += bytes;
        let periods = now.saturating_sub(self.progress_since).as_millis() / PROGRESS_PERIOD.as_millis();
        if periods != 0 {
            self.progress = [0, if periods == 1 { self.progress[0] } else { 0 }];
            self.progress_since = now;
        }
        self.progress[0] += bytes;
    }

    /// Bytes received in the last one to two progress periods.
    fn recent_bytes(&self, now: Duration) -> u64 {
        match now.saturating_sub(self.progress_since) {
            age if age < PROGRESS_PERIOD => self.progress[0] + self.progress[1],
            age if age < PROGRESS_PERIOD * 2 => self.progress[0],
            _ => 0,
        }
    }

    /// Returns whether a body arrives below the minimum rate, once it is old enough to be judged.
    pub(crate) fn is_slow_body(&self, now: Duration, body_rate: u64) -> bool {
        let required = body_rate * PROGRESS_PERIOD.as_millis() as u64 / 1000;
        let is_read = self.phase == Phase::Body && self.waiting_since.is_none();
        is_read && self.read_since + PROGRESS_PERIOD <= now && self.recent_bytes(now) < required
    }

    /// Whether a request is expected or being read.
    pub(crate) fn is_incomplete(&self) -> bool {
        matches!(self.phase, Phase::New | Phase::Head | Phase::Body)
    }

    /// Returns whether the connection may be closed for a new one as its request does not progress.
    pub(crate) fn is_stalled(&self, now: Duration, body_rate: u64) -> bool {
        match self.phase {
            Phase::New | Phase::Head => self.since + HEAD_GRACE <= now,
            Phase::Body => self.is_slow_body(now, body_rate),
            Phase::Handled | Phase::Idle => false,
        }
    }

    /// Returns whether the connection may be closed for a new one as it is not used.
    pub(crate) fn is_unused(&self, now: Duration) -> bool {
        self.phase == Phase::Idle && self.since + SPARE_IDLE_TIME <= now
    }

    /// Returns the time limit that the connection has exceeded.
    pub(crate) fn exceeded(&self, now: Duration, limits: &Limits) -> Option<Reason> {
        let has_passed = |since: Duration, time: Duration| since + time <= now;
        if self.write_blocked_since.is_some_and(|it| has_passed(it, limits.response_time)) {
            return Some(Reason::ResponseSlow);
        }
        match self.phase {
            Phase::New | Phase::Head if has_passed(self.since, limits.head_time) => Some(Reason::HeadSlow),
            Phase::Idle if has_passed(self.since, limits.idle_time) => Some(Reason::Idle),
            Phase::Body if has_passed(self.since, limits.body_time) => Some(Reason::BodySlow),
            Phase::Body if self.waiting_since.is_none() && has_passed(self.rate_since, RATE_PERIOD) => {
                let required = limits.body_rate * RATE_PERIOD.as_secs();
                Some(Reason::BodySlow).filter(|_| self.rate_bytes < required)
            }
            _ => None,
        }
    }

    /// Begins a rate period if the last one is over.
    pub(crate) fn advance_rate_period(&mut self, now: Duration) {
        if self.rate_since + RATE_PERIOD <= now {
            self.restart_rate_period(now);
        }
    }

    fn restart_rate_period(&mut self, now: Duration) {
        self.rate_since = now;
        self.rate_bytes = 0;
    }

    /// Judges the rate from now on, as the client was not read from before.
    pub(crate) fn read_again(&mut self, now: Duration) {
        self.read_since = now;
        self.restart_rate_period(now);
    }

    /// Whether the connection holds memory that a share gets back when it is closed.
    pub(crate) fn holds(&self, of_peers: bool, only_large: bool) -> bool {
        let is_of_share = (self.listener == Listener::Peers) == of_peers;
        is_of_share && if only_large { SMALL_BYTES < self.charged } else { 0 < self.charged }
    }

    pub(crate) fn report(&self, now: Duration) -> Report {
        Report {
            listener: self.listener,
            phase: match self.phase {
                Phase::New => "new",
                Phase::Head => "head",
                Phase::Body => "body",
                Phase::Handled => "handled",
                Phase::Idle => "idle",
            },
            age: now.saturating_sub(self.opened),
            received: self.received,
            charged: self.charged,
        }
    }

    /// Orders connections by their progress, the least first.
    pub(crate) fn rank(&self, now: Duration) -> (u64, Reverse<Duration>) {
        (self.recent_bytes(now), Reverse(now.saturating_sub(self.since)))
    }
}
