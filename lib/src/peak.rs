//! Detection of demand peaks of a pool in the reports of its owner.
//!
//! Load pattern: the demand of a pool is a small fraction of its mean for most of the time and
//! several times its mean for some seconds. A [`Detector`] finds the start and the end of such
//! peaks and measures their height, length and rise. It measures nothing from samples that may
//! lack arrivals: those of an owner that has just taken over, and those after a gap.

use std::time::Duration;

/// Fraction of the height of earlier peaks at which a peak starts.
const START_LEVEL: f64 = 0.4;
/// Fraction of its own height, or that of earlier peaks, at which a peak ends. It is lower than [`START_LEVEL`], so that
/// random variation does not split a peak.
const END_LEVEL: f64 = 0.2;
/// Fraction of the samples of a peak that are left out of its height. While the demand rises, the
/// owner's extrapolation is up to several times what arrives.
const RISING_FRACTION: f64 = 0.5;
/// Quantile of the other samples that is the height. The highest one is subject to random variation.
const HEIGHT_QUANTILE: f64 = 0.75;
/// Fraction of the height at which the rise of a peak ends.
const RISE_LEVEL: f64 = 0.8;
/// Ratio of the first peak to the demand before it. In steady load the rate varies by less.
const MIN_RATIO: f64 = 3.0;
/// Time without samples after which arrivals may be missing. Owners report every 150 ms.
const MAX_SAMPLE_GAP: Duration = Duration::from_secs(1);
/// Time for which the averages of a new owner rise from zero although its load is steady.
const OWNER_WARM_UP: Duration = Duration::from_millis(2500);
/// Number of samples of a peak that are kept; beyond it, every other one is dropped.
const MAX_SAMPLES: usize = 128;

/// Milliseconds since the Unix epoch.
pub type WallMillis = u64;

/// Demand on a pool at one time, as reported by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// CPU that newly arriving jobs need, millicores. While it rises, the owner extrapolates it.
    pub arriving: u64,
    /// CPU of placed and of waiting tasks, millicores.
    pub present: u64,
    /// Epoch of the owner; the averages of a new owner start at zero.
    pub owner_epoch: u64,
}

impl Sample {
    /// CPU that arriving jobs need without the owner's extrapolation.
    fn level(&self) -> u64 {
        self.arriving.min(self.present)
    }
}

/// A change that a sample shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A peak has started.
    Started {
        /// Time of its start.
        at: WallMillis,
        /// Whether it was seen; otherwise the demand was high in the first reliable sample.
        is_seen: bool,
    },
    /// A peak has ended.
    Ended(Peak),
}

/// A peak that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peak {
    /// Time of its start, or of the first sample if the start was not seen.
    pub start: WallMillis,
    /// Whether the start was seen.
    pub is_start_seen: bool,
    /// CPU that arriving jobs needed at its height, millicores.
    pub height: u64,
    /// Time from its start to its end, milliseconds.
    pub length_ms: u64,
    /// Time from its start until almost its height, milliseconds.
    pub rise_ms: u64,
}

/// Finds the peaks of one pool.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    last: Option<(WallMillis, Sample)>,
    /// Time until which samples may lack arrivals.
    incomplete_until: WallMillis,
    /// Moving average of the demand outside peaks; `None` before the first sample of it.
    quiet: Option<f64>,
    active: Option<ActivePeak>,
}

/// A peak that has not ended.
#[derive(Clone, Debug)]
struct ActivePeak {
    start: WallMillis,
    is_start_seen: bool,
    /// Highest [`Sample::level`].
    max: u64,
    /// Time, reported arrivals and level of its samples.
    samples: Vec<(WallMillis, u64, u64)>,
}

impl Detector {
    /// Treats the samples until `until` as lacking arrivals, as after a power-off.
    pub fn mark_incomplete(&mut self, until: WallMillis) {
        self.incomplete_until = self.incomplete_until.max(until);
    }

    /// Whether samples of `now` may lack arrivals.
    pub fn is_incomplete(&self, now: WallMillis) -> bool {
        let gap = self.last.map_or(u64::MAX, |(at, _)| now.saturating_sub(at));
        now < self.incomplete_until || MAX_SAMPLE_GAP.as_millis() as u64 <= gap
    }

    /// Time before which samples lacked arrivals.
    pub fn complete_since(&self) -> WallMillis {
        self.incomplete_until
    }

