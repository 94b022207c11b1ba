//! Structured log of decisions and failures: JSON lines on standard output.
//!
//! Writing never blocks. Lines beyond a rate limit per event and batches that
//! the writer thread cannot take are dropped; a `lines_dropped` line reports
//! how many.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::clock;

/// Maximum number of lines per second for each event: twice the placements of one pool
/// at five times its mean load.
const MAX_LINES_PER_SECOND: u32 = 200;
/// Capacity of the queue to the writer thread; batches beyond it are dropped.
const MAX_QUEUED_BATCHES: usize = 16;
/// Time during which lines are collected into one write.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct LogState {
    /// Lines that wait for the next flush.
    buffer: Vec<u8>,
    /// Second since the Unix epoch to which `line_counts` applies.
    current_second: u64,
    /// Lines of the current second by event, including those over the limit.
    line_counts: HashMap<&'static str, u32>,
    /// Dropped lines that no `lines_dropped` line has reported yet.
    dropped_lines: u64,
}

/// Decision log of one process.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    node: String,
    state: Mutex<LogState>,
    batch_sender: SyncSender<Vec<u8>>,
}

impl DecisionLog {
    /// Creates a log and starts its writer thread. `node` is put into every line.
    pub(crate) fn start(node: String) -> DecisionLog {
        let (batch_sender, batch_receiver) = sync_channel::<Vec<u8>>(MAX_QUEUED_BATCHES);
        std::thread::spawn(move || {
            let mut stdout = std::io::stdout();
            while let Ok(batch) = batch_receiver.recv() {
                // Nothing can be done if standard output is closed.
                let _ = stdout.write_all(&batch).and_then(|()| stdout.flush());
            }
        });
        DecisionLog {
            node,
            state: Mutex::new(LogState {
                buffer: Vec::new(),
                current_second: 0,
                line_counts: HashMap::new(),
                dropped_lines: 0,
            }),
            batch_sender,
        }
    }

    /// Adds a line with the fields of a serialized map, unless the event has
    /// reached its limit for the current second.
    pub(crate) fn write<F>(&self, event: &'static str, fields: F)
    where
        F: Serialize,
    {
        let now_ms = clock::now().wall_ms();
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        let current_second = now_ms / 1000;
        if state.current_second != current_second {
            state.current_second = current_second;
            state.line_counts.clear();
            if state.dropped_lines != 0 {
                let dropped_lines = std::mem::take(&mut state.dropped_lines);
                self.append_line(&mut state, now_ms, "lines_dropped", json!({ "count": dropped_lines }));
            }
        }
        let count = state.line_counts.entry(event).or_default();
        *count += 1;
        if MAX_LINES_PER_SECOND < *count {
            state.dropped_lines += 1;
            return;
        }
        let fields = serde_json::to_value(fields).unwrap_or(Value::Null);
        self.append_line(&mut state, now_ms, event, fields);
    }

    /// Appends a line to the buffer, regardless of the rate limit.
    fn append_line(&self, state: &mut LogState, now_ms: u64, event: &str, fields: Value) {
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), now_ms.into());
        line.insert("node".to_owned(), self.node.clone().into());
        line.insert("event".to_owned(), event.into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        // Writing to a `Vec` cannot fail.
        let _ = serde_json::to_writer(&mut state.buffer, &line);
        state.buffer.push(b'\n');
    }

    /// Passes the collected lines to the writer thread, or drops them if its queue is full.
    pub(crate) fn flush(&self) {
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        if state.buffer.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut state.buffer);
        if let Err(TrySendError::Full(batch)) = self.batch_sender.try_send(batch) {
            state.dropped_lines += batch.iter().filter(|it| **it == b'\n').count() as u64;
        }
    }

    /// Flushes at a fixed interval; never returns.
    pub(crate) async fn flush_periodically(&self) {
        loop {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            self.flush();
        }
    }
}
