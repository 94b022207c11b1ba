//! Which instances append callers' requests to a partition of the log, and how long each step
//! of the way there may take.
//!
//! Load pattern: requests of one pool arrive at a hundred and more instances, while the log
//! takes the appends of a partition one at a time and refuses further ones once two seconds
//! of them are queued. With an append of 3 ms this queue is short even if every instance
//! appends by itself. When the log becomes 28 to 79 times as slow within one append, eight to
//! 24 appends fill it, and each instance finds out only by an append of its own. So at any
//! time only a few ranked appenders append, each with one append in flight, and all other
//! instances send their requests through these. Their number follows from the time of an
//! append, so that they fill a fraction of the queue.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::rpc::AppendReport;

/// Queued appends from which on a partition refuses further ones.
const QUEUE_BOUND: Duration = Duration::from_secs(2);
/// Part of the queue that the appenders of a partition may fill. The rest is left to owners that
/// remove requests or hand them on, to resends, and to instances that cannot reach an appender.
const QUEUE_SHARE: u32 = 8;
/// Most appenders of a partition. Two of them may fail at the same time.
pub const MAX_APPENDERS: usize = 3;
/// Number of appenders that fail to store a request before its instance appends it by itself.
const MAX_FAILURES: usize = 2;
/// First and longest time for which an appender that failed is avoided. The time doubles while it
/// goes on failing, as each attempt delays requests.
const AVOID_TIME: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(8));

/// Time for which an appender is avoided that the log does not answer. It finds out within this
/// time when the log answers again.
const SILENT_LOG_TIME: Duration = Duration::from_millis(300);

/// Weight of an append in the mean answer time if it took at least half the mean and no longer.
/// Others replace the mean, as the log becomes slow and recovers from one append to the next.
const LATEST_WEIGHT: f64 = 0.5;
/// Time for which an observation holds. After it an instance that is asked to append does so, as
/// only an append or a report tells that the log has recovered.
const VALIDITY: Duration = Duration::from_secs(1);
/// Answer time that is assumed before the first append.
const INITIAL_ANSWER: Duration = Duration::from_millis(10);
/// Time after which an append without an answer is given up if the log answers nothing else
/// either, in mean answer times and at least.
const SILENT_AFTER: (u32, Duration) = (4, Duration::from_millis(800));
/// Time after which an append is given up although the log answers other calls: a full queue and
/// the longest append observed.
const APPEND_LIMIT: Duration = Duration::from_millis(2600);
/// Limits of the time after which an appender that has not answered is asked whether it is alive:
/// the mean answer time between them. A paused appender is found out within 0.3 s more, so that
/// its requests can be stored through another one.
const CHECK_AFTER: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(500));
/// Limits of the time between a refusal and the next append.
const REFUSAL_PAUSE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));

/// A way of a request to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Route {
    /// An append by this instance.
    Direct,
    /// A call to an appender.
    Relayed,
}

/// What an instance has observed of the appends to a partition, by itself or through the
/// reports of appenders.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Mean time until an append is answered, seconds.
    answer: f64,
    /// Time until requests that arrive at an appender now are stored, as last reported.
    drain: Duration,
    appenders: usize,
    observed_at: Option<Duration>,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            answer: INITIAL_ANSWER.as_secs_f64(),
            drain: Duration::ZERO,
            // An instance that has just started uses the best appender only, whose report tells the
            // number.
            appenders: 1,
            observed_at: None,
        }
    }
}

impl Pace {
    /// Records the answer time of an append. Returns whether the number of appenders has changed.
    pub fn record_append(&mut self, now: Duration, time: Duration) -> bool {
        self.observed_at = Some(now);
        let latest = time.as_secs_f64();
        self.answer = match self.answer / 2.0 <= latest && latest <= self.answer {
            true => self.answer + LATEST_WEIGHT * (latest - self.answer),
            false => latest.max(0.001),
        };
        // Each appender has one append in flight, so an append waits for those of the others.
        let single = self.answer / self.appenders as f64;
        let share = QUEUE_BOUND / QUEUE_SHARE;
        self.set_appenders((share.as_secs_f64() / single) as usize)
    }

    /// Records that the partition refused an append. Returns whether the number of appenders has
    /// changed.
    pub fn record_refusal(&mut self, now: Duration) -> bool {
        self.observed_at = Some(now);
        self.set_appenders(1)
    }

    /// Adopts what an appender reports.
    pub fn record_report(&mut self, now: Duration, report: &AppendReport) {
        self.observed_at = Some(now);
        self.answer = (report.answer_ms as f64 / 1000.0).max(0.001);
        self.drain = Duration::from_millis(report.drain_ms);
        self.set_appenders(report.appenders as usize);
    }

    fn set_appenders(&mut self, count: usize) -> bool {
        let count = count.clamp(1, MAX_APPENDERS);
        std::mem::replace(&mut self.appenders, count) != count
    }

    /// Whether an instance that is no appender may append a request by itself that several
    /// appenders have failed to store. While the log is slow, it tries further appenders.
    pub fn allows_direct(&self, failures: usize) -> bool {
        MAX_FAILURES <= failures && self.appenders == MAX_APPENDERS
    }

