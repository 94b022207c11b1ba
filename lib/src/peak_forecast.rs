//! Forecast of the demand peaks of all pools.
//!
//! Load pattern: the peaks of several pools follow one another, each pool at about the same time
//! after its own last peak, or after that of the pool before it. Moving an instance takes about
//! as long as a peak takes to rise, so a pool that orders instances when its peak is seen is short
//! for the whole rise. The [`Forecaster`] learns the pattern and raises the demand of a pool when
//! a peak is due, to the height that its peaks have had.
//!
//! A forecast is right if the peak starts within the time of a move from when it was expected, and
//! has half the height. It is used only while the last one of the pool was right, or, before
//! the first, the last one of any pool. Others are made and judged, but not used.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::balance::{MIN_POOL_SIZE, PoolLoad};
use crate::demand_pattern::{Interval, Pattern};
use crate::id::PoolId;
use crate::peak::{Change, Detector, Peak, Sample, WallMillis};
use crate::peak_event::{Event, EventKind};

/// Time after a coordinator with records has started in which arrivals may be missing: after a
/// power-off callers, instances and owners return one after another.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time by which a report lags behind the arrivals: its interval, that of planning, and half of
/// the shorter average of arrivals.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Fraction of the expected height from which on a peak is the expected one.
const MIN_HEIGHT_FRACTION: f64 = 0.5;
/// Number of successive expected peaks without a sight of one after which a pattern is given up.
const MAX_MISSED: u32 = 3;
/// Multiple of the CPU of all instances beyond which a recorded height is implausible. A multiple is
/// possible, as a pool may be asked for more than it has.
const MAX_OVERLOAD: u64 = 10;
/// Time without a peak after which a height from which none is expected counts half.
const HEIGHT_HALF_LIFE: Duration = Duration::from_secs(60);

/// Part of the CPU of all instances below which a peak is not forecast. Single large jobs raise the
/// average of a quiet pool by 2% of the fleet; learned as peaks, they hide the real ones.
const MIN_FLEET_FRACTION: u64 = 20;

/// Heights of peaks that matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeightBounds {
    /// Height below which the rule without a forecast serves a peak, millicores.
    pub min: u64,
    /// CPU of all instances, millicores.
    pub max: u64,
}

impl HeightBounds {
    /// Bounds for the instances with these amounts of CPU, millicores.
    pub fn of<I>(instances: I) -> HeightBounds
    where
        I: IntoIterator<Item = u64>,
    {
        let (largest, total) = instances
            .into_iter()
            .fold((0_u64, 0_u64), |(largest, total), it| (largest.max(it), total.saturating_add(it)));
        HeightBounds {
            // Every pool has its minimum size anyway.
            min: largest.saturating_mul(MIN_POOL_SIZE as u64).max(total / MIN_FLEET_FRACTION),
            max: total,
        }
    }
}

/// When the next peak of a pool is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Expectation {
    at: WallMillis,
    error_ms: u64,
    basis: Basis,
}

/// What an [`Expectation`] is derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// The time between the pool's own peaks.
    Period,
    /// The time since the peak of the pool before it.
    Previous,
    /// The time between the peaks of another pool, as its own intervals are not known. Such a
    /// forecast is judged but not used.
    Guess,
}

/// A peak that has not ended and belongs to the pattern.
#[derive(Clone, Copy, Debug)]
struct CurrentPeak {
    start: WallMillis,
    /// Height that was expected, if the peak was.
    expected_height: Option<u64>,
}

#[derive(Debug, Default)]
struct Track {
    detector: Detector,
    pattern: Pattern,
    current: Option<CurrentPeak>,
    /// Peak for which the demand is raised. It stays until it is judged, also when other peaks
    /// change what would be expected.
    pending: Option<Expectation>,
    /// Start of a peak that came before the expected one.
    unexpected: Option<WallMillis>,
    /// Number of successive expected peaks of which it is not known whether they came.
    unseen: u32,
    /// Whether a guess was wrong: the pool's peaks differ from those of other pools.
    rejects_guesses: bool,
    /// Whether the pattern differs from the recorded one.
    is_changed: bool,
    /// Whether the demand is raised at present.
    is_raised: bool,
}

