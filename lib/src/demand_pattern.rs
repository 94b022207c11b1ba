//! What is known of a pool's demand peaks, as it is kept for the next coordinator.
//!
//! Load pattern: the coordinator changes, or all instances lose power for a second, while the
//! demand goes on. Its peaks are expected at wall-clock times, which the next coordinator
//! understands, and the pattern is small enough to be recorded after each peak.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::id::PoolId;
use crate::peak::{Peak, WallMillis};

/// Number of peaks whose heights are kept. The median of three disregards a single burst.
const HEIGHTS: usize = 3;
/// Most missed peaks between two seen ones that are taken for a multiple of the period.
const MAX_MULTIPLE: u64 = 3;
/// How far in the future a recorded time may be: clocks of instances differ by up to 250 ms.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);
/// Age beyond which a pattern is not used. Peaks further apart need no forecast: the present
/// rule loses seconds only at the start of each.
const MAX_AGE: Duration = Duration::from_secs(24 * 3600);

/// A time between two starts of peaks, learned from several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// Moving average, milliseconds.
    pub mean_ms: u64,
    /// Moving average of the deviation from the mean, milliseconds.
    pub error_ms: u64,
    /// Number of intervals seen; 1 if there is no deviation yet.
    pub count: u32,
}

impl Interval {
    fn new(interval_ms: u64) -> Interval {
        Interval {
            mean_ms: interval_ms,
            error_ms: 0,
            count: 1,
        }
    }

    /// Adds an interval. One that deviates by more than `tolerance_ms` is taken for the first of
    /// another pattern.
    fn add(&mut self, interval_ms: u64, tolerance_ms: u64) {
        let deviation = interval_ms.abs_diff(self.mean_ms);
        if tolerance_ms < deviation {
            *self = Interval::new(interval_ms);
            return;
        }
        self.error_ms = if self.count == 1 {
            deviation
        } else {
            (self.error_ms + deviation) / 2
        };
        self.mean_ms = (self.mean_ms + interval_ms) / 2;
        self.count = self.count.saturating_add(1);
    }
}

/// Peaks of one pool. The fields are encoded by position, so they keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pattern {
    /// Heights of the last peaks, millicores.
    pub heights: SmallVec<[u64; HEIGHTS]>,
    /// Mean time from the start of a peak to its end, milliseconds.
    pub length_ms: u64,
    /// Mean time from the start of a peak until almost its height, milliseconds.
    pub rise_ms: u64,
    /// Start of the last peak, or the time at which it was expected if it was not seen.
    pub phase: WallMillis,
    /// Start of the last peak that was seen.
    pub seen_start: WallMillis,
    /// Time between the starts of peaks of this pool.
    pub period: Option<Interval>,
    /// Pool whose peak started last before that of this pool, and the time between the starts.
    pub follows: Option<(PoolId, Interval)>,
    /// Whether the last forecast was right; `None` before the first.
    pub was_right: Option<bool>,
    /// Number of expected peaks that have not come since the last one.
    pub missed: u32,
}

/// Why a recorded pattern is not used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The record cannot be decoded.
    #[error("the record cannot be decoded: {0}")]
    Undecodable(String),
    /// A value of the record is not possible.
    #[error("implausible {0}")]
    Implausible(&'static str),
    /// The last peak is too long ago.
    #[error("the last peak is {0} ms ago")]
    Stale(u64),
}

impl Pattern {
    /// Decodes a recorded pattern. One that a coordinator gave up is empty.
    pub fn decode(now: WallMillis, record: &[u8]) -> Result<Pattern, Error> {
        let pattern: Pattern = rmp_serde::from_slice(record).map_err(|it| Error::Undecodable(it.to_string()))?;
        let latest = now + MAX_CLOCK_SKEW.as_millis() as u64;
        if HEIGHTS < pattern.heights.len() || pattern.heights.contains(&0) {
            return Err(Error::Implausible("heights"));
        }
        if latest < pattern.phase || pattern.phase < pattern.seen_start {
            return Err(Error::Implausible("start"));
        }
        let max_ms = MAX_AGE.as_millis() as u64;
        if max_ms < pattern.length_ms || pattern.length_ms < pattern.rise_ms {
            return Err(Error::Implausible("length"));
        }
        let intervals = pattern.period.iter().chain(pattern.follows.iter().map(|(_, it)| it));
        if intervals
            .clone()
            .any(|it| it.count == 0 || max_ms < it.mean_ms || it.mean_ms < it.error_ms)
        {
            return Err(Error::Implausible("interval"));
        }
        let age = now.saturating_sub(pattern.phase);
        if !pattern.heights.is_empty() && max_ms < age {
            return Err(Error::Stale(age));
        }
        Ok(pattern)
    }

    /// Encodes the pattern for the next coordinator.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("patterns can be encoded")
    }

    /// Height of the next peak, which is at most that of the highest one seen; 0 before the first.
    pub fn height(&self) -> u64 {
        let mut heights = self.heights.clone();
        heights.sort_unstable();
        heights.get((heights.len().saturating_sub(1)) / 2).copied().unwrap_or(0)
    }

    /// Learns height and length from a peak whose start was seen.
    pub(crate) fn add_peak(&mut self, peak: &Peak) {
        if self.heights.is_empty() {
            (self.length_ms, self.rise_ms) = (peak.length_ms, peak.rise_ms);
        } else {
            self.length_ms = (self.length_ms + peak.length_ms) / 2;
            self.rise_ms = (self.rise_ms + peak.rise_ms) / 2;
        }
        if self.heights.len() == HEIGHTS {
            self.heights.remove(0);
        }
        self.heights.push(peak.height);
    }

    /// Learns the start of a peak. `previous` is the peak of another pool that started last before
    /// it. Intervals within `tolerance_ms` of the expected one are of the same pattern.
    pub(crate) fn add_start(&mut self, at: WallMillis, previous: Option<(&PoolId, WallMillis)>, tolerance_ms: u64) {
        let interval_ms = at.saturating_sub(self.seen_start);
        // Pools cannot follow peaks that are closer together than two moves.
        if self.seen_start != 0 && 2 * tolerance_ms <= interval_ms {
            match &mut self.period {
                Some(period) => {
                    let multiple = ((interval_ms + period.mean_ms / 2) / period.mean_ms.max(1)).clamp(1, MAX_MULTIPLE);
                    let is_multiple = interval_ms.abs_diff(multiple * period.mean_ms) <= tolerance_ms;
                    period.add(if is_multiple { interval_ms / multiple } else { interval_ms }, tolerance_ms);
                }
                None => self.period = Some(Interval::new(interval_ms)),
            }
        }
        // A peak of the other pool before the last one of this pool does not tell when this one starts.
        if let Some((pool, start)) = previous.filter(|(_, start)| self.seen_start < *start) {
            let gap_ms = at.saturating_sub(start);
            match &mut self.follows {
                Some((known, gap)) if known == pool => gap.add(gap_ms, tolerance_ms),
                follows => *follows = Some((pool.clone(), Interval::new(gap_ms))),
            }
        }
        self.seen_start = at;
        self.phase = at;
        self.missed = 0;
    }
}
