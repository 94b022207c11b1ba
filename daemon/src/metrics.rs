//! Prometheus metrics of an entry instance.
//!
//! They are updated when a client reads `/metrics`, except `oriole_offset`, which is set when the
//! instance publishes a changed state.

use std::time::Duration;

use oriolewall::entry::Counters;
use prometheus::{Encoder, IntGauge, Registry, TextEncoder};

/// Gauges that are set from the counters of the state machine.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    pub(crate) offset: IntGauge,
    accepted: IntGauge,
    started: IntGauge,
    done: IntGauge,
    not_run: IntGauge,
    unknown: IntGauge,
    discarded_answers: IntGauge,
    appends: IntGauge,
    queued: IntGauge,
    running: IntGauge,
    view_age_ms: IntGauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates the gauges in a new registry.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("metric names are valid");
            registry.register(Box::new(gauge.clone())).expect("metric names differ");
            gauge
        };
        Metrics {
            offset: gauge("oriole_offset", "Next offset of the replica"),
            accepted: gauge("oriole_jobs_accepted", "Jobs accepted since start"),
            started: gauge("oriole_tasks_started", "Tasks handed to workers since start"),
            done: gauge("oriole_jobs_done", "Jobs done since start"),
            not_run: gauge("oriole_jobs_not_run", "Jobs not run since start"),
            unknown: gauge("oriole_jobs_unknown", "Jobs of unknown fate since start"),
            discarded_answers: gauge("oriole_answers_stray", "Late, crossed or cut answers dropped since start"),
            appends: gauge("oriole_log_appends", "Appends to the log since start"),
            queued: gauge("oriole_jobs_queued", "Jobs queued"),
            running: gauge("oriole_tasks_running", "Tasks running"),
            view_age_ms: gauge("oriole_view_age_milliseconds", "Age of what was seen of the log; -1 if never"),
            registry,
        }
    }

    /// Sets all gauges except `offset`.
    ///
    /// `view_age` is the age of the view of the log, `None` before the first complete read.
    pub fn update(&self, counters: Counters, queued: usize, running: usize, view_age: Option<Duration>) {
        self.accepted.set(counters.accepted as i64);
        self.started.set(counters.started as i64);
        self.done.set(counters.done as i64);
        self.not_run.set(counters.not_run as i64);
        self.unknown.set(counters.unknown as i64);
        self.discarded_answers.set(counters.discarded_answers as i64);
        self.appends.set(counters.appends as i64);
        self.queued.set(queued as i64);
        self.running.set(running as i64);
        self.view_age_ms.set(view_age.map_or(-1, |it| it.as_millis() as i64));
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        if encoded.is_err() {
            return String::new();
        }
        String::from_utf8(buffer).unwrap_or_default()
    }
}
