//! Run times of similar tasks, learned from the runs that completed.
//!
//! Load pattern: the run times that callers submit are off by a fifth for short tasks and by nine
//! tenths for long ones, and a few percent of the tasks take several times as long as the others.
//! Tasks of one queue, step and image are similar. Their run times are kept as quantiles of the
//! latest runs, so that a few long ones do not move the estimate.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::job_record::QueueId;

/// Number of latest runs of a class that are kept. The median of 64 runs whose times vary by a
/// factor of two has a standard error of a tenth.
const WINDOW: usize = 64;
/// Least number of runs from which an estimate is made. Of eight runs, the median differs from
/// the usual time only if four of them are exceptions.
const MIN_RUNS: usize = 8;
/// Most classes that are kept; a class takes about 700 bytes.
const MAX_CLASSES: usize = 1024;
/// Number of runs after which the quantiles are computed again. A median of 64 runs moves little
/// with eight of them, and sorting at each end would take most of the time of handling an end.
const REFRESH_RUNS: usize = 8;

/// Tasks that are expected to take similar times.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Queue of the job.
    pub queue: QueueId,
    /// Position of the step in the job's specification.
    pub step: u16,
    /// Image that the task runs.
    pub image: Arc<str>,
}

/// Expected run time of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Median, milliseconds.
    pub p50_ms: u64,
    /// Time that one run in ten exceeds, milliseconds.
    pub p90_ms: u64,
    /// Number of runs that the estimate is made from.
    pub count: usize,
}

/// Quantiles of natural logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Quantiles {
    p25: f32,
    p50: f32,
    p75: f32,
    p90: f32,
}

/// A completed run.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Logarithm of the run time in milliseconds.
    time: f32,
    /// Logarithm of the run time as a multiple of the submitted one; `None` if none was submitted.
    ratio: Option<f32>,
}

/// Latest runs of a class.
#[derive(Clone, Debug, Default)]
struct History {
    samples: VecDeque<Sample>,
    times: Quantiles,
    /// `None` if too few runs had a submitted run time.
    ratios: Option<Quantiles>,
    unread: usize,
    last_used: u64,
}

/// Learned run times by class.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    classes: HashMap<Class, History>,
    recorded: u64,
}

impl RunTimes {
    /// Adds a run that completed after `elapsed_ms` and for which `submitted_ms` had been
    /// estimated; zero stands for no estimate.
    pub fn record(&mut self, class: Class, submitted_ms: u64, elapsed_ms: u64) {
        self.recorded += 1;
        if MAX_CLASSES <= self.classes.len() && !self.classes.contains_key(&class) {
            self.evict();
        }
        let history = self.classes.entry(class).or_default();
        history.last_used = self.recorded;
        history.add(submitted_ms, elapsed_ms);
    }

    /// Returns the expected run time of a task for which `submitted_ms` was estimated; `None` if
    /// too few runs of its class completed.
    ///
    /// If the submitted times explain the differences between runs, the estimate is a multiple of
    /// the submitted time, else it is independent of it.
    pub fn estimate(&self, class: &Class, submitted_ms: u64) -> Option<Estimate> {
        if self.classes.is_empty() {
            return None;
        }
        let history = self.classes.get(class).filter(|it| MIN_RUNS <= it.samples.len())?;
        let (quantiles, unit) = match history.ratios {
            Some(ratios) if 0 < submitted_ms && ratios.spread() <= history.times.spread() => (ratios, submitted_ms as f64),
            _ => (history.times, 1.0),
        };
        let ms = |it: f32| ((f64::from(it).exp() * unit).round() as u64).max(1);
        Some(Estimate {
            p50_ms: ms(quantiles.p50),
            p90_ms: ms(quantiles.p90),
            count: history.samples.len(),
        })
    }

    /// Number of classes of which runs completed.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Removes the class of which no run has completed for the longest time.
    fn evict(&mut self) {
        let oldest = self.classes.iter().min_by_key(|(_, it)| it.last_used);
        if let Some(class) = oldest.map(|(class, _)| class.clone()) {
            self.classes.remove(&class);
        }
    }
}

impl History {
    fn add(&mut self, submitted_ms: u64, elapsed_ms: u64) {
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        let time = (elapsed_ms.max(1) as f32).ln();
        let ratio = (0 < submitted_ms).then(|| time - (submitted_ms as f32).ln());
        self.samples.push_back(Sample { time, ratio });
        self.unread += 1;
        let is_due = self.samples.len() < 2 * MIN_RUNS || REFRESH_RUNS <= self.unread;
        if MIN_RUNS <= self.samples.len() && is_due {
            self.unread = 0;
            self.times = Quantiles::of(self.samples.iter().map(|it| it.time).collect());
            let ratios: Vec<f32> = self.samples.iter().filter_map(|it| it.ratio).collect();
            self.ratios = (MIN_RUNS <= ratios.len()).then(|| Quantiles::of(ratios));
        }
    }
}

impl Quantiles {
    /// Returns the quantiles of some values, at least one.
    fn of(mut values: Vec<f32>) -> Quantiles {
        values.sort_by(f32::total_cmp);
        let at = |part: f32| values[((values.len() - 1) as f32 * part).round() as usize];
        Quantiles {
            p25: at(0.25),
            p50: at(0.5),
            p75: at(0.75),
            p90: at(0.9),
        }
    }

    /// Distance between the quartiles.
    fn spread(&self) -> f32 {
        self.p75 - self.p25
    }
}