/// Learns the peaks of all pools and forecasts them.
#[derive(Debug)]
pub struct Forecaster {
    /// Time from an order until the instance takes tasks, milliseconds.
    move_ms: u64,
    bounds: HeightBounds,
    tracks: BTreeMap<PoolId, Track>,
    events: Vec<Event>,
}

impl Forecaster {
    /// Creates a forecaster from the patterns that earlier coordinators recorded.
    pub fn new<I>(now: WallMillis, move_time: Duration, recorded: I) -> Forecaster
    where
        I: IntoIterator<Item = (PoolId, Pattern)>,
    {
        let settled_at = now + SETTLING_TIME.as_millis() as u64;
        let track = |pattern: Pattern| {
            let mut track = Track {
                pattern,
                ..Track::default()
            };
            track.detector.mark_incomplete(settled_at);
            track
        };
        Forecaster {
            move_ms: move_time.as_millis() as u64,
            bounds: HeightBounds::default(),
            tracks: recorded.into_iter().map(|(pool, it)| (pool, track(it))).collect(),
            events: Vec::new(),
        }
    }

    /// Handles the present demand of the pools with a fresh report.
    pub fn observe(&mut self, now: WallMillis, samples: &BTreeMap<PoolId, Sample>, bounds: HeightBounds) {
        self.bounds = bounds;
        for (pool, sample) in samples {
            let known_height = self.known_height(now, pool);
            let track = self.tracks.entry(pool.clone()).or_default();
            match track.detector.observe(now, *sample, known_height, bounds.min) {
                Some(Change::Started { at, is_seen }) => self.handle_start(pool, at, is_seen),
                Some(Change::Ended(peak)) => self.handle_end(pool, &peak, bounds.min),
                None => {}
            }
        }
        let pools: Vec<PoolId> = self.tracks.keys().cloned().collect();
        for pool in pools {
            if bounds.max.saturating_mul(MAX_OVERLOAD) < self.tracks[&pool].pattern.height() {
                self.give_up(&pool);
            }
            self.check_expected_peak(now, &pool);
        }
    }

    /// Raises the demand of pools whose peak is due. Never lowers it.
    pub fn raise(&mut self, now: WallMillis, loads: &mut BTreeMap<PoolId, PoolLoad>) {
        let pools: Vec<PoolId> = self.tracks.keys().cloned().collect();
        for pool in pools {
            let demand = self.expected_demand(now, &pool);
            let expected = self.expect(&pool);
            let Some(track) = self.tracks.get_mut(&pool) else {
                continue;
            };
            if 0 < demand && !track.is_raised {
                let start = track.current.map(|it| it.start);
                self.events.push(Event {
                    pool: pool.clone(),
                    kind: EventKind::Used,
                    start_ms: start,
                    expected_ms: expected.filter(|_| start.is_none()).map(|it| it.at),
                    height: track.pattern.height(),
                });
            }
            track.is_raised = 0 < demand;
            if track.is_raised && track.current.is_none() {
                track.pending = expected;
            }
            if let Some(load) = loads.get_mut(&pool) {
                load.arriving = load.arriving.max(demand);
            }
        }
    }

