//! Observes what tasks cost beside others on their worker, from the worker's statuses, and
//! compares images for placement.

use smallvec::SmallVec;

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::interference::{Image, Kind, Observation};
use crate::learning::{MAX_END_DELAY_MS, class_of};
use crate::order::{ActiveRun, RunOutcome, WorkerStatus};
use crate::scheduler::Scheduler;
use crate::worker::{ProgressReport, Run, RunKey, RunPhase, Worker};

/// Minimum time between two observations of a run, milliseconds. Response times cover the last
/// half second.
const MIN_INTERVAL_MS: u64 = 500;
/// Least part of a run for an observation. Progress is reported in whole percent, so this is off
/// by at most a twentieth at the usual speed.
const MIN_PART: f64 = 0.2;

/// Longest run that is observed as a whole, milliseconds. The neighbors of a longer one change, and
/// its progress is observed several times.
const MAX_WHOLE_MS: u64 = 2000;

impl Scheduler {
    /// Observes the runs of a worker's status, which has not been applied yet.
    pub(crate) fn observe_neighbors(&mut self, now: Now, id: &InstanceId, status: &WorkerStatus) {
        if self.learned.is_disabled || status.has_unreadable_rows {
            return;
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut observed: Vec<(Image, Kind, Observation)> = Vec::new();
        let mut observed_until: Vec<(RunKey, ProgressReport)> = Vec::new();
        let mut slowdowns: Vec<(RunKey, f64)> = Vec::new();
        for active in &status.active {
            let Some(run) = worker
                .runs
                .get(&active.key)
                .filter(|it| it.phase == RunPhase::Active && !it.image.is_empty())
            else {
                continue;
            };
            let reported = ProgressReport {
                clock_ms: status.clock_ms,
                percent: active.percent,
            };
            let Some(since) = run.observed_until else {
                observed_until.push((active.key.clone(), reported));
                continue;
            };
            let Some((kind, cost)) = self.cost_of(active, since, status.clock_ms) else {
                continue;
            };
            let observation = observation(worker, &active.key, cost, since.clock_ms);
            slowdowns.push((active.key.clone(), self.slowdown_beside(&run.image, &observation.neighbors)));
            observed.push((run.image.clone(), kind, observation));
            observed_until.push((active.key.clone(), reported));
        }
        let is_new = |sequence: u64| worker.last_end_seen < sequence;
        for end in status
            .ended
            .iter()
            .filter(|it| it.outcome == RunOutcome::Done && is_new(it.sequence))
        {
            let Some(run) = worker.runs.get(&end.key).filter(|it| !it.image.is_empty()) else {
                continue;
            };
            let Some(cost) = self.cost_of_whole(&end.key, run, status.clock_ms) else {
                continue;
            };
            // A neighbor that came in the first quarter counts as there all the time.
            let mostly_since = run.started_ms + status.clock_ms.saturating_sub(run.started_ms) / 4;
            let observation = observation(worker, &end.key, cost, mostly_since);
            slowdowns.push((end.key.clone(), self.slowdown_beside(&run.image, &observation.neighbors)));
            if status.clock_ms <= run.started_ms + MAX_WHOLE_MS {
                observed.push((run.image.clone(), Kind::Work, observation));
            }
        }
        for (image, kind, observation) in observed {
            self.learned.interference.record(now.mono, &image, kind, observation);
        }
        let worker = self.workers.get_mut(id).expect("looked up above");
        for (key, progress) in observed_until {
            worker.runs.entry(key).and_modify(|it| it.observed_until = Some(progress));
        }
        for (key, slowdown) in slowdowns {
            worker.runs.entry(key).and_modify(|it| it.neighbor_slowdown = slowdown);
        }
        for change in self.learned.interference.evaluate(now.mono) {
            self.log_decision(match change.effect {
                Some(effect) => Decision::Interferes {
                    image: change.image,
                    neighbor: change.neighbor,
                    percent: (effect.slowdown * 100.0) as u32,
                    workers: effect.workers,
                    spread_percent: (effect.spread * 100.0) as u32,
                },
                None => Decision::InterferenceOver {
                    image: change.image,
                    neighbor: change.neighbor,
                },
            });
        }
    }

    /// Returns what a run in progress has cost since an earlier report; `None` if that is not known
    /// or too little time has passed.
    fn cost_of(&self, active: &ActiveRun, since: ProgressReport, clock_ms: u64) -> Option<(Kind, f64)> {
        let elapsed_ms = clock_ms.checked_sub(since.clock_ms).filter(|it| MIN_INTERVAL_MS <= *it)?;
        let record = &self.jobs.get(&active.key.task.job)?.record;
        let step = record.find_step(active.key.task.step)?;
        if step.lasting {
            return Some((Kind::Serving, active.measurement.filter(|it| 0 < *it)? as f64));
        }
        // Best-effort tasks are throttled, and members of a gang wait for each other.
        if step.fill || step.gang {
            return None;
        }
        let class = class_of(record, active.key.task.step);
        let expected_ms = self.learned.run_times.estimate(&class, step.estimate_ms)?.p50_ms as f64;
        let part = f64::from(active.percent.checked_sub(since.percent)?) / 100.0;
        if (elapsed_ms as f64) < MIN_PART * expected_ms || part == 0.0 {
            return None;
        }
        Some((Kind::Work, elapsed_ms as f64 / expected_ms / part))
    }

    /// Returns what a run cost that has just ended; `None` if that is not known.
    fn cost_of_whole(&self, key: &RunKey, run: &Run, clock_ms: u64) -> Option<f64> {
        let is_recent = clock_ms.saturating_sub(run.last_seen_ms) <= MAX_END_DELAY_MS;
        let elapsed_ms = clock_ms.checked_sub(run.started_ms).filter(|_| run.started_ms != 0 && is_recent)?;
        let record = &self.jobs.get(&key.task.job)?.record;
        let step = record.find_step(key.task.step).filter(|it| !it.lasting && !it.fill && !it.gang)?;
        let expected = self
            .learned
            .run_times
            .estimate(&class_of(record, key.task.step), step.estimate_ms)?;
        Some(elapsed_ms.max(1) as f64 / expected.p50_ms as f64)
    }

    /// Returns how many times as much a task of an image costs beside others, as far as is known.
    fn slowdown_beside(&self, image: &Image, neighbors: &[Image]) -> f64 {
        let interference = &self.learned.interference;
        match interference.is_empty() {
            true => 1.0,
            false => neighbors.iter().map(|it| interference.slowdown(image, it)).fold(1.0, f64::max),
        }
    }

    /// Whether no task on a worker is known to slow down tasks of an image or to be slowed down by
    /// them.
    pub(crate) fn is_apart(&self, worker: &Worker, image: &Image) -> bool {
        let interference = &self.learned.interference;
        let interferes = |other: &Image| 1.0 < interference.slowdown(image, other).max(interference.slowdown(other, image));
        let mut images: SmallVec<[&Image; 8]> = SmallVec::new();
        for run in worker.runs.values().filter(|it| !it.image.is_empty()) {
            if !images.contains(&&run.image) {
                images.push(&run.image);
            }
        }
        !images.into_iter().any(interferes)
    }
}

/// Returns an observation of a run on a worker over the time since `since_ms` on the worker's
/// clock.
fn observation(worker: &Worker, key: &RunKey, cost: f64, since_ms: u64) -> Observation {
    let mut neighbors: SmallVec<[Image; 4]> = SmallVec::new();
    let mut passing: SmallVec<[Image; 4]> = SmallVec::new();
    for (other, run) in &worker.runs {
        let is_there = matches!(run.phase, RunPhase::Active | RunPhase::Stopping);
        if other == key || run.image.is_empty() || !is_there {
            continue;
        }
        let list = if run.started_ms <= since_ms { &mut neighbors } else { &mut passing };
        if !list.contains(&run.image) {
            list.push(run.image.clone());
        }
    }
    passing.retain(|it| !neighbors.contains(it));
    Observation {
        worker: worker.listed.id.clone(),
        rack: worker.listed.rack.clone(),
        cost,
        neighbors,
        passing,
    }
}
