//! Demand peaks of pools, for the fleet coordinator: takes the reports of owners, raises the demand
//! that is planned for, and keeps what was learned in the log for the next coordinator.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use oriole_platform::log::{COORDINATOR, Entry, ReadResult};
use oriolewall::balance::{Instance, PoolLoad};
use oriolewall::demand_pattern::Pattern;
use oriolewall::id::PoolId;
use oriolewall::peak::Sample;
use oriolewall::peak_forecast::{Forecaster, HeightBounds};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::coordinator::CALL_TIMEOUT;
use crate::node::Node;
use crate::{clock, watch};

/// Start of the keys of records of patterns; the pool's name follows.
const RECORD_PREFIX: &str = "peak/";

/// Forecast of the pools' demand peaks under one coordinator.
#[derive(Debug)]
pub(crate) struct Peaks {
    forecaster: Forecaster,
    /// Append of changed patterns that may be in progress.
    append: Option<JoinHandle<()>>,
}

impl Peaks {
    /// Restores the patterns that earlier coordinators recorded; `None` if forecasts are switched
    /// off. Records that cannot be used are logged and ignored.
    pub(crate) fn restore(node: &Node, newest: &ReadResult) -> Option<Peaks> {
        if !node.settings.forecasts_peaks {
            return None;
        }
        let now = clock::now().wall_ms();
        let mut recorded = Vec::new();
        for entry in &newest.entries {
            let (Some(pool), Some(value)) = (entry.key.strip_prefix(RECORD_PREFIX), entry.value.as_deref()) else {
                continue;
            };
            let outcome = match Pattern::decode(now, value) {
                Ok(pattern) => {
                    recorded.push((PoolId::from(pool), pattern));
                    "read"
                }
                Err(err) => {
                    node.decision_log.write(
                        "peak_record",
                        json!({ "pool": pool, "outcome": "ignored", "error": err.to_string() }),
                    );
                    "ignored"
                }
            };
            node.metrics.peak_records.with_label_values(&[outcome]).inc();
        }
        Some(Peaks {
            forecaster: Forecaster::new(now, node.settings.move_time, recorded),
            append: None,
        })
    }

    /// Learns from the reported demand, and raises it where a peak is due. `owner_epochs` are those
    /// of the owners that reported it.
    pub(crate) fn update(
        &mut self,
        node: &Arc<Node>,
        loads: &mut BTreeMap<PoolId, PoolLoad>,
        owner_epochs: &BTreeMap<PoolId, u64>,
        instances: &[Instance],
    ) {
        let now = clock::now().wall_ms();
        let sample = |pool: &PoolId, load: &PoolLoad| Sample {
            arriving: load.arriving,
            present: load.used.saturating_add(load.waiting),
            owner_epoch: owner_epochs.get(pool).copied().unwrap_or(0),
        };
        let samples = loads.iter().map(|(pool, it)| (pool.clone(), sample(pool, it))).collect();
        let bounds = HeightBounds::of(instances.iter().map(|it| it.cpu));
        self.forecaster.observe(now, &samples, bounds);
        self.forecaster.raise(now, loads);
        for event in self.forecaster.take_events() {
            node.metrics.peak_forecasts.with_label_values(&[event.kind.name()]).inc();
            node.decision_log.write("peak", &event);
        }
    }

    /// Appends the patterns that have changed, in the background: moves do not depend on them.
    ///
    /// The append is not fenced, so one of an earlier coordinator may replace a later pattern. The
    /// next coordinator then takes the peaks since for unseen ones. With a sequence number, an
    /// append without an answer would get in the way of the records of orders.
    pub(crate) fn record_changes(&mut self, node: &Arc<Node>) {
        if self.append.as_ref().is_some_and(|it| !it.is_finished()) {
            return;
        }
        let changes = self.forecaster.take_changes();
        if changes.is_empty() {
            return;
        }
        let entry = |(pool, record): (PoolId, Option<Vec<u8>>)| Entry {
            key: format!("{RECORD_PREFIX}{pool}"),
            value: record.map(Bytes::from),
        };
        let entries: Vec<Entry> = changes.into_iter().map(entry).collect();
        let node = node.clone();
        self.append = Some(tokio::spawn(async move {
            let size: usize = entries
                .iter()
                .map(|it| it.key.len() + it.value.as_ref().map_or(0, Bytes::len))
                .sum();
            let result = node.log.append(COORDINATOR, None, &entries, CALL_TIMEOUT).await;
            let outcome = if result.is_ok() { "written" } else { "failed" };
            node.metrics.peak_records.with_label_values(&[outcome]).inc_by(entries.len() as u64);
            node.metrics.peak_record_bytes.inc_by(size as u64);
            let pools: Vec<&str> = entries.iter().filter_map(|it| it.key.strip_prefix(RECORD_PREFIX)).collect();
            node.decision_log
                .write("peak_record", json!({ "pools": pools, "outcome": outcome, "bytes": size }));
            if let Err(err) = result {
                watch::report_log_error(&node, "peaks", &err);
            }
        }));
    }
}
