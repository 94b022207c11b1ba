//! What a run shows: outcomes, starts and slots by team and time.

use std::collections::BTreeMap;

use oriolewall::id::JobId;

use crate::history::{Entry, Kind};

/// One run of a task, from start to end.
#[derive(Clone, Debug)]
pub struct Span {
    /// Its team.
    pub team: String,
    /// Its zone.
    pub zone: String,
    /// Start, milliseconds.
    pub start_ms: u64,
    /// End, milliseconds.
    pub end_ms: u64,
    /// Whether it ran to its end.
    pub whole: bool,
}

/// Figures drawn from a history.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// All tasks that were started.
    pub spans: Vec<Span>,
    /// Outcome by job.
    pub outcomes: BTreeMap<JobId, String>,
    /// Time from submission to answer, milliseconds, by job.
    pub latencies: BTreeMap<JobId, u64>,
    /// Time from submission to the first start, milliseconds, by job.
    pub waits: BTreeMap<JobId, u64>,
    invoked: BTreeMap<JobId, (u64, String)>,
}

impl Report {
    /// Reads a history in time order.
    pub fn new(history: &[Entry]) -> Report {
        let mut report = Report::default();
        let mut open: BTreeMap<(JobId, u32), Span> = BTreeMap::new();
        for entry in history {
            let Some(job) = entry.job else {
                continue;
            };
            match &entry.kind {
                Kind::Invoke { team, .. } => {
                    report.invoked.insert(job, (entry.at_ms, team.clone()));
                }
                Kind::Answer { outcome, .. } => {
                    let since = report.invoked.get(&job).map_or(0, |(at, _)| *at);
                    report.latencies.entry(job).or_insert(entry.at_ms - since);
                    report.outcomes.entry(job).or_insert_with(|| outcome.clone());
                }
                Kind::Start { team, zone, .. } => {
                    let since = report.invoked.get(&job).map_or(0, |(at, _)| *at);
                    report.waits.entry(job).or_insert(entry.at_ms.saturating_sub(since));
                    let span = Span {
                        team: team.clone(),
                        zone: zone.clone(),
                        start_ms: entry.at_ms,
                        end_ms: entry.at_ms,
                        whole: false,
                    };
                    open.insert((job, entry.attempt), span);
                }
                Kind::End { whole } => {
                    if let Some(mut span) = open.remove(&(job, entry.attempt)) {
                        span.end_ms = entry.at_ms;
                        span.whole = *whole;
                        report.spans.push(span);
                    }
                }
                _ => {}
            }
        }
        report
    }

    /// Jobs submitted.
    pub fn jobs(&self) -> usize {
        self.invoked.len()
    }

    /// Jobs done.
    pub fn done(&self) -> usize {
        self.count("done")
    }

    /// Jobs with an outcome.
    pub fn count(&self, outcome: &str) -> usize {
        self.outcomes.values().filter(|it| *it == outcome).count()
    }

    /// Slot-milliseconds used in a window, by team.
    pub fn used(&self, from_ms: u64, to_ms: u64) -> BTreeMap<String, u64> {
        let mut used = BTreeMap::new();
        for span in &self.spans {
            let overlap = span.end_ms.min(to_ms).saturating_sub(span.start_ms.max(from_ms));
            *used.entry(span.team.clone()).or_default() += overlap;
        }
        used
    }
}