    /// CPU that a pool is expected to need once an instance that is ordered now takes tasks,
    /// millicores; 0 if there is no forecast that may be used.
    pub fn expected_demand(&self, now: WallMillis, pool: &PoolId) -> u64 {
        let Some(track) = self.tracks.get(pool).filter(|_| self.is_trusted(pool)) else {
            return 0;
        };
        let pattern = &track.pattern;
        let is_incomplete = track.detector.is_incomplete(now);
        let lag_ms = REPORT_LAG.as_millis() as u64;
        // An instance that arrives when the peak ends is of no use.
        let end = |start: WallMillis| start + pattern.length_ms.saturating_sub(self.move_ms);
        let (earliest, until) = match (track.current, self.expect(pool)) {
            (Some(it), _) if it.expected_height.is_none() => return 0,
            // Once the peak has risen, the reports tell its height.
            (Some(it), _) if is_incomplete => (it.start, end(it.start)),
            (Some(it), _) => (it.start, it.start + pattern.rise_ms + lag_ms),
            (None, Some(it)) if it.basis != Basis::Guess => {
                let tolerance = (2 * it.error_ms + lag_ms).min(self.move_ms);
                let latest = it.at + tolerance;
                let until = if is_incomplete { latest.max(end(it.at)) } else { latest };
                let margin = it.error_ms + lag_ms / 2;
                (it.at.saturating_sub(margin.min(self.move_ms / 2)), until)
            }
            _ => return 0,
        };
        // The demand rises before a start can be seen.
        let target = now + self.move_ms + lag_ms;
        if target < earliest || until < now {
            return 0;
        }
        let risen = (target - earliest) as f64 / (pattern.rise_ms + lag_ms) as f64;
        ((pattern.height() as f64 * risen.min(1.0)) as u64).min(self.bounds.max)
    }

    /// Takes the patterns that have changed and are to be recorded; `None` for one that was given up.
    pub fn take_changes(&mut self) -> Vec<(PoolId, Option<Vec<u8>>)> {
        let changed = self
            .tracks
            .iter_mut()
            .filter_map(|(pool, it)| std::mem::take(&mut it.is_changed).then_some((pool, it)));
        let record = |it: &Pattern| (!it.heights.is_empty()).then(|| it.encode());
        changed.map(|(pool, it)| (pool.clone(), record(&it.pattern))).collect()
    }

    /// Takes what was learned and decided since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Height from which starts of peaks are recognized. Without an expectation it decreases, as a
    /// single burst may have been higher than all that follows.
    fn known_height(&self, now: WallMillis, pool: &PoolId) -> u64 {
        let Some(track) = self.tracks.get(pool) else {
            return 0;
        };
        let height = track.pattern.height();
        if self.expect(pool).is_some() {
            return height;
        }
        let half_lives = now.saturating_sub(track.pattern.seen_start) / HEIGHT_HALF_LIFE.as_millis() as u64;
        height.checked_shr(half_lives.min(64) as u32).unwrap_or(0)
    }

    fn is_trusted(&self, pool: &PoolId) -> bool {
        match self.tracks.get(pool).and_then(|it| it.pattern.was_right) {
            Some(was_right) => was_right,
            None => {
                let judged = self.tracks.values().filter(|it| it.pattern.was_right.is_some());
                judged.max_by_key(|it| it.pattern.phase).and_then(|it| it.pattern.was_right) == Some(true)
            }
        }
    }

    /// Returns when the next peak of a pool is expected, by the interval with the least error.
    fn expect(&self, pool: &PoolId) -> Option<Expectation> {
        let track = self.tracks.get(pool)?;
        let Track { pattern, pending, .. } = track;
        if pending.is_some() {
            return *pending;
        }
        if pattern.heights.is_empty() || pattern.phase == 0 {
            return None;
        }
        let after = |start: WallMillis, interval: &Interval, basis: Basis| Expectation {
            at: start + interval.mean_ms,
            // An interval that was seen once has no error yet.
            error_ms: if interval.count == 1 { self.move_ms / 2 } else { interval.error_ms },
            basis,
        };
        let period = pattern.period.as_ref();
        let by_period = period.map(|it| after(pattern.phase, it, Basis::Period));
        let by_previous = pattern.follows.as_ref().and_then(|(previous, gap)| {
            // A peak that has not come is not followed by another one.
            let previous = Some(&self.tracks.get(previous)?.pattern).filter(|it| it.missed == 0)?;
            (pattern.phase < previous.phase).then(|| after(previous.phase, gap, Basis::Previous))
        });
        // The other pool may have several peaks in the period of this one.
        let is_same_peak = |it: &Expectation| by_period.is_none_or(|own| it.at.abs_diff(own.at) <= self.move_ms);
        let by_previous = by_previous.filter(|it| period.is_none_or(|it| it.count == 1) || is_same_peak(it));
        let known = by_period.into_iter().chain(by_previous).min_by_key(|it| it.error_ms);
        known.or_else(|| self.guess(pool).filter(|_| !track.rejects_guesses))
    }

