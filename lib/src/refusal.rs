//! When a caller's request is refused, and when the caller should return.
//!
//! Load pattern: the log is out of reach of some instances, or of all, for some seconds,
//! while callers send hundreds of requests a second. A request that is sent to a silent
//! log may be stored, so its caller can be told neither that the job was accepted nor that
//! it was not. While the log is known to be silent such a request is refused at once
//! instead, which is true: it has not been sent. Callers return spread over a time that
//! grows with the outage, so that the log does not get all of them when it is back.

use std::time::Duration;

/// Time for which a request that certainly had no effect is tried again. Within it a broken
/// connection is replaced and another appender tried.
pub const PATIENCE: Duration = Duration::from_millis(120);
/// Shortest and longest time after which callers are told to return.
const RETURN_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));
/// Part of that time by which callers are spread, in both directions.
const RETURN_SPREAD: f64 = 0.5;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This instance has no configuration yet.
    NoConfiguration,
    /// This instance does not know yet from which pools queues have moved.
    NoHistory,
    /// This instance may not know the configuration in effect, and by the one that it knows the
    /// queue or the key does not exist.
    OutdatedConfiguration,
    /// The log does not answer, here and through other instances; the time since it last did.
    LogSilent(Duration),
    /// The log answers, but what waits for it takes too long; the time until that is stored.
    LogBusy(Duration),
    /// The owner of the pool does not answer, as while a pool changes hands.
    OwnerSilent,
    /// The owner does not know the job, and may not know all jobs that it has to know.
    OutdatedRequests,
}

impl Cause {
    /// Name for the decision log and the response.
    pub fn name(self) -> &'static str {
        match self {
            Cause::NoConfiguration => "no_configuration",
            Cause::NoHistory => "no_configuration_history",
            Cause::OutdatedConfiguration => "configuration_outdated",
            Cause::LogSilent(_) => "log_silent",
            Cause::LogBusy(_) => "log_busy",
            Cause::OwnerSilent => "owner_silent",
            Cause::OutdatedRequests => "requests_outdated",
        }
    }

    /// Time after which the caller should return. An outage is taken to last as long again as
    /// it has lasted, and a busy log to be free once it has stored what waits. `random` is drawn uniformly from 0 to 1.
    pub fn retry_after(self, random: f64) -> Duration {
        let expected = match self {
            Cause::LogSilent(outage) => outage,
            Cause::LogBusy(drain) => drain,
            Cause::NoConfiguration | Cause::NoHistory | Cause::OutdatedConfiguration | Cause::OwnerSilent | Cause::OutdatedRequests => {
                RETURN_RANGE.0
            }
        };
        let spread = 1.0 + RETURN_SPREAD * (2.0 * random - 1.0);
        expected.clamp(RETURN_RANGE.0, RETURN_RANGE.1).mul_f64(spread)
    }
}