    /// Whether an instance at this place among the ranked ones appends the requests that others
    /// send to it although better ones may be alive.
    pub fn accepts(&self, now: Duration, place: usize) -> bool {
        place < self.appenders || self.observed_at.is_none_or(|it| it + VALIDITY < now)
    }

    /// Number of instances that append.
    pub fn appenders(&self) -> usize {
        self.appenders
    }

    /// Expected time until an append that is sent now is answered.
    pub fn answer(&self) -> Duration {
        Duration::from_secs_f64(self.answer).min(QUEUE_BOUND)
    }

    /// Expected time until a request is stored that this number of appends have to carry or precede.
    pub fn wait(&self, appends: usize) -> Duration {
        self.answer() * appends as u32
    }

    /// Expected time until an appender has stored a request that is sent to it now: half of the
    /// append in flight, and the next one. It stays below the time that callers wait, as only
    /// requests that are sent find out that the log has recovered.
    pub fn relay_wait(&self) -> Duration {
        self.answer().mul_f64(1.5).min(QUEUE_BOUND)
    }

    /// Time until requests that arrive at an appender now are stored, as last reported.
    pub fn drain(&self) -> Duration {
        self.drain
    }

    /// Time after which an append is given up if the log has answered nothing since.
    pub fn silent_after(&self) -> Duration {
        (self.answer() * SILENT_AFTER.0).clamp(SILENT_AFTER.1, APPEND_LIMIT)
    }

    /// Time after which an append is given up in any case.
    pub fn append_limit(&self) -> Duration {
        APPEND_LIMIT
    }

    /// Time after which an appender that has not answered is asked whether it is alive.
    pub fn check_after(&self) -> Duration {
        self.answer().clamp(CHECK_AFTER.0, CHECK_AFTER.1)
    }

    /// Time between a refusal and the next append: about the time in which the partition carries
    /// out one append. `random` is drawn uniformly from 0 to 1.
    pub fn refusal_pause(&self, random: f64) -> Duration {
        self.answer().clamp(REFUSAL_PAUSE.0, REFUSAL_PAUSE.1).mul_f64(0.5 + random)
    }
}

/// Returns the instances that may append the requests of a partition, best first, out of
/// the instances that own partitions. Owners with pools come last, as starting tasks takes
/// most of their processor time.
pub fn rank_appenders<I>(part: u32, owners: I) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = (SocketAddr, bool)>,
{
    let mut ranked: Vec<(bool, u64, SocketAddr)> = owners
        .into_iter()
        .map(|(addr, has_pools)| (has_pools, hash(part, addr), addr))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, addr)| addr).collect()
}

/// Returns the place of an instance among the ranked ones.
pub fn place(ranked: &[SocketAddr], addr: SocketAddr) -> Option<usize> {
    ranked.iter().position(|it| *it == addr)
}

/// Hash that orders instances differently for each partition.
fn hash(part: u32, addr: SocketAddr) -> u64 {
    let text = format!("{part} {addr}");
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(29)
    })
}

/// Instances that failed as appenders and are avoided for a time.
#[derive(Clone, Debug, Default)]
pub struct Avoided {
    /// Address, end of the time, and its length.
    until: SmallVec<[(SocketAddr, Duration, Duration); MAX_APPENDERS]>,
}

impl Avoided {
    /// Records that an appender failed.
    pub fn record_failure(&mut self, now: Duration, addr: SocketAddr) {
        let before = self.until.iter().find(|(it, _, _)| *it == addr).copied();
        let time = match before {
            // Calls of the same batch time fail together.
            Some((_, until, _)) if now < until => return,
            Some((_, until, time)) if now < until + AVOID_TIME.1 => (time * 2).min(AVOID_TIME.1),
            _ => AVOID_TIME.0,
        };
        self.until.retain(|(it, until, _)| *it != addr && now < *until + AVOID_TIME.1);
        self.until.push((addr, now + time, time));
    }

    /// Records that an appender is alive but that the log does not answer it.
    pub fn record_silent_log(&mut self, now: Duration, addr: SocketAddr) {
        self.until.retain(|(it, _, _)| *it != addr);
        self.until.push((addr, now + SILENT_LOG_TIME, SILENT_LOG_TIME));
    }

    /// Records that an appender answered.
    pub fn record_answer(&mut self, addr: SocketAddr) {
        self.until.retain(|(it, _, _)| *it != addr);
    }

    /// Picks the appender that an instance uses: one of the best `appenders`, a different one for
    /// different instances, and the others in turn while these are avoided. `None` if
    /// there is no other instance left.
    pub fn pick(&self, now: Duration, ranked: &[SocketAddr], appenders: usize, instance: SocketAddr) -> Option<SocketAddr> {
        let best = appenders.min(ranked.len());
        let offset = (hash(0, instance) % best.max(1) as u64) as usize;
        let is_usable = |addr: &SocketAddr| {
            let is_avoided = self.until.iter().any(|(it, until, _)| it == addr && now < *until);
            *addr != instance && !is_avoided
        };
        let in_turn = ranked[offset..best].iter().chain(&ranked[..offset]).chain(&ranked[best..]);
        in_turn.copied().find(is_usable)
    }
}