    /// Returns when the next peak of a pool is expected if it has the period of other pools.
    fn guess(&self, pool: &PoolId) -> Option<Expectation> {
        let phase = self.tracks.get(pool)?.pattern.phase;
        let periods = self.tracks.values().filter_map(|it| it.pattern.period.as_ref());
        periods.min_by_key(|it| it.error_ms).map(|it| Expectation {
            at: phase + it.mean_ms,
            error_ms: self.move_ms / 2,
            basis: Basis::Guess,
        })
    }

    fn handle_start(&mut self, pool: &PoolId, at: WallMillis, is_seen: bool) {
        let expected = self.expect(pool);
        let height = self.tracks.get(pool).map_or(0, |it| it.pattern.height());
        let move_ms = self.move_ms;
        let Some(track) = self.tracks.get_mut(pool) else {
            return;
        };
        track.current = None;
        let length_ms = track.pattern.length_ms;
        let is_in_peak = |it: &Expectation| it.at <= at + move_ms && at <= it.at + length_ms + move_ms;
        // Arrivals may have been missing since the expected start.
        let complete_since = track.detector.complete_since();
        let is_hidden = |it: &Expectation| it.at < complete_since + move_ms && move_ms < at.abs_diff(it.at);
        if !is_seen || expected.is_some_and(|it| is_hidden(&it) && is_in_peak(&it)) {
            if let Some(it) = expected.filter(is_in_peak) {
                track.pattern.phase = it.at;
                track.pending = None;
                track.current = Some(CurrentPeak {
                    start: it.at,
                    expected_height: Some(height),
                });
                self.push_event(pool, EventKind::Resumed, Some(at), Some(it.at));
            }
            return;
        }
        // The start of the first peak is determined at its end, when its height is known.
        if height == 0 {
            return;
        }
        let Some(it) = expected else {
            self.learn_start(pool, at, None);
            return;
        };
        if it.at.abs_diff(at) <= move_ms {
            track.pattern.was_right = Some(true);
            self.push_event(pool, EventKind::Right, Some(at), Some(it.at));
            self.learn_start(pool, at, Some(height));
        } else if track.pattern.was_right == Some(true) && at < it.at {
            track.unexpected = Some(at);
            self.push_event(pool, EventKind::Unexpected, Some(at), Some(it.at));
        } else {
            if it.basis != Basis::Guess {
                track.pattern.was_right = Some(false);
            }
            self.push_event(pool, EventKind::Wrong, Some(at), Some(it.at));
            self.learn_start(pool, at, None);
        }
    }

    fn learn_start(&mut self, pool: &PoolId, at: WallMillis, expected_height: Option<u64>) {
        let others = self.tracks.iter().filter(|(it, _)| *it != pool);
        let starts = others.map(|(it, track)| (it, track.pattern.seen_start)).filter(|(_, it)| *it != 0);
        let previous = starts.filter(|(_, it)| *it < at).max_by_key(|(_, it)| *it);
        let previous = previous.map(|(it, start)| (it.clone(), start));
        if let Some(track) = self.tracks.get_mut(pool) {
            let previous = previous.as_ref().map(|(it, start)| (it, *start));
            track.pattern.add_start(at, previous, self.move_ms);
            track.unseen = 0;
            track.unexpected = None;
            track.pending = None;
            track.current = Some(CurrentPeak {
                start: at,
                expected_height,
            });
        }
    }