    /// Whether the pool is in a peak.
    pub fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// Handles a sample. `known_height` is that of earlier peaks, 0 if there were none, and peaks
    /// below `min_height` are of no interest.
    pub fn observe(&mut self, now: WallMillis, sample: Sample, known_height: u64, min_height: u64) -> Option<Change> {
        let (last_at, last) = match self.last {
            // Readings of the wall clock may go back.
            Some((at, _)) if now <= at => return None,
            Some((at, last)) => (at, Some(last)),
            None => (now, None),
        };
        if last.is_some_and(|it| it.owner_epoch != sample.owner_epoch) {
            self.mark_incomplete(now + OWNER_WARM_UP.as_millis() as u64);
        }
        if MAX_SAMPLE_GAP.as_millis() as u64 <= now - last_at {
            self.mark_incomplete(now + 1);
        }
        self.last = Some((now, sample));
        let is_incomplete = now < self.incomplete_until;
        if self.active.is_some() {
            return self.observe_active(now, sample, is_incomplete, known_height);
        }
        if self.is_start(&sample, known_height, min_height) {
            // A high sample does not tell since when the demand is high if the one before it may
            // have lacked arrivals.
            let is_seen = last.is_some() && !is_incomplete && self.incomplete_until <= last_at;
            let mut active = ActivePeak {
                start: now,
                is_start_seen: is_seen,
                max: 0,
                samples: Vec::new(),
            };
            if !is_incomplete {
                active.add(now, sample);
            }
            self.active = Some(active);
            return Some(Change::Started { at: now, is_seen });
        }
        if !is_incomplete {
            let arriving = sample.arriving as f64;
            self.quiet = Some(self.quiet.map_or(arriving, |it| 0.9 * it + 0.1 * arriving));
        }
        None
    }

    fn is_start(&self, sample: &Sample, known_height: u64, min_height: u64) -> bool {
        let min_arriving = if known_height == 0 {
            (min_height as f64 * START_LEVEL).max(self.quiet.unwrap_or(0.0) * MIN_RATIO)
        } else {
            known_height.max(min_height) as f64 * START_LEVEL
        };
        0 < sample.arriving && min_arriving <= sample.arriving as f64
    }

    fn observe_active(&mut self, now: WallMillis, sample: Sample, is_incomplete: bool, known_height: u64) -> Option<Change> {
        let peak = self.active.as_mut()?;
        if is_incomplete {
            return None;
        }
        if peak.max.max(known_height) as f64 * END_LEVEL < sample.arriving as f64 {
            peak.add(now, sample);
            return None;
        }
        Some(Change::Ended(self.active.take()?.end(now)))
    }
}

impl ActivePeak {
    fn add(&mut self, now: WallMillis, sample: Sample) {
        // What was taken for a peak is low compared with one that starts only now.
        let is_new_peak = (self.max as f64) < sample.level() as f64 * START_LEVEL;
        if is_new_peak && !self.samples.is_empty() {
            self.samples.drain(..self.samples.len() - 1);
            self.is_start_seen = true;
        }
        self.max = self.max.max(sample.level());
        self.samples.push((now, sample.arriving, sample.level()));
        if MAX_SAMPLES <= self.samples.len() {
            let mut index = 0;
            self.samples.retain(|_| {
                index += 1;
                index % 2 == 1
            });
        }
    }

    fn end(self, now: WallMillis) -> Peak {
        let last_high = self
            .samples
            .iter()
            .rposition(|(_, _, level)| self.max as f64 * START_LEVEL <= *level as f64);
        let high = &self.samples[..last_high.map_or(0, |it| it + 1)];
        let risen = &high[(high.len() as f64 * RISING_FRACTION) as usize..];
        let mut levels: Vec<u64> = risen.iter().map(|(_, _, level)| *level).collect();
        levels.sort_unstable();
        let index = (levels.len().saturating_sub(1) as f64 * HEIGHT_QUANTILE) as usize;
        let height = levels.get(index).copied().unwrap_or(0);
        // The first peak is found from a lower level on than later ones.
        let first_high = self
            .samples
            .iter()
            .find(|(_, arriving, _)| height as f64 * START_LEVEL <= *arriving as f64);
        let start = match first_high {
            Some((at, _, _)) if self.is_start_seen => *at,
            _ => self.start,
        };
        let risen = self
            .samples
            .iter()
            .find(|(_, _, level)| height as f64 * RISE_LEVEL <= *level as f64);
        Peak {
            start,
            is_start_seen: self.is_start_seen,
            height,
            length_ms: now.saturating_sub(start),
            rise_ms: risen.map_or(0, |(at, _, _)| at.saturating_sub(start)),
        }
    }
}
