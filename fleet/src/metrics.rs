//! Prometheus metrics of an entry instance.

use std::time::Duration;

use hyper::StatusCode;
use oriole_daemon::connection_pool::ConnectionPool;
use oriolewall::client_budget::Listener;
use prometheus::{Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};

use crate::node::Node;
use crate::server::{self, HttpResponse};

/// Upper bounds of the latency buckets in seconds, from the 3 ms of an append to
/// the 3 s default deadline of a caller.
const LATENCY_BUCKETS: &[f64] = &[0.003, 0.006, 0.012, 0.025, 0.05, 0.1, 0.25, 0.6, 1.5, 3.0];

/// Upper bounds of the buckets for the number of requests in one append.
const BATCH_BUCKETS: &[f64] = &[1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0];

/// Metrics of one process. The gauges are set from the node's state when the metrics
/// are served.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Callers' requests by call and HTTP status.
    pub(crate) requests: IntCounterVec,
    /// Time from a submission to the response that accepts the job.
    pub(crate) accept_seconds: Histogram,
    /// Time of an owner's commit to the log, including retries.
    pub(crate) commit_seconds: Histogram,
    /// Time of an append of callers' requests.
    pub(crate) append_seconds: Histogram,
    /// Number of requests in one append, or in one call to an appender.
    pub(crate) append_records: Histogram,
    /// Appends of callers' requests that the log refused.
    pub(crate) append_refusals: IntCounter,
    /// Calls to the log with an overdue answer, by whether they were sent again.
    pub(crate) log_resends: IntCounterVec,
    /// Reads that waited for records and whose connection fell silent, by what was read and whether
    /// another read was answered.
    pub(crate) silent_reads: IntCounterVec,
    /// Times that an owner held all starts, as a cancel could be unknown.
    pub(crate) starts_held: IntCounter,
    /// Time of an owner's takeover, from before it sets the epoch until its scheduler is
    /// restored.
    pub(crate) takeover_seconds: Histogram,
    /// Orders to workers by order and answer.
    pub(crate) orders: IntCounterVec,
    /// Questions to owners of other pools whether a job is new, by answer.
    pub(crate) inquiries: IntCounterVec,
    /// Ended runs by outcome.
    pub(crate) run_ends: IntCounterVec,
    /// Placements on another worker than the first with room, by what was learned of that one.
    pub(crate) preferences: IntCounterVec,
    /// Runs that workers list and the owner did not expect there.
    pub(crate) unexpected_runs: IntCounter,
    /// Records of the log that an owner could not use.
    pub(crate) records_skipped: IntCounter,
    /// Restarts of workers under their name.
    pub(crate) worker_restarts: IntCounter,
    /// Turns to use a team's cap that have ended, by outcome.
    pub(crate) cap_turns: IntCounterVec,
    /// Number of teams of which an owner waits for its part of the cap, on the coordinator.
    pub(crate) cap_short_teams: IntGauge,
    /// Longest time for which such an owner has waited, milliseconds.
    pub(crate) cap_longest_wait_ms: IntGauge,
    /// Times that an owner was found to be overloaded and lowered its limit on starts.
    pub(crate) overloads: IntCounter,
    /// Events of the forecast of demand peaks, by kind.
    pub(crate) peak_forecasts: IntCounterVec,
    /// Records of demand patterns by outcome: `read`, `ignored`, `written`, `failed`.
    pub(crate) peak_records: IntCounterVec,
    /// Size of the records of demand patterns that were sent, bytes.
    pub(crate) peak_record_bytes: IntCounter,
    /// Failed calls to the log service.
    pub(crate) log_errors: IntCounter,
    /// Number of partitions that this instance owns.
    pub(crate) owned_partitions: IntGauge,
    /// Connections of clients that were closed, and their requests that were refused, by listener
    /// and reason.
    pub(crate) clients_closed: IntCounterVec,
    clients_open: IntGaugeVec,
    client_bytes: IntGauge,
    connections_opened: IntGauge,
    calls_unanswered: IntGauge,
    config_version: IntGauge,
    open_requests: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let counter_vec = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are valid");
            registry.register(Box::new(metric.clone())).expect("metric names differ");
            metric
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let metric = Histogram::with_opts(options).expect("metric names are valid");
            registry.register(Box::new(metric.clone())).expect("metric names differ");
            metric
        };
        let record_counts = HistogramOpts::new("oriole_append_records", "Requests in one append").buckets(BATCH_BUCKETS.to_vec());
        let append_records = Histogram::with_opts(record_counts).expect("metric names are valid");
        registry.register(Box::new(append_records.clone())).expect("metric names differ");
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("metric names are valid");
            registry.register(Box::new(metric.clone())).expect("metric names differ");
            metric
        };
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help).expect("metric names are valid");
            registry.register(Box::new(metric.clone())).expect("metric names differ");
            metric
        };
        let clients_open = Opts::new("oriole_clients_open", "Open connections of clients");
        let clients_open = IntGaugeVec::new(clients_open, &["listener"]).expect("metric names are valid");
        registry.register(Box::new(clients_open.clone())).expect("metric names differ");
        Metrics {
            clients_closed: counter_vec(
                "oriole_clients_closed_total",
                "Closed connections and refused requests of clients",
                &["listener", "reason"],
            ),
            clients_open,
            client_bytes: gauge("oriole_client_memory_bytes", "Memory that clients' requests hold"),
            requests: counter_vec("oriole_requests_total", "Callers' requests", &["call", "status"]),
            accept_seconds: histogram("oriole_accept_seconds", "Time to accept a job"),
            commit_seconds: histogram("oriole_commit_seconds", "Time of an owner's commit"),
            append_seconds: histogram("oriole_append_seconds", "Time of an append of requests"),
            append_records,
            append_refusals: counter("oriole_append_refusals_total", "Appends of requests that the log refused"),
            log_resends: counter_vec("oriole_log_resends_total", "Overdue calls to the log", &["outcome"]),
            silent_reads: counter_vec(
                "oriole_log_silent_reads_total",
                "Reads that waited for records without an answer",
                &["call", "outcome"],
            ),
            starts_held: counter(
                "oriole_starts_held_total",
                "Times an owner held all starts as a cancel could be unknown",
            ),
            takeover_seconds: histogram("oriole_takeover_seconds", "Time of a takeover"),
            orders: counter_vec("oriole_orders_total", "Orders to workers", &["order", "answer"]),
            inquiries: counter_vec(
                "oriole_inquiries_total",
                "Questions to owners of other pools whether a job is new",
                &["answer"],
            ),
            run_ends: counter_vec("oriole_run_ends_total", "Ends of runs", &["how"]),
            preferences: counter_vec(
                "oriole_placement_preferences_total",
                "Placements that something learned has changed",
                &["why"],
            ),
            unexpected_runs: counter(
                "oriole_unexpected_runs_total",
                "Runs that workers list and the owner did not expect",
            ),
            records_skipped: counter("oriole_records_skipped_total", "Records of the log that an owner could not use"),
            worker_restarts: counter("oriole_worker_restarts_total", "Restarts of workers"),
            cap_turns: counter_vec("oriole_cap_turns_total", "Ended turns to use a team's cap", &["outcome"]),
            cap_short_teams: gauge("oriole_cap_short_teams", "Teams of which an owner waits for its part of the cap"),
            cap_longest_wait_ms: gauge(
                "oriole_cap_longest_wait_ms",
                "Longest wait for a part of a team's cap, milliseconds",
            ),
            overloads: counter("oriole_owner_overloads_total", "Times an owner lowered its limit on starts"),
            peak_forecasts: counter_vec("oriole_peak_forecasts_total", "Events of the forecast of demand peaks", &["kind"]),
            peak_records: counter_vec("oriole_peak_records_total", "Records of demand patterns", &["outcome"]),
            peak_record_bytes: counter(
                "oriole_peak_record_bytes_total",
                "Size of the records of demand patterns that were sent",
            ),
            log_errors: counter("oriole_log_errors_total", "Failed calls to the log"),
            owned_partitions: gauge("oriole_partitions_owned", "Partitions owned"),
            connections_opened: gauge("oriole_connections_opened", "Connections opened since start"),
            calls_unanswered: gauge("oriole_calls_unanswered", "Calls since start that were not answered in time"),
            config_version: gauge("oriole_config_version", "Version of the configuration in force"),
            open_requests: gauge("oriole_requests_open", "Callers' requests being served"),
            registry,
        }
    }

    /// Counts an answered caller request, and records the elapsed time of accepted
    /// submissions.
    pub(crate) fn record_request(&self, call: &str, status: StatusCode, elapsed: Duration) {
        self.requests.with_label_values(&[call, status.as_str()]).inc();
        if call == "submit" && status == StatusCode::OK {
            self.accept_seconds.observe(elapsed.as_secs_f64());
        }
    }
}

/// Responds with all metrics in the Prometheus text format.
pub(crate) fn handle_request(node: &Node) -> HttpResponse {
    let metrics = &node.metrics;
    metrics.connections_opened.set(ConnectionPool::total_opened() as i64);
    metrics.calls_unanswered.set(ConnectionPool::total_unanswered() as i64);
    metrics.config_version.set(node.catalog().version as i64);
    metrics.open_requests.set(node.open_requests() as i64);
    metrics.owned_partitions.set(node.lock_owned_partitions().len() as i64);
    metrics.client_bytes.set(node.clients.used_bytes() as i64);
    for listener in Listener::ALL {
        let gauge = metrics.clients_open.with_label_values(&[listener.name()]);
        gauge.set(node.clients.open(listener) as i64);
    }
    let mut buffer = Vec::new();
    match TextEncoder::new().encode(&metrics.registry.gather(), &mut buffer) {
        Ok(()) => server::text_response(StatusCode::OK, &String::from_utf8_lossy(&buffer)),
        Err(err) => server::text_response(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}
