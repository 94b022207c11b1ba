//! What the owner of a pool learns from starts, progress and ends of runs: run times of similar
//! tasks and the speed of workers.
//!
//! All of it is lost with the owner; a new one plans by the submitted run times until enough runs
//! have completed.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::{InstanceId, PoolId};
use crate::interference::Interference;
use crate::job_record::JobRecord;
use crate::order::{RunEnd, RunOutcome};
use crate::resources::Resources;
use crate::run_time::{Class, RunTimes};
use crate::scheduler::Scheduler;
use crate::spec::Step;
use crate::worker::{ListedWorker, Run, RunKey, RunPhase};
use crate::worker_speed;

/// Minimum time between two comparisons of all workers.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between the last report of a run and that of its end with which the run counts:
/// twice the time for which a worker delays its answer to a status request.
pub(crate) const MAX_END_DELAY_MS: u64 = 3000;
/// Least progress from which the duration of a run is extrapolated, percent. Progress is reported
/// in whole percent, so the result is off by at most a tenth.
const MIN_PROGRESS: u32 = 10;

/// Workers that are similar: of one pool, with the same resources.
type Group = (PoolId, [u64; 3]);

/// What an owner has learned.
#[derive(Debug, Default)]
pub(crate) struct Learned {
    pub(crate) run_times: RunTimes,
    pub(crate) interference: Interference,
    /// Median of the workers' run times, as multiples of the expected ones, by group.
    usual_ratios: HashMap<Group, f64>,
    compared_at: Duration,
    /// Whether nothing is learned, so that tasks are placed by the submitted run times alone.
    pub(crate) is_disabled: bool,
}

impl Scheduler {
    /// Returns the expected run time of a task, milliseconds: the learned one, or the submitted one
    /// while too few runs of similar tasks have completed.
    pub(crate) fn expected_ms(&self, record: &JobRecord, step: usize) -> u64 {
        let submitted_ms = record.spec().steps[step].estimate_ms;
        if self.learned.run_times.class_count() == 0 {
            return submitted_ms;
        }
        let estimate = self.learned.run_times.estimate(&class_of(record, step as u16), submitted_ms);
        estimate.map_or(submitted_ms, |it| it.p50_ms)
    }

    /// Records the time on the worker's clock at which a run started. A run that resumes from a
    /// checkpoint says nothing about the run time of the whole task.
    pub(crate) fn record_start(&mut self, id: &InstanceId, key: &RunKey, clock_ms: u64) {
        let Some(record) = self.jobs.get(&key.task.job).map(|it| &it.record) else {
            return;
        };
        let is_whole = record.position(&key.task).is_some_and(|it| record.tasks[it].checkpoint.is_empty());
        let run = self.workers.get_mut(id).and_then(|it| it.runs.get_mut(key));
        if let Some(run) = run.filter(|_| is_whole) {
            run.started_ms = clock_ms;
        }
    }

    /// Learns from a run that has ended and that was removed from its worker.
    pub(crate) fn learn_run_end(&mut self, now: Now, id: &InstanceId, end: &RunEnd, run: &Run) {
        let Some(worker) = self
            .workers
            .get_mut(id)
            .filter(|_| end.outcome == RunOutcome::Done && !self.learned.is_disabled)
        else {
            return;
        };
        worker.progress.advanced(now.mono);
        let Some(clock_ms) = worker.clock_ms(now.mono) else {
            return;
        };
        let is_recent = clock_ms.saturating_sub(run.last_seen_ms) <= MAX_END_DELAY_MS;
        if run.started_ms == 0 || clock_ms < run.started_ms || !is_recent {
            return;
        }
        let Some(record) = self.jobs.get(&end.key.task.job).map(|it| &it.record) else {
            return;
        };
        let Some(step) = record.find_step(end.key.task.step).filter(|it| is_learned_from(it)) else {
            return;
        };
        let elapsed_ms = clock_ms - run.started_ms;
        let class = class_of(record, end.key.task.step);
        let expected = self.learned.run_times.estimate(&class, step.estimate_ms);
        // The members of a gang wait for the slowest of them. A known slowdown by neighbors is not
        // the worker's.
        if let Some(expected) = expected.filter(|_| !step.gang) {
            worker
                .speed
                .record(now.mono, elapsed_ms as f64 / expected.p50_ms as f64 / run.neighbor_slowdown);
        }
        self.learned.run_times.record(class, step.estimate_ms, elapsed_ms);
    }