    fn handle_end(&mut self, pool: &PoolId, peak: &Peak, min_height: u64) {
        let Some(track) = self.tracks.get_mut(pool) else {
            return;
        };
        let current = track.current.take();
        let expected_height = current.and_then(|it| it.expected_height).unwrap_or(0);
        let is_lower = (peak.height as f64) < expected_height as f64 * MIN_HEIGHT_FRACTION;
        if is_lower && peak.is_start_seen {
            track.pattern.was_right = Some(false);
            self.push_event(pool, EventKind::Lower, Some(peak.start), None);
        }
        let Some(track) = self.tracks.get_mut(pool) else {
            return;
        };
        track.is_changed |= current.is_some();
        let is_first = track.pattern.heights.is_empty();
        if peak.height < min_height || !peak.is_start_seen || current.is_none() && !is_first {
            return;
        }
        track.pattern.add_peak(peak);
        track.is_changed = true;
        if is_first {
            self.learn_start(pool, peak.start, None);
            if let Some(track) = self.tracks.get_mut(pool) {
                track.current = None;
            }
        }
        self.push_event(pool, EventKind::Learned, Some(peak.start), None);
    }

    /// Judges the forecast of a peak that has not come in time.
    fn check_expected_peak(&mut self, now: WallMillis, pool: &PoolId) {
        let Some(it) = self.expect(pool) else {
            return;
        };
        let move_ms = self.move_ms;
        let Some(track) = self.tracks.get_mut(pool) else {
            return;
        };
        if it.basis == Basis::Guess {
            // What holds for other pools says nothing of the pattern of this one.
            if it.at + move_ms < now {
                track.rejects_guesses = true;
                self.push_event(pool, EventKind::Missed, None, Some(it.at));
            }
            return;
        }
        let is_seen = !track.detector.is_incomplete(now) && track.detector.complete_since() + move_ms <= it.at;
        let wait_ms = if is_seen { move_ms } else { move_ms.max(track.pattern.length_ms) };
        if now <= it.at + wait_ms {
            return;
        }
        track.pending = None;
        if !is_seen {
            track.unseen += 1;
            track.pattern.phase = it.at;
            let is_lost = MAX_MISSED < track.unseen;
            self.push_event(pool, EventKind::Unseen, None, Some(it.at));
            if is_lost {
                self.give_up(pool);
            }
            return;
        }
        track.pattern.was_right = Some(false);
        if it.basis == Basis::Previous {
            // The pool may still have its own period, which is judged and recorded soon.
            track.is_changed |= track.pattern.period.is_none();
            track.pattern.follows = None;
            self.push_event(pool, EventKind::Missed, None, Some(it.at));
            return;
        }
        track.is_changed = true;
        track.pattern.phase = it.at;
        track.pattern.missed += 1;
        let is_lost = MAX_MISSED <= track.pattern.missed;
        let unexpected = track.unexpected.take();
        self.push_event(pool, EventKind::Missed, None, Some(it.at));
        match unexpected {
            // The peak came earlier than expected, so the pattern has shifted.
            Some(start) => {
                self.learn_start(pool, start, None);
                if let Some(track) = self.tracks.get_mut(pool) {
                    track.current = None;
                }
            }
            None if is_lost => self.give_up(pool),
            None => {}
        }
    }

    fn give_up(&mut self, pool: &PoolId) {
        self.push_event(pool, EventKind::GivenUp, None, None);
        if let Some(track) = self.tracks.get_mut(pool) {
            track.pattern = Pattern::default();
            track.current = None;
            track.pending = None;
            track.unexpected = None;
            track.unseen = 0;
            track.rejects_guesses = false;
            track.is_changed = true;
        }
    }

    fn push_event(&mut self, pool: &PoolId, kind: EventKind, start_ms: Option<WallMillis>, expected_ms: Option<WallMillis>) {
        self.events.push(Event {
            pool: pool.clone(),
            kind,
            start_ms,
            expected_ms,
            height: self.tracks.get(pool).map_or(0, |it| it.pattern.height()),
        });
    }
}
