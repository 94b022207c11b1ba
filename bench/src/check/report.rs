//! What a run shows: outcomes, starts and slots by team and time.

use std::collections::BTreeMap;

use oriolewall::id::JobId;

use crate::history::{EventKind, HistoryEvent};

/// One run of a task, from start to end.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// Its team.
    pub team: String,
    /// Its zone.
    pub zone: String,
    /// Start, milliseconds.
    pub start_ms: u64,
    /// End, milliseconds.
    pub end_ms: u64,
    /// Whether it ran to its end.
    pub completed: bool,
}

/// Figures drawn from a history.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// All tasks that were started.
    pub task_runs: Vec<TaskRun>,
    /// Outcome by job.
    pub outcomes: BTreeMap<JobId, String>,
    /// Time from submission to answer, milliseconds, by job.
    pub latencies_ms: BTreeMap<JobId, u64>,
    /// Time from submission to the first start, milliseconds, by job.
    pub wait_times_ms: BTreeMap<JobId, u64>,
    invoked: BTreeMap<JobId, (u64, String)>,
}

impl Report {
    /// Reads a history in time order.
    pub fn new(history: &[HistoryEvent]) -> Report {
        let mut report = Report::default();
        let mut open: BTreeMap<(JobId, u32), TaskRun> = BTreeMap::new();
        for entry in history {
            let Some(job) = entry.job else {
                continue;
            };
            match &entry.kind {
                EventKind::Invoke { team, .. } => {
                    report.invoked.insert(job, (entry.at_ms, team.clone()));
                }
                EventKind::Answer { outcome, .. } => {
                    let since = report.invoked.get(&job).map_or(0, |(at, _)| *at);
                    report.latencies_ms.entry(job).or_insert(entry.at_ms - since);
                    report.outcomes.entry(job).or_insert_with(|| outcome.clone());
                }
                EventKind::Start { team, zone, .. } => {
                    let since = report.invoked.get(&job).map_or(0, |(at, _)| *at);
                    report.wait_times_ms.entry(job).or_insert(entry.at_ms.saturating_sub(since));
                    let span = TaskRun {
                        team: team.clone(),
                        zone: zone.clone(),
                        start_ms: entry.at_ms,
                        end_ms: entry.at_ms,
                        completed: false,
                    };
                    open.insert((job, entry.attempt), span);
                }
                EventKind::End { whole } => {
                    if let Some(mut span) = open.remove(&(job, entry.attempt)) {
                        span.end_ms = entry.at_ms;
                        span.completed = *whole;
                        report.task_runs.push(span);
                    }
                }
                _ => {}
            }
        }
        report
    }

    /// Jobs submitted.
    pub fn submitted_jobs(&self) -> usize {
        self.invoked.len()
    }

    /// Jobs done.
    pub fn done_jobs(&self) -> usize {
        self.jobs_with_outcome("done")
    }

    /// Jobs with an outcome.
    pub fn jobs_with_outcome(&self, outcome: &str) -> usize {
        self.outcomes.values().filter(|it| *it == outcome).count()
    }

    /// Slot-milliseconds used in a window, by team.
    pub fn slot_ms_by_team(&self, from_ms: u64, to_ms: u64) -> BTreeMap<String, u64> {
        let mut used = BTreeMap::new();
        for span in &self.task_runs {
            let overlap = span.end_ms.min(to_ms).saturating_sub(span.start_ms.max(from_ms));
            *used.entry(span.team.clone()).or_default() += overlap;
        }
        used
    }
}
