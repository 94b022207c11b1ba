//! Speed of a worker relative to similar ones, and whether its tasks make progress at all.
//!
//! Load pattern: workers become slow or hang while their health is reported as good. A slow one
//! that gets as much work as the others makes every job late that has a task there, and one that
//! hangs holds each task until it is found to make no progress and runs again elsewhere.

use std::collections::VecDeque;
use std::time::Duration;

/// Most runs of a worker that are kept.
const MAX_SAMPLES: usize = 16;
/// Least number of runs from which a worker is judged. At the quantile of [`lower_bound`], all of
/// six runs must be slow, which a worker of usual speed reaches in one case in 4,000 if a quarter
/// of its runs take that long.
const MIN_SAMPLES: usize = 6;
/// Least number of similar workers that a worker is compared with.
const MIN_PEERS: usize = 3;
/// Time for which a completed run counts. Long tasks complete a few times a minute on a worker.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(60);
/// Time after the latest run that was slow until the worker gets work as others do. A slow worker
/// gets none while others have room, so only this shows whether it still is.
const RETRY_TIME: Duration = Duration::from_secs(10);
/// Minimum time between two judgements of a worker.
const JUDGE_INTERVAL: Duration = Duration::from_millis(500);
/// Smallest slowdown that is of consequence. The usual estimates are off by a fifth.
pub const MIN_SLOWDOWN: f64 = 1.25;
/// Slowdown from which a worker is slow for any task.
pub const MAX_SLOWDOWN: f64 = 2.0;
/// Time without work after the tasks of a worker were first found to make no progress, and the
/// longest such time. It doubles with each attempt, and bounds how long a task waits that no other
/// worker can run.
const PAUSE: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(16));

/// Speed of a worker, judged by its run times as multiples of the expected ones.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    samples: VecDeque<(Duration, f64)>,
    judged_at: Duration,
    median: Option<f64>,
    /// Lower bound of the slowdown, and until when it holds; `None` if the worker is not slow.
    slowdown: Option<(f64, Duration)>,
}

impl Speed {
    /// Adds a completed run that took `ratio` times the expected time.
    pub fn record(&mut self, now: Duration, ratio: f64) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, ratio));
    }

    /// Whether the worker should be judged again.
    pub fn is_judgement_due(&self, now: Duration) -> bool {
        self.judged_at + JUDGE_INTERVAL <= now
    }

    /// Judges the worker by its latest runs and by those in progress, which will take at least
    /// `running` times the expected time. `usual` is the median ratio of similar workers; `None`
    /// if there are too few of them. Returns the slowdown if the worker was not known to be slow.
    pub fn judge(&mut self, now: Duration, running: Vec<f64>, usual: Option<f64>) -> Option<f64> {
        let was_slow = self.slowdown(now).is_some();
        self.judged_at = now;
        self.samples.retain(|(at, _)| now < *at + SAMPLE_LIFETIME);
        let mut completed: Vec<f64> = self.samples.iter().map(|(_, ratio)| *ratio).collect();
        completed.sort_by(f64::total_cmp);
        self.median = (MIN_SAMPLES <= completed.len()).then(|| completed[completed.len() / 2]);
        let newest = self.samples.back().map_or(Duration::ZERO, |(at, _)| *at);
        // Runs that completed before the worker became slow must not hide that those in progress are.
        let evidence = match MIN_SAMPLES <= completed.len().max(running.len()) {
            true => vec![(completed, newest), (running, now)],
            false => vec![([completed, running].concat(), now)],
        };
        let slowdowns = evidence.into_iter().filter_map(|(ratios, at)| {
            let slowdown = lower_bound(ratios)? / usual?;
            let until = at + RETRY_TIME;
            (MIN_SLOWDOWN <= slowdown && now < until).then_some((slowdown, until))
        });
        self.slowdown = slowdowns.max_by(|a, b| a.0.total_cmp(&b.0));
        self.slowdown.map(|(it, _)| it).filter(|_| !was_slow)
    }

    /// Median ratio of the worker's runs; `None` if there are too few.
    pub fn median(&self) -> Option<f64> {
        self.median
    }

    /// Returns how many times as long tasks take on the worker as on similar ones, with
    /// confidence; `None` if it is not known to be slow.
    pub fn slowdown(&self, now: Duration) -> Option<f64> {
        self.slowdown.filter(|(_, until)| now < *until).map(|(it, _)| it)
    }
}

/// Returns the median of the ratios of similar workers; `None` if there are too few to compare
/// with.
pub fn usual_ratio(mut medians: Vec<f64>) -> Option<f64> {
    medians.sort_by(f64::total_cmp);
    (MIN_PEERS <= medians.len()).then(|| medians[(medians.len() - 1) / 2])
}

/// Returns the slowdown from which a worker is slow for the tasks of a job: one that uses up half
/// of the slack that the objective leaves beyond the critical path. The rest is for waiting.
pub fn slow_limit(objective_ms: u64, critical_path_ms: u64) -> f64 {
    let slack = objective_ms as f64 / critical_path_ms.max(1) as f64 - 1.0;
    (1.0 + slack / 2.0).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)
}

/// Lower bound of the median by the sign test, with a confidence of 97%; `None` if there are too
/// few values.
fn lower_bound(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let count = values.len() as f64;
    (MIN_SAMPLES <= values.len()).then(|| values[(count / 2.0 - count.sqrt()).max(0.0) as usize])
}

/// Whether the tasks of a worker make progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    last_at: Duration,
    /// When the worker may get a task again, and the length of the pause; `None` if its tasks make
    /// progress.
    paused: Option<(Duration, Duration)>,
}

impl Progress {
    /// Records that a task made progress or completed.
    pub fn advanced(&mut self, now: Duration) {
        self.last_at = now;
        self.paused = None;
    }

    /// Records that a task has made no progress for `timeout`. Unless another task has made some
    /// within that time, the worker gets no work for a while. Returns whether that is so.
    pub fn stalled(&mut self, now: Duration, timeout: Duration) -> bool {
        if now < self.last_at + timeout {
            return false;
        }
        let pause = match self.paused {
            Some((until, _)) if now < until => return false,
            Some((_, pause)) => (2 * pause).min(PAUSE.1),
            None => PAUSE.0,
        };
        self.paused = Some((now + pause, pause));
        true
    }

    /// When a worker whose tasks made no progress may get a task again; `None` for any other one.
    pub fn retry_at(&self) -> Option<Duration> {
        self.paused.map(|(until, _)| until)
    }
}
