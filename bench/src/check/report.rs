//! Statistics of a run, computed from its history: outcomes, latencies and slot usage.

use std::collections::BTreeMap;

use oriolewall::id::JobId;

use crate::history::{EventKind, HistoryEvent};

/// A task on a worker, from its start to its end.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// Path of the team that it counted for.
    pub team: String,
    /// Name of the zone of the worker.
    pub zone: String,
    /// Start time, milliseconds on the clock of the history.
    pub start_ms: u64,
    /// End time, milliseconds on the clock of the history.
    pub end_ms: u64,
    /// Whether it ran to completion rather than being stopped or lost.
    pub completed: bool,
}

/// Statistics of a history.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// All tasks that ended, in the order of their ends.
    pub task_runs: Vec<TaskRun>,
    /// First outcome that the caller received, by job.
    pub outcomes: BTreeMap<JobId, String>,
    /// Time from submission to the first outcome, milliseconds, by job.
    pub latencies_ms: BTreeMap<JobId, u64>,
    /// Time from submission to the first start, milliseconds, by job.
    pub wait_times_ms: BTreeMap<JobId, u64>,
    /// Submission time and team, by job.
    submissions: BTreeMap<JobId, (u64, String)>,
}

impl Report {
    /// Computes the statistics of a history in time order.
    pub fn new(history: &[HistoryEvent]) -> Report {
        let mut report = Report::default();
        let mut running: BTreeMap<(JobId, u32), TaskRun> = BTreeMap::new();
        for event in history {
            let Some(job) = event.job else {
                continue;
            };
            match &event.kind {
                EventKind::Invoke { team, .. } => {
                    report.submissions.insert(job, (event.at_ms, team.clone()));
                }
                EventKind::Answer { outcome, .. } => {
                    let submitted_ms = report.submissions.get(&job).map_or(0, |(at, _)| *at);
                    report.latencies_ms.entry(job).or_insert(event.at_ms - submitted_ms);
                    report.outcomes.entry(job).or_insert_with(|| outcome.clone());
                }
                EventKind::Start { team, zone, .. } => {
                    let submitted_ms = report.submissions.get(&job).map_or(0, |(at, _)| *at);
                    report.wait_times_ms.entry(job).or_insert(event.at_ms.saturating_sub(submitted_ms));
                    let run = TaskRun {
                        team: team.clone(),
                        zone: zone.clone(),
                        start_ms: event.at_ms,
                        end_ms: event.at_ms,
                        completed: false,
                    };
                    running.insert((job, event.attempt), run);
                }
                EventKind::End { whole } => {
                    if let Some(mut run) = running.remove(&(job, event.attempt)) {
                        run.end_ms = event.at_ms;
                        run.completed = *whole;
                        report.task_runs.push(run);
                    }
                }
                _ => {}
            }
        }
        report
    }

    /// Number of jobs submitted.
    pub fn submitted_jobs(&self) -> usize {
        self.submissions.len()
    }

    /// Number of jobs that ran and succeeded.
    pub fn done_jobs(&self) -> usize {
        self.jobs_with_outcome("done")
    }

    /// Number of jobs with the given outcome, as named in [`EventKind::Answer`].
    pub fn jobs_with_outcome(&self, outcome: &str) -> usize {
        self.outcomes.values().filter(|it| *it == outcome).count()
    }

    /// Slot-milliseconds used between two times, by team. Tasks that did not end are left out.
    pub fn slot_ms_by_team(&self, from_ms: u64, to_ms: u64) -> BTreeMap<String, u64> {
        let mut used = BTreeMap::new();
        for run in &self.task_runs {
            let overlap = run.end_ms.min(to_ms).saturating_sub(run.start_ms.max(from_ms));
            *used.entry(run.team.clone()).or_default() += overlap;
        }
        used
    }
}