    /// Judges the speed of a worker that has reported its runs.
    pub(crate) fn judge_speed(&mut self, now: Now, id: &InstanceId) {
        if self.learned.run_times.class_count() == 0 {
            return;
        }
        self.compare_workers(now);
        let Some(worker) = self.workers.get(id).filter(|it| it.speed.is_judgement_due(now.mono)) else {
            return;
        };
        let clock_ms = worker.clock_ms(now.mono).unwrap_or(0);
        let active = worker.runs.iter().filter(|(_, run)| run.phase == RunPhase::Active);
        let running: Vec<f64> = active.filter_map(|(key, run)| self.least_ratio(key, run, clock_ms)).collect();
        let usual = self.learned.usual_ratios.get(&group_of(&worker.listed)).copied();
        let worker = self.workers.get_mut(id).expect("looked up above");
        if let Some(slowdown) = worker.speed.judge(now.mono, running, usual) {
            self.log_decision(Decision::Slow {
                worker: id.clone(),
                percent: (slowdown * 100.0) as u32,
            });
        }
    }

    /// Returns the least time that a run in progress will take, as a multiple of the expected one;
    /// `None` if that is not known.
    fn least_ratio(&self, key: &RunKey, run: &Run, clock_ms: u64) -> Option<f64> {
        let elapsed_ms = clock_ms.checked_sub(run.started_ms).filter(|_| run.started_ms != 0)?;
        let record = &self.jobs.get(&key.task.job)?.record;
        let step = record.find_step(key.task.step).filter(|it| is_learned_from(it) && !it.gang)?;
        let expected = self
            .learned
            .run_times
            .estimate(&class_of(record, key.task.step), step.estimate_ms)?;
        let ratio = |ms: f64| ms / expected.p50_ms as f64 / run.neighbor_slowdown;
        match run.progress_percent {
            percent @ MIN_PROGRESS..100 => Some(ratio(elapsed_ms as f64 * 100.0 / f64::from(percent + 1))),
            _ => Some(ratio(elapsed_ms as f64)),
        }
    }

    /// Computes the usual ratios of similar workers anew if that is due.
    fn compare_workers(&mut self, now: Now) {
        if now.mono < self.learned.compared_at + COMPARE_INTERVAL {
            return;
        }
        self.learned.compared_at = now.mono;
        let mut medians: HashMap<Group, Vec<f64>> = HashMap::new();
        for worker in self.workers.values().filter(|it| it.is_listed) {
            if let Some(median) = worker.speed.median() {
                medians.entry(group_of(&worker.listed)).or_default().push(median);
            }
        }
        let usual = medians
            .into_iter()
            .filter_map(|(group, it)| Some((group, worker_speed::usual_ratio(it)?)));
        self.learned.usual_ratios = usual.collect();
    }
}

/// Whether run times of a step's tasks are learned: they end on their own and run at full speed.
fn is_learned_from(step: &Step) -> bool {
    !step.lasting && !step.fill
}

/// Returns the class of the tasks of a step, which must exist.
pub(crate) fn class_of(record: &JobRecord, step: u16) -> Class {
    Class {
        queue: record.submission.queue.clone(),
        step,
        image: record.step(step).image.clone(),
    }
}

fn group_of(listed: &ListedWorker) -> Group {
    let Resources { cpu, mem, gpu } = listed.capacity;
    (listed.pool.clone(), [cpu, mem, gpu])
}
